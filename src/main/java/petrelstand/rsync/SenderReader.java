package petrelstand.rsync;

import java.nio.ByteBuffer;

/** Parses the sender's direction in protocol 29: the file list, then file data in phases, and statistics on a pull. */
final class SenderReader extends ItemReader {
    private enum Section {
        FILE_LIST,
        USER_NAMES,
        GROUP_NAMES,
        IO_ERROR,
        ITEMS,
        TOKENS,
        STATISTICS,
        END
    }

    private static final int XMIT_EXTENDED_FLAGS = 1 << 2;
    private static final int XMIT_SAME_MODE = 1 << 1;
    private static final int XMIT_SAME_UID = 1 << 3;
    private static final int XMIT_SAME_GID = 1 << 4;
    private static final int XMIT_SAME_NAME = 1 << 5;
    private static final int XMIT_LONG_NAME = 1 << 6;
    private static final int XMIT_SAME_TIME = 1 << 7;
    private static final int XMIT_SAME_RDEV_MAJOR = 1 << 8;
    private static final int XMIT_RDEV_MINOR_IS_SMALL = 1 << 11;
    private static final int DIGEST_BYTES = 16;
    private static final int STATISTICS_COUNT = 5;

    private final TransferOptions options;
    private Section section = Section.FILE_LIST;
    private int previousMode;
    private long fileCount;

    SenderReader(TransferOptions options) {
        this.options = options;
    }

    @Override
    boolean isDone() {
        return section == Section.END;
    }

    /** Number of entries of the file list read so far. */
    long fileCount() {
        return fileCount;
    }

    @Override
    void readRecord(ByteBuffer in) {
        switch (section) {
            case FILE_LIST -> readFileEntry(in);
            case USER_NAMES -> readIdName(in, options.preserveGroups() ? Section.GROUP_NAMES : Section.IO_ERROR);
            case GROUP_NAMES -> readIdName(in, Section.IO_ERROR);
            case IO_ERROR -> {
                readInt(in);
                // With an empty file list the sender ends here.
                section = fileCount == 0 ? Section.END : Section.ITEMS;
            }
            case ITEMS -> {
                if (readItemHeader(in)) {
                    readChecksumHeader(in);
                    section = Section.TOKENS;
                } else if (phasesEnded() == PHASE_COUNT) {
                    section = options.pull() ? Section.STATISTICS : Section.END;
                }
            }
            case TOKENS -> readToken(in);
            case STATISTICS -> {
                for (int i = 0; i < STATISTICS_COUNT; i++) {
                    readLong(in);
                }
                section = Section.END;
            }
            default -> throw new ProtocolException("bytes after the end of the transfer");
        }
    }

    /** Reads a token: positive is the length of literal data, negative a matched block, 0 the end of the file. */
    private void readToken(ByteBuffer in) {
        int token = readInt(in);
        if (token > 0) {
            skip(token);
        } else if (token == 0) {
            skipField(in, DIGEST_BYTES);
            section = Section.ITEMS;
        }
    }

    private void readFileEntry(ByteBuffer in) {
        int flags = readUnsignedByte(in);
        if (flags == 0) {
            section = options.sendsIdNames() && options.preserveUsers()
                    ? Section.USER_NAMES
                    : options.sendsIdNames() && options.preserveGroups() ? Section.GROUP_NAMES : Section.IO_ERROR;
            return;
        }
        if ((flags & XMIT_EXTENDED_FLAGS) != 0) {
            flags |= readUnsignedByte(in) << 8;
        }
        if ((flags & XMIT_SAME_NAME) != 0) {
            readUnsignedByte(in);
        }
        skipField(in, (flags & XMIT_LONG_NAME) != 0 ? readInt(in) : readUnsignedByte(in));
        readLong(in);
        if ((flags & XMIT_SAME_TIME) == 0) {
            readInt(in);
        }
        int fileMode = (flags & XMIT_SAME_MODE) == 0 ? readInt(in) : previousMode;
        if (options.preserveUsers() && (flags & XMIT_SAME_UID) == 0) {
            readInt(in);
        }
        if (options.preserveGroups() && (flags & XMIT_SAME_GID) == 0) {
            readInt(in);
        }
        int fileType = fileMode & 0170000;
        boolean isSpecialFile =
                fileType == 0020000 || fileType == 0060000 || fileType == 0010000 || fileType == 0140000;
        if (options.preserveDevices() && isSpecialFile) {
            if ((flags & XMIT_SAME_RDEV_MAJOR) == 0) {
                readInt(in);
            }
            if ((flags & XMIT_RDEV_MINOR_IS_SMALL) != 0) {
                readUnsignedByte(in);
            } else {
                readInt(in);
            }
        }
        if (options.preserveLinks() && fileType == 0120000) {
            skipField(in, readInt(in));
        }
        previousMode = fileMode;
        fileCount++;
    }

    /** Reads an id and its name; id 0 ends the list. */
    private void readIdName(ByteBuffer in, Section next) {
        if (readInt(in) == 0) {
            section = next;
        } else {
            skipField(in, readUnsignedByte(in));
        }
    }
}
