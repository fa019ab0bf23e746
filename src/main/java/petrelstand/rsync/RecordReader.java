package petrelstand.rsync;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Incremental parser of little-endian records. A record that is not complete is kept, up to {@link #MAX_RECORD_BYTES},
 * and parsed again from its start when more input arrives. File data and checksums are skipped without being kept.
 */
abstract class RecordReader {
    /** Input outside the supported subset of the protocol; the message is fit to be sent to a client. */
    static final class ProtocolException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        ProtocolException(String message) {
            super(message, null, false, false);
        }
    }

    /** Control flow only: the input ends within a record. */
    private static final class IncompleteRecord extends RuntimeException {
        private static final long serialVersionUID = 1L;
        static final IncompleteRecord INSTANCE = new IncompleteRecord();

        private IncompleteRecord() {
            super(null, null, false, false);
        }
    }

    /** Room for a file entry with two names of rsync's maximum of 4096 bytes, and its other fields. */
    static final int MAX_RECORD_BYTES = 10 * 1024;

    private ByteBuffer partialRecord =
            ByteBuffer.allocate(256).order(ByteOrder.LITTLE_ENDIAN).limit(0);
    private long bytesToSkip;

    /**
     * Parses all bytes of the input; its position stays.
     *
     * @throws ProtocolException if the input is outside the supported subset
     */
    final void feed(ByteBuffer input) {
        ByteBuffer in = input.slice().order(ByteOrder.LITTLE_ENDIAN);
        while (in.hasRemaining()) {
            in = skipPending(in);
            if (!in.hasRemaining()) {
                return;
            }
            if (isDone()) {
                throw new ProtocolException("bytes after the end of the transfer");
            }
            if (partialRecord.hasRemaining()) {
                in = joinWithPartial(in);
            }
            int recordStart = in.position();
            try {
                readRecord(in);
            } catch (IncompleteRecord e) {
                in.position(recordStart);
                keepPartial(in);
                return;
            }
        }
    }

    private ByteBuffer skipPending(ByteBuffer in) {
        int skippable = (int) Math.min(bytesToSkip, in.remaining());
        in.position(in.position() + skippable);
        bytesToSkip -= skippable;
        return in;
    }

    private ByteBuffer joinWithPartial(ByteBuffer in) {
        ByteBuffer combined =
                ByteBuffer.allocate(partialRecord.remaining() + in.remaining()).order(ByteOrder.LITTLE_ENDIAN);
        combined.put(partialRecord).put(in).flip();
        partialRecord.limit(0);
        return combined;
    }

    private void keepPartial(ByteBuffer in) {
        if (in.remaining() > MAX_RECORD_BYTES) {
            throw new ProtocolException("a record of over " + MAX_RECORD_BYTES + " bytes");
        }
        partialRecord = ByteBuffer.allocate(Math.max(16, in.remaining())).order(ByteOrder.LITTLE_ENDIAN);
        partialRecord.put(in).flip();
    }

    /** Reads one record; the read methods abort it where the input ends, so state may change only after the reads. */
    abstract void readRecord(ByteBuffer in);

    /** Whether the stream has reached its end; input after it is rejected. */
    abstract boolean isDone();

    /** Skips bytes that follow the current record, without keeping them. */
    final void skip(long bytes) {
        if (bytes < 0) {
            throw new ProtocolException("a negative length");
        }
        bytesToSkip = bytes;
    }

    /** Whether the stream is between two records. */
    final boolean isAtRecordBoundary() {
        return bytesToSkip == 0 && !partialRecord.hasRemaining();
    }

    static int readUnsignedByte(ByteBuffer in) {
        requireBytes(in, 1);
        return in.get() & 0xff;
    }

    static int readUnsignedShort(ByteBuffer in) {
        requireBytes(in, 2);
        return in.getShort() & 0xffff;
    }

    static int readInt(ByteBuffer in) {
        requireBytes(in, 4);
        return in.getInt();
    }

    /** Reads a long as encoded before protocol 30: 4 bytes, or 4 bytes of all ones followed by 8 bytes. */
    static long readLong(ByteBuffer in) {
        int low = readInt(in);
        if (low != -1) {
            return low;
        }
        requireBytes(in, 8);
        return in.getLong();
    }

    /** Skips a field of the current record. */
    static void skipField(ByteBuffer in, int bytes) {
        if (bytes < 0 || bytes > MAX_RECORD_BYTES) {
            throw new ProtocolException("a length of " + bytes);
        }
        requireBytes(in, bytes);
        in.position(in.position() + bytes);
    }

    private static void requireBytes(ByteBuffer in, int bytes) {
        if (in.remaining() < bytes) {
            throw IncompleteRecord.INSTANCE;
        }
    }
}
