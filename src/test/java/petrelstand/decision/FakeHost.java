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

/** Host that runs the policy's timers, records its actions, and lets a test act as the nodes. */
final class FakeHost implements HostActions {
    /** An attempt that the policy sent. */
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
    double nowMs;
    /** Usage of the volume that answers report; 0 reports none. */
    int reportedUse;

    /** Load report of the answers. */
    List<Double> load = List.of();

    FakeHost(double startMs, Settings settings) {
        this(startMs, settings, 7);
    }

    FakeHost(double startMs, Settings settings, long seed) {
        nowMs = startMs;
        policy = new Policy(startMs, settings, seed, this);
    }

    /** Returns the time of the next timer; infinite if none is set. */
    double nextTimerMs() {
        return timers.isEmpty() ? Double.POSITIVE_INFINITY : timers.peek().atMs();
    }

    /** Advances the clock to a time and runs the timers due until then. */
    void runTo(double untilMs) {
        while (!timers.isEmpty() && timers.peek().atMs() <= untilMs) {
            Timer timer = timers.poll();
            nowMs = Math.max(nowMs, timer.atMs());
            policy.timerFired(nowMs, timer.token());
        }
        nowMs = untilMs;
    }

    void listNodes(NodeEntry... entries) {
        policy.nodesListed(nowMs, NodeListKind.FULL, List.of(entries));
    }

    long request(TestRequest request) {
        long id = nextId++;
        policy.requestReceived(
                nowMs,
                new Request(
                        id,
                        request.requestClass,
                        0,
                        request.key,
                        request.timeLeftMs,
                        request.volume,
                        request.units,
                        request.shard,
                        request.hostCount,
                        false,
                        false));
        return id;
    }

    void endAttempt(Sent attempt, Outcome outcome) {
        endAttempt(attempt, outcome, outcome == Outcome.SERVED);
    }

    boolean isOpen(Sent attempt) {
        return !ended.contains(attempt);
    }

    void endAttempt(Sent attempt, Outcome outcome, boolean requestClosed) {
        ended.add(attempt);
        policy.attemptEnded(
                nowMs,
                new AttemptEnd(
                        attempt.request(),
                        attempt.attempt(),
                        outcome,
                        nowMs - attempt.atMs(),
                        attempt.node(),
                        reportedUse,
                        0,
                        requestClosed,
                        load));
    }

    long sentCount(long request) {
        return sent.stream().filter(attempt -> attempt.request() == request).count();
    }

    Sent lastSent() {
        return sent.get(sent.size() - 1);
    }

    /** Returns the final answer of a request: refuse, fail, or null if none was given yet. */
    String finalAnswer(long request) {
        List<String> answers = log.stream()
                .filter(line -> line.equals("refuse " + request) || line.equals("fail " + request))
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
        sent.add(new Sent(nowMs, request, node, attempts.merge(request, 1, Integer::sum) - 1));
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
        log.add("subscribe");
    }

    @Override
    public void sendPeerMessage(int recipient, byte[] message) {
        log.add("message " + recipient);
    }

    /** Builds a request; repeatable, 2 units and shard 0 by default. */
    static final class TestRequest {
        int requestClass;
        long key;
        double timeLeftMs = 4000;
        long volume = 1;
        double units = 2;
        int shard;
        int hostCount = 1;

        TestRequest requestClass(int value) {
            requestClass = value;
            return this;
        }

        TestRequest key(long value) {
            key = value;
            return this;
        }

        TestRequest volume(long value) {
            volume = value;
            return this;
        }

        TestRequest units(double value) {
            units = value;
            return this;
        }

        TestRequest shard(int value) {
            shard = value;
            return this;
        }

        TestRequest hostCount(int value) {
            hostCount = value;
            return this;
        }

        TestRequest timeLeftMs(double value) {
            timeLeftMs = value;
            return this;
        }
    }

    static NodeEntry node(long id, int shard) {
        return new NodeEntry(id, 0, shard, NodeState.READY, 1, 0);
    }

    static NodeEntry node(long id, int shard, NodeState state, double upSinceMs) {
        return new NodeEntry(id, 0, shard, state, 1, upSinceMs);
    }

    /** Settings of the fake host; tests change single fields. */
    static final class TestSettings {
        int hosts = 1;
        int index;
        List<String> loadNames = List.of();
        DiscoveryMode discovery = DiscoveryMode.PUSHED;
        DedupGroup group = DedupGroup.ALL;
        boolean ordered;
        double limit;
        double reserve;
        double aimMs = 500;
        double freeRetries = -1;
        double retryRatio = -1;
        int maxAttempts = 4;
        double repeatWindowMs = 1000;

        static final int SAFE = 0;
        static final int UNSAFE = 1;
        static final int KEYED = 2;

        Settings build() {
            return new Settings(
                    hosts,
                    index,
                    0,
                    2,
                    List.of(
                            requestClass("safe", Effect.REPEATABLE),
                            requestClass("unsafe", Effect.UNSAFE),
                            requestClass("keyed", Effect.KEYED)),
                    List.of(new Plan("plan", 4, reserve, 1, 1, limit, 32, 8)),
                    discovery,
                    new Capabilities(maxAttempts, true, true, false, true, true, 1000, 250, 15_000),
                    new Rules(8, 250, 10_000, 0.2, 10_000, 2000, 2, 300, freeRetries, retryRatio, 5000),
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

        private RequestClass requestClass(String name, Effect effect) {
            return new RequestClass(name, aimMs, 0, 4000, 1, 0.1, effect, group, repeatWindowMs, ordered, false, false);
        }
    }
}
