package petrelstand.state;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import petrelstand.decision.Policy;
import petrelstand.decision.Scheduling.LearnedNode;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.LearnedVolume;
import petrelstand.decision.Scheduling.Plan;
import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.decision.Scheduling.Settings;

/**
 * Decides what old knowledge is worth. Each kind of figure has a half-life of its own, and its weight after that time
 * is a half: a measured rate then rests on half as many slots, a usual latency, a window and a part of a volume's use
 * lie half way between what was learned and what a gateway that knows nothing starts with. Silence does not fade into
 * half a silence: it is believed for two half-lives and then dropped.
 *
 * <p>Whatever a file says, what comes out is finite and bounded, and rests on so little evidence that fresh observation
 * outweighs it: {@link #MAX_NODE_SLOTS} slots of work at a node weigh as much as all that is recalled of its rate, and
 * {@link Policy#RATE_SPAN_MS} after the start nothing of it is left. Figures that guard a rule (a limit's store, the
 * units sent to a cold node) do not fade: they are taken at their worst.
 */
public final class SnapshotEvaluator {
    /** A node's speed is mostly its machine's; but neighbours come and go within seconds. */
    static final double RATE_HALF_LIFE_MS = 60_000;
    /** Latency holds the load of the moment too, which a surge of some 10 s changes. */
    static final double LATENCY_HALF_LIFE_MS = 20_000;

    static final double WINDOW_HALF_LIFE_MS = 20_000;
    /** Nodes fall silent for 8 to 26 s; believed for two of these. */
    static final double SILENCE_HALF_LIFE_MS = 10_000;
    /** The gateway that leads for a volume changes every 7 to 17 s. */
    static final double USE_HALF_LIFE_MS = 30_000;
    /** Beyond this age nothing is believed at all. */
    public static final double MAX_AGE_MS = 900_000;
    /** Slots that the recalled rate of a node rests on at most: as many as the module's own assumption. */
    static final double MAX_NODE_SLOTS = 10;
    /** The same for the mean of all nodes. */
    static final double MAX_POOL_SLOTS = 20;
    /** Units a slot, in largest requests, that a node can be remembered to have served. */
    static final double MAX_REQUESTS_PER_SLOT = Policy.MAX_WINDOW;

    static final double MIN_LATENCY_MS = 0.1;

    /** What is recalled, or why nothing is; {@code dropped} counts lines that were nonsense or twice there. */
    public record Evaluation(LearnedState learned, String rejectionReason, double ageMs, int silentNodes, int droppedEntries) {
        static Evaluation reject(double nowMs, double ageMs, String why) {
            return new Evaluation(LearnedState.empty(nowMs), why, ageMs, 0, 0);
        }
    }

    private final Settings settings;
    private final String gateway;
    private final double initialLatencyMs;
    private final double maxAimMs;
    /** No smaller window is taken over: one of 0 would never open again. */
    private final double minWindow;

    /** For a gateway of a name under settings. */
    public SnapshotEvaluator(String gateway, Settings settings) {
        this.gateway = gateway;
        this.settings = settings;
        double tightest = settings.classes().stream()
                .mapToDouble(RequestClass::aimMs)
                .min()
                .orElseThrow();
        this.minWindow = Math.min(1, Policy.MIN_COMBINED_WINDOW / settings.hosts());
        this.maxAimMs = settings.classes().stream()
                .mapToDouble(RequestClass::aimMs)
                .max()
                .orElseThrow();
        this.initialLatencyMs = Policy.INITIAL_LATENCY_SLOTS * Policy.SLOT_AIM_FRACTION * tightest;
    }

    /** Weighs a snapshot at a time, in Unix ms; a snapshot that is refused as a whole gives nothing and says why. */
    public Evaluation evaluate(Snapshot old, double nowMs) {
        double age = nowMs - old.wallMs();
        if (!old.gateway().equals(gateway)) {
            return Evaluation.reject(nowMs, age, "it is of another gateway, '" + old.gateway() + "'");
        }
        if (old.settingsFingerprint() != Snapshot.fingerprint(settings)) {
            return Evaluation.reject(nowMs, age, "the settings have changed");
        }
        if (!(age >= 0)) {
            return Evaluation.reject(nowMs, age, "it is from the future; was the clock set back?");
        }
        if (age > MAX_AGE_MS) {
            return Evaluation.reject(nowMs, age, "it is older than " + (long) (MAX_AGE_MS / 1000) + " s");
        }
        LearnedState from = old.learned();
        List<LearnedNode> nodes = new ArrayList<>();
        Set<Long> seen = new HashSet<>();
        for (LearnedNode node : from.nodes()) {
            if (nodes.size() < Snapshot.MAX_NODES && isValid(node, old.wallMs()) && seen.add(node.node())) {
                nodes.add(decay(node, age, nowMs));
            }
        }
        List<LearnedVolume> volumes = new ArrayList<>();
        seen.clear();
        for (LearnedVolume volume : from.volumes()) {
            if (volumes.size() < Policy.MAX_VOLUMES && isValid(volume) && seen.add(volume.volume())) {
                volumes.add(decay(volume, age, old.cleanShutdown()));
            }
        }
        double weight = halfLifeWeight(age, RATE_HALF_LIFE_MS);
        double slots = isFiniteNonNegative(from.measuredSlots()) ? Math.min(from.measuredSlots(), MAX_POOL_SLOTS) * weight : 0;
        double served =
                slots > 0 && isFiniteNonNegative(from.servedUnits()) ? slots * boundedRate(from.servedUnits(), from.measuredSlots()) : 0;
        int silent = (int) nodes.stream().filter(node -> node.silentMs() > 0).count();
        int dropped = from.nodes().size() - nodes.size() + from.volumes().size() - volumes.size();
        return new Evaluation(
                new LearnedState(nowMs, served > 0 ? slots : 0, served, nodes, volumes), null, age, silent, dropped);
    }

    static double halfLifeWeight(double ageMs, double halfLifeMs) {
        return Math.pow(0.5, ageMs / halfLifeMs);
    }

    private static boolean isFiniteNonNegative(double value) {
        return value >= 0 && value < Double.POSITIVE_INFINITY;
    }

    /** A node that started after the file was written can't be in it. */
    private static boolean isValid(LearnedNode node, double writtenMs) {
        return isFiniteNonNegative(node.upSinceMs())
                && node.upSinceMs() <= writtenMs
                && isFiniteNonNegative(node.measuredSlots())
                && isFiniteNonNegative(node.servedUnits())
                && isFiniteNonNegative(node.window())
                && isFiniteNonNegative(node.latencyMs())
                && isFiniteNonNegative(node.coldSentUnits())
                && isFiniteNonNegative(node.silentMs());
    }

    private boolean isValid(LearnedVolume volume) {
        return volume.plan() >= 0
                && volume.plan() < settings.plans().size()
                && volume.hostCount() >= 1
                && volume.hostCount() <= settings.hosts()
                && volume.localFraction() > 0
                && volume.localFraction() <= 1
                && Double.isFinite(volume.limitLevel())
                && Double.isFinite(volume.reserveLevel())
                && Double.isFinite(volume.shareLevel());
    }

    /** Units a slot; a node cannot have served more than a full window of largest requests. */
    private double boundedRate(double served, double slots) {
        return Math.min(served / slots, MAX_REQUESTS_PER_SLOT * settings.mostUnits());
    }

    private LearnedNode decay(LearnedNode node, double age, double nowMs) {
        double slots = Math.min(node.measuredSlots(), MAX_NODE_SLOTS) * halfLifeWeight(age, RATE_HALF_LIFE_MS);
        double served = slots > 0 ? slots * boundedRate(node.servedUnits(), node.measuredSlots()) : 0;
        double window = interpolate(
                Policy.INITIAL_WINDOW,
                Math.max(minWindow, Math.min(node.window(), Policy.MAX_WINDOW)),
                halfLifeWeight(age, WINDOW_HALF_LIFE_MS));
        double latency = interpolate(
                initialLatencyMs,
                Math.max(MIN_LATENCY_MS, Math.min(node.latencyMs(), maxAimMs)),
                halfLifeWeight(age, LATENCY_HALF_LIFE_MS));
        boolean silent = node.silentMs() > 0 && halfLifeWeight(age, SILENCE_HALF_LIFE_MS) >= 0.25;
        // What a cold node was sent is counted whole and from now on, so it never looks smaller than it was.
        boolean cold = node.upSinceMs() > 0
                && nowMs
                        < node.upSinceMs()
                                + settings.rules().warmUpMs()
                                + settings.rules().fallMs();
        return new LearnedNode(
                node.node(),
                node.upSinceMs(),
                slots,
                served,
                window,
                latency,
                cold ? node.coldSentUnits() : 0,
                silent ? Math.min(node.silentMs() + age, MAX_AGE_MS) : 0);
    }

    private LearnedVolume decay(LearnedVolume volume, double age, boolean clean) {
        Plan plan = settings.plans().get(volume.plan());
        int hosts = volume.hostCount();
        double part = interpolate(
                Math.min(1 / Math.sqrt(hosts), 2.0 / hosts),
                Math.max(1.0 / hosts, volume.localFraction()),
                halfLifeWeight(age, USE_HALF_LIFE_MS));
        // What was spent between the last snapshot and a crash is not known: all of the limit may be. After a clean
        // end nothing was.
        double limit =
                clean ? refilledLevel(volume.limitLevel(), plan.limit() / hosts, age) : Math.min(0, volume.limitLevel());
        return new LearnedVolume(
                volume.volume(),
                volume.plan(),
                hosts,
                part,
                limit,
                refilledLevel(volume.reserveLevel(), plan.reserve() * part, age),
                refilledLevel(volume.shareLevel(), plan.rate() * part, age));
    }

    /** A store's level after a time in which nothing was taken; the module cuts it at the store's size. */
    private double refilledLevel(double level, double rate, double ageMs) {
        return Math.max(-settings.mostUnits(), Math.min(level, Double.MAX_VALUE / 2)) + rate * ageMs / 1000;
    }

    private static double interpolate(double start, double learned, double weight) {
        return start + (learned - start) * weight;
    }
}
