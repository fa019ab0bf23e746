package petrelstand.lab.capacity;

import java.util.List;
import java.util.Map;

/** A simulated fleet as an experiment drives it. Times are virtual, in microseconds. */
interface Play {
    long S = 1_000_000;

    long nowUs();

    void run(long untilUs);

    /** Whether all members that run agree. */
    boolean settled();

    /** The members by what they do now. */
    Map<Group, List<Integer>> groups();

    /** Drops what the simulation keeps for its own checks, before the heap is looked at. */
    default void forget() {}

    /** Begins a load that {@code amount} measures, or a fault, for so many seconds from now on. */
    void begin(Event event, int amount, int seconds);
}
