package petrelstand.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.LongToDoubleFunction;
import java.util.stream.Collectors;
import petrelstand.core.RequestCounts.RequestResult;
import petrelstand.decision.Policy;
import petrelstand.decision.Scheduling.AttemptEnd;
import petrelstand.decision.Scheduling.HostActions;
import petrelstand.decision.Scheduling.HostEvents;
import petrelstand.decision.Scheduling.LearnedNode;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.Request;
import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.decision.Scheduling.Settings;

/**
 * Carries requests between a client side and a server side as the decision module says. It owns the exchanges, the
 * timers set for the module and the counters; it decides nothing that the module can decide.
 */
public final class Broker {
    /** The guard on a forgotten request comes after the time-outs at the deadline, and within the rule's grace. */
    private static final long MOST_GUARD_US = 2_000;

    private static final double GUARD_PART = 0.25;

    private Settings settings;
    private final LongSupplier clock;
    private final Timers timers;
    private final NodeTransport server;
    private final Counters counters;
    private final RequestCounts requestCounts = new RequestCounts();
    private final Consumer<String> log;
    private final HostEvents module;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final Map<Long, Node> updateNodes = new HashMap<>();
    /** Events that came while the module was at work: it is never entered twice. */
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

    private RequestObserver watcher = RequestObserver.NO_OP;
    /** Null where nothing rules on requests beyond the module: a start links no code for it. */
    private AdmissionControl setAdmissionControl;

    private boolean busy;
    private LongToDoubleFunction shares = nowUs -> 1;
    private double setShareFunction = 1;
    private long nextId = 1;
    /** No answer is given later, µs. */
    private long lastAnswerUs = Long.MAX_VALUE;

    /** Makes the decision module for a host: settings and actions. */
    public interface ModuleFactory {
        HostEvents create(double nowMs, Settings settings, HostActions actions);
    }

    public Broker(
            Settings settings,
            long seed,
            LongSupplier clock,
            Timers timers,
            NodeTransport server,
            Counters counters,
            Consumer<String> log) {
        this(settings, (now, s, actions) -> new Policy(now, s, seed, actions), clock, timers, server, counters, log);
    }

    Broker(
            Settings settings,
            ModuleFactory maker,
            LongSupplier clock,
            Timers timers,
            NodeTransport server,
            Counters counters,
            Consumer<String> log) {
        this.settings = settings;
        this.clock = clock;
        this.timers = timers;
        this.server = server;
        this.counters = counters;
        this.log = log;
        this.module = maker.create(toMs(clock.getAsLong()), settings, new ModuleActions());
        settings.classes().forEach(kind -> requestCounts.addClass(kind.name()));
    }

    // The one border between the core's microseconds and the module's milliseconds.

    static double toMs(long us) {
        return us / 1000.0;
    }

    /** Rounded up, so that a timer never rings before the module's time. */
    static long toUs(double ms) {
        return (long) Math.ceil(ms * 1000);
    }

    public Settings settings() {
        return settings;
    }

    /**
     * Other settings from now on. Requests that are open keep the class they came with, and may have no more attempts
     * than they came with either.
     */
    public void updateSettings(Settings changed) {
        settings = changed;
        changed.classes().forEach(kind -> requestCounts.addClass(kind.name()));
        event(() -> module.applySettings(toMs(clock.getAsLong()), changed), null);
    }

    /** The time of this turn of the loop. */
    public long nowUs() {
        return clock.getAsLong();
    }

    public Counters counters() {
        return counters;
    }

    /** What became of requests since the process began. */
    public RequestCounts requestCounts() {
        return requestCounts;
    }

    /** Listed nodes that anybody's requests may go to. */
    public int listedNodeCount() {
        return (int)
                updateNodes.values().stream().filter(node -> !node.isPrivate()).count();
    }

    /** Those of them that get nothing new at this moment: they drain, or the module has them for silent. */
    public int avoidedNodeCount() {
        Set<Long> silent = learnedState().nodes().stream()
                .filter(node -> node.silentMs() > 0)
                .map(LearnedNode::node)
                .collect(Collectors.toSet());
        return (int) updateNodes.values().stream()
                .filter(node -> !node.isPrivate()
                        && (node.entry().state() != NodeState.READY || silent.contains(node.number())))
                .count();
    }

    /** Tells a watcher of each step from now on; there is one at most. */
    public void setObserver(RequestObserver by) {
        watcher = by;
    }

    /** Asks a gate about each request from now on, before the module; there is one at most. */
    public void setAdmissionControl(AdmissionControl by) {
        setAdmissionControl = by;
    }

    /** Takes the right to give the final answer, counts it, and tells the watcher. */
    private boolean finish(Exchange exchange, RequestResult how) {
        boolean first = exchange.finish();
        if (first) {
            requestCounts.recordResult(exchange.requestClass().name(), how);
            watcher.requestAnswered(exchange.id(), how == RequestResult.SERVED, clock.getAsLong());
        }
        return first;
    }

    /** A request that was turned away before it came here; its class by name, which may be none. */
    public void recordRejected(String requestClass) {
        requestCounts.recordResult(requestClass, RequestResult.REFUSED);
    }

    /** Whether a node is listed for new requests as it was when it was chosen. */
    boolean isStillListed(Node chosen) {
        Node now = updateNodes.get(chosen.number());
        return now != null
                && now.entry().state() == NodeState.READY
                && now.address().equals(chosen.address())
                && now.entry().upSinceMs() == chosen.entry().upSinceMs();
    }

    void attemptWritten(Attempt attempt) {
        requestCounts.recordAttempt();
        long now = clock.getAsLong();
        watcher.attemptWritten(attempt.exchange().id(), attempt.number(), now);
        event(() -> module.requestWritten(toMs(now), attempt.exchange().id()), attempt.exchange());
    }

    /** Requests without their final answer. */
    public int openRequests() {
        return (int) exchanges.values().stream()
                .filter(exchange -> !exchange.isFinished())
                .count();
    }

    /** Those of them that have come whole. */
    public int requestsInProgress() {
        return (int) exchanges.values().stream()
                .filter(exchange -> !exchange.isFinished() && !exchange.client().isReceiving())
                .count();
    }

    /** Nodes that are kept. */
    int knownNodeCount() {
        return updateNodes.size();
    }

    // ---- What comes in ----

    /**
     * Takes a request; the client side gets one final answer, possibly before this returns, but not before it was given
     * the exchange.
     */
    public Exchange submit(Demand demand, Object message, ClientHandler client, Consumer<Exchange> taken) {
        long now = clock.getAsLong();
        RequestClass kind = settings.classes().get(demand.classIndex());
        Exchange exchange = new Exchange(nextId++, demand, kind, message, client, now);
        counters.increment("taken." + kind.name());
        exchanges.put(exchange.id(), exchange);
        watcher.requestAccepted(exchange.id(), demand, now);
        taken.accept(exchange);
        exchange.setOverdueTimer(timers.schedule(exchange.deadlineUs() + guardUs(), () -> overdue(exchange)));
        long waitUs = setAdmissionControl == null ? 0 : setAdmissionControl.retryAfterUs(demand, now);
        if (waitUs > 0) {
            counters.increment("refused.rules");
            refuse(exchange, waitUs);
            forgetIfDone(exchange);
            return exchange;
        }
        Request request = new Request(
                exchange.id(),
                demand.classIndex(),
                demand.planIndex(),
                demand.key(),
                toMs(demand.timeLeftUs()),
                demand.volume(),
                demand.units(),
                demand.shard(),
                demand.gatewaySetSize(),
                demand.clientRepeat(),
                demand.write());
        event(() -> module.requestReceived(toMs(now), request), exchange);
        return exchange;
    }

    /** How long after a request's deadline it is failed here, µs: a part of what the settings leave for the answer. */
    private long guardUs() {
        return Math.min(
                MOST_GUARD_US, (long) (GUARD_PART * 1000 * settings.rules().answerGraceMs()));
    }

    private void refuse(Exchange exchange, long retryAfterUs) {
        if (exchange != null && finish(exchange, RequestResult.REFUSED)) {
            counters.increment("answered.refused");
            exchange.client().refused(retryAfterUs);
        }
    }

    /** Guards against a request that the module forgot: its client must hear of the end at its deadline. */
    private void overdue(Exchange exchange) {
        if (finish(exchange, RequestResult.FAILED)) {
            counters.increment("answered.overdue");
            log.accept("core: request " + exchange.id() + " had no final answer in time; failed");
            exchange.client().failed(exchange.lastAttempt());
            tellGone(exchange);
        }
    }

    /** No answer is given later than this: what would wait longer is failed then. */
    public void setAnswerDeadline(long us) {
        lastAnswerUs = us;
        exchanges.values().stream()
                .filter(exchange -> !exchange.isFinished() && exchange.deadlineUs() > us)
                .forEach(exchange -> timers.schedule(us, () -> overdue(exchange)));
    }

    /** The client left: nothing more is owed. */
    public void clientGone(Exchange exchange) {
        if (finish(exchange, RequestResult.GONE)) {
            counters.increment("client_gone");
            tellGone(exchange);
        }
    }

    private void tellGone(Exchange exchange) {
        event(() -> module.clientGone(toMs(clock.getAsLong()), exchange.id()), exchange);
        if (exchange.isCommitted()) {
            exchange.attempts().forEach(attempt -> stop(attempt, Outcome.CANCELLED));
        }
        forgetIfDone(exchange);
    }

    /** The node list, or changes to it. */
    public void updateNodes(NodeListKind kind, Collection<Node> listed) {
        List<NodeEntry> entries = new ArrayList<>();
        for (Node node : listed) {
            // What is gone is not kept: attempts still out hold their node themselves, and nodes come and go all day.
            Node before = node.isGone() ? updateNodes.remove(node.number()) : updateNodes.put(node.number(), node);
            boolean moved = before != null
                    && (!before.address().equals(node.address())
                            || before.entry().upSinceMs() != node.entry().upSinceMs());
            if (moved) {
                server.discardConnections(before);
            }
            if (node.isGone()) {
                server.discardConnections(node);
            }
            if (before == null || before.entry().state() != node.entry().state() || moved) {
                log.accept("node " + node.name() + ": "
                        + node.entry().state().name().toLowerCase(Locale.ROOT) + (moved ? ", restarted or moved" : "")
                        + ", " + node.address());
            }
            entries.add(node.entry());
        }
        if (kind != NodeListKind.CHANGES && kind != NodeListKind.FAILED) {
            dropUnlisted(entries);
        }
        event(() -> module.nodesListed(toMs(clock.getAsLong()), kind, entries), null);
    }

    private void dropUnlisted(List<NodeEntry> entries) {
        Set<Long> listed = entries.stream().map(NodeEntry::node).collect(Collectors.toSet());
        for (Node node : List.copyOf(updateNodes.values())) {
            if (!listed.contains(node.number())) {
                updateNodes.remove(node.number());
                server.discardConnections(node);
                log.accept("node " + node.name() + ": no longer listed");
            }
        }
    }

    /** What the decision module has learned, at this turn's time; never while the module is at work. */
    public LearnedState learnedState() {
        return module.learnedState(toMs(clock.getAsLong()));
    }

    /**
     * Decides the part of this gateway's due at cold nodes and of volumes' limits that is this process's own. Asked
     * before each event, so that a part that has lapsed is never spent, however long the loop stood still.
     *
     * @param by from 0 to 1, at a time in µs
     */
    public void setShareFunction(LongToDoubleFunction by) {
        shares = by;
        event(() -> {}, null);
    }

    /** Tells the module of another part, ahead of the event that is about to be handled. */
    private void checkShare() {
        double part = shares.applyAsDouble(clock.getAsLong());
        if (part != setShareFunction) {
            setShareFunction = part;
            module.setBudgetShare(toMs(clock.getAsLong()), part);
        }
    }

    /** Gives the module what an earlier run learned, weighed and bounded; only before the first node list. */
    public void restoreLearnedState(LearnedState learned) {
        event(() -> module.restore(toMs(clock.getAsLong()), learned), null);
    }

    // ---- Attempts ----

    void attemptCommitted(Attempt attempt) {
        Exchange exchange = attempt.exchange();
        exchange.commit();
        event(() -> module.streamStarted(toMs(clock.getAsLong()), exchange.id(), attempt.number()), exchange);
    }

    void bodyStreamStarted(Attempt attempt) {
        attempt.exchange().beginBodyStream();
        attempt.suspendTimeout();
        attemptCommitted(attempt);
    }

    /** A body in pieces is whole; its last byte came at a time, µs, from which on the client waits for its answer. */
    public void requestBodyComplete(Exchange exchange, long cameUs) {
        Attempt attempt = exchange.activeAttempt();
        if (exchange.isFinished() || attempt == null) {
            return;
        }
        long now = clock.getAsLong();
        exchange.restartDeadline(cameUs);
        exchange.setOverdueTimer(
                timers.schedule(Math.min(lastAnswerUs, exchange.deadlineUs() + guardUs()), () -> overdue(exchange)));
        attempt.restartTimeout(
                now,
                exchange.deadlineUs(),
                timers.schedule(exchange.deadlineUs(), () -> stop(attempt, Outcome.TIMED_OUT)));
    }

    /** An answer that passed in pieces after it was taken for served is over; it counts as what it came to be. */
    public void streamedAnswerEnded(Exchange exchange, RequestResult how) {
        requestCounts.recordResult(exchange.requestClass().name(), how);
        counters.increment(
                how == RequestResult.SERVED
                        ? "passed.whole"
                        : how == RequestResult.GONE ? "passed.left" : "passed.cut");
    }

    void attemptEnded(Attempt attempt, Object answer, Map<String, Double> load) {
        Exchange exchange = attempt.exchange();
        Outcome outcome = attempt.outcome();
        counters.increment("outcome." + outcome.name().toLowerCase(Locale.ROOT));
        if (outcome != Outcome.NOT_SENT) {
            watcher.attemptEnded(exchange.id(), attempt.number(), outcome, clock.getAsLong());
        }
        if (outcome == Outcome.SERVED) {
            if (exchange.finish()) {
                counters.increment("answered.served");
                watcher.requestAnswered(exchange.id(), true, clock.getAsLong());
                if (exchange.client().served(answer)) {
                    requestCounts.recordResult(exchange.requestClass().name(), RequestResult.SERVED);
                }
            } else {
                counters.increment("served_too_late");
            }
        } else if (exchange.isBodyStreamed() && outcome.neverRan()) {
            refuse(exchange, 0);
        } else if (exchange.isCommitted() && finish(exchange, RequestResult.FAILED)) {
            counters.increment("answered.cut");
            exchange.client().failed(attempt);
        }
        long now = clock.getAsLong();
        AttemptEnd end = new AttemptEnd(
                exchange.id(),
                attempt.number(),
                outcome,
                toMs(now - attempt.sentUs()),
                attempt.node() == null ? 0 : attempt.node().number(),
                1 + attempt.volumeUsage().percent(),
                attempt.volumeUsage().otherGatewayUnits(),
                exchange.isFinished(),
                ordered(load));
        event(() -> module.attemptEnded(toMs(now), end), exchange);
    }

    private List<Double> ordered(Map<String, Double> load) {
        return load == null || load.isEmpty()
                ? List.of()
                : settings.loadNames().stream()
                        .map(name -> load.getOrDefault(name, -1.0))
                        .toList();
    }

    private void stop(Attempt attempt, Outcome how) {
        if (attempt.markEnded(how)) {
            server.abandon(attempt);
            attemptEnded(attempt, null, null);
        }
    }

    // ---- Entering the module ----

    /**
     * Hands the module one event at a time, in order. An exception in it must not take the gateway down: the request
     * that it was about fails, and the rest goes on.
     */
    private void event(Runnable event, Exchange about) {
        waiting.add(() -> {
            try {
                checkShare();
                event.run();
            } catch (RuntimeException e) {
                counters.increment("module_faults");
                StackTraceElement[] trace = e.getStackTrace();
                log.accept("core: fault in the decision module: " + e + (trace.length == 0 ? "" : " at " + trace[0]));
                if (about != null && finish(about, RequestResult.FAILED)) {
                    counters.increment("answered.failed");
                    about.client().failed(about.lastAttempt());
                }
            }
            if (about != null) {
                forgetIfDone(about);
            }
        });
        if (!busy) {
            busy = true;
            try {
                for (Runnable next = waiting.poll(); next != null; next = waiting.poll()) {
                    next.run();
                }
            } finally {
                busy = false;
            }
        }
    }

    private void forgetIfDone(Exchange exchange) {
        if (exchange.isFinished() && !exchange.hasActiveAttempt() && exchanges.remove(exchange.id()) != null) {
            watcher.requestClosed(exchange.id(), clock.getAsLong());
            exchange.client().exchangeClosed(exchange);
        }
    }

    /** Carries out what the module asks. */
    private final class ModuleActions implements HostActions {
        @Override
        public void send(long request, long node, double timeoutMs) {
            Exchange exchange = exchanges.get(request);
            if (exchange == null) {
                log.accept("core: the module sent request " + request + ", which is not open");
                return;
            }
            long now = clock.getAsLong();
            long until =
                    timeoutMs == 0 ? exchange.deadlineUs() : Math.min(exchange.deadlineUs(), now + toUs(timeoutMs));
            Node to = updateNodes.get(node);
            Attempt attempt =
                    new Attempt(Broker.this, exchange, to, exchange.attempts().size(), now, until);
            boolean alone = settings.may().secondCopies() || !exchange.hasActiveAttempt();
            exchange.attempts().add(attempt);
            int wanted = exchange.demand().shard();
            boolean holds =
                    to != null && (wanted < 0 ? !to.isPrivate() : to.entry().shard() == wanted);
            if (exchange.isFinished()
                    || exchange.isCommitted()
                    || now >= until
                    || !holds
                    || !alone
                    || attempt.number() >= settings.may().maxAttempts()) {
                attempt.end(Outcome.NOT_SENT, null, null);
                return;
            }
            counters.increment("sent");
            if (attempt.number() > 0) {
                counters.increment("sent.again");
            }
            watcher.attemptStarted(request, attempt.number(), to, to.isPrivate(), now);
            attempt.timeout(timers.schedule(until, () -> stop(attempt, Outcome.TIMED_OUT)));
            server.start(attempt);
        }

        @Override
        public void refuse(long request, double retryAfterMs) {
            Broker.this.refuse(exchanges.get(request), toUs(Math.max(0, retryAfterMs)));
        }

        @Override
        public void fail(long request) {
            Exchange exchange = exchanges.get(request);
            if (exchange != null && finish(exchange, RequestResult.FAILED)) {
                counters.increment("answered.failed");
                exchange.client().failed(exchange.lastAttempt());
            }
        }

        @Override
        public void cancel(long request, int attempt) {
            Exchange exchange = exchanges.get(request);
            if (exchange != null
                    && attempt >= 0
                    && attempt < exchange.attempts().size()) {
                stop(exchange.attempts().get(attempt), Outcome.CANCELLED);
            }
        }

        @Override
        public void probe(long node) {
            Node to = updateNodes.get(node);
            if (to != null && settings.may().probes()) {
                long sent = clock.getAsLong();
                counters.increment("probes");
                server.probe(
                        to,
                        toUs(settings.may().connectTimeoutMs()),
                        (outcome, load) -> event(
                                () -> {
                                    long now = clock.getAsLong();
                                    module.probeEnded(toMs(now), node, toMs(now - sent), outcome, ordered(load));
                                },
                                null));
            }
        }

        @Override
        public void setTimer(double atMs, long token) {
            timers.schedule(
                    toUs(atMs),
                    () -> event(() -> module.timerFired(toMs(clock.getAsLong()), token), exchanges.get(token)));
        }

        @Override
        public void subscribeToNodes() {
            // The watch loop follows the list from the start.
        }

        @Override
        public void sendPeerMessage(int recipient, byte[] message) {
            counters.increment("tell_dropped");
        }
    }
}
