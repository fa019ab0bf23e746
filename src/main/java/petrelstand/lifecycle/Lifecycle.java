package petrelstand.lifecycle;

import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.decision.Scheduling.Settings;

/**
 * What a gateway's process does with connections and requests in each part of its life, from the start to the end: a
 * function of what was asked of it, and when, and of the time. No timer belongs to it, so nothing of a former phase is
 * left behind where phases cross: whoever carries it out asks at the turn's time, and again at {@link #nextChangeUs}.
 *
 * <p>Times are microseconds of the loop's clock. Not for several threads, but for {@link #forcedEndUs}.
 */
public final class Lifecycle {
    /** The parts of a process's life; {@link #DRAINED} alone can be left for an earlier one. */
    public enum Phase {
        /** Its listeners are not open. */
        STARTING,
        /** It takes all that comes. */
        SERVING,
        /** An operator emptied it: it says no, its kept connections end, the process goes on. */
        DRAINED,
        /** SIGTERM came: what was taken is answered, and then the process ends. */
        ENDING
    }

    /**
     * The figures that it follows, µs.
     *
     * @param notedUs from a first no at {@code /ready} until nobody opens a connection here any more
     * @param drainedUs from the start of a drain until nothing new may be taken on any connection
     * @param lastOpenUs from SIGTERM until no connection is opened here any more, where no other process takes them
     * @param killUs from SIGTERM until the process may be killed
     */
    public record Delays(long readinessLagUs, long drainAcceptUs, long shutdownAcceptUs, long killUs) {
        /** The front asks ten times a second, and stops 0.2 s after a no; a tenth of a second is margin. */
        static final long READINESS_LAG_US = 400_000;
        /** A connection may not have a request of the last 2 s 4 s after the call; a tenth of a second is margin. */
        static final long DRAIN_ACCEPT_US = 1_900_000;
        /** Connections come for up to 0.4 s after SIGTERM; the rest is margin. */
        static final long SHUTDOWN_ACCEPT_US = 550_000;

        static final long MIN_DEADLINE_US = 3_000_000;
        static final long KILL_AFTER_US = 700_000;
        /** Before the kill: what has not ended by itself is ended then, so that it says so. */
        static final long FORCED_BEFORE_KILL_US = 50_000;

        public Delays {
            if (readinessLagUs < 0
                    || drainAcceptUs < readinessLagUs
                    || shutdownAcceptUs < 0
                    || killUs < shutdownAcceptUs) {
                throw new IllegalArgumentException("times out of order: " + readinessLagUs + ", " + drainAcceptUs + ", "
                        + shutdownAcceptUs + ", " + killUs);
            }
        }

        /** From SIGTERM until the process ends in any case: the longest deadline (3 s at least) and 0.65 s. */
        public long forcedEndUs() {
            return killUs - FORCED_BEFORE_KILL_US;
        }

        /** The platform's, under settings. */
        public static Delays of(Settings settings) {
            return of((long) (1000
                    * settings.classes().stream()
                            .mapToDouble(RequestClass::deadlineMs)
                            .max()
                            .orElseThrow()));
        }

        /** The platform's, where the longest deadline is so long. */
        public static Delays of(long longestDeadlineUs) {
            return new Delays(
                    READINESS_LAG_US,
                    DRAIN_ACCEPT_US,
                    SHUTDOWN_ACCEPT_US,
                    Math.max(MIN_DEADLINE_US, longestDeadlineUs) + KILL_AFTER_US);
        }
    }

    private static final long NEVER = Long.MAX_VALUE;
    /** Before the kill: an answer that is given by then is written whole. */
    static final long LAST_ANSWER_US = 200_000;
    /** With less time than this left a request is not begun. */
    static final long MIN_ALLOWED_TIME_US = 100_000;

    private static final long AGAIN_US = 500_000;

    /** Replaced on the loop's thread alone. */
    private volatile Delays setDelays;

    private Phase phase = Phase.STARTING;
    /** When the phase began. */
    private long sinceUs;
    /** A second process of this gateway listens at the same address. */
    private boolean setSuccessorListening;

    public Lifecycle(Delays times) {
        this.setDelays = times;
    }

    public Phase phase() {
        return phase;
    }

    /** Other settings: a process that is being ended keeps the times by which it was told to end. */
    public void setDelays(Delays changed) {
        if (phase != Phase.ENDING) {
            setDelays = changed;
        }
    }

    /** From SIGTERM until the process ends whatever its loop does, under the settings in use; from any thread. */
    public long forcedEndUs() {
        return setDelays.forcedEndUs();
    }

    // ---- What happens to it ----

    /** Its listeners are open. */
    public void startServing(long nowUs) {
        if (phase == Phase.STARTING) {
            enter(Phase.SERVING, nowUs);
        }
    }

    /**
     * An operator empties it. Asked again, the drain goes on from when it began; a process that is ending empties
     * itself anyway. False where it has not begun to serve.
     */
    public boolean evacuate(long nowUs) {
        if (phase == Phase.SERVING) {
            enter(Phase.DRAINED, nowUs);
        }
        return phase != Phase.STARTING;
    }

    /** The end of the drain, at any moment of it. False where it ends, or has not begun to serve. */
    public boolean rejoin(long nowUs) {
        if (phase == Phase.DRAINED) {
            enter(Phase.SERVING, nowUs);
        }
        return phase == Phase.SERVING;
    }

    /** SIGTERM; false where it had come before. */
    public boolean terminate(long nowUs) {
        if (phase == Phase.ENDING) {
            return false;
        }
        enter(Phase.ENDING, nowUs);
        return true;
    }

    /** Whether a second process of this gateway listens at the clients' address. */
    public void setSuccessorListening(boolean listens) {
        setSuccessorListening = listens;
    }

    private void enter(Phase next, long nowUs) {
        phase = next;
        sinceUs = nowUs;
    }

    // ---- What it means ----

    /** What {@code /ready} says at the clients' address. */
    public boolean isReady() {
        return phase == Phase.SERVING;
    }

    /** What {@code /api/ready} says at the operators' address: that this process can serve. */
    public boolean canServe() {
        return phase == Phase.SERVING || phase == Phase.DRAINED;
    }

    /** Whether an answer given now ends its connection. */
    public boolean closesAfterAnswer(long nowUs) {
        return phase == Phase.ENDING || phase == Phase.DRAINED && nowUs >= sinceUs + setDelays.readinessLagUs();
    }

    /** Whether connections close that are between requests. */
    public boolean closesIdleConnections(long nowUs) {
        return phase == Phase.ENDING ? !acceptsConnections(nowUs) : closesAfterAnswer(nowUs);
    }

    /**
     * Whether idle connections close some at a time: their clients come back at once, to a process that has just begun
     * or to other gateways. Where nobody takes them yet, the sooner this process is gone the better.
     */
    public boolean closesIdleGradually() {
        return phase == Phase.DRAINED || setSuccessorListening;
    }

    /** Whether new connections are taken: to the end of them after SIGTERM, unless the other process takes them. */
    public boolean acceptsConnections(long nowUs) {
        return phase == Phase.ENDING
                ? !setSuccessorListening && nowUs < sinceUs + setDelays.shutdownAcceptUs()
                : phase != Phase.STARTING;
    }

    /**
     * How long a request that has come whole may be waited for, µs, where its client waits so long; 0: it is refused at
     * once. Late in a drain nothing is taken, and after SIGTERM what is taken is given up in time for its answer to be
     * written before the process may be killed.
     */
    public long allowedTimeUs(long nowUs, long leftUs) {
        long lastUs = lastAnswerUs() - nowUs;
        return switch (phase) {
            case STARTING -> 0;
            case SERVING -> leftUs;
            case DRAINED -> nowUs < sinceUs + setDelays.drainAcceptUs() ? leftUs : 0;
            case ENDING -> leftUs <= lastUs ? leftUs : lastUs >= MIN_ALLOWED_TIME_US ? lastUs : 0;
        };
    }

    /**
     * When the last answer has to be given, once the process ends: what was taken before under longer deadlines too.
     */
    public long lastAnswerUs() {
        return phase == Phase.ENDING ? sinceUs + setDelays.killUs() - LAST_ANSWER_US : NEVER;
    }

    /**
     * When a request that is not taken may come again, µs: another gateway is told by then, or the next process serves.
     */
    public long retryAfterUs(long nowUs) {
        return phase == Phase.ENDING && !setSuccessorListening
                ? Math.max(AGAIN_US, sinceUs + setDelays.killUs() - nowUs)
                : AGAIN_US;
    }

    /** The next moment at which one of the answers above changes by time alone; Long.MAX_VALUE: none does. */
    public long nextChangeUs(long nowUs) {
        long next = NEVER;
        long[] moments = phase == Phase.DRAINED
                ? new long[] {setDelays.readinessLagUs(), setDelays.drainAcceptUs()}
                : phase == Phase.ENDING ? new long[] {setDelays.shutdownAcceptUs()} : new long[0];
        for (long moment : moments) {
            next = sinceUs + moment > nowUs ? Math.min(next, sinceUs + moment) : next;
        }
        return next;
    }
}
