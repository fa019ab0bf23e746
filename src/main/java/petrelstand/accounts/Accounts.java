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
 * broker tells, keeps a model of each node ({@link NodeModel}), and books into a {@link Ledger}. No I/O and no clock;
 * everything it keeps is bounded. docs/design/latency-accounts.md tells how a wait is attributed.
 */
public final class Accounts implements RequestObserver {
    /** Nodes that are modelled at most; the one longest unused goes first. */
    static final int MOST_NODES = 1024;
    /** First tries that a client's repeat may be linked to, and for how long. */
    static final int MOST_FIRST_TRIES = 4096;

    static final long REPEAT_WITHIN_US = 10_000_000;
    /** A stretch without an answer to several of ours is a standstill from this length on, beyond what was usual. */
    static final long STANDSTILL_US = 40_000;

    private static final int MOST_STANDSTILLS = 64;
    /**
     * A request keeps its core in the model until its answer, but no longer than this many times its usual time: the
     * usual time is a lower quartile, and what takes longer still is the node's trouble, not the request's.
     */
    static final double MOST_TIMES_USUAL = 1.25;

    /** A part of a request's wait, at a node. */
    public record Share(long node, Cause cause, long us) {}

    /**
     * What became of a request: its phases in microseconds over all its attempts, the time between a first try that was
     * turned away and this one where they could be linked, and the shares of held and waited time, which add up to
     * them.
     */
    public record Account(
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
            long awayUs,
            long endedAtUs,
            List<Share> shares) {
        /** From the first taking to the end, of all tries that were linked. */
        public long totalUs() {
            return heldUs + connectingUs + waitedUs + servedUs + awayUs;
        }
    }

    /** Told of each account when its request is over. */
    public interface Sink {
        void over(Account account);
    }

    private record Key(long volume, long key, int requestClass) {}

    private record FirstTry(long endedAtUs, long spentUs) {}

    /** A stretch in which a node answered nothing to several of ours. */
    private record Standstill(long fromUs, long toUs) {}

    private static final class AtNode {
        private final long number;
        private final NodeModel model;
        private final Map<Integer, UsualTime> usual = new HashMap<>();
        private final List<Standstill> standstills = new ArrayList<>();
        private double startedMs;
        private int out;
        private long heardUs;

        AtNode(long number, int cores) {
            this.number = number;
            this.model = new NodeModel(cores);
        }
    }

    private static final class Try {
        private final int number;
        private final AtNode node;
        private final boolean streamed;
        private final long sentUs;
        private long writtenUs = -1;
        private NodeModel.Job job;
        private boolean foundNothing;
        /** Its time is booked; its end, once it is known, may still correct the node's model. */
        private boolean booked;

        private boolean ended;

        Try(int number, AtNode node, boolean streamed, long sentUs) {
            this.number = number;
            this.node = node;
            this.streamed = streamed;
            this.sentUs = sentUs;
        }
    }

    private static final class Open {
        private final Demand demand;
        private long freeSinceUs;
        private final List<Try> tries = new ArrayList<>(1);
        private final List<Share> shares = new ArrayList<>();
        private long heldUs;
        private long connectingUs;
        private long waitedUs;
        private long servedUs;
        private long awayUs;
        private boolean served;
        private boolean answered;

        Open(Demand demand, long takenUs) {
            this.demand = demand;
            this.freeSinceUs = takenUs;
        }

        Try at(int number) {
            for (Try one : tries) {
                if (one.number == number) {
                    return one;
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
    private final Map<Long, Open> open = new HashMap<>();
    private final Map<Long, AtNode> nodes = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, AtNode> eldest) {
            return size() > MOST_NODES;
        }
    };
    private final Map<Integer, UsualTime> usualOfAll = new HashMap<>();
    private final Map<Key, FirstTry> firstTries = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, FirstTry> eldest) {
            return size() > MOST_FIRST_TRIES;
        }
    };
    private long unlinkedRepeats;

    /** Accounts before nodes of so many cores, which are cold for a time after their start. */
    public Accounts(int cores, double warmUpMs, Sink sink) {
        if (cores < 1 || cores > 256) {
            throw new IllegalArgumentException("a node has 1 to 256 cores, not " + cores);
        }
        this.cores = cores;
        this.warmUpMs = warmUpMs;
        this.sink = sink;
    }

    /** Clients' repeats whose first try was not known any more: their accounts begin with the repeat. */
    public long unlinkedRepeats() {
        return unlinkedRepeats;
    }

    /** Requests, nodes and first tries kept. */
    int size() {
        return open.size() + nodes.size() + firstTries.size();
    }

    @Override
    public void requestAccepted(long request, Demand demand, long nowUs) {
        Open of = new Open(demand, nowUs);
        if (demand.clientRepeat()) {
            FirstTry first = firstTries.remove(new Key(demand.volume(), demand.key(), demand.classIndex()));
            if (first != null && nowUs <= first.endedAtUs + REPEAT_WITHIN_US) {
                of.awayUs = first.spentUs + nowUs - first.endedAtUs;
            } else {
                unlinkedRepeats++;
            }
        }
        open.put(request, of);
    }

    @Override
    public void attemptStarted(long request, int attempt, Node to, boolean streamed, long nowUs) {
        Open of = open.get(request);
        if (of == null || of.at(attempt) != null) {
            return;
        }
        AtNode node = nodes.computeIfAbsent(to.number(), number -> new AtNode(number, cores));
        if (to.entry().upSinceMs() > node.startedMs) {
            if (node.startedMs > 0 || node.heardUs > 0) {
                node.model.restart(nowUs);
            }
            node.startedMs = to.entry().upSinceMs();
        }
        held(of, node, nowUs);
        of.tries.add(new Try(attempt, node, streamed, nowUs));
    }

    /** The time held is shared among our own work at the node meanwhile; the rest is our own caution. */
    private void held(Open of, AtNode node, long nowUs) {
        long heldUs = nowUs - of.freeSinceUs;
        of.heldUs += heldUs;
        if (heldUs > 0) {
            node.model.idle(nowUs);
            share(of, node, heldUs, Long.MAX_VALUE, of.freeSinceUs, nowUs, null, Cause.WINDOW, 0);
        }
    }

    /**
     * Shares a wait: what our own work explains of it, at most so much, by who did that work in a stretch of time; then
     * the node's part of the rest, and the rest of that to a cause.
     */
    private void share(
            Open of,
            AtNode node,
            long waitUs,
            long explainedUs,
            long fromUs,
            long toUs,
            NodeModel.Job but,
            Cause rest,
            long nodeUs) {
        List<NodeModel.Done> done = node.model.doneIn(fromUs, toUs, but);
        long work = done.stream().mapToLong(NodeModel.Done::us).sum();
        // All cores busy all the time explain all of it.
        long explained = Math.min(waitUs, Math.min(explainedUs, work / cores));
        if (explained > 0) {
            long[] parts = Split.exact(
                    explained, done.stream().mapToLong(NodeModel.Done::us).toArray());
            for (int i = 0; i < parts.length; i++) {
                book(of, node, done.get(i).owner(), parts[i]);
            }
        }
        long left = waitUs - explained;
        long nodes = Math.min(left, nodeUs);
        book(of, node, Cause.NODE, nodes);
        book(of, node, rest, left - nodes);
    }

    private static void book(Open of, AtNode node, Cause cause, long us) {
        if (us <= 0) {
            return;
        }
        for (int i = 0; i < of.shares.size(); i++) {
            Share share = of.shares.get(i);
            if (share.node() == node.number && share.cause().equals(cause)) {
                of.shares.set(i, new Share(share.node(), cause, share.us() + us));
                return;
            }
        }
        of.shares.add(new Share(node.number, cause, us));
    }

    @Override
    public void attemptWritten(long request, int attempt, long nowUs) {
        Open of = open.get(request);
        Try at = of == null ? null : of.at(attempt);
        if (at == null || at.writtenUs >= 0 || at.ended) {
            return;
        }
        arrive(of, at, nowUs);
    }

    private void arrive(Open of, Try at, long nowUs) {
        at.writtenUs = nowUs;
        if (at.streamed) {
            return;
        }
        AtNode node = at.node;
        at.foundNothing = node.model.idle(nowUs);
        if (node.out++ == 0) {
            node.heardUs = nowUs;
        }
        at.job = node.model.arrive(nowUs, of.owner(), (long) (MOST_TIMES_USUAL * usualUs(node, of.demand)));
    }

    /**
     * The usual time of a request at a node; of its class at all nodes where the node is not known; 0 where neither.
     */
    private long usualUs(AtNode node, Demand demand) {
        UsualTime here = node.usual.get(demand.classIndex());
        UsualTime all = usualOfAll.get(demand.classIndex());
        long unit = here != null && here.known() ? here.unitUs() : all == null ? 0 : all.unitUs();
        return (long) (unit * demand.units());
    }

    @Override
    public void attemptEnded(long request, int attempt, Outcome outcome, long nowUs) {
        Open of = open.get(request);
        Try at = of == null ? null : of.at(attempt);
        if (at == null || at.ended) {
            return;
        }
        if (at.writtenUs < 0 && isAnswer(outcome)) {
            // The server side did not tell when the last byte left: it was when the attempt began.
            arrive(of, at, at.sentUs);
        }
        at.ended = true;
        if (at.job != null) {
            at.node.out--;
            if (isAnswer(outcome)) {
                heard(of, at.node, at, nowUs);
            }
        }
        if (!at.booked) {
            book(of, at, outcome, nowUs);
        }
        // What was given up stays in the model: the node may yet serve it.
        if (at.job != null && (isAnswer(outcome) || outcome.neverRan())) {
            at.node.model.ended(at.job, nowUs, !outcome.neverRan());
        }
    }

    private static boolean isAnswer(Outcome outcome) {
        return outcome == Outcome.SERVED || outcome == Outcome.ERROR || outcome == Outcome.REJECTED;
    }

    /** Books an attempt's time up to its end, or to the request's where that comes first. */
    private void book(Open of, Try at, Outcome outcome, long nowUs) {
        at.booked = true;
        of.freeSinceUs = nowUs;
        of.connectingUs += (at.writtenUs < 0 ? nowUs : at.writtenUs) - at.sentUs;
        if (at.job == null) {
            // A transfer stands in no queue, and what was never written waited for its connection only.
            of.servedUs += at.writtenUs < 0 ? 0 : nowUs - at.writtenUs;
            return;
        }
        AtNode node = at.node;
        node.model.idle(nowUs);
        long modelWaitUs = node.model.waitUs(at.job);
        long outUs = nowUs - at.writtenUs;
        long usual = usualUs(node, of.demand);
        long servedUs = outcome != Outcome.SERVED ? 0 : usual == 0 ? outUs : Math.min(outUs, usual);
        long waitUs = outUs - servedUs;
        of.servedUs += servedUs;
        of.waitedUs += waitUs;
        long nodeUs = trouble(of, node, outcome, nowUs) ? waitUs : standstillUs(node, at.writtenUs, nowUs);
        share(of, node, waitUs, modelWaitUs, at.writtenUs, at.writtenUs + modelWaitUs, at.job, Cause.UNSEEN, nodeUs);
        if (outcome == Outcome.SERVED && at.foundNothing && outUs > 0) {
            node.usual
                    .computeIfAbsent(of.demand.classIndex(), c -> new UsualTime())
                    .add(outUs, of.demand.units());
            usualOfAll
                    .computeIfAbsent(of.demand.classIndex(), c -> new UsualTime())
                    .add(outUs, of.demand.units());
        }
    }

    /** The node's own: it is cold, it is slow, or it did not answer at all. */
    private boolean trouble(Open of, AtNode node, Outcome outcome, long nowUs) {
        boolean cold = node.startedMs > 0 && nowUs / 1000.0 < node.startedMs + warmUpMs;
        UsualTime usual = node.usual.get(of.demand.classIndex());
        boolean slow = node.usual.values().stream().anyMatch(UsualTime::slow)
                && (usual == null || usual.slow() || !usual.known());
        return cold || slow || outcome != Outcome.SERVED && outcome != Outcome.REJECTED && outcome != Outcome.CANCELLED;
    }

    /** An answer came: a long time without one, with several of ours out, was a standstill. */
    private void heard(Open of, AtNode node, Try at, long nowUs) {
        long fromUs = Math.max(node.heardUs, at.writtenUs);
        long silentUs = nowUs - fromUs - usualUs(node, of.demand);
        if (node.out >= 1 && silentUs > STANDSTILL_US) {
            node.standstills.add(new Standstill(fromUs, nowUs));
            if (node.standstills.size() > MOST_STANDSTILLS) {
                node.standstills.remove(0);
            }
        }
        node.heardUs = nowUs;
    }

    private static long standstillUs(AtNode node, long fromUs, long toUs) {
        long us = 0;
        for (Standstill one : node.standstills) {
            us += Math.max(0, Math.min(toUs, one.toUs) - Math.max(fromUs, one.fromUs));
        }
        return us;
    }

    @Override
    public void requestAnswered(long request, boolean served, long nowUs) {
        Open of = open.get(request);
        if (of == null || of.answered) {
            return;
        }
        of.answered = true;
        of.served = served;
        boolean out = false;
        for (Try at : of.tries) {
            if (!at.booked) {
                // The request is over before its attempt: what the attempt took up to here is the request's.
                book(of, at, Outcome.CANCELLED, nowUs);
                out = true;
            }
        }
        if (!out && nowUs > of.freeSinceUs) {
            // It was held to its end: at the node of its last try, or at none that is known here.
            AtNode last = of.tries.isEmpty() ? new AtNode(0, cores) : of.tries.get(of.tries.size() - 1).node;
            held(of, last, nowUs);
        }
        close(request, of, nowUs);
    }

    private void close(long request, Open of, long nowUs) {
        Demand demand = of.demand;
        long spentUs = of.heldUs + of.connectingUs + of.waitedUs + of.servedUs;
        if (!of.served) {
            firstTries.put(
                    new Key(demand.volume(), demand.key(), demand.classIndex()),
                    new FirstTry(nowUs, spentUs + of.awayUs));
        }
        sink.over(new Account(
                request,
                demand.volume(),
                demand.planIndex(),
                demand.classIndex(),
                of.served,
                of.tries.size(),
                of.heldUs,
                of.connectingUs,
                of.waitedUs,
                of.servedUs,
                of.awayUs,
                nowUs,
                List.copyOf(of.shares)));
    }

    @Override
    public void requestClosed(long request, long nowUs) {
        Open of = open.remove(request);
        if (of != null) {
            of.tries.stream().filter(at -> !at.ended && at.job != null).forEach(at -> at.node.out--);
        }
    }
}
