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

/** The keeper between a broker in virtual time and a folder that fails: service goes on, and one line tells. */
class StateKeeperTest {
    private static final long EVERY_US = 2_000_000;
    private final SimFolder disk = new SimFolder();
    private final LinkedBlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private final BrokerFixture world = new BrokerFixture();
    private StateKeeper.FolderOpener opening = () -> disk;

    private final class Server implements NodeTransport {
        @Override
        public void start(Attempt attempt) {
            world.timers.schedule(world.nowUs + 20_000, () -> attempt.end(Outcome.SERVED, "body", Map.of()));
        }

        @Override
        public void abandon(Attempt attempt) {}

        @Override
        public void probe(Node node, long timeoutUs, ProbeCallback result) {}

        @Override
        public void discardConnections(Node node) {}
    }

    private Broker broker() {
        return world.broker(new Server());
    }

    private StateKeeper keeper() {
        return new StateKeeper(
                () -> opening.open(),
                EVERY_US,
                "n1",
                world.settings,
                world.timers,
                () -> world.nowUs,
                () -> world.nowUs / 1000,
                loop::add,
                world.counters,
                world.log::add);
    }

    /** Lets time pass, and waits for the write that it began, in which nothing else happens. */
    private void write() throws Exception {
        world.advance(EVERY_US);
        took();
    }

    private void took() throws Exception {
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
            world.advance(10_000);
        }
    }

    private long lines(String text) {
        return world.log.stream().filter(line -> line.contains(text)).count();
    }

    @Test
    void whatOneGatewayLearnedTheNextOneKnows() throws Exception {
        StateKeeper first = keeper();
        first.open();
        Broker broker = broker();
        first.start(broker);
        world.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
        serve(broker, 100);
        LearnedNode before = broker.learnedState().nodes().get(0);
        assertTrue(before.latencyMs() < 40, before.toString());
        boolean[] ended = new boolean[1];
        first.writeFinalSnapshot(() -> ended[0] = true);
        // A write of the ordinary pace may be under way; the last one follows it.
        while (!ended[0]) {
            took();
        }
        world.advance(1_000_000);
        StateKeeper second = keeper();
        second.open();
        Broker next = broker();
        second.start(next);
        world.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
        LearnedNode after = next.learnedState().nodes().get(0);
        assertEquals(before.latencyMs(), after.latencyMs(), 5);
        assertTrue(after.window() > 3, after.toString());
        assertEquals(1, next.learnedState().volumes().size());
        assertTrue(
                world.log.stream()
                        .anyMatch(
                                line -> line.matches(
                                        "state: remembered 1 nodes \\(0 silent\\) and 1 volumes, 1\\.0 s old, generation [12], after an orderly end")),
                world.log.toString());
    }

    @Test
    void aNodeThatStartedAnewSinceIsNotRemembered() throws Exception {
        StateKeeper first = keeper();
        first.open();
        Broker broker = broker();
        first.start(broker);
        world.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
        serve(broker, 20);
        write();
        StateKeeper second = keeper();
        second.open();
        Broker next = broker();
        second.start(next);
        world.setNodes(
                BrokerFixture.node("s-00000001", 3, NodeState.READY, world.nowUs / 1000.0),
                BrokerFixture.node("s-00000002", 4, NodeState.READY, 0));
        for (LearnedNode node : next.learnedState().nodes()) {
            assertEquals(0, node.measuredSlots());
            assertEquals(100, node.latencyMs());
        }
    }

    @Test
    void aDiskThatFailsIsToldOnceAndServiceGoesOnUntilItWorksAgain() throws Exception {
        StateKeeper keeper = keeper();
        keeper.open();
        Broker broker = broker();
        keeper.start(broker);
        world.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
        disk.beforeStep = step -> {
            if (step.equals("create")) {
                throw new UncheckedIOException(new IOException("No space left on device"));
            }
        };
        write();
        world.advance(EVERY_US);
        took();
        serve(broker, 5);
        world.advance(100_000);
        assertEquals(5, world.counters.get("answered.served"));
        assertEquals(1, lines("No space left on device"), world.log.toString());
        assertEquals(2, world.counters.get("state.failed"));
        disk.beforeStep = step -> {};
        world.advance(60_000_000);
        took();
        assertEquals(1, lines("state: written again"));
        assertEquals(1, world.counters.get("state.written"));
    }

    /** A folder that goes away is opened anew, and taken again, when it comes back. */
    @Test
    void aFolderThatGoesAwayAndComesBackIsUsedAgain() throws Exception {
        StateKeeper.FolderOpener there = opening;
        opening = () -> {
            throw new java.nio.file.NoSuchFileException("/state");
        };
        StateKeeper keeper = keeper();
        keeper.open();
        assertEquals(1, lines("nothing remembered: NoSuchFileException /state"), world.log.toString());
        keeper.start(broker());
        write();
        assertEquals(1, lines("state: not written: NoSuchFileException /state"));
        opening = there;
        world.advance(10_000_000);
        took();
        assertEquals(1, lines("state: written again"), world.log.toString());
    }

    @Test
    void aSyncThatHangsHoldsNothingUp() throws Exception {
        CountDownLatch hangs = new CountDownLatch(1);
        StateKeeper keeper = keeper();
        keeper.open();
        Broker broker = broker();
        keeper.start(broker);
        world.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
        disk.beforeStep = step -> {
            try {
                hangs.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
        world.advance(EVERY_US + SnapshotSchedule.HUNG_WRITE_US + 1_000);
        assertEquals(1, lines("a write has not ended in 2 s"), world.log.toString());
        serve(broker, 5);
        world.advance(10_000_000);
        assertEquals(5, world.counters.get("answered.served"));
        assertEquals(1, lines("a write has not ended"));
        // The end does not wait for it longer than stated.
        boolean[] ended = new boolean[1];
        keeper.writeFinalSnapshot(() -> ended[0] = true);
        world.advance(StateKeeper.FINAL_WRITE_TIMEOUT_US - 1);
        assertTrue(!ended[0]);
        world.advance(1);
        assertTrue(ended[0]);
        assertEquals(1, lines("the last snapshot was not written in 400 ms"));
        hangs.countDown();
        took();
        assertEquals(1, world.counters.get("state.written"));
    }

    @Test
    void aFolderThatAnotherHasIsLeftAlone() throws Exception {
        disk.lockedByOther = true;
        StateKeeper keeper = keeper();
        keeper.open();
        keeper.start(broker());
        world.advance(10 * EVERY_US);
        assertEquals(List.of("state: another gateway has the folder; this one keeps nothing"), world.log);
        assertEquals(0, disk.steps());
        boolean[] ended = new boolean[1];
        keeper.writeFinalSnapshot(() -> ended[0] = true);
        assertTrue(ended[0]);
    }
}
