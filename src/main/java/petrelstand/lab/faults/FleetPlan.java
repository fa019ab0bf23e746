package petrelstand.lab.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Faults between the processes of a fleet, in order of time: the same plan is played in virtual time and between real
 * processes.
 */
public record FleetPlan(int size, long seed, long lengthUs, List<Fault> faults) {
    /** What goes wrong. */
    public enum Kind {
        /** SIGKILL; {@code length} later it starts again, never where that is 0. */
        KILL,
        /** SIGTERM; started again as after KILL. */
        TERM,
        /** SIGSTOP, and SIGCONT after {@code length}. */
        STOP,
        /** The first {@code who} processes neither hear nor reach the others. */
        CUT,
        /** Nothing goes from process {@code who} to any other. */
        MUTE,
        /** Nothing reaches process {@code who}. */
        DEAF,
        /** Nothing goes between process {@code who} and the next, either way. */
        PAIR,
        /** A part of all messages, {@code amount} percent, is lost. */
        LOSS,
        /** All messages of process {@code who} take {@code amount} ms longer. */
        SLOW,
        /** {@code amount} percent of all messages come twice, the second up to a second late. */
        REPEAT,
        /** Every message takes up to {@code amount} ms longer, each another time. */
        REORDER,
        /** What goes to and from process {@code who} is held, and let go when the fault ends. */
        HOLD,
        /** {@code amount} messages a second pass each link of process {@code who}. */
        TRICKLE,
        /** Killed, and started again with a wall clock that is off by {@code amount} minutes; real processes only. */
        CLOCK,
        /** Killed, and started again with an empty folder; real processes only, as all that follow. */
        EMPTY,
        /** Killed, and started again with the folder as it was at the first start. */
        COPY,
        /** Killed, and started again with a folder that fails each write, or for an amount of 1 hangs. */
        FOLDER,
        /** Another process comes under the name of process {@code who}, for {@code length}. */
        NAMESAKE,
        /** A process with another key comes, for {@code length}. */
        STRANGER;

        /** Whether it strikes links, and so not a process. */
        public boolean ofLinks() {
            return ordinal() >= CUT.ordinal() && ordinal() <= TRICKLE.ordinal();
        }
    }

    private static final int DRAWN = Kind.TRICKLE.ordinal() + 1;

    /** One fault: who it strikes (from 0), when, for how long and how much. */
    public record Fault(Kind kind, int who, long atUs, long lengthUs, int amount) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%s who=%d at=%.1fs for=%.1fs amount=%d",
                    kind,
                    who,
                    atUs / 1e6,
                    lengthUs / 1e6,
                    amount);
        }
    }

    public FleetPlan {
        faults = List.copyOf(faults);
    }

    /** Without one of the faults. */
    public FleetPlan without(int place) {
        List<Fault> fewer = new ArrayList<>(faults);
        fewer.remove(place);
        return new FleetPlan(size, seed, lengthUs, fewer);
    }

    /** When the last fault has ended. */
    public long calmUs() {
        return faults.stream().mapToLong(f -> f.atUs() + f.lengthUs()).max().orElse(0);
    }

    /** Faults drawn by a seed, the first after 5 s; the day goes on for 10 s after the last. */
    public static FleetPlan draw(int size, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> faults = new ArrayList<>();
        int many = 1 + random.nextInt(5);
        for (int i = 0; i < many; i++) {
            Kind kind = Kind.values()[random.nextInt(DRAWN)];
            long at = 5_000_000 + random.nextLong(10_000_000);
            boolean forGood = (kind == Kind.KILL || kind == Kind.TERM) && random.nextInt(3) == 0;
            long length = forGood ? 0 : 300_000 + random.nextLong(8_000_000);
            int who = kind == Kind.CUT ? 1 + random.nextInt(size - 1) : random.nextInt(size);
            int amount = switch (kind) {
                case LOSS -> 1 + random.nextInt(30);
                case SLOW -> 10 + random.nextInt(600);
                case REPEAT -> 1 + random.nextInt(50);
                case REORDER -> 1 + random.nextInt(400);
                case TRICKLE -> 1 + random.nextInt(30);
                default -> 0;
            };
            faults.add(new Fault(kind, who, at, length, amount));
        }
        FleetPlan plan = new FleetPlan(size, seed, 0, faults);
        return new FleetPlan(size, seed, Math.max(15_000_000, plan.calmUs()) + 10_000_000, faults);
    }
}
