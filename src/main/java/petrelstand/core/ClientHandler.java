package petrelstand.core;

/** The front's half of an exchange: it is told the one final answer. */
public interface ClientHandler {
    /**
     * Served; the answer is whatever the server side of the same wire made of the node's. False where it passes in
     * pieces from here on: {@link Broker#streamedAnswerEnded} is told what came of it.
     */
    boolean served(Object answer);

    /** Refused: trying again is harmless, after a while (0: no advice). */
    void refused(long retryAfterUs);

    /** Failed: nothing is promised about the request's effect. */
    void failed(Attempt last);

    /** True while the request's last bytes are still to come. */
    default boolean isReceiving() {
        return false;
    }

    /** Nothing of the exchange is out any more: it was answered or given up, and so was its last attempt. */
    default void exchangeClosed(Exchange exchange) {}
}
