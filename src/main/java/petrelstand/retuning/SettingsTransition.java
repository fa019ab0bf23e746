package petrelstand.retuning;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import petrelstand.decision.Scheduling.Capabilities;
import petrelstand.decision.Scheduling.DedupGroup;
import petrelstand.decision.Scheduling.Effect;
import petrelstand.decision.Scheduling.Plan;
import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.decision.Scheduling.Rules;
import petrelstand.decision.Scheduling.Settings;

/**
 * Decides what settings hold while those of one file give way to those of another. From the reload on until clients go
 * by the new file, a request may come by either, so what both allow is allowed: the stricter effect, the fewer
 * attempts, the shorter deadline. Then the new file holds. A class keeps its place for good, so that a place means one
 * class in every request and count; one that is dropped is still taken while repeats of its open requests may come, and
 * then refused as unknown.
 *
 * <p>Classes and capabilities change so; what else the settings hold needs a restart.
 */
public final class SettingsTransition {
    /** Clients name a new class so long after the reload, ms, and its rules bind from then. */
    static final double NEW_RULES_DELAY_MS = 1_200;
    /** Classes that a process can have known: each takes a place for good. */
    static final int MAX_CLASSES = 256;

    private static final double US = 1000;

    /** Settings in use from a time on, µs, and the names of classes that are no longer taken then. */
    public record Step(long atUs, Settings settings, Set<String> closedClasses) {}

    private SettingsTransition() {}

    /**
     * What holds after a reload, in order of time; the first step holds from now on.
     *
     * @param inUse the settings that hold now, whichever step they are of
     * @param changed the new file's
     * @param closed names of classes that are no longer taken now
     * @throws IllegalArgumentException where more classes would be known than a process can
     */
    public static List<Step> steps(Settings inUse, Settings changed, Set<String> closed, long nowUs) {
        Set<String> named = names(changed);
        Set<String> reopened = new HashSet<>(closed);
        reopened.removeAll(named);
        Settings between = with(inUse, classes(inUse, changed, true), fewer(inUse.may(), changed.may()));
        Settings after = with(inUse, classes(inUse, changed, false), changed.may());
        double longestMs = inUse.classes().stream()
                .mapToDouble(RequestClass::deadlineMs)
                .max()
                .orElseThrow();
        Set<String> dropped = new HashSet<>(names(between));
        dropped.removeAll(named);
        long bindsUs = nowUs + (long) (US * NEW_RULES_DELAY_MS);
        List<Step> steps =
                new ArrayList<>(List.of(new Step(nowUs, between, reopened), new Step(bindsUs, after, reopened)));
        if (!dropped.equals(reopened)) {
            steps.add(new Step(bindsUs + (long) (US * longestMs), after, dropped));
        }
        return steps;
    }

    /** What differs that only a restart can take, by the names that the file has for it. */
    public static List<String> restartOnlyChanges(Settings inUse, Settings changed) {
        List<String> names = new ArrayList<>();
        note(names, "plans", inUse.plans().equals(changed.plans()));
        note(names, "rules", inUse.rules().equals(changed.rules()));
        Settings rest = with(inUse, changed.classes(), changed.plans(), changed.may(), changed.rules());
        note(
                names,
                "balancers, index, zone, period_ms, discovery, extra, report or failure_domains",
                rest.equals(changed));
        return names;
    }

    private static void note(List<String> names, String name, boolean same) {
        if (!same) {
            names.add(name);
        }
    }

    private static Set<String> names(Settings settings) {
        Set<String> names = new HashSet<>();
        settings.classes().forEach(kind -> names.add(kind.name()));
        return names;
    }

    private static List<RequestClass> classes(Settings inUse, Settings changed, boolean both) {
        List<RequestClass> classes = new ArrayList<>();
        for (RequestClass old : inUse.classes()) {
            RequestClass now = find(changed.classes(), old.name());
            classes.add(now == null ? dropped(old, both) : both ? stricterOf(old, now) : now);
        }
        changed.classes().stream()
                .filter(now -> find(inUse.classes(), now.name()) == null)
                .forEach(classes::add);
        if (classes.size() > MAX_CLASSES) {
            throw new IllegalArgumentException("settings: classes: " + classes.size() + " since the start, where "
                    + MAX_CLASSES + " can be known; a restart forgets those that were dropped");
        }
        return classes;
    }

    private static RequestClass find(List<RequestClass> classes, String name) {
        return classes.stream()
                .filter(kind -> kind.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** Once dropped, its aim must not be the tightest, from which the slot of the emulation is made. */
    private static RequestClass dropped(RequestClass old, boolean inUse) {
        return inUse
                ? old
                : new RequestClass(
                        old.name(),
                        old.deadlineMs(),
                        old.aimStretch(),
                        old.deadlineMs(),
                        old.worth(),
                        old.lateWorth(),
                        old.effect(),
                        old.group(),
                        old.repeatWindowMs(),
                        old.ordered(),
                        old.streamed(),
                        old.writes());
    }

    /** What both allow of a class; for the rest, which breaks no rule, the new figures. */
    static RequestClass stricterOf(RequestClass old, RequestClass now) {
        Effect effect =
                Effect.values()[Math.max(old.effect().ordinal(), now.effect().ordinal())];
        boolean bothKeyed = old.effect() == Effect.KEYED && now.effect() == Effect.KEYED;
        RequestClass keyed = old.effect() == Effect.KEYED ? old : now;
        DedupGroup group = bothKeyed ? narrower(old.group(), now.group()) : keyed.group();
        double window = bothKeyed ? Math.min(old.repeatWindowMs(), now.repeatWindowMs()) : keyed.repeatWindowMs();
        return new RequestClass(
                now.name(),
                now.aimMs(),
                now.aimStretch(),
                Math.min(old.deadlineMs(), now.deadlineMs()),
                now.worth(),
                now.lateWorth(),
                effect,
                group,
                window,
                old.ordered() || now.ordered(),
                now.streamed(),
                now.writes());
    }

    private static DedupGroup narrower(DedupGroup one, DedupGroup other) {
        return DedupGroup.values()[Math.max(one.ordinal(), other.ordinal())];
    }

    private static Capabilities fewer(Capabilities old, Capabilities now) {
        return new Capabilities(
                Math.min(old.maxAttempts(), now.maxAttempts()),
                old.cancel() && now.cancel(),
                old.probes() && now.probes(),
                old.peerMessages() && now.peerMessages(),
                old.secondCopies() && now.secondCopies(),
                old.retryAfter() && now.retryAfter(),
                Math.min(old.maxRetryAfterMs(), now.maxRetryAfterMs()),
                Math.min(old.connectTimeoutMs(), now.connectTimeoutMs()),
                Math.min(old.idleCloseMs(), now.idleCloseMs()));
    }

    private static Settings with(Settings of, List<RequestClass> classes, Capabilities may) {
        return with(of, classes, of.plans(), may, of.rules());
    }

    private static Settings with(
            Settings of, List<RequestClass> classes, List<Plan> plans, Capabilities may, Rules rules) {
        return new Settings(
                of.hosts(),
                of.index(),
                of.zone(),
                of.tickMs(),
                classes,
                plans,
                of.discovery(),
                may,
                rules,
                of.coldUnits(),
                of.meanUnits(),
                of.mostUnits(),
                of.shareWorth(),
                of.spareWorth(),
                of.meterMs(),
                of.tellsOthers(),
                of.loadNames(),
                of.zones());
    }
}
