package petrelstand.lab.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * What the faults that are on do to each message between two processes: the same in virtual time and at the fault point
 * between real ones. Not for several threads at a time.
 */
public final class Links {
    /** Messages that wait on a link that is slow to a trickle; more are lost. */
    private static final int MOST_TRICKLING = 64;

    private static final long HELD_SPREAD_US = 50_000;

    private record On(FleetPlan.Fault fault, long untilUs) {}

    private final int size;
    private final SplittableRandom random;
    private final List<On> on = new ArrayList<>();
    private final Map<Integer, Long> freeUs = new HashMap<>();

    public Links(int size, long seed) {
        this.size = size;
        this.random = new SplittableRandom(seed);
    }

    /** A fault is on from now until a time. */
    public void begin(FleetPlan.Fault fault, long untilUs) {
        on.add(new On(fault, untilUs));
    }

    private int next(int who) {
        return (who + 1) % size;
    }

    /** How much later than usual each copy of a message arrives, µs; none where it is lost. */
    public List<Long> delays(int from, int to, long nowUs) {
        on.removeIf(one -> nowUs >= one.untilUs);
        long delay = 0;
        long copy = -1;
        for (On one : on) {
            FleetPlan.Fault fault = one.fault;
            int who = fault.who();
            boolean strikes = from == who || to == who;
            switch (fault.kind()) {
                case CUT -> {
                    if ((from < who) != (to < who)) {
                        return List.of();
                    }
                }
                case MUTE -> {
                    if (from == who) {
                        return List.of();
                    }
                }
                case DEAF -> {
                    if (to == who) {
                        return List.of();
                    }
                }
                case PAIR -> {
                    if (from == who && to == next(who) || to == who && from == next(who)) {
                        return List.of();
                    }
                }
                case LOSS -> {
                    if (random.nextInt(100) < fault.amount()) {
                        return List.of();
                    }
                }
                case SLOW -> delay += strikes ? (long) (fault.amount() * 1000L * (0.5 + random.nextDouble())) : 0;
                case REORDER -> delay += random.nextLong(fault.amount() * 1000L + 1);
                case REPEAT -> copy = random.nextInt(100) < fault.amount() ? random.nextLong(1_000_000) : copy;
                case HOLD -> delay += strikes ? one.untilUs - nowUs + random.nextLong(HELD_SPREAD_US) : 0;
                case TRICKLE -> {
                    if (strikes) {
                        long stepUs = 1_000_000L / Math.max(1, fault.amount());
                        long free = Math.max(nowUs, freeUs.getOrDefault(from * size + to, 0L));
                        if (free - nowUs > MOST_TRICKLING * stepUs) {
                            return List.of();
                        }
                        freeUs.put(from * size + to, free + stepUs);
                        delay += free - nowUs;
                    }
                }
                default -> {}
            }
        }
        return copy < 0 ? List.of(delay) : List.of(delay, delay + copy);
    }
}
