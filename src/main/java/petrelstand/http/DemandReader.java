package petrelstand.http;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
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

    /** The longest X-Txn or Idempotency-Key. */
    private static final int MOST_ID = 256;

    private final Settings settings;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> plans = new HashMap<>();

    /** A reader under settings, to which some of their classes are closed. */
    DemandReader(Settings settings, Set<String> closed) {
        this.settings = settings;
        for (int i = 0; i < settings.classes().size(); i++) {
            classes.put(settings.classes().get(i).name(), i);
        }
        classes.keySet().removeAll(closed);
        for (int i = 0; i < settings.plans().size(); i++) {
            plans.put(settings.plans().get(i).name(), i);
        }
    }

    Demand read(String method, String target, HttpFields fields, int bodyLength) throws Malformed {
        int query = target.indexOf('?');
        String[] parts = (query < 0 ? target : target.substring(0, query)).split("/", -1);
        if (parts.length != 4 || !parts[0].isEmpty() || !classes.containsKey(parts[1])) {
            throw new Malformed(404, "no such path");
        }
        if (!method.equals("GET") && !method.equals("PUT")) {
            throw new Malformed(400, "the method is neither GET nor PUT");
        }
        if (method.equals("GET") && bodyLength > 0) {
            throw new Malformed(400, "a GET has no body");
        }
        if (!visible(target)) {
            throw new Malformed(400, "the path holds more than visible ASCII");
        }
        int requestClass = classes.get(parts[1]);
        RequestClass kind = settings.classes().get(requestClass);
        long volume = hex(parts[2]);
        long key = hex(parts[3]);
        id(fields, HttpProtocol.TXN_HEADER);
        Integer plan = plans.get(needed(fields, HttpProtocol.PLAN_HEADER));
        if (plan == null) {
            throw new Malformed(400, HttpProtocol.PLAN_HEADER + " names no plan");
        }
        if (kind.effect() == Effect.KEYED) {
            id(fields, HttpProtocol.IDEMPOTENCY_KEY_HEADER);
        }
        double leftMs = fields.contains(HttpProtocol.REMAINING_MS_HEADER)
                ? remaining(needed(fields, HttpProtocol.REMAINING_MS_HEADER))
                : kind.deadlineMs();
        Map<String, String> placement = placement(needed(fields, HttpProtocol.PLACEMENT_HEADER));
        double units = number("units", placement.get("units"));
        int shard = whole("shard", placement.get("shard"), -1);
        int hosts = whole("hosts", placement.getOrDefault("hosts", "0"), 0);
        if (shard >= NodeEntry.FIRST_PRIVATE_SHARD) {
            throw new Malformed(400, "there is no shard " + shard);
        }
        if (!(units > 0 && units <= 1e9)) {
            throw new Malformed(400, "units are not a size");
        }
        // A client may say that it waits longer than its class does; the class's time is all that is promised.
        long leftUs = (long) (Math.min(leftMs, kind.deadlineMs()) * 1000);
        return new Demand(
                requestClass,
                plan,
                key,
                volume,
                units,
                shard,
                Math.min(hosts, settings.hosts()),
                "1".equals(fields.get(HttpProtocol.RESENT_HEADER)),
                method.equals("PUT"),
                leftUs);
    }

    private static Map<String, String> placement(String text) {
        Map<String, String> values = new HashMap<>();
        for (String part : List.of(text.split(","))) {
            int split = part.indexOf('=');
            if (split > 0) {
                values.put(
                        part.substring(0, split).strip(),
                        part.substring(split + 1).strip());
            }
        }
        return values;
    }

    private static String needed(HttpFields fields, String name) throws Malformed {
        String value = null;
        for (HttpField field : fields) {
            if (field.is(name)) {
                if (value != null) {
                    throw new Malformed(400, name + " comes more than once");
                }
                value = field.getValue();
            }
        }
        if (value == null || value.isBlank()) {
            throw new Malformed(400, name + " is missing");
        }
        return value.strip();
    }

    /** An id passes on byte for byte, so it may hold only what every hop writes alike. */
    private static void id(HttpFields fields, String name) throws Malformed {
        String id = needed(fields, name);
        if (id.length() > MOST_ID || !visible(id)) {
            throw new Malformed(400, name + " is not an id");
        }
    }

    private static boolean visible(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) >= 0x7f) {
                return false;
            }
        }
        return true;
    }

    /** Whole milliseconds, as the protocol has them; more digits than that are no time that a client waits. */
    private static double remaining(String text) throws Malformed {
        double value = text.length() <= 9 ? number(HttpProtocol.REMAINING_MS_HEADER, text) : -1;
        if (value < 0 || value != Math.rint(value)) {
            throw new Malformed(400, HttpProtocol.REMAINING_MS_HEADER + " is not a time in whole milliseconds");
        }
        return value;
    }

    private static long hex(String text) throws Malformed {
        long value = 0;
        boolean digits = text.length() == 16;
        for (int i = 0; digits && i < 16; i++) {
            int digit = text.charAt(i) < 0x7f ? Character.digit(text.charAt(i), 16) : -1;
            digits = digit >= 0;
            value = value << 4 | digit;
        }
        if (!digits) {
            throw new Malformed(400, "a name in the path is not 16 hex digits");
        }
        return value;
    }

    private static double number(String name, String text) throws Malformed {
        // Not all that Java reads as a number is one here: it takes "0x1p3", "1d" and "NaN".
        boolean digits = text != null && !text.isEmpty() && text.length() <= 24;
        for (int i = 0; digits && i < text.length(); i++) {
            char c = text.charAt(i);
            digits = c >= '0' && c <= '9' || c == '.' || c == '-' && i == 0;
        }
        try {
            if (digits) {
                return Double.parseDouble(text);
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
