package petrelstand;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import petrelstand.core.Broker;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.http.HttpFront;
import petrelstand.http.NodeConnectionPool;
import petrelstand.lifecycle.Lifecycle;
import petrelstand.retuning.SettingsTransition;
import petrelstand.retuning.SettingsTransition.Step;

/** Brings other settings into a running gateway's parts, one step after another. On the loop's thread. */
final class RetunePart {
    private final Broker broker;
    private final HttpFront front;
    private final NodeConnectionPool pool;
    private final Lifecycle life;
    private final Timers timers;
    private final LongSupplier clock;
    private final Consumer<String> log;
    private Set<String> closed = Set.of();
    private Timers.Timer next;

    RetunePart(
            Broker broker,
            HttpFront front,
            NodeConnectionPool pool,
            Lifecycle life,
            Timers timers,
            LongSupplier clock,
            Consumer<String> log) {
        this.broker = broker;
        this.front = front;
        this.pool = pool;
        this.life = life;
        this.timers = timers;
        this.clock = clock;
        this.log = log;
    }

    /** Begins with another file's settings; steps of a former reload that are not yet due are never taken. */
    void begin(Settings changed) {
        List<Step> steps = SettingsTransition.steps(broker.settings(), changed, closed, clock.getAsLong());
        if (next != null) {
            next.cancel();
        }
        take(steps);
    }

    private void take(List<Step> steps) {
        Step step = steps.get(0);
        closed = step.closedClasses();
        broker.updateSettings(step.settings());
        front.applySettings(step.settings(), closed);
        pool.applySettings(step.settings());
        life.setDelays(Lifecycle.Delays.of(step.settings()));
        log.accept("settings: classes "
                + String.join(
                        ", ",
                        step.settings().classes().stream()
                                .map(kind -> kind.name())
                                .filter(name -> !closed.contains(name))
                                .toList())
                + "; at most " + step.settings().may().maxAttempts()
                + " attempts" + (steps.size() > 1 ? "; clients may go by the former file yet" : ""));
        List<Step> rest = steps.subList(1, steps.size());
        next = rest.isEmpty() ? null : timers.schedule(rest.get(0).atUs(), () -> take(rest));
    }
}
