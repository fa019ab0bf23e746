package petrelstand.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import petrelstand.core.Attempt;
import petrelstand.core.Broker;
import petrelstand.core.Demand;
import petrelstand.core.Node;
import petrelstand.core.NodeTransport;
import petrelstand.decision.Scheduling.LearnedNode;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.state.SnapshotSchedule;
import petrelstand.testing.BrokerFixture;
import petrelstand.testing.StubClientHandler;

/** Guards against learned state lost over a restart, and against a failing folder that affects serving. */
class StateKeeperTest {
    private static final long INTERVAL_US = 2_000_000;
    private final SimFolder disk = new SimFolder();
    private final LinkedBlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private final BrokerFixture harness = new BrokerFixture();
    private StateKeeper.FolderOpener folderOpener = () -> disk;

    private final class FixedDelayNode implements NodeTransport {
        @Override
        public void start(Attempt attempt) {
            harness.timers.schedule(harness.nowUs + 20_000, () -> attempt.end(Outcome.SERVED, "body", Map.of()));
        }

        @Override
        public void abandon(Attempt attempt) {}

        @Override
        public void probe(Node node, long timeoutUs, ProbeCallback result) {}

        @Override
        public void discardConnections(Node node) {}
    }

    private Broker broker() {
        return harness.broker(new FixedDelayNode());
    }

    private StateKeeper keeper() {
        return new StateKeeper(
                () -> folderOpener.open(),
                INTERVAL_US,
                "n1",
                harness.settings,
                harness.timers,
                () -> harness.nowUs,
                () -> harness.nowUs / 1000,
                loop::add,
                harness.counters,
                harness.log::add);
    }

    /** Advances time by one interval and waits for the end of the write that is then due. */
    private void runOneInterval() throws Exception {
        harness.advance(INTERVAL_US);
        awaitWrite();
    }

    private void awaitWrite() throws Exception {
        Runnable task = loop.poll(20, TimeUnit.SECONDS);
        assertTrue(task != null, "no write ended");
        task.run();
    }

    private void serve(Broker broker, int requests) {
        for (int i = 0; i < requests; i++) {
            broker.submit(
                    new Demand(0, 0, 5, 9, 2, 3, 1, false, false, 1_500_000),
                    "ask",
                    new StubClientHandler(),
                    exchange -> {});
            harness.advance(10_000);
        }
    }

    private long countLines(String text) {
        return harness.log.stream().filter(line -> line.contains(text)).count();
    }

    @Test
    void restoresLearnedStateAfterARestart() throws Exception {
        StateKeeper first = keeper();
        first.open();
        Broker broker = broker();
        first.start(broker);
        harness.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
        serve(broker, 100);
        LearnedNode before = broker.learnedState().nodes().get(0);
        assertTrue(before.latencyMs() < 40, before.toString());
        boolean[] ended = new boolean[1];
        first.writeFinalSnapshot(() -> ended[0] = true);
        // A periodic write may be in progress; the final one follows it.
        while (!ended[0]) {
            awaitWrite();
        }
        harness.advance(1_000_000);
        StateKeeper second = keeper();
        second.open();
        Broker next = broker();
        second.start(next);
        harness.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
        LearnedNode after = next.learnedState().nodes().get(0);
        assertEquals(before.latencyMs(), after.latencyMs(), 5);
        assertTrue(after.window() > 3, after.toString());
        assertEquals(1, next.learnedState().volumes().size());
        assertTrue(
                harness.log.stream()
                        .anyMatch(
                                line -> line.matches(
                                        "state: remembered 1 nodes \\(0 silent\\) and 1 volumes, 1\\.0 s old, generation [12], after an orderly end")),
                harness.log.toString());
    }

    @Test
    void restartedNodeIsNotRestored() throws Exception {
        StateKeeper first = keeper();
        first.open();
        Broker broker = broker();
        first.start(broker);
        harness.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
        serve(broker, 20);
        runOneInterval();
        StateKeeper second = keeper();
        second.open();
        Broker next = broker();
        second.start(next);
        harness.setNodes(
                BrokerFixture.node("s-00000001", 3, NodeState.READY, harness.nowUs / 1000.0),
                BrokerFixture.node("s-00000002", 4, NodeState.READY, 0));
        for (LearnedNode node : next.learnedState().nodes()) {
            assertEquals(0, node.measuredSlots());
            assertEquals(100, node.latencyMs());
        }
    }

    @Test
    void failingDiskIsReportedOnceAndServingContinues() throws Exception {
        StateKeeper keeper = keeper();
        keeper.open();
        Broker broker = broker();
        keeper.start(broker);
        harness.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
        disk.beforeStep = step -> {
            if (step.equals("create")) {
                throw new UncheckedIOException(new IOException("No space left on device"));
            }
        };
        runOneInterval();
        harness.advance(INTERVAL_US);
        awaitWrite();
        serve(broker, 5);
        harness.advance(100_000);
        assertEquals(5, harness.counters.get("answered.served"));
        assertEquals(1, countLines("No space left on device"), harness.log.toString());
        assertEquals(2, harness.counters.get("state.failed"));
        disk.beforeStep = step -> {};
        harness.advance(60_000_000);
        awaitWrite();
        assertEquals(1, countLines("state: writing snapshots works again"));
        assertEquals(1, harness.counters.get("state.written"));
    }

    @Test
    void reopensAFolderThatDisappearedAndReturned() throws Exception {
        StateKeeper.FolderOpener workingOpener = folderOpener;
        folderOpener = () -> {
            throw new java.nio.file.NoSuchFileException("/state");
        };
        StateKeeper keeper = keeper();
        keeper.open();
        assertEquals(1, countLines("nothing remembered: NoSuchFileException /state"), harness.log.toString());
        keeper.start(broker());
        runOneInterval();
        assertEquals(1, countLines("state: cannot write a snapshot: NoSuchFileException /state"));
        folderOpener = workingOpener;
        harness.advance(10_000_000);
        awaitWrite();
        assertEquals(1, countLines("state: writing snapshots works again"), harness.log.toString());
    }

    @Test
    void hungWriteDoesNotBlockServingOrShutdown() throws Exception {
        CountDownLatch diskResponds = new CountDownLatch(1);
        StateKeeper keeper = keeper();
        keeper.open();
        Broker broker = broker();
        keeper.start(broker);
        harness.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
        disk.beforeStep = step -> {
            try {
                diskResponds.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
        harness.advance(INTERVAL_US + SnapshotSchedule.HUNG_WRITE_US + 1_000);
        assertEquals(1, countLines("a write has not ended in 2 s"), harness.log.toString());
        serve(broker, 5);
        harness.advance(10_000_000);
        assertEquals(5, harness.counters.get("answered.served"));
        assertEquals(1, countLines("a write has not ended"));
        // The shutdown waits no longer than its timeout.
        boolean[] ended = new boolean[1];
        keeper.writeFinalSnapshot(() -> ended[0] = true);
        harness.advance(StateKeeper.FINAL_WRITE_TIMEOUT_US - 1);
        assertTrue(!ended[0]);
        harness.advance(1);
        assertTrue(ended[0]);
        assertEquals(1, countLines("the final snapshot was not written within 400 ms"));
        diskResponds.countDown();
        awaitWrite();
        assertEquals(1, harness.counters.get("state.written"));
    }

    @Test
    void folderLockedByAnotherGatewayIsNotTouched() throws Exception {
        disk.lockedByOther = true;
        StateKeeper keeper = keeper();
        keeper.open();
        keeper.start(broker());
        harness.advance(10 * INTERVAL_US);
        assertEquals(List.of("state: another gateway has the folder; this one keeps nothing"), harness.log);
        assertEquals(0, disk.steps());
        boolean[] ended = new boolean[1];
        keeper.writeFinalSnapshot(() -> ended[0] = true);
        assertTrue(ended[0]);
    }
}
