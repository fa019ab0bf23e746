package petrelstand.members;

/**
 * Intervals and timeouts of the membership protocol, in microseconds. A crash is known to all members within
 * {@code pingIntervalUs + suspectAfterUs + failAfterUs} plus the time that gossip takes. A member silent for less than
 * {@code suspectAfterUs + failAfterUs} never fails.
 *
 * @param pingIntervalUs interval between pings of a watched member
 * @param suspectAfterUs silence to direct and relayed pings after which a member becomes suspect
 * @param failAfterUs how long a suspect has to refute
 * @param retryIntervalUs interval between attempts to reach seeds and failed members, before jitter
 */
public record MembershipTiming(long pingIntervalUs, long suspectAfterUs, long failAfterUs, long retryIntervalUs) {
    /** The timing of a gateway whose settings give none. */
    public static final MembershipTiming DEFAULT = new MembershipTiming(250_000, 1_000_000, 1_000_000, 1_000_000);
    /** Interval at which {@link Membership#tick} must be called. */
    public static final long TICK_INTERVAL_US = 50_000;

    public MembershipTiming {
        if (pingIntervalUs < TICK_INTERVAL_US
                || suspectAfterUs < 3 * pingIntervalUs
                || failAfterUs < 2 * pingIntervalUs
                || retryIntervalUs < pingIntervalUs) {
            throw new IllegalArgumentException(
                    "pingIntervalUs must be at least one tick, suspectAfterUs three ping intervals, failAfterUs two and "
                            + "retryIntervalUs one");
        }
    }

    /** Delay of a tick from which on this process counts as stalled. */
    long stallThresholdUs() {
        return 4 * TICK_INTERVAL_US;
    }

    /** Length of a stall after which this process joins again, as others may hold it to be failed. */
    long rejoinThresholdUs() {
        return suspectAfterUs + failAfterUs / 2;
    }

    /** Silence of all members after which this process takes itself to be isolated. */
    long isolationThresholdUs() {
        return suspectAfterUs - pingIntervalUs;
    }
}
