package petrelstand.http;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import petrelstand.core.Broker;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.lifecycle.Lifecycle;
import petrelstand.lifecycle.MemoryLimits;

/** The platform's front: its client connections, and what they share. */
public final class HttpFront {
    /**
     * A request must have come whole within this time of its first byte, a connection's first one within this time of
     * its opening: a client that says nothing, or half a request, is owed an end within 3 s.
     */
    static final long REQUEST_US = 2_500_000;
    /** A client that does not take its answer is cut after this time. */
    static final long ANSWER_US = 10_000_000;
    /** One that takes nothing of an answer in pieces is: what the system has taken of a piece can fill its buffers. */
    static final long PIECE_US = 30_000_000;
    /** Bytes a second that a body has to come at in the mean, once it has had its first time. */
    static final double LEAST_RATE = 8 * 1024;
    /** How long the rest of a body is dropped whose request was answered before it came. */
    static final long LINGER_BODY_US = 60_000_000;

    /** When a client that found no room may come back, and how long it may take to ask. */
    static final long FULL_US = 500_000;
    /** Silence after the last answer until the connection closes, and the longest that bytes are dropped there. */
    static final long LINGER_US = 500_000;

    static final long LINGER_MOST_US = 5_000_000;
    /** What one connection may read in a turn: one that sends without end must not hold up the others. */
    static final int MOST_READ = 64 * 1024;
    /** Age from which a connection that has said nothing is taken for one that will not. */
    static final long SILENT_US = 100_000;
    /** Time that half a request is given where room is short. */
    static final long HALF_US = 1_000_000;
    /** Connections beyond the bound that are told so; more than these are closed at once. */
    public static final int MAX_CONNECTIONS_OVER_LIMIT = 16;

    private final BodyBudgets budgets;
    private final int mostByMemory;
    private final Broker broker;
    private final Timers timers;
    private DemandReader reader;
    private int mostConnections;
    private final Set<ClientConnection> connectionCount = new LinkedHashSet<>();
    /** Ids of the requests that are not over, or have an attempt out. */
    private final Set<String> openIds = new HashSet<>();
    /** Takes what is read only to be dropped; on the loop's thread. */
    private final ByteBuffer dropped = BufferUtil.allocateDirect(MOST_READ);
    /** Pages beside those that every gateway has, by path. */
    private Map<String, Supplier<String>> pages = Map.of();

    private final Lifecycle life;

    /**
     * Answers a path with a text made when it is asked for; for pages that an operator switched on. Where a part has
     * offered one there already, the texts follow each other.
     */
    public void addPage(String path, Supplier<String> page) {
        Map<String, Supplier<String>> more = new HashMap<>(pages);
        more.merge(path, page, (one, other) -> () -> one.get() + other.get());
        pages = Map.copyOf(more);
    }

    /** The page at a path; null where there is none. */
    Supplier<String> page(String path) {
        return pages.get(path);
    }

    /** A front whose memory is not short. */
    public HttpFront(Broker broker, Timers timers, int mostConnections, Lifecycle life) {
        this(broker, timers, mostConnections, life, BodyBudgets.of(MemoryLimits.MAXIMUM));
    }

    /** A front that does what the process's life says, with so many connections and the budgets' bytes at most. */
    public HttpFront(Broker broker, Timers timers, int mostConnections, Lifecycle life, BodyBudgets budgets) {
        this.budgets = budgets;
        this.mostByMemory = mostConnections;
        this.life = life;
        this.broker = broker;
        this.timers = timers;
        this.mostConnections = mostConnections;
        this.reader = new DemandReader(broker.settings(), Set.of());
    }

    /**
     * A connection from a client. Where there are too many, one makes room; where none can, the new one is only
     * refused: what it sends counts as taken, so closing it unread would lose a request. Past a few of those the
     * descriptors are at stake, and it closes at once.
     */
    public Connection accept(EndPoint endPoint) {
        broker.counters().increment("connections.clients");
        if (connectionCount.size() >= mostConnections) {
            makeRoom();
        }
        ClientConnection connection = new ClientConnection(
                endPoint,
                this,
                connectionCount.size() >= mostConnections,
                connectionCount.size() >= mostConnections + MAX_CONNECTIONS_OVER_LIMIT);
        connectionCount.add(connection);
        return connection;
    }

    /**
     * Closes one connection that owes nothing. Newcomers that stay silent go before the kept connections of clients
     * that do ask: guards against hundreds of silent ones that push out all the others. Kept ones go in the order of
     * their last use, newcomers that may yet be about to speak last.
     */
    private void makeRoom() {
        long now = broker.nowUs();
        for (int rank = 0; rank < ClientConnection.RANKS; rank++) {
            for (ClientConnection connection : List.copyOf(connectionCount)) {
                if (connection.rank(now) == rank && connection.giveWay()) {
                    broker.counters().increment("connections.gave_way");
                    return;
                }
            }
        }
    }

    /** Takes an id for a request; false where an open request carries it. */
    boolean claim(String id) {
        return openIds.add(id);
    }

    void release(String id) {
        openIds.remove(id);
    }

    /** Ids of requests that are still open. */
    int openIds() {
        return openIds.size();
    }

    ByteBuffer dropped() {
        return dropped;
    }

    /**
     * At most so many connections from now on, and never more than at the start: memory bounds those. What is between
     * requests beyond it closes, the longest unused first.
     */
    public void setMaxConnections(int most) {
        mostConnections = Math.min(most, mostByMemory);
        for (int i = connectionCount.size(); i > mostConnections; i--) {
            makeRoom();
        }
    }

    /** Other settings from now on; requests of closed classes are no longer known. */
    public void applySettings(Settings settings, Set<String> closed) {
        reader = new DemandReader(settings, closed);
    }

    /**
     * Closes what is between requests, but for newcomers that may be about to speak: so many, the longest unused first.
     */
    public void closeIdle(int most) {
        long now = broker.nowUs();
        int left = most;
        for (ClientConnection connection : List.copyOf(connectionCount)) {
            if (left > 0 && connection.endIfIdle(now - SILENT_US, false)) {
                left--;
            }
        }
    }

    public int connectionCount() {
        return connectionCount.size();
    }

    /** Connections for which the end of the process waits: not those that ended between requests and only read on. */
    public long connectionsDelayingExit() {
        return connectionCount.stream().filter(ClientConnection::isOwing).count();
    }

    /** Connections whose answer is not wholly written. */
    public long answeringCount() {
        return connectionCount.stream()
                .filter(c -> c.state() == ClientConnection.State.ANSWERING)
                .count();
    }

    Lifecycle life() {
        return life;
    }

    /**
     * A request that finds no room, or comes when nothing is taken any more: its class's figures have it as refused.
     */
    void rejected(String target) {
        int end = target.indexOf('/', 1);
        broker.recordRejected(end < 0 ? target : target.substring(1, end));
    }

    ByteBudget requests() {
        return budgets.incomingRequests();
    }

    /** Bodies of requests that were taken and are not forgotten yet. */
    ByteBudget inWork() {
        return budgets.activeRequests();
    }

    ByteBudget answers() {
        return budgets.outgoingAnswers();
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
        if (connectionCount.remove(connection)) {
            connectionCount.add(connection);
        }
    }

    void closed(ClientConnection connection) {
        connectionCount.remove(connection);
    }
}
