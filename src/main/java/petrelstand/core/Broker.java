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
import petrelstand.core.Figures.End;
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
    private final ServerSide server;
    private final Counters counters;
    private final Figures figures = new Figures();
    private final Consumer<String> log;
    private final HostEvents module;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final Map<Long, Node> nodes = new HashMap<>();
    /** Events that came while the module was at work: it is never entered twice. */
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

    private Watcher watcher = Watcher.NOBODY;
    /** Null where nothing rules on requests beyond the module: a start links no code for it. */
    private Gate gate;

    private boolean busy;
    private LongToDoubleFunction shares = nowUs -> 1;
    private double share = 1;
    private long nextId = 1;
    /** No answer is given later, µs. */
    private long lastAnswerUs = Long.MAX_VALUE;

    /** Makes the decision module for a host: settings and actions. */
    public interface ModuleMaker {
        HostEvents make(double nowMs, Settings settings, HostActions actions);
    }

    public Broker(
            Settings settings,
            long seed,
            LongSupplier clock,
            Timers timers,
            ServerSide server,
            Counters counters,
            Consumer<String> log) {
        this(settings, (now, s, actions) -> new Policy(now, s, seed, actions), clock, timers, server, counters, log);
    }

    Broker(
            Settings settings,
            ModuleMaker maker,
            LongSupplier clock,
            Timers timers,
            ServerSide server,
            Counters counters,
            Consumer<String> log) {
        this.settings = settings;
        this.clock = clock;
        this.timers = timers;
        this.server = server;
        this.counters = counters;
        this.log = log;
        this.module = maker.make(ms(clock.getAsLong()), settings, new ModuleActions());
        settings.classes().forEach(kind -> figures.knows(kind.name()));
    }

    // The one border between the core's microseconds and the module's milliseconds.

    static double ms(long us) {
        return us / 1000.0;
    }

    /** Rounded up, so that a timer never rings before the module's time. */
    static long us(double ms) {
        return (long) Math.ceil(ms * 1000);
    }

    public Settings settings() {
        return settings;
    }

    /**
     * Other settings from now on. Requests that are open keep the class they came with, and may have no more attempts
     * than they came with either.
     */
    public void retune(Settings changed) {
        settings = changed;
        changed.classes().forEach(kind -> figures.knows(kind.name()));
        event(() -> module.applySettings(ms(clock.getAsLong()), changed), null);
    }

    /** The time of this turn of the loop. */
    public long nowUs() {
        return clock.getAsLong();
    }

    public Counters counters() {
        return counters;
    }

    /** What became of requests since the process began. */
    public Figures figures() {
        return figures;
    }

    /** Listed nodes that anybody's requests may go to. */
    public int listedNodes() {
        return (int) nodes.values().stream().filter(node -> !node.isPrivate()).count();
    }

    /** Those of them that get nothing new at this moment: they drain, or the module has them for silent. */
    public int avoidedNodes() {
        Set<Long> silent = learned().nodes().stream()
                .filter(node -> node.silentMs() > 0)
                .map(LearnedNode::node)
                .collect(Collectors.toSet());
        return (int) nodes.values().stream()
                .filter(node -> !node.isPrivate()
                        && (node.entry().state() != NodeState.READY || silent.contains(node.number())))
                .count();
    }

    /** Tells a watcher of each step from now on; there is one at most. */
    public void watch(Watcher by) {
        watcher = by;
    }

    /** Asks a gate about each request from now on, before the module; there is one at most. */
    public void gate(Gate by) {
        gate = by;
    }

    /** Takes the right to give the final answer, counts it, and tells the watcher. */
    private boolean finish(Exchange exchange, End how) {
        boolean first = exchange.finish();
        if (first) {
            figures.ended(exchange.kind().name(), how);
            watcher.answered(exchange.id(), how == End.SERVED, clock.getAsLong());
        }
        return first;
    }

    /** A request that was turned away before it came here; its class by name, which may be none. */
    public void rejected(String requestClass) {
        figures.ended(requestClass, End.REFUSED);
    }

    /** Whether a node is listed for new requests as it was when it was chosen. */
    boolean isAsListed(Node chosen) {
        Node now = nodes.get(chosen.number());
        return now != null
                && now.entry().state() == NodeState.READY
                && now.address().equals(chosen.address())
                && now.entry().upSinceMs() == chosen.entry().upSinceMs();
    }

    void written(Attempt attempt) {
        figures.tried();
        long now = clock.getAsLong();
        watcher.written(attempt.exchange().id(), attempt.number(), now);
        event(() -> module.requestWritten(ms(now), attempt.exchange().id()), attempt.exchange());
    }

    /** Requests without their final answer. */
    public int open() {
        return (int)
                exchanges.values().stream().filter(exchange -> !exchange.over()).count();
    }

    /** Those of them that have come whole. */
    public int inProgress() {
        return (int) exchanges.values().stream()
                .filter(exchange -> !exchange.over() && !exchange.client().incoming())
                .count();
    }

    /** Nodes that are kept. */
    int knownNodes() {
        return nodes.size();
    }

    // ---- What comes in ----

    /**
     * Takes a request; the client side gets one final answer, possibly before this returns, but not before it was given
     * the exchange.
     */
    public Exchange take(Demand demand, Object message, ClientSide client, Consumer<Exchange> taken) {
        long now = clock.getAsLong();
        RequestClass kind = settings.classes().get(demand.requestClass());
        Exchange exchange = new Exchange(nextId++, demand, kind, message, client, now);
        counters.add("taken." + kind.name());
        exchanges.put(exchange.id(), exchange);
        watcher.taken(exchange.id(), demand, now);
        taken.accept(exchange);
        exchange.guard(timers.at(exchange.deadlineUs() + guardUs(), () -> overdue(exchange)));
        long waitUs = gate == null ? 0 : gate.refuses(demand, now);
        if (waitUs > 0) {
            counters.add("refused.rules");
            refuse(exchange, waitUs);
            forgetIfDone(exchange);
            return exchange;
        }
        Request request = new Request(
                exchange.id(),
                demand.requestClass(),
                demand.plan(),
                demand.key(),
                ms(demand.leftUs()),
                demand.volume(),
                demand.units(),
                demand.shard(),
                demand.setSize(),
                demand.repeat(),
                demand.write());
        event(() -> module.requestReceived(ms(now), request), exchange);
        return exchange;
    }

    /** How long after a request's deadline it is failed here, µs: a part of what the settings leave for the answer. */
    private long guardUs() {
        return Math.min(
                MOST_GUARD_US, (long) (GUARD_PART * 1000 * settings.rules().answerGraceMs()));
    }

    private void refuse(Exchange exchange, long retryAfterUs) {
        if (exchange != null && finish(exchange, End.REFUSED)) {
            counters.add("answered.refused");
            exchange.client().refused(retryAfterUs);
        }
    }

    /** Guards against a request that the module forgot: its client must hear of the end at its deadline. */
    private void overdue(Exchange exchange) {
        if (finish(exchange, End.FAILED)) {
            counters.add("answered.overdue");
            log.accept("core: request " + exchange.id() + " had no final answer in time; failed");
            exchange.client().failed(exchange.last());
            tellGone(exchange);
        }
    }

    /** No answer is given later than this: what would wait longer is failed then. */
    public void answerBy(long us) {
        lastAnswerUs = us;
        exchanges.values().stream()
                .filter(exchange -> !exchange.over() && exchange.deadlineUs() > us)
                .forEach(exchange -> timers.at(us, () -> overdue(exchange)));
    }

    /** The client left: nothing more is owed. */
    public void clientGone(Exchange exchange) {
        if (finish(exchange, End.GONE)) {
            counters.add("client_gone");
            tellGone(exchange);
        }
    }

    private void tellGone(Exchange exchange) {
        event(() -> module.clientGone(ms(clock.getAsLong()), exchange.id()), exchange);
        if (exchange.begun()) {
            exchange.attempts().forEach(attempt -> stop(attempt, Outcome.CANCELLED));
        }
        forgetIfDone(exchange);
    }

    /** The node list, or changes to it. */
    public void nodes(NodeListKind kind, Collection<Node> listed) {
        List<NodeEntry> entries = new ArrayList<>();
        for (Node node : listed) {
            // What is gone is not kept: attempts still out hold their node themselves, and nodes come and go all day.
            Node before = node.gone() ? nodes.remove(node.number()) : nodes.put(node.number(), node);
            boolean moved = before != null
                    && (!before.address().equals(node.address())
                            || before.entry().upSinceMs() != node.entry().upSinceMs());
            if (moved) {
                server.forget(before);
            }
            if (node.gone()) {
                server.forget(node);
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
        event(() -> module.nodesListed(ms(clock.getAsLong()), kind, entries), null);
    }

    private void dropUnlisted(List<NodeEntry> entries) {
        Set<Long> listed = entries.stream().map(NodeEntry::node).collect(Collectors.toSet());
        for (Node node : List.copyOf(nodes.values())) {
            if (!listed.contains(node.number())) {
                nodes.remove(node.number());
                server.forget(node);
                log.accept("node " + node.name() + ": no longer listed");
            }
        }
    }

    /** What the decision module has learned, at this turn's time; never while the module is at work. */
    public LearnedState learned() {
        return module.learnedState(ms(clock.getAsLong()));
    }

    /**
     * Decides the part of this gateway's due at cold nodes and of volumes' limits that is this process's own. Asked
     * before each event, so that a part that has lapsed is never spent, however long the loop stood still.
     *
     * @param by from 0 to 1, at a time in µs
     */
    public void share(LongToDoubleFunction by) {
        shares = by;
        event(() -> {}, null);
    }

    /** Tells the module of another part, ahead of the event that is about to be handled. */
    private void checkShare() {
        double part = shares.applyAsDouble(clock.getAsLong());
        if (part != share) {
            share = part;
            module.setBudgetShare(ms(clock.getAsLong()), part);
        }
    }

    /** Gives the module what an earlier run learned, weighed and bounded; only before the first node list. */
    public void recall(LearnedState learned) {
        event(() -> module.restore(ms(clock.getAsLong()), learned), null);
    }

    // ---- Attempts ----

    void began(Attempt attempt) {
        Exchange exchange = attempt.exchange();
        exchange.begin();
        event(() -> module.streamStarted(ms(clock.getAsLong()), exchange.id(), attempt.number()), exchange);
    }

    void streams(Attempt attempt) {
        attempt.exchange().streams();
        attempt.suspend();
        began(attempt);
    }

    /** A body in pieces is whole; its last byte came at a time, µs, from which on the client waits for its answer. */
    public void bodyComplete(Exchange exchange, long cameUs) {
        Attempt attempt = exchange.out();
        if (exchange.over() || attempt == null) {
            return;
        }
        long now = clock.getAsLong();
        exchange.restart(cameUs);
        exchange.guard(timers.at(Math.min(lastAnswerUs, exchange.deadlineUs() + guardUs()), () -> overdue(exchange)));
        attempt.restart(
                now, exchange.deadlineUs(), timers.at(exchange.deadlineUs(), () -> stop(attempt, Outcome.TIMED_OUT)));
    }

    /** An answer that passed in pieces after it was taken for served is over; it counts as what it came to be. */
    public void passed(Exchange exchange, End how) {
        figures.ended(exchange.kind().name(), how);
        counters.add(how == End.SERVED ? "passed.whole" : how == End.GONE ? "passed.left" : "passed.cut");
    }

    void ended(Attempt attempt, Object answer, Map<String, Double> load) {
        Exchange exchange = attempt.exchange();
        Outcome outcome = attempt.outcome();
        counters.add("outcome." + outcome.name().toLowerCase(Locale.ROOT));
        if (outcome != Outcome.NOT_SENT) {
            watcher.ended(exchange.id(), attempt.number(), outcome, clock.getAsLong());
        }
        if (outcome == Outcome.SERVED) {
            if (exchange.finish()) {
                counters.add("answered.served");
                watcher.answered(exchange.id(), true, clock.getAsLong());
                if (exchange.client().served(answer)) {
                    figures.ended(exchange.kind().name(), End.SERVED);
                }
            } else {
                counters.add("served_too_late");
            }
        } else if (exchange.isStreaming() && outcome.neverRan()) {
            refuse(exchange, 0);
        } else if (exchange.begun() && finish(exchange, End.FAILED)) {
            counters.add("answered.cut");
            exchange.client().failed(attempt);
        }
        long now = clock.getAsLong();
        AttemptEnd end = new AttemptEnd(
                exchange.id(),
                attempt.number(),
                outcome,
                ms(now - attempt.sentUs()),
                attempt.node() == null ? 0 : attempt.node().number(),
                1 + attempt.use().percent(),
                attempt.use().fromOthers(),
                exchange.over(),
                ordered(load));
        event(() -> module.attemptEnded(ms(now), end), exchange);
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
            ended(attempt, null, null);
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
                counters.add("module_faults");
                StackTraceElement[] trace = e.getStackTrace();
                log.accept("core: fault in the decision module: " + e + (trace.length == 0 ? "" : " at " + trace[0]));
                if (about != null && finish(about, End.FAILED)) {
                    counters.add("answered.failed");
                    about.client().failed(about.last());
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
        if (exchange.over() && !exchange.outstanding() && exchanges.remove(exchange.id()) != null) {
            watcher.forgotten(exchange.id(), clock.getAsLong());
            exchange.client().forgotten(exchange);
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
            long until = timeoutMs == 0 ? exchange.deadlineUs() : Math.min(exchange.deadlineUs(), now + us(timeoutMs));
            Node to = nodes.get(node);
            Attempt attempt =
                    new Attempt(Broker.this, exchange, to, exchange.attempts().size(), now, until);
            boolean alone = settings.may().secondCopies() || !exchange.outstanding();
            exchange.attempts().add(attempt);
            int wanted = exchange.demand().shard();
            boolean holds =
                    to != null && (wanted < 0 ? !to.isPrivate() : to.entry().shard() == wanted);
            if (exchange.over()
                    || exchange.begun()
                    || now >= until
                    || !holds
                    || !alone
                    || attempt.number() >= settings.may().maxAttempts()) {
                attempt.ended(Outcome.NOT_SENT, null, null);
                return;
            }
            counters.add("sent");
            if (attempt.number() > 0) {
                counters.add("sent.again");
            }
            watcher.sent(request, attempt.number(), to, to.isPrivate(), now);
            attempt.timeout(timers.at(until, () -> stop(attempt, Outcome.TIMED_OUT)));
            server.start(attempt);
        }

        @Override
        public void refuse(long request, double retryAfterMs) {
            Broker.this.refuse(exchanges.get(request), us(Math.max(0, retryAfterMs)));
        }

        @Override
        public void fail(long request) {
            Exchange exchange = exchanges.get(request);
            if (exchange != null && finish(exchange, End.FAILED)) {
                counters.add("answered.failed");
                exchange.client().failed(exchange.last());
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
            Node to = nodes.get(node);
            if (to != null && settings.may().probes()) {
                long sent = clock.getAsLong();
                counters.add("probes");
                server.probe(
                        to,
                        us(settings.may().connectTimeoutMs()),
                        (outcome, load) -> event(
                                () -> {
                                    long now = clock.getAsLong();
                                    module.probeEnded(ms(now), node, ms(now - sent), outcome, ordered(load));
                                },
                                null));
            }
        }

        @Override
        public void setTimer(double atMs, long token) {
            timers.at(
                    us(atMs), () -> event(() -> module.timerFired(ms(clock.getAsLong()), token), exchanges.get(token)));
        }

        @Override
        public void subscribeToNodes() {
            // The watch loop follows the list from the start.
        }

        @Override
        public void sendPeerMessage(int recipient, byte[] message) {
            counters.add("tell_dropped");
        }
    }
}
