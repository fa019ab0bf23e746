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
import petrelstand.rsync.ByWire;
import petrelstand.rsync.RsyncFront;
import petrelstand.rsync.RsyncNodes;
import petrelstand.store.StateKeeper;

/** One real gateway: the parts put together, started, drained and ended. */
final class Gateway {
    private static final long END_CHECK_US = 10_000;
    private static final long DRAIN_CHECK_US = 50_000;
    /** Of the connections that close in a spread way, the part at each check, and the least number. */
    private static final int SPREAD = 16;

    private static final int LEAST_CLOSED = 2;
    /**
     * Lingering connections are not waited for longer than this once all is answered. Counted from the last answer, not
     * from the end of listening: the end of the process resets its connections, and an answer under way is lost with
     * it.
     */
    private static final long LAST_LINGER_US = 600_000;
    /** For each transfer a client's and a node's, and a client's that is refused. */
    private static final int RSYNC_DESCRIPTORS = 3;
    /**
     * Requests played in memory before the start: enough to load the code, and no more. What comes while a gateway
     * restarts is lost: on half a core 100 of them made a restart 2.5 s long, 25 of them 1.3 s.
     */
    private static final int REHEARSED = 25;

    private static final int REHEARSALS_REPLACED = 16;
    private static final long REST_NS = 50_000_000;
    /** How long the start waits for the first list. */
    private static final long FIRST_LIST_US = 800_000;
    /** Of the 6 s that a process has from its start to its yes. */
    private static final long MOST_REHEARSED_NS = 1_800_000_000L;

    private final LoopClock clock = new LoopClock();
    private final Timers timers = new Timers();
    private final Counters counters = new Counters();
    private final Consumer<String> log;
    /** As the file in use says. */
    private volatile GatewayConfig config;

    private final EventLoop loop;
    private final Broker broker;
    private final HttpFront front;
    private final NodeListWatcher watch;
    private RsyncConfig rsync;
    private final RsyncFront rsyncFront;
    private final StateKeeper keeper;
    private AccountsPage accounts;
    private final FleetPart fleet;
    private final RulesPart rules;
    private final Runnable atEnd;
    private final List<ServerSocketChannel> listeners = new ArrayList<>();
    private final CompletableFuture<List<Integer>> ports = new CompletableFuture<>();
    private final Lifecycle life;
    /** Null where no address for operators is given: nothing of it is loaded then. */
    private final OperationPart operation;

    private final RetunePart retuning;
    private Timers.Timer turn;
    /** When all that was taken was answered, as of now; 0 while something is not. */
    private long answeredUs;

    /**
     * A gateway as its file and, where there is one (else null), the operator's file say. Lines to be logged go to
     * {@code log}, and the end is told, on the loop's thread.
     */
    Gateway(GatewayConfig config, OperatorConfig operator, Consumer<String> log, Runnable atEnd) {
        this.config = config;
        this.log = log;
        this.atEnd = atEnd;
        this.rsync = operator == null ? null : operator.rsync();
        this.loop = new EventLoop(clock, timers);
        int transfers = rsync == null ? 0 : RSYNC_DESCRIPTORS * rsync.mostTransfers();
        Descriptors parts = Descriptors.of(config.sockets(), transfers);
        MemoryLimits plan = memoryPlan(config, parts);
        log.accept(plan.toLogLine());
        BodyBudgets budgets = BodyBudgets.of(plan);
        NodeConnectionPool pool = new NodeConnectionPool(
                loop::connect,
                clock::nowUs,
                timers,
                counters,
                config.settings(),
                "backend.local",
                plan.nodeConnections(),
                budgets);
        this.broker = new Broker(
                config.settings(),
                config.seed(),
                clock::nowUs,
                timers,
                rsync == null ? pool : withRsyncNodes(pool),
                counters,
                log);
        this.rsyncFront = rsync == null ? null : new RsyncFront(broker, timers, rsync, log);
        this.life = new Lifecycle(Lifecycle.Delays.of(config.settings()));
        this.front = new HttpFront(broker, timers, plan.clientConnections(), life, budgets);
        this.retuning = new RetunePart(broker, front, pool, life, timers, clock::nowUs, log);
        this.operation = config.operator() == null
                ? null
                : new OperationPart(
                        config,
                        transfers,
                        life,
                        broker,
                        front,
                        pool,
                        timers,
                        clock::nowUs,
                        clock::readUs,
                        loop::execute,
                        counters,
                        log,
                        this::evacuate,
                        this::rejoin);
        this.watch = new NodeListWatcher(
                loop::connect,
                clock::nowUs,
                timers,
                config.discovery(),
                "backend.local",
                config.settings().zones(),
                config.known().version(),
                this::heard,
                counters,
                log);
        this.keeper = operator == null || operator.state() == null
                ? null
                : StateKeeper.onDisk(
                        operator.state().folder(),
                        operator.state().everyUs(),
                        config.name(),
                        config.settings(),
                        timers,
                        clock::nowUs,
                        System::currentTimeMillis,
                        loop::execute,
                        counters,
                        log);
        if (operator != null && operator.accounts() != null) {
            account(operator.accounts());
        }
        this.fleet = operator == null || operator.fleet() == null
                ? null
                : new FleetPart(operator.fleet(), config, timers, clock::nowUs, loop::execute, counters, log);
        this.rules = operator == null || operator.rules() == null
                ? null
                : new RulesPart(
                        operator.rules(),
                        config,
                        fleet.fleet(),
                        broker,
                        timers,
                        clock::nowUs,
                        loop::execute,
                        counters,
                        this::ruled,
                        log);
    }

    private static MemoryLimits memoryPlan(GatewayConfig config, Descriptors parts) {
        return MemoryLimits.of(
                Runtime.getRuntime().maxMemory(),
                config.memoryBytes(),
                config.sockets(),
                parts.clients(),
                parts.nodes(),
                config.known().nodes().size(),
                Policy.MAX_VOLUMES);
    }

    /** The pool, and beside it the nodes that speak the rsync protocol. */
    private NodeTransport withRsyncNodes(NodeConnectionPool pool) {
        double connectMs = config.settings().may().connectTimeoutMs();
        return new ByWire(pool, new RsyncNodes(loop::connect, clock::nowUs, timers, connectMs));
    }

    /** Switches the accounts on; where they are off nothing of them is loaded. */
    private void account(OperatorConfig.AccountsConfig how) {
        AccountsPage page = AccountsPage.watch(broker, how.nodeCores());
        accounts = page;
        if (how.folder() != null) {
            page.record(how.folder(), config.name(), counters, loop::execute, log);
        }
        if (how.metrics()) {
            front.addPage("/metrics", page.metrics()::text);
        }
        if (how.page()) {
            front.addPage("/accounts", () -> page.json(clock.nowUs()));
        }
    }

    /** Starts; the ports listened on are the platform front's and, where it is on, the rsync front's. */
    CompletableFuture<List<Integer>> start() throws Exception {
        if (keeper != null) {
            keeper.open();
        }
        if (operation != null) {
            operation.look();
        }
        if (fleet != null) {
            fleet.open();
        }
        if (rules != null) {
            rules.open();
        }
        loop.start();
        loop.execute(this::begin);
        return ports;
    }

    EventLoop loop() {
        return loop;
    }

    /** From SIGTERM until the process ends whatever the loop does, µs; a reload may change it. From any thread. */
    long forcedEndUs() {
        return life.forcedEndUs();
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

    private void begin() {
        rehearse();
        if (keeper != null) {
            keeper.start(broker);
        }
        if (operation != null) {
            operation.recall();
        }
        broker.updateNodes(NodeListKind.CACHED, withOperators(config.known().nodes()));
        // All of this was one turn: its time is no silence of discovery's, so the next one begins to ask.
        timers.schedule(clock.nowUs() + 1, this::follow);
    }

    /**
     * Asks for the list as it is now, and opens with it: the one in the file may be as old as the process before, what
     * the agent has counts as told from the first moment, and clients come at once. Without an answer it opens all the
     * same.
     */
    private void follow() {
        watch.start();
        timers.schedule(clock.nowUs() + FIRST_LIST_US, this::open);
    }

    /**
     * Where operators replace a process, one that starts is beside another or the first, and either has time: it
     * rehearses more, beside another with rests in which that one serves. Elsewhere what comes while it starts is lost,
     * so little is rehearsed.
     */
    private void rehearse() {
        int times = operation != null ? REHEARSALS_REPLACED : 1;
        boolean rests = operation != null && operation.takesOver();
        long begun = System.nanoTime();
        long served = 0;
        int played = 0;
        // On a machine that is too busy the yes is owed all the same.
        while (played < times && System.nanoTime() - begun < MOST_REHEARSED_NS) {
            served += JvmWarmUp.run(config.settings(), REHEARSED);
            played++;
            LockSupport.parkNanos(rests ? REST_NS : 0);
        }
        log.accept("rehearsed: " + served + " of " + played * REHEARSED + " requests in memory");
    }

    /** Listens, and serves; only the first call does. */
    private void open() {
        if (life.phase() != Lifecycle.Phase.STARTING) {
            return;
        }
        listen(config.listen(), front::accept);
        if (rsync != null) {
            listen(rsync.listen(), rsyncFront::accept);
            log.accept("rsync: " + rsync.modules().size() + " modules on " + rsync.listen());
        }
        if (fleet != null) {
            fleet.start(front);
        }
        if (rules != null) {
            rules.start(front);
        }
        life.startServing(clock.nowUs());
        if (operation != null) {
            listen(operation::open, config.operator());
        }
        ports.complete(listeners.stream()
                .map(listener -> listener.socket().getLocalPort())
                .toList());
        log.accept("ready: " + config.name() + " on " + config.listen() + ", "
                + config.known().nodes().size() + " nodes known");
    }

    private void listen(String address, Function<EndPoint, Connection> to) {
        listen((on, at) -> listeners.add(on.listen(SocketAddresses.parse(at), operation != null, to)), address);
    }

    /** Opens a listener on the loop. */
    private interface Opening {
        void open(EventLoop loop, String address) throws IOException;
    }

    private void listen(Opening opening, String address) {
        try {
            opening.open(loop, address);
        } catch (IOException | IllegalArgumentException e) {
            ports.completeExceptionally(new IOException("cannot listen on " + address + ": " + e.getMessage()));
        }
    }

    private void heard(NodeList list) {
        if (list.full()) {
            broker.updateNodes(NodeListKind.FULL, withOperators(list.nodes()));
        } else if (!list.nodes().isEmpty()) {
            broker.updateNodes(NodeListKind.CHANGES, list.nodes());
        }
        open();
    }

    /**
     * SIGHUP: takes the new address of discovery from the gateway's file. The rest of it is fixed at the start, and its
     * node list is older than the one in use. On the loop's thread.
     */
    void reload(GatewayConfig changed) {
        List<String> later = config.fixedChanges(changed);
        if (!changed.settings().equals(config.settings())) {
            try {
                retuning.begin(changed.settings());
                if (keeper != null) {
                    keeper.retune(changed.settings());
                }
                if (operation != null) {
                    operation.retune(changed.settings());
                }
            } catch (IllegalArgumentException e) {
                reloadFailed(e.getMessage());
                return;
            }
        }
        counters.increment("reloads");
        config = changed;
        log.accept("reload: discovery at " + changed.discovery()
                + (later.isEmpty() ? "" : "; only a restart takes the changed " + String.join(", ", later)));
        watch.changeAddress(changed.discovery());
    }

    /** SIGHUP with a file that is wrong: all stays as it was. On the loop's thread. */
    void reloadFailed(String why) {
        counters.increment("reloads.failed");
        log.accept("reload: the former file stays in use: " + why);
    }

    /** Takes the rsync front's modules and nodes of the operator's file as it is now. On the loop's thread. */
    void reload(OperatorConfig file) {
        if (fleet != null && file.fleet() != null) {
            fleet.reload(file.fleet());
        }
        if (rules != null) {
            rules.reload(file.rules());
        }
        RsyncConfig changed = file.rsync();
        if (rsync == null || changed == null) {
            log.accept("the operator's file was read anew; only a restart switches a part on or off");
            return;
        }
        List<Node> nodes = new ArrayList<>(changed.nodes());
        List<Long> kept = changed.nodes().stream().map(Node::number).toList();
        rsync.nodes().stream().filter(node -> !kept.contains(node.number())).forEach(node -> nodes.add(node.asGone()));
        rsync = changed;
        rsyncFront.reload(rules == null ? changed : rules.allowed(changed));
        log.accept(
                "rsync: the operator's file was read anew, " + changed.modules().size() + " modules");
        broker.updateNodes(NodeListKind.CHANGES, nodes);
    }

    /** Other rules are acted on: modules that they close take no new transfer, nodes that they remove no new work. */
    private void ruled() {
        if (rsync != null) {
            RsyncConfig allowed = rules.allowed(rsync);
            rsyncFront.reload(allowed);
            broker.updateNodes(NodeListKind.CHANGES, allowed.nodes());
        }
    }

    /** Discovery's list and the operator's nodes, which discovery does not know and must not end. */
    private List<Node> withOperators(List<Node> listed) {
        List<Node> all = new ArrayList<>(listed);
        if (rsync != null) {
            all.addAll(rules == null ? rsync.nodes() : rules.allowed(rsync).nodes());
        }
        return all;
    }

    /** SIGTERM: takes what still comes for a while, answers all that was taken, and ends. On the loop's thread. */
    void drain() {
        if (!life.terminate(clock.nowUs())) {
            return;
        }
        broker.setAnswerDeadline(life.lastAnswerUs());
        log.accept(
                "draining: " + broker.openRequests() + " requests open, " + front.connectionCount() + " connections");
        if (rules != null) {
            rules.leave();
        }
        if (fleet != null) {
            fleet.leave();
        }
        live();
    }

    private boolean evacuate() {
        boolean done = life.evacuate(clock.nowUs());
        log.accept(
                done
                        ? "evacuate: " + broker.openRequests() + " requests open, " + front.connectionCount()
                                + " connections"
                        : "evacuate: not before this process serves");
        live();
        return done;
    }

    private boolean rejoin() {
        boolean done = life.rejoin(clock.nowUs());
        log.accept(done ? "rejoin: serving" : "rejoin: this process is ending");
        live();
        return done;
    }

    /** Does what the process's life asks at this turn's time, and comes again when that changes. */
    private void live() {
        long now = clock.nowUs();
        if (turn != null) {
            turn.cancel();
        }
        boolean ending = life.phase() == Lifecycle.Phase.ENDING;
        if (rsyncFront != null) {
            rsyncFront.takes(life.isReady());
        }
        if (ending && !life.acceptsConnections(now)) {
            stopListening();
        }
        if (life.closesIdleConnections(now)) {
            front.closeIdle(
                    life.closesIdleGradually()
                            ? Math.max(LEAST_CLOSED, front.connectionCount() / SPREAD)
                            : Integer.MAX_VALUE);
            if (ending && over(now)) {
                end();
                return;
            }
        }
        long next = life.closesIdleConnections(now) ? now + (ending ? END_CHECK_US : DRAIN_CHECK_US) : Long.MAX_VALUE;
        next = Math.min(next, life.nextChangeUs(now));
        if (next < Long.MAX_VALUE) {
            turn = timers.schedule(next, this::live);
        }
    }

    private void stopListening() {
        listeners.forEach(loop::stopListening);
        listeners.clear();
        if (rsyncFront != null) {
            rsyncFront.closeIdle();
        }
    }

    /** Whether all that was taken is answered, and no connection is waited for any more. */
    private boolean over(long now) {
        boolean answered = broker.openRequests() == 0 && front.answeringCount() == 0 && !loop.hasPendingAccepts();
        answeredUs = !answered ? 0 : answeredUs == 0 ? now : answeredUs;
        return answered
                && (front.connectionsDelayingExit() + (rsync == null ? 0 : rsyncFront.sessions()) == 0
                        || now >= answeredUs + LAST_LINGER_US);
    }

    private void end() {
        if (keeper == null) {
            endAccounts();
        } else {
            keeper.last(this::endAccounts);
        }
    }

    private void endAccounts() {
        if (accounts == null) {
            endFleet();
        } else {
            accounts.close(loop::execute, this::endFleet);
        }
    }

    private void endFleet() {
        if (fleet == null) {
            ended();
        } else {
            fleet.afterLeaving(this::ended);
        }
    }

    private void ended() {
        if (operation != null) {
            operation.close();
        }
        log.accept("ended: " + counters.toLine());
        atEnd.run();
    }
}
