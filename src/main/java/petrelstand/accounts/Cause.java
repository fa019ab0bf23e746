package petrelstand.accounts;

/** What a request waited for: somebody's work, the node's own trouble, our own window, or what nobody here saw. */
public record Cause(Kind kind, long volume, int requestClass) {
    /** The kinds of cause; only {@link #WORK} names a volume and a class. */
    public enum Kind {
        WORK,
        NODE,
        WINDOW,
        UNSEEN,
        OTHERS
    }

    public static final Cause NODE = new Cause(Kind.NODE, 0, -1);
    public static final Cause WINDOW = new Cause(Kind.WINDOW, 0, -1);
    public static final Cause UNSEEN = new Cause(Kind.UNSEEN, 0, -1);

    /** The work of many others, each too little to be named. */
    public static final Cause OTHERS = new Cause(Kind.OTHERS, 0, -1);

    /** The work of a volume in a class. */
    public static Cause work(long volume, int requestClass) {
        return new Cause(Kind.WORK, volume, requestClass);
    }
}
