package petrelstand.lab.rules;

import java.util.ArrayList;
import java.util.List;
import petrelstand.agreement.LeaseTiming;
import petrelstand.lab.faults.FleetPlan;
import petrelstand.lab.faults.FleetPlan.Fault;
import petrelstand.lab.faults.FleetPlan.Kind;

/**
 * All faults among three voters round one change of rules, up to a number of them, in every combination of kind, place
 * and one of the moments: crash with and without a restart, stops shorter and longer than a lease, cuts, one-way links,
 * messages held and let go late, all reordered, all twice. Messages of calm stretches come in one order a seed; within
 * a fault's window every later one may overtake.
 */
public final class RulesSearch {
    private static final int SIZE = 3;
    private static final long CHANGE_US = 8_000_000;
    /** Moments before and after the change: about it, messages are some hundreds of microseconds apart. */
    private static final long[] MOMENTS_US = {-3_500_000, -1_000_000, -100_000, 500, 1_000, 2_000, 4_000, 1_000_000};

    private static final LeaseTiming SHORT = new LeaseTiming(2_000_000, 0.05);

    /** How many courses were played, the first broken promise in words, its faults, and the longest contradiction. */
    public record Result(long played, String fault, List<Fault> faults, long longestUs) {
        @Override
        public String toString() {
            return played + " courses played, longest contradiction " + longestUs / 1000 + " ms of "
                    + SHORT.maxConflictUs() / 1000 + "; "
                    + (fault.isEmpty() ? "no promise broken" : fault + " in " + faults);
        }
    }

    private RulesSearch() {}

    static List<Fault> alphabet() {
        List<Fault> all = new ArrayList<>();
        for (long moment : MOMENTS_US) {
            long at = CHANGE_US + moment;
            for (int who = 0; who < SIZE; who++) {
                all.add(new Fault(Kind.KILL, who, at, 0, 0));
                all.add(new Fault(Kind.KILL, who, at, 400_000, 0));
                all.add(new Fault(Kind.STOP, who, at, 900_000, 0));
                all.add(new Fault(Kind.STOP, who, at, 4_000_000, 0));
                all.add(new Fault(Kind.MUTE, who, at, 3_000_000, 0));
                all.add(new Fault(Kind.DEAF, who, at, 3_000_000, 0));
                all.add(new Fault(Kind.PAIR, who, at, 3_000_000, 0));
                all.add(new Fault(Kind.HOLD, who, at, 3_000_000, 0));
            }
            all.add(new Fault(Kind.CUT, 1, at, 3_000_000, 0));
            all.add(new Fault(Kind.CUT, 2, at, 3_000_000, 0));
            all.add(new Fault(Kind.REORDER, 0, at, 2_000_000, 900));
            all.add(new Fault(Kind.REPEAT, 0, at, 2_000_000, 100));
        }
        return all;
    }

    /** Plays every combination of up to so many faults, 1 or 2, over seeds, until one breaks a promise. */
    public static Result run(int faults, int seeds, RulesSim.Maker maker) {
        List<Fault> alphabet = alphabet();
        long played = 0;
        long longest = 0;
        for (int first = 0; first < alphabet.size(); first++) {
            for (int second = faults > 1 ? first : alphabet.size() - 1; second < alphabet.size(); second++) {
                List<Fault> chosen = faults > 1 && second != first
                        ? List.of(alphabet.get(first), alphabet.get(second))
                        : List.of(alphabet.get(first));
                for (int seed = 1; seed <= seeds; seed++) {
                    RulesSim sim = new RulesSim(SIZE, SIZE, SHORT, seed, maker);
                    sim.arm(new FleetPlan(SIZE, seed, 0, chosen));
                    // The first version settles, the second comes at the change, a third some time after it.
                    sim.proposeAt(4_000_000, CHANGE_US, CHANGE_US + 2_500_000);
                    sim.run(CHANGE_US + 9_000_000);
                    played++;
                    longest = Math.max(longest, sim.longestUs());
                    if (!sim.fault().isEmpty()) {
                        return new Result(played, sim.fault(), chosen, longest);
                    }
                }
            }
        }
        return new Result(played, "", List.of(), longest);
    }
}
