package petrelstand.rsync;

import java.nio.ByteBuffer;

/** Parses what both directions share: items by file number, in phases that each end with file number -1. */
abstract class ItemReader extends RecordReader {
    static final int PHASE_COUNT = 3;
    private static final int NDX_DONE = -1;
    private static final int ITEM_BASIS_TYPE_FOLLOWS = 1 << 11;
    private static final int ITEM_XNAME_FOLLOWS = 1 << 12;
    private static final int ITEM_TRANSFER = 1 << 15;

    private int phasesEnded;

    /** Number of phases ended; the receiver's final -1 (its goodbye) counts as one more. */
    final int phasesEnded() {
        return phasesEnded;
    }

    /** Reads an item's header or the end of a phase; returns true if a checksum header follows. */
    final boolean readItemHeader(ByteBuffer in) {
        int fileNumber = readInt(in);
        if (fileNumber == NDX_DONE) {
            phasesEnded++;
            return false;
        }
        if (fileNumber < 0) {
            throw new ProtocolException("file number " + fileNumber);
        }
        int flags = readUnsignedShort(in);
        if ((flags & ITEM_BASIS_TYPE_FOLLOWS) != 0) {
            readUnsignedByte(in);
        }
        if ((flags & ITEM_XNAME_FOLLOWS) != 0) {
            int length = readUnsignedByte(in);
            skipField(in, (length & 0x80) == 0 ? length : (length & 0x7f) << 8 | readUnsignedByte(in));
        }
        return (flags & ITEM_TRANSFER) != 0;
    }

    /** Reads the header of a file's block checksums; returns the length of the checksums in bytes. */
    static long readChecksumHeader(ByteBuffer in) {
        long count = readInt(in);
        int blockBytes = readInt(in);
        int strongSumBytes = readInt(in);
        int lastBlockBytes = readInt(in);
        if (count < 0
                || blockBytes < 0
                || strongSumBytes < 0
                || strongSumBytes > 16
                || lastBlockBytes < 0
                || lastBlockBytes > blockBytes) {
            throw new ProtocolException("the head of the checksums");
        }
        return count * (4 + strongSumBytes);
    }
}
