package petrelstand.core;

/**
 * What is known of whether a client is still there. The end of its connection lies behind everything that it has sent,
 * so it is seen only while all input is read. Times are microseconds of the event loop's clock.
 */
public final class ClientPresence {
    /** Whether a request may be sent to a node for the client. */
    public enum State {
        /** The client was there a short time ago, or its end would have been seen. */
        PRESENT,
        /** All input has been read after a pause; what the client's system still held back is about to arrive. */
        SETTLING,
        /** The client may have left; its end may lie behind input that has not been read. */
        UNKNOWN
    }

    /** Time for which a client may be unseen; the rest of 0.1 s is for the turn of the loop and the write. */
    static final long MAX_UNSEEN_US = 80_000;
    /** Time in which input that a full receive buffer held back arrives, once there is room. */
    public static final long SETTLE_US = 5_000;

    private static final long NEVER = Long.MAX_VALUE;

    /** Since when the client's end may lie behind unread input; NEVER if it would be seen. */
    private long unseenSinceUs;
    /** Since when no input is left unread, after a pause; NEVER if some may be. */
    private long drainedSinceUs = NEVER;

    /**
     * Creates the presence of a client whose connection has not been read.
     *
     * @param quietUs a time at which the client had not connected yet
     */
    public ClientPresence(long quietUs) {
        unseenSinceUs = quietUs;
    }

    /**
     * Records that input may have been left unread.
     *
     * @param quietUs a time at which none had arrived since all was read
     */
    public void inputRemains(long quietUs) {
        drainedSinceUs = NEVER;
        if (unseenSinceUs == NEVER) {
            unseenSinceUs = quietUs;
        }
    }

    /** Records that all input has been read, and that more, or the client's end, will be noticed. */
    public void inputDrained(long nowUs) {
        if (unseenSinceUs == NEVER) {
            return;
        }
        if (nowUs - unseenSinceUs <= MAX_UNSEEN_US) {
            unseenSinceUs = NEVER;
        } else if (drainedSinceUs == NEVER) {
            drainedSinceUs = nowUs;
        }
    }

    /** Returns what is known at a time. */
    public State at(long nowUs) {
        if (drainedSinceUs != NEVER && nowUs - drainedSinceUs >= SETTLE_US) {
            unseenSinceUs = NEVER;
            drainedSinceUs = NEVER;
        }
        if (unseenSinceUs == NEVER || nowUs - unseenSinceUs <= MAX_UNSEEN_US) {
            return State.PRESENT;
        }
        return drainedSinceUs == NEVER ? State.UNKNOWN : State.SETTLING;
    }
}
