package petrelstand.rsync;

import petrelstand.core.Attempt;
import petrelstand.core.Node;
import petrelstand.core.NodeTransport;

/**
 * Passes each call to the transport that speaks the node's protocol.
 *
 * @param platform transport of the platform's nodes
 * @param rsync transport of the rsync daemons, which are the nodes of private shards
 */
public record NodeTransportRouter(NodeTransport platform, NodeTransport rsync) implements NodeTransport {
    private NodeTransport transportFor(Node node) {
        return node.isPrivate() ? rsync : platform;
    }

    @Override
    public void start(Attempt attempt) {
        transportFor(attempt.node()).start(attempt);
    }

    @Override
    public void abandon(Attempt attempt) {
        transportFor(attempt.node()).abandon(attempt);
    }

    @Override
    public void probe(Node node, long timeoutUs, ProbeCallback result) {
        transportFor(node).probe(node, timeoutUs, result);
    }

    @Override
    public void discardConnections(Node node) {
        transportFor(node).discardConnections(node);
    }
}
