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
import petrelstand.core.Counters;
import petrelstand.core.Node;
import petrelstand.core.NodeTransport;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.lifecycle.MemoryLimits;
import petrelstand.net.EventLoop;
import petrelstand.net.SocketAddresses;

/** The side that faces the storage nodes: attempts over a bounded pool of connections, one attempt on each. */
public final class NodeConnectionPool implements NodeTransport {
    /** How a connection out is started; the event loop's way but in tests. */
    public interface Dialer {
        SocketChannel connect(InetSocketAddress address, EventLoop.Connector connector) throws IOException;
    }

    /** Part of the idle limit up to which a connection is used again: the node's clock and the way take the rest. */
    private static final double REUSE_PART = 0.8;
    /**
     * What is kept of an answer. One over 64 KiB passes in pieces instead: with what came in one read, less than twice
     * that is kept of it before it does.
     */
    static final int MOST_ANSWER = 128 * 1024;
    /** An answer that began goes on within this time: nodes write theirs in one go. */
    static final long STALL_US = 150_000;
    /** An answer or a body that passes in pieces goes on within this time, where it is the node that is waited for. */
    static final long PIECE_STALL_US = 10_000_000;
    /**
     * What comes of a large answer within this time is kept, up to 64 KiB: one that breaks meanwhile can be tried
     * again. It is a small part of any aim.
     */
    static final long GATHER_US = 20_000;
    /** Rest of a connection after an answer, where another is at hand: what follows an answer has come by then. */
    private static final long SETTLE_US = 2_000;

    private final Dialer dialer;
    private final LongSupplier clock;
    private final Timers timers;
    private final Counters counters;
    private final String host;
    private long connectUs;
    private long reuseUs;
    private int mostOpen;
    private final int mostByMemory;
    private final ByteBudget answers;
    private final Map<String, ArrayDeque<UpstreamConnection>> idle = new HashMap<>();
    private int connectionCount;
    private boolean sweeping;

    /** A pool whose memory is not short. */
    public NodeConnectionPool(
            Dialer dialer,
            LongSupplier clock,
            Timers timers,
            Counters counters,
            Settings settings,
            String host,
            int mostOpen) {
        this(dialer, clock, timers, counters, settings, host, mostOpen, BodyBudgets.of(MemoryLimits.MAXIMUM));
    }

    /** A pool of so many connections at most, and the budgets' bytes of answers. */
    public NodeConnectionPool(
            Dialer dialer,
            LongSupplier clock,
            Timers timers,
            Counters counters,
            Settings settings,
            String host,
            int mostOpen,
            BodyBudgets budgets) {
        this.answers = budgets.incomingAnswers();
        this.mostByMemory = mostOpen;
        this.dialer = dialer;
        this.clock = clock;
        this.timers = timers;
        this.counters = counters;
        this.host = host;
        this.mostOpen = mostOpen;
        applySettings(settings);
    }

    /** Other settings from now on. */
    public void applySettings(Settings settings) {
        connectUs = (long) (settings.may().connectTimeoutMs() * 1000);
        reuseUs = (long) (settings.may().idleCloseMs() * 1000 * REUSE_PART);
    }

    /** At most so many connections from now on, and never more than at the start; idle ones beyond it close. */
    public void setMaxConnections(int most) {
        mostOpen = Math.min(most, mostByMemory);
        while (connectionCount > mostOpen && dropOldestIdle()) {
            counters.increment("connections.gave_way");
        }
    }

    /** Connections open or coming up. */
    public int connectionCount() {
        return connectionCount;
    }

    @Override
    public void start(Attempt attempt) {
        Sending sending = new Sending(attempt);
        attempt.attachment(sending);
        begin(attempt.node(), sending);
    }

    @Override
    public void abandon(Attempt attempt) {
        if (attempt.attachment() instanceof Sending sending) {
            sending.drop();
        }
    }

    @Override
    public void probe(Node node, long timeoutUs, ProbeCallback result) {
        Probe probe = new Probe(result);
        probe.timeout = timers.schedule(clock.getAsLong() + timeoutUs, () -> {
            probe.drop();
            probe.end(Outcome.TIMED_OUT, Map.of());
        });
        begin(node, probe);
    }

    @Override
    public void discardConnections(Node node) {
        ArrayDeque<UpstreamConnection> kept = idle.remove(node.address());
        if (kept != null) {
            List.copyOf(kept).forEach(UpstreamConnection::closeSilently);
        }
    }

    /** Puts a call on a connection kept for the node, or on a new one. */
    private void begin(Node node, Leg leg) {
        leg.address = node.address();
        ArrayDeque<UpstreamConnection> kept = idle.get(node.address());
        long now = clock.getAsLong();
        while (kept != null && !kept.isEmpty()) {
            UpstreamConnection connection = settled(kept, now);
            kept.remove(connection);
            if (kept.isEmpty()) {
                idle.remove(node.address());
            }
            if (now - connection.idleSinceUs() <= reuseUs && connection.quiet()) {
                leg.on(connection);
                return;
            }
            connection.closeSilently();
        }
        if (connectionCount >= mostOpen && !dropOldestIdle()) {
            counters.increment("connections.none_left");
            leg.notConnected();
            return;
        }
        dial(leg);
    }

    /** The one last used of those that have rested, else the one that has rested longest. */
    private static UpstreamConnection settled(ArrayDeque<UpstreamConnection> kept, long now) {
        for (Iterator<UpstreamConnection> newest = kept.descendingIterator(); newest.hasNext(); ) {
            UpstreamConnection connection = newest.next();
            if (now - connection.idleSinceUs() >= SETTLE_US) {
                return connection;
            }
        }
        return kept.peekFirst();
    }

    private boolean dropOldestIdle() {
        UpstreamConnection oldest = null;
        for (ArrayDeque<UpstreamConnection> kept : idle.values()) {
            UpstreamConnection first = kept.peekFirst();
            if (first != null && (oldest == null || first.idleSinceUs() < oldest.idleSinceUs())) {
                oldest = first;
            }
        }
        if (oldest != null) {
            oldest.closeSilently();
        }
        return oldest != null;
    }

    private void dial(Leg leg) {
        counters.increment("connections.nodes");
        connectionCount++;
        Dial dial = new Dial(leg);
        leg.dial = dial;
        dial.timeout = timers.schedule(clock.getAsLong() + connectUs, () -> dial.fail());
        try {
            dial.channel = dialer.connect(SocketAddresses.parse(leg.address), dial);
        } catch (IOException | RuntimeException e) {
            dial.fail();
        }
    }

    /** A connection that is coming up. */
    private final class Dial implements EventLoop.Connector {
        private final Leg leg;
        private Timers.Timer timeout;
        private SocketChannel channel;
        private boolean done;

        Dial(Leg leg) {
            this.leg = leg;
        }

        @Override
        public Connection connected(EndPoint endPoint) {
            UpstreamConnection connection =
                    new UpstreamConnection(endPoint, MOST_ANSWER, answers, NodeConnectionPool.this::changed) {
                        @Override
                        public void onOpen() {
                            super.onOpen();
                            up(this);
                        }
                    };
            return connection;
        }

        private void up(UpstreamConnection connection) {
            if (done) {
                connection.closeSilently();
                return;
            }
            done = true;
            timeout.cancel();
            addresses.put(connection, leg.address);
            leg.dial = null;
            leg.on(connection);
        }

        @Override
        public void connectFailed(Throwable cause) {
            counters.increment("connections.failed." + cause.getClass().getSimpleName());
            fail();
        }

        void fail() {
            if (stop()) {
                leg.notConnected();
            }
        }

        /** Gives the connection up without a word to its leg. */
        boolean stop() {
            if (done) {
                return false;
            }
            done = true;
            connectionCount--;
            if (timeout != null) {
                timeout.cancel();
            }
            if (channel != null) {
                try {
                    channel.close();
                } catch (IOException e) {
                    // Nothing more can be done for it.
                }
            }
            return true;
        }
    }

    private final Map<UpstreamConnection, String> addresses = new HashMap<>();

    private void changed(UpstreamConnection connection, boolean free) {
        String address = addresses.get(connection);
        if (free) {
            connection.idleSince(clock.getAsLong());
            idle.computeIfAbsent(address, a -> new ArrayDeque<>()).addLast(connection);
            sweepLater();
        } else if (addresses.remove(connection) != null) {
            connectionCount--;
            ArrayDeque<UpstreamConnection> kept = idle.get(address);
            if (kept != null && kept.remove(connection) && kept.isEmpty()) {
                idle.remove(address);
            }
        }
    }

    /** Closes connections before their idle limit, so that no request meets the node's close. */
    private void sweepLater() {
        if (!sweeping) {
            sweeping = true;
            timers.schedule(clock.getAsLong() + 1_000_000, this::sweep);
        }
    }

    private void sweep() {
        sweeping = false;
        long now = clock.getAsLong();
        for (ArrayDeque<UpstreamConnection> kept : List.copyOf(idle.values())) {
            while (!kept.isEmpty() && now - kept.peekFirst().idleSinceUs() > reuseUs) {
                kept.peekFirst().closeSilently();
            }
        }
        if (!idle.isEmpty()) {
            sweepLater();
        }
    }

    /** A call on its way: waiting for its connection, or on it. */
    private abstract class Leg implements UpstreamCall {
        private String address;
        private Dial dial;
        private UpstreamConnection connection;
        private boolean inPieces;

        void on(UpstreamConnection free) {
            connection = free;
            free.send(this);
        }

        /**
         * Guards against answers that begin and never end, on a connection that stays open: they would be waited for
         * until the client's time is up.
         */
        @Override
        public void onPartialAnswer() {
            watch(connection.received());
            timers.schedule(clock.getAsLong() + GATHER_US, () -> connection.beginPieces(this));
        }

        private void watch(long received) {
            timers.schedule(clock.getAsLong() + STALL_US, () -> {
                if (!inPieces && connection.goesOn(this, received)) {
                    watch(connection.received());
                }
            });
        }

        /** Guards against a node that stops in the middle of an answer or a body that passes in pieces. */
        void watchPieces() {
            if (!inPieces) {
                inPieces = true;
                watchPieces(-1);
            }
        }

        private void watchPieces(long before) {
            long now = connection.received() + connection.streamed();
            if (connection.isHeld() || awaitsClient() || now != before) {
                timers.schedule(clock.getAsLong() + PIECE_STALL_US, () -> {
                    if (connection.has(this)) {
                        watchPieces(now);
                    }
                });
            } else {
                connection.close();
            }
        }

        /** Whether the next piece is the client's to give. */
        boolean awaitsClient() {
            return false;
        }

        abstract void notConnected();

        void drop() {
            if (dial != null) {
                dial.stop();
            } else if (connection != null) {
                connection.closeSilently();
            }
        }
    }

    private final class Sending extends Leg {
        private final Attempt attempt;
        private final Message.Ask ask;

        Sending(Attempt attempt) {
            this.attempt = attempt;
            this.ask = (Message.Ask) attempt.exchange().message();
        }

        /** What nobody waits for any more is not begun; the connection that came up for it is kept. */
        @Override
        void on(UpstreamConnection free) {
            if (attempt.beginWrite()) {
                super.on(free);
            } else {
                changed(free, true);
            }
        }

        @Override
        public void onRequestWritten() {
            attempt.requestWritten();
        }

        @Override
        public StreamedBody streamedBody() {
            return ask.upload() == null
                    ? null
                    : new StreamedBody(
                            HttpProtocol.requestMetaData(
                                    ask.method(),
                                    ask.target(),
                                    fields(),
                                    ask.upload().length()),
                            ByteBuffer.wrap(ask.body()),
                            ask.upload());
        }

        @Override
        public void onBodyStreaming() {
            attempt.beginBodyStream();
            watchPieces();
        }

        @Override
        boolean awaitsClient() {
            return ask.upload() != null && ask.upload().isAwaited();
        }

        @Override
        public boolean acceptAnswerStream(Flow flow) {
            watchPieces();
            attempt.setVolumeUsage(HttpProtocol.parseVolumeUse(flow.fields()));
            attempt.end(
                    Outcome.SERVED,
                    flow,
                    HttpProtocol.parseLoadReport(flow.fields().get(HttpProtocol.LOAD_HEADER)));
            return true;
        }

        @Override
        public ByteBuffer[] requestBytes() {
            return new ByteBuffer[] {
                HttpProtocol.requestHead(ask.method(), ask.target(), fields(), ask.body().length),
                ByteBuffer.wrap(ask.body())
            };
        }

        private HttpFields fields() {
            HttpFields.Mutable fields =
                    HttpFields.build().put(HttpHeader.HOST, host).put(HttpProtocol.TXN_HEADER, ask.txn());
            if (ask.effectKey() != null) {
                fields.put(HttpProtocol.IDEMPOTENCY_KEY_HEADER, ask.effectKey());
            }
            if (ask.type() != null) {
                fields.put(HttpHeader.CONTENT_TYPE, ask.type());
            }
            long leftMs = Math.max(0, (attempt.timeoutAtUs() - clock.getAsLong()) / 1000);
            return fields.put(HttpProtocol.REMAINING_MS_HEADER, Long.toString(leftMs));
        }

        @Override
        public void onAnswer(int status, HttpFields fields, ByteBuffer body) {
            Map<String, Double> load = HttpProtocol.parseLoadReport(fields.get(HttpProtocol.LOAD_HEADER));
            attempt.setVolumeUsage(HttpProtocol.parseVolumeUse(fields));
            Outcome outcome = outcome(status, fields);
            Object answer =
                    outcome == Outcome.SERVED ? new Message.Answer(fields.get(HttpHeader.CONTENT_TYPE), body) : null;
            attempt.end(outcome, answer, load);
        }

        @Override
        public void onFailure(Failure how) {
            counters.increment("connections.broke." + how.name().toLowerCase(Locale.ROOT));
            attempt.end(outcome(how), null, null);
        }

        @Override
        void notConnected() {
            attempt.end(Outcome.NOT_CONNECTED, null, null);
        }
    }

    /**
     * The protocol's table: a node proves that it ran nothing only by the header that says so. With it, 504 is what it
     * says of a request that is over: of 283 that were turned away so, none was served by a later attempt
     * (docs/OPERATING.md).
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

    /** A spoilt answer is the node's failure; a node that sends one is there, which a reset would put in doubt. */
    static Outcome outcome(UpstreamCall.Failure how) {
        return switch (how) {
            case UNWRITTEN -> Outcome.NOT_CONNECTED;
            case ENDED -> Outcome.RESET;
            case SPOILT -> Outcome.ERROR;
        };
    }

    private final class Probe extends Leg {
        private final ProbeCallback result;
        private Timers.Timer timeout;
        private boolean over;

        Probe(ProbeCallback result) {
            this.result = result;
        }

        private void end(Outcome outcome, Map<String, Double> load) {
            if (!over) {
                over = true;
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
            end(status == 200 ? Outcome.SERVED : Outcome.REJECTED, HttpProtocol.parseLoadReport(text));
        }

        @Override
        public void onFailure(Failure how) {
            end(outcome(how), Map.of());
        }

        @Override
        void notConnected() {
            end(Outcome.NOT_CONNECTED, Map.of());
        }
    }
}
