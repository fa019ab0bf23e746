package petrelstand.testing;

import java.util.Map;
import petrelstand.core.Attempt;
import petrelstand.core.Node;
import petrelstand.core.NodeTransport;
import petrelstand.decision.Scheduling.Outcome;

/** A server side that carries out nothing but probes; tests override what they play. */
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
