package petrelstand.operation;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import petrelstand.core.Counters;
import petrelstand.core.Timers;

/**
 * The operators' address: one call to a connection, answered on the loop. What happens here never touches service:
 * connections and heads are bounded, and where callers hold all of them, the one that has been silent longest gives
 * way.
 */
public final class OperatorServer {
    /** What a call answers. */
    public record Answer(int status, String text) {}

    /** A call that is known, by its method, and what it does. */
    public record Route(String method, Supplier<Answer> action) {}

    /** Connections at a time: more than operators' tools open, and room beside those that say nothing. */
    static final int MAX_CONNECTIONS = 24;
    /** A whole call is owed within this time of the opening: callers may hold a connection for 4 s without one. */
    static final long CALL_TIMEOUT_US = 6_000_000;
    /** How long what follows an answer is dropped before the connection closes. */
    static final long LINGER_TIMEOUT_US = 500_000;

    private final Timers timers;
    private final LongSupplier clock;
    private final Counters counters;
    private final Map<String, Route> calls;
    private final Set<OperatorConnection> connections = new LinkedHashSet<>();

    /** A door for calls by path. */
    public OperatorServer(Timers timers, LongSupplier clock, Counters counters, Map<String, Route> calls) {
        this.timers = timers;
        this.clock = clock;
        this.counters = counters;
        this.calls = Map.copyOf(calls);
    }

    /** A connection; where there are too many, the oldest goes. */
    public Connection accept(EndPoint endPoint) {
        counters.increment("operator.connections");
        if (connections.size() >= MAX_CONNECTIONS) {
            counters.increment("operator.gave_way");
            connections.iterator().next().close();
        }
        OperatorConnection connection = new OperatorConnection(endPoint, this);
        connections.add(connection);
        return connection;
    }

    int connections() {
        return connections.size();
    }

    /** What a call answers; an unknown path or method is the caller's mistake. */
    Answer handle(String method, String path) {
        Route call = calls.get(path);
        if (call == null) {
            return new Answer(
                    404,
                    "no such call; there are "
                            + String.join(", ", calls.keySet().stream().sorted().toList()));
        }
        if (!call.method().equals(method)) {
            return new Answer(405, path + " is called by " + call.method());
        }
        counters.increment("operator.calls");
        return call.action().get();
    }

    Timers timers() {
        return timers;
    }

    long nowUs() {
        return clock.getAsLong();
    }

    void connectionClosed(OperatorConnection connection) {
        connections.remove(connection);
    }
}
