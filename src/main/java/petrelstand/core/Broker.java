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
import petrelstand.decision.Scheduling.ModuleLoad;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.Request;
import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.decision.Scheduling.Settings;

/**
 * Passes requests from clients to nodes as the decision module directs. Owns the exchanges, the node list, the timers
 * that the module sets and the counters; leaves each decision to the module. Times are microseconds of the event loop's
 * clock unless a name says otherwise.
 */
public final class Broker {
    /**
     * The longest delay of the overdue timer after a deadline. The delay lets the attempts' timeouts at the deadline
     * run first.
     */
    private static final long MAX_OVERDUE_DELAY_US = 2_000;

    /** The delay of the overdue timer as a part of the settings' grace for an answer after the deadline. */
    private static final double OVERDUE_DELAY_GRACE_FRACTION = 0.25;

    /** Interval at which a request whose body waits for its node is checked for its deadline. */
    private static final long BODY_CHECK_INTERVAL_US = 100_000;

    private Settings settings;
    private final LongSupplier clock;
    private final Timers timers;
    private final NodeTransport transport;
    private final Counters counters;
    private final RequestCounts requestCounts = new RequestCounts();
    private final Consumer<String> log;
    private final HostEvents module;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final Map<Long, Node> nodes = new HashMap<>();
    /** Events that arose while the module handled another one; the module is not reentrant. */
    private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();

    private RequestObserver observer = RequestObserver.NO_OP;
    /** Null if each request goes to the module, so that starting without admission rules loads no class for them. */
    private AdmissionControl admissionControl;

    private boolean dispatching;
    private LongToDoubleFunction shareFunction = nowUs -> 1;
    private double share = 1;
    private long nextId = 1;
    private long answerDeadlineUs = Long.MAX_VALUE;

    /** Creates the decision module. */
    public interface ModuleFactory {
        HostEvents create(double nowMs, Settings settings, HostActions actions);
    }

    /**
     * Creates a broker with the gateway's decision module.
     *
     * @param seed the seed of the module's random numbers
     * @param clock the time of the current turn of the event loop
     * @param log receives log lines without the prefix of the process
     */
    public Broker(
            Settings settings,
            long seed,
            LongSupplier clock,
            Timers timers,
            NodeTransport transport,
            Counters counters,
            Consumer<String> log) {
        this(settings, (now, s, actions) -> new Policy(now, s, seed, actions), clock, timers, transport, counters, log);
    }

    Broker(
            Settings settings,
            ModuleFactory factory,
            LongSupplier clock,
            Timers timers,
            NodeTransport transport,
            Counters counters,
            Consumer<String> log) {
        this.settings = settings;
        this.clock = clock;
        this.timers = timers;
        this.transport = transport;
        this.counters = counters;
        this.log = log;
        this.module = factory.create(toMs(clock.getAsLong()), settings, new ModuleActions());
        settings.classes().forEach(requestClass -> requestCounts.addClass(requestClass.name()));
    }

    // The core counts in microseconds and the module in milliseconds.

    static double toMs(long us) {
        return us / 1000.0;
    }

    /** Rounds up, so that no timer runs before the time that the module asked for. */
    static long toUs(double ms) {
        return (long) Math.ceil(ms * 1000);
    }

    public Settings settings() {
        return settings;
    }

    /** Replaces the settings. An open request keeps the class and the limit on attempts that it was accepted under. */
    public void updateSettings(Settings changed) {
        settings = changed;
        changed.classes().forEach(requestClass -> requestCounts.addClass(requestClass.name()));
        dispatch(() -> module.applySettings(toMs(clock.getAsLong()), changed), null);
    }

    /** The time of the current turn of the event loop. */
    public long nowUs() {
        return clock.getAsLong();
    }

    public Counters counters() {
        return counters;
    }

    /** The results of requests since the start of the process. */
    public RequestCounts requestCounts() {
        return requestCounts;
    }

    /** The number of listed nodes, without the private ones. */
    public int listedNodeCount() {
        return (int) nodes.values().stream().filter(node -> !node.isPrivate()).count();
    }

    /** The number of listed, not private nodes that are sent no new request, because they drain or are silent. */
    public int avoidedNodeCount() {
        Set<Long> silent = learnedState().nodes().stream()
                .filter(node -> node.silentMs() > 0)
                .map(LearnedNode::node)
                .collect(Collectors.toSet());
        return (int) nodes.values().stream()
                .filter(node -> !node.isPrivate()
                        && (node.entry().state() != NodeState.READY || silent.contains(node.number())))
                .count();
    }

    /** Sets the observer of all requests; replaces an earlier one. */
    public void setObserver(RequestObserver newObserver) {
        observer = newObserver;
    }

    /** Sets the admission control that is asked about each new request; replaces an earlier one. */
    public void setAdmissionControl(AdmissionControl newAdmissionControl) {
        admissionControl = newAdmissionControl;
    }

    /** Claims the right to give the final answer; the first claim is counted and reported to the observer. */
    private boolean finish(Exchange exchange, RequestResult result) {
        boolean first = exchange.finish();
        if (first) {
            requestCounts.recordResult(exchange.requestClass().name(), result);
            observer.requestAnswered(exchange.id(), result == RequestResult.SERVED, clock.getAsLong());
        }
        return first;
    }

    /** Counts a request that a front end refused without submitting it; an unknown class is ignored. */
    public void recordRejected(String requestClass) {
        requestCounts.recordResult(requestClass, RequestResult.REFUSED);
    }

    /** True if the node is ready and has neither moved nor restarted since it was chosen. */
    boolean isStillListed(Node chosen) {
        Node listed = nodes.get(chosen.number());
        return listed != null
                && listed.entry().state() == NodeState.READY
                && listed.address().equals(chosen.address())
                && listed.entry().upSinceMs() == chosen.entry().upSinceMs();
    }

    void attemptWritten(Attempt attempt) {
        requestCounts.recordAttempt();
        long now = clock.getAsLong();
        observer.attemptWritten(attempt.exchange().id(), attempt.number(), now);
        dispatch(() -> module.requestWritten(toMs(now), attempt.exchange().id()), attempt.exchange());
    }

    /** The number of requests without a final answer. */
    public int openRequests() {
        return (int) exchanges.values().stream()
                .filter(exchange -> !exchange.isFinished())
                .count();
    }

    /** The number of requests that were received completely and have no final answer. */
    public int requestsInProgress() {
        return (int) exchanges.values().stream()
                .filter(exchange ->
                        !exchange.isFinished() && exchange.progress().isReceived())
                .count();
    }

    int knownNodeCount() {
        return nodes.size();
    }

    // ---- Requests and node lists ----

    /**
     * Accepts a request. Its client handler gets one final answer, possibly before this method returns.
     *
     * @param message the request in the form of its wire protocol
     * @param onAccepted receives the exchange before the client handler is called
     */
    public Exchange submit(Demand demand, Object message, ClientHandler client, Consumer<Exchange> onAccepted) {
        return submit(demand, message, true, client, onAccepted);
    }

    /**
     * Accepts a request as {@link #submit(Demand, Object, ClientHandler, Consumer)} does.
     *
     * @param whole whether all of the request has arrived; otherwise the front reports the end of its body by
     *     {@link #requestBodyComplete}
     */
    public Exchange submit(
            Demand demand, Object message, boolean whole, ClientHandler client, Consumer<Exchange> onAccepted) {
        long now = clock.getAsLong();
        RequestClass requestClass = settings.classes().get(demand.classIndex());
        RequestProgress progress = new RequestProgress(whole, now, demand.timeLeftUs());
        Exchange exchange = new Exchange(nextId++, demand, requestClass, message, client, progress);
        counters.increment("taken." + requestClass.name());
        exchanges.put(exchange.id(), exchange);
        observer.requestAccepted(exchange.id(), demand, now);
        onAccepted.accept(exchange);
        scheduleOverdueCheck(exchange);
        long retryAfterUs = admissionControl == null ? 0 : admissionControl.retryAfterUs(demand, now);
        if (retryAfterUs > 0) {
            counters.increment("refused.rules");
            refuse(exchange, retryAfterUs);
            closeIfDone(exchange);
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
        dispatch(() -> tellRequest(exchange, request, now), exchange);
        return exchange;
    }

    /** Tells the module of a request, unless its client has left before the module could hear of it. */
    private void tellRequest(Exchange exchange, Request request, long receivedUs) {
        if (!exchange.isFinished()) {
            exchange.notices().requestBegun();
            module.requestReceived(toMs(receivedUs), request);
        }
    }

    private long overdueDelayUs() {
        return Math.min(MAX_OVERDUE_DELAY_US, (long)
                (OVERDUE_DELAY_GRACE_FRACTION * 1000 * settings.rules().answerGraceMs()));
    }

    private void refuse(Exchange exchange, long retryAfterUs) {
        if (finish(exchange, RequestResult.REFUSED)) {
            counters.increment("answered.refused");
            exchange.client().refused(retryAfterUs);
        }
    }

    /** Schedules the next check whether the answer of a request is overdue. */
    private void scheduleOverdueCheck(Exchange exchange) {
        RequestProgress progress = exchange.progress();
        long dueUs = progress.deadlineUs() + overdueDelayUs();
        if (!progress.isDeadlineKnown()) {
            dueUs = Long.MAX_VALUE;
        } else if (progress.stage() == RequestProgress.Stage.BODY_TO_NODE) {
            dueUs = Math.min(dueUs, clock.getAsLong() + BODY_CHECK_INTERVAL_US);
        }
        dueUs = Math.min(dueUs, answerDeadlineUs);
        if (dueUs == Long.MAX_VALUE) {
            exchange.cancelOverdueTimer();
        } else {
            exchange.setOverdueTimer(dueUs, timers.schedule(dueUs, () -> checkOverdue(exchange)));
        }
    }

    private void checkOverdue(Exchange exchange) {
        long now = clock.getAsLong();
        RequestProgress progress = exchange.progress();
        if (progress.stage() == RequestProgress.Stage.BODY_TO_NODE) {
            progress.awaitNode(exchange.client().lastArrivalUs());
        }
        boolean overdue = progress.isDeadlineKnown() && now >= progress.deadlineUs();
        if (!overdue && now < answerDeadlineUs) {
            scheduleOverdueCheck(exchange);
        } else if (progress.isCommitted() && !progress.isReceived() && exchange.hasActiveAttempt()) {
            abandon(exchange.activeAttempt(), Outcome.TIMED_OUT);
        } else {
            failOverdue(exchange);
        }
    }

    /** Fails a request that the module has not answered by its deadline. */
    private void failOverdue(Exchange exchange) {
        if (finish(exchange, RequestResult.FAILED)) {
            counters.increment("answered.overdue");
            log.accept("core: request " + exchange.id() + " had no final answer by its deadline; answered as failed");
            exchange.client().failed(exchange.lastAttempt());
            notifyClientGone(exchange);
        }
    }

    /** Fails, at a time, the open requests whose deadlines are later than that. */
    public void setAnswerDeadline(long us) {
        answerDeadlineUs = us;
        exchanges.values().stream().filter(exchange -> !exchange.isFinished()).forEach(this::scheduleOverdueCheck);
    }

    /** Cancels the request of a client that has left; no answer is given. */
    public void clientGone(Exchange exchange) {
        if (finish(exchange, RequestResult.GONE)) {
            counters.increment("client_gone");
            notifyClientGone(exchange);
        }
    }

    private void notifyClientGone(Exchange exchange) {
        dispatch(() -> tellClientGone(exchange), exchange);
        if (exchange.isCommitted()) {
            exchange.attempts().forEach(attempt -> abandon(attempt, Outcome.CANCELLED));
        }
        closeIfDone(exchange);
    }

    /**
     * Gives up an attempt of which nothing was written, because its client may have left. Answers the request, unless
     * another attempt is active: as refused, or as failed if an earlier attempt may have run.
     */
    void clientUnseen(Attempt attempt) {
        if (attempt.exchange().isFinished()) {
            return;
        }
        counters.increment("client_unseen");
        runSimultaneously(() -> {
            Exchange exchange = attempt.exchange();
            if (exchange.attempts().stream().noneMatch(other -> other != attempt && !other.isEnded())) {
                answerUnseen(exchange, attempt);
            }
            attempt.end(Outcome.NOT_SENT, null, null);
        });
    }

    private void answerUnseen(Exchange exchange, Attempt unsent) {
        boolean mayHaveRun = exchange.attempts().stream()
                .anyMatch(other -> other != unsent && !other.outcome().neverRan());
        if (!mayHaveRun) {
            refuse(exchange, 0);
        } else if (finish(exchange, RequestResult.FAILED)) {
            counters.increment("answered.failed");
            exchange.client().failed(exchange.lastAttempt());
        }
        dispatch(() -> tellClientGone(exchange), exchange);
    }

    private void tellClientGone(Exchange exchange) {
        if (exchange.notices().isRequestBegun()) {
            exchange.notices().requestEnded();
            module.clientGone(toMs(clock.getAsLong()), exchange.id());
        }
    }

    /** Applies the node list or changes to it, as {@code kind} says, and passes them to the module. */
    public void updateNodes(NodeListKind kind, Collection<Node> listed) {
        List<NodeEntry> entries = new ArrayList<>();
        for (Node node : listed) {
            // Removed nodes are not kept: an active attempt holds its own reference, and replacements are frequent.
            Node previous = node.isGone() ? nodes.remove(node.number()) : nodes.put(node.number(), node);
            boolean moved = previous != null
                    && (!previous.address().equals(node.address())
                            || previous.entry().upSinceMs() != node.entry().upSinceMs());
            if (moved) {
                transport.discardConnections(previous);
            }
            if (node.isGone()) {
                transport.discardConnections(node);
            }
            if (previous == null || previous.entry().state() != node.entry().state() || moved) {
                log.accept("node " + node.name() + ": "
                        + node.entry().state().name().toLowerCase(Locale.ROOT) + (moved ? ", restarted or moved" : "")
                        + ", " + node.address());
            }
            entries.add(node.entry());
        }
        if (kind != NodeListKind.CHANGES && kind != NodeListKind.FAILED) {
            removeUnlisted(entries);
        }
        dispatch(() -> module.nodesListed(toMs(clock.getAsLong()), kind, entries), null);
    }

    private void removeUnlisted(List<NodeEntry> entries) {
        Set<Long> listed = entries.stream().map(NodeEntry::node).collect(Collectors.toSet());
        for (Node node : List.copyOf(nodes.values())) {
            if (!listed.contains(node.number())) {
                nodes.remove(node.number());
                transport.discardConnections(node);
                log.accept("node " + node.name() + ": no longer listed");
            }
        }
    }

    /** What the decision module has learned up to now. Must not be called from within the module. */
    public LearnedState learnedState() {
        return module.learnedState(toMs(clock.getAsLong()));
    }

    /**
     * Sets the function that returns this process's share of the gateway's allowances, which are its load on cold nodes
     * and its part of the volumes' limits. The function is called before each event, so that an expired share is never
     * used, even after the event loop was blocked.
     *
     * @param function from a time in microseconds to a share from 0 to 1
     */
    public void setShareFunction(LongToDoubleFunction function) {
        shareFunction = function;
        dispatch(() -> {}, null);
    }

    /** Tells the module of a changed share before it handles the next event. */
    private void updateShare() {
        double current = shareFunction.applyAsDouble(clock.getAsLong());
        if (current != share) {
            share = current;
            module.setBudgetShare(toMs(clock.getAsLong()), current);
        }
    }

    /** Gives the module what an earlier process learned, validated; only before the first node list. */
    public void restoreLearnedState(LearnedState learned) {
        dispatch(() -> module.restore(toMs(clock.getAsLong()), learned), null);
    }

    /** The counters, what the decision module holds and the timers that wait, as lines "name value". */
    public String statusLines() {
        ModuleLoad load = module.load();
        return counters.toLines() + "module.requests " + load.requests() + "\nmodule.in_flight " + load.inFlight()
                + "\nmodule.held_units " + Math.round(load.heldUnits()) + "\ntimers.pending " + timers.pending() + "\n";
    }

    // ---- Attempts ----

    void attemptCommitted(Attempt attempt) {
        Exchange exchange = attempt.exchange();
        exchange.progress().startAnswer();
        dispatch(() -> module.streamStarted(toMs(clock.getAsLong()), exchange.id(), attempt.number()), exchange);
    }

    void bodyStreamStarted(Attempt attempt) {
        Exchange exchange = attempt.exchange();
        exchange.progress().beginBody();
        attempt.suspendTimeout();
        scheduleOverdueCheck(exchange);
        dispatch(() -> module.requestBodyStarted(toMs(clock.getAsLong()), exchange.id()), exchange);
    }

    /** Reports that the next part of a streamed request body is due from the client. */
    public void bodyAwaitsClient(Exchange exchange) {
        exchange.progress().awaitClient();
    }

    /** Reports that the node has to take a part of a streamed request body before more is read from the client. */
    public void bodyAwaitsNode(Exchange exchange) {
        if (!exchange.isFinished()) {
            exchange.progress().awaitNode(exchange.client().lastArrivalUs());
            if (exchange.overdueCheckUs() > clock.getAsLong() + BODY_CHECK_INTERVAL_US) {
                scheduleOverdueCheck(exchange);
            }
        }
    }

    /** Reports that a streamed request body is complete; the client's waiting time counts from {@code receivedUs}. */
    public void requestBodyComplete(Exchange exchange, long receivedUs) {
        Attempt attempt = exchange.activeAttempt();
        if (exchange.isFinished() || attempt == null) {
            return;
        }
        long now = clock.getAsLong();
        exchange.progress().receiveBody(receivedUs);
        scheduleOverdueCheck(exchange);
        attempt.restartTimeout(
                now,
                exchange.deadlineUs(),
                timers.schedule(exchange.deadlineUs(), () -> abandon(attempt, Outcome.TIMED_OUT)));
        dispatch(() -> module.requestBodyReceived(toMs(now), exchange.id()), exchange);
    }

    /**
     * Counts the result of an answer for which {@link ClientHandler#served} returned false, at the end of its stream.
     */
    public void streamedAnswerEnded(Exchange exchange, RequestResult result) {
        requestCounts.recordResult(exchange.requestClass().name(), result);
        counters.increment(
                result == RequestResult.SERVED
                        ? "passed.whole"
                        : result == RequestResult.GONE ? "passed.left" : "passed.cut");
    }

    void attemptEnded(Attempt attempt, Object answer, Map<String, Double> load) {
        Exchange exchange = attempt.exchange();
        Outcome outcome = attempt.outcome();
        counters.increment("outcome." + outcome.name().toLowerCase(Locale.ROOT));
        if (outcome != Outcome.NOT_SENT) {
            observer.attemptEnded(exchange.id(), attempt.number(), outcome, clock.getAsLong());
        }
        if (outcome == Outcome.SERVED) {
            if (exchange.finish()) {
                counters.increment("answered.served");
                observer.requestAnswered(exchange.id(), true, clock.getAsLong());
                if (exchange.client().served(answer)) {
                    requestCounts.recordResult(exchange.requestClass().name(), RequestResult.SERVED);
                }
            } else {
                counters.increment("served_too_late");
            }
        } else if (exchange.progress().isBodyStreamed() && (outcome.neverRan() || !attempt.isWritten())) {
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
                orderedLoad(load));
        dispatch(() -> tellAttemptEnd(exchange, end, now), exchange);
    }

    private void tellAttemptEnd(Exchange exchange, AttemptEnd end, long endedUs) {
        exchange.notices().attemptEnded();
        if (end.requestClosed()) {
            exchange.notices().requestEnded();
        }
        module.attemptEnded(toMs(endedUs), end);
    }

    /** The load values in the order of the settings' names, -1 for a missing one; empty if no load was reported. */
    private List<Double> orderedLoad(Map<String, Double> load) {
        return load == null || load.isEmpty()
                ? List.of()
                : settings.loadNames().stream()
                        .map(name -> load.getOrDefault(name, -1.0))
                        .toList();
    }

    private void abandon(Attempt attempt, Outcome outcome) {
        if (attempt.markEnded(outcome)) {
            transport.abandon(attempt);
            attemptEnded(attempt, null, null);
        }
    }

    // ---- Events of the decision module ----

    /**
     * Passes an event to the module, after those that are pending. An exception in the module fails only the request
     * that the event concerns.
     *
     * @param exchange the exchange that the event concerns; null if none
     */
    private void dispatch(Runnable event, Exchange exchange) {
        if (exchange != null) {
            exchange.eventQueued();
        }
        pendingEvents.add(() -> {
            try {
                updateShare();
                event.run();
            } catch (RuntimeException e) {
                counters.increment("module_faults");
                StackTraceElement[] trace = e.getStackTrace();
                log.accept("core: the decision module threw an exception; the event is dropped: " + e
                        + (trace.length == 0 ? "" : " at " + trace[0]));
                if (exchange != null && finish(exchange, RequestResult.FAILED)) {
                    counters.increment("answered.failed");
                    exchange.client().failed(exchange.lastAttempt());
                    notifyClientGone(exchange);
                }
            }
            if (exchange != null) {
                exchange.eventHandled();
                closeIfDone(exchange);
            }
        });
        if (!dispatching) {
            dispatchPending();
        }
    }

    private void dispatchPending() {
        dispatching = true;
        try {
            for (Runnable next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
                next.run();
            }
        } finally {
            dispatching = false;
        }
    }

    /**
     * Runs a task whose events are simultaneous: the module hears of the first one after the last one has happened, so
     * that nothing is sent for a request that a later one ends.
     */
    public void runSimultaneously(Runnable task) {
        if (dispatching) {
            task.run();
            return;
        }
        dispatching = true;
        try {
            task.run();
        } finally {
            dispatchPending();
        }
    }

    private void closeIfDone(Exchange exchange) {
        if (exchange.isDone() && exchanges.remove(exchange.id()) != null) {
            if (!exchange.notices().isBalanced(exchange.attempts().size())) {
                reportImbalance(exchange.id());
            }
            observer.requestClosed(exchange.id(), clock.getAsLong());
            exchange.client().exchangeClosed(exchange);
        }
    }

    /** Counts a request of which the module was not told each beginning and its end; the first one is logged. */
    private void reportImbalance(long request) {
        counters.increment("module_unbalanced");
        if (counters.get("module_unbalanced") == 1) {
            log.accept("core: the decision module was not told of each beginning and its end for request " + request
                    + "; further ones are only counted (module_unbalanced)");
        }
    }

    /** Carries out the actions of the decision module. */
    private final class ModuleActions implements HostActions {
        @Override
        public void send(long request, long nodeNumber, double timeoutMs) {
            Exchange exchange = exchanges.get(request);
            if (exchange == null) {
                log.accept("core: the decision module sent request " + request + ", which is not open; ignored");
                reportImbalance(request);
                return;
            }
            long now = clock.getAsLong();
            long timeoutAtUs =
                    timeoutMs == 0 ? exchange.deadlineUs() : Math.min(exchange.deadlineUs(), now + toUs(timeoutMs));
            Node node = nodes.get(nodeNumber);
            Attempt attempt =
                    new Attempt(Broker.this, exchange, node, exchange.attempts().size(), now, timeoutAtUs);
            boolean concurrencyAllowed = settings.may().secondCopies() || !exchange.hasActiveAttempt();
            exchange.attempts().add(attempt);
            int shard = exchange.demand().shard();
            boolean holdsShard = node != null
                    && (shard < 0 ? !node.isPrivate() : node.entry().shard() == shard);
            if (exchange.isFinished()
                    || exchange.isCommitted()
                    || now >= timeoutAtUs
                    || !holdsShard
                    || !concurrencyAllowed
                    || attempt.number() >= settings.may().maxAttempts()) {
                attempt.end(Outcome.NOT_SENT, null, null);
                return;
            }
            counters.increment("sent");
            if (attempt.number() > 0) {
                counters.increment("sent.again");
            }
            observer.attemptStarted(request, attempt.number(), node, node.isPrivate(), now);
            attempt.setTimeoutTimer(timers.schedule(timeoutAtUs, () -> abandon(attempt, Outcome.TIMED_OUT)));
            transport.start(attempt);
        }

        @Override
        public void refuse(long request, double retryAfterMs) {
            Exchange exchange = exchanges.get(request);
            if (exchange != null) {
                exchange.notices().requestEnded();
                Broker.this.refuse(exchange, toUs(Math.max(0, retryAfterMs)));
            }
        }

        @Override
        public void fail(long request) {
            Exchange exchange = exchanges.get(request);
            if (exchange == null) {
                return;
            }
            exchange.notices().requestEnded();
            if (finish(exchange, RequestResult.FAILED)) {
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
                abandon(exchange.attempts().get(attempt), Outcome.CANCELLED);
            }
        }

        @Override
        public void probe(long nodeNumber) {
            Node node = nodes.get(nodeNumber);
            if (node != null && settings.may().probes()) {
                long sentUs = clock.getAsLong();
                counters.increment("probes");
                transport.probe(
                        node,
                        toUs(settings.may().connectTimeoutMs()),
                        (outcome, load) -> dispatch(
                                () -> {
                                    long now = clock.getAsLong();
                                    module.probeEnded(
                                            toMs(now), nodeNumber, toMs(now - sentUs), outcome, orderedLoad(load));
                                },
                                null));
            }
        }

        @Override
        public void setTimer(double atMs, long token) {
            timers.schedule(
                    toUs(atMs),
                    () -> dispatch(() -> module.timerFired(toMs(clock.getAsLong()), token), exchanges.get(token)));
        }

        @Override
        public void subscribeToNodes() {
            // The gateway follows the node list from its start.
        }

        @Override
        public void sendPeerMessage(int recipient, byte[] message) {
            counters.increment("tell_dropped");
        }
    }
}
