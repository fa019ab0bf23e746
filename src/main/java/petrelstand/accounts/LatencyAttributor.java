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
 * Attributes the latency of one gateway's requests: splits the time of each request into phases, and each wait among
 * its causes. It observes the broker, replays the gateway's requests in a {@link NodeModel} per node, and passes each
 * finished request to a {@link Sink}. It does no I/O and reads no clock; all its state is bounded.
 * docs/design/latency-accounts.md describes the method.
 */
public final class LatencyAttributor implements RequestObserver {
    /** Limit of modelled nodes; the least recently used one is evicted. */
    static final int MAX_NODES = 1024;
    /** Limit of unserved requests kept so that a client's retry can be linked to them. */
    static final int MAX_UNSERVED_REQUESTS = 4096;

    /** Longest time between an unserved request and the client's retry for the two to be linked. */
    static final long MAX_RETRY_GAP_US = 10_000_000;
    /** Time beyond the baseline without any answer, while several requests are outstanding, that counts as a stall. */
    static final long MIN_STALL_US = 40_000;

    private static final int MAX_STALLS = 64;
    /**
     * Limit of a request's work in the model, as a multiple of its baseline time. The baseline is a lower quartile;
     * time beyond this limit is not blamed on the request.
     */
    static final double MAX_WORK_FACTOR = 1.25;

    /** The microseconds of a request's wait at a node that are attributed to one cause. */
    public record WaitShare(long node, Cause cause, long us) {}

    /**
     * The latency of a finished request: its phases in microseconds, summed over all its attempts, and the shares of
     * its wait.
     *
     * @param earlierTriesUs time from the client's first linked try to the start of this one, 0 without such a try
     * @param shares the held and waited time by node and cause; they add up to {@code heldUs + waitedUs}
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
        /** The time from the start of the first linked try to the end of this request. */
        public long totalUs() {
            return heldUs + connectingUs + waitedUs + servedUs + earlierTriesUs;
        }
    }

    /** Receives the latency of each finished request. */
    public interface Sink {
        void requestFinished(RequestLatency latency);
    }

    private record RetryKey(long volume, long key, int requestClass) {}

    /** A request that ended unserved, with the time spent on it and on the tries linked before it. */
    private record UnservedRequest(long endedAtUs, long spentUs) {}

    /** A period in which a node answered none of several outstanding requests. */
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
        /** True once its time is accounted; its end may still correct the node's model. */
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

        RequestState(Demand demand, long acceptedUs) {
            this.demand = demand;
            this.heldSinceUs = acceptedUs;
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

    /**
     * Creates an attributor for nodes that all have the same number of cores.
     *
     * @param cores cores of a node, 1 to 256
     * @param warmUpMs time after its start for which a node counts as cold
     * @throws IllegalArgumentException if {@code cores} is out of range
     */
    public LatencyAttributor(int cores, double warmUpMs, Sink sink) {
        if (cores < 1 || cores > 256) {
            throw new IllegalArgumentException("cores of a node must be 1 to 256, but is " + cores);
        }
        this.cores = cores;
        this.warmUpMs = warmUpMs;
        this.sink = sink;
    }

    /** The number of clients' retries whose earlier try is not known; their latency counts from the retry on. */
    public long unlinkedRetries() {
        return unlinkedRetries;
    }

    /** The number of open requests, nodes and unserved requests kept. */
    int size() {
        return openRequests.size() + nodes.size() + unservedRequests.size();
    }

    @Override
    public void requestAccepted(long request, Demand demand, long nowUs) {
        RequestState requestState = new RequestState(demand, nowUs);
        if (demand.clientRepeat()) {
            UnservedRequest first =
                    unservedRequests.remove(new RetryKey(demand.volume(), demand.key(), demand.classIndex()));
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

    /** Attributes held time to the gateway's requests that ran at the node meanwhile, and the rest to the window. */
    private void addHeldTime(RequestState requestState, NodeTracker node, long nowUs) {
        long heldUs = nowUs - requestState.heldSinceUs;
        requestState.heldUs += heldUs;
        if (heldUs > 0) {
            node.model.advanceAndCheckIdle(nowUs);
            attributeWait(
                    requestState, node, heldUs, Long.MAX_VALUE, requestState.heldSinceUs, nowUs, null, Cause.WINDOW, 0);
        }
    }

    /**
     * Attributes a wait in three steps: up to {@code maxExplainedUs} to the owners of the work that the model ran from
     * {@code fromUs} to {@code toUs}, then up to {@code maxNodeUs} to the node, then all that is left to
     * {@code remainder}.
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
        // A wait is fully explained when all cores were busy for all of it.
        long explained = Math.min(waitUs, Math.min(maxExplainedUs, work / cores));
        if (explained > 0) {
            long[] parts = ProportionalSplit.split(
                    explained,
                    coreTimes.stream().mapToLong(NodeModel.CoreTime::us).toArray());
            for (int i = 0; i < parts.length; i++) {
                addShare(requestState, node, coreTimes.get(i).owner(), parts[i]);
            }
        }
        long unexplained = waitUs - explained;
        long nodePartUs = Math.min(unexplained, maxNodeUs);
        addShare(requestState, node, Cause.NODE, nodePartUs);
        addShare(requestState, node, remainder, unexplained - nodePartUs);
    }

    private static void addShare(RequestState requestState, NodeTracker node, Cause cause, long us) {
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
        attemptState.job = node.model.arrive(
                nowUs, requestState.owner(), (long) (MAX_WORK_FACTOR * baselineUs(node, requestState.demand)));
    }

    /** The baseline time of a request at a node, else that of its class at all nodes, else 0. */
    private long baselineUs(NodeTracker node, Demand demand) {
        BaselineTime nodeBaseline = node.baselines.get(demand.classIndex());
        BaselineTime classBaseline = baselineOfAllNodes.get(demand.classIndex());
        long unitUs = nodeBaseline != null && nodeBaseline.isKnown()
                ? nodeBaseline.unitUs()
                : classBaseline == null ? 0 : classBaseline.unitUs();
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
            // The write was not reported; the start of the attempt stands in for it.
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
            accountAttempt(requestState, attemptState, outcome, nowUs);
        }
        // An abandoned attempt stays in the model, since the node may still run it.
        if (attemptState.job != null && (isAnswer(outcome) || outcome.neverRan())) {
            attemptState.node.model.ended(attemptState.job, nowUs, !outcome.neverRan());
        }
    }

    private static boolean isAnswer(Outcome outcome) {
        return outcome == Outcome.SERVED || outcome == Outcome.ERROR || outcome == Outcome.REJECTED;
    }

    /** Accounts an attempt's time up to its end or the request's end, whichever comes first. */
    private void accountAttempt(RequestState requestState, AttemptState attemptState, Outcome outcome, long nowUs) {
        attemptState.accounted = true;
        requestState.heldSinceUs = nowUs;
        requestState.connectingUs +=
                (attemptState.writtenUs < 0 ? nowUs : attemptState.writtenUs) - attemptState.sentUs;
        if (attemptState.job == null) {
            // A transfer doesn't queue at the node, and an unwritten attempt waited only for its connection.
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
        long nodeUs = isNodeAtFault(requestState, node, outcome, nowUs)
                ? waitUs
                : stalledUs(node, attemptState.writtenUs, nowUs);
        attributeWait(
                requestState,
                node,
                waitUs,
                modelWaitUs,
                attemptState.writtenUs,
                attemptState.writtenUs + modelWaitUs,
                attemptState.job,
                Cause.UNSEEN,
                nodeUs);
        if (outcome == Outcome.SERVED && attemptState.foundNodeIdle && elapsedUs > 0) {
            node.baselines
                    .computeIfAbsent(requestState.demand.classIndex(), c -> new BaselineTime())
                    .add(elapsedUs, requestState.demand.units());
            baselineOfAllNodes
                    .computeIfAbsent(requestState.demand.classIndex(), c -> new BaselineTime())
                    .add(elapsedUs, requestState.demand.units());
        }
    }

    /** True if the wait is the node's fault: the node is cold, slow, failed or did not answer. */
    private boolean isNodeAtFault(RequestState requestState, NodeTracker node, Outcome outcome, long nowUs) {
        boolean cold = node.startedMs > 0 && nowUs / 1000.0 < node.startedMs + warmUpMs;
        BaselineTime baseline = node.baselines.get(requestState.demand.classIndex());
        boolean slow = node.baselines.values().stream().anyMatch(BaselineTime::isSlow)
                && (baseline == null || baseline.isSlow() || !baseline.isKnown());
        return cold || slow || outcome != Outcome.SERVED && outcome != Outcome.REJECTED && outcome != Outcome.CANCELLED;
    }

    /** Records a stall if the node answered nothing for long while other requests were outstanding. */
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
                // The request ends before its attempt, so only the time up to now counts.
                accountAttempt(requestState, attemptState, Outcome.CANCELLED, nowUs);
                hadOpenAttempt = true;
            }
        }
        if (!hadOpenAttempt && nowUs > requestState.heldSinceUs) {
            // The request was held until it ended: attribute that to its last node, or to an empty one if none.
            NodeTracker lastNode = requestState.attempts.isEmpty()
                    ? new NodeTracker(0, cores)
                    : requestState.attempts.get(requestState.attempts.size() - 1).node;
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
            requestState.attempts.stream()
                    .filter(attemptState -> !attemptState.ended && attemptState.job != null)
                    .forEach(attemptState -> attemptState.node.outstanding--);
        }
    }
}
