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

/** The side that faces the rsync nodes: one new connection an attempt, since a daemon serves one transfer on each. */
public final class RsyncNodeTransport implements NodeTransport {
    /** Connect time-outs within which a node must have opened the module. */
    private static final int OPENING_TIMES = 4;

    private final NodeConnectionPool.Dialer dialer;
    private final LongSupplier clock;
    private final Timers timers;
    private final long connectUs;

    public RsyncNodeTransport(NodeConnectionPool.Dialer dialer, LongSupplier clock, Timers timers, double connectTimeoutMs) {
        this.dialer = dialer;
        this.clock = clock;
        this.timers = timers;
        this.connectUs = (long) (connectTimeoutMs * 1000);
    }

    @Override
    public void start(Attempt attempt) {
        Dial dial = new Dial(attempt);
        attempt.attachment(dial);
        dial.timeout = timers.schedule(clock.getAsLong() + connectUs, dial::late);
        try {
            dial.channel = dialer.connect(SocketAddresses.parse(attempt.node().address()), dial);
        } catch (IOException | RuntimeException e) {
            dial.fail();
        }
    }

    @Override
    public void abandon(Attempt attempt) {
        if (attempt.attachment() instanceof Dial dial) {
            dial.drop();
        }
    }

    @Override
    public void probe(Node node, long timeoutUs, ProbeCallback result) {
        throw new UnsupportedOperationException("rsync nodes have no probe");
    }

    @Override
    public void discardConnections(Node node) {
        // No connection outlives its attempt.
    }

    /** A node that is being opened, and its session once it is up. */
    private final class Dial implements EventLoop.Connector {
        private final Attempt attempt;
        private Timers.Timer timeout;
        private SocketChannel channel;
        private NodeSession session;

        Dial(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public Connection connected(EndPoint endPoint) {
            session = new NodeSession(endPoint, attempt);
            timeout.cancel();
            timeout = timers.schedule(clock.getAsLong() + OPENING_TIMES * connectUs, this::late);
            return session;
        }

        @Override
        public void connectFailed(Throwable cause) {
            fail();
        }

        /** Guards against a node that accepts and then says nothing: nothing has run there. */
        private void late() {
            if (session == null || !session.isOpen()) {
                fail();
            }
        }

        private void fail() {
            drop();
            attempt.end(Outcome.NOT_CONNECTED, null, null);
        }

        private void drop() {
            timeout.cancel();
            if (session != null) {
                session.close();
            }
            if (channel != null) {
                try {
                    channel.close();
                } catch (IOException e) {
                    // Nothing more can be done for it.
                }
            }
        }
    }
}
