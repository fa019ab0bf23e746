package petrelstand.http;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import petrelstand.core.Broker;
import petrelstand.core.Timers;

/** The platform's front: its client connections, and what they share. */
public final class Front {
    /** A request must have come whole within this time of its first byte. */
    static final long REQUEST_US = 10_000_000;
    /** A client that does not take its answer is cut after this time. */
    static final long ANSWER_US = 10_000_000;

    /** When a client that found no room may come back, and how long it may take to ask. */
    static final long FULL_US = 500_000;
    /** How long bytes that come after the last answer are dropped before the connection closes. */
    static final long LINGER_US = 500_000;

    private final Broker broker;
    private final Timers timers;
    private final DemandReader reader;
    private final int mostConnections;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private boolean ready;
    private boolean draining;
    private boolean closing;

    public Front(Broker broker, Timers timers, int mostConnections) {
        this.broker = broker;
        this.timers = timers;
        this.mostConnections = mostConnections;
        this.reader = new DemandReader(broker.settings());
    }

    /**
     * A connection from a client. Where there are too many, the one idle for longest makes room; where none is idle,
     * the new one is only refused: what it sends counts as taken, so closing it unread would lose a request.
     */
    public Connection accept(EndPoint endPoint) {
        if (connections.size() >= mostConnections) {
            connections.stream().filter(ClientConnection::idle).findFirst().ifPresent(ClientConnection::close);
        }
        ClientConnection connection = new ClientConnection(endPoint, this, connections.size() >= mostConnections);
        connections.add(connection);
        broker.counters().add("connections.clients");
        return connection;
    }

    /** From here on /ready answers 200. */
    public void ready() {
        ready = true;
    }

    /** SIGTERM: goes on answering, but each answer ends its connection. */
    public void drain() {
        draining = true;
    }

    /** Closes what is between requests; the rest closes with its answer. */
    public void closeIdle() {
        closing = true;
        List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
    }

    public int connections() {
        return connections.size();
    }

    /** Connections whose answer is not wholly written. */
    public long answering() {
        return connections.stream().filter(c -> c.state() == ClientConnection.State.ANSWERING).count();
    }

    boolean isReady() {
        return ready && !draining;
    }

    boolean closesAfterAnswer() {
        return draining;
    }

    boolean isClosing() {
        return closing;
    }

    Broker broker() {
        return broker;
    }

    Timers timers() {
        return timers;
    }

    DemandReader reader() {
        return reader;
    }

    /** Moves to the end of the order in which idle connections are closed. */
    void used(ClientConnection connection) {
        if (connections.remove(connection)) {
            connections.add(connection);
        }
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
    }
}
