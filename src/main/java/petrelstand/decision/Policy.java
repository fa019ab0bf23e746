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
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.Plan;
import petrelstand.decision.Scheduling.Request;
import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.decision.Scheduling.Rules;
import petrelstand.decision.Scheduling.Settings;

/** Every decision of a host: admission by deadline emulation, departure under a window, the rules' guards. */
public final class Policy implements HostEvents {
    /**
     * Slot of the emulation and of the measured rate, as a part of the tightest aim: aims go with the work of a
     * request, so what is told in slots holds for sites that are slower or faster by any factor.
     */
    public static final double SLOT_AIM_FRACTION = 0.2;
    /** Span of the measured rate, ms: the design's ten seconds. */
    public static final double RATE_SPAN_MS = 10_000;
    /** Requests a slot that an unheard node is taken to serve: the design's few. */
    static final double START_REQUESTS_A_SLOT = 1;
    /** Slots that the assumed rate weighs against the measured one: half a second outweighs it. */
    static final double ASSUMED_SLOTS = 10;
    /** Window of a node at the start, requests: the design's few. */
    public static final double INITIAL_WINDOW = 3;
    /** Ceiling of a window, requests: nodes serve in turn of arrival, so what is out cannot give way. */
    public static final double MAX_WINDOW = 8;
    /**
     * Requests that all hosts together may keep out at a crowded node: nodes serve a few at once. A host whose part is
     * below one rests after an answer.
     */
    public static final double MIN_COMBINED_WINDOW = 4;
    /** Part of the tightest aim that a node may usually take; the rest is for waiting where order acts. */
    static final double AIM_PART_AT_NODE = 0.3;
    /** Windows' worth of requests that may be out while they are within their volumes' shares. */
    static final double DUE_WINDOWS = 2;
    /** Weight of the newest answer in a node's usual latency: about ten answers back. */
    static final double LATENCY_WEIGHT = 0.1;
    /** Usual latency assumed of a node not yet heard, in slots. */
    public static final double INITIAL_LATENCY_SLOTS = 2;
    /** Age at which a wait seen at a node counts for half, in slots: about an aim. */
    static final double EVIDENCE_SLOTS = 8;
    /** Silence beyond the usual latency after which a node is exposed to tests only, in slots. */
    static final double STUCK_SLOTS = 6;
    /** Most rests of that length between requests that test a silent node. */
    static final int MOST_TEST_RESTS = 4;
    /** Usual latencies after which an attempt that later ones overtook counts as lost. */
    static final double LOST_LATENCIES = 8;
    /** Part of the usual latency that a held request needs before its aim to be worth sending. */
    static final double LEAST_LATENCY_PART = 0.7;
    /** Part of its aim within which a request beyond its share must end, to leave room for what is due. */
    static final double SPARE_AIM_PART = 0.5;
    /** Span over which this host's part of a volume's use is counted, ms: some meter periods. */
    static final double USE_SPAN_MS = 3_000;
    /** Margin of the final answer before the client's deadline, at the least: ticks, and ms. */
    static final double FINAL_MARGIN_TICKS = 2, FINAL_MARGIN_MS = 5;
    /** Wait for news of the node list, ms: after a failed call, and advised where no node has the shard. */
    static final double LIST_RETRY_MS = 500;
    /** Part of what answers show a cold node to bear that is relied on: work and arrivals vary. */
    static final double COLD_MARGIN = 0.5;
    /** Requests that all hosts together may keep out at a cold node that has not yet answered this one. */
    static final double COLD_OUT_TOGETHER = 1.5;
    /** Answers over which a cold node's own time is a mean, and that of all, by answers of warm nodes. */
    static final double COLD_ANSWERS = 10, POOL_ANSWERS = 50;
    /** Volumes that a host keeps the stores of; the one longest unused goes first. */
    public static final int MAX_VOLUMES = 4096;

    private static final double NEVER = Double.NEGATIVE_INFINITY;
    private static final long TICK = -1, ASK = -2;

    private Settings settings;
    private Rules rules;
    private final HostActions act;
    private final SplittableRandom random;
    private final double startedMs;
    private double tightestAimMs, slotMs, latencyStartMs, share = 1;
    private final TreeMap<Long, Node> nodes = new TreeMap<>();
    private final Map<Long, Item> items = new HashMap<>();
    private final Map<Long, Volume> volumes = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<Long, KeyTurn> turns = new HashMap<>();
    private final SlidingSum slots = new SlidingSum(RATE_SPAN_MS), served = new SlidingSum(RATE_SPAN_MS);
    /** More hosts than a window has room for: each seldom has two requests at a node. */
    private final boolean many;

    private final SlidingSum taken, further;
    private long sequence;
    private double forgotMs;
    private int failedCalls;
    /** What a request of mean size takes at a node, were it warm; of late more by nodes that warm up. */
    private double usualMs;
    /** When the next tick is due while anything is held or out; infinite while the host is idle. */
    private double tickDueMs = Double.POSITIVE_INFINITY;

    /** A request taken by this host and not yet over, or with an attempt still out. */
    private final class Item {
        final Request request;
        final RequestClass kind;
        final Volume volume;
        final KeyTurn turn;
        final long order = sequence++;
        final double aimMs;
        final int mostAttempts = settings.may().maxAttempts();
        final List<Attempt> attempts = new ArrayList<>();
        final Set<Attempt> open = new LinkedHashSet<>();
        /** The store of its volume that it draws on, reserve or share; null where it is due neither. */
        TokenBucket charged;

        double worth;
        Node heldAt;
        boolean closed, streaming;
        /** Units held in its volume's limit: sent, and not known to have reached a node. */
        double unitsHeld;

        Attempt mayHaveRun;

        Item(double nowMs, Request request) {
            this.request = request;
            kind = settings.classes().get(request.requestClass());
            volume = volume(nowMs, request);
            double left = request.timeLeftMs();
            double waited = request.clientRetry() ? Math.max(0, kind.deadlineMs() - left) : 0;
            aimMs = nowMs + Math.min(kind.aimMs() - waited, left);
            boolean ordered = kind.ordered() && request.key() != 0;
            turn = ordered ? turns.computeIfAbsent(request.key(), k -> new KeyTurn()) : new KeyTurn();
            turn.queue.addLast(this);
        }

        double units() {
            return request.units();
        }

        /** Its units have reached a node, or never will. */
        void arrived(double nowMs) {
            volume.limit.release(nowMs, unitsHeld);
            unitsHeld = 0;
        }
    }

    private record Attempt(Item item, Node node, double sentMs, int number) {}

    private static final Comparator<Item> BY_DEADLINE =
            Comparator.<Item>comparingDouble(i -> i.aimMs).thenComparingLong(i -> i.order);

    /** A storage node as this host sees it. */
    private final class Node {
        final long id;
        int zone, shard;
        NodeState state = NodeState.READY;
        double upSinceMs;
        final TreeSet<Item> held = new TreeSet<>(BY_DEADLINE);
        final List<Attempt> out = new ArrayList<>();
        final SlidingSum slots = new SlidingSum(RATE_SPAN_MS), served = new SlidingSum(RATE_SPAN_MS);
        final SlidingSum coldSent = new SlidingSum(rules.fallMs());
        /** Turn at the node while it is cold and this host's part there is less than a request. */
        final TokenBucket turn = new TokenBucket(0, 1, 0);

        double slotUnits;
        boolean slotHeld;
        double window = INITIAL_WINDOW;
        /** Weight of the next answer; after a recall 1, then 1/2, 1/3: the first one ends what was known. */
        double learning = LATENCY_WEIGHT;

        double latencyMs = latencyStartMs, standingMs;
        /** What a request of mean size took there, as if the node were warm, and over how many answers. */
        double warmMs;

        int heard;
        double halvedMs = NEVER, standingAtMs = NEVER, heardMs = NEVER;
        double newestAnsweredMs = NEVER, lastSentMs = NEVER, restUntilMs = NEVER;
        int unanswered;
        boolean suspect, late;

        Node(long id) {
            this.id = id;
        }

        Node(double nowMs, LearnedNode old) {
            this(old.node());
            latencyMs = old.latencyMs();
            state = NodeState.GONE;
            upSinceMs = old.upSinceMs();
            slots.add(nowMs, old.measuredSlots());
            served.add(nowMs, old.servedUnits());
            coldSent.add(nowMs, old.coldSentUnits());
            window = old.window();
            suspect = old.silentMs() > 0;
            learning = 1;
        }
    }

    /** A volume's stores, as far as this host may spend them. */
    private static final class Volume {
        final Plan plan;
        int setSize;
        final TokenBucket limit, reserve, share;
        final SlidingSum ownServed = new SlidingSum(USE_SPAN_MS);
        double ownPart;

        /** The limit is empty at a start, at a change of share, and when a volume was forgotten. */
        Volume(Plan plan, double forgotMs, double nowMs) {
            this.plan = plan;
            this.limit = new TokenBucket(forgotMs, plan.limitBurst(), 0);
            this.reserve = new TokenBucket(nowMs, plan.reserve(), plan.reserve());
            this.share = new TokenBucket(nowMs, plan.rate(), plan.rate());
        }
    }

    /** The requests of a key in turn; a request that asks no order has a turn of its own. */
    private static final class KeyTurn {
        final ArrayDeque<Item> queue = new ArrayDeque<>();
        double quietUntilMs = NEVER;
    }

    /** A policy for one host, started at a time with the settings, its seed, and its host's actions. */
    public Policy(double nowMs, Settings settings, long seed, HostActions actions) {
        applySettings(nowMs, Objects.requireNonNull(settings, "settings are missing"));
        this.act = Objects.requireNonNull(actions, "actions are missing");
        this.random = new SplittableRandom(seed);
        this.startedMs = forgotMs = nowMs;
        this.many = settings.hosts() > MAX_WINDOW;
        this.usualMs = latencyStartMs;
        this.taken = new SlidingSum(Math.max(0, rules.furtherSpanMs() - settings.tickMs()));
        this.further = new SlidingSum(rules.furtherSpanMs() + settings.tickMs());
        if (settings.discovery() == DiscoveryMode.ASKED) {
            act.subscribeToNodes();
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
        latencyStartMs = INITIAL_LATENCY_SLOTS * slotMs;
    }

    @Override
    public void setBudgetShare(double nowMs, double part) {
        share = part;
        forgotMs = nowMs;
        volumes.values().forEach(volume -> shape(nowMs, volume, volume.setSize, volume.ownPart));
    }

    // ---- Node list ----

    @Override
    public void nodesListed(double nowMs, NodeListKind kind, List<NodeEntry> entries) {
        if (kind == NodeListKind.FAILED) {
            double rests = Math.pow(2, Math.min(failedCalls++, MOST_TEST_RESTS));
            act.setTimer(nowMs + LIST_RETRY_MS * rests * (1 + random.nextDouble()), ASK);
            return;
        }
        failedCalls = 0;
        if (kind != NodeListKind.CHANGES) {
            Set<Long> listed = entries.stream().map(NodeEntry::node).collect(Collectors.toSet());
            nodes.forEach((id, node) -> node.state = listed.contains(id) ? node.state : NodeState.GONE);
        }
        entries.forEach(entry -> enter(nowMs, entry));
        nodes.values().stream().filter(n -> n.state != NodeState.READY).forEach(n -> moveHeld(nowMs, n));
        // One that may come back cold keeps what it was sent, so that its budget is not spent twice.
        nodes.values().removeIf(n -> n.state == NodeState.GONE && n.out.isEmpty() && !cold(nowMs, n));
    }

    private void enter(double nowMs, NodeEntry entry) {
        Node node = nodes.get(entry.node());
        if (node == null || entry.upSinceMs() > node.upSinceMs) {
            Node fresh = new Node(entry.node());
            fresh.upSinceMs = entry.upSinceMs();
            fresh.latencyMs = cold(nowMs, fresh) ? usualMs : latencyStartMs;
            fresh.learning = cold(nowMs, fresh) ? 1 : LATENCY_WEIGHT;
            fresh.turn.take(nowMs, -random.nextDouble());
            if (node != null) {
                fresh.out.addAll(node.out);
                fresh.held.addAll(node.held);
                fresh.held.forEach(item -> item.heldAt = fresh);
            }
            node = fresh;
            nodes.put(node.id, node);
        }
        node.zone = entry.zone();
        node.shard = entry.shard();
        node.state = entry.state();
        node.upSinceMs = Math.max(node.upSinceMs, entry.upSinceMs());
    }

    /** What is held for a node that takes no more goes to another that holds the shard, or is refused. */
    private void moveHeld(double nowMs, Node node) {
        for (Item item : List.copyOf(node.held)) {
            node.held.remove(item);
            holdOrConclude(nowMs, item, nodeFor(nowMs, item), LIST_RETRY_MS);
        }
    }

    private Node nodeFor(double nowMs, Item item) {
        TreeMap<Double, Node> byFinish = new TreeMap<>();
        int wanted = item.request.shard();
        for (Node node : nodes.values()) {
            boolean holds = wanted < 0 ? node.shard < NodeEntry.FIRST_PRIVATE_SHARD : node.shard == wanted;
            if (node.state == NodeState.READY && holds && mayGoTo(nowMs, item, node)) {
                double finish = (emulate(nowMs, node, item, Set.of()).endMs - nowMs + node.latencyMs)
                        * (1 + random.nextDouble());
                byFinish.putIfAbsent(silent(nowMs, node) ? Double.MAX_VALUE : finish, node);
            }
        }
        return byFinish.isEmpty() ? null : byFinish.firstEntry().getValue();
    }

    // ---- Measured rate (minRead) ----

    /**
     * Units a slot: measured in slots with held requests, leaning on the other nodes' mean while these are few, and no
     * less than what the window and the latest answers show (window over latency). Guards against a low mean that
     * refuses the very requests that would raise it. Harm: slow answers show late that a node is overrun.
     */
    private double unitsPerSlot(double nowMs, Node node, Item item) {
        double start = START_REQUESTS_A_SLOT * settings.meanUnits();
        double assumed = (served.sum(nowMs) + start * ASSUMED_SLOTS) / (slots.sum(nowMs) + ASSUMED_SLOTS);
        double mean = (node.served.sum(nowMs) + assumed * ASSUMED_SLOTS) / (node.slots.sum(nowMs) + ASSUMED_SLOTS);
        double shown = window(node, item) * settings.meanUnits() * slotMs / node.latencyMs;
        double paced = settings.meanUnits() * slotMs / coldMs(nowMs, node) * coldRest(nowMs, node);
        return cold(nowMs, node) ? Math.min(Math.max(mean, shown), paced) : Math.max(mean, shown);
    }

    /**
     * Counts a slot only where the window kept requests waiting. What waits for a cold budget, a limit, a key's turn or
     * a silent node says nothing of the rate; counting it refuses work for ten seconds after. Harm: a node that turns
     * silent again and again keeps the rate of its good moments.
     */
    private void endSlot(double nowMs, Node node) {
        if (node.slotHeld) {
            node.slots.add(nowMs, 1);
            node.served.add(nowMs, node.slotUnits);
            slots.add(nowMs, 1);
            served.add(nowMs, node.slotUnits);
        }
        node.slotUnits = 0;
        node.slotHeld = false;
    }

    // ---- Emulation and admission ----

    @Override
    public void requestReceived(double nowMs, Request request) {
        notePause(nowMs);
        taken.add(nowMs, 1);
        if (Double.isInfinite(tickDueMs)) {
            tickDueMs = nowMs + slotMs;
            act.setTimer(tickDueMs, TICK);
        }
        Item item = new Item(nowMs, request);
        items.put(request.id(), item);
        double margin = Math.max(FINAL_MARGIN_MS, FINAL_MARGIN_TICKS * settings.tickMs());
        act.setTimer(nowMs + Math.max(0, request.timeLeftMs() - margin), request.id());
        admit(nowMs, item);
    }

    private void admit(double nowMs, Item item) {
        Node node = nodeFor(nowMs, item);
        if (node == null) {
            conclude(nowMs, item, LIST_RETRY_MS);
            return;
        }
        if (!withinLimit(nowMs, item)) {
            double missing = item.units() - item.volume.limit.level(nowMs);
            conclude(nowMs, item, missing * 1000 * item.volume.setSize / item.volume.plan.limit());
            return;
        }
        charge(nowMs, item);
        Reading reading = emulate(nowMs, node, item, Set.of());
        if (!reading.holds && !makeRoom(nowMs, node, item)) {
            conclude(nowMs, item, Math.max(slotMs, reading.endMs - item.aimMs));
            return;
        }
        holdOrConclude(nowMs, item, node, 0);
    }

    /** When a request must end; what is due to nobody leaves room for what is. */
    private static double dueMs(double nowMs, Item item) {
        return nowMs + (item.aimMs - nowMs) * (item.charged == null ? SPARE_AIM_PART : 1);
    }

    /** What the emulation finds: when the new request ends; whether in time, making no other late. */
    private record Reading(double endMs, boolean holds) {}

    private Reading emulate(double nowMs, Node node, Item added, Set<Item> gone) {
        double rate = unitsPerSlot(nowMs, node, added);
        double begin = nowMs + Math.max(silentMs(nowMs, node), standingMs(nowMs, node));
        boolean turns = cold(nowMs, node) && coldRest(nowMs, node) < 1;
        begin += turns ? coldMs(nowMs, node) * (1 - turn(nowMs, node) / coldRest(nowMs, node)) : 0;
        boolean idle = (silent(nowMs, node) ? testDue(nowMs, node) : node.out.isEmpty())
                && node.held.isEmpty()
                && withinCold(nowMs, node, added)
                && nowMs + standingMs(nowMs, node) < added.aimMs;
        boolean holds = !node.suspect;
        double units = 0, addedEnd = Double.POSITIVE_INFINITY;
        for (Item item : schedule(node, added, gone, !turns)) {
            units += item.units();
            double end = endMs(begin, units, rate);
            if (item == added) {
                addedEnd = end;
                holds &= end <= dueMs(nowMs, added);
            } else if (addedEnd <= end && end > item.aimMs) {
                holds &= endMs(begin, units - added.units(), rate) > item.aimMs;
            }
        }
        return new Reading(addedEnd, idle || holds);
    }

    private double endMs(double beginMs, double units, double rate) {
        return rate > 0 ? beginMs + Math.ceil(units / rate) * slotMs : Double.POSITIVE_INFINITY;
    }

    /** What is out and held at a node and the new request, earliest deadline first. */
    private static List<Item> schedule(Node node, Item added, Set<Item> gone, boolean withOut) {
        List<Item> all = new ArrayList<>(node.held);
        all.removeAll(gone);
        node.out.stream().filter(attempt -> withOut).forEach(attempt -> all.add(attempt.item));
        if (added.heldAt != node) {
            all.add(added);
        }
        all.sort(BY_DEADLINE);
        return all;
    }

    /**
     * Departure from the design, in the spirit of buffer stealing: when the emulation fails, held requests of lesser
     * worth a unit that never ran give way, least first, until it holds.
     */
    private boolean makeRoom(double nowMs, Node node, Item item) {
        Set<Item> gone = new LinkedHashSet<>();
        List<Item> lesser = node.held.stream()
                .filter(other -> other.worth < item.worth && other.mayHaveRun == null && other.open.isEmpty())
                .sorted(Comparator.comparingDouble((Item i) -> i.worth).thenComparing(BY_DEADLINE))
                .toList();
        for (Item other : lesser) {
            gone.add(other);
            if (emulate(nowMs, node, item, gone).holds) {
                gone.forEach(victim -> conclude(nowMs, victim, slotMs));
                return true;
            }
        }
        return false;
    }

    // ---- What a volume is due ----

    private Volume volume(double nowMs, Request request) {
        if (volumes.size() >= MAX_VOLUMES && !volumes.containsKey(request.volume())) {
            volumes.remove(volumes.keySet().iterator().next());
            forgotMs = nowMs;
        }
        int setSize = request.volumeHostCount() > 0 ? request.volumeHostCount() : settings.hosts();
        Volume volume = volumes.computeIfAbsent(
                request.volume(), id -> new Volume(settings.plans().get(request.plan()), forgotMs, nowMs));
        if (setSize > volume.setSize) {
            shape(nowMs, volume, setSize, Math.min(1 / Math.sqrt(setSize), 2.0 / setSize));
        }
        return volume;
    }

    private void shape(double nowMs, Volume volume, int setSize, double part) {
        Plan plan = volume.plan;
        double fromMs = volume.setSize == 0 ? forgotMs : nowMs;
        volume.setSize = setSize;
        volume.ownPart = part;
        volume.limit.reshape(fromMs, plan.limit() * share / setSize, plan.limitBurst() * share / setSize);
        volume.reserve.reshape(nowMs, plan.reserve() * part, (plan.reserve() + settings.mostUnits()) * part);
        volume.share.reshape(nowMs, plan.rate() * part, (plan.rate() + settings.mostUnits()) * part);
    }

    private void charge(double nowMs, Item item) {
        Volume volume = item.volume;
        double least = Math.min(item.units(), settings.meanUnits());
        double steps = settings.spareWorth();
        if (volume.plan.reserve() > 0 && volume.reserve.level(nowMs) >= least) {
            item.charged = volume.reserve;
            steps = 1;
        } else if (volume.share.level(nowMs) >= least) {
            item.charged = volume.share;
            steps = settings.shareWorth();
        }
        if (item.charged != null) {
            item.charged.take(nowMs, item.units());
        }
        double late = item.aimMs > nowMs ? 1 : item.kind.lateWorth();
        item.worth = item.kind.worth() * volume.plan.price() * steps * late;
    }

    /** What was charged for a request that gets nothing goes back to its volume. */
    private void giveBack(double nowMs, Item item) {
        if (item.charged != null) {
            item.charged.take(nowMs, -item.units());
            item.charged = null;
        }
    }

    private void noteUse(double nowMs, Volume volume, int seenUse) {
        double total = (seenUse - 1) / 100.0 * volume.plan.rate();
        double own = volume.ownServed.sum(nowMs) * 1000 / USE_SPAN_MS;
        if (total > 0) {
            double part = Math.max(1.0 / volume.setSize, Math.min(1, own / total));
            shape(nowMs, volume, volume.setSize, volume.ownPart + LATENCY_WEIGHT * (part - volume.ownPart));
        }
    }

    // ---- Departure under the window ----

    private void holdOrConclude(double nowMs, Item item, Node node, double retryAfterMs) {
        if (node == null) {
            conclude(nowMs, item, retryAfterMs);
        } else {
            item.heldAt = node;
            node.held.add(item);
            depart(nowMs, node);
        }
    }

    /** Sends held requests, earliest deadline first, while the window has room. */
    private void depart(double nowMs, Node node) {
        List<Item> held = node.state == NodeState.READY ? List.copyOf(node.held) : List.of();
        for (Item item : held) {
            boolean first = node.out.isEmpty();
            double wait = standingMs(nowMs, node);
            if ((!first || cold(nowMs, node)) && nowMs + LEAST_LATENCY_PART * node.latencyMs > item.aimMs
                    || wait > 0 && nowMs + wait > dueMs(nowMs, item)) {
                conclude(nowMs, item, slotMs);
            } else if (maySend(nowMs, node, item)) {
                if (hasRoom(nowMs, node, item)) {
                    send(nowMs, node, item);
                } else {
                    node.slotHeld |= !silent(nowMs, node);
                }
            }
        }
    }

    /**
     * The window, and for a silent node one request and a test now and then: what is sent into silence is lost to its
     * aim and, where unsafe, cannot be refused. Harm: a node with one long request at a time looks silent.
     */
    private boolean hasRoom(double nowMs, Node node, Item item) {
        if (nowMs < node.restUntilMs) {
            return false;
        }
        if (silent(nowMs, node)) {
            boolean exposable = item.kind.effect() != Effect.UNSAFE
                    || node.held.stream().allMatch(other -> other.kind.effect() == Effect.UNSAFE);
            return exposable && testDue(nowMs, node);
        }
        double window = window(node, item);
        double ease = item.charged == null ? node.latencyMs : Math.min(node.latencyMs, latencyStartMs);
        return window >= 1
                ? node.out.size() + 1 <= window
                : node.out.isEmpty() && nowMs >= node.heardMs + ease * (1 / window - 1);
    }

    /**
     * What is within its volume's share leaves under a wider window, one at least; but where an answer was past its aim
     * at the node itself, many hosts' dues are too many. Harm: few of them reach the node.
     */
    private double window(Node node, Item item) {
        double hosts = Math.min(settings.hosts(), item.volume.setSize * MAX_WINDOW);
        double due = many && node.late
                ? Math.min(1, MIN_COMBINED_WINDOW / hosts)
                : Math.max(1, Math.min(MAX_WINDOW, node.window * DUE_WINDOWS));
        return item.charged == null ? node.window : due;
    }

    private boolean silent(double nowMs, Node node) {
        return node.suspect || silentMs(nowMs, node) > STUCK_SLOTS * slotMs;
    }

    /**
     * Time for one more request into silence: what is out may be lost, and only an answer can tell. All hosts test, so
     * the rest grows with them, and their tests together stay as few as those of a few hosts.
     */
    private boolean testDue(double nowMs, Node node) {
        double hosts = settings.hosts() / MAX_WINDOW;
        double rests = Math.max(Math.min(node.unanswered, MOST_TEST_RESTS), hosts);
        return node.out.isEmpty() && !many || nowMs >= node.lastSentMs + STUCK_SLOTS * slotMs * rests;
    }

    /**
     * Lets go of attempts that later ones overtook long ago. Guards against lost requests or answers, which else fill a
     * window until the client's deadline. Harm: very heavy work is taken for lost.
     */
    private void letGoOfLost(double nowMs, Node node) {
        for (Attempt attempt : List.copyOf(node.out)) {
            Item item = attempt.item();
            double patience = LOST_LATENCIES * node.latencyMs * work(item);
            if (attempt.sentMs() < Math.min(node.newestAnsweredMs, nowMs - patience)) {
                node.out.remove(attempt);
                item.mayHaveRun = Objects.requireNonNullElse(item.mayHaveRun, attempt);
            }
        }
    }

    private double work(Item item) {
        return Math.max(1, item.units() / settings.meanUnits());
    }

    private void send(double nowMs, Node node, Item item) {
        leave(item);
        if (item.attempts.isEmpty()) {
            item.unitsHeld = item.volume.plan.limit() > 0 ? item.units() : 0;
            item.volume.limit.hold(nowMs, item.unitsHeld);
        } else {
            further.add(nowMs, 1);
        }
        Attempt attempt = new Attempt(item, node, nowMs, item.attempts.size());
        item.attempts.add(attempt);
        item.open.add(attempt);
        node.out.add(attempt);
        node.lastSentMs = nowMs;
        node.unanswered++;
        node.coldSent.add(nowMs, item.units());
        double left = settings.mostUnits() / settings.meanUnits() + node.turn.level(nowMs);
        node.turn.take(nowMs, Math.min(left, item.units() / settings.meanUnits()));
        act.send(item.request.id(), node.id, 0);
    }

    // ---- Outcomes, further attempts, final answers ----

    /** A body in pieces is waited for until its answer: the system may hold its end for seconds. */
    @Override
    public void requestWritten(double nowMs, long request) {
        Item item = items.get(request);
        if (item != null && !item.streaming) {
            item.arrived(nowMs);
        }
    }

    @Override
    public void attemptEnded(double nowMs, AttemptEnd end) {
        notePause(nowMs);
        Item item = items.get(end.request());
        boolean sent = item != null && end.attempt() >= 0 && end.attempt() < item.attempts.size();
        if (!sent || !item.open.remove(item.attempts.get(end.attempt()))) {
            return;
        }
        Attempt attempt = item.attempts.get(end.attempt());
        Node node = nodes.getOrDefault(attempt.node().id, attempt.node());
        node.out.remove(attempt);
        if (!end.outcome().neverRan()) {
            item.mayHaveRun = Objects.requireNonNullElse(item.mayHaveRun, attempt);
            boolean mayRunYet = end.outcome() != Outcome.SERVED && end.outcome() != Outcome.ERROR;
            double quietMs = mayRunYet ? rules.keyQuietMs() + settings.tickMs() : 0;
            item.turn.quietUntilMs = Math.max(item.turn.quietUntilMs, nowMs + quietMs);
        }
        judge(nowMs, node, attempt, end);
        noteUse(nowMs, item.volume, end.reportedUse());
        if (end.requestClosed()) {
            close(item);
        }
        if (!item.closed && item.open.isEmpty()) {
            goOn(nowMs, item, end.outcome());
        }
        forget(nowMs, item);
        depart(nowMs, node);
    }

    /** After an attempt without an answer: another, where class, time and budget allow it, or the end. */
    private void goOn(double nowMs, Item item, Outcome outcome) {
        int most = Math.min(item.mostAttempts, settings.may().maxAttempts());
        boolean may = outcome.isRetryable() && nowMs < item.aimMs && item.attempts.size() < most;
        holdOrConclude(nowMs, item, may && mayTryFurther(nowMs) ? nodeFor(nowMs, item) : null, slotMs);
    }

    /** The final answer for what is not served: a refusal where that is harmless, else a failure. */
    private void conclude(double nowMs, Item item, double retryAfterMs) {
        giveBack(nowMs, item);
        if (refusable(item)) {
            double most = settings.may().retryAfter() ? settings.may().maxRetryAfterMs() : 0;
            act.refuse(item.request.id(), Math.min(most, retryAfterMs));
        } else {
            act.fail(item.request.id());
        }
        item.closed = true;
        leave(item);
        forget(nowMs, item);
    }

    private static boolean refusable(Item item) {
        boolean clean = item.mayHaveRun == null && item.open.isEmpty();
        return clean
                || item.kind.effect() == Effect.REPEATABLE
                || item.kind.effect() == Effect.KEYED && item.kind.group() == DedupGroup.ALL;
    }

    /** What is out for one who left or was served by a copy keeps others waiting; its age still tells. */
    private void close(Item item) {
        item.closed = true;
        leave(item);
        if (settings.may().cancel() && !item.streaming) {
            item.open.forEach(attempt -> act.cancel(item.request.id(), attempt.number));
        }
    }

    private static void leave(Item item) {
        if (item.heldAt != null) {
            item.heldAt.held.remove(item);
            item.heldAt = null;
        }
    }

    private void forget(double nowMs, Item item) {
        if (item.closed && item.open.isEmpty()) {
            item.arrived(nowMs);
            items.remove(item.request.id());
            item.turn.queue.remove(item);
        }
    }

    @Override
    public void clientGone(double nowMs, long request) {
        Item item = items.get(request);
        if (item != null && !item.closed) {
            giveBack(nowMs, item);
            close(item);
            forget(nowMs, item);
        }
    }

    @Override
    public void streamStarted(double nowMs, long request, int attempt) {
        Item item = items.get(request);
        if (item != null) {
            item.streaming = true;
            nodes.values()
                    .forEach(n -> n.out.removeIf(a -> a.item() == item && n.shard < NodeEntry.FIRST_PRIVATE_SHARD));
        }
    }

    @Override
    public void timerFired(double nowMs, long token) {
        notePause(nowMs);
        if (token == TICK) {
            tick(nowMs);
        } else if (token == ASK) {
            act.subscribeToNodes();
        } else {
            Item item = items.get(token);
            if (item != null && !item.closed && !item.streaming) {
                conclude(nowMs, item, 0);
            }
        }
    }

    private void tick(double nowMs) {
        for (Node node : nodes.values()) {
            endSlot(nowMs, node);
            letGoOfLost(nowMs, node);
            depart(nowMs, node);
        }
        turns.values().removeIf(turn -> turn.queue.isEmpty() && nowMs >= turn.quietUntilMs);
        boolean busy = nodes.values().stream().anyMatch(node -> !node.held.isEmpty() || !node.out.isEmpty());
        tickDueMs = busy ? nowMs + slotMs : Double.POSITIVE_INFINITY;
        if (busy) {
            act.setTimer(tickDueMs, TICK);
        }
    }

    /**
     * A tick overdue by more than a slot means that this host stood still: no node was silent meanwhile. Harm: a node
     * that fell silent then is found so later by the pause.
     */
    private void notePause(double nowMs) {
        if (nowMs > tickDueMs + slotMs) {
            tickDueMs = nowMs;
            nodes.values().forEach(node -> node.heardMs = nowMs);
        }
    }

    // ---- What outlives a restart ----

    @Override
    public LearnedState learnedState(double nowMs) {
        return new LearnedState(
                nowMs,
                slots.sum(nowMs),
                served.sum(nowMs),
                nodes.values().stream()
                        .map(n -> new LearnedNode(
                                n.id,
                                n.upSinceMs,
                                n.slots.sum(nowMs),
                                n.served.sum(nowMs),
                                n.window,
                                n.latencyMs,
                                n.coldSent.sum(nowMs),
                                silent(nowMs, n) ? Math.max(1, silentMs(nowMs, n)) : 0))
                        .toList(),
                volumes.entrySet().stream()
                        .map(e -> learned(nowMs, e.getKey(), e.getValue()))
                        .toList());
    }

    private LearnedVolume learned(double nowMs, long id, Volume volume) {
        return new LearnedVolume(
                id,
                settings.plans().indexOf(volume.plan),
                volume.setSize,
                volume.ownPart,
                volume.limit.level(nowMs),
                volume.reserve.level(nowMs),
                volume.share.level(nowMs));
    }

    /** A node counts as gone until a list names it: the same start keeps what is known, a newer drops it. */
    @Override
    public void restore(double nowMs, LearnedState learned) {
        slots.add(nowMs, learned.measuredSlots());
        served.add(nowMs, learned.servedUnits());
        learned.nodes().forEach(old -> nodes.put(old.node(), new Node(nowMs, old)));
        for (LearnedVolume old : learned.volumes()) {
            Volume volume = new Volume(settings.plans().get(old.plan()), forgotMs, nowMs);
            shape(nowMs, volume, old.hostCount(), old.localFraction());
            volume.limit.take(nowMs, volume.limit.level(nowMs) - old.limitLevel());
            volume.reserve.take(nowMs, volume.reserve.level(nowMs) - old.reserveLevel());
            volume.share.take(nowMs, volume.share.level(nowMs) - old.shareLevel());
            volumes.put(old.volume(), volume);
        }
    }

    // ---- Guards for the rules ----

    private boolean maySend(double nowMs, Node node, Item item) {
        boolean mayHold = item.volume.limit.mayHold(item.units());
        return mayGoTo(nowMs, item, node)
                && myTurn(nowMs, item)
                && withinCold(nowMs, node, item)
                && (item.attempts.isEmpty() ? withinLimit(nowMs, item) && mayHold : mayTryFurther(nowMs));
    }

    /** Rule on effects: what may have run stays with the nodes, and in the time, that drop its repeats. */
    private boolean mayGoTo(double nowMs, Item item, Node node) {
        if (item.mayHaveRun == null || item.kind.effect() == Effect.REPEATABLE) {
            return true;
        }
        Attempt ran = item.mayHaveRun; // The repeat waits for a connection, then at the node.
        double waits = node.latencyMs + Math.max(silentMs(nowMs, node), standingMs(nowMs, node));
        double begins = nowMs + settings.may().connectTimeoutMs() + waits;
        return item.kind.effect() == Effect.KEYED
                && begins < ran.sentMs() + item.kind.repeatWindowMs()
                && switch (item.kind.group()) {
                    case ALL -> true;
                    case ZONE -> node.zone == ran.node().zone;
                    case SHARD -> node.shard == ran.node().shard;
                };
    }

    private boolean withinLimit(double nowMs, Item item) {
        return item.volume.plan.limit() <= 0 || item.volume.limit.level(nowMs) >= item.units();
    }

    /** Rule on the attempt budget; both counts lean to the safe side by a tick. */
    private boolean mayTryFurther(double nowMs) {
        boolean free = rules.freeFurther() < 0 && rules.furtherShare() < 0;
        double share = Math.max(0, rules.furtherShare()) * taken.sum(nowMs);
        return free || further.sum(nowMs) + 1 <= Math.max(0, rules.freeFurther()) + share;
    }

    private boolean cold(double nowMs, Node node) {
        return node.upSinceMs > 0 && nowMs < node.upSinceMs + rules.warmUpMs() + rules.fallMs();
    }

    /** What a cold node surely does by now, as a part of a warm one: by the slowest promised warm-up. */
    private double warmth(double nowMs, Node node) {
        double part = Math.max(0, nowMs - node.upSinceMs - rules.fallMs()) / rules.warmUpMs();
        return cold(nowMs, node) ? rules.coldShare() + (1 - rules.coldShare()) * Math.min(1, part) : 1;
    }

    /** This host's even part of what a cold node bears in a window. */
    private double coldPart(double nowMs, Node node) {
        return share * settings.coldUnits() / settings.hosts() * warmth(nowMs, node) / rules.coldShare();
    }

    /** What a request of mean size takes at a cold node by now. */
    private double coldMs(double nowMs, Node node) {
        return (node.heard == 0 ? usualMs : node.warmMs) / warmth(nowMs, node);
    }

    /**
     * Requests of mean size that this host may have out at a cold node. No more reaches a node than it finishes and
     * what is out; so all hosts' may be what it does in the rest of the multiple, by the figure that is always safe, or
     * by what its answers took, at one request after another.
     */
    private double coldRest(double nowMs, Node node) {
        double room = rules.fallMultiple() - 1, ms = coldMs(nowMs, node);
        double part = coldPart(nowMs, node) / rules.fallMultiple() / settings.meanUnits();
        double safe = part * room >= 1 ? part * room : part * Math.min(room, ms / rules.fallMs());
        double most = node.heard > 0 ? MIN_COMBINED_WINDOW : COLD_OUT_TOGETHER;
        double seen = Math.min(most, COLD_MARGIN * room * rules.fallMs() / ms);
        return Math.max(safe, share * seen / settings.hosts());
    }

    /** The part of its next turn that this host has at a cold node: one turn a latency over the part out. */
    private double turn(double nowMs, Node node) {
        node.turn.reshape(nowMs, 1000 * coldRest(nowMs, node) / coldMs(nowMs, node), 1);
        return node.turn.level(nowMs);
    }

    /**
     * Rule on cold nodes; a host that just started may have spent its part, and waits one window. Beyond the part, as
     * much may be out as the rest of the multiple has room for; where that is less than a request, its fraction fills a
     * turn while a request passes. Harm: work far above its stated units.
     */
    private boolean withinCold(double nowMs, Node node, Item item) {
        if (!cold(nowMs, node)) {
            return true;
        }
        double rest = coldRest(nowMs, node);
        double out = item.units()
                + node.out.stream()
                        .mapToDouble(attempt -> attempt.item().units())
                        .sum();
        boolean paced =
                !node.suspect && (out <= settings.meanUnits() * rest || node.out.isEmpty() && turn(nowMs, node) >= 1);
        paced |= node.coldSent.sum(nowMs) + item.units() <= coldPart(nowMs, node);
        return paced && nowMs >= startedMs + rules.fallMs();
    }

    /** Rule on key order: the eldest of its key, and the key at rest. */
    private boolean myTurn(double nowMs, Item item) {
        boolean eldest = item.turn.queue.peekFirst() == item;
        return eldest && (nowMs >= item.turn.quietUntilMs || !item.attempts.isEmpty());
    }

    // ---- Health ----

    /**
     * The wait that the newest answer found at the node, aging: what other hosts have standing there. Acts where these
     * are many; a few hosts see it in what they have out themselves.
     */
    private double standingMs(double nowMs, Node node) {
        double aged = Math.pow(0.5, (nowMs - node.standingAtMs) / (EVIDENCE_SLOTS * slotMs));
        return many ? node.standingMs * aged : 0;
    }

    private static void noteWait(double nowMs, Node node, double waitMs) {
        node.standingMs = Math.max(0, waitMs);
        node.standingAtMs = nowMs;
    }

    /** How much longer than usual a node has been silent while something is out there. */
    private static double silentMs(double nowMs, Node node) {
        double since = node.out.isEmpty()
                ? nowMs
                : Math.max(node.heardMs, node.out.get(0).sentMs());
        return Math.max(0, nowMs - since - node.latencyMs);
    }

    /** Window and health from how an attempt ended. Only answers grow a window, so fast errors cannot. */
    private void judge(double nowMs, Node node, Attempt attempt, AttemptEnd end) {
        Item item = attempt.item();
        switch (end.outcome()) {
            case SERVED -> {
                node.heardMs = nowMs;
                node.newestAnsweredMs = Math.max(node.newestAnsweredMs, attempt.sentMs());
                node.unanswered = 0;
                node.suspect = false;
                node.slotUnits += item.units();
                item.volume.ownServed.add(nowMs, item.units());
                node.late = end.elapsedMs() > item.kind.aimMs();
                noteWait(nowMs, node, end.elapsedMs() - latencyStartMs * work(item));
                double mean = end.elapsedMs() * settings.meanUnits() / item.units() * warmth(nowMs, node);
                double before = node.heard == 0 ? usualMs : node.warmMs;
                node.warmMs = before + (mean - before) / Math.min(COLD_ANSWERS, ++node.heard + 1);
                usualMs += (mean - usualMs) / (cold(nowMs, node) ? COLD_ANSWERS : POOL_ANSWERS);
                node.latencyMs += node.learning * (end.elapsedMs() - node.latencyMs);
                node.learning = Math.max(LATENCY_WEIGHT, node.learning / (1 + node.learning));
                if (nowMs > item.aimMs || node.latencyMs > AIM_PART_AT_NODE * tightestAimMs) {
                    halve(nowMs, node);
                } else if (node.out.size() + 2 > node.window) {
                    double step = Math.min(node.window, 1 / node.window);
                    node.window = Math.min(MAX_WINDOW, node.window + step);
                }
            }
            case REJECTED, NOT_CONNECTED -> {
                noteWait(nowMs, node, item.kind.aimMs());
                node.suspect |= end.outcome() == Outcome.NOT_CONNECTED;
                node.restUntilMs = nowMs + slotMs;
                halve(nowMs, node);
            }
            case TIMED_OUT, RESET, CANCELLED -> {
                node.late |= end.elapsedMs() > item.kind.aimMs();
                noteWait(nowMs, node, Math.max(end.elapsedMs(), standingMs(nowMs, node)));
                if (node.heardMs <= attempt.sentMs()) {
                    node.suspect |= end.outcome() != Outcome.CANCELLED;
                    halve(nowMs, node);
                }
            }
            case ERROR, OVER -> node.heardMs = nowMs;
        }
    }

    private void halve(double nowMs, Node node) {
        if (nowMs >= node.halvedMs + node.latencyMs) {
            boolean crowded = node.latencyMs > 2 * AIM_PART_AT_NODE * tightestAimMs;
            double least = Math.max(crowded ? 0 : 1, MIN_COMBINED_WINDOW / settings.hosts());
            node.window = Math.max(least, node.window / 2);
            node.halvedMs = nowMs;
        }
    }
}
