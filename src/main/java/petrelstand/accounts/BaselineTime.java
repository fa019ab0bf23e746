package petrelstand.accounts;

import java.util.Arrays;

/**
 * The usual time that a unit takes at a node: the lower quartile of the last answers that found nothing of ours before
 * them. The quartile, not the mean, since some of these waited for what we cannot see. The last few tell whether the
 * node is slow now: one that has unseen work still answers some at once, one that is slow answers none at its usual
 * time.
 */
final class BaselineTime {
    private static final int MAX_SAMPLES = 128;
    private static final int RECENT_SAMPLES = 8;
    /** Answers that are needed before a usual time is known, and before a node can be called slow. */
    private static final int MIN_SAMPLES = 4;

    private static final int MIN_SAMPLES_FOR_SLOW = 16;
    /** So much slower than usual, in the fastest of the last few answers, is slow. */
    static final double SLOW_FACTOR = 1.6;

    private final long[] samples = new long[MAX_SAMPLES];
    private final long[] recent = new long[RECENT_SAMPLES];
    private int count;

    /** A request of so many units took so long, and found nothing of ours before it. */
    void add(long durationUs, double units) {
        long unitUs = Math.max(1, (long) (durationUs / Math.max(1e-3, units)));
        recent[count % RECENT_SAMPLES] = unitUs;
        // While it is slow its usual time stays what it was.
        if (!isSlow()) {
            samples[count % MAX_SAMPLES] = unitUs;
        }
        if (samples[count % MAX_SAMPLES] == 0) {
            samples[count % MAX_SAMPLES] = unitUs;
        }
        count++;
    }

    boolean isKnown() {
        return count >= MIN_SAMPLES;
    }

    /** Microseconds a unit; 0 where nothing is known. */
    long unitUs() {
        int sampleCount = Math.min(count, MAX_SAMPLES);
        if (sampleCount == 0) {
            return 0;
        }
        long[] sorted = Arrays.copyOf(samples, sampleCount);
        Arrays.sort(sorted);
        return sorted[sampleCount / 4];
    }

    /** True where even the fastest of the last few took much longer than usual. */
    boolean isSlow() {
        if (count < MIN_SAMPLES_FOR_SLOW) {
            return false;
        }
        long fastest = Long.MAX_VALUE;
        for (long sampleUs : recent) {
            fastest = Math.min(fastest, sampleUs);
        }
        return fastest > SLOW_FACTOR * unitUs();
    }
}
