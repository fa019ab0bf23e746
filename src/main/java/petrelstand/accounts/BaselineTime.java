package petrelstand.accounts;

import java.util.Arrays;

/**
 * The baseline time of a unit of work: the lower quartile of the last samples, which are requests that found no other
 * request of the gateway at the node. A quartile, since some samples wait for work the gateway can't observe. The most
 * recent samples tell whether the node is slow: with unobserved work some of them still take the baseline time, on a
 * slow node none does.
 */
final class BaselineTime {
    private static final int MAX_SAMPLES = 128;
    private static final int RECENT_SAMPLES = 8;
    /** Samples needed before the baseline is known. */
    private static final int MIN_SAMPLES = 4;

    /** Samples needed before a node can count as slow. */
    private static final int MIN_SAMPLES_FOR_SLOW = 16;
    /** A node is slow if its fastest recent sample exceeds the baseline by more than this factor. */
    static final double SLOW_FACTOR = 1.6;

    private final long[] samples = new long[MAX_SAMPLES];
    private final long[] recent = new long[RECENT_SAMPLES];
    private int count;

    /** Adds the duration of a request of {@code units} units that found the node idle. */
    void add(long durationUs, double units) {
        long unitUs = Math.max(1, (long) (durationUs / Math.max(1e-3, units)));
        recent[count % RECENT_SAMPLES] = unitUs;
        // A slow node keeps its baseline.
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

    /** The baseline in microseconds per unit, 0 without samples. */
    long unitUs() {
        int sampleCount = Math.min(count, MAX_SAMPLES);
        if (sampleCount == 0) {
            return 0;
        }
        long[] sorted = Arrays.copyOf(samples, sampleCount);
        Arrays.sort(sorted);
        return sorted[sampleCount / 4];
    }

    /** True if even the fastest recent sample is far above the baseline. */
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
