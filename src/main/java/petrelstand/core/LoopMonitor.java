package petrelstand.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Counts the iterations of the event loop and reports those that begin late: the process was suspended, or short of
 * CPU, or one iteration took long. The loop calls {@link #beginIteration} before it handles the iteration's input, so
 * that a listener learns of a stall before anything else is done with the time that has passed. Times are µs of the
 * loop's clock. Not thread-safe but for {@link #iterations}.
 */
public final class LoopMonitor {
    /** Lateness from which on an iteration is reported, in µs. */
    public static final long STALL_THRESHOLD_US = 100_000;

    /** Receives the stalls of the loop. */
    public interface StallListener {
        /** Called on the loop's thread, before the iteration's input, with the iteration's time and its lateness. */
        void onStall(long nowUs, long durationUs);
    }

    private final List<StallListener> listeners = new ArrayList<>();
    /** Written only by the loop's thread. */
    private volatile long iterations;

    /** Adds a listener; listeners are called in the order in which they were added. */
    public void addStallListener(StallListener listener) {
        listeners.add(listener);
    }

    /** Returns the number of iterations so far; may be called from any thread. */
    public long iterations() {
        return iterations;
    }

    /**
     * Begins an iteration.
     *
     * @param nowUs the iteration's time
     * @param dueUs the latest time at which it should have begun: when the earliest timer was due, a fixed time after
     *     the iteration before, or the time of that one if it left tasks or due timers
     */
    public void beginIteration(long nowUs, long dueUs) {
        iterations++;
        long lateUs = nowUs - dueUs;
        if (lateUs >= STALL_THRESHOLD_US) {
            listeners.forEach(listener -> listener.onStall(nowUs, lateUs));
        }
    }
}
