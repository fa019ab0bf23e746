package petrelstand.lifecycle;

/** The statuses with which a serving process ends by itself; docs/ONCALL.md says what an operator does with each. */
public final class ExitStatus {
    /** All that was taken is answered. */
    public static final int ENDED = 0;
    /** It could not start: a wrong file, or an address that is taken. */
    public static final int START_FAILED = 1;
    /** A thread that it can't do without has ended, or thrown an Error. */
    public static final int FATAL_ERROR = 70;
    /** Its event loop has stood still for {@link StallDetector#LIMIT_NS}. */
    public static final int LOOP_STALLED = 71;
    /** After SIGTERM or SIGINT it had not ended by itself in {@link Lifecycle.Delays#forcedEndUs()}. */
    public static final int SHUTDOWN_OVERDUE = 72;

    private ExitStatus() {}
}
