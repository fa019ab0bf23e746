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

/** One real gateway: the parts put together, started, drained and ended. */
final class Gateway {
    private static final long END_CHECK_INTERVAL_US = 10_000;
    private static final long DRAIN_CHECK_INTERVAL_US = 50_000;
    /** Of the connections that close in a spread way, the part at each check, and the least number. */
    private static final int GRADUAL_CLOSE_DIVISOR = 16;

    private static final int MIN_GRADUAL_CLOSES = 2;
    /**
     * Lingering connections are not waited for longer than this once all is answered. Counted from the last answer, not
     * from the end of listening: the end of the process resets its connections, and an answer under way is lost with
     * it.
     */
    private static final long MAX_FINAL_LINGER_US = 600_000;
    /** For each transfer a client's and a node's, and a client's that is refused. */
    private static final int DESCRIPTORS_PER_TRANSFER = 3;
    /**
     * Requests played in memory before the start: enough to load the code, and no more. What comes while a gateway
     * restarts is lost: on half a core 100 of them made a restart 2.5 s long, 25 of them 1.3 s.
     */
    private static final int REQUESTS_PER_WARM_UP = 25;

    private static final int MAX_HOT_RESTART_WARM_UPS = 16;
    private static final long WARM_UP_PAUSE_NS = 50_000_000;
    /** How long the start waits for the first list. */
    private static final long FIRST_LIST_TIMEOUT_US = 800_000;
    /** Of the 6 s that a process has from its start to its yes. */
    private static final long MAX_WARM_UP_NS = 1_800_000_000L;

    private final LoopClock clock = new LoopClock();
    private final Timers timers = new Timers();
    private final Counters counters = new Counters();
    private final Consumer<String> log;
    /** As the file in use says. */
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
    /** Null where no address for operators is given: nothing of it is loaded then. */
    private final OperationPart operationPart;

    private final RetunePart retunePart;
    private Timers.Timer lifecycleTimer;
    /** When all that was taken was answered, as of now; 0 while something is not. */
    private long allAnsweredAtUs;

    /**
     * A gateway as its file and, where there is one (else null), the operator's file say. Lines to be logged go to
     * {@code log}, and the end is told, on the loop's thread.
     */
    Gateway(GatewayConfig config, OperatorConfig operator, Consumer<String> log, Runnable onEnd) {
        this.config = config;
        this.log = log;
        this.onEnd = onEnd;
        this.rsyncConfig = operator == null ? null : operator.rsync();
        this.loop = new EventLoop(clock, timers);
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
                : new FleetPart(operator.fleet(), config, timers, clock::nowUs, loop::execute, counters, log);
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

    /** The pool, and beside it the nodes that speak the rsync protocol. */
    private NodeTransport routeRsyncNodes(NodeConnectionPool pool) {
        double connectMs = config.settings().may().connectTimeoutMs();
        return new NodeTransportRouter(pool, new RsyncNodeTransport(loop::connect, clock::nowUs, timers, connectMs));
    }

    /** Switches the accounts on; where they are off nothing of them is loaded. */
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

    /** Starts; the ports listened on are the platform front's and, where it is on, the rsync front's. */
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

    /** From SIGTERM until the process ends whatever the loop does, µs; a reload may change it. From any thread. */
    long forcedEndUs() {
        return lifecycle.forcedEndUs();
    }

    /** Runs a task on the loop's thread. */
    void execute(Runnable task) {
        loop.execute(task);
    }

    Broker broker() {
        return broker;
    }

    /** The file in use, from any thread. */
    GatewayConfig config() {
        return config;
    }

    void stop() throws Exception {
        loop.stop();
    }

    private void startOnLoop() {
        warmUp();
        if (stateKeeper != null) {
            stateKeeper.start(broker);
        }
        if (operationPart != null) {
            operationPart.takeOver();
        }
        broker.updateNodes(NodeListKind.CACHED, addRsyncNodes(config.cachedNodes().nodes()));
        // All of this was one turn: its time is no silence of discovery's, so the next one begins to ask.
        timers.schedule(clock.nowUs() + 1, this::startDiscovery);
    }

    /**
     * Asks for the list as it is now, and opens with it: the one in the file may be as old as the process before, what
     * the agent has counts as told from the first moment, and clients come at once. Without an answer it opens all the
     * same.
     */
    private void startDiscovery() {
        nodeListWatcher.start();
        timers.schedule(clock.nowUs() + FIRST_LIST_TIMEOUT_US, this::startServing);
    }

    /**
     * Where operators replace a process, one that starts is beside another or the first, and either has time: it
     * rehearses more, beside another with rests in which that one serves. Elsewhere what comes while it starts is lost,
     * so little is rehearsed.
     */
    private void warmUp() {
        int maxRounds = operationPart != null ? MAX_HOT_RESTART_WARM_UPS : 1;
        boolean pauses = operationPart != null && operationPart.replacesProcess();
        long startNs = System.nanoTime();
        long served = 0;
        int rounds = 0;
        // On a machine that is too busy the yes is owed all the same.
        while (rounds < maxRounds && System.nanoTime() - startNs < MAX_WARM_UP_NS) {
            served += JvmWarmUp.run(config.settings(), REQUESTS_PER_WARM_UP);
            rounds++;
            LockSupport.parkNanos(pauses ? WARM_UP_PAUSE_NS : 0);
        }
        log.accept("rehearsed: " + served + " of " + rounds * REQUESTS_PER_WARM_UP + " requests in memory");
    }

    /** Listens, and serves; only the first call does. */
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
        listen((eventLoop, listenAddress) -> listeners.add(eventLoop.listen(SocketAddresses.parse(listenAddress), operationPart != null, connectionFactory)), address);
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
     * SIGHUP: takes the new address of discovery from the gateway's file. The rest of it is fixed at the start, and its
     * node list is older than the one in use. On the loop's thread.
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
                + (restartOnly.isEmpty() ? "" : "; only a restart takes the changed " + String.join(", ", restartOnly)));
        nodeListWatcher.changeAddress(changed.discoveryAddress());
    }

    /** SIGHUP with a file that is wrong: all stays as it was. On the loop's thread. */
    void reloadFailed(String why) {
        counters.increment("reloads.failed");
        log.accept("reload: the former file stays in use: " + why);
    }

    /** Takes the rsync front's modules and nodes of the operator's file as it is now. On the loop's thread. */
    void reload(OperatorConfig operatorConfig) {
        if (fleetPart != null && operatorConfig.fleet() != null) {
            fleetPart.reload(operatorConfig.fleet());
        }
        if (rulesPart != null) {
            rulesPart.reload(operatorConfig.rules());
        }
        RsyncConfig changed = operatorConfig.rsync();
        if (rsyncConfig == null || changed == null) {
            log.accept("the operator's file was read anew; only a restart switches a part on or off");
            return;
        }
        List<Node> nodes = new ArrayList<>(changed.nodes());
        List<Long> keptNumbers = changed.nodes().stream().map(Node::number).toList();
        rsyncConfig.nodes().stream().filter(node -> !keptNumbers.contains(node.number())).forEach(node -> nodes.add(node.asGone()));
        rsyncConfig = changed;
        rsyncFront.reload(rulesPart == null ? changed : rulesPart.applyRules(changed));
        log.accept(
                "rsync: the operator's file was read anew, " + changed.modules().size() + " modules");
        broker.updateNodes(NodeListKind.CHANGES, nodes);
    }

    /** Other rules are acted on: modules that they close take no new transfer, nodes that they remove no new work. */
    private void rulesChanged() {
        if (rsyncConfig != null) {
            RsyncConfig allowed = rulesPart.applyRules(rsyncConfig);
            rsyncFront.reload(allowed);
            broker.updateNodes(NodeListKind.CHANGES, allowed.nodes());
        }
    }

    /** Discovery's list and the operator's nodes, which discovery does not know and must not end. */
    private List<Node> addRsyncNodes(List<Node> discovered) {
        List<Node> nodes = new ArrayList<>(discovered);
        if (rsyncConfig != null) {
            nodes.addAll(rulesPart == null ? rsyncConfig.nodes() : rulesPart.applyRules(rsyncConfig).nodes());
        }
        return nodes;
    }

    /** SIGTERM: takes what still comes for a while, answers all that was taken, and ends. On the loop's thread. */
    void drain() {
        if (!lifecycle.terminate(clock.nowUs())) {
            return;
        }
        broker.setAnswerDeadline(lifecycle.lastAnswerUs());
        log.accept(
                "draining: " + broker.openRequests() + " requests open, " + httpFront.connectionCount() + " connections");
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
                        : "evacuate: not before this process serves");
        applyLifecycle();
        return done;
    }

    private boolean rejoin() {
        boolean done = lifecycle.rejoin(clock.nowUs());
        log.accept(done ? "rejoin: serving" : "rejoin: this process is ending");
        applyLifecycle();
        return done;
    }

    /** Does what the process's life asks at this turn's time, and comes again when that changes. */
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
        long nextUs = lifecycle.closesIdleConnections(nowUs) ? nowUs + (ending ? END_CHECK_INTERVAL_US : DRAIN_CHECK_INTERVAL_US) : Long.MAX_VALUE;
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

    /** Whether all that was taken is answered, and no connection is waited for any more. */
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
