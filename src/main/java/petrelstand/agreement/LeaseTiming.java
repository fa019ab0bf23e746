package petrelstand.agreement;

/**
 * The bound on conflicts between gateways, and the lease times that follow from it, in microseconds. Two gateways apply
 * conflicting rules for less than {@code maxConflictUs}, as long as no monotonic clock deviates from another by more
 * than {@code drift}.
 *
 * @param maxConflictUs the bound, at least 200 ms
 * @param drift maximum relative difference between the rates of two clocks, 0 to 0.1
 */
public record LeaseTiming(long maxConflictUs, double drift) {
    public static final LeaseTiming DEFAULT = new LeaseTiming(5_000_000, 0.01);
    /** Share of the bound that a lease lasts; the rest covers event loop delays. */
    private static final double LEASE_SHARE = 0.8;

    public LeaseTiming {
        if (maxConflictUs < 200_000 || !(drift >= 0 && drift <= 0.1)) {
            throw new IllegalArgumentException("the conflict bound is below 200 ms, or the drift is not from 0 to 0.1");
        }
    }

    /** How long a gateway may apply a version, by its own clock, from the time when it sent the lease request. */
    public long leaseUs() {
        return (long) (maxConflictUs * LEASE_SHARE / clockRateRatio());
    }

    /** How long after a lease request, by the leader's clock, the lease has expired by the clock of its holder. */
    public long expiredAfterUs() {
        return (long) Math.ceil(leaseUs() * clockRateRatio()) + 1;
    }

    private double clockRateRatio() {
        return (1 + drift) / (1 - drift);
    }
}
