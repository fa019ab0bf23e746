package petrelstand.state;

import java.util.Optional;

/**
 * Decides when the next snapshot is taken: one at a time, at a steady pace, after a failure later and later. It says
 * once that writing has stopped working, whether by a fault or by a write that does not end, and once that it works
 * again. Times are microseconds of the loop's clock.
 */
public final class SnapshotSchedule {
    /** A write that lasts longer is said to hang. */
    public static final long HUNG_WRITE_US = 2_000_000;

    private static final long INITIAL_BACKOFF_US = 1_000_000;
    private static final long MAX_BACKOFF_US = 60_000_000;

    private final long intervalUs;
    private long nextCheckUs;
    private long writeStartUs;
    private boolean isWriting;
    private boolean failureReported;
    private int failures;

    /** The first snapshot is due a whole interval after the start: earlier there is nothing to keep. */
    public SnapshotSchedule(long nowUs, long everyUs) {
        if (everyUs <= 0) {
            throw new IllegalArgumentException("the interval must be positive, not " + everyUs);
        }
        this.intervalUs = everyUs;
        this.nextCheckUs = nowUs + everyUs;
    }

    /** True where a snapshot is to be taken now. */
    public boolean isDue(long nowUs) {
        return !isWriting && nowUs >= nextCheckUs;
    }

    /** When to look again. */
    public long nextCheckUs(long nowUs) {
        return Math.max(nowUs + 1, isWriting ? failureReported ? nowUs + intervalUs : writeStartUs + HUNG_WRITE_US : nextCheckUs);
    }

    public boolean isWriting() {
        return isWriting;
    }

    /** A write began; IllegalStateException where another has not ended. */
    public void writeStarted(long nowUs) {
        if (isWriting) {
            throw new IllegalStateException("a write is under way");
        }
        isWriting = true;
        writeStartUs = nowUs;
    }

    /** Looks at a write under way; the line to be logged where it has just been found to hang. */
    public Optional<String> checkHung(long nowUs) {
        if (!isWriting || failureReported || nowUs < writeStartUs + HUNG_WRITE_US) {
            return Optional.empty();
        }
        failureReported = true;
        return Optional.of("a write has not ended in " + HUNG_WRITE_US / 1_000_000 + " s; service goes on without");
    }

    /** The write ended, with a fault or (null) without; the line to be logged where that is news. */
    public Optional<String> writeEnded(long nowUs, String fault) {
        isWriting = false;
        if (fault == null) {
            boolean news = failureReported;
            failureReported = false;
            failures = 0;
            nextCheckUs = Math.max(writeStartUs + intervalUs, nowUs);
            return news ? Optional.of("written again") : Optional.empty();
        }
        long backOff = Math.min(MAX_BACKOFF_US, INITIAL_BACKOFF_US << Math.min(failures++, 20));
        nextCheckUs = nowUs + Math.max(intervalUs, backOff);
        boolean news = !failureReported;
        failureReported = true;
        return news ? Optional.of("not written: " + fault + "; service goes on without") : Optional.empty();
    }
}
