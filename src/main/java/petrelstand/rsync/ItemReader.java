package petrelstand.rsync;

import java.nio.ByteBuffer;

/** What both directions of a transfer share: items by file number, ended in three phases by a number of -1. */
abstract class ItemReader extends RecordReader {
    static final int PHASES = 3;
    private static final int DONE = -1;
    private static final int BASIS_FOLLOWS = 1 << 11;
    private static final int NAME_FOLLOWS = 1 << 12;
    private static final int TRANSFER = 1 << 15;
    private int phases;

    /** Phases ended so far; the receiver's goodbye counts as one more. */
    final int phases() {
        return phases;
    }

    /** Reads an item's head; true where a transfer follows it. */
    final boolean item(ByteBuffer in) {
        int number = i32(in);
        if (number == DONE) {
            phases++;
            return false;
        }
        if (number < 0) {
            throw new Malformed("file number " + number);
        }
        int flags = u16(in);
        if ((flags & BASIS_FOLLOWS) != 0) {
            u8(in);
        }
        if ((flags & NAME_FOLLOWS) != 0) {
            int length = u8(in);
            pass(in, (length & 0x80) == 0 ? length : (length & 0x7f) << 8 | u8(in));
        }
        return (flags & TRANSFER) != 0;
    }

    /** Reads the head of a file's block checksums and returns how many bytes of these follow it. */
    static long sums(ByteBuffer in) {
        long count = i32(in);
        int block = i32(in);
        int strong = i32(in);
        int rest = i32(in);
        if (count < 0 || block < 0 || strong < 0 || strong > 16 || rest < 0 || rest > block) {
            throw new Malformed("the head of the checksums");
        }
        return count * (4 + strong);
    }
}
