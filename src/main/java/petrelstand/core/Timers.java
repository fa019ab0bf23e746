package petrelstand.core;

import java.util.PriorityQueue;

/**
 * One-shot timers on the event loop's clock, in microseconds. Timers that are due at the same time run in the order in
 * which they were scheduled.
 */
public final class Timers {
    /** A scheduled timer. */
    public final class Timer implements Comparable<Timer> {
        private final long atUs;
        private final long order;
        private Runnable action;

        private Timer(long atUs, long order, Runnable action) {
            this.atUs = atUs;
            this.order = order;
            this.action = action;
        }

        /** Cancels the timer; false, without effect, if it has run or was cancelled before. */
        public boolean cancel() {
            boolean waiting = action != null;
            action = null;
            cancelled += waiting ? 1 : 0;
            return waiting;
        }

        @Override
        public int compareTo(Timer other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    /** With no more cancelled timers than this the queue is not purged. */
    private static final int PURGE_THRESHOLD = 256;

    private final PriorityQueue<Timer> queue = new PriorityQueue<>();
    private long order;
    private int cancelled;

    /** The number of timers in the queue, including cancelled ones that were not removed yet. */
    int size() {
        return queue.size();
    }

    /** The number of timers that wait for their time. */
    public int pending() {
        return queue.size() - cancelled;
    }

    /** Schedules an action. Purges the cancelled timers first if they make up more than half of a large queue. */
    public Timer schedule(long atUs, Runnable action) {
        if (cancelled > PURGE_THRESHOLD && cancelled > queue.size() / 2) {
            queue.removeIf(timer -> timer.action == null);
            cancelled = 0;
        }
        Timer timer = new Timer(atUs, order++, action);
        queue.add(timer);
        return timer;
    }

    /** When the next timer is due; Long.MAX_VALUE if none is scheduled. */
    public long nextDueUs() {
        while (!queue.isEmpty() && queue.peek().action == null) {
            queue.poll();
            cancelled--;
        }
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().atUs;
    }

    /**
     * Runs the timers that are due. A timer that is scheduled meanwhile waits for the next call, even if it is due
     * already: timers that reschedule themselves for the current time must not block the event loop.
     */
    public void runDue(long nowUs) {
        long limit = order;
        while (nextDueUs() <= nowUs && queue.peek().order < limit) {
            Timer timer = queue.poll();
            Runnable action = timer.action;
            timer.action = null;
            action.run();
        }
    }
}
