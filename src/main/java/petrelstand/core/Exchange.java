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
    private final RequestClass requestClass;
    private final Object message;
    private final ClientHandler client;
    private long acceptedUs;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private boolean isFinished;
    private boolean isCommitted;
    private boolean streaming;
    private Timers.Timer setOverdueTimer;

    Exchange(long id, Demand demand, RequestClass kind, Object message, ClientHandler client, long takenUs) {
        this.id = id;
        this.demand = demand;
        this.requestClass = kind;
        this.message = message;
        this.client = client;
        this.acceptedUs = takenUs;
    }

    public long id() {
        return id;
    }

    public Demand demand() {
        return demand;
    }

    /** Its class as the settings had it when it was taken. */
    public RequestClass requestClass() {
        return requestClass;
    }

    public Object message() {
        return message;
    }

    public ClientHandler client() {
        return client;
    }

    public long deadlineUs() {
        return acceptedUs + demand.timeLeftUs();
    }

    /** True once the final answer was given, or the client left. */
    public boolean isFinished() {
        return isFinished;
    }

    public boolean isCommitted() {
        return isCommitted;
    }

    List<Attempt> attempts() {
        return attempts;
    }

    Attempt lastAttempt() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
    }

    /** The attempt that is out; null where there is none. */
    public Attempt activeAttempt() {
        Attempt last = lastAttempt();
        return last == null || last.isEnded() ? null : last;
    }

    boolean hasActiveAttempt() {
        return attempts.stream().anyMatch(attempt -> !attempt.isEnded());
    }

    void commit() {
        isCommitted = true;
    }

    /** True from the first piece of a body that passes in pieces. */
    boolean isBodyStreamed() {
        return streaming;
    }

    /** Its time does not run while its body comes. */
    void beginBodyStream() {
        streaming = true;
        setOverdueTimer.cancel();
    }

    /** Its time begins. */
    void restartDeadline(long nowUs) {
        acceptedUs = nowUs;
    }

    void setOverdueTimer(Timers.Timer timer) {
        setOverdueTimer = timer;
    }

    /** Takes the right to give the final answer; only the first caller gets it. */
    boolean finish() {
        boolean first = !isFinished;
        isFinished = true;
        if (setOverdueTimer != null) {
            setOverdueTimer.cancel();
        }
        return first;
    }
}
