package petrelstand.lab.faults;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import petrelstand.agreement.LeaseTiming;
import petrelstand.config.IniFile;
import petrelstand.members.MembershipTiming;

/**
 * A trial of real processes, read from INI.
 *
 * @param name the file's
 * @param processes gateways of the fleet, 3 to 15
 * @param loadPerSecond requests a second that clients send to each
 * @param nodes stand-in storage nodes
 * @param lengthUs from the moment that all are ready and one view is held
 * @param drawn whether faults are drawn by the seed beside those listed
 * @param timing of the fleet
 * @param fleet whether the gateways know each other; off only to measure what that costs
 * @param voters of the rules that the gateways agree on; 0 where they agree on none
 * @param changeUs a new version is proposed so often, 0 for never
 * @param promiseUs for how long two gateways may contradict each other
 * @param faults in the file, the same for every seed
 */
public record FaultScenario(
        String name,
        int processes,
        int loadPerSecond,
        int nodes,
        long lengthUs,
        boolean drawn,
        MembershipTiming timing,
        boolean fleet,
        int voters,
        long changeUs,
        long promiseUs,
        List<FleetPlan.Fault> faults) {
    /** Reads a scenario; what is wrong is one line that names file, line and key. */
    public static FaultScenario read(Path file) {
        return of(IniFile.read(file));
    }

    public static FaultScenario of(IniFile ini) {
        IniFile.Section trial = ini.section("trial");
        if (trial == null) {
            throw new IllegalArgumentException(ini.file() + ": it needs the section [trial]");
        }
        int processes = trial.integer("processes", 5, 2, 15);
        MembershipTiming usual = MembershipTiming.DEFAULT;
        MembershipTiming timing = new MembershipTiming(
                trial.durationUs("ping", usual.pingIntervalUs(), 100_000, 10_000_000),
                trial.durationUs("suspect_after", usual.suspectAfterUs(), 500_000, 60_000_000),
                trial.durationUs("fail_after", usual.failAfterUs(), 500_000, 60_000_000),
                usual.retryIntervalUs());
        List<FleetPlan.Fault> faults = new ArrayList<>();
        long last = 0;
        for (IniFile.Section section : ini.sectionsOfKind("fault")) {
            List<String> kinds = Arrays.stream(FleetPlan.Kind.values())
                    .map(k -> k.name().toLowerCase(Locale.ROOT))
                    .toList();
            FleetPlan.Kind kind = FleetPlan.Kind.values()[section.choiceIndex("kind", kinds)];
            FleetPlan.Fault fault = new FleetPlan.Fault(
                    kind,
                    section.integer("who", 0, 0, processes - 1),
                    section.durationUs("at", 1_000_000, 0, 3_600_000_000L),
                    section.durationUs("for", 0, 0, 3_600_000_000L),
                    section.integer("amount", 0, 0, 1_000_000));
            faults.add(fault);
            last = Math.max(last, fault.atUs() + fault.lengthUs());
        }
        FaultScenario scenario = new FaultScenario(
                ini.file().getFileName().toString().replaceFirst("\\.ini$", ""),
                processes,
                trial.integer("load", 20, 0, 1000),
                trial.integer("nodes", 4, 1, 100),
                trial.durationUs("length", last + FleetSim.ONE_VIEW_US + 3_000_000, 1_000_000, 3_600_000_000L),
                trial.has("draw") && trial.choiceIndex("draw", List.of("no", "yes")) == 1,
                timing,
                !trial.has("fleet") || trial.choiceIndex("fleet", List.of("off", "on")) == 1,
                trial.integer("voters", 0, 0, Math.min(9, processes)),
                trial.durationUs("change", 0, 0, 3_600_000_000L),
                trial.durationUs("promise", LeaseTiming.DEFAULT.maxConflictUs(), 500_000, 60_000_000),
                List.copyOf(faults));
        ini.rejectUnread();
        return scenario;
    }

    /** The plan of a seed. */
    FleetPlan plan(long seed) {
        List<FleetPlan.Fault> all = new ArrayList<>(faults);
        long length = lengthUs;
        if (drawn) {
            FleetPlan more = FleetPlan.draw(processes, seed);
            more.faults()
                    .forEach(f -> all.add(
                            new FleetPlan.Fault(f.kind(), f.who(), f.atUs() - 4_000_000, f.lengthUs(), f.amount())));
            length = Math.max(length, more.lengthUs() - 4_000_000);
        }
        all.sort(java.util.Comparator.comparingLong(FleetPlan.Fault::atUs));
        return new FleetPlan(processes, seed, length, all);
    }
}
