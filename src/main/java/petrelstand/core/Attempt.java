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
    private long untilUs;
    private Timers.Timer timeout;
    private boolean ended;
    private Outcome outcome;
    private VolumeUse use = VolumeUse.NONE;
    /** What the server side keeps with the attempt. */
    private Object handle;

    Attempt(Broker broker, Exchange exchange, Node node, int number, long sentUs, long untilUs) {
        this.broker = broker;
        this.exchange = exchange;
        this.node = node;
        this.number = number;
        this.sentUs = sentUs;
        this.untilUs = untilUs;
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
    public long untilUs() {
        return untilUs;
    }

    public boolean isEnded() {
        return ended;
    }

    /** How it ended; null while it is out. */
    public Outcome outcome() {
        return outcome;
    }

    /** What the node's answer tells of the volume; before the end is told. */
    public void reports(VolumeUse told) {
        use = told;
    }

    VolumeUse use() {
        return use;
    }

    public Object handle() {
        return handle;
    }

    public void handle(Object kept) {
        handle = kept;
    }

    void timeout(Timers.Timer timer) {
        timeout = timer;
    }

    /** The server side tells the end; what comes after the first end is dropped. */
    public void ended(Outcome how, Object answer, Map<String, Double> load) {
        if (markEnded(how)) {
            broker.ended(this, answer, load);
        }
    }

    /**
     * The server side has a connection, and is about to write the first byte. False where that must not be any more,
     * and the attempt has ended then: its client has left, its request has its answer, or its node drains, went, moved
     * or restarted while the connection came up.
     */
    public boolean begins() {
        if (!ended && exchange.over()) {
            ended(Outcome.CANCELLED, null, null);
        } else if (!ended && !broker.isAsListed(node)) {
            ended(Outcome.NOT_CONNECTED, null, null);
        }
        return !ended;
    }

    /** The server side has written the last byte of the request. */
    public void written() {
        if (!ended) {
            broker.written(this);
        }
    }

    /**
     * The client's body goes to the node in pieces: no other attempt can follow, and its time, which begins with its
     * last byte, does not run until {@link #bodyComplete}. May be told more than once.
     */
    public void streams() {
        if (!ended && !exchange.begun()) {
            broker.streams(this);
        }
    }

    /** The last byte of a body in pieces has come from the client. */
    void restart(long nowUs, long until, Timers.Timer timer) {
        sentUs = nowUs;
        untilUs = until;
        timeout = timer;
    }

    void suspend() {
        timeout.cancel();
    }

    /** The answer has begun to reach the client, or the client's bytes the node: no other attempt can follow. */
    public void began() {
        if (!ended && !exchange.begun()) {
            broker.began(this);
        }
    }

    boolean markEnded(Outcome how) {
        if (ended) {
            return false;
        }
        ended = true;
        outcome = how;
        if (timeout != null) {
            timeout.cancel();
        }
        return true;
    }
}
