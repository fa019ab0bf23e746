package petrelstand.store;

/** Thrown when a stored file is damaged or has an unsupported format; names the offset in bytes from its start. */
public final class FileFormatException extends Exception {
    private static final long serialVersionUID = 1;

    private final long offset;

    public FileFormatException(long offset, String problem) {
        super(problem);
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
