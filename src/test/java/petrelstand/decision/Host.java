package petrelstand.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import petrelstand.decision.Scheduling.AttemptEnd;
import petrelstand.decision.Scheduling.Capabilities;
import petrelstand.decision.Scheduling.DedupGroup;
import petrelstand.decision.Scheduling.DiscoveryMode;
import petrelstand.decision.Scheduling.Effect;
import petrelstand.decision.Scheduling.HostActions;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.Plan;
import petrelstand.decision.Scheduling.Request;
import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.decision.Scheduling.Rules;
import petrelstand.decision.Scheduling.Settings;

/** A host for tests: it runs timers, writes down actions, and lets a test play the nodes by hand. */
final class Host implements HostActions {
    record Sent(double atMs, long request, long node, int attempt) {}

    private record Timer(double atMs, long order, long token) {}

    final Policy policy;
    final List<String> log = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();
    private final Set<Sent> ended = new HashSet<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(
            (a, b) -> a.atMs() != b.atMs() ? Double.compare(a.atMs(), b.atMs()) : Long.compare(a.order(), b.order()));
    private long order;
    private long nextId = 1;
    double now;
    /** What answers tell of the volume's use; 0 tells nothing. */
    int seenUse;

    /** The load report that answers and probes carry. */
    List<Double> load = List.of();

    Host(double startMs, Settings settings) {
        this(startMs, settings, 7);
    }

    Host(double startMs, Settings settings, long seed) {
        now = startMs;
        policy = new Policy(startMs, settings, seed, this);
    }

    /** The time of the next timer; infinite where none is set. */
    double nextTimerMs() {
        return timers.isEmpty() ? Double.POSITIVE_INFINITY : timers.peek().atMs();
    }

    /** Runs the timers due until a time. */
    void runTo(double untilMs) {
        while (!timers.isEmpty() && timers.peek().atMs() <= untilMs) {
            Timer timer = timers.poll();
            now = Math.max(now, timer.atMs());
            policy.timerFired(now, timer.token());
        }
        now = untilMs;
    }

    void list(NodeEntry... entries) {
        policy.nodesListed(now, NodeListKind.FULL, List.of(entries));
    }

    long request(Ask ask) {
        long id = nextId++;
        policy.requestReceived(
                now,
                new Request(
                        id,
                        ask.kind,
                        0,
                        ask.key,
                        ask.timeLeft,
                        ask.volume,
                        ask.units,
                        ask.shard,
                        ask.setSize,
                        false,
                        false));
        return id;
    }

    void end(Sent attempt, Outcome outcome) {
        end(attempt, outcome, outcome == Outcome.SERVED);
    }

    boolean open(Sent attempt) {
        return !ended.contains(attempt);
    }

    void end(Sent attempt, Outcome outcome, boolean over) {
        ended.add(attempt);
        policy.attemptEnded(
                now,
                new AttemptEnd(
                        attempt.request(),
                        attempt.attempt(),
                        outcome,
                        now - attempt.atMs(),
                        attempt.node(),
                        seenUse,
                        0,
                        over,
                        load));
    }

    long sentFor(long request) {
        return sent.stream().filter(s -> s.request() == request).count();
    }

    Sent last() {
        return sent.get(sent.size() - 1);
    }

    /** The final answer of a request: refuse, fail, or null while none was given. */
    String answer(long request) {
        List<String> answers = log.stream()
                .filter(l -> l.equals("refuse " + request) || l.equals("fail " + request))
                .toList();
        if (answers.size() > 1) {
            throw new AssertionError("more than one final answer: " + answers);
        }
        return answers.isEmpty()
                ? null
                : answers.get(0).substring(0, answers.get(0).indexOf(' '));
    }

    @Override
    public void send(long request, long node, double timeoutMs) {
        sent.add(new Sent(now, request, node, attempts.merge(request, 1, Integer::sum) - 1));
        log.add("send " + request + " " + node);
    }

    @Override
    public void refuse(long request, double retryAfterMs) {
        log.add("refuse " + request);
    }

    @Override
    public void fail(long request) {
        log.add("fail " + request);
    }

    @Override
    public void cancel(long request, int attempt) {
        log.add("cancel " + request);
    }

    @Override
    public void probe(long node) {
        log.add("probe " + node);
    }

    @Override
    public void setTimer(double atMs, long token) {
        timers.add(new Timer(atMs, order++, token));
    }

    @Override
    public void subscribeToNodes() {
        log.add("follow");
    }

    @Override
    public void sendPeerMessage(int recipient, byte[] message) {
        log.add("tell " + recipient);
    }

    /** What a request asks; a plain one by default. */
    static final class Ask {
        int kind;
        long key;
        double timeLeft = 4000;
        long volume = 1;
        double units = 2;
        int shard;
        int setSize = 1;

        Ask kind(int value) {
            kind = value;
            return this;
        }

        Ask key(long value) {
            key = value;
            return this;
        }

        Ask volume(long value) {
            volume = value;
            return this;
        }

        Ask units(double value) {
            units = value;
            return this;
        }

        Ask shard(int value) {
            shard = value;
            return this;
        }

        Ask setSize(int value) {
            setSize = value;
            return this;
        }

        Ask timeLeft(double value) {
            timeLeft = value;
            return this;
        }
    }

    static NodeEntry node(long id, int shard) {
        return new NodeEntry(id, 0, shard, NodeState.READY, 1, 0);
    }

    static NodeEntry node(long id, int shard, NodeState state, double upSinceMs) {
        return new NodeEntry(id, 0, shard, state, 1, upSinceMs);
    }

    /** Settings that tests vary. */
    static final class Site {
        int hosts = 1;
        int index;
        List<String> loadNames = List.of();
        DiscoveryMode discovery = DiscoveryMode.PUSHED;
        DedupGroup group = DedupGroup.ALL;
        boolean ordered;
        double limit;
        double reserve;
        double aimMs = 500;
        double freeFurther = -1;
        double furtherShare = -1;
        int maxAttempts = 4;
        double windowMs = 1000;

        static final int SAFE = 0;
        static final int UNSAFE = 1;
        static final int KEYED = 2;

        Settings settings() {
            return new Settings(
                    hosts,
                    index,
                    0,
                    2,
                    List.of(
                            kind("safe", Effect.REPEATABLE),
                            kind("unsafe", Effect.UNSAFE),
                            kind("keyed", Effect.KEYED)),
                    List.of(new Plan("plan", 4, reserve, 1, 1, limit, 32, 8)),
                    discovery,
                    new Capabilities(maxAttempts, true, true, false, true, true, 1000, 250, 15_000),
                    new Rules(8, 250, 10_000, 0.2, 10_000, 2000, 2, 300, freeFurther, furtherShare, 5000),
                    20,
                    2,
                    8,
                    0.3,
                    0.05,
                    0,
                    false,
                    loadNames,
                    List.of("z"));
        }

        private RequestClass kind(String name, Effect effect) {
            return new RequestClass(name, aimMs, 0, 4000, 1, 0.1, effect, group, windowMs, ordered, false, false);
        }
    }
}
