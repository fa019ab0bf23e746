package petrelstand.http;

import java.nio.ByteBuffer;
import org.eclipse.jetty.util.BufferUtil;

/**
 * The input buffer of a connection. It has no memory until it is used, and grows beyond its initial size within a
 * budget that many connections share.
 */
final class InputBuffer {
    private final int initialBytes;
    private final ByteBudget budget;
    private ByteBuffer bytes = BufferUtil.EMPTY_BUFFER;
    /** Bytes beyond the initial size, which are reserved from the budget. */
    private int reservedBytes;

    /**
     * Creates an empty buffer.
     *
     * @param initialBytes its size on first use, for which each connection has room
     * @param budget the budget for what is larger
     */
    InputBuffer(int initialBytes, ByteBudget budget) {
        this.initialBytes = initialBytes;
        this.budget = budget;
    }

    /** The received bytes that have not been parsed. */
    ByteBuffer bytes() {
        return bytes;
    }

    boolean isEmpty() {
        return BufferUtil.isEmpty(bytes);
    }

    boolean hasContent() {
        return BufferUtil.hasContent(bytes);
    }

    /** Number of received bytes that have not been parsed. */
    int remaining() {
        return bytes.remaining();
    }

    /** Returns the bytes, in a buffer that has its initial size at least. */
    ByteBuffer allocated() {
        if (bytes.capacity() == 0) {
            bytes = BufferUtil.allocate(initialBytes);
        }
        return bytes;
    }

    /** Makes room for more bytes; returns false if the buffer is full at a size, or the budget exhausted. */
    boolean ensureSpace(int maxBytes) {
        if (BufferUtil.space(allocated()) == 0) {
            BufferUtil.compact(bytes);
        }
        return BufferUtil.space(bytes) > 0 || grow(maxBytes);
    }

    private boolean grow(int maxBytes) {
        int addedBytes = Math.min(2 * bytes.capacity(), maxBytes) - bytes.capacity();
        if (addedBytes <= 0 || !budget.tryReserve(addedBytes)) {
            return false;
        }
        ByteBuffer larger = BufferUtil.allocate(bytes.capacity() + addedBytes);
        BufferUtil.append(larger, bytes);
        bytes = larger;
        reservedBytes += addedBytes;
        return true;
    }

    /** Replaces an empty buffer by one of a larger size, if the budget allows it. */
    void enlargeIfEmpty(int wantedBytes) {
        int addedBytes = wantedBytes - allocated().capacity();
        if (addedBytes > 0 && isEmpty() && budget.tryReserve(addedBytes)) {
            bytes = BufferUtil.allocate(wantedBytes);
            reservedBytes += addedBytes;
        }
    }

    /** Releases the memory with what is in it. */
    void release() {
        bytes = BufferUtil.EMPTY_BUFFER;
        budget.release(reservedBytes);
        reservedBytes = 0;
    }
}
