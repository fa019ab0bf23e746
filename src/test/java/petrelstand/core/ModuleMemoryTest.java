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
import petrelstand.testing.BrokerFixture;
import petrelstand.testing.StubClientHandler;
import petrelstand.testing.StubNodeTransport;

/** Checks that volumes and nodes use no more heap than the memory limits reserve for them. */
class ModuleMemoryTest {
    private static final int NODES = 100;
    private static final int[] FACTORS = {1, 2, 10};
    private static final long STEP_US = 500;

    private final BrokerFixture harness = new BrokerFixture();
    private final Broker broker = harness.broker(new StubNodeTransport() {
        @Override
        public void start(Attempt attempt) {
            attempt.end(Outcome.SERVED, "answer", null);
        }
    });
    private int served;
    private final StubClientHandler client = new StubClientHandler() {
        @Override
        public boolean served(Object answer) {
            served++;
            return true;
        }
    };

    /** Bytes in use after garbage collection. */
    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        long min = Long.MAX_VALUE;
        for (int i = 0; i < 3; i++) {
            System.gc();
            min = Math.min(min, runtime.totalMemory() - runtime.freeMemory());
        }
        return min;
    }

    private void listNodes() {
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(BrokerFixture.node("s-" + String.format("%08x", i + 1), i, NodeState.READY, 0));
        }
        harness.setNodes(nodes.toArray(new Node[0]));
        harness.log.clear();
    }

    /** Sends one request per volume, to the nodes in turn. */
    private void requestOncePerVolume(int volumes) {
        for (int i = 0; i < volumes; i++) {
            broker.submit(
                    new Demand(0, 0, i, i, 1, i % NODES, 1, false, false, 1_000_000), "ask", client, exchange -> {});
            harness.advance(STEP_US);
        }
        harness.advance(5_000_000);
        assertEquals(0, broker.openRequests());
    }

    @Test
    void volumesAndNodesStayWithinTheirReservedMemory() {
        long before = usedBytes();
        listNodes();
        long reserved = NODES * MemoryLimits.NODE_BYTES + Policy.MAX_VOLUMES * MemoryLimits.VOLUME_BYTES;
        for (int factor : FACTORS) {
            requestOncePerVolume(factor * Policy.MAX_VOLUMES);
            long held = usedBytes() - before;
            assertTrue(held <= reserved, held + " bytes at " + factor + " times the volumes, of " + reserved);
        }
        assertTrue(served > Policy.MAX_VOLUMES, served + " were served");
    }
}
