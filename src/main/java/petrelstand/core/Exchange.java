package petrelstand.core;

import java.util.ArrayList;
import java.util.List;
import petrelstand.decision.Scheduling.RequestClass;

/**
 * One request from its taking to its one final answer. The client side and the server side meet only here: the message
 * that the client sent, in its own wire's form, and the client side that gets the answer.
 */
public final class Exchange {
    private final long id;
    private final Demand demand;
    private final RequestClass kind;
    private final Object message;
    private final ClientSide client;
    private long takenUs;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private boolean over;
    private boolean begun;
    private boolean streaming;
    private Timers.Timer guard;

    Exchange(long id, Demand demand, RequestClass kind, Object message, ClientSide client, long takenUs) {
        this.id = id;
        this.demand = demand;
        this.kind = kind;
        this.message = message;
        this.client = client;
        this.takenUs = takenUs;
    }

    public long id() {
        return id;
    }

    public Demand demand() {
        return demand;
    }

    /** Its class as the settings had it when it was taken. */
    public RequestClass kind() {
        return kind;
    }

    public Object message() {
        return message;
    }

    public ClientSide client() {
        return client;
    }

    public long deadlineUs() {
        return takenUs + demand.leftUs();
    }

    /** True once the final answer was given, or the client left. */
    public boolean over() {
        return over;
    }

    public boolean begun() {
        return begun;
    }

    List<Attempt> attempts() {
        return attempts;
    }

    Attempt last() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
    }

    /** The attempt that is out; null where there is none. */
    public Attempt out() {
        Attempt last = last();
        return last == null || last.isEnded() ? null : last;
    }

    boolean outstanding() {
        return attempts.stream().anyMatch(attempt -> !attempt.isEnded());
    }

    void begin() {
        begun = true;
    }

    /** True from the first piece of a body that passes in pieces. */
    boolean isStreaming() {
        return streaming;
    }

    /** Its time does not run while its body comes. */
    void streams() {
        streaming = true;
        guard.cancel();
    }

    /** Its time begins. */
    void restart(long nowUs) {
        takenUs = nowUs;
    }

    void guard(Timers.Timer timer) {
        guard = timer;
    }

    /** Takes the right to give the final answer; only the first caller gets it. */
    boolean finish() {
        boolean first = !over;
        over = true;
        if (guard != null) {
            guard.cancel();
        }
        return first;
    }
}
