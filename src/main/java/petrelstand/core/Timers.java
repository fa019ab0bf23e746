package petrelstand.core;

import java.util.PriorityQueue;

/** Timers on the loop's clock, in microseconds; those due at one time run in the order they were set. */
public final class Timers {
    /** A timer as set; cancelling it twice, or after it ran, does nothing. */
    public final class Timer implements Comparable<Timer> {
        private final long atUs;
        private final long order;
        private Runnable action;

        private Timer(long atUs, long order, Runnable action) {
            this.atUs = atUs;
            this.order = order;
            this.action = action;
        }

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

    private static final int FEW = 256;

    private final PriorityQueue<Timer> queue = new PriorityQueue<>();
    private long order;
    private int cancelled;

    /** Timers kept, those cancelled and not yet dropped among them. */
    int size() {
        return queue.size();
    }

    /** Sets a timer. Where half of those kept were cancelled, these are dropped: they would wait for their time. */
    public Timer schedule(long atUs, Runnable action) {
        if (cancelled > FEW && cancelled > queue.size() / 2) {
            queue.removeIf(timer -> timer.action == null);
            cancelled = 0;
        }
        Timer timer = new Timer(atUs, order++, action);
        queue.add(timer);
        return timer;
    }

    /** When the next timer is due; Long.MAX_VALUE where none is set. */
    public long nextDueUs() {
        while (!queue.isEmpty() && queue.peek().action == null) {
            queue.poll();
            cancelled--;
        }
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().atUs;
    }

    /**
     * Runs what is due. A timer set meanwhile waits for the next call even where it is due already: guards against a
     * turn of the loop that never ends because each timer sets one for now.
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
