package petrelstand.rsync;

import petrelstand.core.Attempt;
import petrelstand.core.Node;
import petrelstand.core.NodeTransport;

/** Sends each attempt to the server side that speaks its node's wire: private shards are rsync nodes. */
public record NodeTransportRouter(NodeTransport platform, NodeTransport rsync) implements NodeTransport {
    private NodeTransport of(Node node) {
        return node.isPrivate() ? rsync : platform;
    }

    @Override
    public void start(Attempt attempt) {
        of(attempt.node()).start(attempt);
    }

    @Override
    public void abandon(Attempt attempt) {
        of(attempt.node()).abandon(attempt);
    }

    @Override
    public void probe(Node node, long timeoutUs, ProbeCallback result) {
        of(node).probe(node, timeoutUs, result);
    }

    @Override
    public void discardConnections(Node node) {
        of(node).discardConnections(node);
    }
}
