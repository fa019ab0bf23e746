package petrelstand.net;

/**
 * The loop's time: microseconds that never go back, read once a turn. It starts at the Unix time of the process's
 * start, so that a Unix time from discovery stands for the same moment on it, always the same number, and is greater
 * than 0 even where it lies before the process's start. A clock that began at 0 would make a node that started just
 * before the gateway look as if it had started long ago.
 */
public final class LoopClock {
    private final long offsetUs;
    private long nowUs;

    public LoopClock() {
        offsetUs = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;
        turn();
    }

    /** The time of this turn. */
    public long nowUs() {
        return nowUs;
    }

    /** The time right now, from any thread. */
    public long readUs() {
        return System.nanoTime() / 1000 + offsetUs;
    }

    void turn() {
        nowUs = readUs();
    }
}
