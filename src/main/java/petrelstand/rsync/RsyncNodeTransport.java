package petrelstand.rsync;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.function.LongSupplier;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import petrelstand.core.Attempt;
import petrelstand.core.Node;
import petrelstand.core.NodeTransport;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.http.NodeConnectionPool;
import petrelstand.net.EventLoop;
import petrelstand.net.SocketAddresses;

/** Sends attempts to rsync daemons, each on a new connection, since a daemon serves one transfer per connection. */
public final class RsyncNodeTransport implements NodeTransport {
    /** Time limit for opening the module after the connect, in multiples of the connect timeout. */
    private static final int MODULE_TIMEOUT_FACTOR = 4;

    private final NodeConnectionPool.Dialer dialer;
    private final LongSupplier clock;
    private final Timers timers;
    private final long connectTimeoutUs;

    public RsyncNodeTransport(
            NodeConnectionPool.Dialer dialer, LongSupplier clock, Timers timers, double connectTimeoutMs) {
        this.dialer = dialer;
        this.clock = clock;
        this.timers = timers;
        this.connectTimeoutUs = (long) (connectTimeoutMs * 1000);
    }

    @Override
    public void start(Attempt attempt) {
        NodeConnector connector = new NodeConnector(attempt);
        attempt.attachment(connector);
        connector.timeout = timers.schedule(clock.getAsLong() + connectTimeoutUs, connector::onTimeout);
        try {
            connector.channel =
                    dialer.connect(SocketAddresses.parse(attempt.node().address()), connector);
        } catch (IOException | RuntimeException e) {
            connector.fail();
        }
    }

    @Override
    public void abandon(Attempt attempt) {
        if (attempt.attachment() instanceof NodeConnector connector) {
            connector.closeConnection();
        }
    }

    @Override
    public void probe(Node node, long timeoutUs, ProbeCallback result) {
        throw new UnsupportedOperationException("rsync nodes have no probe");
    }

    @Override
    public void discardConnections(Node node) {
        // Each connection is closed with its attempt.
    }

    /** The connection of an attempt: the dial with its timeout, then the node's session. */
    private final class NodeConnector implements EventLoop.Connector {
        private final Attempt attempt;
        private Timers.Timer timeout;
        private SocketChannel channel;
        private NodeSession session;

        NodeConnector(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public Connection connected(EndPoint endPoint) {
            session = new NodeSession(endPoint, attempt);
            timeout.cancel();
            timeout = timers.schedule(clock.getAsLong() + MODULE_TIMEOUT_FACTOR * connectTimeoutUs, this::onTimeout);
            return session;
        }

        @Override
        public void connectFailed(Throwable cause) {
            fail();
        }

        /** Fails the attempt if the node has not opened the module in time; the daemon has run nothing then. */
        private void onTimeout() {
            if (session == null || !session.isModuleOpen()) {
                fail();
            }
        }

        private void fail() {
            closeConnection();
            attempt.end(Outcome.NOT_CONNECTED, null, null);
        }

        private void closeConnection() {
            timeout.cancel();
            if (session != null) {
                session.close();
            }
            if (channel != null) {
                try {
                    channel.close();
                } catch (IOException e) {
                    // The channel is given up either way.
                }
            }
        }
    }
}
