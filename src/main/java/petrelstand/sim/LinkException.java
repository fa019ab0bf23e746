package petrelstand.sim;

/** Input that the link cannot take; the message says what and where. */
public final class LinkException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    LinkException(String message) {
        super(message);
    }
}
