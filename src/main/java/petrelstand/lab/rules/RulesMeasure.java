package petrelstand.lab.rules;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import petrelstand.agreement.LeaseTiming;
import petrelstand.lab.faults.FleetPlan;
import petrelstand.lab.faults.FleetPlan.Fault;
import petrelstand.lab.faults.FleetPlan.Kind;

/** Times of agreed rules in virtual time: until a change is acted on by all, and without a leader. */
public final class RulesMeasure {
    private static final int[][] SIZES = {{3, 3}, {5, 3}, {15, 5}, {100, 5}};
    private static final long MOST_US = 20_000_000;

    private RulesMeasure() {}

    /** A table over seeds from 1 on. */
    public static String table(int seeds) {
        StringBuilder text = new StringBuilder();
        for (int[] size : SIZES) {
            List<Long> calm = new ArrayList<>();
            List<Long> silent = new ArrayList<>();
            long messages = 0;
            long bytes = 0;
            for (int seed = 1; seed <= (size[0] > 20 ? Math.max(1, seeds / 20) : seeds); seed++) {
                RulesSim sim = new RulesSim(size[0], size[1], LeaseTiming.DEFAULT, seed, RulesSim.USUAL);
                sim.proposeAt(6_000_000);
                sim.run(8_000_000);
                long sent = sim.counts().get("messages");
                long carried = sim.counts().get("bytes");
                sim.proposeEvery(500_000);
                sim.run(18_000_000);
                messages = (sim.counts().get("messages") - sent) / 10 / size[0];
                bytes = (sim.counts().get("bytes") - carried) / 10 / size[0];
                calm.addAll(sim.tookUs());
                RulesSim one = new RulesSim(size[0], size[1], LeaseTiming.DEFAULT, seed, RulesSim.USUAL);
                one.proposeAt(6_000_000, 10_000_000 + seed * 37_000L);
                // One that does not lead falls silent just before the change.
                one.run(9_999_000 + seed * 37_000L);
                int who = one.leaderNow() == 0 ? 1 : 0;
                one.arm(new FleetPlan(
                        size[0], seed, 0, List.of(new Fault(Kind.STOP, who, one.nowUs() + 1, MOST_US, 0))));
                one.run(20_000_000);
                silent.addAll(one.tookUs()
                        .subList(Math.min(1, one.tookUs().size()), one.tookUs().size()));
            }
            row(text, size[0] + " gateways, " + size[1] + " vote: acted on by all", calm);
            row(text, "  the same, one silent", silent);
            text.append("  messages and bytes a second and gateway, two changes a second: ")
                    .append(messages)
                    .append(", ")
                    .append(bytes)
                    .append('\n');
        }
        for (Kind kind : List.of(Kind.KILL, Kind.STOP, Kind.TERM)) {
            List<Long> without = new ArrayList<>();
            for (int seed = 1; seed <= seeds; seed++) {
                without.add(leaderless(kind, seed));
            }
            row(text, "5 gateways, 3 vote: without a leader after " + kind, without);
        }
        return text.toString();
    }

    private static long leaderless(Kind kind, int seed) {
        RulesSim sim = new RulesSim(5, 3, LeaseTiming.DEFAULT, seed, RulesSim.USUAL);
        sim.run(9_000_000 + seed * 7_000L);
        int leader = sim.leaderNow();
        long from = sim.nowUs();
        sim.arm(new FleetPlan(
                5, seed, 0, List.of(new Fault(kind, leader, from + 1, kind == Kind.STOP ? MOST_US : 0, 0))));
        sim.run(from + 1);
        while ((sim.leaderNow() < 0 || sim.leaderNow() == leader) && sim.nowUs() - from < MOST_US) {
            sim.run(sim.nowUs() + 1_000);
        }
        return sim.nowUs() - from;
    }

    private static void row(StringBuilder text, String what, List<Long> us) {
        Collections.sort(us);
        if (us.isEmpty()) {
            text.append(what).append(": never\n");
        } else {
            text.append(String.format(
                    Locale.ROOT,
                    "%s: p50 %d ms, p99 %d ms, worst %d ms (%d)%n",
                    what,
                    us.get(us.size() / 2) / 1000,
                    us.get((us.size() - 1) * 99 / 100) / 1000,
                    us.get(us.size() - 1) / 1000,
                    us.size()));
        }
    }
}
