package petrelstand.sim;

/** Input that the link cannot take; the message says what and where. */
public final class SimulatorProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SimulatorProtocolException(String message) {
        super(message);
    }
}
