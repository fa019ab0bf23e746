package petrelstand.discovery;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import petrelstand.config.NodeList;
import petrelstand.core.Counters;
import petrelstand.core.Timers;
import petrelstand.http.ByteBudget;
import petrelstand.http.HttpProtocol;
import petrelstand.http.NodeConnectionPool;
import petrelstand.http.UpstreamCall;
import petrelstand.http.UpstreamConnection;
import petrelstand.net.EventLoop;
import petrelstand.net.SocketAddresses;

/**
 * Watches the node list at a discovery agent by long polling, one call after another. After an answer the next call is
 * sent at once; a call without an answer times out and is retried. If two calls in a row fail, in whatever way, the
 * third is sent at most 5.4 s after the first, so that a change is known here within 6 s of discovery being reachable.
 */
public final class NodeListWatcher {
    /** How long the agent may hold a call while earlier calls are answered. */
    static final long LONG_WAIT_MS = 2_000;
    /** The wait after a failure, a start or a change of address: a change missed meanwhile is answered at once. */
    static final long SHORT_WAIT_MS = 200;
    /** The wait of the very first call; kept minimal because the start of the gateway waits for its answer. */
    static final long FIRST_WAIT_MS = 1;
    /** Number of calls with the short wait; later ones wait long again, even if the agent is still down. */
    static final int SHORT_WAIT_CALLS = 2;
    /** How much longer than its wait a call may take, including the time to connect. */
    static final long TIMEOUT_SLACK_US = 600_000;
    /** Delay between a failed call and the next one; the watch has to resume within 200 ms. */
    static final long RETRY_DELAY_US = 100_000;

    private static final int MAX_LIST_BYTES = 1 << 20;

    private final NodeConnectionPool.Dialer dialer;
    private final LongSupplier clockUs;
    private final Timers timers;
    private String address;
    private final String host;
    private final List<String> zones;
    private final Consumer<NodeList> listener;
    private final Counters counters;
    private final Consumer<String> log;
    private long version;
    private int consecutiveFailures;
    private int shortWaitCallsLeft = SHORT_WAIT_CALLS;

    /** Reused for the next call; null while there is no connection to the agent. */
    private UpstreamConnection connection;

    private LongPoll currentPoll;
    /** Starts the next call after a failed one. */
    private Timers.Timer retryTimer;

    /**
     * Creates a watcher; {@link #start} sends the first call.
     *
     * @param clockUs the loop's time in microseconds
     * @param address the agent's address, "ip:port"
     * @param host value of the Host header
     * @param zones names of the zones; a node's zone is stored as its index in this list
     * @param version version of the list already known, or negative to ask for the whole list
     * @param listener receives each list, which may hold only the changes since the last one
     */
    public NodeListWatcher(
            NodeConnectionPool.Dialer dialer,
            LongSupplier clockUs,
            Timers timers,
            String address,
            String host,
            List<String> zones,
            long version,
            Consumer<NodeList> listener,
            Counters counters,
            Consumer<String> log) {
        this.dialer = dialer;
        this.clockUs = clockUs;
        this.timers = timers;
        this.address = address;
        this.host = host;
        this.zones = zones;
        this.version = version;
        this.listener = listener;
        this.counters = counters;
        this.log = log;
    }

    /** Sends the first call. */
    public void start() {
        startPoll(FIRST_WAIT_MS);
    }

    /**
     * Continues at another agent, at once and from the current version; does nothing if the address is the same.
     *
     * <p>An answer that the old agent has already sent is read and delivered first. Then the call in progress ends, a
     * pending retry is cancelled so that only one call is active, and a connection to the old address that is still
     * being established is closed.
     */
    public void changeAddress(String newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        if (currentPoll != null) {
            currentPoll.readPendingAndEnd();
        }
        consecutiveFailures = 0;
        shortWaitCallsLeft = SHORT_WAIT_CALLS;
        if (currentPoll == null) {
            return;
        }
        if (retryTimer != null) {
            retryTimer.cancel();
        }
        UpstreamConnection old = connection;
        connection = null;
        if (old != null) {
            old.closeSilently();
        }
        startPoll();
    }

    /**
     * Delivers an answer that has already arrived; to be called after a stall of the loop, before requests are read.
     */
    public void readPending() {
        if (connection != null) {
            connection.readArrived(MAX_LIST_BYTES);
        }
    }

    private void startPoll() {
        startPoll(shortWaitCallsLeft > 0 ? SHORT_WAIT_MS : LONG_WAIT_MS);
    }

    private void startPoll(long waitMs) {
        currentPoll = new LongPoll(waitMs);
        shortWaitCallsLeft = Math.max(0, shortWaitCallsLeft - 1);
        if (connection != null) {
            currentPoll.sendOn(connection);
            return;
        }
        currentPoll.setTimeout(TIMEOUT_SLACK_US);
        try {
            currentPoll.connectingChannel = dialer.connect(SocketAddresses.parse(address), currentPoll);
        } catch (IOException | RuntimeException e) {
            currentPoll.fail("can't connect to the agent: " + e);
        }
    }

    /** One call to the agent, including the connection if a new one is needed. */
    private final class LongPoll implements UpstreamCall, EventLoop.Connector {
        private final long startedUs = clockUs.getAsLong();
        private final long waitMs;
        private Timers.Timer timeout;
        /** The channel being connected, if any. */
        private SocketChannel connectingChannel;

        private boolean finished;
        /** The end of this call doesn't start another one. */
        private boolean last;

        LongPoll(long waitMs) {
            this.waitMs = waitMs;
        }

        /** Sets or replaces the timeout, counted from the start of the call. */
        private void setTimeout(long durationUs) {
            if (timeout != null) {
                timeout.cancel();
            }
            timeout = timers.schedule(startedUs + durationUs, this::timedOut);
        }

        private void sendOn(UpstreamConnection idleConnection) {
            connectingChannel = null;
            setTimeout(waitMs * 1000 + TIMEOUT_SLACK_US);
            idleConnection.send(this);
        }

        /** Delivers an answer that has already arrived, then ends the call without starting another one. */
        private void readPendingAndEnd() {
            last = true;
            readPending();
            finish();
        }

        /** Ends the call and releases what it holds; returns false if it had ended before. */
        private boolean finish() {
            boolean first = !finished;
            finished = true;
            timeout.cancel();
            if (connectingChannel != null) {
                try {
                    connectingChannel.close();
                } catch (IOException e) {
                    // The event loop's connect timeout closes it at the latest.
                }
                connectingChannel = null;
            }
            return first;
        }

        @Override
        public Connection connected(EndPoint endPoint) {
            return new UpstreamConnection(endPoint, MAX_LIST_BYTES, new ByteBudget(MAX_LIST_BYTES), (source, free) -> {
                if (!free && connection == source) {
                    connection = null;
                }
            }) {
                @Override
                public void onOpen() {
                    super.onOpen();
                    if (finished) {
                        closeSilently();
                    } else {
                        connection = this;
                        sendOn(this);
                    }
                }
            };
        }

        @Override
        public void connectFailed(Throwable cause) {
            fail("can't connect to the agent: " + cause);
        }

        @Override
        public ByteBuffer[] requestBytes() {
            // The wait counts from the start of the call, so the time to connect is taken off.
            long leftMs = Math.max(0, waitMs - (clockUs.getAsLong() - startedUs) / 1000);
            String target = "/v1/endpoints" + (version >= 0 ? "?index=" + version + "&wait=" + leftMs : "");
            return new ByteBuffer[] {
                HttpProtocol.requestHead("GET", target, HttpFields.build().put(HttpHeader.HOST, host), 0)
            };
        }

        @Override
        public void onAnswer(int status, HttpFields fields, ByteBuffer body) {
            if (status != 200) {
                fail("the agent answered with status " + status);
                return;
            }
            if (!finish()) {
                return;
            }
            try {
                NodeList list =
                        NodeList.parse(StandardCharsets.UTF_8.decode(body).toString(), zones);
                deliver(list);
            } catch (IllegalArgumentException e) {
                finished = false;
                fail(e.getMessage());
            }
        }

        /**
         * Delivers a list. The version moves on only once the listener has taken it, else the list is asked for again.
         */
        private void deliver(NodeList list) {
            try {
                listener.accept(list);
            } catch (RuntimeException e) {
                finished = false;
                fail("the list of version " + list.version() + " could not be applied: " + e);
                return;
            }
            counters.increment("discovery.answers");
            if (consecutiveFailures > 0) {
                log.accept("discovery: the agent answers again");
            }
            consecutiveFailures = 0;
            version = list.version();
            if (!last) {
                startPoll();
            }
        }

        @Override
        public void onFailure(Failure how) {
            fail(
                    how == Failure.SPOILT
                            ? "the agent's answer is malformed"
                            : "the connection ended before the whole answer arrived");
        }

        private void timedOut() {
            UpstreamConnection current = connection;
            if (current != null) {
                // An answer that arrived while the loop was stalled has not been read yet.
                current.readArrived(MAX_LIST_BYTES);
                if (finished) {
                    return;
                }
                current.closeSilently();
            }
            fail("the agent did not answer in time");
        }

        private void fail(String reason) {
            if (finish()) {
                counters.increment("discovery.failures");
                if (consecutiveFailures++ == 0) {
                    shortWaitCallsLeft = SHORT_WAIT_CALLS;
                    log.accept("discovery: " + reason + "; retrying");
                }
                retryTimer = last
                        ? null
                        : timers.schedule(clockUs.getAsLong() + RETRY_DELAY_US, NodeListWatcher.this::startPoll);
            }
        }
    }
}
