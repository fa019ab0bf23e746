package petrelstand.core;

import java.util.Map;
import petrelstand.decision.Scheduling.Outcome;

/** One attempt to have a node serve the request of an exchange. All times are microseconds of the loop's clock. */
public final class Attempt {
    private final Broker broker;
    private final Exchange exchange;
    private final Node node;
    private final int number;
    private long sentUs;
    private long timeoutAtUs;
    private Timers.Timer timeoutTimer;
    /** The last byte of the request was written to the node. */
    private boolean written;

    private boolean ended;
    private Outcome outcome;
    private VolumeUsage volumeUsage = VolumeUsage.UNKNOWN;
    private Object attachment;

    Attempt(Broker broker, Exchange exchange, Node node, int number, long sentUs, long timeoutAtUs) {
        this.broker = broker;
        this.exchange = exchange;
        this.node = node;
        this.number = number;
        this.sentUs = sentUs;
        this.timeoutAtUs = timeoutAtUs;
    }

    public Exchange exchange() {
        return exchange;
    }

    public Node node() {
        return node;
    }

    /** The position among the attempts of its exchange, from 0. */
    public int number() {
        return number;
    }

    /** When the attempt was sent or, for a streamed body, when the last byte of the body arrived. */
    public long sentUs() {
        return sentUs;
    }

    /** When the attempt ends as {@link Outcome#TIMED_OUT}, unless it has ended before. */
    public long timeoutAtUs() {
        return timeoutAtUs;
    }

    public boolean isEnded() {
        return ended;
    }

    /** How the attempt ended; null while it is active. */
    public Outcome outcome() {
        return outcome;
    }

    /** Sets the volume usage that the node's answer reports; must be called before {@link #end}. */
    public void setVolumeUsage(VolumeUsage reported) {
        volumeUsage = reported;
    }

    VolumeUsage volumeUsage() {
        return volumeUsage;
    }

    /** The state that the node transport has attached to this attempt; null where there is none. */
    public Object attachment() {
        return attachment;
    }

    /** Attaches state of the node transport. */
    public void attachment(Object attached) {
        attachment = attached;
    }

    void setTimeoutTimer(Timers.Timer timer) {
        timeoutTimer = timer;
    }

    /**
     * Ends the attempt. Calls after the first one are ignored.
     *
     * @param how the outcome
     * @param answer the node's answer in the form of the wire protocol; may be null unless the outcome is SERVED
     * @param load the node's load by name as the answer reports it; null or empty where it reports none
     */
    public void end(Outcome how, Object answer, Map<String, Double> load) {
        if (markEnded(how)) {
            broker.attemptEnded(this, answer, load);
        }
    }

    /**
     * Checks, immediately before the first byte is written to a connection, that the attempt is still wanted. Returns
     * false if the attempt has ended. It is ended here if its exchange has finished, if its node began to drain, was
     * removed, moved or restarted while the connection was being opened, or if its client may have left.
     */
    public boolean beginWrite() {
        if (!ended && !exchange.isFinished() && exchange.client().presence() != ClientPresence.State.PRESENT) {
            broker.clientUnseen(this);
        }
        if (!ended && exchange.isFinished()) {
            end(Outcome.CANCELLED, null, null);
        } else if (!ended && !broker.isStillListed(node)) {
            end(Outcome.NOT_CONNECTED, null, null);
        }
        return !ended;
    }

    /**
     * Whether {@link #beginWrite} should be called after {@link ClientPresence#SETTLE_US} instead of now, because it
     * will be known then whether the client is still there.
     */
    public boolean isClientSettling() {
        return !ended && !exchange.isFinished() && exchange.client().presence() == ClientPresence.State.SETTLING;
    }

    /** Reports that the last byte of the request was written to the node. */
    public void requestWritten() {
        if (!ended) {
            written = true;
            broker.attemptWritten(this);
        }
    }

    /** Whether the node has the whole request and has not said that it will not run it; the attempt has ended. */
    boolean mayHaveRun() {
        return written && !outcome.neverRan();
    }

    /** Whether the last byte of the request was written to the node, which can't begin it before. */
    boolean isWritten() {
        return written;
    }

    /**
     * Reports that the request body is streamed to the node as the client sends it. No other attempt can follow. The
     * attempt's timeout is suspended until {@link Broker#requestBodyComplete}; until then the deadline is that of
     * {@link RequestProgress}. May be called more than once.
     */
    public void beginBodyStream() {
        if (!ended && !exchange.isCommitted()) {
            broker.bodyStreamStarted(this);
        }
    }

    /** Restarts the timeout once the last byte of a streamed body has arrived from the client. */
    void restartTimeout(long nowUs, long untilUs, Timers.Timer timer) {
        sentUs = nowUs;
        timeoutAtUs = untilUs;
        timeoutTimer = timer;
    }

    void suspendTimeout() {
        timeoutTimer.cancel();
    }

    /**
     * Commits the exchange to this attempt: bytes of the answer have reached the client, or bytes of the client the
     * node, so no other attempt can follow.
     */
    public void commit() {
        if (!ended && !exchange.isCommitted()) {
            broker.attemptCommitted(this);
        }
    }

    /** Sets the outcome and cancels the timeout; false if the attempt had already ended. */
    boolean markEnded(Outcome how) {
        if (ended) {
            return false;
        }
        ended = true;
        outcome = how;
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
        }
        return true;
    }
}
