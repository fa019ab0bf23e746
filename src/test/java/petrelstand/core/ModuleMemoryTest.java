package petrelstand.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.decision.Policy;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.lifecycle.MemoryLimits;
import petrelstand.testing.Harness;
import petrelstand.testing.InertNodes;
import petrelstand.testing.SilentClient;

/** What volumes, nodes and pairs of the two keep on the heap: no more than the plan sets aside for them. */
class ModuleMemoryTest {
    private static final int NODES = 100;
    private static final int[] FACTORS = {1, 2, 10};
    private static final long STEP_US = 500;

    private final Harness world = new Harness();
    private final Broker broker = world.broker(new InertNodes() {
        @Override
        public void start(Attempt attempt) {
            attempt.end(Outcome.SERVED, "answer", null);
        }
    });
    private int served;
    private final SilentClient client = new SilentClient() {
        @Override
        public boolean served(Object answer) {
            served++;
            return true;
        }
    };

    /** Bytes in use once what nobody holds has been collected. */
    private static long used() {
        Runtime runtime = Runtime.getRuntime();
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 3; i++) {
            System.gc();
            least = Math.min(least, runtime.totalMemory() - runtime.freeMemory());
        }
        return least;
    }

    private void list() {
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(Harness.node("s-" + String.format("%08x", i + 1), i, NodeState.READY, 0));
        }
        world.list(nodes.toArray(new Node[0]));
        world.log.clear();
    }

    /** Each volume asks once, of one node after another. */
    private void ask(int volumes) {
        for (int i = 0; i < volumes; i++) {
            broker.submit(new Demand(0, 0, i, i, 1, i % NODES, 1, false, false, 1_000_000), "ask", client, taken -> {});
            world.run(STEP_US);
        }
        world.run(5_000_000);
        assertEquals(0, broker.openRequests());
    }

    @Test
    void volumesAndNodesKeepNoMoreThanIsSetAsideHoweverManyAsk() {
        long before = used();
        list();
        long most = NODES * MemoryLimits.NODE_BYTES + Policy.MAX_VOLUMES * MemoryLimits.VOLUME_BYTES;
        for (int factor : FACTORS) {
            ask(factor * Policy.MAX_VOLUMES);
            long held = used() - before;
            assertTrue(held <= most, held + " bytes at " + factor + " times the volumes, of " + most);
        }
        assertTrue(served > Policy.MAX_VOLUMES, served + " were served");
    }
}
