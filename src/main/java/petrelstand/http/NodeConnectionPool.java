package petrelstand.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import petrelstand.core.Attempt;
import petrelstand.core.ClientPresence;
import petrelstand.core.Counters;
import petrelstand.core.Node;
import petrelstand.core.NodeTransport;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.lifecycle.MemoryLimits;
import petrelstand.net.EventLoop;
import petrelstand.net.SocketAddresses;

/**
 * The pool of connections to the storage nodes. Each connection carries one attempt or probe at a time, and the number
 * of connections is limited.
 */
public final class NodeConnectionPool implements NodeTransport {
    /** Opens outgoing connections; replaced in tests. */
    public interface Dialer {
        SocketChannel connect(InetSocketAddress address, EventLoop.Connector connector) throws IOException;
    }

    /** Fraction of the idle limit after which a connection is not reused; the rest covers clock and network delays. */
    private static final double REUSE_FRACTION = 0.8;
    /**
     * Limit of a buffered answer. Answers over {@link UpstreamConnection#STREAM_FROM_BYTES} are streamed, but a read
     * may exceed that size before streaming starts.
     */
    static final int MAX_BUFFERED_ANSWER_BYTES = 128 * 1024;
    /** Longest pause within an answer that is buffered whole; nodes write those in one go. */
    static final long ANSWER_STALL_TIMEOUT_US = 150_000;
    /** Longest pause within a streamed body or a large answer, while the gateway waits for the node. */
    static final long STREAM_STALL_TIMEOUT_US = 10_000_000;
    /**
     * Time for which the beginning of a large answer is buffered, up to 64 KiB: if the connection breaks meanwhile, the
     * request can be retried. Short compared with any aim.
     */
    static final long BUFFER_BEFORE_STREAM_US = 20_000;
    /** Interval at which idle connections are checked for their age. */
    private static final long EXPIRY_INTERVAL_US = 1_000_000;

    private final Dialer dialer;
    private final LongSupplier clock;
    private final Timers timers;
    private final Counters counters;
    private final String host;
    private long connectTimeoutUs;
    private long maxReuseIdleUs;
    private int maxConnections;
    private final int maxConnectionsByMemory;
    private final ByteBudget answerBudget;
    private final Map<String, ArrayDeque<UpstreamConnection>> idleByAddress = new HashMap<>();
    private int connectionCount;
    private boolean expiryScheduled;

    /** Creates a pool with the memory limits of {@link MemoryLimits#MAXIMUM}. */
    public NodeConnectionPool(
            Dialer dialer,
            LongSupplier clock,
            Timers timers,
            Counters counters,
            Settings settings,
            String host,
            int maxConnections) {
        this(dialer, clock, timers, counters, settings, host, maxConnections, BodyBudgets.of(MemoryLimits.MAXIMUM));
    }

    /** Creates a pool with a limit of connections and the budgets for its buffers. */
    public NodeConnectionPool(
            Dialer dialer,
            LongSupplier clock,
            Timers timers,
            Counters counters,
            Settings settings,
            String host,
            int maxConnections,
            BodyBudgets budgets) {
        this.answerBudget = budgets.incomingAnswers();
        this.maxConnectionsByMemory = maxConnections;
        this.dialer = dialer;
        this.clock = clock;
        this.timers = timers;
        this.counters = counters;
        this.host = host;
        this.maxConnections = maxConnections;
        applySettings(settings);
    }

    /** Applies changed settings to new calls and connections. */
    public void applySettings(Settings settings) {
        connectTimeoutUs = (long) (settings.may().connectTimeoutMs() * 1000);
        maxReuseIdleUs = (long) (settings.may().idleCloseMs() * 1000 * REUSE_FRACTION);
    }

    /**
     * Changes the limit of connections, never above the limit at construction, and closes idle connections beyond it.
     */
    public void setMaxConnections(int limit) {
        maxConnections = Math.min(limit, maxConnectionsByMemory);
        while (connectionCount > maxConnections && closeOldestIdle()) {
            counters.increment("connections.gave_way");
        }
    }

    /** Connections that are open or being opened. */
    public int connectionCount() {
        return connectionCount;
    }

    @Override
    public void start(Attempt attempt) {
        AttemptCall call = new AttemptCall(attempt);
        attempt.attachment(call);
        assignConnection(attempt.node(), call);
    }

    @Override
    public void abandon(Attempt attempt) {
        if (attempt.attachment() instanceof AttemptCall call) {
            call.cancel();
        }
    }

    @Override
    public void probe(Node node, long timeoutUs, ProbeCallback result) {
        ProbeCall probe = new ProbeCall(result);
        probe.timeout = timers.schedule(clock.getAsLong() + timeoutUs, () -> {
            probe.cancel();
            probe.finish(Outcome.TIMED_OUT, Map.of());
        });
        assignConnection(node, probe);
    }

    @Override
    public void discardConnections(Node node) {
        ArrayDeque<UpstreamConnection> idle = idleByAddress.remove(node.address());
        if (idle != null) {
            List.copyOf(idle).forEach(UpstreamConnection::closeSilently);
        }
    }

    /** Sends a call on a settled idle connection to the node, or on a new one. */
    private void assignConnection(Node node, PooledCall call) {
        call.address = node.address();
        long nowUs = clock.getAsLong();
        UpstreamConnection connection = takeSettled(node.address(), nowUs);
        while (connection != null) {
            if (nowUs - connection.idleSinceUs() <= maxReuseIdleUs && connection.closeUnlessQuiet()) {
                call.sendOn(connection);
                return;
            }
            connection.closeSilently();
            connection = takeSettled(node.address(), nowUs);
        }
        if (connectionCount >= maxConnections && !closeOldestIdle()) {
            counters.increment("connections.none_left");
            call.onNotConnected();
            return;
        }
        openConnection(call);
    }

    /** Removes and returns the most recently used settled connection to the address; null if there is none. */
    private UpstreamConnection takeSettled(String address, long nowUs) {
        ArrayDeque<UpstreamConnection> idle = idleByAddress.get(address);
        if (idle == null) {
            return null;
        }
        for (Iterator<UpstreamConnection> newest = idle.descendingIterator(); newest.hasNext(); ) {
            UpstreamConnection connection = newest.next();
            if (connection.isSettled(nowUs)) {
                newest.remove();
                if (idle.isEmpty()) {
                    idleByAddress.remove(address);
                }
                return connection;
            }
        }
        return null;
    }

    private boolean closeOldestIdle() {
        UpstreamConnection oldest = null;
        for (ArrayDeque<UpstreamConnection> idle : idleByAddress.values()) {
            UpstreamConnection candidate = idle.peekFirst();
            if (candidate != null && (oldest == null || candidate.idleSinceUs() < oldest.idleSinceUs())) {
                oldest = candidate;
            }
        }
        if (oldest != null) {
            oldest.closeSilently();
        }
        return oldest != null;
    }

    private void openConnection(PooledCall call) {
        counters.increment("connections.nodes");
        connectionCount++;
        PendingConnection pendingConnection = new PendingConnection(call);
        call.pendingConnection = pendingConnection;
        pendingConnection.timeout =
                timers.schedule(clock.getAsLong() + connectTimeoutUs, () -> pendingConnection.fail());
        try {
            pendingConnection.channel = dialer.connect(SocketAddresses.parse(call.address), pendingConnection);
        } catch (IOException | RuntimeException e) {
            pendingConnection.fail();
        }
    }

    /** A connection that is being opened for a call. */
    private final class PendingConnection implements EventLoop.Connector {
        /** Null once the connection is established or given up: an established one refers to this object for good. */
        private PooledCall call;

        private Timers.Timer timeout;
        private SocketChannel channel;
        private boolean done;

        PendingConnection(PooledCall call) {
            this.call = call;
        }

        @Override
        public Connection connected(EndPoint endPoint) {
            UpstreamConnection connection =
                    new UpstreamConnection(
                            endPoint,
                            MAX_BUFFERED_ANSWER_BYTES,
                            answerBudget,
                            NodeConnectionPool.this::onConnectionChange) {
                        @Override
                        public void onOpen() {
                            super.onOpen();
                            onConnected(this);
                        }
                    };
            return connection;
        }

        private void onConnected(UpstreamConnection connection) {
            if (done) {
                connection.closeSilently();
                return;
            }
            done = true;
            timeout.cancel();
            PooledCall connectedCall = call;
            call = null;
            addressByConnection.put(connection, connectedCall.address);
            connectedCall.pendingConnection = null;
            connectedCall.sendOn(connection);
        }

        @Override
        public void connectFailed(Throwable cause) {
            counters.increment("connections.failed." + cause.getClass().getSimpleName());
            fail();
        }

        void fail() {
            PooledCall failedCall = call;
            if (cancel()) {
                failedCall.onNotConnected();
            }
        }

        /**
         * Abandons the connection without notifying its call; returns false if it was established or abandoned before.
         */
        boolean cancel() {
            if (done) {
                return false;
            }
            done = true;
            call = null;
            connectionCount--;
            if (timeout != null) {
                timeout.cancel();
            }
            if (channel != null) {
                try {
                    channel.close();
                } catch (IOException e) {
                    // Nothing more can be done.
                }
            }
            return true;
        }
    }

    /** Node addresses of all established connections. */
    private final Map<UpstreamConnection, String> addressByConnection = new HashMap<>();

    private void onConnectionChange(UpstreamConnection connection, boolean isIdle) {
        String address = addressByConnection.get(connection);
        if (isIdle) {
            connection.markIdle(clock.getAsLong());
            idleByAddress.computeIfAbsent(address, a -> new ArrayDeque<>()).addLast(connection);
            scheduleExpiry();
        } else if (addressByConnection.remove(connection) != null) {
            connectionCount--;
            if (connection.receivedExtraBytes()) {
                counters.increment("connections.extra_bytes");
            }
            ArrayDeque<UpstreamConnection> idle = idleByAddress.get(address);
            if (idle != null && idle.remove(connection) && idle.isEmpty()) {
                idleByAddress.remove(address);
            }
        }
    }

    /** Schedules the closing of old idle connections, before the node closes them while a request is being sent. */
    private void scheduleExpiry() {
        if (!expiryScheduled) {
            expiryScheduled = true;
            timers.schedule(clock.getAsLong() + EXPIRY_INTERVAL_US, this::closeExpired);
        }
    }

    private void closeExpired() {
        expiryScheduled = false;
        long nowUs = clock.getAsLong();
        for (ArrayDeque<UpstreamConnection> idle : List.copyOf(idleByAddress.values())) {
            while (!idle.isEmpty() && nowUs - idle.peekFirst().idleSinceUs() > maxReuseIdleUs) {
                idle.peekFirst().closeSilently();
            }
        }
        if (!idleByAddress.isEmpty()) {
            scheduleExpiry();
        }
    }

    /** A call that waits for its connection or is in progress on it. */
    private abstract class PooledCall implements UpstreamCall {
        private String address;
        private PendingConnection pendingConnection;
        private UpstreamConnection connection;
        StallWatch stallWatch;

        void sendOn(UpstreamConnection idleConnection) {
            connection = idleConnection;
            stallWatch = new StallWatch(idleConnection, this, this::isAwaitingClient, timers, clock);
            idleConnection.send(this);
        }

        @Override
        public void onPartialAnswer() {
            stallWatch.answerBegun();
        }

        @Override
        public void onReleased() {
            stallWatch.end();
        }

        /** Whether the next piece is due from the client. */
        boolean isAwaitingClient() {
            return false;
        }

        /** No connection could be assigned or opened. */
        abstract void onNotConnected();

        void cancel() {
            if (pendingConnection != null) {
                pendingConnection.cancel();
            } else if (connection != null) {
                connection.closeSilently();
            }
        }
    }

    /** An attempt of a client's request. */
    private final class AttemptCall extends PooledCall {
        private final Attempt attempt;
        private final ForwardedMessage.Request request;

        AttemptCall(Attempt attempt) {
            this.attempt = attempt;
            this.request = (ForwardedMessage.Request) attempt.exchange().message();
        }

        /**
         * Sends the attempt unless nobody waits for it any more, or it is not known yet whether somebody does; the
         * connection is then kept as idle.
         */
        @Override
        void sendOn(UpstreamConnection idleConnection) {
            if (attempt.isClientSettling()) {
                onConnectionChange(idleConnection, true);
                timers.schedule(clock.getAsLong() + ClientPresence.SETTLE_US, this::sendAfterSettling);
            } else if (attempt.beginWrite()) {
                super.sendOn(idleConnection);
            } else {
                onConnectionChange(idleConnection, true);
            }
        }

        private void sendAfterSettling() {
            if (!attempt.isEnded()) {
                assignConnection(attempt.node(), this);
            }
        }

        @Override
        public void onRequestWritten() {
            attempt.requestWritten();
        }

        @Override
        public StreamedBody streamedBody() {
            return request.bodyStream() == null
                    ? null
                    : new StreamedBody(
                            HttpProtocol.requestMetaData(
                                    request.method(),
                                    request.target(),
                                    requestFields(),
                                    request.bodyStream().length()),
                            ByteBuffer.wrap(request.body()),
                            request.bodyStream());
        }

        @Override
        public void onBodyStreaming() {
            attempt.beginBodyStream();
            stallWatch.streamBegun();
        }

        @Override
        boolean isAwaitingClient() {
            return request.bodyStream() != null && request.bodyStream().isAwaitingClient();
        }

        @Override
        public boolean acceptAnswerStream(AnswerStream stream) {
            stallWatch.streamBegun();
            attempt.setVolumeUsage(HttpProtocol.parseVolumeUse(stream.fields()));
            attempt.end(
                    Outcome.SERVED,
                    stream,
                    HttpProtocol.parseLoadReport(stream.fields().get(HttpProtocol.LOAD_HEADER)));
            return true;
        }

        @Override
        public ByteBuffer[] requestBytes() {
            return new ByteBuffer[] {
                HttpProtocol.requestHead(request.method(), request.target(), requestFields(), request.body().length),
                ByteBuffer.wrap(request.body())
            };
        }

        private HttpFields requestFields() {
            HttpFields.Mutable fields =
                    HttpFields.build().put(HttpHeader.HOST, host).put(HttpProtocol.TXN_HEADER, request.txnId());
            if (request.idempotencyKey() != null) {
                fields.put(HttpProtocol.IDEMPOTENCY_KEY_HEADER, request.idempotencyKey());
            }
            if (request.contentType() != null) {
                fields.put(HttpHeader.CONTENT_TYPE, request.contentType());
            }
            long remainingMs = Math.max(0, (attempt.timeoutAtUs() - clock.getAsLong()) / 1000);
            return fields.put(HttpProtocol.REMAINING_MS_HEADER, Long.toString(remainingMs));
        }

        @Override
        public void onAnswer(int status, HttpFields fields, ByteBuffer body) {
            Map<String, Double> load = HttpProtocol.parseLoadReport(fields.get(HttpProtocol.LOAD_HEADER));
            attempt.setVolumeUsage(HttpProtocol.parseVolumeUse(fields));
            Outcome outcome = outcome(status, fields);
            Object answer = outcome == Outcome.SERVED
                    ? new ForwardedMessage.Answer(fields.get(HttpHeader.CONTENT_TYPE), body)
                    : null;
            attempt.end(outcome, answer, load);
        }

        @Override
        public void onFailure(Failure failure) {
            counters.increment("connections.broke." + failure.name().toLowerCase(Locale.ROOT));
            attempt.end(outcome(failure), null, null);
        }

        @Override
        void onNotConnected() {
            attempt.end(Outcome.NOT_CONNECTED, null, null);
        }
    }

    /**
     * Classifies a node's answer as the protocol defines. Only X-Turned-Away proves that the node did not execute the
     * request; with it, 504 says that the request's time is over.
     */
    static Outcome outcome(int status, HttpFields fields) {
        if (status == 200) {
            return Outcome.SERVED;
        }
        if (!"1".equals(fields.get(HttpProtocol.TURNED_AWAY_HEADER))) {
            return Outcome.ERROR;
        }
        return status == 503 ? Outcome.REJECTED : status == 504 ? Outcome.OVER : Outcome.ERROR;
    }

    /**
     * Classifies a connection failure. A malformed answer is an error and not a reset, because the node can be reached.
     */
    static Outcome outcome(UpstreamCall.Failure failure) {
        return switch (failure) {
            case UNWRITTEN -> Outcome.NOT_CONNECTED;
            case ENDED -> Outcome.RESET;
            case SPOILT -> Outcome.ERROR;
        };
    }

    /** A request for a node's load report. */
    private final class ProbeCall extends PooledCall {
        private final ProbeCallback result;
        private Timers.Timer timeout;
        private boolean finished;

        ProbeCall(ProbeCallback result) {
            this.result = result;
        }

        private void finish(Outcome outcome, Map<String, Double> load) {
            if (!finished) {
                finished = true;
                timeout.cancel();
                result.probeEnded(outcome, load);
            }
        }

        @Override
        public ByteBuffer[] requestBytes() {
            return new ByteBuffer[] {
                HttpProtocol.requestHead(
                        "GET", "/status/load", HttpFields.build().put(HttpHeader.HOST, host), 0)
            };
        }

        @Override
        public void onAnswer(int status, HttpFields fields, ByteBuffer body) {
            String text =
                    java.nio.charset.StandardCharsets.US_ASCII.decode(body).toString();
            finish(status == 200 ? Outcome.SERVED : Outcome.REJECTED, HttpProtocol.parseLoadReport(text));
        }

        @Override
        public void onFailure(Failure failure) {
            finish(outcome(failure), Map.of());
        }

        @Override
        void onNotConnected() {
            finish(Outcome.NOT_CONNECTED, Map.of());
        }
    }
}
