package petrelstand.rsync;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.io.EndPoint;
import petrelstand.core.Attempt;
import petrelstand.decision.Scheduling.Outcome;

/** A connection to an rsync daemon, used for one attempt. */
final class NodeSession extends RelaySession implements Transfer.NodeEnd {
    private enum State {
        GREETING,
        MODULE_REQUESTED,
        MODULE_OPEN
    }

    private final Attempt attempt;
    private final Transfer transfer;
    private final DaemonLines lines = new DaemonLines();
    private State state = State.GREETING;

    NodeSession(EndPoint endPoint, Attempt attempt) {
        super(endPoint);
        this.attempt = attempt;
        this.transfer = (Transfer) attempt.exchange().message();
    }

    boolean isModuleOpen() {
        return state == State.MODULE_OPEN;
    }

    @Override
    void onSessionOpened() {
        if (attempt.beginWrite()) {
            write(DaemonLines.GREETING);
        } else {
            close();
        }
    }

    @Override
    void onProgress() {
        // ClientSession detects an idle relay.
    }

    @Override
    boolean consume(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            if (state == State.MODULE_OPEN && !transfer.isStarted()) {
                // The options decide how to parse the daemon's stream, and the arguments have not been sent yet.
                return false;
            }
            if (state == State.MODULE_OPEN) {
                transfer.relayFromNode(bytes.duplicate(), () -> {
                    bytes.position(bytes.limit());
                    transfer.completeIfDone();
                    resume();
                });
                return !bytes.hasRemaining();
            }
            String line = lines.nextLine(bytes);
            if (line != null) {
                handleLine(line);
            }
        }
        return true;
    }

    /** Handles a line before OK. Skips the message of the day; an error means that the daemon ran nothing. */
    private void handleLine(String line) {
        if (line.startsWith("@ERROR") || line.startsWith("@RSYNCD: AUTHREQD") || line.equals("@RSYNCD: EXIT")) {
            endAttempt(Outcome.REJECTED);
        } else if (state == State.GREETING) {
            if (DaemonLines.parseVersion(line) < DaemonLines.PROTOCOL_VERSION) {
                endAttempt(Outcome.REJECTED);
                return;
            }
            state = State.MODULE_REQUESTED;
            write(ByteBuffer.wrap((transfer.module() + "\n").getBytes(StandardCharsets.UTF_8)), () -> {});
        } else if (line.equals("@RSYNCD: OK")) {
            state = State.MODULE_OPEN;
            transfer.nodeOpened(this);
        }
    }

    @Override
    public void relay(ByteBuffer bytes, Runnable onWritten) {
        write(bytes, onWritten);
    }

    @Override
    public void startReading() {
        resume();
    }

    @Override
    public void onTransferComplete() {
        endAttempt(Outcome.SERVED);
    }

    @Override
    void onPeerClosed() {
        endAttempt(
                transfer.isComplete() ? Outcome.SERVED : transfer.isStarted() ? Outcome.RESET : Outcome.NOT_CONNECTED);
    }

    @Override
    void onProtocolError(String reason) {
        endAttempt(transfer.isStarted() ? Outcome.ERROR : Outcome.REJECTED);
    }

    private void endAttempt(Outcome outcome) {
        close();
        attempt.end(outcome, null, null);
    }

    @Override
    public void close() {
        super.close();
        transfer.nodeClosed(this);
    }
}
