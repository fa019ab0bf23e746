package petrelstand.http;

/** Bytes that many connections together may keep: each alone is bounded too, but all of them at once would be too much. */
public final class Budget {
    private long left;

    public Budget(long most) {
        left = most;
    }

    /** Takes so many bytes; false where there are not as many left. */
    boolean take(long bytes) {
        boolean enough = bytes <= left;
        left -= enough ? bytes : 0;
        return enough;
    }

    void give(long bytes) {
        left += bytes;
    }

    long left() {
        return left;
    }
}
