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
 * Plans the transition from the settings in use to those of a reloaded file. For a while after the reload clients may
 * follow either file, so that the stricter of the two holds: the more restrictive effect, the fewer attempts, the
 * shorter deadline. Then the new settings hold.
 *
 * <p>A class keeps its index for the life of the process, because requests and counts refer to it. A class that the new
 * file drops is accepted until its open requests can no longer be repeated, and then refused as unknown.
 *
 * <p>Only classes and capabilities change; other differences need a restart, see {@link #restartOnlyChanges}.
 */
public final class SettingsTransition {
    /** Delay from the reload until clients know the new classes and the new settings hold alone, ms. */
    static final double NEW_RULES_DELAY_MS = 1_200;
    /** The number of classes that a process can know, dropped ones included. */
    static final int MAX_CLASSES = 256;

    private static final double US_PER_MS = 1000;

    /** Settings that hold from {@code atUs} on, and the names of the classes that are refused from then on. */
    public record Step(long atUs, Settings settings, Set<String> closedClasses) {}

    private SettingsTransition() {}

    /**
     * Returns the steps of the transition in order of time; the first one holds from {@code nowUs} on.
     *
     * @param inUse the current settings, which may be those of an earlier transition's step
     * @param changed the settings of the new file
     * @param closedClasses the names of the classes that are refused now
     * @throws IllegalArgumentException if more than {@link #MAX_CLASSES} classes would be known
     */
    public static List<Step> steps(Settings inUse, Settings changed, Set<String> closedClasses, long nowUs) {
        Set<String> changedNames = classNames(changed);
        Set<String> stillClosed = new HashSet<>(closedClasses);
        stillClosed.removeAll(changedNames);
        Settings interim =
                with(inUse, mergedClasses(inUse, changed, true), stricterCapabilities(inUse.may(), changed.may()));
        Settings last = with(inUse, mergedClasses(inUse, changed, false), changed.may());
        double longestDeadlineMs = inUse.classes().stream()
                .mapToDouble(RequestClass::deadlineMs)
                .max()
                .orElseThrow();
        Set<String> droppedNames = new HashSet<>(classNames(interim));
        droppedNames.removeAll(changedNames);
        long newRulesUs = nowUs + (long) (US_PER_MS * NEW_RULES_DELAY_MS);
        List<Step> steps = new ArrayList<>(
                List.of(new Step(nowUs, interim, stillClosed), new Step(newRulesUs, last, stillClosed)));
        if (!droppedNames.equals(stillClosed)) {
            steps.add(new Step(newRulesUs + (long) (US_PER_MS * longestDeadlineMs), last, droppedNames));
        }
        return steps;
    }

    /** The keys, as the settings file names them, of differences that take effect only at a restart. */
    public static List<String> restartOnlyChanges(Settings inUse, Settings changed) {
        List<String> keys = new ArrayList<>();
        addUnlessSame(keys, "plans", inUse.plans().equals(changed.plans()));
        addUnlessSame(keys, "rules", inUse.rules().equals(changed.rules()));
        Settings otherwiseChanged = with(inUse, changed.classes(), changed.plans(), changed.may(), changed.rules());
        addUnlessSame(
                keys,
                "balancers, index, zone, period_ms, discovery, extra, report or failure_domains",
                otherwiseChanged.equals(changed));
        return keys;
    }

    private static void addUnlessSame(List<String> keys, String key, boolean same) {
        if (!same) {
            keys.add(key);
        }
    }

    private static Set<String> classNames(Settings settings) {
        Set<String> names = new HashSet<>();
        settings.classes().forEach(requestClass -> names.add(requestClass.name()));
        return names;
    }

    /**
     * The classes in use at their indexes, followed by the new ones.
     *
     * @param interim whether clients may still follow the previous file, so that the stricter of both holds
     */
    private static List<RequestClass> mergedClasses(Settings inUse, Settings changed, boolean interim) {
        List<RequestClass> classes = new ArrayList<>();
        for (RequestClass oldClass : inUse.classes()) {
            RequestClass newClass = findClass(changed.classes(), oldClass.name());
            classes.add(
                    newClass == null
                            ? droppedClass(oldClass, interim)
                            : interim ? stricterOf(oldClass, newClass) : newClass);
        }
        changed.classes().stream()
                .filter(newClass -> findClass(inUse.classes(), newClass.name()) == null)
                .forEach(classes::add);
        if (classes.size() > MAX_CLASSES) {
            throw new IllegalArgumentException("settings: classes: " + classes.size()
                    + " classes since the start of the process, at most " + MAX_CLASSES
                    + " are possible; restart to discard dropped classes");
        }
        return classes;
    }

    /** The class of that name; null if there is none. */
    private static RequestClass findClass(List<RequestClass> classes, String name) {
        return classes.stream()
                .filter(requestClass -> requestClass.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /**
     * A class that the new file drops. After the interim its aim is its deadline, so that it can't be the shortest aim,
     * which determines the slot of the deadline emulation.
     */
    private static RequestClass droppedClass(RequestClass oldClass, boolean interim) {
        return interim
                ? oldClass
                : new RequestClass(
                        oldClass.name(),
                        oldClass.deadlineMs(),
                        oldClass.aimStretch(),
                        oldClass.deadlineMs(),
                        oldClass.worth(),
                        oldClass.lateWorth(),
                        oldClass.effect(),
                        oldClass.group(),
                        oldClass.repeatWindowMs(),
                        oldClass.ordered(),
                        oldClass.streamed(),
                        oldClass.writes());
    }

    /** A class that allows only what both versions allow; the values that forbid nothing are those of the new one. */
    static RequestClass stricterOf(RequestClass oldClass, RequestClass newClass) {
        Effect effect = Effect.values()[
                Math.max(oldClass.effect().ordinal(), newClass.effect().ordinal())];
        boolean bothKeyed = oldClass.effect() == Effect.KEYED && newClass.effect() == Effect.KEYED;
        RequestClass keyed = oldClass.effect() == Effect.KEYED ? oldClass : newClass;
        DedupGroup group = bothKeyed ? narrowerOf(oldClass.group(), newClass.group()) : keyed.group();
        double repeatWindowMs =
                bothKeyed ? Math.min(oldClass.repeatWindowMs(), newClass.repeatWindowMs()) : keyed.repeatWindowMs();
        return new RequestClass(
                newClass.name(),
                newClass.aimMs(),
                newClass.aimStretch(),
                Math.min(oldClass.deadlineMs(), newClass.deadlineMs()),
                newClass.worth(),
                newClass.lateWorth(),
                effect,
                group,
                repeatWindowMs,
                oldClass.ordered() || newClass.ordered(),
                newClass.streamed(),
                newClass.writes());
    }

    private static DedupGroup narrowerOf(DedupGroup first, DedupGroup second) {
        return DedupGroup.values()[Math.max(first.ordinal(), second.ordinal())];
    }

    private static Capabilities stricterCapabilities(Capabilities first, Capabilities second) {
        return new Capabilities(
                Math.min(first.maxAttempts(), second.maxAttempts()),
                first.cancel() && second.cancel(),
                first.probes() && second.probes(),
                first.peerMessages() && second.peerMessages(),
                first.secondCopies() && second.secondCopies(),
                first.retryAfter() && second.retryAfter(),
                Math.min(first.maxRetryAfterMs(), second.maxRetryAfterMs()),
                Math.min(first.connectTimeoutMs(), second.connectTimeoutMs()),
                Math.min(first.idleCloseMs(), second.idleCloseMs()));
    }

    private static Settings with(Settings base, List<RequestClass> classes, Capabilities may) {
        return with(base, classes, base.plans(), may, base.rules());
    }

    private static Settings with(
            Settings base, List<RequestClass> classes, List<Plan> plans, Capabilities may, Rules rules) {
        return new Settings(
                base.hosts(),
                base.index(),
                base.zone(),
                base.tickMs(),
                classes,
                plans,
                base.discovery(),
                may,
                rules,
                base.coldUnits(),
                base.meanUnits(),
                base.mostUnits(),
                base.shareWorth(),
                base.spareWorth(),
                base.meterMs(),
                base.tellsOthers(),
                base.loadNames(),
                base.zones());
    }
}
