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

/** The rsync front: its client sessions, and what they share. */
public final class RsyncFront {
    /** Sessions that are only refused may be as many again as those that transfer. */
    static final int REFUSED_TIMES = 2;

    private final Broker broker;
    private final Timers timers;
    private RsyncConfig config;
    private final Consumer<String> log;
    private final Set<ClientSession> sessionCount = new LinkedHashSet<>();
    private boolean draining;

    public RsyncFront(Broker broker, Timers timers, RsyncConfig config, Consumer<String> log) {
        this.broker = broker;
        this.timers = timers;
        this.config = config;
        this.log = log;
    }

    public Connection accept(EndPoint endPoint) {
        if (sessionCount.size() >= REFUSED_TIMES * config.maxTransfers()) {
            sessionCount.stream().filter(ClientSession::isRefusedOnly).findFirst().ifPresent(ClientSession::close);
        }
        boolean full = sessionCount.size() >= config.maxTransfers();
        ClientSession session = new ClientSession(endPoint, this, full);
        sessionCount.add(session);
        broker.counters().increment("rsync.connections");
        return session;
    }

    /** Whether new transfers are taken; those that were go on to their end. */
    public void setAcceptingTransfers(boolean accepting) {
        draining = !accepting;
    }

    /** Ends the sessions that have asked for nothing yet. */
    public void closeIdleSessions() {
        List.copyOf(sessionCount).forEach(ClientSession::endIfIdle);
    }

    /** Takes the operator's file as it is now; transfers that were taken go on. */
    public void reload(RsyncConfig changed) {
        config = changed;
    }

    public int sessionCount() {
        return sessionCount.size();
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

    /** The client's arguments go on to the node: from here on the transfer may run. */
    void began(Exchange exchange) {
        exchange.activeAttempt().commit();
    }

    void closed(ClientSession session) {
        sessionCount.remove(session);
    }
}
