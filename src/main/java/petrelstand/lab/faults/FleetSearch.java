package petrelstand.lab.faults;

import java.util.ArrayList;
import java.util.List;
import petrelstand.lab.faults.FleetPlan.Fault;
import petrelstand.lab.faults.FleetPlan.Kind;

/**
 * All faults among three gateways, up to a number of them, in every combination of kind, place and one of the moments:
 * crash with and without a restart, order to end, a stop of two lengths, each cut, each one-way link, and a change of
 * the messages' order and number (reversed within a window, held and let go, each twice). Messages of the calm
 * stretches come in one order a seed; within a fault's window every later one may overtake. Three seeds give three such
 * orders.
 */
public final class FleetSearch {
    /** Moments at which a fault may begin: one ping is between two of them. */
    static final int MOMENTS = 8;

    private static final long FIRST_US = 4_000_000;
    private static final long STEP_US = 275_000;
    private static final int ORDERS = 3;
    private static final int SIZE = 3;

    /** How many courses were played, and the first that broke a promise. */
    public record Result(long played, String fault, FleetPlan plan) {
        @Override
        public String toString() {
            return played + " courses played; " + (fault.isEmpty() ? "no promise broken" : fault + " in " + plan);
        }
    }

    private FleetSearch() {}

    /** The faults that may begin at each moment, in an order of their own. */
    static List<Fault> alphabet() {
        List<Fault> all = new ArrayList<>();
        for (int moment = 0; moment < MOMENTS; moment++) {
            long at = FIRST_US + moment * STEP_US;
            for (int who = 0; who < SIZE; who++) {
                all.add(new Fault(Kind.KILL, who, at, 0, 0));
                all.add(new Fault(Kind.KILL, who, at, 600_000, 0));
                all.add(new Fault(Kind.TERM, who, at, 700_000, 0));
                all.add(new Fault(Kind.STOP, who, at, 900_000, 0));
                all.add(new Fault(Kind.STOP, who, at, 3_000_000, 0));
                all.add(new Fault(Kind.MUTE, who, at, 2_600_000, 0));
                all.add(new Fault(Kind.DEAF, who, at, 2_600_000, 0));
                all.add(new Fault(Kind.PAIR, who, at, 3_000_000, 0));
                all.add(new Fault(Kind.HOLD, who, at, 2_600_000, 0));
            }
            all.add(new Fault(Kind.CUT, 1, at, 2_600_000, 0));
            all.add(new Fault(Kind.CUT, 2, at, 2_600_000, 0));
            all.add(new Fault(Kind.REORDER, 0, at, 2_000_000, 700));
            all.add(new Fault(Kind.REPEAT, 0, at, 2_000_000, 100));
        }
        return all;
    }

    /** Plays every combination of up to so many faults, 1 or 2, until one breaks a promise. */
    public static Result run(int faults, FleetSim.Maker maker) {
        List<Fault> alphabet = alphabet();
        long played = 0;
        for (int first = 0; first < alphabet.size(); first++) {
            for (int second = faults > 1 ? first : alphabet.size() - 1; second < alphabet.size(); second++) {
                List<Fault> chosen = faults > 1 && second != first
                        ? List.of(alphabet.get(first), alphabet.get(second))
                        : List.of(alphabet.get(first));
                for (int order = 1; order <= ORDERS; order++) {
                    FleetPlan calm = new FleetPlan(SIZE, order, 0, chosen);
                    FleetPlan plan =
                            new FleetPlan(SIZE, order, calm.calmUs() + FleetSim.ONE_VIEW_US + 1_000_000, chosen);
                    String fault = FleetSim.play(plan, maker);
                    played++;
                    if (!fault.isEmpty()) {
                        return new Result(played, fault, plan);
                    }
                }
            }
        }
        return new Result(played, "", null);
    }
}
