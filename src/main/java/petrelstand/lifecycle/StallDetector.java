package petrelstand.lifecycle;

/**
 * Tells whether an event loop stands still, from what a watchdog sees of it once a period. Only time in which the
 * watchdog itself ran counts, a period at most for each time that it wakes: a process that was stopped and goes on, or
 * a clock that leaps, is no loop that stands still.
 *
 * <p>Times are nanoseconds of a clock whose origin means nothing. Not for several threads.
 */
public final class StallDetector {
    /** How often the watchdog looks. */
    public static final long PERIOD_NS = 1_000_000_000L;
    /**
     * For so long, as counted here, a loop may stand still. The longest turn that is meant, the start's rehearsal,
     * takes 1.8 s and one round more; on a machine that gives this process a quarter of a core that round takes a
     * second or two. The rest is margin: ending a process that would have gone on costs all of its connections.
     */
    public static final long LIMIT_NS = 15 * PERIOD_NS;

    private long lastNs;
    private long lastTurns;
    private long standingNs;

    /** Begins to look: {@code turns} is how often the loop has turned so far. */
    public StallDetector(long nowNs, long turns) {
        lastNs = nowNs;
        lastTurns = turns;
    }

    /** The watchdog woke up and sees the loop's count of turns. True where the loop has stood still for too long. */
    public boolean observe(long nowNs, long turns) {
        long ranNs = Math.min(PERIOD_NS, Math.max(0, nowNs - lastNs));
        standingNs = turns == lastTurns ? standingNs + ranNs : 0;
        lastNs = nowNs;
        lastTurns = turns;
        return standingNs >= LIMIT_NS;
    }

    /**
     * Whether the loop had not turned between the last two looks: it stands still, or waits because nothing happens.
     */
    public boolean mayBeIdle() {
        return standingNs > 0;
    }
}
