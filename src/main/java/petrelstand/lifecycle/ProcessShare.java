package petrelstand.lifecycle;

/**
 * The part of what a gateway may spend (at cold nodes, of volumes' limits) that belongs to this process, where a second
 * process of the same gateway may live beside it. The parts of all processes never add up to more than the whole:
 *
 * <ul>
 *   <li>What a process knows of others is a lease. It ends {@link #LEASE_US} after the look that it rests on began;
 *       from then on the process shares with one more than it saw.
 *   <li>A process that finds another at its start spends nothing until each lease that was taken before its own mark
 *       could be seen has ended.
 * </ul>
 *
 * <p>Nothing passes from one process to the other for this, so nothing can be lost on the way. Times are µs of this
 * process's clock. Not for several threads.
 */
public final class ProcessShare {
    /** How long the findings of a look may be relied on. Looks come ten times as often. */
    public static final long LEASE_US = 1_000_000;
    /** Beyond the lease, for a turn of the other process's loop that goes by the time at which it began. */
    public static final long MAX_TURN_US = 500_000;

    private boolean recordMark;
    private long spendsFromUs;
    private long lookedUs;
    private int others;

    /**
     * This process left its mark, at the latest at a time, and then looked and found so many others. Called anew where
     * its mark had vanished and was left again.
     */
    public void recordMark(long atUs, int found) {
        boolean first = !recordMark;
        recordMark = true;
        spendsFromUs = first && found == 0 ? Long.MIN_VALUE : atUs + LEASE_US + MAX_TURN_US;
        recordScan(atUs, found);
    }

    /** A look that began at a time found so many other processes. */
    public void recordScan(long beganUs, int found) {
        lookedUs = beganUs;
        others = found;
    }

    /**
     * From 0 to 1. A process that could not leave a mark can't be seen either: it has half, as the other one has whose
     * mark failed in the same folder.
     */
    public double share(long nowUs) {
        if (!recordMark) {
            return 0.5;
        }
        if (nowUs < spendsFromUs) {
            return 0;
        }
        int unseen = nowUs < lookedUs + LEASE_US ? 0 : 1;
        return 1.0 / (1 + others + unseen);
    }
}
