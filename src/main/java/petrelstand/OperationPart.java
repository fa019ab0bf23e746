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
import petrelstand.operation.OperatorServer;
import petrelstand.operation.OperatorServer.Answer;
import petrelstand.operation.OperatorServer.Route;
import petrelstand.operation.Telemetry;
import petrelstand.store.ProcessMarks.OtherProcess;

/**
 * What a gateway has for its operators, where its file gives an address for them: the calls and what each does, and the
 * change from one process to the next.
 */
final class OperationPart {
    private final int sockets;
    private final int rsyncDescriptors;
    private final OperatorServer operatorApi;
    private final HotRestartPart hotRestart;
    private final Lifecycle lifecycle;
    private final Broker broker;
    private final HttpFront httpFront;
    private final NodeConnectionPool pool;
    private final Timers timers;
    private final LongSupplier loopClock;
    private final Consumer<String> log;
    private OtherProcess otherProcess = OtherProcess.NONE;

    /**
     * Before a gateway's parts, of which its rsync transfers take descriptors too; evacuate and rejoin say whether they
     * could be done.
     */
    OperationPart(
            GatewayConfig config,
            int rsyncDescriptors,
            Lifecycle lifecycle,
            Broker broker,
            HttpFront httpFront,
            NodeConnectionPool pool,
            Timers timers,
            LongSupplier loopClock,
            LongSupplier threadSafeClock,
            Executor loop,
            Counters counters,
            Consumer<String> log,
            BooleanSupplier evacuate,
            BooleanSupplier rejoin) {
        this.sockets = config.socketLimit();
        this.rsyncDescriptors = rsyncDescriptors;
        this.lifecycle = lifecycle;
        this.broker = broker;
        this.httpFront = httpFront;
        this.pool = pool;
        this.timers = timers;
        this.loopClock = loopClock;
        this.log = log;
        String temporaryFolder = System.getenv("TMPDIR");
        this.hotRestart = new HotRestartPart(
                config,
                Path.of(temporaryFolder == null ? System.getProperty("java.io.tmpdir") : temporaryFolder),
                loop,
                threadSafeClock,
                this::otherProcess,
                log);
        Telemetry telemetry = new Telemetry(broker, counters, () -> (int) httpFront.answeringCount());
        this.operatorApi = new OperatorServer(
                timers,
                loopClock,
                counters,
                Map.of(
                        "/api/ready",
                                new Route(
                                        "GET",
                                        () -> lifecycle.canServe()
                                                ? new Answer(200, "ready")
                                                : new Answer(503, "this process can't serve: " + phaseName())),
                        "/api/telemetry", new Route("GET", () -> new Answer(200, telemetry.render())),
                        "/api/evacuate", new Route("POST", () -> answerTo(evacuate)),
                        "/api/rejoin", new Route("POST", () -> answerTo(rejoin))));
    }

    private Answer answerTo(BooleanSupplier action) {
        return action.getAsBoolean() ? new Answer(200, phaseName()) : new Answer(409, "not now: this process is " + phaseName());
    }

    private String phaseName() {
        return switch (lifecycle.phase()) {
            case STARTING -> "starting";
            case SERVING -> "serving";
            case DRAINED -> "drained";
            case ENDING -> "ending";
        };
    }

    /** Looks for a process whose place this one takes; before the loop starts. */
    void findOtherProcess() {
        otherProcess = hotRestart.open();
        broker.setShareFunction(hotRestart.processShare()::share);
    }

    /** Takes over what that process has learned, before the first list. */
    void takeOver() {
        if (otherProcess != OtherProcess.NONE) {
            log.accept("hot restart: this process takes the place of another");
            limitConnections();
            LearnedState learned = hotRestart.readHandover();
            if (learned != null) {
                broker.restoreLearnedState(learned);
            }
        }
    }

    /** True where this process takes another's place. */
    boolean replacesProcess() {
        return otherProcess != OtherProcess.NONE;
    }

    /** Listens at the operators' address, to the end of the process, and looks for one that takes this one's place. */
    void listen(EventLoop loop, String address) throws IOException {
        loop.listen(SocketAddresses.parse(address), operatorApi::accept);
        hotRestart.startScanning(broker);
    }

    /** Told by the hot restart's thread, on the loop. */
    private void otherProcess(OtherProcess current) {
        log.accept("hot restart: "
                + switch (current) {
                    case NONE -> "the other process is gone; this one has all that is the gateway's";
                    case STARTING -> "another process of this gateway starts";
                    case LISTENING -> "another process of this gateway listens too";
                });
        otherProcess = current;
        limitConnections();
    }

    /**
     * While two processes are one gateway, each has half of its descriptors, once the newer listens: until then
     * connections that the older closed would only come back to it.
     */
    private void limitConnections() {
        boolean bothListen = otherProcess == OtherProcess.LISTENING;
        lifecycle.setSuccessorListening(bothListen);
        Descriptors descriptors = bothListen ? Descriptors.half(sockets, rsyncDescriptors) : Descriptors.of(sockets, rsyncDescriptors);
        httpFront.setMaxConnections(descriptors.clients());
        pool.setMaxConnections(descriptors.nodes());
    }

    void retune(Settings changed) {
        hotRestart.retune(changed);
    }

    void close() {
        hotRestart.close();
    }
}
