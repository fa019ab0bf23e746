package petrelstand;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import petrelstand.config.GatewayConfig;
import petrelstand.core.Broker;
import petrelstand.core.Counters;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.http.HttpFront;
import petrelstand.http.NodeConnectionPool;
import petrelstand.lifecycle.Lifecycle;
import petrelstand.net.EventLoop;
import petrelstand.net.SocketAddresses;
import petrelstand.operation.OperatorDoor;
import petrelstand.operation.OperatorDoor.Answer;
import petrelstand.operation.OperatorDoor.Call;
import petrelstand.operation.Telemetry;
import petrelstand.store.Marks.Other;

/**
 * What a gateway has for its operators, where its file gives an address for them: the calls and what each does, and the
 * change from one process to the next.
 */
final class OperationPart {
    private final int sockets;
    private final int transfers;
    private final OperatorDoor door;
    private final HotRestartPart hotRestart;
    private final Lifecycle life;
    private final Broker broker;
    private final HttpFront front;
    private final NodeConnectionPool pool;
    private final Timers timers;
    private final LongSupplier clock;
    private final Consumer<String> log;
    private Other other = Other.NONE;

    /**
     * Before a gateway's parts, of which its rsync transfers take descriptors too; evacuate and rejoin say whether they
     * could be done.
     */
    OperationPart(
            GatewayConfig config,
            int transfers,
            Lifecycle life,
            Broker broker,
            HttpFront front,
            NodeConnectionPool pool,
            Timers timers,
            LongSupplier clock,
            LongSupplier anyThreadsClock,
            Executor loop,
            Counters counters,
            Consumer<String> log,
            BooleanSupplier evacuate,
            BooleanSupplier rejoin) {
        this.sockets = config.sockets();
        this.transfers = transfers;
        this.life = life;
        this.broker = broker;
        this.front = front;
        this.pool = pool;
        this.timers = timers;
        this.clock = clock;
        this.log = log;
        String shared = System.getenv("TMPDIR");
        this.hotRestart = new HotRestartPart(
                config,
                Path.of(shared == null ? System.getProperty("java.io.tmpdir") : shared),
                loop,
                anyThreadsClock,
                this::other,
                log);
        Telemetry telemetry = new Telemetry(broker, counters, () -> (int) front.answeringCount());
        this.door = new OperatorDoor(
                timers,
                clock,
                counters,
                Map.of(
                        "/api/ready",
                                new Call(
                                        "GET",
                                        () -> life.canServe()
                                                ? new Answer(200, "ready")
                                                : new Answer(503, "this process can't serve: " + word())),
                        "/api/telemetry", new Call("GET", () -> new Answer(200, telemetry.text())),
                        "/api/evacuate", new Call("POST", () -> done(evacuate)),
                        "/api/rejoin", new Call("POST", () -> done(rejoin))));
    }

    private Answer done(BooleanSupplier call) {
        return call.getAsBoolean() ? new Answer(200, word()) : new Answer(409, "not now: this process is " + word());
    }

    private String word() {
        return switch (life.phase()) {
            case STARTING -> "starting";
            case SERVING -> "serving";
            case DRAINED -> "drained";
            case ENDING -> "ending";
        };
    }

    /** Looks for a process whose place this one takes; before the loop starts. */
    void look() {
        other = hotRestart.open();
        broker.setShareFunction(hotRestart.share()::share);
    }

    /** Takes over what that process has learned, before the first list. */
    void recall() {
        if (other != Other.NONE) {
            log.accept("hot restart: this process takes the place of another");
            bound();
            LearnedState learned = hotRestart.handed();
            if (learned != null) {
                broker.restoreLearnedState(learned);
            }
        }
    }

    /** True where this process takes another's place. */
    boolean takesOver() {
        return other != Other.NONE;
    }

    /** Listens at the operators' address, to the end of the process, and looks for one that takes this one's place. */
    void open(EventLoop loop, String address) throws IOException {
        loop.listen(SocketAddresses.parse(address), door::accept);
        hotRestart.listens(broker);
    }

    /** Told by the hot restart's thread, on the loop. */
    private void other(Other now) {
        log.accept("hot restart: "
                + switch (now) {
                    case NONE -> "the other process is gone; this one has all that is the gateway's";
                    case STARTING -> "another process of this gateway starts";
                    case LISTENING -> "another process of this gateway listens too";
                });
        other = now;
        bound();
    }

    /**
     * While two processes are one gateway, each has half of its descriptors, once the newer listens: until then
     * connections that the older closed would only come back to it.
     */
    private void bound() {
        boolean both = other == Other.LISTENING;
        life.setSuccessorListening(both);
        Descriptors parts = both ? Descriptors.half(sockets, transfers) : Descriptors.of(sockets, transfers);
        front.setMaxConnections(parts.clients());
        pool.setMaxConnections(parts.nodes());
    }

    void retune(Settings changed) {
        hotRestart.retune(changed);
    }

    void close() {
        hotRestart.close();
    }
}
