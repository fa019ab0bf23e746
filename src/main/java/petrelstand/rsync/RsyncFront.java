package petrelstand.rsync;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import petrelstand.config.RsyncConfig;
import petrelstand.core.Broker;
import petrelstand.core.Exchange;
import petrelstand.core.Timers;

/** The rsync front: accepts client connections and holds what their sessions share. */
public final class RsyncFront {
    /** Limit of sessions in multiples of the transfer limit; those above the transfer limit are only refused. */
    static final int MAX_SESSIONS_FACTOR = 2;

    private final Broker broker;
    private final Timers timers;
    private RsyncConfig config;
    private final Consumer<String> log;
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    private boolean draining;

    public RsyncFront(Broker broker, Timers timers, RsyncConfig config, Consumer<String> log) {
        this.broker = broker;
        this.timers = timers;
        this.config = config;
        this.log = log;
    }

    /** Opens a session; above the transfer limit it is refused, and above the session limit replaces an older one. */
    public Connection accept(EndPoint endPoint) {
        if (sessions.size() >= MAX_SESSIONS_FACTOR * config.maxTransfers()) {
            sessions.stream().filter(ClientSession::isRefusedOnly).findFirst().ifPresent(ClientSession::close);
        }
        boolean full = sessions.size() >= config.maxTransfers();
        ClientSession session = new ClientSession(endPoint, this, full);
        sessions.add(session);
        broker.counters().increment("rsync.connections");
        return session;
    }

    /** Sets whether new transfers are accepted; running transfers continue. */
    public void setAcceptingTransfers(boolean accepting) {
        draining = !accepting;
    }

    /** Ends the sessions that have not named a module yet. */
    public void closeIdleSessions() {
        List.copyOf(sessions).forEach(ClientSession::endIfNoModule);
    }

    /** Replaces the configuration; running transfers continue. */
    public void reload(RsyncConfig changed) {
        config = changed;
    }

    /** Number of open client sessions, with those that are only refused. */
    public int sessionCount() {
        return sessions.size();
    }

    boolean isDraining() {
        return draining;
    }

    Broker broker() {
        return broker;
    }

    Timers timers() {
        return timers;
    }

    RsyncConfig config() {
        return config;
    }

    void log(String line) {
        log.accept("rsync: " + line);
    }

    /** Commits the active attempt before the arguments are sent: from here on the node may act on them. */
    void commitAttempt(Exchange exchange) {
        exchange.activeAttempt().commit();
    }

    void sessionClosed(ClientSession session) {
        sessions.remove(session);
    }
}
