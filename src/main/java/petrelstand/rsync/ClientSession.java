package petrelstand.rsync;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.io.EndPoint;
import petrelstand.config.RsyncConfig;
import petrelstand.core.Attempt;
import petrelstand.core.ClientHandler;
import petrelstand.core.ClientPresence;
import petrelstand.core.Demand;
import petrelstand.core.Exchange;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.Outcome;

/**
 * The connection of an rsync client. The request is submitted to the broker when the client names a module, while a
 * refusal can still be sent as an "@ERROR" line. The client gets OK only after a node has opened the module.
 */
final class ClientSession extends RelaySession implements ClientHandler, Transfer.ClientEnd {
    enum State {
        GREETING,
        MODULE,
        WAITING,
        ARGUMENTS,
        RELAYING,
        ENDING
    }

    private static final int MAX_ARGUMENTS = 64;
    /** Delay named to a client that is turned away because the gateway is full or draining. */
    private static final long RETRY_AFTER_US = 2_000_000;

    /** Time for the client to read the last bytes before the connection is closed. */
    private static final long CLOSE_DELAY_US = 500_000;

    private final RsyncFront front;
    private final boolean refusedOnly;
    private final DaemonLines lines = new DaemonLines();
    private final List<String> arguments = new ArrayList<>();
    private State state = State.GREETING;
    private Transfer transfer;
    private Exchange exchange;
    /** Closes the session when it is idle or, in state ENDING, when the client doesn't close it. */
    private Timers.Timer closeTimer;

    private long lastProgressUs;
    private final ClientPresence presence;

    ClientSession(EndPoint endPoint, RsyncFront front, boolean refusedOnly) {
        super(endPoint);
        this.front = front;
        this.refusedOnly = refusedOnly;
        this.presence = new ClientPresence(quietUs(front.broker().nowUs()));
    }

    /** Whether the session was accepted above the transfer limit, only to send a refusal after the greeting. */
    boolean isRefusedOnly() {
        return refusedOnly;
    }

    @Override
    void onSessionOpened() {
        write(DaemonLines.GREETING);
        lastProgressUs = front.broker().nowUs();
        closeTimer = front.timers().schedule(lastProgressUs + front.config().idleTimeoutUs(), this::checkIdle);
    }

    @Override
    void onProgress() {
        lastProgressUs = front.broker().nowUs();
    }

    @Override
    void onReadPaused() {
        presence.inputRemains(quietUs(front.broker().nowUs()));
    }

    @Override
    void onInputDrained() {
        presence.inputDrained(front.broker().nowUs());
    }

    @Override
    public ClientPresence.State presence() {
        return presence.at(front.broker().nowUs());
    }

    /** Ends the session if no byte was read or written for the idle limit; otherwise schedules the next check. */
    private void checkIdle() {
        long due = lastProgressUs + front.config().idleTimeoutUs();
        long now = front.broker().nowUs();
        if (isWaitingForNode()) {
            // The client is not idle while the gateway looks for a node; the request's deadline bounds this time.
            lastProgressUs = now;
            due = now + front.config().idleTimeoutUs();
        }
        if (now < due) {
            closeTimer = front.timers().schedule(due, this::checkIdle);
        } else if (!isClosed()) {
            front.broker().counters().increment("rsync.idle");
            front.log("closing a client session after "
                    + DaemonLines.formatSeconds(front.config().idleTimeoutUs()) + " s without progress in state "
                    + state);
            leaveExchange("idle for " + DaemonLines.formatSeconds(front.config().idleTimeoutUs()) + " s");
        }
    }

    /** Whether no node has the module open: none yet, or the node failed before it was sent the arguments. */
    private boolean isWaitingForNode() {
        return state == State.WAITING || state == State.ARGUMENTS && !transfer.isModuleOpen();
    }

    // ---- Opening lines ----

    @Override
    boolean consume(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            if (isWaitingForNode()) {
                return false;
            }
            switch (state) {
                case RELAYING -> {
                    transfer.relayFromClient(bytes.duplicate(), () -> {
                        bytes.position(bytes.limit());
                        transfer.completeIfDone();
                        resume();
                    });
                    return !bytes.hasRemaining();
                }
                case ENDING -> bytes.position(bytes.limit());
                default -> {
                    String line = lines.nextLine(bytes);
                    if (line != null) {
                        handleLine(line);
                    }
                }
            }
        }
        return true;
    }

    private void handleLine(String line) {
        switch (state) {
            case GREETING -> handleGreeting(DaemonLines.parseVersion(line));
            case MODULE -> handleModuleName(line);
            default -> handleArgument(line);
        }
    }

    private void handleGreeting(int version) {
        if (version == 0) {
            endWithError("protocol startup error");
        } else if (version < DaemonLines.PROTOCOL_VERSION) {
            endWithError("protocol version " + version + " is not carried here, " + DaemonLines.PROTOCOL_VERSION
                    + " or later is");
        } else if (refusedOnly) {
            refused(RETRY_AFTER_US);
        } else {
            state = State.MODULE;
        }
    }

    private void handleModuleName(String name) {
        if (name.isEmpty() || name.equals("#list")) {
            StringBuilder list = new StringBuilder();
            front.config().modules().forEach(m -> list.append(String.format("%-15s\t%s%n", m.name(), m.comment())));
            endWithBytes(ByteBuffer.wrap((list + DaemonLines.EXIT).getBytes(StandardCharsets.UTF_8)));
            return;
        }
        RsyncConfig.Module module = front.config().module(name);
        if (module == null) {
            front.broker().counters().increment("rsync.unknown_module");
            endWithError("Unknown module '" + name + "'");
        } else if (front.isDraining()) {
            endWithError("draining, come again in " + DaemonLines.formatSeconds(RETRY_AFTER_US) + " s");
        } else {
            state = State.WAITING;
            transfer = new Transfer(name, this);
            long timeLeftUs = (long) (front.broker()
                            .settings()
                            .classes()
                            .get(module.requestClass())
                            .deadlineMs()
                    * 1000);
            boolean writes = front.broker()
                    .settings()
                    .classes()
                    .get(module.requestClass())
                    .writes();
            front.broker()
                    .submit(
                            new Demand(
                                    module.requestClass(),
                                    module.plan(),
                                    0,
                                    module.volume(),
                                    module.units(),
                                    module.shard(),
                                    0,
                                    false,
                                    writes,
                                    timeLeftUs),
                            transfer,
                            this,
                            submitted -> exchange = submitted);
        }
    }

    @Override
    public void onModuleOpened() {
        onProgress();
        if (state == State.WAITING) {
            state = State.ARGUMENTS;
            write(DaemonLines.OK);
        }
        resume();
    }

    /** Collects the arguments; the empty line that ends them starts the relay. */
    private void handleArgument(String line) {
        if (!line.isEmpty()) {
            if (arguments.size() >= MAX_ARGUMENTS) {
                throw new RecordReader.ProtocolException("more than " + MAX_ARGUMENTS + " arguments");
            }
            arguments.add(line);
            return;
        }
        TransferOptions options = TransferOptions.parse(arguments, transfer.module());
        state = State.RELAYING;
        transfer.start(options);
        front.commitAttempt(exchange);
        String argumentBlock = String.join("\n", arguments) + "\n\n";
        transfer.relayArguments(ByteBuffer.wrap(argumentBlock.getBytes(StandardCharsets.UTF_8)), this::resume);
    }

    // ---- Relay ----

    @Override
    public void relay(ByteBuffer bytes, Runnable onWritten) {
        write(bytes, onWritten);
    }

    // ---- End of the session ----

    @Override
    public boolean served(Object answer) {
        enterEnding();
        getEndPoint().shutdownOutput();
        close();
        return true;
    }

    @Override
    public void refused(long retryAfterUs) {
        endWithError("refused, come again in " + DaemonLines.formatSeconds(Math.max(retryAfterUs, 1000)) + " s");
    }

    @Override
    public void failed(Attempt last) {
        boolean timedOut = last == null || !last.isEnded() || last.outcome() == Outcome.TIMED_OUT;
        endWithError(timedOut ? "timed out, the transfer is not complete" : "failed, the transfer is not complete");
    }

    @Override
    void onProtocolError(String reason) {
        front.broker().counters().increment("rsync.malformed");
        leaveExchange(reason);
    }

    @Override
    void onPeerClosed() {
        leaveExchange(null);
    }

    /** Ends a session that has not named a module yet, with a hint to retry. */
    void endIfNoModule() {
        if (state == State.GREETING || state == State.MODULE) {
            endWithError("draining, come again in " + DaemonLines.formatSeconds(RETRY_AFTER_US) + " s");
        }
    }

    /**
     * Ends the session from the client's side: the broker is told that the client is gone and stops the attempt.
     *
     * @param reason error text sent to the client, or null if it closed the connection
     */
    private void leaveExchange(String reason) {
        Exchange abandoned = exchange;
        if (reason == null) {
            close();
        } else {
            endWithError(reason);
        }
        if (abandoned != null) {
            front.broker().clientGone(abandoned);
        }
    }

    /**
     * Ends the session with an error in the form that the client expects in this state: a line, or a frame of the
     * node's stream. Closes without one if a write or a frame is incomplete.
     */
    private void endWithError(String reason) {
        if (state == State.ENDING || isClosed()) {
            return;
        }
        if (state == State.ARGUMENTS || state == State.RELAYING) {
            boolean streamAtStart = !transfer.isStarted() || transfer.isNodeStreamAtStart();
            if (isWriting() || !streamAtStart && !transfer.isAtFrameBoundary()) {
                close();
            } else {
                endWithBytes(DaemonLines.errorFrame(reason, streamAtStart));
            }
        } else {
            endWithBytes(ByteBuffer.wrap(DaemonLines.errorLine(reason).getBytes(StandardCharsets.UTF_8)));
        }
    }

    /** Writes the last bytes, then shuts the output down and gives the client time to close. */
    private void endWithBytes(ByteBuffer bytes) {
        enterEnding();
        write(bytes, () -> {
            getEndPoint().shutdownOutput();
            closeTimer = front.timers().schedule(front.broker().nowUs() + CLOSE_DELAY_US, this::close);
        });
        resume();
    }

    /** Discards further input and closes after the idle limit at the latest. */
    private void enterEnding() {
        state = State.ENDING;
        exchange = null;
        closeTimer.cancel();
        closeTimer =
                front.timers().schedule(front.broker().nowUs() + front.config().idleTimeoutUs(), this::close);
    }

    @Override
    public void close() {
        if (!isClosed()) {
            super.close();
            closeTimer.cancel();
            front.sessionClosed(this);
            if (exchange != null) {
                front.broker().clientGone(exchange);
            }
        }
    }
}
