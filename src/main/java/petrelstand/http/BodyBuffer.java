package petrelstand.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Buffers a message body up to a limit and within a budget. Memory is allocated for bytes received; the announced
 * length is allocated at once only after {@link #TRUST_LENGTH_FROM_BYTES} have arrived.
 */
final class BodyBuffer {
    private static final int INITIAL_CAPACITY_BYTES = 1024;
    private static final int TRUST_LENGTH_FROM_BYTES = 16 * 1024;
    private static final byte[] EMPTY = {};

    private final int maxBytes;
    private final ByteBudget budget;
    private byte[] bytes = EMPTY;
    private int size;
    private long announcedLength;

    BodyBuffer(int maxBytes, ByteBudget budget) {
        this.maxBytes = maxBytes;
        this.budget = budget;
    }

    /** Sets the length that the message's head announces. */
    void announcedLength(long length) {
        announcedLength = length;
    }

    /** Appends all of the data. Returns false and discards it if the body exceeds its limit or the budget. */
    boolean append(ByteBuffer data) {
        int dataBytes = data.remaining();
        if (dataBytes > maxBytes - size || !ensureCapacity(size + dataBytes)) {
            data.position(data.limit());
            return false;
        }
        data.get(bytes, size, dataBytes);
        size += dataBytes;
        return true;
    }

    private boolean ensureCapacity(int requiredBytes) {
        if (requiredBytes <= bytes.length) {
            return true;
        }
        long capacity = Math.max(requiredBytes, Math.max(INITIAL_CAPACITY_BYTES, 2L * bytes.length));
        capacity = Math.min(maxBytes, size >= TRUST_LENGTH_FROM_BYTES ? Math.max(capacity, announcedLength) : capacity);
        if (!budget.tryReserve(capacity - bytes.length)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, (int) capacity);
        return true;
    }

    int size() {
        return size;
    }

    /** Returns the buffered content and empties the buffer. The memory no longer counts against the budget. */
    ByteBuffer takeContent() {
        ByteBuffer content = ByteBuffer.wrap(bytes, 0, size);
        budget.release(bytes.length);
        bytes = EMPTY;
        size = 0;
        announcedLength = 0;
        return content;
    }
}
