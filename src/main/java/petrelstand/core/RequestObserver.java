package petrelstand.core;

import petrelstand.decision.Scheduling.Outcome;

/**
 * Observes the steps of each request, in order. An observer must not call the broker. Times are microseconds of the
 * event loop's clock.
 */
public interface RequestObserver {
    /** Ignores everything. */
    RequestObserver NO_OP = new RequestObserver() {};

    default void requestAccepted(long request, Demand demand, long nowUs) {}

    /** An attempt was started at a node; a streamed one (a transfer) does not occupy the node's queue. */
    default void attemptStarted(long request, int attempt, Node node, boolean streamed, long nowUs) {}

    /** The last byte of an attempt was written; not called by transports that cannot tell. */
    default void attemptWritten(long request, int attempt, long nowUs) {}

    default void attemptEnded(long request, int attempt, Outcome outcome, long nowUs) {}

    /** The final answer was given, or the client left ({@code served} is false then). */
    default void requestAnswered(long request, boolean served, long nowUs) {}

    /** The request is answered and its attempts have ended; no further call is made for it. */
    default void requestClosed(long request, long nowUs) {}
}
