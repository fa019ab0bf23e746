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
 * Reads the settings of an instance, given as path=value pairs: the simulator's text has one a line, the gateway's JSON
 * is flattened to the same paths. An unreadable value is an IllegalArgumentException that names its path.
 */
public final class SettingsReader {
    /** Stands for a figure that the text does not state. */
    private static final double NOT_STATED = -1;
    /** Times of connections where the settings state none, ms. */
    private static final double CONNECT_MS = 250;

    private static final double IDLE_MS = 15_000;

    private final Map<String, String> values;

    private SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    public static Settings parse(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int split = line.indexOf('=');
            if (split > 0) {
                values.put(
                        line.substring(0, split).strip(),
                        line.substring(split + 1).strip());
            } else if (!line.isBlank()) {
                throw new IllegalArgumentException("no '=' in line '" + line.strip() + "'");
            }
        }
        return fromValues(values);
    }

    public static Settings fromValues(Map<String, String> values) {
        return new SettingsReader(values).settings();
    }

    private Settings settings() {
        return new Settings(
                whole("balancers"),
                whole("index"),
                whole("zone", 0),
                number("period_ms", 0),
                items("classes", this::requestClass),
                items("plans", this::plan),
                discovery(),
                capabilities(),
                rules(),
                number("extra.cold_bears", 0),
                number("extra.unit_mean", 1),
                number("extra.units_top", 1),
                number("extra.share_worth", 0),
                number("extra.beyond_share", 0),
                number("extra.use_period_ms", 0),
                flag("extra.tells_elsewhere"),
                names("report.names"),
                names("failure_domains"));
    }

    private RequestClass requestClass(int i) {
        String at = "classes." + i + ".";
        return new RequestClass(
                values.getOrDefault(at + "name", Integer.toString(i)),
                above0(at + "aim_ms"),
                number(at + "aim_stretch", 0),
                above0(at + "hard_limit_ms"),
                number(at + "value", 1),
                number(at + "late_value", 0),
                effect(at + "semantics"),
                group(at + "group"),
                number(at + "repeat_window_ms", 0),
                flag(at + "fifo_by_key"),
                flag(at + "stream"),
                writes(i));
    }

    private boolean writes(int i) {
        List<String> writes = names("extra.class_writes");
        return i < writes.size() && writes.get(i).equals("true");
    }

    private Plan plan(int i) {
        String at = "plans." + i + ".";
        return new Plan(
                values.getOrDefault(at + "name", Integer.toString(i)),
                number(at + "rate", 0),
                number(at + "reservation", 0),
                number(at + "proportion", 1),
                number(at + "price", 1),
                number(at + "limit", 0),
                number(at + "burst", 0),
                number(at + "tolerance", 0));
    }

    private Capabilities capabilities() {
        return new Capabilities(
                (int) Math.min(whole("caps.most_tries"), above0("caps.most_tries")),
                flag("caps.cancel"),
                flag("caps.probes"),
                flag("caps.peer_messages"),
                flag("caps.may_duplicate"),
                flag("caps.retry_after"),
                number("caps.max_retry_after_ms", 0),
                number("caps.connect_timeout_ms", CONNECT_MS),
                number("caps.idle_close_ms", IDLE_MS));
    }

    private Rules rules() {
        return new Rules(
                number("rules.grace_to_answer_ms", 0),
                number("rules.drain_grace_ms", 0),
                number("rules.ask_within_ms", NOT_STATED),
                number("rules.cold_from", 1),
                number("rules.warm_up_ms", 0),
                number("rules.fall_ms", 0),
                number("rules.overload_factor", 1),
                number("rules.key_quiet_ms", 0),
                number("rules.free_resends", NOT_STATED),
                number("rules.extra_ratio", NOT_STATED),
                number("rules.ratio_span_ms", NOT_STATED));
    }

    private DiscoveryMode discovery() {
        return switch (needed("discovery")) {
            case "push" -> DiscoveryMode.PUSHED;
            case "ask" -> DiscoveryMode.ASKED;
            default -> throw unknown("discovery");
        };
    }

    private Effect effect(String path) {
        return switch (needed(path)) {
            case "repeatable" -> Effect.REPEATABLE;
            case "by_key" -> Effect.KEYED;
            case "once" -> Effect.UNSAFE;
            default -> throw unknown(path);
        };
    }

    private DedupGroup group(String path) {
        // Where nobody says who drops repeats, only those do that hold the same shard.
        return switch (values.getOrDefault(path, "cell")) {
            case "all" -> DedupGroup.ALL;
            case "zone" -> DedupGroup.ZONE;
            case "cell" -> DedupGroup.SHARD;
            default -> throw unknown(path);
        };
    }

    private <T> List<T> items(String path, IntFunction<T> item) {
        int count = whole(path + ".count");
        List<T> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(item.apply(i));
        }
        return list;
    }

    private List<String> names(String path) {
        String value = values.getOrDefault(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private boolean flag(String path) {
        String value = values.getOrDefault(path, "false");
        if (!value.equals("true") && !value.equals("false")) {
            throw unknown(path);
        }
        return value.equals("true");
    }

    private int whole(String path) {
        double value = number(path);
        if (value != Math.rint(value)) {
            throw new IllegalArgumentException(path + " is not a whole number: '" + values.get(path) + "'");
        }
        return (int) value;
    }

    private int whole(String path, int otherwise) {
        return values.containsKey(path) ? whole(path) : otherwise;
    }

    private double number(String path, double otherwise) {
        return values.containsKey(path) ? number(path) : otherwise;
    }

    private double number(String path) {
        String text = needed(path);
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(path + " is not a number: '" + text + "'");
        }
    }

    private double above0(String path) {
        double value = number(path);
        if (!(value > 0 && value < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException(path + " is no number above 0: '" + values.get(path) + "'");
        }
        return value;
    }

    private String needed(String path) {
        String value = values.get(path);
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(path + " is missing");
        }
        return value;
    }

    private IllegalArgumentException unknown(String path) {
        return new IllegalArgumentException(path + " has an unknown value: '" + values.get(path) + "'");
    }
}
