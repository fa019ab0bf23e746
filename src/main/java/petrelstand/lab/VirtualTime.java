package petrelstand.lab;

import java.util.PriorityQueue;

/** Events in order of their time, those of one time in the order they were set; the time goes from one to the next. */
public final class VirtualTime {
    private record Event(long atUs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowUs = 1;
    private long order;

    public long nowUs() {
        return nowUs;
    }

    /** Sets an event; one in the past comes at once. */
    public void at(long us, Runnable action) {
        events.add(new Event(us, order++, action));
    }

    /** Plays on to a time, its events among them. */
    public void run(long untilUs) {
        while (!events.isEmpty() && events.peek().atUs() <= untilUs) {
            Event event = events.poll();
            nowUs = Math.max(nowUs, event.atUs());
            event.action().run();
        }
        nowUs = Math.max(nowUs, untilUs);
    }

    /** Drops all events: nothing more happens. */
    public void end() {
        events.clear();
    }
}
