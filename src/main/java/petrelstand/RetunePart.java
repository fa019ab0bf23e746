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
    private final HttpFront httpFront;
    private final NodeConnectionPool pool;
    private final Lifecycle lifecycle;
    private final Timers timers;
    private final LongSupplier clock;
    private final Consumer<String> log;
    private Set<String> closedClasses = Set.of();
    private Timers.Timer nextStep;

    RetunePart(
            Broker broker,
            HttpFront httpFront,
            NodeConnectionPool pool,
            Lifecycle lifecycle,
            Timers timers,
            LongSupplier clock,
            Consumer<String> log) {
        this.broker = broker;
        this.httpFront = httpFront;
        this.pool = pool;
        this.lifecycle = lifecycle;
        this.timers = timers;
        this.clock = clock;
        this.log = log;
    }

    /** Begins with another file's settings; steps of a former reload that are not yet due are never taken. */
    void start(Settings changed) {
        List<Step> steps = SettingsTransition.steps(broker.settings(), changed, closedClasses, clock.getAsLong());
        if (nextStep != null) {
            nextStep.cancel();
        }
        applyFirst(steps);
    }

    private void applyFirst(List<Step> steps) {
        Step step = steps.get(0);
        closedClasses = step.closedClasses();
        broker.updateSettings(step.settings());
        httpFront.applySettings(step.settings(), closedClasses);
        pool.applySettings(step.settings());
        lifecycle.setDelays(Lifecycle.Delays.of(step.settings()));
        log.accept("settings: classes "
                + String.join(
                        ", ",
                        step.settings().classes().stream()
                                .map(requestClass -> requestClass.name())
                                .filter(name -> !closedClasses.contains(name))
                                .toList())
                + "; at most " + step.settings().may().maxAttempts()
                + " attempts" + (steps.size() > 1 ? "; clients may go by the former file yet" : ""));
        List<Step> laterSteps = steps.subList(1, steps.size());
        nextStep = laterSteps.isEmpty() ? null : timers.schedule(laterSteps.get(0).atUs(), () -> applyFirst(laterSteps));
    }
}
