package petrelstand.rsync;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.io.EndPoint;
import petrelstand.core.Attempt;
import petrelstand.decision.Scheduling.Outcome;

/** A connection to a node that speaks the daemon protocol, for one attempt. */
final class NodeSession extends Session implements Transfer.NodeEnd {
    private enum State {
        GREETING,
        OPENING,
        OPEN
    }

    private final Attempt attempt;
    private final Transfer transfer;
    private final Lines lines = new Lines();
    private State state = State.GREETING;

    NodeSession(EndPoint endPoint, Attempt attempt) {
        super(endPoint);
        this.attempt = attempt;
        this.transfer = (Transfer) attempt.exchange().message();
    }

    boolean isOpen() {
        return state == State.OPEN;
    }

    @Override
    void opened() {
        write(Lines.GREETING);
    }

    @Override
    void moved() {
        // The client's session watches for a relay that stands still.
    }

    @Override
    boolean use(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            if (state == State.OPEN && !transfer.begun()) {
                // A daemon may not speak before it has the arguments; how to read it is not known until then.
                return false;
            }
            if (state == State.OPEN) {
                transfer.down(bytes.duplicate(), () -> {
                    bytes.position(bytes.limit());
                    transfer.checkWhole();
                    resume();
                });
                return !bytes.hasRemaining();
            }
            String line = lines.next(bytes);
            if (line != null) {
                line(line);
            }
        }
        return true;
    }

    /** Lines before OK: a message of the day is passed over, and an error proves that nothing ran. */
    private void line(String line) {
        if (line.startsWith("@ERROR") || line.startsWith("@RSYNCD: AUTHREQD") || line.equals("@RSYNCD: EXIT")) {
            end(Outcome.REJECTED);
        } else if (state == State.GREETING) {
            if (Lines.version(line) < Lines.VERSION) {
                end(Outcome.REJECTED);
                return;
            }
            state = State.OPENING;
            write(ByteBuffer.wrap((transfer.module() + "\n").getBytes(StandardCharsets.UTF_8)), () -> {});
        } else if (line.equals("@RSYNCD: OK")) {
            state = State.OPEN;
            transfer.opened(this);
        }
    }

    @Override
    public void relay(ByteBuffer bytes, Runnable left) {
        write(bytes, left);
    }

    @Override
    public void begin() {
        resume();
    }

    @Override
    public void finished() {
        end(Outcome.SERVED);
    }

    @Override
    void ended() {
        end(transfer.whole() ? Outcome.SERVED : transfer.begun() ? Outcome.RESET : Outcome.NOT_CONNECTED);
    }

    @Override
    void malformed(String why) {
        end(transfer.begun() ? Outcome.ERROR : Outcome.REJECTED);
    }

    private void end(Outcome outcome) {
        close();
        attempt.end(outcome, null, null);
    }

    @Override
    public void close() {
        super.close();
        transfer.closed(this);
    }
}
