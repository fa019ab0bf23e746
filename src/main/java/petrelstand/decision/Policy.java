package petrelstand.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import petrelstand.decision.Scheduling.AttemptEnd;
import petrelstand.decision.Scheduling.DedupGroup;
import petrelstand.decision.Scheduling.DiscoveryMode;
import petrelstand.decision.Scheduling.Effect;
import petrelstand.decision.Scheduling.HostActions;
import petrelstand.decision.Scheduling.HostEvents;
import petrelstand.decision.Scheduling.LearnedNode;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.LearnedVolume;
import petrelstand.decision.Scheduling.ModuleLoad;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.Plan;
import petrelstand.decision.Scheduling.Request;
import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.decision.Scheduling.Rules;
import petrelstand.decision.Scheduling.Settings;

/**
 * Decides for one gateway instance (the host) which node gets a request, when, whether it is retried, and what is
 * refused.
 *
 * <p>A request is admitted if an emulation of the node's work, in slots and by earliest deadline, ends it in time. It
 * then waits in the node's queue until the node's concurrency window has room and the rules allow an attempt. A request
 * is entitled if its volume's reserve or its share of the plan's rate covers it; any other is excess and gives way to
 * entitled ones.
 *
 * <p>Not safe for use by several threads. All times are of the host's clock, in milliseconds.
 */
public final class Policy implements HostEvents {
    /**
     * Length of a slot, the time step of the emulation and of the rate, as a fraction of the tightest aim. Aims follow
     * the work of a request, so values in slots hold for sites that are slower or faster by any factor.
     */
    public static final double SLOT_AIM_FRACTION = 0.2;
    /** Span over which a node's service rate is measured, ms. */
    public static final double RATE_SPAN_MS = 10_000;
    /** Mean-sized requests per slot that a node is assumed to serve until it has answered. */
    static final double INITIAL_REQUESTS_PER_SLOT = 1;
    /** Weight of the assumed service rate against the measured one, in slots. */
    static final double PRIOR_RATE_SLOTS = 10;
    /** Concurrency window of a node at the start, requests. */
    public static final double INITIAL_WINDOW = 3;
    /** Upper bound of a window, requests: nodes serve in order of arrival, so an urgent request cannot overtake. */
    public static final double MAX_WINDOW = 8;
    /**
     * Lower bound of the sum of all hosts' windows at an overloaded node, requests: a node serves a few at once. A host
     * whose window is below one request pauses after each answer.
     */
    public static final double MIN_COMBINED_WINDOW = 4;
    /**
     * Fraction of the tightest aim above which a node's latency halves its window. The rest of the aim is for waiting
     * in this host, where the order by deadline acts.
     */
    static final double MAX_LATENCY_AIM_FRACTION = 0.3;
    /** Factor by which a node's window is larger for entitled requests. */
    static final double ENTITLED_WINDOW_FACTOR = 2;
    /**
     * Weight of the newest sample in the moving averages of a node's latency and of a volume's usage; they reach about
     * ten samples back.
     */
    static final double EWMA_WEIGHT = 0.1;
    /** Latency assumed of a node that has not answered yet, in slots. */
    public static final double INITIAL_LATENCY_SLOTS = 2;
    /** Half-life of a queue wait observed at a node, in slots. */
    static final double QUEUE_WAIT_HALF_LIFE_SLOTS = 8;
    /** Silence beyond a node's latency after which the node receives test requests only, in slots. */
    static final double SILENCE_TIMEOUT_SLOTS = 6;
    /** Upper bound of the backoff steps between tests of a silent node and between calls for the node list. */
    static final int MAX_BACKOFF_STEPS = 4;
    /** Multiple of a node's latency after which an attempt that a later one overtook counts as lost. */
    static final double LOST_ATTEMPT_LATENCIES = 8;
    /** Fraction of a node's latency that must be left before a queued request's aim for it to be sent. */
    static final double MIN_LATENCY_FRACTION = 0.7;
    /** Fraction of its aim within which an excess request must end, which leaves room for entitled ones. */
    static final double EXCESS_AIM_FRACTION = 0.5;
    /** Span over which the units that this host served a volume are counted, ms; some periods of a node's meter. */
    static final double USAGE_SPAN_MS = 3_000;
    /** Margin between the final answer and the client's deadline, in ticks of the host. */
    static final double ANSWER_MARGIN_TICKS = 2;
    /** Lower bound of that margin, ms. */
    static final double MIN_ANSWER_MARGIN_MS = 5;
    /** Delay after a failed call for the node list, and retry-after while no node holds the shard, ms. */
    static final double NODE_LIST_RETRY_MS = 500;
    /** Fraction of the capacity that a cold node's answers show which is used: work and arrivals vary. */
    static final double COLD_SAFETY_FACTOR = 0.5;
    /** Requests that all hosts together may have in flight at a cold node that has not answered this host yet. */
    static final double UNHEARD_COLD_COMBINED_WINDOW = 1.5;
    /** Answers that a node's mean service time covers, and the pool's where cold nodes answer. */
    static final double COLD_MEAN_ANSWERS = 10;
    /** Answers that the pool's mean service time covers where warm nodes answer. */
    static final double WARM_MEAN_ANSWERS = 50;
    /** Volumes whose token buckets a host keeps; the least recently used is evicted first. */
    public static final int MAX_VOLUMES = 4096;

    private static final double NEVER = Double.NEGATIVE_INFINITY;
    private static final long TICK_TOKEN = -1;
    private static final long NODE_LIST_RETRY_TOKEN = -2;

    private Settings settings;
    private Rules rules;
    private final HostActions actions;
    private final SplittableRandom random;
    private final double startedMs;
    private double tightestAimMs;
    private double slotMs;
    private double initialLatencyMs;
    /** Part of this host's limits and cold-node budgets that this process may spend. */
    private double budgetShare = 1;

    private final TreeMap<Long, Node> nodes = new TreeMap<>();
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    /** In order of access, least recently used first. */
    private final Map<Long, Volume> volumes = new LinkedHashMap<>(16, 0.75f, true);

    private final Map<Long, KeyQueue> keyQueues = new HashMap<>();
    private final SlidingSum measuredSlots = new SlidingSum(RATE_SPAN_MS);
    private final SlidingSum servedUnits = new SlidingSum(RATE_SPAN_MS);
    /** True for more hosts than a window has room for: one host alone then sees little of a node's load. */
    private final boolean manyHosts;

    private final SlidingSum recentRequests;
    private final SlidingSum recentRetries;
    private long nextSequence;
    /** Time from which the limit of a volume not known yet fills, starting empty. */
    private double limitFillStartMs;

    private int failedListCalls;
    /** Mean time that a warm node takes for a request of mean size, over all nodes, ms. */
    private double poolServiceMs;
    /** Time of the next tick while any request is queued or in flight; infinite while the host is idle. */
    private double nextTickMs = Double.POSITIVE_INFINITY;

    /** A request that has no final answer yet, or that has an attempt in flight. */
    private final class PendingRequest {
        final Request request;
        final RequestClass requestClass;
        final Volume volume;
        final KeyQueue keyQueue;
        final long sequence = nextSequence++;
        final double aimMs;
        final int maxAttempts = settings.may().maxAttempts();
        final List<Attempt> attempts = new ArrayList<>();
        final Set<Attempt> openAttempts = new LinkedHashSet<>();
        /** The bucket of its volume that covers it, reserve or share; null for an excess request. */
        TokenBucket chargedBucket;

        double worth;
        Node queuedAt;
        boolean closed;
        /** Its body or its answer is streamed: the host keeps its deadline, and no attempt can follow. */
        boolean streaming;
        /** The client is still sending the body that the open attempt passes on. */
        boolean bodyPending;
        /** When the last byte of such a body had arrived. */
        double bodyReceivedMs = NEVER;
        /** Units held in its volume's limit: sent, but not known to have reached a node. */
        double unitsHeld;
        /** The first attempt that may have had an effect; null if none. */
        Attempt possibleExecution;

        PendingRequest(double nowMs, Request request) {
            this.request = request;
            requestClass = settings.classes().get(request.requestClass());
            volume = volumeOf(nowMs, request);
            double leftMs = request.timeLeftMs();
            double waitedMs = request.clientRetry() ? Math.max(0, requestClass.deadlineMs() - leftMs) : 0;
            aimMs = nowMs + Math.min(requestClass.aimMs() - waitedMs, leftMs);
            boolean ordered = requestClass.ordered() && request.key() != 0;
            keyQueue = ordered ? keyQueues.computeIfAbsent(request.key(), key -> new KeyQueue()) : new KeyQueue();
            keyQueue.requests.addLast(this);
        }

        double units() {
            return request.units();
        }

        /** To be called once the units have reached a node, or never will. */
        void releaseHeldUnits(double nowMs) {
            volume.limit.release(nowMs, unitsHeld);
            unitsHeld = 0;
        }
    }

    private record Attempt(PendingRequest pending, Node node, double sentMs, int number) {
        /** Returns the time from which the node could begin the request. */
        double deliveredMs() {
            return Math.max(sentMs, pending.bodyReceivedMs);
        }
    }

    private static final Comparator<PendingRequest> BY_DEADLINE = Comparator.<PendingRequest>comparingDouble(
                    pending -> pending.aimMs)
            .thenComparingLong(pending -> pending.sequence);

    /** A storage node as this host knows it. */
    private final class Node {
        final long id;
        int zone;
        int shard;
        NodeState state = NodeState.READY;
        double upSinceMs;
        final TreeSet<PendingRequest> queued = new TreeSet<>(BY_DEADLINE);
        final List<Attempt> inFlight = new ArrayList<>();
        /** Attempts whose clients take long to send the body; they leave the window until the last byte. */
        final List<Attempt> slowBodies = new ArrayList<>();

        final SlidingSum measuredSlots = new SlidingSum(RATE_SPAN_MS);
        final SlidingSum servedUnits = new SlidingSum(RATE_SPAN_MS);
        final SlidingSum coldSentUnits = new SlidingSum(rules.fallMs());
        /**
         * Units that reached the node and were not served: what ended, in the last overload period, without an answer.
         */
        final SlidingSum coldUnservedUnits = new SlidingSum(rules.fallMs());
        /** Paces sends to a cold node where this host may have less than one request in flight; one token a send. */
        final TokenBucket coldPacer = new TokenBucket(0, 1, 0);
        /** Units that the node served in the current slot. */
        double slotServedUnits;
        /** True if the window kept a request waiting in the current slot. */
        boolean slotBacklogged;

        double window = INITIAL_WINDOW;
        /** Weight of the next answer in the latency: 1, 1/2, 1/3 and so on after a restore or a cold start. */
        double latencyWeight = EWMA_WEIGHT;

        double latencyMs = initialLatencyMs;
        /** Wait in the node's queue that the newest outcome showed, ms. */
        double queueWaitMs;
        /** Time of that outcome. */
        double queueWaitSeenMs = NEVER;
        /** Mean time that a request of mean size takes here, converted to a warm node, ms. */
        double serviceMs;

        int answerCount;
        double windowHalvedMs = NEVER;
        double lastHeardMs = NEVER;
        /** Send time of the newest attempt that was answered. */
        double newestAnsweredSentMs = NEVER;

        double lastSentMs = NEVER;
        /** No request is sent before this time. */
        double pausedUntilMs = NEVER;
        /** Attempts sent since the last answer. */
        int sentSinceAnswer;
        /** True if a connection failed, or an attempt failed at a silent node; the next answer clears it. */
        boolean suspect;
        /** True if an attempt took longer than the aim of its class; an answer within the aim clears it. */
        boolean lastAnswerLate;

        Node(long id) {
            this.id = id;
        }

        Node(double nowMs, LearnedNode learned) {
            this(learned.node());
            latencyMs = learned.latencyMs();
            state = NodeState.GONE;
            upSinceMs = learned.upSinceMs();
            measuredSlots.add(nowMs, learned.measuredSlots());
            servedUnits.add(nowMs, learned.servedUnits());
            coldSentUnits.add(nowMs, learned.coldSentUnits());
            window = learned.window();
            suspect = learned.silentMs() > 0;
            latencyWeight = 1;
        }
    }

    /** The token buckets of a volume, scaled to what this host may spend. */
    private static final class Volume {
        final Plan plan;
        /** Hosts that serve the volume; 0 until the buckets have their rates. */
        int hostCount;

        final TokenBucket limit;
        final TokenBucket reserve;
        final TokenBucket share;
        final SlidingSum locallyServedUnits = new SlidingSum(USAGE_SPAN_MS);
        /** Estimated fraction of the volume's usage that passes through this host. */
        double localFraction;

        /** The limit starts empty, since what was spent before this host knew the volume is unknown. */
        Volume(Plan plan, double limitFillStartMs, double nowMs) {
            this.plan = plan;
            this.limit = new TokenBucket(limitFillStartMs, plan.limitBurst(), 0);
            this.reserve = new TokenBucket(nowMs, plan.reserve(), plan.reserve());
            this.share = new TokenBucket(nowMs, plan.rate(), plan.rate());
        }
    }

    /** Requests of one key in order of arrival; an unordered request has a queue of its own. */
    private static final class KeyQueue {
        final ArrayDeque<PendingRequest> requests = new ArrayDeque<>();
        double quietUntilMs = NEVER;
    }

    /**
     * Creates the policy of one host.
     *
     * @param seed seed of the random numbers: equal seeds and events give equal actions
     * @throws NullPointerException if the settings or the actions are missing
     */
    public Policy(double nowMs, Settings settings, long seed, HostActions actions) {
        applySettings(nowMs, Objects.requireNonNull(settings, "settings are missing"));
        this.actions = Objects.requireNonNull(actions, "actions are missing");
        this.random = new SplittableRandom(seed);
        this.startedMs = limitFillStartMs = nowMs;
        this.manyHosts = settings.hosts() > MAX_WINDOW;
        this.poolServiceMs = initialLatencyMs;
        this.recentRequests = new SlidingSum(Math.max(0, rules.furtherSpanMs() - settings.tickMs()));
        this.recentRetries = new SlidingSum(rules.furtherSpanMs() + settings.tickMs());
        if (settings.discovery() == DiscoveryMode.ASKED) {
            this.actions.subscribeToNodes();
        }
    }

    @Override
    public void applySettings(double nowMs, Settings changed) {
        settings = changed;
        rules = changed.rules();
        tightestAimMs = settings.classes().stream()
                .mapToDouble(RequestClass::aimMs)
                .min()
                .orElseThrow();
        slotMs = SLOT_AIM_FRACTION * tightestAimMs;
        initialLatencyMs = INITIAL_LATENCY_SLOTS * slotMs;
    }

    @Override
    public void setBudgetShare(double nowMs, double part) {
        budgetShare = part;
        limitFillStartMs = nowMs;
        volumes.values().forEach(volume -> resizeBuckets(nowMs, volume, volume.hostCount, volume.localFraction));
    }

    // ---- Node list ----

    @Override
    public void nodesListed(double nowMs, NodeListKind kind, List<NodeEntry> entries) {
        if (kind == NodeListKind.FAILED) {
            double backoff = Math.pow(2, Math.min(failedListCalls++, MAX_BACKOFF_STEPS));
            actions.setTimer(nowMs + NODE_LIST_RETRY_MS * backoff * (1 + random.nextDouble()), NODE_LIST_RETRY_TOKEN);
            return;
        }
        failedListCalls = 0;
        if (kind != NodeListKind.CHANGES) {
            Set<Long> listed = entries.stream().map(NodeEntry::node).collect(Collectors.toSet());
            nodes.forEach((id, node) -> node.state = listed.contains(id) ? node.state : NodeState.GONE);
        }
        entries.forEach(entry -> applyEntry(nowMs, entry));
        nodes.values().stream().filter(node -> node.state != NodeState.READY).forEach(node -> moveQueued(nowMs, node));
        // A cold node that comes back must not get its budget a second time.
        nodes.values()
                .removeIf(node -> node.state == NodeState.GONE && node.inFlight.isEmpty() && !isCold(nowMs, node));
    }

    /** Adds or updates a node; one with a newer start time begins anew, but keeps its queue and attempts. */
    private void applyEntry(double nowMs, NodeEntry entry) {
        Node node = nodes.get(entry.node());
        if (node == null || entry.upSinceMs() > node.upSinceMs) {
            Node fresh = new Node(entry.node());
            fresh.upSinceMs = entry.upSinceMs();
            fresh.latencyMs = isCold(nowMs, fresh) ? poolServiceMs : initialLatencyMs;
            fresh.latencyWeight = isCold(nowMs, fresh) ? 1 : EWMA_WEIGHT;
            fresh.coldPacer.take(nowMs, -random.nextDouble());
            if (node != null) {
                fresh.inFlight.addAll(node.inFlight);
                fresh.slowBodies.addAll(node.slowBodies);
                fresh.queued.addAll(node.queued);
                fresh.queued.forEach(pending -> pending.queuedAt = fresh);
            }
            node = fresh;
            nodes.put(node.id, node);
        }
        node.zone = entry.zone();
        node.shard = entry.shard();
        node.state = entry.state();
        node.upSinceMs = Math.max(node.upSinceMs, entry.upSinceMs());
    }

    /** Moves the requests queued for a node to other nodes that hold the shard, or refuses them. */
    private void moveQueued(double nowMs, Node node) {
        for (PendingRequest pending : List.copyOf(node.queued)) {
            node.queued.remove(pending);
            enqueueOrRefuse(nowMs, pending, chooseNode(nowMs, pending), NODE_LIST_RETRY_MS);
        }
    }

    /** Returns the node with the earliest estimated end, with jitter and silent nodes last; null if none may serve. */
    private Node chooseNode(double nowMs, PendingRequest pending) {
        TreeMap<Double, Node> byEstimatedEnd = new TreeMap<>();
        int wanted = pending.request.shard();
        for (Node node : nodes.values()) {
            boolean holdsShard = wanted < 0 ? node.shard < NodeEntry.FIRST_PRIVATE_SHARD : node.shard == wanted;
            if (node.state == NodeState.READY && holdsShard && mayExecuteAt(nowMs, pending, node)) {
                double estimate = (emulate(nowMs, node, pending, Set.of()).endMs - nowMs + node.latencyMs)
                        * (1 + random.nextDouble());
                byEstimatedEnd.putIfAbsent(isSilent(nowMs, node) ? Double.MAX_VALUE : estimate, node);
            }
        }
        return byEstimatedEnd.isEmpty() ? null : byEstimatedEnd.firstEntry().getValue();
    }

    // ---- Measured service rate ----

    /**
     * Returns the node's service rate in units per slot. Few measured slots are weighed with the mean of all nodes. The
     * rate is at least window over latency: a mean that is too low would refuse the very requests that could raise it.
     * The price is that slow answers show late that a node is overloaded.
     */
    private double unitsPerSlot(double nowMs, Node node, PendingRequest pending) {
        double initialRate = INITIAL_REQUESTS_PER_SLOT * settings.meanUnits();
        double priorRate = (servedUnits.sum(nowMs) + initialRate * PRIOR_RATE_SLOTS)
                / (measuredSlots.sum(nowMs) + PRIOR_RATE_SLOTS);
        double measuredRate = (node.servedUnits.sum(nowMs) + priorRate * PRIOR_RATE_SLOTS)
                / (node.measuredSlots.sum(nowMs) + PRIOR_RATE_SLOTS);
        double windowRate = effectiveWindow(node, pending) * settings.meanUnits() * slotMs / node.latencyMs;
        double pacedRate = settings.meanUnits() * slotMs / coldServiceMs(nowMs, node) * coldInFlightLimit(nowMs, node);
        return isCold(nowMs, node)
                ? Math.min(Math.max(measuredRate, windowRate), pacedRate)
                : Math.max(measuredRate, windowRate);
    }

    /**
     * Counts the slot only if the window kept a request waiting. A request that waits for a cold budget, a limit, its
     * key or a silent node says nothing about the service rate; counting it would refuse work for the whole rate span.
     * The price is that a node which falls silent again and again keeps the rate of its good moments.
     */
    private void endSlot(double nowMs, Node node) {
        if (node.slotBacklogged) {
            node.measuredSlots.add(nowMs, 1);
            node.servedUnits.add(nowMs, node.slotServedUnits);
            measuredSlots.add(nowMs, 1);
            servedUnits.add(nowMs, node.slotServedUnits);
        }
        node.slotServedUnits = 0;
        node.slotBacklogged = false;
    }

    // ---- Emulation and admission ----

    @Override
    public void requestReceived(double nowMs, Request request) {
        detectPause(nowMs);
        recentRequests.add(nowMs, 1);
        if (Double.isInfinite(nextTickMs)) {
            nextTickMs = nowMs + slotMs;
            actions.setTimer(nextTickMs, TICK_TOKEN);
        }
        PendingRequest pending = new PendingRequest(nowMs, request);
        pendingRequests.put(request.id(), pending);
        double margin = Math.max(MIN_ANSWER_MARGIN_MS, ANSWER_MARGIN_TICKS * settings.tickMs());
        actions.setTimer(nowMs + Math.max(0, request.timeLeftMs() - margin), request.id());
        admit(nowMs, pending);
    }

    private void admit(double nowMs, PendingRequest pending) {
        Node node = chooseNode(nowMs, pending);
        if (node == null) {
            refuseOrFail(nowMs, pending, NODE_LIST_RETRY_MS);
            return;
        }
        if (!withinLimit(nowMs, pending)) {
            double missingUnits = pending.units() - pending.volume.limit.level(nowMs);
            refuseOrFail(nowMs, pending, missingUnits * 1000 * pending.volume.hostCount / pending.volume.plan.limit());
            return;
        }
        charge(nowMs, pending);
        Emulation emulation = emulate(nowMs, node, pending, Set.of());
        if (!emulation.feasible && !evictLessValuable(nowMs, node, pending)) {
            refuseOrFail(nowMs, pending, Math.max(slotMs, emulation.endMs - pending.aimMs));
            return;
        }
        enqueueOrRefuse(nowMs, pending, node, 0);
    }

    /** Returns the time by which a request must end to be admitted. */
    private static double targetEndMs(double nowMs, PendingRequest pending) {
        return nowMs + (pending.aimMs - nowMs) * (pending.chargedBucket == null ? EXCESS_AIM_FRACTION : 1);
    }

    /**
     * Result of an emulation.
     *
     * @param endMs estimated end of the added request
     * @param feasible true if that is in time and makes no other request late
     */
    private record Emulation(double endMs, boolean feasible) {}

    /** Emulates the node's work with a request added and some queued requests removed. */
    private Emulation emulate(double nowMs, Node node, PendingRequest added, Set<PendingRequest> removed) {
        double rate = unitsPerSlot(nowMs, node, added);
        double beginMs = nowMs + Math.max(silenceMs(nowMs, node), agedQueueWaitMs(nowMs, node));
        boolean paced = isCold(nowMs, node) && coldInFlightLimit(nowMs, node) < 1;
        beginMs += paced
                ? coldServiceMs(nowMs, node) * (1 - coldPacerLevel(nowMs, node) / coldInFlightLimit(nowMs, node))
                : 0;
        boolean idle = (isSilent(nowMs, node) ? isTestDue(nowMs, node) : node.inFlight.isEmpty())
                && node.queued.isEmpty()
                && withinColdBudget(nowMs, node, added)
                && nowMs + agedQueueWaitMs(nowMs, node) < added.aimMs;
        boolean feasible = !node.suspect;
        double units = 0;
        double addedEndMs = Double.POSITIVE_INFINITY;
        for (PendingRequest pending : deadlineOrder(node, added, removed, !paced)) {
            units += pending.units();
            double endMs = endMs(beginMs, units, rate);
            if (pending == added) {
                addedEndMs = endMs;
                feasible &= endMs <= targetEndMs(nowMs, added);
            } else if (addedEndMs <= endMs && endMs > pending.aimMs) {
                feasible &= endMs(beginMs, units - added.units(), rate) > pending.aimMs;
            }
        }
        return new Emulation(addedEndMs, idle || feasible);
    }

    private double endMs(double beginMs, double units, double rate) {
        return rate > 0 ? beginMs + Math.ceil(units / rate) * slotMs : Double.POSITIVE_INFINITY;
    }

    /** Returns the added request and those queued and, if included, in flight at a node, earliest deadline first. */
    private static List<PendingRequest> deadlineOrder(
            Node node, PendingRequest added, Set<PendingRequest> removed, boolean includeInFlight) {
        List<PendingRequest> ordered = new ArrayList<>(node.queued);
        ordered.removeAll(removed);
        node.inFlight.stream().filter(attempt -> includeInFlight).forEach(attempt -> ordered.add(attempt.pending));
        if (added.queuedAt != node) {
            ordered.add(added);
        }
        ordered.sort(BY_DEADLINE);
        return ordered;
    }

    /**
     * Refuses queued requests of lesser worth that never ran, least first, until the new one fits. Returns false, and
     * refuses none, if even all of them are not enough. The design has no such step; it resembles buffer stealing.
     */
    private boolean evictLessValuable(double nowMs, Node node, PendingRequest pending) {
        Set<PendingRequest> victims = new LinkedHashSet<>();
        List<PendingRequest> candidates = node.queued.stream()
                .filter(other ->
                        other.worth < pending.worth && other.possibleExecution == null && other.openAttempts.isEmpty())
                .sorted(Comparator.comparingDouble((PendingRequest other) -> other.worth)
                        .thenComparing(BY_DEADLINE))
                .toList();
        for (PendingRequest candidate : candidates) {
            victims.add(candidate);
            if (emulate(nowMs, node, pending, victims).feasible) {
                victims.forEach(victim -> refuseOrFail(nowMs, victim, slotMs));
                return true;
            }
        }
        return false;
    }

    // ---- Entitlement of volumes ----

    /** Returns the volume of a request, a new one if needed, and adapts it to a larger number of hosts. */
    private Volume volumeOf(double nowMs, Request request) {
        if (volumes.size() >= MAX_VOLUMES && !volumes.containsKey(request.volume())) {
            volumes.remove(volumes.keySet().iterator().next());
            limitFillStartMs = nowMs;
        }
        int hostCount = request.volumeHostCount() > 0 ? request.volumeHostCount() : settings.hosts();
        Volume volume = volumes.computeIfAbsent(
                request.volume(), id -> new Volume(settings.plans().get(request.plan()), limitFillStartMs, nowMs));
        if (hostCount > volume.hostCount) {
            resizeBuckets(nowMs, volume, hostCount, Math.min(1 / Math.sqrt(hostCount), 2.0 / hostCount));
        }
        return volume;
    }

    /** Resizes a volume's buckets: the limit is divided evenly among the hosts, the others by the local fraction. */
    private void resizeBuckets(double nowMs, Volume volume, int hostCount, double localFraction) {
        Plan plan = volume.plan;
        double fromMs = volume.hostCount == 0 ? limitFillStartMs : nowMs;
        volume.hostCount = hostCount;
        volume.localFraction = localFraction;
        volume.limit.reconfigure(
                fromMs, plan.limit() * budgetShare / hostCount, plan.limitBurst() * budgetShare / hostCount);
        volume.reserve.reconfigure(
                nowMs, plan.reserve() * localFraction, (plan.reserve() + settings.mostUnits()) * localFraction);
        volume.share.reconfigure(
                nowMs, plan.rate() * localFraction, (plan.rate() + settings.mostUnits()) * localFraction);
    }

    /** Charges the first bucket that covers the request, reserve before share, and sets its worth. */
    private void charge(double nowMs, PendingRequest pending) {
        Volume volume = pending.volume;
        double minLevel = Math.min(pending.units(), settings.meanUnits());
        double worthFactor = settings.spareWorth();
        if (volume.plan.reserve() > 0 && volume.reserve.level(nowMs) >= minLevel) {
            pending.chargedBucket = volume.reserve;
            worthFactor = 1;
        } else if (volume.share.level(nowMs) >= minLevel) {
            pending.chargedBucket = volume.share;
            worthFactor = settings.shareWorth();
        }
        if (pending.chargedBucket != null) {
            pending.chargedBucket.take(nowMs, pending.units());
        }
        double lateFactor = pending.aimMs > nowMs ? 1 : pending.requestClass.lateWorth();
        pending.worth = pending.requestClass.worth() * volume.plan.price() * worthFactor * lateFactor;
    }

    /** Returns the charged units of a request that is not served to its volume's bucket. */
    private void refund(double nowMs, PendingRequest pending) {
        if (pending.chargedBucket != null) {
            pending.chargedBucket.take(nowMs, -pending.units());
            pending.chargedBucket = null;
        }
    }

    /**
     * Updates this host's fraction of a volume's usage.
     *
     * @param reportedUse as of {@link AttemptEnd#reportedUse}
     */
    private void noteUsage(double nowMs, Volume volume, int reportedUse) {
        double totalRate = (reportedUse - 1) / 100.0 * volume.plan.rate();
        double localRate = volume.locallyServedUnits.sum(nowMs) * 1000 / USAGE_SPAN_MS;
        if (totalRate > 0) {
            double measuredFraction = Math.max(1.0 / volume.hostCount, Math.min(1, localRate / totalRate));
            resizeBuckets(
                    nowMs,
                    volume,
                    volume.hostCount,
                    volume.localFraction + EWMA_WEIGHT * (measuredFraction - volume.localFraction));
        }
    }

    // ---- Dispatch under the window ----

    /** Queues a request for a node, or ends it if there is none. */
    private void enqueueOrRefuse(double nowMs, PendingRequest pending, Node node, double retryAfterMs) {
        if (node == null) {
            refuseOrFail(nowMs, pending, retryAfterMs);
        } else {
            pending.queuedAt = node;
            node.queued.add(pending);
            dispatch(nowMs, node);
        }
    }

    /** Sends queued requests by deadline while the window has room, and refuses those that are too late. */
    private void dispatch(double nowMs, Node node) {
        List<PendingRequest> requests = node.state == NodeState.READY ? List.copyOf(node.queued) : List.of();
        for (PendingRequest pending : requests) {
            boolean idle = node.inFlight.isEmpty();
            double waitMs = agedQueueWaitMs(nowMs, node);
            if ((!idle || isCold(nowMs, node)) && nowMs + MIN_LATENCY_FRACTION * node.latencyMs > pending.aimMs
                    || waitMs > 0 && nowMs + waitMs > targetEndMs(nowMs, pending)) {
                refuseOrFail(nowMs, pending, slotMs);
            } else if (maySend(nowMs, node, pending)) {
                if (hasWindowRoom(nowMs, node, pending)) {
                    send(nowMs, node, pending);
                } else {
                    node.slotBacklogged |= !isSilent(nowMs, node);
                }
            }
        }
    }

    /**
     * Returns whether the window has room for the request. A silent node gets a test request now and then, since what
     * is sent into silence misses its aim. The test is unsafe only if no other kind is queued: an unsafe request could
     * not be refused afterwards. The price is that a node with one long request at a time looks silent.
     */
    private boolean hasWindowRoom(double nowMs, Node node, PendingRequest pending) {
        if (nowMs < node.pausedUntilMs) {
            return false;
        }
        if (isSilent(nowMs, node)) {
            boolean mayTest = pending.requestClass.effect() != Effect.UNSAFE
                    || node.queued.stream().allMatch(other -> other.requestClass.effect() == Effect.UNSAFE);
            return mayTest && isTestDue(nowMs, node);
        }
        double window = effectiveWindow(node, pending);
        double pauseMs = pending.chargedBucket == null ? node.latencyMs : Math.min(node.latencyMs, initialLatencyMs);
        return window >= 1
                ? node.inFlight.size() + 1 <= window
                : node.inFlight.isEmpty() && nowMs >= node.lastHeardMs + pauseMs * (1 / window - 1);
    }

    /**
     * Returns the window for a request. That of entitled requests is wider and at least one, except where many hosts
     * share a node whose last answer was late: their entitled requests alone could overload it.
     */
    private double effectiveWindow(Node node, PendingRequest pending) {
        double hosts = Math.min(settings.hosts(), pending.volume.hostCount * MAX_WINDOW);
        double entitledWindow = manyHosts && node.lastAnswerLate
                ? Math.min(1, MIN_COMBINED_WINDOW / hosts)
                : Math.max(1, Math.min(MAX_WINDOW, node.window * ENTITLED_WINDOW_FACTOR));
        return pending.chargedBucket == null ? node.window : entitledWindow;
    }

    /** True if a node is suspect, or silent for too long with attempts in flight. */
    private boolean isSilent(double nowMs, Node node) {
        return node.suspect || silenceMs(nowMs, node) > SILENCE_TIMEOUT_SLOTS * slotMs;
    }

    /**
     * Returns whether another test request may be sent to a silent node: what is in flight may be lost, and only an
     * answer can tell. The interval grows with the unanswered attempts and with the number of hosts, since all hosts
     * test; that bounds the tests of all of them together.
     */
    private boolean isTestDue(double nowMs, Node node) {
        double hostsPerWindow = settings.hosts() / MAX_WINDOW;
        double backoff = Math.max(Math.min(node.sentSinceAnswer, MAX_BACKOFF_STEPS), hostsPerWindow);
        return node.inFlight.isEmpty() && !manyHosts
                || nowMs >= node.lastSentMs + SILENCE_TIMEOUT_SLOTS * slotMs * backoff;
    }

    /**
     * Frees the window of slow bodies, and of attempts that later ones overtook long ago. Otherwise a lost request or
     * answer would occupy the window until the client's deadline. The price is that very heavy work is taken for lost.
     */
    private void releaseWindow(double nowMs, Node node) {
        for (Attempt attempt : List.copyOf(node.inFlight)) {
            PendingRequest pending = attempt.pending();
            double lostAfterMs = LOST_ATTEMPT_LATENCIES * node.latencyMs * sizeFactor(pending);
            if (pending.bodyPending) {
                if (nowMs > attempt.sentMs() + Math.min(node.latencyMs, rules.fallMs() / 2)) {
                    node.inFlight.remove(attempt);
                    node.slowBodies.add(attempt);
                }
            } else if (attempt.deliveredMs() < Math.min(node.newestAnsweredSentMs, nowMs - lostAfterMs)) {
                node.inFlight.remove(attempt);
                noteUnserved(nowMs, node, pending);
                pending.possibleExecution = Objects.requireNonNullElse(pending.possibleExecution, attempt);
            }
        }
    }

    /** Returns the units of a request relative to the mean, at least 1. */
    private double sizeFactor(PendingRequest pending) {
        return Math.max(1, pending.units() / settings.meanUnits());
    }

    private void send(double nowMs, Node node, PendingRequest pending) {
        dequeue(pending);
        if (pending.attempts.isEmpty()) {
            pending.unitsHeld = pending.volume.plan.limit() > 0 ? pending.units() : 0;
            pending.volume.limit.hold(nowMs, pending.unitsHeld);
        } else {
            recentRetries.add(nowMs, 1);
        }
        Attempt attempt = new Attempt(pending, node, nowMs, pending.attempts.size());
        pending.attempts.add(attempt);
        pending.openAttempts.add(attempt);
        node.inFlight.add(attempt);
        node.lastSentMs = nowMs;
        node.sentSinceAnswer++;
        node.coldSentUnits.add(nowMs, pending.units());
        double maxTokens = settings.mostUnits() / settings.meanUnits() + node.coldPacer.level(nowMs);
        node.coldPacer.take(nowMs, Math.min(maxTokens, pending.units() / settings.meanUnits()));
        actions.send(pending.request.id(), node.id, 0);
    }

    // ---- Outcomes, retries, final answers ----

    @Override
    public void requestBodyStarted(double nowMs, long request) {
        PendingRequest pending = pendingRequests.get(request);
        if (pending != null) {
            pending.streaming = true;
            pending.bodyPending = true;
        }
    }

    /** The node can begin the request only now, so it counts from now on as sent to a cold node. */
    @Override
    public void requestBodyReceived(double nowMs, long request) {
        PendingRequest pending = pendingRequests.get(request);
        for (Attempt attempt : pending == null ? Set.<Attempt>of() : pending.openAttempts) {
            pending.bodyPending = false;
            pending.bodyReceivedMs = nowMs;
            Node node = nodes.getOrDefault(attempt.node().id, attempt.node());
            node.coldSentUnits.postpone(attempt.sentMs(), nowMs, pending.units());
            if (node.slowBodies.remove(attempt)) {
                node.inFlight.add(attempt);
            }
        }
    }

    /** Ignores streamed bodies, whose end may stay in socket buffers for seconds: their answer counts instead. */
    @Override
    public void requestWritten(double nowMs, long request) {
        PendingRequest pending = pendingRequests.get(request);
        if (pending != null && !pending.streaming) {
            pending.releaseHeldUnits(nowMs);
        }
    }

    @Override
    public void attemptEnded(double nowMs, AttemptEnd end) {
        detectPause(nowMs);
        PendingRequest pending = pendingRequests.get(end.request());
        boolean sent = pending != null && end.attempt() >= 0 && end.attempt() < pending.attempts.size();
        if (!sent || !pending.openAttempts.remove(pending.attempts.get(end.attempt()))) {
            return;
        }
        Attempt attempt = pending.attempts.get(end.attempt());
        Node node = nodes.getOrDefault(attempt.node().id, attempt.node());
        boolean unserved = end.outcome().reachedNode() && end.outcome() != Outcome.SERVED && !pending.bodyPending;
        node.slowBodies.remove(attempt);
        if (node.inFlight.remove(attempt) && unserved) {
            noteUnserved(nowMs, node, pending);
        }
        if (!end.outcome().neverRan()) {
            pending.possibleExecution = Objects.requireNonNullElse(pending.possibleExecution, attempt);
            boolean mayRunYet = end.outcome() != Outcome.SERVED && end.outcome() != Outcome.ERROR;
            double quietMs = mayRunYet ? rules.keyQuietMs() + settings.tickMs() : 0;
            pending.keyQueue.quietUntilMs = Math.max(pending.keyQueue.quietUntilMs, nowMs + quietMs);
        }
        if (!pending.bodyPending || end.outcome() != Outcome.CANCELLED) {
            updateHealth(nowMs, node, attempt, end);
        }
        noteUsage(nowMs, pending.volume, end.reportedUse());
        if (end.requestClosed()) {
            close(pending);
        }
        if (!pending.closed && pending.openAttempts.isEmpty()) {
            retryOrRefuse(nowMs, pending, end.outcome());
        }
        forgetIfDone(nowMs, pending);
        dispatch(nowMs, node);
    }

    /** Retries a request after a failed attempt if its class, aim and the retry budget allow it, else ends it. */
    private void retryOrRefuse(double nowMs, PendingRequest pending, Outcome outcome) {
        int maxAttempts = Math.min(pending.maxAttempts, settings.may().maxAttempts());
        boolean mayRetry = outcome.isRetryable() && nowMs < pending.aimMs && pending.attempts.size() < maxAttempts;
        enqueueOrRefuse(
                nowMs, pending, mayRetry && withinRetryBudget(nowMs) ? chooseNode(nowMs, pending) : null, slotMs);
    }

    /** Gives the final answer to a request that is not served: refused where a new try is harmless, else failed. */
    private void refuseOrFail(double nowMs, PendingRequest pending, double retryAfterMs) {
        refund(nowMs, pending);
        if (isRefusable(pending)) {
            double maxWaitMs = settings.may().retryAfter() ? settings.may().maxRetryAfterMs() : 0;
            actions.refuse(pending.request.id(), Math.min(maxWaitMs, retryAfterMs));
        } else {
            actions.fail(pending.request.id());
        }
        pending.closed = true;
        dequeue(pending);
        forgetIfDone(nowMs, pending);
    }

    private static boolean isRefusable(PendingRequest pending) {
        boolean neverRan = pending.possibleExecution == null && pending.openAttempts.isEmpty();
        return neverRan
                || pending.requestClass.effect() == Effect.REPEATABLE
                || pending.requestClass.effect() == Effect.KEYED && pending.requestClass.group() == DedupGroup.ALL;
    }

    /** Closes a request that needs no final answer from here, and cancels its attempts in flight. */
    private void close(PendingRequest pending) {
        pending.closed = true;
        dequeue(pending);
        if (settings.may().cancel() && !pending.streaming) {
            pending.openAttempts.forEach(attempt -> actions.cancel(pending.request.id(), attempt.number));
        }
    }

    private static void dequeue(PendingRequest pending) {
        if (pending.queuedAt != null) {
            pending.queuedAt.queued.remove(pending);
            pending.queuedAt = null;
        }
    }

    private void forgetIfDone(double nowMs, PendingRequest pending) {
        if (pending.closed && pending.openAttempts.isEmpty()) {
            pending.releaseHeldUnits(nowMs);
            pendingRequests.remove(pending.request.id());
            pending.keyQueue.requests.remove(pending);
        }
    }

    @Override
    public void clientGone(double nowMs, long request) {
        PendingRequest pending = pendingRequests.get(request);
        if (pending != null && !pending.closed) {
            refund(nowMs, pending);
            close(pending);
            forgetIfDone(nowMs, pending);
        }
    }

    @Override
    public void streamStarted(double nowMs, long request, int attempt) {
        PendingRequest pending = pendingRequests.get(request);
        if (pending != null) {
            pending.streaming = true;
            nodes.values()
                    .forEach(node -> node.inFlight.removeIf(
                            open -> open.pending() == pending && node.shard < NodeEntry.FIRST_PRIVATE_SHARD));
        }
    }

    @Override
    public void timerFired(double nowMs, long token) {
        detectPause(nowMs);
        if (token == TICK_TOKEN) {
            tick(nowMs);
        } else if (token == NODE_LIST_RETRY_TOKEN) {
            actions.subscribeToNodes();
        } else {
            PendingRequest pending = pendingRequests.get(token);
            if (pending != null && !pending.closed && !pending.streaming) {
                refuseOrFail(nowMs, pending, 0);
            }
        }
    }

    private void tick(double nowMs) {
        for (Node node : nodes.values()) {
            endSlot(nowMs, node);
            releaseWindow(nowMs, node);
            dispatch(nowMs, node);
        }
        keyQueues.values().removeIf(queue -> queue.requests.isEmpty() && nowMs >= queue.quietUntilMs);
        boolean busy = nodes.values().stream().anyMatch(node -> !node.queued.isEmpty() || !node.inFlight.isEmpty());
        nextTickMs = busy ? nowMs + slotMs : Double.POSITIVE_INFINITY;
        if (busy) {
            actions.setTimer(nextTickMs, TICK_TOKEN);
        }
    }

    /**
     * A tick overdue by more than a slot means that this host was paused, so no node counts as silent for that time. A
     * node that fell silent meanwhile is found later by as much.
     */
    private void detectPause(double nowMs) {
        if (nowMs > nextTickMs + slotMs) {
            nextTickMs = nowMs;
            nodes.values().forEach(node -> node.lastHeardMs = nowMs);
        }
    }

    // ---- State kept over a restart ----

    @Override
    public LearnedState learnedState(double nowMs) {
        return new LearnedState(
                nowMs,
                measuredSlots.sum(nowMs),
                servedUnits.sum(nowMs),
                nodes.values().stream()
                        .map(node -> new LearnedNode(
                                node.id,
                                node.upSinceMs,
                                node.measuredSlots.sum(nowMs),
                                node.servedUnits.sum(nowMs),
                                node.window,
                                node.latencyMs,
                                node.coldSentUnits.sum(nowMs),
                                isSilent(nowMs, node) ? Math.max(1, silenceMs(nowMs, node)) : 0))
                        .toList(),
                volumes.entrySet().stream()
                        .map(entry -> learnedVolume(nowMs, entry.getKey(), entry.getValue()))
                        .toList());
    }

    private LearnedVolume learnedVolume(double nowMs, long id, Volume volume) {
        return new LearnedVolume(
                id,
                settings.plans().indexOf(volume.plan),
                volume.hostCount,
                volume.localFraction,
                volume.limit.level(nowMs),
                volume.reserve.level(nowMs),
                volume.share.level(nowMs));
    }

    /** Restored nodes are gone until a list names them; one with a newer start time loses its restored state. */
    @Override
    public void restore(double nowMs, LearnedState learned) {
        measuredSlots.add(nowMs, learned.measuredSlots());
        servedUnits.add(nowMs, learned.servedUnits());
        learned.nodes().forEach(old -> nodes.put(old.node(), new Node(nowMs, old)));
        for (LearnedVolume old : learned.volumes()) {
            Volume volume = new Volume(settings.plans().get(old.plan()), limitFillStartMs, nowMs);
            resizeBuckets(nowMs, volume, old.hostCount(), old.localFraction());
            volume.limit.take(nowMs, volume.limit.level(nowMs) - old.limitLevel());
            volume.reserve.take(nowMs, volume.reserve.level(nowMs) - old.reserveLevel());
            volume.share.take(nowMs, volume.share.level(nowMs) - old.shareLevel());
            volumes.put(old.volume(), volume);
        }
    }

    @Override
    public ModuleLoad load() {
        int inFlight = nodes.values().stream()
                .mapToInt(node -> node.inFlight.size() + node.slowBodies.size())
                .sum();
        double heldUnits = volumes.values().stream()
                .mapToDouble(volume -> volume.limit.held())
                .sum();
        return new ModuleLoad(pendingRequests.size(), inFlight, heldUnits);
    }

    // ---- Rules that every attempt must keep ----

    private boolean maySend(double nowMs, Node node, PendingRequest pending) {
        boolean mayHold = pending.volume.limit.mayHold(pending.units());
        return mayExecuteAt(nowMs, pending, node)
                && isFirstOfKey(nowMs, pending)
                && withinColdBudget(nowMs, node, pending)
                && (pending.attempts.isEmpty() ? withinLimit(nowMs, pending) && mayHold : withinRetryBudget(nowMs));
    }

    /** Rule on effects: a request that may have run goes only to nodes that drop its repeat, and only in time. */
    private boolean mayExecuteAt(double nowMs, PendingRequest pending, Node node) {
        if (pending.possibleExecution == null || pending.requestClass.effect() == Effect.REPEATABLE) {
            return true;
        }
        Attempt execution = pending.possibleExecution;
        // The retry may wait for a connection and then at the node before it beginMs.
        double waitMs = node.latencyMs + Math.max(silenceMs(nowMs, node), agedQueueWaitMs(nowMs, node));
        double beginMs = nowMs + settings.may().connectTimeoutMs() + waitMs;
        return pending.requestClass.effect() == Effect.KEYED
                && beginMs < execution.sentMs() + pending.requestClass.repeatWindowMs()
                && switch (pending.requestClass.group()) {
                    case ALL -> true;
                    case ZONE -> node.zone == execution.node().zone;
                    case SHARD -> node.shard == execution.node().shard;
                };
    }

    private boolean withinLimit(double nowMs, PendingRequest pending) {
        return pending.volume.plan.limit() <= 0 || pending.volume.limit.level(nowMs) >= pending.units();
    }

    /** Rule on the retry budget; the two spans differ by ticks so that both counts err on the safe side. */
    private boolean withinRetryBudget(double nowMs) {
        boolean unlimited = rules.freeFurther() < 0 && rules.furtherShare() < 0;
        double ratioBudget = Math.max(0, rules.furtherShare()) * recentRequests.sum(nowMs);
        return unlimited || recentRetries.sum(nowMs) + 1 <= Math.max(0, rules.freeFurther()) + ratioBudget;
    }

    /** True until a node has been up for the warm-up and one overload period; start time 0 means long past. */
    private boolean isCold(double nowMs, Node node) {
        return node.upSinceMs > 0 && nowMs < node.upSinceMs + rules.warmUpMs() + rules.fallMs();
    }

    /** Returns the capacity of a node by the slowest allowed warm-up, as a fraction of a warm one's. */
    private double capacityFraction(double nowMs, Node node) {
        double warmedUp = Math.max(0, nowMs - node.upSinceMs - rules.fallMs()) / rules.warmUpMs();
        return isCold(nowMs, node) ? rules.coldShare() + (1 - rules.coldShare()) * Math.min(1, warmedUp) : 1;
    }

    /** Returns this host's equal part of the units that a cold node bears in one overload period. */
    private double coldBudgetUnits(double nowMs, Node node) {
        return budgetShare
                * settings.coldUnits()
                / settings.hosts()
                * capacityFraction(nowMs, node)
                / rules.coldShare();
    }

    /** Returns the time that a request of mean size takes at a cold node now, ms. */
    private double coldServiceMs(double nowMs, Node node) {
        return (node.answerCount == 0 ? poolServiceMs : node.serviceMs) / capacityFraction(nowMs, node);
    }

    /**
     * Returns the mean-sized requests that this host may have in flight at a cold node. In any period a node receives
     * at most what it finishes plus what is in flight, so all hosts together may have in flight what the overload
     * factor leaves beyond the node's own capacity. That capacity is the one the settings state, or the one its answers
     * show, whichever allows more.
     */
    private double coldInFlightLimit(double nowMs, Node node) {
        double headroom = rules.fallMultiple() - 1;
        double serviceMs = coldServiceMs(nowMs, node);
        double ownCapacity = coldBudgetUnits(nowMs, node) / rules.fallMultiple() / settings.meanUnits();
        double statedLimit = ownCapacity * headroom >= 1
                ? ownCapacity * headroom
                : ownCapacity * Math.min(headroom, serviceMs / rules.fallMs());
        double maxCombined = node.answerCount > 0 ? MIN_COMBINED_WINDOW : UNHEARD_COLD_COMBINED_WINDOW;
        double combinedByAnswers = Math.min(maxCombined, COLD_SAFETY_FACTOR * headroom * rules.fallMs() / serviceMs);
        return Math.max(statedLimit, budgetShare * combinedByAnswers / settings.hosts());
    }

    /** Counts units that a cold node has received and that are no longer in flight although it did not serve them. */
    private void noteUnserved(double nowMs, Node node, PendingRequest pending) {
        if (isCold(nowMs, node)) {
            node.coldUnservedUnits.add(nowMs, pending.units());
        }
    }

    /** Returns the tokens of a cold node's pacer, which refills at the in-flight limit per service time. */
    private double coldPacerLevel(double nowMs, Node node) {
        node.coldPacer.reconfigure(nowMs, 1000 * coldInFlightLimit(nowMs, node) / coldServiceMs(nowMs, node), 1);
        return node.coldPacer.level(nowMs);
    }

    /**
     * Rule on cold nodes: within its budget a host sends freely, beyond it up to its in-flight limit, or paced where
     * that is below one request. A host that just started waits one overload period, since its earlier run may have
     * spent the budget. What ended without being served counts as in flight for one overload period: a node that fails
     * or rejects at once has received it, and has not finished it. A paced host is bounded by its pace whatever becomes
     * of its requests. Relies on the units that requests state.
     */
    private boolean withinColdBudget(double nowMs, Node node, PendingRequest pending) {
        if (!isCold(nowMs, node)) {
            return true;
        }
        double limit = coldInFlightLimit(nowMs, node);
        double unservedUnits = node.coldUnservedUnits.sum(nowMs);
        double unfinishedUnits = unservedUnits + units(node.inFlight, nowMs) + units(node.slowBodies, nowMs);
        double sentUnits = node.coldSentUnits.sum(nowMs) + units(node.slowBodies, nowMs - rules.fallMs());
        boolean paced = node.inFlight.isEmpty() && (limit < 1 || unservedUnits == 0);
        boolean allowed = !node.suspect
                && (unfinishedUnits + pending.units() <= settings.meanUnits() * limit
                        || paced && coldPacerLevel(nowMs, node) >= 1);
        allowed |= sentUnits + pending.units() <= coldBudgetUnits(nowMs, node);
        return allowed && nowMs >= startedMs + rules.fallMs();
    }

    /** Returns the units of the attempts that were sent before a time. */
    private static double units(List<Attempt> attempts, double beforeMs) {
        double units = 0;
        for (Attempt attempt : attempts) {
            units += attempt.sentMs() <= beforeMs ? attempt.pending().units() : 0;
        }
        return units;
    }

    /**
     * Rule on key order: the request is the oldest of its key, and for a first attempt the key's quiet time is over.
     */
    private boolean isFirstOfKey(double nowMs, PendingRequest pending) {
        boolean oldest = pending.keyQueue.requests.peekFirst() == pending;
        return oldest && (nowMs >= pending.keyQueue.quietUntilMs || !pending.attempts.isEmpty());
    }

    // ---- Health ----

    /**
     * Returns the wait in the node's queue that the newest outcome showed, which decays with its age. It accounts for
     * the load of other hosts. With few hosts it is 0, since this host's own attempts show the load.
     */
    private double agedQueueWaitMs(double nowMs, Node node) {
        double decay = Math.pow(0.5, (nowMs - node.queueWaitSeenMs) / (QUEUE_WAIT_HALF_LIFE_SLOTS * slotMs));
        return manyHosts ? node.queueWaitMs * decay : 0;
    }

    private static void noteQueueWait(double nowMs, Node node, double waitMs) {
        node.queueWaitMs = Math.max(0, waitMs);
        node.queueWaitSeenMs = nowMs;
    }

    /** Returns how long beyond its latency a node has been silent with attempts in flight, ms. */
    private static double silenceMs(double nowMs, Node node) {
        double sinceMs = node.inFlight.isEmpty()
                ? nowMs
                : Math.max(node.lastHeardMs, node.inFlight.get(0).deliveredMs());
        return Math.max(0, nowMs - sinceMs - node.latencyMs);
    }

    /** Updates window and health of a node by an outcome. Only answers grow a window, so fast errors cannot. */
    private void updateHealth(double nowMs, Node node, Attempt attempt, AttemptEnd end) {
        PendingRequest pending = attempt.pending();
        switch (end.outcome()) {
            case SERVED -> {
                node.lastHeardMs = nowMs;
                node.newestAnsweredSentMs = Math.max(node.newestAnsweredSentMs, attempt.deliveredMs());
                node.sentSinceAnswer = 0;
                node.suspect = false;
                node.slotServedUnits += pending.units();
                pending.volume.locallyServedUnits.add(nowMs, pending.units());
                node.lastAnswerLate = end.elapsedMs() > pending.requestClass.aimMs();
                noteQueueWait(nowMs, node, end.elapsedMs() - initialLatencyMs * sizeFactor(pending));
                double warmServiceMs =
                        end.elapsedMs() * settings.meanUnits() / pending.units() * capacityFraction(nowMs, node);
                double formerMs = node.answerCount == 0 ? poolServiceMs : node.serviceMs;
                node.serviceMs =
                        formerMs + (warmServiceMs - formerMs) / Math.min(COLD_MEAN_ANSWERS, ++node.answerCount + 1);
                poolServiceMs +=
                        (warmServiceMs - poolServiceMs) / (isCold(nowMs, node) ? COLD_MEAN_ANSWERS : WARM_MEAN_ANSWERS);
                node.latencyMs += node.latencyWeight * (end.elapsedMs() - node.latencyMs);
                node.latencyWeight = Math.max(EWMA_WEIGHT, node.latencyWeight / (1 + node.latencyWeight));
                if (nowMs > pending.aimMs || node.latencyMs > MAX_LATENCY_AIM_FRACTION * tightestAimMs) {
                    halveWindow(nowMs, node);
                } else if (node.inFlight.size() + 2 > node.window) {
                    double step = Math.min(node.window, 1 / node.window);
                    node.window = Math.min(MAX_WINDOW, node.window + step);
                }
            }
            case REJECTED, NOT_CONNECTED -> {
                noteQueueWait(nowMs, node, pending.requestClass.aimMs());
                node.suspect |= end.outcome() == Outcome.NOT_CONNECTED;
                node.pausedUntilMs = nowMs + slotMs;
                halveWindow(nowMs, node);
            }
            case TIMED_OUT, RESET, CANCELLED -> {
                node.lastAnswerLate |= end.elapsedMs() > pending.requestClass.aimMs();
                noteQueueWait(nowMs, node, Math.max(end.elapsedMs(), agedQueueWaitMs(nowMs, node)));
                if (node.lastHeardMs <= attempt.deliveredMs()) {
                    node.suspect |= end.outcome() != Outcome.CANCELLED;
                    halveWindow(nowMs, node);
                }
            }
            case ERROR, OVER -> node.lastHeardMs = nowMs;
        }
    }

    /** Halves the window, at most once per latency. */
    private void halveWindow(double nowMs, Node node) {
        if (nowMs >= node.windowHalvedMs + node.latencyMs) {
            boolean crowded = node.latencyMs > 2 * MAX_LATENCY_AIM_FRACTION * tightestAimMs;
            double minWindow = Math.max(crowded ? 0 : 1, MIN_COMBINED_WINDOW / settings.hosts());
            node.window = Math.max(minWindow, node.window / 2);
            node.windowHalvedMs = nowMs;
        }
    }
}
