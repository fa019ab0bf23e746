package petrelstand.core;

import java.util.ArrayList;
import java.util.List;
import petrelstand.decision.Scheduling.Effect;
import petrelstand.decision.Scheduling.RequestClass;

/**
 * A request from its acceptance to its one final answer. Holds the message that the client sent, in the form of its
 * wire protocol, and the handler that answers the client.
 */
public final class Exchange {
    private final long id;
    private final Demand demand;
    private final RequestClass requestClass;
    private final Object message;
    private final ClientHandler client;
    private final RequestProgress progress;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private Timers.Timer overdueTimer;
    /** When the overdue timer is due; Long.MAX_VALUE if none is set. */
    private long overdueCheckUs = Long.MAX_VALUE;
    /** Events of this exchange that the module has not handled yet. */
    private int pendingEvents;

    private final ModuleNotices notices = new ModuleNotices();

    Exchange(
            long id,
            Demand demand,
            RequestClass requestClass,
            Object message,
            ClientHandler client,
            RequestProgress progress) {
        this.id = id;
        this.demand = demand;
        this.requestClass = requestClass;
        this.message = message;
        this.client = client;
        this.progress = progress;
    }

    public long id() {
        return id;
    }

    public Demand demand() {
        return demand;
    }

    /** The class as the settings defined it when the request was accepted. */
    public RequestClass requestClass() {
        return requestClass;
    }

    /** The request in the form of its wire protocol. */
    public Object message() {
        return message;
    }

    public ClientHandler client() {
        return client;
    }

    /** How far the request has come. */
    RequestProgress progress() {
        return progress;
    }

    /**
     * When the client stops waiting, in microseconds of the loop's clock; not before, while it is still sending a body.
     */
    public long deadlineUs() {
        return progress.deadlineUs();
    }

    /** True once the final answer was given or the client has left. */
    public boolean isFinished() {
        return progress.isFinished();
    }

    /** True once bytes were passed on, so that no other attempt can follow; see {@link Attempt#commit}. */
    public boolean isCommitted() {
        return progress.isCommitted();
    }

    List<Attempt> attempts() {
        return attempts;
    }

    /** The most recent attempt; null if there is none. */
    Attempt lastAttempt() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
    }

    /** The most recent attempt if it has not ended, else null. */
    public Attempt activeAttempt() {
        Attempt last = lastAttempt();
        return last == null || last.isEnded() ? null : last;
    }

    boolean hasActiveAttempt() {
        return attempts.stream().anyMatch(attempt -> !attempt.isEnded());
    }

    /** Records an event that waits for the module. */
    void eventQueued() {
        pendingEvents++;
    }

    /** Records that the module has handled an event. */
    void eventHandled() {
        pendingEvents--;
    }

    /** True if the exchange is over: it has its final answer, no active attempt, and the module knows all of it. */
    boolean isDone() {
        return isFinished() && pendingEvents == 0 && !hasActiveAttempt();
    }

    /**
     * When the same request may be taken again, at the end of this one; 0 if at once, because no node can have run it
     * or its class may be repeated. Nodes recognise a repeat, and may yet run the first copy, until then.
     */
    public long repeatableAfterUs(long nowUs) {
        boolean mayHaveRun = attempts.stream().anyMatch(Attempt::mayHaveRun);
        if (!mayHaveRun || requestClass.effect() == Effect.REPEATABLE) {
            return 0;
        }
        return nowUs + repeatWindowUs(requestClass);
    }

    /** For how long nodes recognise a repeat of a class, and may yet run the first copy, in microseconds. */
    public static long repeatWindowUs(RequestClass requestClass) {
        return Broker.toUs(Math.max(requestClass.repeatWindowMs(), requestClass.deadlineMs()));
    }

    /** What the module has been told of this exchange. */
    ModuleNotices notices() {
        return notices;
    }

    /** When the next check for an overdue answer is due; Long.MAX_VALUE if none is. */
    long overdueCheckUs() {
        return overdueCheckUs;
    }

    /** Sets the timer of the next check for an overdue answer; replaces an earlier one. */
    void setOverdueTimer(long dueUs, Timers.Timer timer) {
        cancelOverdueTimer();
        overdueCheckUs = dueUs;
        overdueTimer = timer;
    }

    void cancelOverdueTimer() {
        overdueCheckUs = Long.MAX_VALUE;
        if (overdueTimer != null) {
            overdueTimer.cancel();
        }
    }

    /** Claims the right to give the final answer; true for the first caller only. */
    boolean finish() {
        cancelOverdueTimer();
        return progress.finish();
    }
}
