package petrelstand.core;

/** The half of an exchange that faces the nodes. */
public interface NodeTransport {
    /** Starts an attempt; its end is told once by {@link Attempt#end}, possibly before this returns. */
    void start(Attempt attempt);

    /** Stops waiting for an attempt: its connection closes, and nothing more is told of it. */
    void abandon(Attempt attempt);

    /** Asks a node for its load; the result is told once. */
    void probe(Node node, long timeoutUs, ProbeCallback result);

    /** Told of the end of a probe. */
    interface ProbeCallback {
        void probeEnded(petrelstand.decision.Scheduling.Outcome outcome, java.util.Map<String, Double> load);
    }

    /** A node went, restarted or moved: connections to what it was before must not be used again. */
    void discardConnections(Node node);
}
