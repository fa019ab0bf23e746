package petrelstand;

import java.util.concurrent.locks.LockSupport;
import petrelstand.lifecycle.ExitStatus;
import petrelstand.lifecycle.StallDetector;
import petrelstand.net.EventLoop;

/**
 * A thread that ends the process when its event loop stands still. It wakes once a period, and a loop that is idle
 * then.
 */
final class Watchdog {
    private final EventLoop loop;
    private final Terminator terminator;

    private Watchdog(EventLoop loop, Terminator terminator) {
        this.loop = loop;
        this.terminator = terminator;
    }

    /** Watches a loop that has been started, or will be. */
    static void start(EventLoop loop, Terminator terminator) {
        Thread thread = new Thread(new Watchdog(loop, terminator)::run, "watchdog");
        thread.setDaemon(true);
        thread.setUncaughtExceptionHandler(terminator);
        terminator.standbyThread(thread);
        thread.start();
    }

    private void run() {
        StallDetector detector = new StallDetector(System.nanoTime(), loop.iterations());
        while (true) {
            LockSupport.parkNanos(StallDetector.PERIOD_NS);
            terminator.haltIfTerminating();
            if (detector.observe(System.nanoTime(), loop.iterations())) {
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
