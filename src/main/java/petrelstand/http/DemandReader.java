package petrelstand.http;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.eclipse.jetty.http.HttpFields;
import petrelstand.core.Demand;
import petrelstand.decision.Scheduling.Effect;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.decision.Scheduling.Settings;

/** Reads a request of the platform's protocol into a demand; what is wrong with it is a {@link Malformed}. */
final class DemandReader {
    /** What is wrong with a request, and the status that says so. */
    static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;
        private final int status;

        Malformed(int status, String message) {
            super(message, null, false, false);
            this.status = status;
        }

        int status() {
            return status;
        }
    }

    private final Settings settings;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> plans = new HashMap<>();

    DemandReader(Settings settings) {
        this.settings = settings;
        for (int i = 0; i < settings.classes().size(); i++) {
            classes.put(settings.classes().get(i).name(), i);
        }
        for (int i = 0; i < settings.plans().size(); i++) {
            plans.put(settings.plans().get(i).name(), i);
        }
    }

    Demand read(String method, String target, HttpFields fields) throws Malformed {
        int query = target.indexOf('?');
        String[] parts = (query < 0 ? target : target.substring(0, query)).split("/", -1);
        if (parts.length != 4 || !parts[0].isEmpty() || !classes.containsKey(parts[1])) {
            throw new Malformed(404, "no such path");
        }
        if (!method.equals("GET") && !method.equals("PUT")) {
            throw new Malformed(400, "the method is neither GET nor PUT");
        }
        int requestClass = classes.get(parts[1]);
        RequestClass kind = settings.classes().get(requestClass);
        long volume = hex(parts[2]);
        long key = hex(parts[3]);
        needed(fields, Wire.TXN);
        Integer plan = plans.get(needed(fields, Wire.PLAN));
        if (plan == null) {
            throw new Malformed(400, Wire.PLAN + " names no plan");
        }
        if (kind.effect() == Effect.KEYED) {
            needed(fields, Wire.EFFECT_KEY);
        }
        String left = fields.get(Wire.REMAINING);
        double leftMs = left == null ? kind.deadlineMs() : number(Wire.REMAINING, left);
        Map<String, String> placement = placement(needed(fields, Wire.PLACEMENT));
        double units = number("units", placement.get("units"));
        int shard = whole("shard", placement.get("shard"), -1);
        int hosts = whole("hosts", placement.getOrDefault("hosts", "0"), 0);
        if (shard >= NodeEntry.PRIVATE) {
            throw new Malformed(400, "there is no shard " + shard);
        }
        if (!(units > 0 && units <= 1e9)) {
            throw new Malformed(400, "units are not a size");
        }
        long leftUs = (long) (Math.max(0, Math.min(leftMs, kind.deadlineMs())) * 1000);
        return new Demand(requestClass, plan, key, volume, units, shard, hosts, "1".equals(fields.get(Wire.RESENT)),
                method.equals("PUT"), leftUs);
    }

    private static Map<String, String> placement(String text) {
        Map<String, String> values = new HashMap<>();
        for (String part : List.of(text.split(","))) {
            int split = part.indexOf('=');
            if (split > 0) {
                values.put(part.substring(0, split).strip(), part.substring(split + 1).strip());
            }
        }
        return values;
    }

    private static String needed(HttpFields fields, String name) throws Malformed {
        String value = fields.get(name);
        if (value == null || value.isBlank()) {
            throw new Malformed(400, name + " is missing");
        }
        return value.strip();
    }

    private static long hex(String text) throws Malformed {
        if (text.length() != 16 || !text.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128)) {
            throw new Malformed(400, "a name in the path is not 16 hex digits");
        }
        return Long.parseUnsignedLong(text, 16);
    }

    private static double number(String name, String text) throws Malformed {
        try {
            double value = Double.parseDouble(String.valueOf(text));
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // The message below says it.
        }
        throw new Malformed(400, name + " is not a number");
    }

    private static int whole(String name, String text, int least) throws Malformed {
        double value = number(name, text);
        if (value != Math.rint(value) || value < least || value > Integer.MAX_VALUE) {
            throw new Malformed(400, name + " is not a whole number");
        }
        return (int) value;
    }
}
