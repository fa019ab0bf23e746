package petrelstand.net;

/**
 * What the loop's thread does with an {@link Error}. Jetty catches and logs errors, or hands them on as the fault of
 * one connection, and goes on; a process out of memory or classes must not. So wherever Jetty calls this program's
 * code, and wherever it hands on a failure, an error is told to the thread's handler of uncaught exceptions, as if it
 * had ended the thread. In a serving process that handler ends the process; without one the error is printed, and goes
 * where it would have gone.
 */
public final class FatalErrors {
    /** Causes of causes that are looked at. */
    private static final int MOST_CAUSES = 8;

    private FatalErrors() {}

    /** Tells the thread's handler of uncaught exceptions; allocates nothing. */
    static void report(Error error) {
        Thread thread = Thread.currentThread();
        thread.getUncaughtExceptionHandler().uncaughtException(thread, error);
    }

    /** Throws the error that a failure is, or was caused by; returns where there is none. */
    public static void rethrowIfError(Throwable failure) {
        Throwable cause = failure;
        for (int depth = 0; cause != null && depth < MOST_CAUSES; depth++) {
            if (cause instanceof Error error) {
                report(error);
                throw error;
            }
            cause = cause.getCause();
        }
    }
}
