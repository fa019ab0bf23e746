package petrelstand;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import petrelstand.lifecycle.ExitStatus;

/**
 * Ends this process at once, with one line on standard error and a status of {@link ExitStatus}; the system closes its
 * sockets. All that this takes is allocated beforehand, since the cause may be that no memory is left. As the handler
 * of a thread's uncaught exceptions it marks a thread that the process can't do without.
 */
final class Terminator implements Thread.UncaughtExceptionHandler {
    /** A longer line is cut. */
    private static final int MAX_LINE_BYTES = 400;
    /** How long a line may take: standard error may be a pipe that nobody reads. */
    private static final long WRITE_TIMEOUT_NS = 50_000_000;

    private final byte[] line = new byte[MAX_LINE_BYTES + 1];
    private final FileOutputStream standardError = new FileOutputStream(FileDescriptor.err);
    private final AtomicBoolean terminating = new AtomicBoolean();
    private int length;
    private volatile int status;
    private volatile Thread standbyThread;

    Terminator() {
        // Used for the first time, these would load classes and make names.
        append("a rehearsal: ");
        append(OutOfMemoryError.class.getName());
        append(StackOverflowError.class.getName());
        append(0);
        length = 0;
        LockSupport.unpark(null);
    }

    /**
     * Names the thread that calls {@link #haltIfTerminating} whenever it wakes, and ends the process should the line not go out.
     */
    void standbyThread(Thread thread) {
        standbyThread = thread;
    }

    @Override
    public void uncaughtException(Thread thread, Throwable thrown) {
        if (!begin(ExitStatus.FATAL_ERROR)) {
            return;
        }
        append("thread ");
        append(thread.getName());
        append(" has ended by ");
        appendThrowable(thrown);
        end();
    }

    /** Ends the process; does nothing where it is being ended already. */
    void end(int exitStatus, String reason) {
        if (begin(exitStatus)) {
            append(reason);
            end();
        }
    }

    private boolean begin(int exitStatus) {
        if (!terminating.compareAndSet(false, true)) {
            return false;
        }
        status = exitStatus;
        LockSupport.unpark(standbyThread);
        append("petrelstand: fatal: ");
        return true;
    }

    /** What was thrown and, where there may be memory for that, at which place. */
    private void appendThrowable(Throwable thrown) {
        try {
            append(thrown.getClass().getName());
            if (thrown.getMessage() != null) {
                append(": ");
                append(thrown.getMessage());
            }
            if (!(thrown instanceof VirtualMachineError) && thrown.getStackTrace().length > 0) {
                append(" at ");
                append(thrown.getStackTrace()[0].toString());
            }
        } catch (Error | RuntimeException e) {
            append(" (no more is known)");
        }
    }

    private void end() {
        append("; the process ends with status ");
        append(status);
        line[length] = '\n';
        try {
            standardError.write(line, 0, length + 1);
        } catch (IOException | Error e) {
            // Nobody hears it; the status says it.
        }
        Runtime.getRuntime().halt(status);
    }

    /** Called by the standby thread: where the process is being ended, ends it when the line has had its time. */
    void haltIfTerminating() {
        if (!terminating.get()) {
            return;
        }
        long startNs = System.nanoTime();
        while (System.nanoTime() - startNs < WRITE_TIMEOUT_NS) {
            LockSupport.parkNanos(WRITE_TIMEOUT_NS);
        }
        Runtime.getRuntime().halt(status);
    }

    private void append(String text) {
        for (int i = 0; i < text.length() && length < MAX_LINE_BYTES; i++) {
            char c = text.charAt(i);
            line[length++] = (byte) (c >= ' ' && c < 0x7f ? c : '?');
        }
    }

    private void append(int number) {
        if (number >= 10) {
            append(number / 10);
        }
        if (length < MAX_LINE_BYTES) {
            line[length++] = (byte) ('0' + number % 10);
        }
    }
}
