package petrelstand.rsync;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * Reads a stream of little-endian records as its bytes come in. A record is read whole or not at all; what a file's
 * data and checksums fill is skipped and never kept, so that what is kept stays under a bound.
 */
abstract class RecordReader {
    /** Input that is not what the subset allows. */
    static final class Malformed extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message, null, false, false);
        }
    }

    private static final class Short extends RuntimeException {
        private static final long serialVersionUID = 1L;
        static final Short OF = new Short();

        private Short() {
            super(null, null, false, false);
        }
    }

    /** The longest record: a file's entry with two names at rsync's bound of 4096 bytes, and some fields. */
    static final int MOST_KEPT = 10 * 1024;

    private ByteBuffer kept =
            ByteBuffer.allocate(256).order(ByteOrder.LITTLE_ENDIAN).limit(0);
    private long skip;

    /** Takes all bytes of the input. */
    final void feed(ByteBuffer input) {
        ByteBuffer in = input.slice().order(ByteOrder.LITTLE_ENDIAN);
        while (in.hasRemaining()) {
            in = skipped(in);
            if (!in.hasRemaining()) {
                return;
            }
            if (done()) {
                throw new Malformed("bytes after the end of the transfer");
            }
            if (kept.hasRemaining()) {
                in = joined(in);
            }
            int mark = in.position();
            try {
                record(in);
            } catch (Short e) {
                in.position(mark);
                keep(in);
                return;
            }
        }
    }

    private ByteBuffer skipped(ByteBuffer in) {
        int now = (int) Math.min(skip, in.remaining());
        in.position(in.position() + now);
        skip -= now;
        return in;
    }

    private ByteBuffer joined(ByteBuffer in) {
        ByteBuffer all = ByteBuffer.allocate(kept.remaining() + in.remaining()).order(ByteOrder.LITTLE_ENDIAN);
        all.put(kept).put(in).flip();
        kept.limit(0);
        return all;
    }

    private void keep(ByteBuffer in) {
        if (in.remaining() > MOST_KEPT) {
            throw new Malformed("a record of over " + MOST_KEPT + " bytes");
        }
        kept = ByteBuffer.allocate(Math.max(16, in.remaining())).order(ByteOrder.LITTLE_ENDIAN);
        kept.put(in).flip();
    }

    /** Reads one record. */
    abstract void record(ByteBuffer in);

    /** True once the stream has reached its end. */
    abstract boolean done();

    final void skip(long bytes) {
        if (bytes < 0) {
            throw new Malformed("a negative length");
        }
        skip = bytes;
    }

    /** True where the stream stands between two records. */
    final boolean between() {
        return skip == 0 && !kept.hasRemaining();
    }

    static int u8(ByteBuffer in) {
        need(in, 1);
        return in.get() & 0xff;
    }

    static int u16(ByteBuffer in) {
        need(in, 2);
        return in.getShort() & 0xffff;
    }

    static int i32(ByteBuffer in) {
        need(in, 4);
        return in.getInt();
    }

    /** A long as protocols before 30 write it: 4 bytes, or all ones and 8 bytes. */
    static long longInt(ByteBuffer in) {
        int low = i32(in);
        if (low != -1) {
            return low;
        }
        need(in, 8);
        return in.getLong();
    }

    static void pass(ByteBuffer in, int bytes) {
        if (bytes < 0 || bytes > MOST_KEPT) {
            throw new Malformed("a length of " + bytes);
        }
        need(in, bytes);
        in.position(in.position() + bytes);
    }

    private static void need(ByteBuffer in, int bytes) {
        if (in.remaining() < bytes) {
            throw Short.OF;
        }
    }
}
