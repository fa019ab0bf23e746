package petrelstand.members;

/**
 * The times of membership, in microseconds. A crash is known by all within {@code pingUs + suspectAfterUs +
 * failAfterUs} and the time that news takes; a member silent for less than {@code suspectAfterUs + failAfterUs} never
 * fails.
 *
 * @param pingUs between pings of a member that is watched
 * @param suspectAfterUs silence, to direct and relayed pings, that makes a suspect
 * @param failAfterUs how long a suspect has to answer
 * @param retryUs between attempts to reach seeds and failed members, each spread by the seed
 */
public record MembershipTiming(long pingIntervalUs, long suspectAfterUs, long failAfterUs, long retryIntervalUs) {
    public static final MembershipTiming DEFAULT = new MembershipTiming(250_000, 1_000_000, 1_000_000, 1_000_000);
    /** How often {@link Membership#tick} wants to be called. */
    public static final long TICK_INTERVAL_US = 50_000;

    public MembershipTiming {
        if (pingIntervalUs < TICK_INTERVAL_US
                || suspectAfterUs < 3 * pingIntervalUs
                || failAfterUs < 2 * pingIntervalUs
                || retryIntervalUs < pingIntervalUs) {
            throw new IllegalArgumentException("times that leave no room for two lost messages");
        }
    }

    /** A tick later than this means that this process stood still: it doubts itself before it accuses. */
    long stallUs() {
        return 4 * TICK_INTERVAL_US;
    }

    /** After standing still for so long others may hold this process to be failed: it joins anew. */
    long awayUs() {
        return suspectAfterUs + failAfterUs / 2;
    }

    /** Nobody heard for so long: this process takes itself for the one that is cut off. */
    long isolatedUs() {
        return suspectAfterUs - pingIntervalUs;
    }
}
