package petrelstand.lab;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import petrelstand.config.IniFile;
import petrelstand.config.SettingsReader;
import petrelstand.decision.Scheduling.Settings;

/**
 * A world to be played, read from INI: how many nodes, gateways and volumes, how much they ask, what goes wrong, and
 * when a gateway restarts with how old a file, or else ({@code restart} is null) how long the day is. Times are
 * microseconds from the start of the day. {@code aimTimes} stretches aims and deadlines, {@code workSpread} is the
 * coefficient of variation of a request's size about its class's mean (0: a few sizes alike), {@code coldBears} the
 * settings' figure that is always safe (units), and each gateway hears of a change of the list {@code listSpreadUs}
 * after the one before it.
 */
public record Scenario(
        String name,
        int nodes,
        int gateways,
        int volumes,
        int cores,
        int queue,
        double unitMs,
        double load,
        double surges,
        boolean retries,
        double aimTimes,
        double workSpread,
        double coldBears,
        long listDelayUs,
        long listSpreadUs,
        long lengthUs,
        Restart restart,
        List<Fault> faults) {

    /**
     * One restart of the first so many gateways: the snapshot is taken at {@code captureUs}; for each age the new
     * process begins that long after it, and the old one was killed {@code downUs} before that.
     */
    public record Restart(int gateways, long captureUs, long downUs, boolean clean, List<Long> agesUs) {}

    /** What can happen to nodes, and the last to gateways. */
    public enum Kind {
        SLOW,
        SILENT,
        PAUSES,
        NEIGHBOUR,
        ERRORS,
        REPLACED,
        KILLED
    }

    /**
     * One trouble of the nodes {@code first} to {@code first + count - 1}: {@code size} is the factor of SLOW, the
     * pause of PAUSES in ms, the share taken of NEIGHBOUR, and of ERRORS the share of requests that end in one.
     * REPLACED nodes drain from the one time on, and at the other a new one with a new id takes the shard, cold. KILLED
     * are gateways instead, gone from the one time to the other. The end may be counted from the new process's begin.
     */
    public record Fault(
            Kind kind, int first, int count, double size, long fromUs, long untilUs, boolean untilAfterRestart) {}

    private static final long HOUR_US = 3_600_000_000L;

    /** Reads a scenario; what is wrong is one line that names file, line and key. */
    public static Scenario read(Path file) {
        return of(IniFile.read(file));
    }

    public static Scenario of(IniFile ini) {
        IniFile.Section world = ini.section("world");
        IniFile.Section restart = ini.section("restart");
        if (world == null) {
            throw new IllegalArgumentException(ini.file() + ": it needs the section [world]");
        }
        int nodes = world.integer("nodes", 12, 1, 1000);
        int gateways = world.integer("gateways", 4, 1, 200);
        Restart of = restart == null ? null : restart(restart, gateways);
        List<Fault> faults = new ArrayList<>();
        for (IniFile.Section fault : ini.sectionsOfKind("fault")) {
            Kind kind = Kind.values()[
                    fault.choiceIndex(
                            "kind",
                            java.util.Arrays.stream(Kind.values())
                                    .map(k -> k.name().toLowerCase(java.util.Locale.ROOT))
                                    .toList())];
            int most = kind == Kind.KILLED ? gateways : nodes;
            int first = fault.integer("first", 0, 0, most - 1);
            String counted = kind == Kind.KILLED ? "gateways" : "nodes";
            faults.add(new Fault(
                    kind,
                    first,
                    fault.integer(counted, 1, 1, most - first),
                    fault.number("size", 4, 0.01, 10_000),
                    fault.durationUs("from", 0, 0, HOUR_US),
                    fault.durationUs(
                            fault.has("until_after_restart") ? "until_after_restart" : "until", HOUR_US, 0, HOUR_US),
                    fault.has("until_after_restart")));
        }
        Scenario scenario = new Scenario(
                ini.file().getFileName().toString(),
                nodes,
                gateways,
                world.integer("volumes", Math.max(1, nodes * 6), 1, 100_000),
                world.integer("cores", 2, 1, 64),
                world.integer("queue", 40, 1, 10_000),
                world.number("unit_ms", 27, 0.1, 1000),
                world.number("load", 0.5, 0.01, 5),
                world.number("surges", 0.3, 0, 5),
                world.textOrDefault("retries", "yes").equals("yes"),
                world.number("aim_times", 1, 0.1, 100),
                world.number("work_spread", 0, 0, 3),
                world.number("cold_bears", 0, 0, 1e6),
                world.durationUs("list_delay", 1_000_000, 0, HOUR_US),
                world.durationUs("list_spread", 0, 0, HOUR_US),
                world.durationUs("length", 30_000_000, 1_000_000, HOUR_US),
                of,
                List.copyOf(faults));
        ini.rejectUnread();
        return scenario;
    }

    private static Restart restart(IniFile.Section restart, int gateways) {
        List<Long> ages = new ArrayList<>();
        for (String age : restart.text("ages").split("\\s*,\\s*")) {
            ages.add(restart.durationUs("ages", age, 1, HOUR_US));
        }
        return new Restart(
                restart.integer("gateways", 1, 1, gateways),
                restart.durationUs("capture", 30_000_000, 1, HOUR_US),
                restart.durationUs("down", 800_000, 1, HOUR_US),
                restart.textOrDefault("clean", "no").equals("yes"),
                ages);
    }

    /** Units a second that one node serves at its usual speed. */
    double nodeUnits() {
        return cores * 1000 / unitMs;
    }

    /** Units a second that a volume of size 1 usually asks. */
    double volumeUnits() {
        return load * nodes * nodeUnits() / (volumes * (0.56 + 1.5 * 0.44));
    }

    /** The settings that a gateway is started with. */
    Settings settings(int gateway) {
        double rate = volumeUnits();
        return SettingsReader.parse("""
                balancers=%d
                index=%d
                period_ms=1.0
                discovery=push
                caps.most_tries=3
                caps.cancel=true
                caps.retry_after=true
                caps.max_retry_after_ms=2000.0
                caps.connect_timeout_ms=250.0
                caps.idle_close_ms=15000.0
                classes.count=3
                classes.0.name=tile-read
                classes.0.aim_ms=%s
                classes.0.hard_limit_ms=%s
                classes.0.semantics=repeatable
                classes.0.value=3.0
                classes.0.late_value=0.22
                classes.1.name=survey-write
                classes.1.aim_ms=%s
                classes.1.hard_limit_ms=%s
                classes.1.semantics=by_key
                classes.1.group=cell
                classes.1.repeat_window_ms=%s
                classes.1.value=3.0
                classes.2.name=bulk-export
                classes.2.aim_ms=%s
                classes.2.hard_limit_ms=%s
                classes.2.semantics=repeatable
                classes.2.value=1.0
                plans.count=2
                plans.0.name=basic
                plans.0.rate=%s
                plans.0.reservation=%s
                plans.0.price=0.96
                plans.1.name=priority
                plans.1.rate=%s
                plans.1.reservation=%s
                plans.1.price=1
                extra.unit_mean=2.0
                extra.units_top=8
                extra.class_writes=false,true,false
                extra.share_worth=0.3
                extra.beyond_share=0.05
                extra.cold_bears=%s
                failure_domains=a
                rules.grace_to_answer_ms=8.0
                rules.drain_grace_ms=500.0
                rules.cold_from=%s
                rules.warm_up_ms=%s
                rules.fall_ms=%s
                rules.overload_factor=%s
                """.formatted(
                        gateways,
                        gateway,
                        250 * aimTimes,
                        1500 * aimTimes,
                        500 * aimTimes,
                        2500 * aimTimes,
                        2500 * aimTimes,
                        1500 * aimTimes,
                        5000 * aimTimes,
                        rate,
                        rate * 0.5,
                        rate * 1.5,
                        rate * 1.5 * 0.8,
                        coldBears > 0 ? coldBears : LabNode.COLD_SHARE * nodeUnits() * LabNode.FALL_MS / 1000,
                        LabNode.COLD_SHARE,
                        LabNode.WARM_MS,
                        LabNode.FALL_MS,
                        LabNode.FALL_MULTIPLE));
    }
}
