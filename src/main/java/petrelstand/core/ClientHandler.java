package petrelstand.core;

/**
 * The client's side of an exchange, implemented by protocol front ends. Exactly one of {@link #served},
 * {@link #refused} and {@link #failed} is called for an exchange, unless its client leaves first.
 */
public interface ClientHandler {
    /**
     * Answers with the node's answer, which has the form that the node transport of the same wire protocol gave it.
     * Returns false if the answer is streamed from here on; its end is then reported to
     * {@link Broker#streamedAnswerEnded}.
     */
    boolean served(Object answer);

    /** Answers that the request had no effect and may be retried after a delay (0: no delay is advised). */
    void refused(long retryAfterUs);

    /** Answers that the request failed and may have had an effect; {@code last} is null if no attempt was made. */
    void failed(Attempt last);

    /**
     * When the newest of the request's bytes arrived, in microseconds of the loop's clock, read or not. Called for a
     * handler that reports {@link Broker#bodyAwaitsNode}, until the body is complete.
     *
     * @throws UnsupportedOperationException if the handler's requests arrive whole
     */
    default long lastArrivalUs() {
        throw new UnsupportedOperationException("the requests of this client arrive whole");
    }

    /**
     * Whether the client is known to be there, asked immediately before the first byte of an attempt is written. May
     * report {@link Broker#clientGone}, if the client turns out to have left. A handler that sees the end of its
     * client's connection at once need not implement this.
     */
    default ClientPresence.State presence() {
        return ClientPresence.State.PRESENT;
    }

    /** Called when the exchange is finished and its last attempt has ended; nothing refers to it any more. */
    default void exchangeClosed(Exchange exchange) {}
}
