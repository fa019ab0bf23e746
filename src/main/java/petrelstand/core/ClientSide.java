package petrelstand.core;

/** The front's half of an exchange: it is told the one final answer. */
public interface ClientSide {
    /** Served; the answer is whatever the server side of the same wire made of the node's. */
    void served(Object answer);

    /** Refused: trying again is harmless, after a while (0: no advice). */
    void refused(long retryAfterUs);

    /** Failed: nothing is promised about the request's effect. */
    void failed(Attempt last);

    /** Nothing of the exchange is out any more: it was answered or given up, and so was its last attempt. */
    default void forgotten(Exchange exchange) {}
}
