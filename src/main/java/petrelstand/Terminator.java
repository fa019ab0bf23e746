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
    private static final int MOST_BYTES = 400;
    /** How long a line may take: standard error may be a pipe that nobody reads. */
    private static final long WRITE_NS = 50_000_000;

    private final byte[] line = new byte[MOST_BYTES + 1];
    private final FileOutputStream error = new FileOutputStream(FileDescriptor.err);
    private final AtomicBoolean ending = new AtomicBoolean();
    private int length;
    private volatile int status;
    private volatile Thread standby;

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
     * Names the thread that calls {@link #finish} whenever it wakes, and ends the process should the line not go out.
     */
    void standby(Thread thread) {
        standby = thread;
    }

    @Override
    public void uncaughtException(Thread thread, Throwable thrown) {
        if (!begin(ExitStatus.FATAL_ERROR)) {
            return;
        }
        append("thread ");
        append(thread.getName());
        append(" has ended by ");
        describe(thrown);
        end();
    }

    /** Ends the process; does nothing where it is being ended already. */
    void end(int with, String why) {
        if (begin(with)) {
            append(why);
            end();
        }
    }

    private boolean begin(int with) {
        if (!ending.compareAndSet(false, true)) {
            return false;
        }
        status = with;
        LockSupport.unpark(standby);
        append("petrelstand: fatal: ");
        return true;
    }

    /** What was thrown and, where there may be memory for that, at which place. */
    private void describe(Throwable thrown) {
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
            error.write(line, 0, length + 1);
        } catch (IOException | Error e) {
            // Nobody hears it; the status says it.
        }
        Runtime.getRuntime().halt(status);
    }

    /** Called by the standby thread: where the process is being ended, ends it when the line has had its time. */
    void finish() {
        if (!ending.get()) {
            return;
        }
        long begun = System.nanoTime();
        while (System.nanoTime() - begun < WRITE_NS) {
            LockSupport.parkNanos(WRITE_NS);
        }
        Runtime.getRuntime().halt(status);
    }

    private void append(String text) {
        for (int i = 0; i < text.length() && length < MOST_BYTES; i++) {
            char c = text.charAt(i);
            line[length++] = (byte) (c >= ' ' && c < 0x7f ? c : '?');
        }
    }

    private void append(int number) {
        if (number >= 10) {
            append(number / 10);
        }
        if (length < MOST_BYTES) {
            line[length++] = (byte) ('0' + number % 10);
        }
    }
}
