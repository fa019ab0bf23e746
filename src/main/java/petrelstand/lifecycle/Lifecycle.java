package petrelstand.lifecycle;

import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.decision.Scheduling.Settings;

/**
 * What a gateway process does with connections and requests in each phase of its life. All answers are functions of the
 * operator's and the system's requests, their times, and the current time. No timers are used, so that none is left
 * over from an earlier phase; the caller asks again at {@link #nextChangeUs}.
 *
 * <p>Times are microseconds of the event loop's clock. Not thread-safe, except {@link #forcedEndUs}.
 */
public final class Lifecycle {
    /** The phases of a process. Only {@link #DRAINED} can be left for an earlier one, by {@link #rejoin}. */
    public enum Phase {
        /** The listeners are not open. */
        STARTING,
        /** Connections and requests are accepted. */
        SERVING,
        /** Evacuated by an operator: not ready, connections are closed, but the process stays. */
        DRAINED,
        /** SIGTERM was received: accepted requests are answered, then the process ends. */
        ENDING
    }

    /**
     * The delays after which the process changes its behaviour within a phase, in microseconds.
     *
     * @param readinessLagUs from the first "not ready" at {@code /ready} until no client opens a new connection
     * @param drainAcceptUs from the start of a drain until no request is accepted on any connection
     * @param shutdownAcceptUs from SIGTERM until no connection is accepted, unless another process accepts them
     * @param killUs from SIGTERM until the process may be killed
     */
    public record Delays(long readinessLagUs, long drainAcceptUs, long shutdownAcceptUs, long killUs) {
        /** The platform polls ten times a second and stops connecting 0.2 s after "not ready"; 0.1 s is margin. */
        static final long READINESS_LAG_US = 400_000;
        /** 4 s after the call no connection may have had a request in the last 2 s; 0.1 s is margin. */
        static final long DRAIN_ACCEPT_US = 1_900_000;
        /** Connections arrive for up to 0.4 s after SIGTERM; the rest is margin. */
        static final long SHUTDOWN_ACCEPT_US = 550_000;

        /** A longer deadline counts as this one for the time of the kill. */
        static final long MAX_COUNTED_DEADLINE_US = 3_000_000;

        static final long KILL_AFTER_DEADLINE_US = 700_000;
        /** The process ends itself this long before it may be killed, so that it logs why. */
        static final long FORCED_END_BEFORE_KILL_US = 50_000;

        /** Throws IllegalArgumentException if the delays are negative or out of order. */
        public Delays {
            if (readinessLagUs < 0
                    || drainAcceptUs < readinessLagUs
                    || shutdownAcceptUs < 0
                    || killUs < shutdownAcceptUs) {
                throw new IllegalArgumentException("lifecycle delays in us are negative or out of order: readiness lag "
                        + readinessLagUs + ", drain accept " + drainAcceptUs + ", shutdown accept "
                        + shutdownAcceptUs + ", kill " + killUs);
            }
        }

        /** From SIGTERM until the process ends in any case: the longest deadline, 3 s at most, plus 0.65 s. */
        public long forcedEndUs() {
            return killUs - FORCED_END_BEFORE_KILL_US;
        }

        /** The platform's delays under settings. */
        public static Delays of(Settings settings) {
            return of((long) (1000
                    * settings.classes().stream()
                            .mapToDouble(RequestClass::deadlineMs)
                            .max()
                            .orElseThrow()));
        }

        /** The platform's delays for the longest deadline of any class, in microseconds. */
        public static Delays of(long longestDeadlineUs) {
            return new Delays(
                    READINESS_LAG_US,
                    DRAIN_ACCEPT_US,
                    SHUTDOWN_ACCEPT_US,
                    Math.min(MAX_COUNTED_DEADLINE_US, longestDeadlineUs) + KILL_AFTER_DEADLINE_US);
        }
    }

    private static final long NEVER = Long.MAX_VALUE;
    /** Time before the kill by which an answer must be given to be written completely. */
    static final long LAST_ANSWER_BEFORE_KILL_US = 200_000;
    /** A request that can be given less time than this is refused. */
    static final long MIN_ALLOWED_TIME_US = 100_000;

    private static final long MIN_RETRY_AFTER_US = 500_000;

    /** Written only by the event loop's thread. */
    private volatile Delays delays;

    private Phase phase = Phase.STARTING;
    private long phaseStartUs;
    /** A second process of this gateway listens at the same address, in a hot restart. */
    private boolean successorListening;

    public Lifecycle(Delays delays) {
        this.delays = delays;
    }

    public Phase phase() {
        return phase;
    }

    /** Replaces the delays; ignored after SIGTERM, when the time of the kill is fixed. */
    public void setDelays(Delays changed) {
        if (phase != Phase.ENDING) {
            delays = changed;
        }
    }

    /** From SIGTERM until the process ends even if its event loop does not; callable from any thread. */
    public long forcedEndUs() {
        return delays.forcedEndUs();
    }

    // ---- Changes ----

    /** Records that the listeners are open. */
    public void startServing(long nowUs) {
        if (phase == Phase.STARTING) {
            enter(Phase.SERVING, nowUs);
        }
    }

    /**
     * Starts draining at an operator's request. Repeated calls don't restart the drain, and a process that is ending
     * ignores it. Returns false if the process has not begun to serve.
     */
    public boolean evacuate(long nowUs) {
        if (phase == Phase.SERVING) {
            enter(Phase.DRAINED, nowUs);
        }
        return phase != Phase.STARTING;
    }

    /** Ends a drain; returns false if the process is ending or has not begun to serve. */
    public boolean rejoin(long nowUs) {
        if (phase == Phase.DRAINED) {
            enter(Phase.SERVING, nowUs);
        }
        return phase == Phase.SERVING;
    }

    /** Handles SIGTERM; returns false for a repeated one. */
    public boolean terminate(long nowUs) {
        if (phase == Phase.ENDING) {
            return false;
        }
        enter(Phase.ENDING, nowUs);
        return true;
    }

    /** Sets whether a second process of this gateway listens at the clients' address. */
    public void setSuccessorListening(boolean listening) {
        successorListening = listening;
    }

    private void enter(Phase next, long nowUs) {
        phase = next;
        phaseStartUs = nowUs;
    }

    // ---- Consequences ----

    /** Whether {@code /ready} at the clients' address reports that the process is ready. */
    public boolean isReady() {
        return phase == Phase.SERVING;
    }

    /** Whether {@code /api/ready} at the operators' address reports that the process is able to serve. */
    public boolean canServe() {
        return phase == Phase.SERVING || phase == Phase.DRAINED;
    }

    /** Whether the connection of an answer given now is closed after it. */
    public boolean closesAfterAnswer(long nowUs) {
        return phase == Phase.ENDING || phase == Phase.DRAINED && nowUs >= phaseStartUs + delays.readinessLagUs();
    }

    /** Whether connections between two requests are closed. */
    public boolean closesIdleConnections(long nowUs) {
        return phase == Phase.ENDING ? !acceptsConnections(nowUs) : closesAfterAnswer(nowUs);
    }

    /**
     * Whether idle connections are closed a few at a time, because their clients reconnect at once to another process
     * or gateway. Without another process that takes them they are closed together, which ends this one sooner.
     */
    public boolean closesIdleGradually() {
        return phase == Phase.DRAINED || successorListening;
    }

    /** Whether new connections are accepted; after SIGTERM for a while, unless a second process accepts them. */
    public boolean acceptsConnections(long nowUs) {
        return phase == Phase.ENDING
                ? !successorListening && nowUs < phaseStartUs + delays.shutdownAcceptUs()
                : phase != Phase.STARTING;
    }

    /**
     * How long the client of a completely received request is kept waiting at most, in microseconds; 0 refuses the
     * request. Late in a drain every request is refused. After SIGTERM the time is shortened so that the answer can be
     * written before the process may be killed.
     *
     * @param leftUs how long the client is willing to wait
     */
    public long allowedTimeUs(long nowUs, long leftUs) {
        long untilLastAnswerUs = lastAnswerUs() - nowUs;
        return switch (phase) {
            case STARTING -> 0;
            case SERVING -> leftUs;
            case DRAINED -> nowUs < phaseStartUs + delays.drainAcceptUs() ? leftUs : 0;
            case ENDING ->
                leftUs <= untilLastAnswerUs ? leftUs : untilLastAnswerUs >= MIN_ALLOWED_TIME_US ? untilLastAnswerUs : 0;
        };
    }

    /** By when the last answer must be given after SIGTERM, whatever its deadline; Long.MAX_VALUE before. */
    public long lastAnswerUs() {
        return phase == Phase.ENDING ? phaseStartUs + delays.killUs() - LAST_ANSWER_BEFORE_KILL_US : NEVER;
    }

    /**
     * After how many microseconds a refused client should retry: by then it is routed to another gateway, or the next
     * process of this one serves.
     */
    public long retryAfterUs(long nowUs) {
        return phase == Phase.ENDING && !successorListening
                ? Math.max(MIN_RETRY_AFTER_US, phaseStartUs + delays.killUs() - nowUs)
                : MIN_RETRY_AFTER_US;
    }

    /** When one of the answers above next changes by time alone; Long.MAX_VALUE if none does. */
    public long nextChangeUs(long nowUs) {
        long next = NEVER;
        long[] changesUs = phase == Phase.DRAINED
                ? new long[] {delays.readinessLagUs(), delays.drainAcceptUs()}
                : phase == Phase.ENDING ? new long[] {delays.shutdownAcceptUs()} : new long[0];
        for (long changeUs : changesUs) {
            next = phaseStartUs + changeUs > nowUs ? Math.min(next, phaseStartUs + changeUs) : next;
        }
        return next;
    }
}
