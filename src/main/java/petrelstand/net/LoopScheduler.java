package petrelstand.net;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import petrelstand.core.Timers;

/** Schedules Jetty's timeouts on the loop's timers. */
final class LoopScheduler extends AbstractLifeCycle implements Scheduler {
    private final LoopClock clock;
    private final Timers timers;

    LoopScheduler(LoopClock clock, Timers timers) {
        this.clock = clock;
        this.timers = timers;
    }

    @Override
    public Task schedule(Runnable task, long delay, TimeUnit units) {
        return timers.schedule(clock.nowUs() + units.toMicros(delay), task)::cancel;
    }
}
