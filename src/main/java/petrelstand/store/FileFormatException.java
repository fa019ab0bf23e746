package petrelstand.store;

/** What is wrong with a state file, and where: an offset in bytes from its start. */
public final class FileFormatException extends Exception {
    private static final long serialVersionUID = 1;

    private final long offset;

    public FileFormatException(long offset, String what) {
        super(what);
        this.offset = offset;
    }

    public long offset() {
        return offset;
    }

    @Override
    public String getMessage() {
        return "offset " + offset + ": " + super.getMessage();
    }
}
