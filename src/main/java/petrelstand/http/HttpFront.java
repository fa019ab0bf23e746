package petrelstand.http;

import java.nio.ByteBuffer;
import java.util.HashMap;
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

/** The HTTP/1.1 front: accepts client connections, limits their number, and holds the state that they share. */
public final class HttpFront {
    /**
     * Time in which a request must arrive after its first byte, or the first request of a connection after its opening.
     * A client that sends nothing, or only part of a request, has to be closed or answered within 3 s.
     */
    static final long REQUEST_TIMEOUT_US = 2_500_000;
    /** Time in which a client must read a buffered answer before its connection is closed. */
    static final long ANSWER_WRITE_TIMEOUT_US = 10_000_000;
    /**
     * Time in which a client must read a piece of a streamed answer. Longer than for a buffered answer, because an
     * accepted piece may fill the system's buffers.
     */
    static final long STREAM_WRITE_TIMEOUT_US = 30_000_000;
    /** Minimum mean rate of a request body, after its first {@link #REQUEST_TIMEOUT_US}. */
    static final double MIN_BODY_BYTES_PER_SECOND = 8 * 1024;
    /** Longest time for which the rest of a request body is discarded, if the request was answered before its end. */
    static final long MAX_BODY_LINGER_US = 60_000_000;

    /**
     * Retry-After of requests beyond the connection limit or a memory budget; also the request timeout of connections
     * beyond the limit.
     */
    static final long RETRY_AFTER_US = 500_000;
    /** Silence after which a lingering connection is closed. */
    static final long LINGER_SILENCE_US = 500_000;

    /** Longest time for which a lingering connection discards input. */
    static final long MAX_LINGER_US = 5_000_000;

    private static final int DISCARD_BUFFER_BYTES = 64 * 1024;
    /** Age at which a new connection that has sent nothing counts as silent. */
    static final long SILENT_AFTER_US = 100_000;
    /** Time before a partial request may be evicted if connections are short. */
    static final long PARTIAL_REQUEST_GRACE_US = 1_000_000;
    /** Connections beyond the limit whose request is refused with an answer; any more are closed as they open. */
    public static final int MAX_CONNECTIONS_OVER_LIMIT = 16;

    private final BodyBudgets budgets;
    private final int maxConnectionsByMemory;
    private final Broker broker;
    private final Timers timers;
    private DemandParser demandParser;
    private int maxConnections;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final TxnIds txnIds = new TxnIds();
    /** Shared target of reads whose bytes are discarded; used on the event loop's thread only. */
    private final ByteBuffer discardBuffer = BufferUtil.allocateDirect(DISCARD_BUFFER_BYTES);
    /** Optional pages by path. */
    private Map<String, Supplier<String>> pages = Map.of();

    private final Lifecycle lifecycle;

    /**
     * Serves a page at a path, with its text generated on each request. If the path already has a page, the texts are
     * concatenated.
     */
    public void addPage(String path, Supplier<String> page) {
        Map<String, Supplier<String>> updated = new HashMap<>(pages);
        updated.merge(path, page, (one, other) -> () -> one.get() + other.get());
        pages = Map.copyOf(updated);
    }

    /** Returns the page at a path, or null. */
    Supplier<String> page(String path) {
        return pages.get(path);
    }

    /** Creates a front with the memory limits of {@link MemoryLimits#MAXIMUM}. */
    public HttpFront(Broker broker, Timers timers, int maxConnections, Lifecycle lifecycle) {
        this(broker, timers, maxConnections, lifecycle, BodyBudgets.of(MemoryLimits.MAXIMUM));
    }

    /**
     * Creates a front.
     *
     * @param maxConnections limit of client connections, derived from the available memory
     * @param lifecycle decides which requests are taken and when connections close
     * @param budgets limits of the bytes of bodies
     */
    public HttpFront(Broker broker, Timers timers, int maxConnections, Lifecycle lifecycle, BodyBudgets budgets) {
        this.budgets = budgets;
        this.maxConnectionsByMemory = maxConnections;
        this.lifecycle = lifecycle;
        this.broker = broker;
        this.timers = timers;
        this.maxConnections = maxConnections;
        this.demandParser = new DemandParser(broker.settings(), Set.of());
    }

    /**
     * Creates the connection of a new client. If the limit is reached, another connection is evicted; if none can be,
     * the new one only refuses its request, because closing it without an answer would lose a request that counts as
     * taken. More than {@link #MAX_CONNECTIONS_OVER_LIMIT} beyond the limit are closed as they open, to save
     * descriptors.
     */
    public Connection accept(EndPoint endPoint) {
        broker.counters().increment("connections.clients");
        if (connections.size() >= maxConnections) {
            evictConnection();
        }
        ClientConnection connection = new ClientConnection(
                endPoint,
                this,
                connections.size() >= maxConnections,
                connections.size() >= maxConnections + MAX_CONNECTIONS_OVER_LIMIT);
        connections.add(connection);
        return connection;
    }

    /**
     * Closes one connection that has no complete request. Silent new connections go before idle ones of active clients,
     * so that many silent connections can't displace the others. Idle connections go in the order of their last use.
     */
    private void evictConnection() {
        long nowUs = broker.nowUs();
        for (int rank = 0; rank < ClientConnection.EVICTION_RANKS; rank++) {
            for (ClientConnection connection : List.copyOf(connections)) {
                if (connection.evictionRank(nowUs) == rank && connection.evict()) {
                    broker.counters().increment("connections.gave_way");
                    return;
                }
            }
        }
    }

    /** Sets how the ids of writes are shared with this gateway's other processes. */
    public void setTxnIdSharing(TxnIdSharing sharing) {
        txnIds.setSharing(sharing);
    }

    TxnIds txnIds() {
        return txnIds;
    }

    /** Number of ids of open requests. */
    int openTxnIdCount() {
        return txnIds.openCount();
    }

    ByteBuffer discardBuffer() {
        return discardBuffer;
    }

    /**
     * Changes the limit of connections, never above the limit at construction. Idle connections beyond it are closed,
     * the least recently used first.
     */
    public void setMaxConnections(int limit) {
        maxConnections = Math.min(limit, maxConnectionsByMemory);
        for (int i = connections.size(); i > maxConnections; i--) {
            evictConnection();
        }
    }

    /** Applies changed settings to new requests; classes in {@code closedClasses} are no longer known. */
    public void applySettings(Settings settings, Set<String> closedClasses) {
        demandParser = new DemandParser(settings, closedClasses);
    }

    /**
     * Closes up to {@code maxClosed} idle connections, the least recently used first, except new ones that may be about
     * to send a request.
     */
    public void closeIdle(int maxClosed) {
        long nowUs = broker.nowUs();
        int remaining = maxClosed;
        for (ClientConnection connection : List.copyOf(connections)) {
            if (remaining > 0 && connection.closeIfIdle(nowUs - SILENT_AFTER_US, false)) {
                remaining--;
            }
        }
    }

    /**
     * Reads the connections of all requests in progress, to learn which clients have left. To be called after a stall
     * of the loop, before the nodes' answers are handled: these may make room for waiting requests.
     */
    public void findDepartedClients() {
        broker.runSimultaneously(() -> List.copyOf(connections).forEach(ClientConnection::readIfInProgress));
    }

    /** Number of open connections, including those that linger. */
    public int connectionCount() {
        return connections.size();
    }

    /**
     * Connections that the process exit waits for: all except those closed between requests that only discard input.
     */
    public long connectionsDelayingExit() {
        return connections.stream().filter(ClientConnection::delaysExit).count();
    }

    /** Connections whose answer is not completely written. */
    public long answeringCount() {
        return connections.stream()
                .filter(c -> c.state() == ClientConnection.State.ANSWERING)
                .count();
    }

    Lifecycle lifecycle() {
        return lifecycle;
    }

    /**
     * Counts a request as refused in the figures of its class, because it exceeds a limit or arrives during shutdown.
     */
    void countRejected(String target) {
        int classEnd = target.indexOf('/', 1);
        broker.recordRejected(classEnd < 0 ? target : target.substring(1, classEnd));
    }

    ByteBudget incomingRequestBudget() {
        return budgets.incomingRequests();
    }

    /** Budget for the bodies of requests that the broker has not forgotten yet. */
    ByteBudget activeRequestBudget() {
        return budgets.activeRequests();
    }

    /** Budget for the heads of requests that are longer than each connection has room for. */
    ByteBudget longHeadBudget() {
        return budgets.longRequestHeads();
    }

    ByteBudget outgoingAnswerBudget() {
        return budgets.outgoingAnswers();
    }

    Broker broker() {
        return broker;
    }

    Timers timers() {
        return timers;
    }

    DemandParser demandParser() {
        return demandParser;
    }

    /** Makes the connection the most recently used one. */
    void markUsed(ClientConnection connection) {
        if (connections.remove(connection)) {
            connections.add(connection);
        }
    }

    void onConnectionClosed(ClientConnection connection) {
        connections.remove(connection);
    }
}
