package petrelstand.net;

/**
 * The event loop's monotonic clock, in microseconds, read once per iteration of the loop.
 *
 * <p>Its origin is the Unix epoch as the system clock had it when the process started. Unix times from discovery, such
 * as the start of a node, can therefore be compared with it directly, including times before the gateway started.
 */
public final class LoopClock {
    private final long offsetUs;
    private long nowUs;

    public LoopClock() {
        offsetUs = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;
        update();
    }

    /** Returns the time read right after the last select; only for the loop's thread. */
    public long nowUs() {
        return nowUs;
    }

    /** Reads the clock; safe to call from any thread. */
    public long readUs() {
        return System.nanoTime() / 1000 + offsetUs;
    }

    /** Sets the time that {@link #nowUs} returns. */
    void update() {
        nowUs = readUs();
    }
}
