package petrelstand.lifecycle;

/** Exit statuses of the serving process; docs/ONCALL.md describes the operator's response to each. */
public final class ExitStatus {
    /** All accepted requests were answered. */
    public static final int ENDED = 0;
    /** The start failed, for example on an invalid file or an address in use. */
    public static final int START_FAILED = 1;
    /** A required thread has ended or thrown an Error. */
    public static final int FATAL_ERROR = 70;
    /** The event loop was stalled for {@link StallDetector#LIMIT_NS}. */
    public static final int LOOP_STALLED = 71;
    /** The shutdown after SIGTERM or SIGINT took longer than {@link Lifecycle.Delays#forcedEndUs()}. */
    public static final int SHUTDOWN_OVERDUE = 72;

    private ExitStatus() {}
}
