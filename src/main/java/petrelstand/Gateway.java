package petrelstand;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import petrelstand.config.GatewayConfig;
import petrelstand.config.NodeList;
import petrelstand.core.Broker;
import petrelstand.core.Counters;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.ListKind;
import petrelstand.discovery.Watch;
import petrelstand.http.Front;
import petrelstand.http.NodePool;
import petrelstand.net.Addresses;
import petrelstand.net.Clock;
import petrelstand.net.EventLoop;

/** One real gateway: the parts put together, started, drained and ended. */
final class Gateway {
    /** After SIGTERM connections still come for up to 0.4 s; the rest is margin. */
    private static final long LAST_CONNECTIONS_US = 550_000;
    private static final long END_CHECK_US = 10_000;
    /** Lingering connections are not waited for longer than this once all is answered. */
    private static final long LAST_LINGER_US = 600_000;
    /** Descriptors kept back for the selector, the jars and the listeners. */
    private static final int OTHER_DESCRIPTORS = 64;

    private final Clock clock = new Clock();
    private final Timers timers = new Timers();
    private final Counters counters = new Counters();
    private final Consumer<String> log = line -> System.out.println("petrelstand: " + line);
    private final GatewayConfig config;
    private final EventLoop loop;
    private final Broker broker;
    private final Front front;
    private final Watch watch;
    private AutoCloseable listener;
    private boolean draining;

    Gateway(GatewayConfig config) {
        this.config = config;
        this.loop = new EventLoop(clock, timers);
        int sockets = Math.max(64, config.sockets() - OTHER_DESCRIPTORS);
        NodePool pool = new NodePool(loop::connect, clock::nowUs, timers, counters, config.settings(),
                "backend.local", sockets * 2 / 5);
        this.broker = new Broker(config.settings(), config.seed(), clock::nowUs, timers, pool, counters, log);
        this.front = new Front(broker, timers, sockets * 3 / 5, log);
        this.watch = new Watch(loop::connect, clock::nowUs, timers, config.discovery(), "backend.local",
                config.settings().zones(), config.known().version(), this::heard, counters, log);
    }

    /** Starts, and returns when the gateway has ended. */
    void run() throws Exception {
        loop.start();
        loop.execute(this::begin);
        Thread hook = new Thread(this::terminate, "terminate");
        Runtime.getRuntime().addShutdownHook(hook);
        loop.join();
    }

    private void begin() {
        broker.nodes(ListKind.CACHED, config.known().nodes());
        watch.start();
        InetSocketAddress address = Addresses.parse(config.listen());
        try {
            listener = loop.listen(address, front::accept);
        } catch (IOException e) {
            System.err.println("petrelstand: cannot listen on " + config.listen() + ": " + e.getMessage());
            Runtime.getRuntime().halt(1);
        }
        front.ready();
        log.accept("ready: " + config.name() + " on " + config.listen() + ", " + config.known().nodes().size()
                + " nodes known");
    }

    private void heard(NodeList list) {
        if (list.full() || !list.nodes().isEmpty()) {
            broker.nodes(list.full() ? ListKind.WHOLE : ListKind.CHANGES, list.nodes());
        }
    }

    /** The shutdown hook: asks the loop to drain, and holds the process until it has. */
    private void terminate() {
        loop.execute(this::drain);
        try {
            loop.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void drain() {
        if (draining) {
            return;
        }
        draining = true;
        log.accept("draining: " + broker.open() + " requests open, " + front.connections() + " connections");
        front.drain();
        timers.at(clock.nowUs() + LAST_CONNECTIONS_US, this::stopListening);
    }

    private void stopListening() {
        try {
            listener.close();
        } catch (Exception e) {
            log.accept("the listener would not close: " + e.getMessage());
        }
        front.closeIdle();
        awaitEnd(clock.nowUs() + LAST_LINGER_US);
    }

    private void awaitEnd(long lingerUntilUs) {
        boolean answered = broker.open() == 0 && front.answering() == 0;
        if (answered && (front.connections() == 0 || clock.nowUs() >= lingerUntilUs)) {
            end();
        } else {
            timers.at(clock.nowUs() + END_CHECK_US, () -> awaitEnd(lingerUntilUs));
        }
    }

    private void end() {
        log.accept("ended: " + counters.line());
        System.out.flush();
        Runtime.getRuntime().halt(0);
    }
}
