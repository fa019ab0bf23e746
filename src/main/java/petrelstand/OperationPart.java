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

/** The operators' API and hot restarts of a gateway; created only if its configuration has an operator address. */
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
     * Creates the API; it does not listen yet.
     *
     * @param rsyncDescriptors descriptors reserved for rsync transfers
     * @param threadSafeClock time in µs, safe to read from any thread
     * @param evacuate starts a drain; false if the current phase does not allow it
     * @param rejoin ends a drain; false if the current phase does not allow it
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
                this::otherProcessChanged,
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
        return action.getAsBoolean()
                ? new Answer(200, phaseName())
                : new Answer(409, "not now: this process is " + phaseName());
    }

    private String phaseName() {
        return switch (lifecycle.phase()) {
            case STARTING -> "starting";
            case SERVING -> "serving";
            case DRAINED -> "drained";
            case ENDING -> "ending";
        };
    }

    /** Looks for a process that this one replaces; before the loop starts. */
    void findOtherProcess() {
        otherProcess = hotRestart.open();
        broker.setShareFunction(hotRestart.processShare()::share);
        httpFront.setTxnIdSharing(hotRestart.txnIdSharing());
    }

    /** Restores the learned state of the process that this one replaces, before the first node list. */
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

    /** Returns whether this process replaces another one. */
    boolean replacesProcess() {
        return otherProcess != OtherProcess.NONE;
    }

    /** Listens at the operators' address and starts to scan for a process that replaces this one. */
    void listen(EventLoop loop, String address) throws IOException {
        loop.listen(SocketAddresses.parse(address), operatorApi::accept);
        hotRestart.startScanning(broker);
    }

    private void otherProcessChanged(OtherProcess current) {
        log.accept("hot restart: "
                + switch (current) {
                    case NONE -> "the other process is gone; this one has the gateway's whole share";
                    case STARTING -> "another process of this gateway starts";
                    case LISTENING -> "another process of this gateway listens too";
                });
        otherProcess = current;
        limitConnections();
    }

    /**
     * Sets the connection limits: half of the descriptors while another process listens too. While it only starts, the
     * older process keeps its limits, since clients would reconnect to it.
     */
    private void limitConnections() {
        boolean bothListen = otherProcess == OtherProcess.LISTENING;
        lifecycle.setSuccessorListening(bothListen);
        Descriptors descriptors =
                bothListen ? Descriptors.half(sockets, rsyncDescriptors) : Descriptors.of(sockets, rsyncDescriptors);
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
