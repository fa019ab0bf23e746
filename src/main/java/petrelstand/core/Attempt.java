package petrelstand.core;

import java.util.Map;
import petrelstand.decision.Scheduling.Outcome;

/** One attempt of an exchange at a node. */
public final class Attempt {
    private final Broker broker;
    private final Exchange exchange;
    private final Node node;
    private final int number;
    private long sentUs;
    private long timeoutAtUs;
    private Timers.Timer timeout;
    private boolean end;
    private Outcome outcome;
    private VolumeUsage volumeUsage = VolumeUsage.UNKNOWN;
    /** What the server side keeps with the attempt. */
    private Object attachment;

    Attempt(Broker broker, Exchange exchange, Node node, int number, long sentUs, long untilUs) {
        this.broker = broker;
        this.exchange = exchange;
        this.node = node;
        this.number = number;
        this.sentUs = sentUs;
        this.timeoutAtUs = untilUs;
    }

    public Exchange exchange() {
        return exchange;
    }

    public Node node() {
        return node;
    }

    public int number() {
        return number;
    }

    public long sentUs() {
        return sentUs;
    }

    /** When this gateway stops waiting for it. */
    public long timeoutAtUs() {
        return timeoutAtUs;
    }

    public boolean isEnded() {
        return end;
    }

    /** How it ended; null while it is out. */
    public Outcome outcome() {
        return outcome;
    }

    /** What the node's answer tells of the volume; before the end is told. */
    public void setVolumeUsage(VolumeUsage told) {
        volumeUsage = told;
    }

    VolumeUsage volumeUsage() {
        return volumeUsage;
    }

    public Object attachment() {
        return attachment;
    }

    public void attachment(Object kept) {
        attachment = kept;
    }

    void timeout(Timers.Timer timer) {
        timeout = timer;
    }

    /** The server side tells the end; what comes after the first end is dropped. */
    public void end(Outcome how, Object answer, Map<String, Double> load) {
        if (markEnded(how)) {
            broker.attemptEnded(this, answer, load);
        }
    }

    /**
     * The server side has a connection, and is about to write the first byte. False where that must not be any more,
     * and the attempt has ended then: its client has left, its request has its answer, or its node drains, went, moved
     * or restarted while the connection came up.
     */
    public boolean beginWrite() {
        if (!end && exchange.isFinished()) {
            end(Outcome.CANCELLED, null, null);
        } else if (!end && !broker.isStillListed(node)) {
            end(Outcome.NOT_CONNECTED, null, null);
        }
        return !end;
    }

    /** The server side has written the last byte of the request. */
    public void requestWritten() {
        if (!end) {
            broker.attemptWritten(this);
        }
    }

    /**
     * The client's body goes to the node in pieces: no other attempt can follow, and its time, which begins with its
     * last byte, does not run until {@link #bodyComplete}. May be told more than once.
     */
    public void beginBodyStream() {
        if (!end && !exchange.isCommitted()) {
            broker.bodyStreamStarted(this);
        }
    }

    /** The last byte of a body in pieces has come from the client. */
    void restartTimeout(long nowUs, long until, Timers.Timer timer) {
        sentUs = nowUs;
        timeoutAtUs = until;
        timeout = timer;
    }

    void suspendTimeout() {
        timeout.cancel();
    }

    /** The answer has begun to reach the client, or the client's bytes the node: no other attempt can follow. */
    public void commit() {
        if (!end && !exchange.isCommitted()) {
            broker.attemptCommitted(this);
        }
    }

    boolean markEnded(Outcome how) {
        if (end) {
            return false;
        }
        end = true;
        outcome = how;
        if (timeout != null) {
            timeout.cancel();
        }
        return true;
    }
}
