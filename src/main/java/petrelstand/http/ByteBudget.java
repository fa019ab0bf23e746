package petrelstand.http;

/** A limit of the bytes that many connections may buffer together. Not thread-safe. */
public final class ByteBudget {
    private long availableBytes;
    /** The budget that this one is a part of, or null. */
    private final ByteBudget parent;

    public ByteBudget(long maxBytes) {
        this(maxBytes, null);
    }

    /** Creates a part of a larger budget that other parts share. */
    ByteBudget(long maxBytes, ByteBudget parent) {
        this.availableBytes = maxBytes;
        this.parent = parent;
    }

    /** Reserves bytes; returns false if not enough are available here or in the parent. */
    boolean tryReserve(long bytes) {
        boolean reserved = bytes <= availableBytes && (parent == null || parent.tryReserve(bytes));
        availableBytes -= reserved ? bytes : 0;
        return reserved;
    }

    /** Returns reserved bytes. */
    void release(long bytes) {
        availableBytes += bytes;
        if (parent != null) {
            parent.release(bytes);
        }
    }

    long availableBytes() {
        return availableBytes;
    }
}
