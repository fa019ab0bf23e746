package petrelstand.state;

import java.util.Optional;

/**
 * Decides when the next snapshot is taken: one at a time, at a fixed interval, with exponential backoff after failures.
 * Reports once that writing has failed or hangs, and once that it works again. Times are microseconds of the event
 * loop's clock.
 */
public final class SnapshotSchedule {
    /** A write that lasts this long is reported as hung. */
    public static final long HUNG_WRITE_US = 2_000_000;

    private static final long INITIAL_BACKOFF_US = 1_000_000;
    private static final long MAX_BACKOFF_US = 60_000_000;
    /** Keeps the shifted backoff far from overflow. */
    private static final int MAX_BACKOFF_SHIFT = 20;

    private final long intervalUs;
    private long nextCheckUs;
    private long writeStartUs;
    private boolean isWriting;
    private boolean failureReported;
    private int failures;

    /** Creates a schedule whose first snapshot is due one interval from now. */
    public SnapshotSchedule(long nowUs, long everyUs) {
        if (everyUs <= 0) {
            throw new IllegalArgumentException("the snapshot interval must be positive, but is " + everyUs);
        }
        this.intervalUs = everyUs;
        this.nextCheckUs = nowUs + everyUs;
    }

    /** Returns whether a snapshot should be taken now. */
    public boolean isDue(long nowUs) {
        return !isWriting && nowUs >= nextCheckUs;
    }

    /** Returns when {@link #isDue} and {@link #checkHung} should be called again. */
    public long nextCheckUs(long nowUs) {
        return Math.max(
                nowUs + 1,
                isWriting ? failureReported ? nowUs + intervalUs : writeStartUs + HUNG_WRITE_US : nextCheckUs);
    }

    public boolean isWriting() {
        return isWriting;
    }

    /**
     * Records the start of a write.
     *
     * @throws IllegalStateException if another write is in progress
     */
    public void writeStarted(long nowUs) {
        if (isWriting) {
            throw new IllegalStateException("cannot start a snapshot write: another one is in progress");
        }
        isWriting = true;
        writeStartUs = nowUs;
    }

    /** Returns the line to log if the write in progress has just been found to hang. */
    public Optional<String> checkHung(long nowUs) {
        if (!isWriting || failureReported || nowUs < writeStartUs + HUNG_WRITE_US) {
            return Optional.empty();
        }
        failureReported = true;
        return Optional.of("a write has not ended in " + HUNG_WRITE_US / 1_000_000
                + " s; serving continues without new snapshots");
    }

    /**
     * Records the end of a write.
     *
     * @param error why it failed, null if it succeeded
     * @return the line to log if this changes whether writing works
     */
    public Optional<String> writeEnded(long nowUs, String error) {
        isWriting = false;
        if (error == null) {
            boolean wasFailing = failureReported;
            failureReported = false;
            failures = 0;
            nextCheckUs = Math.max(writeStartUs + intervalUs, nowUs);
            return wasFailing ? Optional.of("writing snapshots works again") : Optional.empty();
        }
        long backoffUs = Math.min(MAX_BACKOFF_US, INITIAL_BACKOFF_US << Math.min(failures++, MAX_BACKOFF_SHIFT));
        nextCheckUs = nowUs + Math.max(intervalUs, backoffUs);
        boolean firstFailure = !failureReported;
        failureReported = true;
        return firstFailure
                ? Optional.of("cannot write a snapshot: " + error + "; serving continues without new snapshots")
                : Optional.empty();
    }
}
