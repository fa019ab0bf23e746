package petrelstand.net;

/**
 * Reports each {@link Error} on the loop's thread to the thread's uncaught exception handler.
 *
 * <p>Jetty catches errors and logs them or treats them as the failure of one connection. A process that has run out of
 * memory or can't load a class must not continue like that, so every place where Jetty calls the gateway's code or
 * passes it a failure reports errors here. The handler of a serving gateway ends the process. Without a handler the
 * error is printed and thrown on.
 */
public final class FatalErrors {
    /** Bounds the search through a chain of causes, which may be a cycle. */
    private static final int MAX_CAUSE_DEPTH = 8;

    private FatalErrors() {}

    /** Calls the thread's uncaught exception handler; allocates nothing, since memory may have run out. */
    static void report(Error error) {
        Thread thread = Thread.currentThread();
        thread.getUncaughtExceptionHandler().uncaughtException(thread, error);
    }

    /** Reports and throws the error if the failure is one or was caused by one; otherwise returns. */
    public static void rethrowIfError(Throwable failure) {
        Throwable cause = failure;
        for (int depth = 0; cause != null && depth < MAX_CAUSE_DEPTH; depth++) {
            if (cause instanceof Error error) {
                report(error);
                throw error;
            }
            cause = cause.getCause();
        }
    }
}
