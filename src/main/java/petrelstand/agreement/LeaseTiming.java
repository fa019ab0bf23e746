package petrelstand.agreement;

/**
 * The bound on contradictions and what follows from it, in microseconds. Two gateways that act on contradicting rules
 * have done so for less than {@code withinUs}, as long as no monotonic clock runs faster or slower than the others by
 * more than the drift.
 *
 * @param withinUs the promise, T
 * @param drift by how much a second of one clock may differ from a second of another, at most 0.1
 */
public record LeaseTiming(long maxConflictUs, double drift) {
    public static final LeaseTiming DEFAULT = new LeaseTiming(5_000_000, 0.01);
    /** Of the promise a lease takes so much; the rest is for turns that come late and for the history's own times. */
    private static final double PART = 0.8;

    public LeaseTiming {
        if (maxConflictUs < 200_000 || !(drift >= 0 && drift <= 0.1)) {
            throw new IllegalArgumentException("a promise under 200 ms, or a drift over a tenth");
        }
    }

    /** How long a gateway may act on a version, by its own clock, from the moment when it asked. */
    public long leaseUs() {
        return (long) (maxConflictUs * PART / stretch());
    }

    /** After so long, by the leader's clock, a lease that was asked for before has surely run out by its holder's. */
    public long expiredAfterUs() {
        return (long) Math.ceil(leaseUs() * stretch()) + 1;
    }

    private double stretch() {
        return (1 + drift) / (1 - drift);
    }
}
