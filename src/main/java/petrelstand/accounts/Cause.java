package petrelstand.accounts;

/**
 * The cause of a wait. The volume and request class are set only for {@link Kind#WORK}; otherwise they are 0 and -1.
 */
public record Cause(Kind kind, long volume, int requestClass) {
    /** The kinds of cause; their order is stored. */
    public enum Kind {
        /** The gateway's own requests of one volume and class at the node. */
        WORK,
        /** The node itself: cold, slow, stalled or failed. */
        NODE,
        /** The gateway's concurrency window of the node. */
        WINDOW,
        /** Something the gateway can't observe, such as work of other clients. */
        UNSEEN,
        /** Work of several volumes that are too small to be listed. */
        OTHERS
    }

    public static final Cause NODE = new Cause(Kind.NODE, 0, -1);
    public static final Cause WINDOW = new Cause(Kind.WINDOW, 0, -1);
    public static final Cause UNSEEN = new Cause(Kind.UNSEEN, 0, -1);

    /** The work of volumes too small to be listed. */
    public static final Cause OTHERS = new Cause(Kind.OTHERS, 0, -1);

    /** The work of one volume's requests of a class. */
    public static Cause work(long volume, int requestClass) {
        return new Cause(Kind.WORK, volume, requestClass);
    }
}
