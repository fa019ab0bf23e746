package petrelstand.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelstand.decision.FakeHost.node;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;
import petrelstand.decision.FakeHost.TestRequest;
import petrelstand.decision.FakeHost.TestSettings;
import petrelstand.decision.Scheduling.LearnedNode;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.LearnedVolume;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;

/** Restoring the state that an earlier run learned, and how soon new measurements replace it. */
class RestoreTest {
    private static LearnedNode learnedNode(long id, double upSinceMs, double coldSent, double silentMs) {
        return new LearnedNode(id, upSinceMs, 10, 30, 6, 40, coldSent, silentMs);
    }

    private static FakeHost host(TestSettings settings, LearnedState learned) {
        FakeHost host = new FakeHost(10_000, settings.build());
        host.policy.restore(10_000, learned);
        return host;
    }

    private static LearnedState nodes(LearnedNode... nodes) {
        return new LearnedState(10_000, 0, 0, List.of(nodes), List.of());
    }

    private static Map<Long, LearnedNode> learned(FakeHost host) {
        return host.policy.learnedState(host.nowMs).nodes().stream()
                .collect(Collectors.toMap(LearnedNode::node, node -> node));
    }

    @Test
    void onlyListedNodesWithTheSameStartTimeAreRestored() {
        FakeHost host = host(
                new TestSettings(), nodes(learnedNode(1, 0, 0, 0), learnedNode(2, 500, 0, 0), learnedNode(3, 0, 0, 0)));
        host.listNodes(node(1, 0), node(2, 1, NodeState.READY, 900));
        assertEquals(6, learned(host).get(1L).window());
        assertEquals(40, learned(host).get(1L).latencyMs());
        assertEquals(Policy.INITIAL_WINDOW, learned(host).get(2L).window());
        assertNull(learned(host).get(3L));
        host.listNodes(node(1, 0), node(2, 1, NodeState.READY, 900), node(3, 2));
        assertEquals(Policy.INITIAL_WINDOW, learned(host).get(3L).window());
    }

    @Test
    void restoredNodeGetsNothingBeforeAListNamesIt() {
        FakeHost host = host(new TestSettings(), nodes(learnedNode(1, 0, 0, 0)));
        assertEquals("refuse", host.finalAnswer(host.request(new TestRequest())));
        assertEquals(0, host.sent.size());
    }

    @Test
    void restoredSilentNodeGetsOneTestAndRecoversByItsAnswer() {
        FakeHost host = host(new TestSettings(), nodes(learnedNode(1, 0, 0, 700)));
        host.listNodes(node(1, 0));
        long test = host.request(new TestRequest());
        long second = host.request(new TestRequest());
        assertEquals(1, host.sentCount(test));
        assertEquals("refuse", host.finalAnswer(second));
        host.nowMs += 30;
        host.endAttempt(host.lastSent(), Outcome.SERVED);
        assertEquals(0, learned(host).get(1L).silentMs());
        host.request(new TestRequest());
        assertEquals(2, host.sent.size());
    }

    /** Guards against a cached node list that is older than the restored state. */
    @Test
    void outdatedListDoesNotMakeAColdNodeWarm() {
        FakeHost host = host(new TestSettings(), nodes(learnedNode(1, 9_500, 3, 0)));
        host.listNodes(node(1, 0));
        host.request(new TestRequest());
        assertEquals(0, host.sent.size());
        assertEquals(9_500, learned(host).get(1L).upSinceMs());
    }

    @Test
    void spentBudgetOfAColdNodeIsNotSpentAgain() {
        FakeHost host = host(new TestSettings(), nodes(learnedNode(1, 9_500, 20, 0)));
        host.listNodes(node(1, 0, NodeState.READY, 9_500));
        assertEquals(20, learned(host).get(1L).coldSentUnits());
        for (int i = 0; i < 30; i++) {
            host.request(new TestRequest().timeLeftMs(4000));
            host.runTo(host.nowMs + 60);
        }
        assertTrue(host.nowMs < 12_000);
        assertEquals(0, host.sent.size());
    }

    @Test
    void levelsOfAVolumesBucketsAreRestored() {
        TestSettings settings = new TestSettings();
        settings.limit = 4;
        settings.reserve = 3;
        LearnedState learned = new LearnedState(
                10_000,
                0,
                0,
                List.of(),
                List.of(new LearnedVolume(1, 0, 1, 1, 0, 1, 2), new LearnedVolume(2, 0, 1, 1, 32, 3, 1e9)));
        FakeHost host = host(settings, learned);
        host.listNodes(node(1, 0));
        assertEquals("refuse", host.finalAnswer(host.request(new TestRequest().volume(1))));
        assertNull(host.finalAnswer(host.request(new TestRequest().volume(2))));
        Map<Long, LearnedVolume> after = host.policy.learnedState(host.nowMs).volumes().stream()
                .collect(Collectors.toMap(LearnedVolume::volume, volume -> volume));
        assertEquals(1, after.get(1L).reserveLevel(), 1e-9);
        assertEquals(30, after.get(2L).limitLevel(), 1e-9);
        assertTrue(after.get(2L).shareLevel() <= 12, "a bucket holds no more than its capacity");
    }

    /** Restored values of any size must not matter any more after some seconds of answers. */
    @Property(tries = 150)
    void measurementsReplaceRestoredValues(
            @ForAll @DoubleRange(min = 0, max = 10) double slots,
            @ForAll @DoubleRange(min = 0, max = 640) double served,
            @ForAll @DoubleRange(min = 1, max = 8) double window,
            @ForAll @DoubleRange(min = 0.1, max = 1500) double latencyMs,
            @ForAll boolean silent) {
        FakeHost fresh = new FakeHost(10_000, new TestSettings().build());
        FakeHost restored = host(
                new TestSettings(),
                new LearnedState(
                        10_000,
                        20,
                        20 * 64,
                        List.of(new LearnedNode(1, 0, slots, served, window, latencyMs, 0, silent ? 5_000 : 0)),
                        List.of()));
        for (FakeHost host : List.of(fresh, restored)) {
            host.listNodes(node(1, 0));
            // Twelve seconds of overload; the node serves each request in 30 ms.
            for (int i = 0; i < 400; i++) {
                for (int more = 0; more < 12; more++) {
                    host.request(new TestRequest().units(1));
                }
                List<FakeHost.Sent> inFlight = host.sent.stream()
                        .skip(Math.max(0, host.sent.size() - 60))
                        .filter(host::isOpen)
                        .toList();
                host.runTo(host.nowMs + 30);
                inFlight.forEach(attempt -> host.endAttempt(attempt, Outcome.SERVED));
            }
        }
        LearnedNode expected = learned(fresh).get(1L);
        LearnedNode actual = learned(restored).get(1L);
        assertEquals(expected.latencyMs(), actual.latencyMs(), 1);
        assertEquals(
                expected.servedUnits() / expected.measuredSlots(), actual.servedUnits() / actual.measuredSlots(), 0.1);
        assertEquals(expected.window(), actual.window(), 1);
        assertEquals(0, actual.silentMs());
        assertTrue(actual.measuredSlots() > 100, "too few slots measured: " + actual);
    }
}
