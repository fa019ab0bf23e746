package petrelstand.rsync;

import java.nio.ByteBuffer;

/** Parses the daemon's direction: the checksum seed, then multiplexed frames. Passes the data to another reader. */
final class MultiplexReader extends RecordReader {
    /** Offset that the protocol adds to a frame's message code. */
    static final int MPLEX_BASE = 7;

    static final int MSG_DATA = 0;
    static final int MSG_ERROR = 3;

    private final RecordReader payloadReader;
    private boolean seedRead;
    private long frameBytesLeft;

    MultiplexReader(RecordReader payloadReader) {
        this.payloadReader = payloadReader;
    }

    @Override
    boolean isDone() {
        return false;
    }

    /** Whether no byte has been read. */
    boolean isAtStart() {
        return !seedRead && isAtRecordBoundary();
    }

    /** Whether a frame could be inserted: the seed was read and no frame is incomplete. */
    boolean isAtFrameBoundary() {
        return seedRead && frameBytesLeft == 0 && isAtRecordBoundary();
    }

    @Override
    void readRecord(ByteBuffer in) {
        if (!seedRead) {
            readInt(in);
            seedRead = true;
            return;
        }
        if (frameBytesLeft > 0) {
            int available = (int) Math.min(frameBytesLeft, in.remaining());
            payloadReader.feed(in.slice().limit(available));
            in.position(in.position() + available);
            frameBytesLeft -= available;
            return;
        }
        int header = readInt(in);
        int tag = header >>> 24;
        int length = header & 0xffffff;
        if (tag < MPLEX_BASE) {
            throw new ProtocolException("a frame with tag " + tag);
        }
        if (tag - MPLEX_BASE == MSG_DATA) {
            frameBytesLeft = length;
        } else {
            skip(length);
        }
    }
}
