package petrelstand.testing;

import java.util.Map;
import petrelstand.core.Attempt;
import petrelstand.core.Node;
import petrelstand.core.NodeTransport;
import petrelstand.decision.Scheduling.Outcome;

/** A node transport whose probes succeed at once and whose other methods do nothing; tests override what they need. */
public abstract class StubNodeTransport implements NodeTransport {
    @Override
    public void abandon(Attempt attempt) {}

    @Override
    public void probe(Node node, long timeoutUs, ProbeCallback result) {
        result.probeEnded(Outcome.SERVED, Map.of());
    }

    @Override
    public void discardConnections(Node node) {}
}
