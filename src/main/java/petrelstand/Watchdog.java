package petrelstand;

import java.util.concurrent.locks.LockSupport;
import petrelstand.lifecycle.ExitStatus;
import petrelstand.lifecycle.StallDetector;
import petrelstand.net.EventLoop;

/**
 * A thread that ends the process when the event loop has stalled. Once a period it counts the loop's iterations; it
 * wakes a loop that may be idle, so that an idle loop is not taken for a stalled one.
 */
final class Watchdog {
    private final EventLoop loop;
    private final Terminator terminator;

    private Watchdog(EventLoop loop, Terminator terminator) {
        this.loop = loop;
        this.terminator = terminator;
    }

    /** Starts the watchdog of a loop, which need not run yet. */
    static void start(EventLoop loop, Terminator terminator) {
        Thread thread = new Thread(new Watchdog(loop, terminator)::run, "watchdog");
        thread.setDaemon(true);
        thread.setUncaughtExceptionHandler(terminator);
        terminator.standbyThread(thread);
        thread.start();
    }

    private void run() {
        StallDetector detector =
                new StallDetector(System.nanoTime(), loop.monitor().iterations());
        while (true) {
            LockSupport.parkNanos(StallDetector.PERIOD_NS);
            terminator.haltIfTerminating();
            if (detector.observe(System.nanoTime(), loop.monitor().iterations())) {
                terminator.end(
                        ExitStatus.LOOP_STALLED,
                        "the loop has not turned for " + StallDetector.LIMIT_NS / StallDetector.PERIOD_NS
                                + " s; it is at " + loop.currentStackFrame());
            }
            if (detector.mayBeIdle()) {
                loop.wake();
            }
        }
    }
}
