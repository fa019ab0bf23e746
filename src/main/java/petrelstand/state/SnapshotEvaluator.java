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
 * Decides how much of a stored snapshot is still usable. Each kind of value has its own half-life: measured rates lose
 * weight, while latencies, windows and local fractions move toward the values of a fresh start. Silence is dropped
 * after two half-lives.
 *
 * <p>Whatever the file contains, the result is finite and bounded, and new observations soon outweigh it: a node's rate
 * rests on at most {@link #MAX_NODE_SLOTS} slots and is forgotten {@link Policy#RATE_SPAN_MS} after the start. Values
 * that enforce a rule (levels of limits, units sent to a cold node) do not decay; their worst case is assumed.
 */
public final class SnapshotEvaluator {
    /** A node's rate is mostly its machine's, but other programs on the machine come and go within seconds. */
    static final double RATE_HALF_LIFE_MS = 60_000;
    /**
     * Shorter than the half-life of rates, since latency also depends on the current load, which a surge of some 10 s
     * changes.
     */
    static final double LATENCY_HALF_LIFE_MS = 20_000;

    static final double WINDOW_HALF_LIFE_MS = 20_000;
    /** Nodes fall silent for 8 to 26 s; a recorded silence is believed for two of these half-lives. */
    static final double SILENCE_HALF_LIFE_MS = 10_000;
    /**
     * Half-life of the fraction of a volume's traffic that this gateway serves. The gateway with most of a volume's
     * traffic changes every 7 to 17 s.
     */
    static final double LOCAL_FRACTION_HALF_LIFE_MS = 30_000;
    /** Older snapshots are rejected. */
    public static final double MAX_AGE_MS = 900_000;
    /**
     * Maximum number of slots that a node's restored rate rests on; equals the decision module's initial assumption.
     */
    static final double MAX_NODE_SLOTS = 10;
    /** Maximum number of slots that the restored mean rate of all nodes rests on. */
    static final double MAX_POOL_SLOTS = 20;
    /** Maximum restored rate of a node, in requests of the largest size per slot. */
    static final double MAX_REQUESTS_PER_SLOT = Policy.MAX_WINDOW;

    static final double MIN_LATENCY_MS = 0.1;

    /**
     * The result of an evaluation.
     *
     * @param learned the state to restore; empty if the snapshot was rejected
     * @param rejectionReason why the whole snapshot was rejected, null if it was not
     * @param ageMs age of the snapshot
     * @param silentNodes restored nodes that are considered silent
     * @param droppedEntries nodes and volumes that were invalid, duplicate or beyond the maximum
     */
    public record Evaluation(
            LearnedState learned, String rejectionReason, double ageMs, int silentNodes, int droppedEntries) {
        static Evaluation reject(double nowMs, double ageMs, String reason) {
            return new Evaluation(LearnedState.empty(nowMs), reason, ageMs, 0, 0);
        }
    }

    private final Settings settings;
    private final String gateway;
    private final double initialLatencyMs;
    private final double maxAimMs;
    /** Lower bound of a restored window; a window of 0 would never grow again. */
    private final double minWindow;

    /** Creates an evaluator for the gateway of this name and its current settings. */
    public SnapshotEvaluator(String gateway, Settings settings) {
        this.gateway = gateway;
        this.settings = settings;
        double minAimMs = settings.classes().stream()
                .mapToDouble(RequestClass::aimMs)
                .min()
                .orElseThrow();
        this.minWindow = Math.min(1, Policy.MIN_COMBINED_WINDOW / settings.hosts());
        this.maxAimMs = settings.classes().stream()
                .mapToDouble(RequestClass::aimMs)
                .max()
                .orElseThrow();
        this.initialLatencyMs = Policy.INITIAL_LATENCY_SLOTS * Policy.SLOT_AIM_FRACTION * minAimMs;
    }

    /** Evaluates a snapshot at the given time, in milliseconds of Unix time. */
    public Evaluation evaluate(Snapshot snapshot, double nowMs) {
        double ageMs = nowMs - snapshot.wallMs();
        if (!snapshot.gateway().equals(gateway)) {
            return Evaluation.reject(nowMs, ageMs, "it belongs to another gateway, '" + snapshot.gateway() + "'");
        }
        if (snapshot.settingsFingerprint() != Snapshot.fingerprint(settings)) {
            return Evaluation.reject(nowMs, ageMs, "the settings have changed since it was written");
        }
        if (!(ageMs >= 0)) {
            return Evaluation.reject(nowMs, ageMs, "its time is in the future; check the system clock");
        }
        if (ageMs > MAX_AGE_MS) {
            return Evaluation.reject(nowMs, ageMs, "it is older than " + (long) (MAX_AGE_MS / 1000) + " s");
        }
        LearnedState stored = snapshot.learned();
        List<LearnedNode> nodes = new ArrayList<>();
        Set<Long> seenIds = new HashSet<>();
        for (LearnedNode node : stored.nodes()) {
            if (nodes.size() < Snapshot.MAX_NODES && isValid(node, snapshot.wallMs()) && seenIds.add(node.node())) {
                nodes.add(decay(node, ageMs, nowMs));
            }
        }
        List<LearnedVolume> volumes = new ArrayList<>();
        seenIds.clear();
        for (LearnedVolume volume : stored.volumes()) {
            if (volumes.size() < Policy.MAX_VOLUMES && isValid(volume) && seenIds.add(volume.volume())) {
                volumes.add(decay(volume, ageMs, snapshot.cleanShutdown()));
            }
        }
        double weight = halfLifeWeight(ageMs, RATE_HALF_LIFE_MS);
        double slots = isFiniteNonNegative(stored.measuredSlots())
                ? Math.min(stored.measuredSlots(), MAX_POOL_SLOTS) * weight
                : 0;
        double served = slots > 0 && isFiniteNonNegative(stored.servedUnits())
                ? slots * boundedRate(stored.servedUnits(), stored.measuredSlots())
                : 0;
        int silent = (int) nodes.stream().filter(node -> node.silentMs() > 0).count();
        int dropped = stored.nodes().size() - nodes.size() + stored.volumes().size() - volumes.size();
        return new Evaluation(
                new LearnedState(nowMs, served > 0 ? slots : 0, served, nodes, volumes), null, ageMs, silent, dropped);
    }

    static double halfLifeWeight(double ageMs, double halfLifeMs) {
        return Math.pow(0.5, ageMs / halfLifeMs);
    }

    private static boolean isFiniteNonNegative(double value) {
        return value >= 0 && value < Double.POSITIVE_INFINITY;
    }

    /** Checks a stored node; one that started after the file was written is invalid. */
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

    /** Returns the rate in units per slot, bounded by a full window of requests of the largest size. */
    private double boundedRate(double served, double slots) {
        return Math.min(served / slots, MAX_REQUESTS_PER_SLOT * settings.mostUnits());
    }

    private LearnedNode decay(LearnedNode node, double ageMs, double nowMs) {
        double slots = Math.min(node.measuredSlots(), MAX_NODE_SLOTS) * halfLifeWeight(ageMs, RATE_HALF_LIFE_MS);
        double served = slots > 0 ? slots * boundedRate(node.servedUnits(), node.measuredSlots()) : 0;
        double window = interpolate(
                Policy.INITIAL_WINDOW,
                Math.max(minWindow, Math.min(node.window(), Policy.MAX_WINDOW)),
                halfLifeWeight(ageMs, WINDOW_HALF_LIFE_MS));
        double latency = interpolate(
                initialLatencyMs,
                Math.max(MIN_LATENCY_MS, Math.min(node.latencyMs(), maxAimMs)),
                halfLifeWeight(ageMs, LATENCY_HALF_LIFE_MS));
        boolean silent = node.silentMs() > 0 && halfLifeWeight(ageMs, SILENCE_HALF_LIFE_MS) >= 0.25;
        // Counted in full from now on, so that the units sent to a cold node are never underestimated.
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
                silent ? Math.min(node.silentMs() + ageMs, MAX_AGE_MS) : 0);
    }

    private LearnedVolume decay(LearnedVolume volume, double ageMs, boolean cleanShutdown) {
        Plan plan = settings.plans().get(volume.plan());
        int hosts = volume.hostCount();
        double localFraction = interpolate(
                Math.min(1 / Math.sqrt(hosts), 2.0 / hosts),
                Math.max(1.0 / hosts, volume.localFraction()),
                halfLifeWeight(ageMs, LOCAL_FRACTION_HALF_LIFE_MS));
        // After a crash the whole limit may have been used since the snapshot; after a clean shutdown nothing was.
        double limitLevel = cleanShutdown
                ? refilledLevel(volume.limitLevel(), plan.limit() / hosts, ageMs)
                : Math.min(0, volume.limitLevel());
        return new LearnedVolume(
                volume.volume(),
                volume.plan(),
                hosts,
                localFraction,
                limitLevel,
                refilledLevel(volume.reserveLevel(), plan.reserve() * localFraction, ageMs),
                refilledLevel(volume.shareLevel(), plan.rate() * localFraction, ageMs));
    }

    /** Returns a token bucket's level after an idle time; the decision module caps it at the bucket's size. */
    private double refilledLevel(double level, double rate, double ageMs) {
        return Math.max(-settings.mostUnits(), Math.min(level, Double.MAX_VALUE / 2)) + rate * ageMs / 1000;
    }

    private static double interpolate(double start, double learned, double weight) {
        return start + (learned - start) * weight;
    }
}
