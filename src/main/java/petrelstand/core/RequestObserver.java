package petrelstand.core;

import petrelstand.decision.Scheduling.Outcome;

/**
 * Told of each step of a request, as plain values and in order; it decides nothing and must not call back. Times are
 * microseconds of the loop's clock. Where nobody watches, a broker has {@link #NO_OP}.
 */
public interface RequestObserver {
    RequestObserver NO_OP = new RequestObserver() {};

    /** A request was taken. */
    default void requestAccepted(long request, Demand demand, long nowUs) {}

    /** An attempt was started at a node; a streamed one (a transfer) does not stand in the node's queue. */
    default void attemptStarted(long request, int attempt, Node node, boolean streamed, long nowUs) {}

    /** The attempt's last byte was written; not told where the server side cannot tell. */
    default void attemptWritten(long request, int attempt, long nowUs) {}

    /** An attempt ended. */
    default void attemptEnded(long request, int attempt, Outcome outcome, long nowUs) {}

    /** The final answer was given, or the client left ({@code served} is false then). */
    default void requestAnswered(long request, boolean served, long nowUs) {}

    /** Nothing more will be told of the request. */
    default void requestClosed(long request, long nowUs) {}
}
