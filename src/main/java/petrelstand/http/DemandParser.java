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

/**
 * Parses a request of the platform's protocol into a {@link Demand}; throws {@link MalformedRequestException} if it is
 * invalid.
 */
final class DemandParser {
    /** An invalid request, with the HTTP status of its answer. */
    static final class MalformedRequestException extends Exception {
        private static final long serialVersionUID = 1L;
        private final int status;

        MalformedRequestException(int status, String message) {
            super(message, null, false, false);
            this.status = status;
        }

        int status() {
            return status;
        }
    }

    /** Longest X-Txn or Idempotency-Key. */
    private static final int MAX_ID_LENGTH = 256;

    private final Settings settings;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, Integer> planIndexes = new HashMap<>();

    /** Creates a parser for the given settings, without the closed classes. */
    DemandParser(Settings settings, Set<String> closedClasses) {
        this.settings = settings;
        for (int i = 0; i < settings.classes().size(); i++) {
            classIndexes.put(settings.classes().get(i).name(), i);
        }
        classIndexes.keySet().removeAll(closedClasses);
        for (int i = 0; i < settings.plans().size(); i++) {
            planIndexes.put(settings.plans().get(i).name(), i);
        }
    }

    /**
     * Parses and validates a request.
     *
     * @param target path and query
     * @throws MalformedRequestException with status 404 if the path is unknown, or 400 if a field is missing or invalid
     */
    Demand parse(String method, String target, HttpFields fields, int bodyLength) throws MalformedRequestException {
        int query = target.indexOf('?');
        String[] parts = (query < 0 ? target : target.substring(0, query)).split("/", -1);
        if (parts.length != 4 || !parts[0].isEmpty() || !classIndexes.containsKey(parts[1])) {
            throw new MalformedRequestException(404, "no such path");
        }
        if (!method.equals("GET") && !method.equals("PUT")) {
            throw new MalformedRequestException(400, "the method is neither GET nor PUT");
        }
        if (method.equals("GET") && bodyLength > 0) {
            throw new MalformedRequestException(400, "a GET has no body");
        }
        if (!isVisibleAscii(target)) {
            throw new MalformedRequestException(400, "the path holds more than visible ASCII");
        }
        int requestClass = classIndexes.get(parts[1]);
        RequestClass classSettings = settings.classes().get(requestClass);
        long volume = parseHexId(parts[2]);
        long key = parseHexId(parts[3]);
        requireId(fields, HttpProtocol.TXN_HEADER);
        Integer plan = planIndexes.get(requireField(fields, HttpProtocol.PLAN_HEADER));
        if (plan == null) {
            throw new MalformedRequestException(400, HttpProtocol.PLAN_HEADER + " names no plan");
        }
        if (classSettings.effect() == Effect.KEYED) {
            requireId(fields, HttpProtocol.IDEMPOTENCY_KEY_HEADER);
        }
        double remainingMs = fields.contains(HttpProtocol.REMAINING_MS_HEADER)
                ? parseRemainingMs(requireField(fields, HttpProtocol.REMAINING_MS_HEADER))
                : classSettings.deadlineMs();
        Map<String, String> placement = parsePlacement(requireField(fields, HttpProtocol.PLACEMENT_HEADER));
        double units = parseNumber("units", placement.get("units"));
        int shard = parseInteger("shard", placement.get("shard"), -1);
        int hosts = parseInteger("hosts", placement.getOrDefault("hosts", "0"), 0);
        if (shard >= NodeEntry.FIRST_PRIVATE_SHARD) {
            throw new MalformedRequestException(400, "there is no shard " + shard);
        }
        if (!(units > 0 && units <= 1e9)) {
            throw new MalformedRequestException(400, "units are not a size");
        }
        // A client can't extend its class's deadline.
        long remainingUs = (long) (Math.min(remainingMs, classSettings.deadlineMs()) * 1000);
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
                remainingUs);
    }

    private static Map<String, String> parsePlacement(String text) {
        Map<String, String> values = new HashMap<>();
        for (String entry : List.of(text.split(","))) {
            int equalsSign = entry.indexOf('=');
            if (equalsSign > 0) {
                values.put(
                        entry.substring(0, equalsSign).strip(),
                        entry.substring(equalsSign + 1).strip());
            }
        }
        return values;
    }

    private static String requireField(HttpFields fields, String name) throws MalformedRequestException {
        String value = null;
        for (HttpField field : fields) {
            if (field.is(name)) {
                if (value != null) {
                    throw new MalformedRequestException(400, name + " comes more than once");
                }
                value = field.getValue();
            }
        }
        if (value == null || value.isBlank()) {
            throw new MalformedRequestException(400, name + " is missing");
        }
        return value.strip();
    }

    /** Checks an id, which is forwarded unchanged and therefore limited to visible ASCII. */
    private static void requireId(HttpFields fields, String name) throws MalformedRequestException {
        String id = requireField(fields, name);
        if (id.length() > MAX_ID_LENGTH || !isVisibleAscii(id)) {
            throw new MalformedRequestException(400, name + " is not an id");
        }
    }

    private static boolean isVisibleAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) >= 0x7f) {
                return false;
            }
        }
        return true;
    }

    /** Parses a time in whole milliseconds with at most nine digits. */
    private static double parseRemainingMs(String text) throws MalformedRequestException {
        double value = text.length() <= 9 ? parseNumber(HttpProtocol.REMAINING_MS_HEADER, text) : -1;
        if (value < 0 || value != Math.rint(value)) {
            throw new MalformedRequestException(
                    400, HttpProtocol.REMAINING_MS_HEADER + " is not a time in whole milliseconds");
        }
        return value;
    }

    private static long parseHexId(String text) throws MalformedRequestException {
        long value = 0;
        boolean valid = text.length() == 16;
        for (int i = 0; valid && i < 16; i++) {
            int digit = text.charAt(i) < 0x7f ? Character.digit(text.charAt(i), 16) : -1;
            valid = digit >= 0;
            value = value << 4 | digit;
        }
        if (!valid) {
            throw new MalformedRequestException(400, "a name in the path is not 16 hex digits");
        }
        return value;
    }

    private static double parseNumber(String name, String text) throws MalformedRequestException {
        // Java also accepts "0x1p3", "1d" and "NaN", which the protocol doesn't.
        boolean valid = text != null && !text.isEmpty() && text.length() <= 24;
        for (int i = 0; valid && i < text.length(); i++) {
            char c = text.charAt(i);
            valid = c >= '0' && c <= '9' || c == '.' || c == '-' && i == 0;
        }
        try {
            if (valid) {
                return Double.parseDouble(text);
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new MalformedRequestException(400, name + " is not a number");
    }

    private static int parseInteger(String name, String text, int min) throws MalformedRequestException {
        double value = parseNumber(name, text);
        if (value != Math.rint(value) || value < min || value > Integer.MAX_VALUE) {
            throw new MalformedRequestException(400, name + " is not a whole number");
        }
        return (int) value;
    }
}
