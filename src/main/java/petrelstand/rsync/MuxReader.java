package petrelstand.rsync;

import java.nio.ByteBuffer;

/** The server's direction: the checksum seed, then frames of data and messages; the data goes to a reader. */
final class MuxReader extends RecordReader {
    static final int BASE = 7;
    static final int DATA = 0;
    static final int ERROR = 3;
    private final RecordReader data;
    private boolean seeded;
    private long left;

    MuxReader(RecordReader data) {
        this.data = data;
    }

    @Override
    boolean done() {
        return false;
    }

    boolean untouched() {
        return !seeded && between();
    }

    /** True where a frame could be put in: the seed has passed and no frame is open. */
    boolean atFrame() {
        return seeded && left == 0 && between();
    }

    @Override
    void record(ByteBuffer in) {
        if (!seeded) {
            i32(in);
            seeded = true;
            return;
        }
        if (left > 0) {
            int now = (int) Math.min(left, in.remaining());
            data.feed(in.slice().limit(now));
            in.position(in.position() + now);
            left -= now;
            return;
        }
        int head = i32(in);
        int tag = head >>> 24;
        int length = head & 0xffffff;
        if (tag < BASE) {
            throw new Malformed("a frame with tag " + tag);
        }
        if (tag - BASE == DATA) {
            left = length;
        } else {
            skip(length);
        }
    }
}
