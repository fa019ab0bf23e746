package petrelstand.lab.faults;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import petrelstand.lab.faults.FleetPlan.Fault;
import petrelstand.lab.faults.FleetPlan.Kind;
import petrelstand.members.MemberState;
import petrelstand.members.MembershipTiming;

/**
 * What membership costs and how fast it is, in virtual time: a crash until each of the others and all of them know,
 * false alarms while messages are lost or processes stall, messages a second, and how long a fleet cut in two needs to
 * be one.
 */
public final class FleetMeasure {
    private static final long S = 1_000_000;
    private static final int CALM_S = 5;
    private static final int[] LOSSES = {0, 10, 20, 30};
    private static final double[] STALLS_S = {0.1, 0.5, 1, 3};

    private FleetMeasure() {}

    private static FleetSim joined(int size, long seed) {
        FleetSim fleet = new FleetSim(size, seed, FleetSim.usual(MembershipTiming.DEFAULT));
        fleet.until(FleetSim::agreed, 30 * S);
        fleet.run(fleet.nowUs() + CALM_S * S);
        return fleet;
    }

    /** The table for a size over seeds 1 to {@code seeds}; alarms are counted over so many seconds of each. */
    public static String table(int size, int seeds, int seconds) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%d gateways, seeds 1-%d, %d s of trouble each%n" + "%-22s %12s %12s %12s %14s %16s %12s%n",
                size,
                seeds,
                seconds,
                "trouble",
                "known p50",
                "known p99",
                "by all worst",
                "suspected/h",
                "failed, alive/h",
                "messages/s"));
        for (int loss : LOSSES) {
            text.append(row("loss " + loss + "%", size, seeds, seconds, loss / 100.0, 0));
        }
        for (double stall : STALLS_S) {
            text.append(row("stalls of " + stall + " s", size, seeds, seconds, 0, stall));
        }
        List<Long> healed = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
            FleetSim fleet = joined(size, seed);
            fleet.strike(new Fault(Kind.CUT, size * 2 / 5, 0, 10 * S, 0));
            fleet.run(fleet.nowUs() + 10 * S);
            healed.add(fleet.until(FleetSim::agreed, 30 * S));
        }
        Collections.sort(healed);
        text.append(String.format(
                Locale.ROOT,
                "a cut of two fifths for 10 s: one view again after p50 %.2f s, worst %.2f s%n",
                healed.get(seeds / 2) / 1e6,
                healed.get(seeds - 1) / 1e6));
        return text.toString();
    }

    private static String row(String what, int size, int seeds, int seconds, double loss, double stallS) {
        List<Long> known = new ArrayList<>();
        long byAll = 0;
        long suspected = 0;
        long falsely = 0;
        double sent = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            FleetSim fleet = joined(size, seed);
            fleet.loss(loss);
            long messages = fleet.sent();
            int from = fleet.seen().size();
            long before = fleet.counts().getOrDefault("fleet.suspected", 0L);
            for (int second = 0; second < seconds; second++) {
                if (stallS > 0 && second % Math.max(1, (int) Math.ceil(stallS)) == 0) {
                    fleet.strike(new Fault(Kind.STOP, second * 7 % size, 0, (long) (stallS * S), 0));
                }
                fleet.run(fleet.nowUs() + S);
            }
            sent += (fleet.sent() - messages) / (double) seconds / size / seeds;
            fleet.run(fleet.nowUs() + (long) (stallS * S));
            suspected += fleet.counts().getOrDefault("fleet.suspected", 0L) - before;
            falsely += fleet.seen().subList(from, fleet.seen().size()).stream()
                    .filter(s -> s.change().member().state() == MemberState.FAILED)
                    .map(s -> s.change().member().name() + s.change().member().incarnation())
                    .distinct()
                    .count();
            fleet.until(FleetSim::agreed, 10 * S);
            int mark = fleet.seen().size();
            long killed = fleet.nowUs();
            int victim = seed % size;
            fleet.strike(new Fault(Kind.KILL, victim, 0, 0, 0));
            fleet.until(FleetSim::agreed, 15 * S);
            String name = FleetSim.name(victim);
            for (FleetSim.Seen seen : fleet.seen().subList(mark, fleet.seen().size())) {
                if (seen.change().member().name().equals(name)
                        && seen.change().member().state() == MemberState.FAILED) {
                    known.add(seen.change().atUs() - killed);
                    byAll = Math.max(byAll, seen.change().atUs() - killed);
                }
            }
        }
        Collections.sort(known);
        double hours = seeds * seconds / 3600.0;
        return String.format(
                Locale.ROOT,
                "%-22s %10.2f s %10.2f s %10.2f s %14.1f %16.1f %12.1f%n",
                what,
                known.isEmpty() ? -1 : known.get(known.size() / 2) / 1e6,
                known.isEmpty() ? -1 : known.get((known.size() - 1) * 99 / 100) / 1e6,
                byAll / 1e6,
                suspected / hours,
                falsely / hours,
                sent);
    }
}
