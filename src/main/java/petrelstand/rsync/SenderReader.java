package petrelstand.rsync;

import java.nio.ByteBuffer;

/** The sender's direction in protocol 29: the file list, then each file's data, the phases, and on a pull figures. */
final class SenderReader extends ItemReader {
    private enum Part {
        FILES,
        USERS,
        GROUPS,
        ERRORS,
        ITEMS,
        TOKENS,
        FIGURES,
        END
    }

    private static final int EXTENDED = 1 << 2;
    private static final int SAME_MODE = 1 << 1;
    private static final int SAME_USER = 1 << 3;
    private static final int SAME_GROUP = 1 << 4;
    private static final int SAME_NAME = 1 << 5;
    private static final int LONG_NAME = 1 << 6;
    private static final int SAME_TIME = 1 << 7;
    private static final int SAME_MAJOR = 1 << 8;
    private static final int SHORT_MINOR = 1 << 11;
    private static final int DIGEST = 16;
    private static final int FIGURES = 5;

    private final Options options;
    private Part part = Part.FILES;
    private int mode;
    private long files;

    SenderReader(Options options) {
        this.options = options;
    }

    @Override
    boolean done() {
        return part == Part.END;
    }

    long files() {
        return files;
    }

    @Override
    void record(ByteBuffer in) {
        switch (part) {
            case FILES -> file(in);
            case USERS -> names(in, options.groups() ? Part.GROUPS : Part.ERRORS);
            case GROUPS -> names(in, Part.ERRORS);
            case ERRORS -> {
                i32(in);
                // A sender with nothing to send ends here.
                part = files == 0 ? Part.END : Part.ITEMS;
            }
            case ITEMS -> {
                if (item(in)) {
                    sums(in);
                    part = Part.TOKENS;
                } else if (phases() == PHASES) {
                    part = options.pull() ? Part.FIGURES : Part.END;
                }
            }
            case TOKENS -> token(in);
            case FIGURES -> {
                for (int i = 0; i < FIGURES; i++) {
                    longInt(in);
                }
                part = Part.END;
            }
            default -> throw new Malformed("bytes after the end of the transfer");
        }
    }

    private void token(ByteBuffer in) {
        int token = i32(in);
        if (token > 0) {
            skip(token);
        } else if (token == 0) {
            pass(in, DIGEST);
            part = Part.ITEMS;
        }
    }

    private void file(ByteBuffer in) {
        int flags = u8(in);
        if (flags == 0) {
            part = options.names() && options.users()
                    ? Part.USERS
                    : options.names() && options.groups() ? Part.GROUPS : Part.ERRORS;
            return;
        }
        if ((flags & EXTENDED) != 0) {
            flags |= u8(in) << 8;
        }
        if ((flags & SAME_NAME) != 0) {
            u8(in);
        }
        pass(in, (flags & LONG_NAME) != 0 ? i32(in) : u8(in));
        longInt(in);
        if ((flags & SAME_TIME) == 0) {
            i32(in);
        }
        int itsMode = (flags & SAME_MODE) == 0 ? i32(in) : mode;
        if (options.users() && (flags & SAME_USER) == 0) {
            i32(in);
        }
        if (options.groups() && (flags & SAME_GROUP) == 0) {
            i32(in);
        }
        int kind = itsMode & 0170000;
        boolean device = kind == 0020000 || kind == 0060000 || kind == 0010000 || kind == 0140000;
        if (options.devices() && device) {
            if ((flags & SAME_MAJOR) == 0) {
                i32(in);
            }
            if ((flags & SHORT_MINOR) != 0) {
                u8(in);
            } else {
                i32(in);
            }
        }
        if (options.links() && kind == 0120000) {
            pass(in, i32(in));
        }
        mode = itsMode;
        files++;
    }

    private void names(ByteBuffer in, Part next) {
        if (i32(in) == 0) {
            part = next;
        } else {
            pass(in, u8(in));
        }
    }
}
