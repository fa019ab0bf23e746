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
 * Follows the node list: one call after another, each waiting at the agent for something newer. The next call goes out
 * at once after an answer, and a call that got none is given up for a new one. Whatever two calls in a row fail of, the
 * third goes out 5.4 s after the first at the latest: a change counts as told 6 s after discovery could be reached.
 */
public final class NodeListWatcher {
    /** How long a call waits at the agent where calls are answered. */
    static final long WAIT_MS = 2_000;
    /** How long it waits after a failure, a start or a move: what was missed is there, so an answer comes at once. */
    static final long SOON_MS = 200;
    /** How long the first call of all waits: the start waits for it. */
    static final long FIRST_MS = 1;
    /** Calls that wait only so long; after these the agent is taken to be down, and asked less often. */
    static final int SOON_CALLS = 2;
    /** What a call may take beyond its wait, the connection that it had to open included. */
    static final long SLACK_US = 600_000;
    /** Rest before a new call after one that failed: under the 200 ms within which a watch goes on. */
    static final long REST_US = 100_000;

    private static final int MOST_LIST = 1 << 20;

    private final NodeConnectionPool.Dialer dialer;
    private final LongSupplier clock;
    private final Timers timers;
    private String address;
    private final String host;
    private final List<String> zones;
    private final Consumer<NodeList> heard;
    private final Counters counters;
    private final Consumer<String> log;
    private long version;
    private int failures;
    /** Calls left that wait only shortly. */
    private int soon = SOON_CALLS;

    private UpstreamConnection connection;
    private Round round;
    /** The rest after a failed call. */
    private Timers.Timer rest;

    public NodeListWatcher(
            NodeConnectionPool.Dialer dialer,
            LongSupplier clock,
            Timers timers,
            String address,
            String host,
            List<String> zones,
            long version,
            Consumer<NodeList> heard,
            Counters counters,
            Consumer<String> log) {
        this.dialer = dialer;
        this.clock = clock;
        this.timers = timers;
        this.address = address;
        this.host = host;
        this.zones = zones;
        this.version = version;
        this.heard = heard;
        this.counters = counters;
        this.log = log;
    }

    public void start() {
        next(FIRST_MS);
    }

    /**
     * Goes on at another address, at once and from the version reached. What the old agent has written by now counts as
     * told and is heard first, whatever becomes of the new one; then the call that is out ends. Guards against two
     * loops side by side, where a failed call was resting, and against a connection to the old address that comes up
     * late.
     */
    public void changeAddress(String newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        if (round != null) {
            round.endHere();
        }
        failures = 0;
        soon = SOON_CALLS;
        if (round == null) {
            return;
        }
        if (rest != null) {
            rest.cancel();
        }
        UpstreamConnection old = connection;
        connection = null;
        if (old != null) {
            old.closeSilently();
        }
        next();
    }

    private void next() {
        next(soon > 0 ? SOON_MS : WAIT_MS);
    }

    private void next(long waitMs) {
        round = new Round(waitMs);
        soon = Math.max(0, soon - 1);
        if (connection != null) {
            round.on(connection);
            return;
        }
        round.limit(SLACK_US);
        try {
            round.dialed = dialer.connect(SocketAddresses.parse(address), round);
        } catch (IOException | RuntimeException e) {
            round.failed("no connection, " + e);
        }
    }

    /** One call, and the connection it had to open. */
    private final class Round implements UpstreamCall, EventLoop.Connector {
        private final long begunUs = clock.getAsLong();
        private final long waitMs;
        private Timers.Timer timeout;
        private SocketChannel dialed;
        private boolean over;
        /** No call follows this one by itself. */
        private boolean last;

        Round(long waitMs) {
            this.waitMs = waitMs;
        }

        /** It ends so long after its beginning at the latest. */
        private void limit(long us) {
            if (timeout != null) {
                timeout.cancel();
            }
            timeout = timers.schedule(begunUs + us, this::late);
        }

        private void on(UpstreamConnection open) {
            dialed = null;
            limit(waitMs * 1000 + SLACK_US);
            open.send(this);
        }

        /** Hears what has come, and ends. */
        private void endHere() {
            last = true;
            if (connection != null) {
                connection.onFillable();
            }
            finish();
        }

        private boolean finish() {
            boolean first = !over;
            over = true;
            timeout.cancel();
            if (dialed != null) {
                try {
                    dialed.close();
                } catch (IOException e) {
                    // It goes with its time at the latest.
                }
                dialed = null;
            }
            return first;
        }

        @Override
        public Connection connected(EndPoint endPoint) {
            return new UpstreamConnection(endPoint, MOST_LIST, new ByteBudget(MOST_LIST), (c, free) -> {
                if (!free && connection == c) {
                    connection = null;
                }
            }) {
                @Override
                public void onOpen() {
                    super.onOpen();
                    if (over) {
                        closeSilently();
                    } else {
                        connection = this;
                        on(this);
                    }
                }
            };
        }

        @Override
        public void connectFailed(Throwable cause) {
            failed("no connection, " + cause);
        }

        @Override
        public ByteBuffer[] requestBytes() {
            // The wait, too, is counted from the beginning: a connection that came up late has taken its part of it.
            long leftMs = Math.max(0, waitMs - (clock.getAsLong() - begunUs) / 1000);
            String target = "/v1/endpoints" + (version >= 0 ? "?index=" + version + "&wait=" + leftMs : "");
            return new ByteBuffer[] {
                HttpProtocol.requestHead("GET", target, HttpFields.build().put(HttpHeader.HOST, host), 0)
            };
        }

        @Override
        public void onAnswer(int status, HttpFields fields, ByteBuffer body) {
            if (status != 200) {
                failed("answer " + status);
                return;
            }
            if (!finish()) {
                return;
            }
            try {
                NodeList list =
                        NodeList.parse(StandardCharsets.UTF_8.decode(body).toString(), zones);
                counters.increment("discovery.answers");
                if (failures > 0) {
                    log.accept("discovery: answers again");
                }
                failures = 0;
                version = list.version();
                heard.accept(list);
                if (!last) {
                    next();
                }
            } catch (IllegalArgumentException e) {
                over = false;
                failed(e.getMessage());
            }
        }

        @Override
        public void onFailure(Failure how) {
            failed(how == Failure.SPOILT ? "an answer that can't be read" : "the connection broke");
        }

        private void late() {
            UpstreamConnection silent = connection;
            if (silent != null) {
                // An answer that came while the loop stood still has not been read yet.
                silent.onFillable();
                if (over) {
                    return;
                }
                silent.closeSilently();
            }
            failed("no answer");
        }

        private void failed(String why) {
            if (finish()) {
                counters.increment("discovery.failures");
                if (failures++ == 0) {
                    soon = SOON_CALLS;
                    log.accept("discovery: " + why + "; asking again");
                }
                rest = last ? null : timers.schedule(clock.getAsLong() + REST_US, NodeListWatcher.this::next);
            }
        }
    }
}
