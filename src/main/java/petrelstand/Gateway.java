package petrelstand;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Function;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import petrelstand.config.GatewayConfig;
import petrelstand.config.NodeList;
import petrelstand.config.OperatorConfig;
import petrelstand.config.RsyncConfig;
import petrelstand.core.Broker;
import petrelstand.core.Counters;
import petrelstand.core.LoopMonitor;
import petrelstand.core.Node;
import petrelstand.core.NodeTransport;
import petrelstand.core.Timers;
import petrelstand.decision.Policy;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.discovery.NodeListWatcher;
import petrelstand.http.BodyBudgets;
import petrelstand.http.HttpFront;
import petrelstand.http.JvmWarmUp;
import petrelstand.http.NodeConnectionPool;
import petrelstand.lifecycle.Lifecycle;
import petrelstand.lifecycle.MemoryLimits;
import petrelstand.net.EventLoop;
import petrelstand.net.LoopClock;
import petrelstand.net.SocketAddresses;
import petrelstand.report.AccountsPage;
import petrelstand.rsync.NodeTransportRouter;
import petrelstand.rsync.RsyncFront;
import petrelstand.rsync.RsyncNodeTransport;
import petrelstand.store.StateKeeper;

/**
 * One serving gateway process: creates its components, connects them, and starts, drains and ends them in order. All
 * but the start runs on the event loop's thread unless a method says otherwise.
 */
final class Gateway {
    private static final long END_CHECK_INTERVAL_US = 10_000;
    private static final long DRAIN_CHECK_INTERVAL_US = 50_000;
    /** At each check, a gradual drain closes one in this many connections, but at least the minimum below. */
    private static final int GRADUAL_CLOSE_DIVISOR = 16;

    private static final int MIN_GRADUAL_CLOSES = 2;
    /**
     * How long the process waits for lingering connections after the last answer. Its exit resets them, which would
     * lose an answer that a client has not read yet.
     */
    private static final long MAX_FINAL_LINGER_US = 600_000;
    /** A transfer's client connection and node connection, and one more client connection that is refused. */
    private static final int DESCRIPTORS_PER_TRANSFER = 3;
    /** Enough to load the classes; more would delay the start, during which clients are not served. */
    private static final int REQUESTS_PER_WARM_UP = 25;

    private static final int MAX_HOT_RESTART_WARM_UPS = 16;
    private static final long WARM_UP_PAUSE_NS = 50_000_000;
    /** How long the start waits for discovery's first node list. */
    private static final long FIRST_LIST_TIMEOUT_US = 800_000;
    /** Leaves enough of the 6 s in which a started process must be ready. */
    private static final long MAX_WARM_UP_NS = 1_800_000_000L;

    private final LoopClock clock = new LoopClock();
    private final Timers timers = new Timers();
    private final Counters counters = new Counters();
    private final Consumer<String> log;
    /** The configuration in use; replaced by a reload. */
    private volatile GatewayConfig config;

    private final EventLoop loop;
    private final Broker broker;
    private final HttpFront httpFront;
    private final NodeListWatcher nodeListWatcher;
    private RsyncConfig rsyncConfig;
    private final RsyncFront rsyncFront;
    private final StateKeeper stateKeeper;
    private AccountsPage accountsPage;
    private final FleetPart fleetPart;
    private final RulesPart rulesPart;
    private final Runnable onEnd;
    private final List<ServerSocketChannel> listeners = new ArrayList<>();
    private final CompletableFuture<List<Integer>> ports = new CompletableFuture<>();
    private final Lifecycle lifecycle;
    /** Null if the configuration has no operator address; its classes are not loaded then. */
    private final OperationPart operationPart;

    private final RetunePart retunePart;
    private Timers.Timer lifecycleTimer;
    /** Since when every accepted request has been answered; 0 while one is open. */
    private long allAnsweredAtUs;

    /**
     * Creates a gateway that is not started yet.
     *
     * @param operator the operator's configuration, or null if there is none
     * @param log receives log lines without the program's prefix
     * @param onEnd runs on the loop's thread when the gateway has ended
     */
    Gateway(GatewayConfig config, OperatorConfig operator, Consumer<String> log, Runnable onEnd) {
        this.config = config;
        this.log = log;
        this.onEnd = onEnd;
        this.rsyncConfig = operator == null ? null : operator.rsync();
        this.loop = new EventLoop(clock, timers);
        loop.setAcceptFailureCounter(() -> counters.increment("connections.accept_failed"));
        int rsyncDescriptors = rsyncConfig == null ? 0 : DESCRIPTORS_PER_TRANSFER * rsyncConfig.maxTransfers();
        Descriptors descriptors = Descriptors.of(config.socketLimit(), rsyncDescriptors);
        MemoryLimits memoryLimits = memoryLimits(config, descriptors);
        log.accept(memoryLimits.toLogLine());
        BodyBudgets bodyBudgets = BodyBudgets.of(memoryLimits);
        NodeConnectionPool pool = new NodeConnectionPool(
                loop::connect,
                clock::nowUs,
                timers,
                counters,
                config.settings(),
                "backend.local",
                memoryLimits.nodeConnections(),
                bodyBudgets);
        this.broker = new Broker(
                config.settings(),
                config.seed(),
                clock::nowUs,
                timers,
                rsyncConfig == null ? pool : routeRsyncNodes(pool),
                counters,
                log);
        this.rsyncFront = rsyncConfig == null ? null : new RsyncFront(broker, timers, rsyncConfig, log);
        this.lifecycle = new Lifecycle(Lifecycle.Delays.of(config.settings()));
        this.httpFront = new HttpFront(broker, timers, memoryLimits.clientConnections(), lifecycle, bodyBudgets);
        this.retunePart = new RetunePart(broker, httpFront, pool, lifecycle, timers, clock::nowUs, log);
        this.operationPart = config.operatorAddress() == null
                ? null
                : new OperationPart(
                        config,
                        rsyncDescriptors,
                        lifecycle,
                        broker,
                        httpFront,
                        pool,
                        timers,
                        clock::nowUs,
                        clock::readUs,
                        loop::execute,
                        counters,
                        log,
                        this::evacuate,
                        this::rejoin);
        this.nodeListWatcher = new NodeListWatcher(
                loop::connect,
                clock::nowUs,
                timers,
                config.discoveryAddress(),
                "backend.local",
                config.settings().zones(),
                config.cachedNodes().version(),
                this::nodeListReceived,
                counters,
                log);
        loop.monitor().addStallListener(this::handleStall);
        this.stateKeeper = operator == null || operator.state() == null
                ? null
                : StateKeeper.onDisk(
                        operator.state().folder(),
                        operator.state().snapshotIntervalUs(),
                        config.name(),
                        config.settings(),
                        timers,
                        clock::nowUs,
                        System::currentTimeMillis,
                        loop::execute,
                        counters,
                        log);
        if (operator != null && operator.accounts() != null) {
            enableAccounts(operator.accounts());
        }
        this.fleetPart = operator == null || operator.fleet() == null
                ? null
                : new FleetPart(
                        operator.fleet(), config, timers, clock::nowUs, loop.monitor(), loop::execute, counters, log);
        this.rulesPart = operator == null || operator.rules() == null
                ? null
                : new RulesPart(
                        operator.rules(),
                        config,
                        fleetPart.service(),
                        broker,
                        timers,
                        clock::nowUs,
                        loop::execute,
                        counters,
                        this::rulesChanged,
                        log);
    }

    private static MemoryLimits memoryLimits(GatewayConfig config, Descriptors descriptors) {
        return MemoryLimits.of(
                Runtime.getRuntime().maxMemory(),
                config.memoryBytes(),
                config.socketLimit(),
                descriptors.clients(),
                descriptors.nodes(),
                config.cachedNodes().nodes().size(),
                Policy.MAX_VOLUMES);
    }

    /** Returns a transport that sends rsync transfers to rsync nodes and everything else to the pool. */
    private NodeTransport routeRsyncNodes(NodeConnectionPool pool) {
        double connectMs = config.settings().may().connectTimeoutMs();
        return new NodeTransportRouter(pool, new RsyncNodeTransport(loop::connect, clock::nowUs, timers, connectMs));
    }

    /** Enables the accounts. Their classes are loaded only if this is called. */
    private void enableAccounts(OperatorConfig.AccountsConfig accountsConfig) {
        AccountsPage page = AccountsPage.observe(broker, accountsConfig.nodeCores());
        accountsPage = page;
        if (accountsConfig.folder() != null) {
            page.startRecording(accountsConfig.folder(), config.name(), counters, loop::execute, log);
        }
        if (accountsConfig.servesMetrics()) {
            httpFront.addPage("/metrics", page.metrics()::text);
        }
        if (accountsConfig.servesPage()) {
            httpFront.addPage("/accounts", () -> page.json(clock.nowUs()));
        }
    }

    /** Starts the gateway; completes with the ports of the HTTP front and, if configured, of the rsync front. */
    CompletableFuture<List<Integer>> start() throws Exception {
        if (stateKeeper != null) {
            stateKeeper.open();
        }
        if (operationPart != null) {
            operationPart.findOtherProcess();
        }
        if (fleetPart != null) {
            fleetPart.open();
        }
        if (rulesPart != null) {
            rulesPart.open();
        }
        loop.start();
        loop.execute(this::startOnLoop);
        return ports;
    }

    EventLoop loop() {
        return loop;
    }

    /**
     * Returns how long after SIGTERM the process is ended even if the loop is stuck, in µs. A reload may change it.
     * Safe to call from any thread.
     */
    long forcedEndUs() {
        return lifecycle.forcedEndUs();
    }

    /** Runs a task on the loop's thread; safe to call from any thread. */
    void execute(Runnable task) {
        loop.execute(task);
    }

    Broker broker() {
        return broker;
    }

    /** Returns the configuration in use; safe to call from any thread. */
    GatewayConfig config() {
        return config;
    }

    void stop() throws Exception {
        loop.stop();
    }

    /** Reads what decides whether requests are sent, before the input that arrived with it: see {@link LoopMonitor}. */
    private void handleStall(long nowUs, long durationUs) {
        nodeListWatcher.readPending();
        httpFront.findDepartedClients();
    }

    private void startOnLoop() {
        warmUp();
        if (stateKeeper != null) {
            stateKeeper.start(broker);
        }
        if (operationPart != null) {
            operationPart.takeOver();
        }
        broker.updateNodes(
                NodeListKind.CACHED, addRsyncNodes(config.cachedNodes().nodes()));
        // Starts discovery in another iteration of the loop, so that the warm-up does not count as its silence.
        timers.schedule(clock.nowUs() + 1, this::startDiscovery);
    }

    /**
     * Asks discovery for the current node list and starts serving when it arrives, or after a timeout without it: the
     * list in the configuration may be out of date.
     */
    private void startDiscovery() {
        nodeListWatcher.start();
        timers.schedule(clock.nowUs() + FIRST_LIST_TIMEOUT_US, this::startServing);
    }

    /**
     * Plays requests in memory so that the classes are loaded before the first client. With hot restarts there is time
     * for more rounds; beside an old process that still serves, each is followed by a pause that leaves it the CPU and
     * the time to write its learned state for this one.
     */
    private void warmUp() {
        int maxRounds = operationPart != null ? MAX_HOT_RESTART_WARM_UPS : 1;
        boolean pauses = operationPart != null && operationPart.replacesProcess();
        long startNs = System.nanoTime();
        long served = 0;
        int rounds = 0;
        // Limited in time, since the process must become ready on a busy machine too.
        while (rounds < maxRounds && System.nanoTime() - startNs < MAX_WARM_UP_NS) {
            served += JvmWarmUp.run(config.settings(), REQUESTS_PER_WARM_UP);
            rounds++;
            LockSupport.parkNanos(pauses ? WARM_UP_PAUSE_NS : 0);
        }
        log.accept("rehearsed: " + served + " of " + rounds * REQUESTS_PER_WARM_UP + " requests in memory");
    }

    /** Starts listening; calls after the first have no effect. */
    private void startServing() {
        if (lifecycle.phase() != Lifecycle.Phase.STARTING) {
            return;
        }
        listen(config.listenAddress(), httpFront::accept);
        if (rsyncConfig != null) {
            listen(rsyncConfig.listenAddress(), rsyncFront::accept);
            log.accept("rsync: " + rsyncConfig.modules().size() + " modules on " + rsyncConfig.listenAddress());
        }
        if (fleetPart != null) {
            fleetPart.start(httpFront);
        }
        if (rulesPart != null) {
            rulesPart.start(httpFront);
        }
        lifecycle.startServing(clock.nowUs());
        if (operationPart != null) {
            listen(operationPart::listen, config.operatorAddress());
        }
        ports.complete(listeners.stream()
                .map(listener -> listener.socket().getLocalPort())
                .toList());
        log.accept("ready: " + config.name() + " on " + config.listenAddress() + ", "
                + config.cachedNodes().nodes().size() + " nodes known");
    }

    private void listen(String address, Function<EndPoint, Connection> connectionFactory) {
        listen(
                (eventLoop, listenAddress) -> listeners.add(eventLoop.listen(
                        SocketAddresses.parse(listenAddress), operationPart != null, connectionFactory)),
                address);
    }

    /** Opens a listener on the loop. */
    private interface ListenerOpener {
        void open(EventLoop loop, String address) throws IOException;
    }

    private void listen(ListenerOpener opener, String address) {
        try {
            opener.open(loop, address);
        } catch (IOException | IllegalArgumentException e) {
            ports.completeExceptionally(new IOException("cannot listen on " + address + ": " + e.getMessage()));
        }
    }

    private void nodeListReceived(NodeList list) {
        if (list.full()) {
            broker.updateNodes(NodeListKind.FULL, addRsyncNodes(list.nodes()));
        } else if (!list.nodes().isEmpty()) {
            broker.updateNodes(NodeListKind.CHANGES, list.nodes());
        }
        startServing();
    }

    /**
     * Applies a changed gateway configuration (SIGHUP): the settings and discovery's address. The other fields are
     * fixed at the start, and its node list is older than the one in use. On the loop's thread.
     */
    void reload(GatewayConfig changed) {
        List<String> restartOnly = config.restartOnlyChanges(changed);
        if (!changed.settings().equals(config.settings())) {
            try {
                retunePart.start(changed.settings());
                if (stateKeeper != null) {
                    stateKeeper.retune(changed.settings());
                }
                if (operationPart != null) {
                    operationPart.retune(changed.settings());
                }
            } catch (IllegalArgumentException e) {
                reloadFailed(e.getMessage());
                return;
            }
        }
        counters.increment("reloads");
        config = changed;
        log.accept("reload: discovery at " + changed.discoveryAddress()
                + (restartOnly.isEmpty()
                        ? ""
                        : "; only a restart takes the changed " + String.join(", ", restartOnly)));
        nodeListWatcher.changeAddress(changed.discoveryAddress());
    }

    /** Records that a changed configuration was rejected; the former one stays in use. On the loop's thread. */
    void reloadFailed(String why) {
        counters.increment("reloads.failed");
        log.accept("reload: the former file stays in use: " + why);
    }

    /**
     * Applies a changed operator's configuration: the fleet, the rules, the rsync modules and nodes. On the loop's
     * thread.
     */
    void reload(OperatorConfig operatorConfig) {
        if (fleetPart != null && operatorConfig.fleet() != null) {
            fleetPart.reload(operatorConfig.fleet());
        }
        if (rulesPart != null) {
            rulesPart.reload(operatorConfig.rules());
        }
        RsyncConfig changed = operatorConfig.rsync();
        if (rsyncConfig == null || changed == null) {
            log.accept("the operator's file was reloaded; only a restart switches a section on or off");
            return;
        }
        List<Node> nodes = new ArrayList<>(changed.nodes());
        List<Long> keptNumbers = changed.nodes().stream().map(Node::number).toList();
        rsyncConfig.nodes().stream()
                .filter(node -> !keptNumbers.contains(node.number()))
                .forEach(node -> nodes.add(node.asGone()));
        rsyncConfig = changed;
        rsyncFront.reload(rulesPart == null ? changed : rulesPart.applyRules(changed));
        log.accept(
                "rsync: the operator's file was reloaded, " + changed.modules().size() + " modules");
        broker.updateNodes(NodeListKind.CHANGES, nodes);
    }

    /** Applies newly effective rules: closed modules accept no new transfer, removed nodes get no new attempt. */
    private void rulesChanged() {
        if (rsyncConfig != null) {
            RsyncConfig allowed = rulesPart.applyRules(rsyncConfig);
            rsyncFront.reload(allowed);
            broker.updateNodes(NodeListKind.CHANGES, allowed.nodes());
        }
    }

    /** Adds the operator's rsync nodes to a full list, since discovery does not know them and must not remove them. */
    private List<Node> addRsyncNodes(List<Node> discovered) {
        List<Node> nodes = new ArrayList<>(discovered);
        if (rsyncConfig != null) {
            nodes.addAll(
                    rulesPart == null
                            ? rsyncConfig.nodes()
                            : rulesPart.applyRules(rsyncConfig).nodes());
        }
        return nodes;
    }

    /**
     * Begins the shutdown (SIGTERM): accepts connections for a grace period, answers every accepted request, and ends.
     * On the loop's thread.
     */
    void drain() {
        if (!lifecycle.terminate(clock.nowUs())) {
            return;
        }
        broker.setAnswerDeadline(lifecycle.lastAnswerUs());
        log.accept("draining: " + broker.openRequests() + " requests open, " + httpFront.connectionCount()
                + " connections");
        if (rulesPart != null) {
            rulesPart.leave();
        }
        if (fleetPart != null) {
            fleetPart.leave();
        }
        applyLifecycle();
    }

    private boolean evacuate() {
        boolean done = lifecycle.evacuate(clock.nowUs());
        log.accept(
                done
                        ? "evacuate: " + broker.openRequests() + " requests open, " + httpFront.connectionCount()
                                + " connections"
                        : "evacuate: rejected, this process does not serve yet");
        applyLifecycle();
        return done;
    }

    private boolean rejoin() {
        boolean done = lifecycle.rejoin(clock.nowUs());
        log.accept(done ? "rejoin: serving" : "rejoin: this process is ending");
        applyLifecycle();
        return done;
    }

    /** Closes what the current lifecycle phase asks to be closed, and schedules itself for the next change. */
    private void applyLifecycle() {
        long nowUs = clock.nowUs();
        if (lifecycleTimer != null) {
            lifecycleTimer.cancel();
        }
        boolean ending = lifecycle.phase() == Lifecycle.Phase.ENDING;
        if (rsyncFront != null) {
            rsyncFront.setAcceptingTransfers(lifecycle.isReady());
        }
        if (ending && !lifecycle.acceptsConnections(nowUs)) {
            stopListening();
        }
        if (lifecycle.closesIdleConnections(nowUs)) {
            httpFront.closeIdle(
                    lifecycle.closesIdleGradually()
                            ? Math.max(MIN_GRADUAL_CLOSES, httpFront.connectionCount() / GRADUAL_CLOSE_DIVISOR)
                            : Integer.MAX_VALUE);
            if (ending && isReadyToExit(nowUs)) {
                closeState();
                return;
            }
        }
        long nextUs = lifecycle.closesIdleConnections(nowUs)
                ? nowUs + (ending ? END_CHECK_INTERVAL_US : DRAIN_CHECK_INTERVAL_US)
                : Long.MAX_VALUE;
        nextUs = Math.min(nextUs, lifecycle.nextChangeUs(nowUs));
        if (nextUs < Long.MAX_VALUE) {
            lifecycleTimer = timers.schedule(nextUs, this::applyLifecycle);
        }
    }

    private void stopListening() {
        listeners.forEach(loop::stopListening);
        listeners.clear();
        if (rsyncFront != null) {
            rsyncFront.closeIdleSessions();
        }
    }

    /** Returns whether all accepted requests are answered and no connection delays the exit any more. */
    private boolean isReadyToExit(long nowUs) {
        boolean answered = broker.openRequests() == 0 && httpFront.answeringCount() == 0 && !loop.hasPendingAccepts();
        allAnsweredAtUs = !answered ? 0 : allAnsweredAtUs == 0 ? nowUs : allAnsweredAtUs;
        return answered
                && (httpFront.connectionsDelayingExit() + (rsyncConfig == null ? 0 : rsyncFront.sessionCount()) == 0
                        || nowUs >= allAnsweredAtUs + MAX_FINAL_LINGER_US);
    }

    private void closeState() {
        if (stateKeeper == null) {
            closeAccounts();
        } else {
            stateKeeper.writeFinalSnapshot(this::closeAccounts);
        }
    }

    private void closeAccounts() {
        if (accountsPage == null) {
            leaveFleet();
        } else {
            accountsPage.close(loop::execute, this::leaveFleet);
        }
    }

    private void leaveFleet() {
        if (fleetPart == null) {
            finish();
        } else {
            fleetPart.afterLeaving(this::finish);
        }
    }

    private void finish() {
        if (operationPart != null) {
            operationPart.close();
        }
        log.accept("ended: " + counters.toLine());
        onEnd.run();
    }
}
