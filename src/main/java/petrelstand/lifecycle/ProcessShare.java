package petrelstand.lifecycle;

/**
 * The share of a gateway's allowances (load on cold nodes, volumes' limits) that this process may use, while a second
 * process of the same gateway may run during a hot restart. Each process leaves a mark and periodically scans for the
 * marks of others. The shares of all processes never add up to more than 1:
 *
 * <ul>
 *   <li>The result of a scan is a lease of {@link #LEASE_US} from the start of the scan. After that the process assumes
 *       one more process than it found.
 *   <li>A process that finds another one at its start uses nothing until all leases that may have missed its mark have
 *       expired.
 * </ul>
 *
 * <p>The processes exchange no messages for this, so that none can be lost. Times are microseconds of this process's
 * clock. Not thread-safe.
 */
public final class ProcessShare {
    /** How long the result of a scan is valid; scans run ten times as often. */
    public static final long LEASE_US = 1_000_000;
    /** Added to the lease, for a turn of the other process's loop that still uses the time at which it began. */
    public static final long MAX_TURN_US = 500_000;

    private boolean marked;
    private long usableFromUs;
    private long scannedUs;
    private int others;

    /**
     * Records that this process left its mark, not later than {@code atUs}, and then found {@code found} other
     * processes. Call again if the mark had disappeared and was renewed.
     */
    public void recordMark(long atUs, int found) {
        boolean first = !marked;
        marked = true;
        usableFromUs = first && found == 0 ? Long.MIN_VALUE : atUs + LEASE_US + MAX_TURN_US;
        recordScan(atUs, found);
    }

    /** Records that a scan that began at {@code beganUs} found {@code found} other processes. */
    public void recordScan(long beganUs, int found) {
        scannedUs = beganUs;
        others = found;
    }

    /**
     * This process's share, from 0 to 1. Without a mark it is 1/2, because the other process can't see this one and
     * presumably failed to leave a mark in the same folder too.
     */
    public double share(long nowUs) {
        if (!marked) {
            return 0.5;
        }
        if (nowUs < usableFromUs) {
            return 0;
        }
        int unseen = nowUs < scannedUs + LEASE_US ? 0 : 1;
        return 1.0 / (1 + others + unseen);
    }
}
