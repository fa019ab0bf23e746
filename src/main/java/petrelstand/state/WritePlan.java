package petrelstand.state;

import java.util.Optional;

/**
 * Decides when the next snapshot is taken: one at a time, at a steady pace, after a failure later and later. It says
 * once that writing has stopped working, whether by a fault or by a write that does not end, and once that it works
 * again. Times are microseconds of the loop's clock.
 */
public final class WritePlan {
    /** A write that lasts longer is said to hang. */
    public static final long HUNG_US = 2_000_000;

    private static final long FIRST_BACK_OFF_US = 1_000_000;
    private static final long MOST_BACK_OFF_US = 60_000_000;

    private final long everyUs;
    private long nextUs;
    private long beganUs;
    private boolean writing;
    private boolean told;
    private int failures;

    /** The first snapshot is due a whole interval after the start: earlier there is nothing to keep. */
    public WritePlan(long nowUs, long everyUs) {
        if (everyUs <= 0) {
            throw new IllegalArgumentException("the interval must be positive, not " + everyUs);
        }
        this.everyUs = everyUs;
        this.nextUs = nowUs + everyUs;
    }

    /** True where a snapshot is to be taken now. */
    public boolean due(long nowUs) {
        return !writing && nowUs >= nextUs;
    }

    /** When to look again. */
    public long nextUs(long nowUs) {
        return Math.max(nowUs + 1, writing ? told ? nowUs + everyUs : beganUs + HUNG_US : nextUs);
    }

    public boolean writing() {
        return writing;
    }

    /** A write began; IllegalStateException where another has not ended. */
    public void began(long nowUs) {
        if (writing) {
            throw new IllegalStateException("a write is under way");
        }
        writing = true;
        beganUs = nowUs;
    }

    /** Looks at a write under way; the line to be logged where it has just been found to hang. */
    public Optional<String> look(long nowUs) {
        if (!writing || told || nowUs < beganUs + HUNG_US) {
            return Optional.empty();
        }
        told = true;
        return Optional.of("a write has not ended in " + HUNG_US / 1_000_000 + " s; service goes on without");
    }

    /** The write ended, with a fault or (null) without; the line to be logged where that is news. */
    public Optional<String> ended(long nowUs, String fault) {
        writing = false;
        if (fault == null) {
            boolean news = told;
            told = false;
            failures = 0;
            nextUs = Math.max(beganUs + everyUs, nowUs);
            return news ? Optional.of("written again") : Optional.empty();
        }
        long backOff = Math.min(MOST_BACK_OFF_US, FIRST_BACK_OFF_US << Math.min(failures++, 20));
        nextUs = nowUs + Math.max(everyUs, backOff);
        boolean news = !told;
        told = true;
        return news ? Optional.of("not written: " + fault + "; service goes on without") : Optional.empty();
    }
}
