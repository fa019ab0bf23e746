package petrelstand.lifecycle;

/**
 * Detects a stalled event loop from the observations of a watchdog thread, made once per period. Only time in which the
 * watchdog itself ran is counted, at most one period per observation, so that neither a stopped process nor a clock
 * that jumps is taken for a stalled loop.
 *
 * <p>Times are nanoseconds of a clock with an arbitrary origin. Not thread-safe.
 */
public final class StallDetector {
    /** The time between two observations. */
    public static final long PERIOD_NS = 1_000_000_000L;
    /**
     * Longer than the longest intended turn, the warm-up at the start: 1.8 s and one more round, which takes a second
     * or two on a quarter of a core. The rest is margin, since ending a process that would have gone on costs all of
     * its connections.
     */
    public static final long LIMIT_NS = 15 * PERIOD_NS;

    private long lastNs;
    private long lastTurns;
    private long stalledNs;

    /** Starts observing a loop that has made {@code turns} turns so far. */
    public StallDetector(long nowNs, long turns) {
        lastNs = nowNs;
        lastTurns = turns;
    }

    /** Records the loop's turn count; true if the loop has been stalled for {@link #LIMIT_NS}. */
    public boolean observe(long nowNs, long turns) {
        long ranNs = Math.min(PERIOD_NS, Math.max(0, nowNs - lastNs));
        stalledNs = turns == lastTurns ? stalledNs + ranNs : 0;
        lastNs = nowNs;
        lastTurns = turns;
        return stalledNs >= LIMIT_NS;
    }

    /** True if the loop made no turn between the last two observations: it is stalled, or idle. */
    public boolean mayBeIdle() {
        return stalledNs > 0;
    }
}
