package petrelstand.http;

/**
 * Bytes that many connections together may keep: each alone is bounded too, but all of them at once would be too much.
 */
public final class ByteBudget {
    private long left;
    /** What this one is a part of; null where it stands alone. */
    private final ByteBudget whole;

    public ByteBudget(long most) {
        this(most, null);
    }

    /** A part of a whole that others take from too. */
    ByteBudget(long most, ByteBudget whole) {
        this.left = most;
        this.whole = whole;
    }

    /** Takes so many bytes; false where there are not as many left, here or in the whole. */
    boolean take(long bytes) {
        boolean enough = bytes <= left && (whole == null || whole.take(bytes));
        left -= enough ? bytes : 0;
        return enough;
    }

    void give(long bytes) {
        left += bytes;
        if (whole != null) {
            whole.give(bytes);
        }
    }

    long left() {
        return left;
    }
}
