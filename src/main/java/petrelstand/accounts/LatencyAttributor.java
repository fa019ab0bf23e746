package petrelstand.accounts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import petrelstand.core.Demand;
import petrelstand.core.Node;
import petrelstand.core.RequestObserver;
import petrelstand.decision.Scheduling.Outcome;

/**
 * The accounts of one gateway: each request's time by phase, and each wait shared among its causes. It hears what the
 * broker tells, keeps a model of each node ({@link NodeModel}), and books into a {@link TopWaits}. No I/O and no clock;
 * everything it keeps is bounded. docs/design/latency-accounts.md tells how a wait is attributed.
 */
public final class LatencyAttributor implements RequestObserver {
    /** Nodes that are modelled at most; the one longest unused goes first. */
    static final int MAX_NODES = 1024;
    /** First tries that a client's repeat may be linked to, and for how long. */
    static final int MAX_UNSERVED_REQUESTS = 4096;

    static final long MAX_RETRY_GAP_US = 10_000_000;
    /** A stretch without an answer to several of ours is a standstill from this length on, beyond what was usual. */
    static final long MIN_STALL_US = 40_000;

    private static final int MAX_STALLS = 64;
    /**
     * A request keeps its core in the model until its answer, but no longer than this many times its usual time: the
     * usual time is a lower quartile, and what takes longer still is the node's trouble, not the request's.
     */
    static final double MAX_WORK_FACTOR = 1.25;

    /** A part of a request's wait, at a node. */
    public record WaitShare(long node, Cause cause, long us) {}

    /**
     * What became of a request: its phases in microseconds over all its attempts, the time between a first try that was
     * turned away and this one where they could be linked, and the shares of held and waited time, which add up to
     * them.
     */
    public record RequestLatency(
            long request,
            long volume,
            int plan,
            int requestClass,
            boolean served,
            int attempts,
            long heldUs,
            long connectingUs,
            long waitedUs,
            long servedUs,
            long earlierTriesUs,
            long endedAtUs,
            List<WaitShare> shares) {
        /** From the first taking to the end, of all tries that were linked. */
        public long totalUs() {
            return heldUs + connectingUs + waitedUs + servedUs + earlierTriesUs;
        }
    }

    /** Told of each account when its request is over. */
    public interface Sink {
        void requestFinished(RequestLatency account);
    }

    private record RetryKey(long volume, long key, int requestClass) {}

    private record UnservedRequest(long endedAtUs, long spentUs) {}

    /** A stretch in which a node answered nothing to several of ours. */
    private record Stall(long fromUs, long toUs) {}

    private static final class NodeTracker {
        private final long nodeNumber;
        private final NodeModel model;
        private final Map<Integer, BaselineTime> baselines = new HashMap<>();
        private final List<Stall> stalls = new ArrayList<>();
        private double startedMs;
        private int outstanding;
        private long lastAnswerUs;

        NodeTracker(long number, int cores) {
            this.nodeNumber = number;
            this.model = new NodeModel(cores);
        }
    }

    private static final class AttemptState {
        private final int number;
        private final NodeTracker node;
        private final boolean streamed;
        private final long sentUs;
        private long writtenUs = -1;
        private NodeModel.Job job;
        private boolean foundNodeIdle;
        /** Its time is booked; its end, once it is known, may still correct the node's model. */
        private boolean accounted;

        private boolean ended;

        AttemptState(int number, NodeTracker node, boolean streamed, long sentUs) {
            this.number = number;
            this.node = node;
            this.streamed = streamed;
            this.sentUs = sentUs;
        }
    }

    private static final class RequestState {
        private final Demand demand;
        private long heldSinceUs;
        private final List<AttemptState> attempts = new ArrayList<>(1);
        private final List<WaitShare> shares = new ArrayList<>();
        private long heldUs;
        private long connectingUs;
        private long waitedUs;
        private long servedUs;
        private long earlierTriesUs;
        private boolean served;
        private boolean answered;

        RequestState(Demand demand, long takenUs) {
            this.demand = demand;
            this.heldSinceUs = takenUs;
        }

        AttemptState findAttempt(int number) {
            for (AttemptState attempt : attempts) {
                if (attempt.number == number) {
                    return attempt;
                }
            }
            return null;
        }

        Cause owner() {
            return Cause.work(demand.volume(), demand.classIndex());
        }
    }

    private final int cores;
    private final double warmUpMs;
    private final Sink sink;
    private final Map<Long, RequestState> openRequests = new HashMap<>();
    private final Map<Long, NodeTracker> nodes = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, NodeTracker> eldest) {
            return size() > MAX_NODES;
        }
    };
    private final Map<Integer, BaselineTime> baselineOfAllNodes = new HashMap<>();
    private final Map<RetryKey, UnservedRequest> unservedRequests = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RetryKey, UnservedRequest> eldest) {
            return size() > MAX_UNSERVED_REQUESTS;
        }
    };
    private long unlinkedRetries;

    /** Accounts before nodes of so many cores, which are cold for a time after their start. */
    public LatencyAttributor(int cores, double warmUpMs, Sink sink) {
        if (cores < 1 || cores > 256) {
            throw new IllegalArgumentException("a node has 1 to 256 cores, not " + cores);
        }
        this.cores = cores;
        this.warmUpMs = warmUpMs;
        this.sink = sink;
    }

    /** Clients' repeats whose first try was not known any more: their accounts begin with the repeat. */
    public long unlinkedRetries() {
        return unlinkedRetries;
    }

    /** Requests, nodes and first tries kept. */
    int size() {
        return openRequests.size() + nodes.size() + unservedRequests.size();
    }

    @Override
    public void requestAccepted(long request, Demand demand, long nowUs) {
        RequestState requestState = new RequestState(demand, nowUs);
        if (demand.clientRepeat()) {
            UnservedRequest first = unservedRequests.remove(new RetryKey(demand.volume(), demand.key(), demand.classIndex()));
            if (first != null && nowUs <= first.endedAtUs + MAX_RETRY_GAP_US) {
                requestState.earlierTriesUs = first.spentUs + nowUs - first.endedAtUs;
            } else {
                unlinkedRetries++;
            }
        }
        openRequests.put(request, requestState);
    }

    @Override
    public void attemptStarted(long request, int attempt, Node target, boolean streamed, long nowUs) {
        RequestState requestState = openRequests.get(request);
        if (requestState == null || requestState.findAttempt(attempt) != null) {
            return;
        }
        NodeTracker node = nodes.computeIfAbsent(target.number(), number -> new NodeTracker(number, cores));
        if (target.entry().upSinceMs() > node.startedMs) {
            if (node.startedMs > 0 || node.lastAnswerUs > 0) {
                node.model.restart(nowUs);
            }
            node.startedMs = target.entry().upSinceMs();
        }
        addHeldTime(requestState, node, nowUs);
        requestState.attempts.add(new AttemptState(attempt, node, streamed, nowUs));
    }

    /** The time held is shared among our own work at the node meanwhile; the rest is our own caution. */
    private void addHeldTime(RequestState requestState, NodeTracker node, long nowUs) {
        long heldUs = nowUs - requestState.heldSinceUs;
        requestState.heldUs += heldUs;
        if (heldUs > 0) {
            node.model.advanceAndCheckIdle(nowUs);
            attributeWait(requestState, node, heldUs, Long.MAX_VALUE, requestState.heldSinceUs, nowUs, null, Cause.WINDOW, 0);
        }
    }

    /**
     * Shares a wait: what our own work explains of it, at most so much, by who did that work in a stretch of time; then
     * the node's part of the rest, and the rest of that to a cause.
     */
    private void attributeWait(
            RequestState requestState,
            NodeTracker node,
            long waitUs,
            long maxExplainedUs,
            long fromUs,
            long toUs,
            NodeModel.Job excluded,
            Cause remainder,
            long maxNodeUs) {
        List<NodeModel.CoreTime> coreTimes = node.model.coreTimeBetween(fromUs, toUs, excluded);
        long work = coreTimes.stream().mapToLong(NodeModel.CoreTime::us).sum();
        // All cores busy all the time explain all of it.
        long explained = Math.min(waitUs, Math.min(maxExplainedUs, work / cores));
        if (explained > 0) {
            long[] parts = ProportionalSplit.split(
                    explained, coreTimes.stream().mapToLong(NodeModel.CoreTime::us).toArray());
            for (int i = 0; i < parts.length; i++) {
                book(requestState, node, coreTimes.get(i).owner(), parts[i]);
            }
        }
        long unexplained = waitUs - explained;
        long nodePartUs = Math.min(unexplained, maxNodeUs);
        book(requestState, node, Cause.NODE, nodePartUs);
        book(requestState, node, remainder, unexplained - nodePartUs);
    }

    private static void book(RequestState requestState, NodeTracker node, Cause cause, long us) {
        if (us <= 0) {
            return;
        }
        for (int i = 0; i < requestState.shares.size(); i++) {
            WaitShare share = requestState.shares.get(i);
            if (share.node() == node.nodeNumber && share.cause().equals(cause)) {
                requestState.shares.set(i, new WaitShare(share.node(), cause, share.us() + us));
                return;
            }
        }
        requestState.shares.add(new WaitShare(node.nodeNumber, cause, us));
    }

    @Override
    public void attemptWritten(long request, int attempt, long nowUs) {
        RequestState requestState = openRequests.get(request);
        AttemptState attemptState = requestState == null ? null : requestState.findAttempt(attempt);
        if (attemptState == null || attemptState.writtenUs >= 0 || attemptState.ended) {
            return;
        }
        attemptArrived(requestState, attemptState, nowUs);
    }

    private void attemptArrived(RequestState requestState, AttemptState attemptState, long nowUs) {
        attemptState.writtenUs = nowUs;
        if (attemptState.streamed) {
            return;
        }
        NodeTracker node = attemptState.node;
        attemptState.foundNodeIdle = node.model.advanceAndCheckIdle(nowUs);
        if (node.outstanding++ == 0) {
            node.lastAnswerUs = nowUs;
        }
        attemptState.job = node.model.arrive(nowUs, requestState.owner(), (long) (MAX_WORK_FACTOR * baselineUs(node, requestState.demand)));
    }

    /**
     * The usual time of a request at a node; of its class at all nodes where the node is not known; 0 where neither.
     */
    private long baselineUs(NodeTracker node, Demand demand) {
        BaselineTime nodeBaseline = node.baselines.get(demand.classIndex());
        BaselineTime classBaseline = baselineOfAllNodes.get(demand.classIndex());
        long unitUs = nodeBaseline != null && nodeBaseline.isKnown() ? nodeBaseline.unitUs() : classBaseline == null ? 0 : classBaseline.unitUs();
        return (long) (unitUs * demand.units());
    }

    @Override
    public void attemptEnded(long request, int attempt, Outcome outcome, long nowUs) {
        RequestState requestState = openRequests.get(request);
        AttemptState attemptState = requestState == null ? null : requestState.findAttempt(attempt);
        if (attemptState == null || attemptState.ended) {
            return;
        }
        if (attemptState.writtenUs < 0 && isAnswer(outcome)) {
            // The server side did not tell when the last byte left: it was when the attempt began.
            attemptArrived(requestState, attemptState, attemptState.sentUs);
        }
        attemptState.ended = true;
        if (attemptState.job != null) {
            attemptState.node.outstanding--;
            if (isAnswer(outcome)) {
                answerReceived(requestState, attemptState.node, attemptState, nowUs);
            }
        }
        if (!attemptState.accounted) {
            book(requestState, attemptState, outcome, nowUs);
        }
        // What was given up stays in the model: the node may yet serve it.
        if (attemptState.job != null && (isAnswer(outcome) || outcome.neverRan())) {
            attemptState.node.model.ended(attemptState.job, nowUs, !outcome.neverRan());
        }
    }

    private static boolean isAnswer(Outcome outcome) {
        return outcome == Outcome.SERVED || outcome == Outcome.ERROR || outcome == Outcome.REJECTED;
    }

    /** Books an attempt's time up to its end, or to the request's where that comes first. */
    private void book(RequestState requestState, AttemptState attemptState, Outcome outcome, long nowUs) {
        attemptState.accounted = true;
        requestState.heldSinceUs = nowUs;
        requestState.connectingUs += (attemptState.writtenUs < 0 ? nowUs : attemptState.writtenUs) - attemptState.sentUs;
        if (attemptState.job == null) {
            // A transfer stands in no queue, and what was never written waited for its connection only.
            requestState.servedUs += attemptState.writtenUs < 0 ? 0 : nowUs - attemptState.writtenUs;
            return;
        }
        NodeTracker node = attemptState.node;
        node.model.advanceAndCheckIdle(nowUs);
        long modelWaitUs = node.model.waitUs(attemptState.job);
        long elapsedUs = nowUs - attemptState.writtenUs;
        long baselineUs = baselineUs(node, requestState.demand);
        long servedUs = outcome != Outcome.SERVED ? 0 : baselineUs == 0 ? elapsedUs : Math.min(elapsedUs, baselineUs);
        long waitUs = elapsedUs - servedUs;
        requestState.servedUs += servedUs;
        requestState.waitedUs += waitUs;
        long nodeUs = isNodeAtFault(requestState, node, outcome, nowUs) ? waitUs : stalledUs(node, attemptState.writtenUs, nowUs);
        attributeWait(requestState, node, waitUs, modelWaitUs, attemptState.writtenUs, attemptState.writtenUs + modelWaitUs, attemptState.job, Cause.UNSEEN, nodeUs);
        if (outcome == Outcome.SERVED && attemptState.foundNodeIdle && elapsedUs > 0) {
            node.baselines
                    .computeIfAbsent(requestState.demand.classIndex(), c -> new BaselineTime())
                    .add(elapsedUs, requestState.demand.units());
            baselineOfAllNodes
                    .computeIfAbsent(requestState.demand.classIndex(), c -> new BaselineTime())
                    .add(elapsedUs, requestState.demand.units());
        }
    }

    /** The node's own: it is cold, it is slow, or it did not answer at all. */
    private boolean isNodeAtFault(RequestState requestState, NodeTracker node, Outcome outcome, long nowUs) {
        boolean cold = node.startedMs > 0 && nowUs / 1000.0 < node.startedMs + warmUpMs;
        BaselineTime baseline = node.baselines.get(requestState.demand.classIndex());
        boolean slow = node.baselines.values().stream().anyMatch(BaselineTime::isSlow)
                && (baseline == null || baseline.isSlow() || !baseline.isKnown());
        return cold || slow || outcome != Outcome.SERVED && outcome != Outcome.REJECTED && outcome != Outcome.CANCELLED;
    }

    /** An answer came: a long time without one, with several of ours out, was a standstill. */
    private void answerReceived(RequestState requestState, NodeTracker node, AttemptState attemptState, long nowUs) {
        long fromUs = Math.max(node.lastAnswerUs, attemptState.writtenUs);
        long silentUs = nowUs - fromUs - baselineUs(node, requestState.demand);
        if (node.outstanding >= 1 && silentUs > MIN_STALL_US) {
            node.stalls.add(new Stall(fromUs, nowUs));
            if (node.stalls.size() > MAX_STALLS) {
                node.stalls.remove(0);
            }
        }
        node.lastAnswerUs = nowUs;
    }

    private static long stalledUs(NodeTracker node, long fromUs, long toUs) {
        long us = 0;
        for (Stall stall : node.stalls) {
            us += Math.max(0, Math.min(toUs, stall.toUs) - Math.max(fromUs, stall.fromUs));
        }
        return us;
    }

    @Override
    public void requestAnswered(long request, boolean served, long nowUs) {
        RequestState requestState = openRequests.get(request);
        if (requestState == null || requestState.answered) {
            return;
        }
        requestState.answered = true;
        requestState.served = served;
        boolean hadOpenAttempt = false;
        for (AttemptState attemptState : requestState.attempts) {
            if (!attemptState.accounted) {
                // The request is over before its attempt: what the attempt took up to here is the request's.
                book(requestState, attemptState, Outcome.CANCELLED, nowUs);
                hadOpenAttempt = true;
            }
        }
        if (!hadOpenAttempt && nowUs > requestState.heldSinceUs) {
            // It was held to its end: at the node of its last try, or at none that is known here.
            NodeTracker lastNode = requestState.attempts.isEmpty() ? new NodeTracker(0, cores) : requestState.attempts.get(requestState.attempts.size() - 1).node;
            addHeldTime(requestState, lastNode, nowUs);
        }
        finishRequest(request, requestState, nowUs);
    }

    private void finishRequest(long request, RequestState requestState, long nowUs) {
        Demand demand = requestState.demand;
        long spentUs = requestState.heldUs + requestState.connectingUs + requestState.waitedUs + requestState.servedUs;
        if (!requestState.served) {
            unservedRequests.put(
                    new RetryKey(demand.volume(), demand.key(), demand.classIndex()),
                    new UnservedRequest(nowUs, spentUs + requestState.earlierTriesUs));
        }
        sink.requestFinished(new RequestLatency(
                request,
                demand.volume(),
                demand.planIndex(),
                demand.classIndex(),
                requestState.served,
                requestState.attempts.size(),
                requestState.heldUs,
                requestState.connectingUs,
                requestState.waitedUs,
                requestState.servedUs,
                requestState.earlierTriesUs,
                nowUs,
                List.copyOf(requestState.shares)));
    }

    @Override
    public void requestClosed(long request, long nowUs) {
        RequestState requestState = openRequests.remove(request);
        if (requestState != null) {
            requestState.attempts.stream().filter(attemptState -> !attemptState.ended && attemptState.job != null).forEach(attemptState -> attemptState.node.outstanding--);
        }
    }
}
