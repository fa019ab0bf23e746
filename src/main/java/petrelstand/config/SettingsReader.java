package petrelstand.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import petrelstand.decision.Scheduling.Capabilities;
import petrelstand.decision.Scheduling.DedupGroup;
import petrelstand.decision.Scheduling.DiscoveryMode;
import petrelstand.decision.Scheduling.Effect;
import petrelstand.decision.Scheduling.Plan;
import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.decision.Scheduling.Rules;
import petrelstand.decision.Scheduling.Settings;

/**
 * Reads the settings of the decision module from pairs of a path and a value. The simulator sends one
 * {@code path=value} pair per line; the gateway's JSON is flattened to the same paths. Unknown paths are ignored. A
 * missing or malformed value is an IllegalArgumentException that names its path.
 */
public final class SettingsReader {
    /** Tells the decision module that a limit is not set. */
    private static final double NOT_SET = -1;

    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;
    private static final double DEFAULT_IDLE_CLOSE_MS = 15_000;

    private final Map<String, String> values;

    private SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /** Parses the simulator's text, one pair per line. */
    public static Settings parse(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int separator = line.indexOf('=');
            if (separator > 0) {
                values.put(
                        line.substring(0, separator).strip(),
                        line.substring(separator + 1).strip());
            } else if (!line.isBlank()) {
                throw new IllegalArgumentException("no '=' in line '" + line.strip() + "'");
            }
        }
        return fromValues(values);
    }

    /** Reads the settings from values by path. */
    public static Settings fromValues(Map<String, String> values) {
        return new SettingsReader(values).readSettings();
    }

    private Settings readSettings() {
        return new Settings(
                integer("balancers"),
                integer("index"),
                integer("zone", 0),
                number("period_ms", 0),
                items("classes", this::readRequestClass),
                items("plans", this::readPlan),
                readDiscoveryMode(),
                readCapabilities(),
                readRules(),
                number("extra.cold_bears", 0),
                number("extra.unit_mean", 1),
                number("extra.units_top", 1),
                number("extra.share_worth", 0),
                number("extra.beyond_share", 0),
                number("extra.use_period_ms", 0),
                flag("extra.tells_elsewhere"),
                strings("report.names"),
                strings("failure_domains"));
    }

    private RequestClass readRequestClass(int i) {
        String prefix = "classes." + i + ".";
        return new RequestClass(
                values.getOrDefault(prefix + "name", Integer.toString(i)),
                positive(prefix + "aim_ms"),
                number(prefix + "aim_stretch", 0),
                positive(prefix + "hard_limit_ms"),
                number(prefix + "value", 1),
                number(prefix + "late_value", 0),
                readEffect(prefix + "semantics"),
                readDedupGroup(prefix + "group"),
                number(prefix + "repeat_window_ms", 0),
                flag(prefix + "fifo_by_key"),
                flag(prefix + "stream"),
                isWriteClass(i));
    }

    private boolean isWriteClass(int i) {
        List<String> writes = strings("extra.class_writes");
        return i < writes.size() && writes.get(i).equals("true");
    }

    private Plan readPlan(int i) {
        String prefix = "plans." + i + ".";
        return new Plan(
                values.getOrDefault(prefix + "name", Integer.toString(i)),
                number(prefix + "rate", 0),
                number(prefix + "reservation", 0),
                number(prefix + "proportion", 1),
                number(prefix + "price", 1),
                number(prefix + "limit", 0),
                number(prefix + "burst", 0),
                number(prefix + "tolerance", 0));
    }

    private Capabilities readCapabilities() {
        return new Capabilities(
                (int) Math.min(integer("caps.most_tries"), positive("caps.most_tries")),
                flag("caps.cancel"),
                flag("caps.probes"),
                flag("caps.peer_messages"),
                flag("caps.may_duplicate"),
                flag("caps.retry_after"),
                number("caps.max_retry_after_ms", 0),
                number("caps.connect_timeout_ms", DEFAULT_CONNECT_TIMEOUT_MS),
                number("caps.idle_close_ms", DEFAULT_IDLE_CLOSE_MS));
    }

    private Rules readRules() {
        return new Rules(
                number("rules.grace_to_answer_ms", 0),
                number("rules.drain_grace_ms", 0),
                number("rules.ask_within_ms", NOT_SET),
                number("rules.cold_from", 1),
                number("rules.warm_up_ms", 0),
                number("rules.fall_ms", 0),
                number("rules.overload_factor", 1),
                number("rules.key_quiet_ms", 0),
                number("rules.free_resends", NOT_SET),
                number("rules.extra_ratio", NOT_SET),
                number("rules.ratio_span_ms", NOT_SET));
    }

    private DiscoveryMode readDiscoveryMode() {
        return switch (required("discovery")) {
            case "push" -> DiscoveryMode.PUSHED;
            case "ask" -> DiscoveryMode.ASKED;
            default -> throw unknownValue("discovery");
        };
    }

    private Effect readEffect(String path) {
        return switch (required(path)) {
            case "repeatable" -> Effect.REPEATABLE;
            case "by_key" -> Effect.KEYED;
            case "once" -> Effect.UNSAFE;
            default -> throw unknownValue(path);
        };
    }

    private DedupGroup readDedupGroup(String path) {
        // The default is the narrowest group: only nodes of the same shard are taken to drop repeated requests.
        return switch (values.getOrDefault(path, "cell")) {
            case "all" -> DedupGroup.ALL;
            case "zone" -> DedupGroup.ZONE;
            case "cell" -> DedupGroup.SHARD;
            default -> throw unknownValue(path);
        };
    }

    private <T> List<T> items(String path, IntFunction<T> readItem) {
        int count = integer(path + ".count");
        List<T> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(readItem.apply(i));
        }
        return list;
    }

    private List<String> strings(String path) {
        String value = values.getOrDefault(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private boolean flag(String path) {
        String value = values.getOrDefault(path, "false");
        if (!value.equals("true") && !value.equals("false")) {
            throw unknownValue(path);
        }
        return value.equals("true");
    }

    private int integer(String path) {
        double value = number(path);
        if (value != Math.rint(value)) {
            throw new IllegalArgumentException(path + " is not a whole number: '" + values.get(path) + "'");
        }
        return (int) value;
    }

    private int integer(String path, int defaultValue) {
        return values.containsKey(path) ? integer(path) : defaultValue;
    }

    private double number(String path, double defaultValue) {
        return values.containsKey(path) ? number(path) : defaultValue;
    }

    private double number(String path) {
        String text = required(path);
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(path + " is not a number: '" + text + "'");
        }
    }

    private double positive(String path) {
        double value = number(path);
        if (!(value > 0 && value < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException(path + " is no number above 0: '" + values.get(path) + "'");
        }
        return value;
    }

    private String required(String path) {
        String value = values.get(path);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(path + " is missing");
        }
        return value;
    }

    private IllegalArgumentException unknownValue(String path) {
        return new IllegalArgumentException(path + " has an unknown value: '" + values.get(path) + "'");
    }
}
