package petrelstand.accounts;

import java.util.Arrays;

/**
 * The usual time that a unit takes at a node: the lower quartile of the last answers that found nothing of ours before
 * them. The quartile, not the mean, since some of these waited for what we cannot see. The last few tell whether the
 * node is slow now: one that has unseen work still answers some at once, one that is slow answers none at its usual
 * time.
 */
final class UsualTime {
    private static final int KEPT = 128;
    private static final int RECENT = 8;
    /** Answers that are needed before a usual time is known, and before a node can be called slow. */
    private static final int LEAST = 4;

    private static final int LEAST_FOR_SLOW = 16;
    /** So much slower than usual, in the fastest of the last few answers, is slow. */
    static final double SLOW_TIMES = 1.6;

    private final long[] kept = new long[KEPT];
    private final long[] recent = new long[RECENT];
    private int count;

    /** A request of so many units took so long, and found nothing of ours before it. */
    void add(long tookUs, double units) {
        long unitUs = Math.max(1, (long) (tookUs / Math.max(1e-3, units)));
        recent[count % RECENT] = unitUs;
        // While it is slow its usual time stays what it was.
        if (!slow()) {
            kept[count % KEPT] = unitUs;
        }
        if (kept[count % KEPT] == 0) {
            kept[count % KEPT] = unitUs;
        }
        count++;
    }

    boolean known() {
        return count >= LEAST;
    }

    /** Microseconds a unit; 0 where nothing is known. */
    long unitUs() {
        int have = Math.min(count, KEPT);
        if (have == 0) {
            return 0;
        }
        long[] sorted = Arrays.copyOf(kept, have);
        Arrays.sort(sorted);
        return sorted[have / 4];
    }

    /** True where even the fastest of the last few took much longer than usual. */
    boolean slow() {
        if (count < LEAST_FOR_SLOW) {
            return false;
        }
        long fastest = Long.MAX_VALUE;
        for (long one : recent) {
            fastest = Math.min(fastest, one);
        }
        return fastest > SLOW_TIMES * unitUs();
    }
}
