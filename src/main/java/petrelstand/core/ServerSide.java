package petrelstand.core;

/** The half of an exchange that faces the nodes. */
public interface ServerSide {
    /** Starts an attempt; its end is told once by {@link Attempt#ended}, possibly before this returns. */
    void start(Attempt attempt);

    /** Stops waiting for an attempt: its connection closes, and nothing more is told of it. */
    void abandon(Attempt attempt);

    /** Asks a node for its load; the result is told once. */
    void probe(Node node, long timeoutUs, ProbeResult result);

    /** Told of the end of a probe. */
    interface ProbeResult {
        void ended(petrelstand.decision.Scheduling.Outcome outcome, java.util.Map<String, Double> load);
    }

    /** A node went, restarted or moved: connections to what it was before must not be used again. */
    void forget(Node node);
}
