package petrelstand.core;

import java.util.Map;
import petrelstand.decision.Scheduling.Outcome;

/** Sends attempts and probes to nodes over a wire protocol. */
public interface NodeTransport {
    /** Starts an attempt and reports its end by {@link Attempt#end}, possibly before this method returns. */
    void start(Attempt attempt);

    /** Closes the connection of an attempt that has ended; nothing more is reported of the attempt. */
    void abandon(Attempt attempt);

    /** Asks a node for its load; the callback is called once. */
    void probe(Node node, long timeoutUs, ProbeCallback callback);

    /** Receives the result of a probe. */
    interface ProbeCallback {
        /** Reports the outcome and, where the node answered, its load by name. */
        void probeEnded(Outcome outcome, Map<String, Double> load);
    }

    /** Makes sure that no open connection to a node that was removed, restarted or moved is used again. */
    void discardConnections(Node node);
}
