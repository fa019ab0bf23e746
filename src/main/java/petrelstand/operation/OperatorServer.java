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
 * The operators' HTTP server. Each connection carries one request, which is answered on the event loop. Connections and
 * request sizes are bounded, so that operators' tools cannot disturb the clients; at the limit a new connection closes
 * the oldest one.
 */
public final class OperatorServer {
    /** A response: its HTTP status and its body, plain text. */
    public record Answer(int status, String text) {}

    /** The HTTP method that a path accepts, and the action that answers it. */
    public record Route(String method, Supplier<Answer> action) {}

    /** Enough for operators' tools beside some idle connections. */
    static final int MAX_CONNECTIONS = 24;
    /**
     * Time to receive a complete request, and again to write its answer; some tools connect 4 s before they send one.
     */
    static final long CALL_TIMEOUT_US = 6_000_000;
    /** How long input after the answer is read and dropped before the connection closes. */
    static final long LINGER_TIMEOUT_US = 500_000;

    private final Timers timers;
    private final LongSupplier clockUs;
    private final Counters counters;
    private final Map<String, Route> routes;
    private final Set<OperatorConnection> connections = new LinkedHashSet<>();

    /** Creates a server; the routes are given by path. */
    public OperatorServer(Timers timers, LongSupplier clockUs, Counters counters, Map<String, Route> routes) {
        this.timers = timers;
        this.clockUs = clockUs;
        this.counters = counters;
        this.routes = Map.copyOf(routes);
    }

    /** Accepts a connection; if there are too many, closes the oldest one. */
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

    int connectionCount() {
        return connections.size();
    }

    /** Runs the route of a path; the answer is 404 for an unknown path and 405 for another method. */
    Answer handle(String method, String path) {
        Route route = routes.get(path);
        if (route == null) {
            return new Answer(
                    404,
                    "no such call; there are "
                            + String.join(
                                    ", ", routes.keySet().stream().sorted().toList()));
        }
        if (!route.method().equals(method)) {
            return new Answer(405, path + " is called by " + route.method());
        }
        counters.increment("operator.calls");
        return route.action().get();
    }

    Timers timers() {
        return timers;
    }

    long nowUs() {
        return clockUs.getAsLong();
    }

    void connectionClosed(OperatorConnection connection) {
        connections.remove(connection);
    }
}
