package petrelstand.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What a gateway may hold, by its heap and its descriptors. */
class MemoryLimitsTest {
    private static final long MIB = 1 << 20;
    private static final int CLIENTS = 560;
    private static final int NODES = 384;
    private static final int VOLUMES = 4096;

    private static MemoryLimits plan(long heapMib, long memoryMib) {
        return MemoryLimits.of(heapMib * MIB, memoryMib * MIB, 1024, CLIENTS, NODES, 200, VOLUMES);
    }

    /** Of a heap of 64 MB the serial collector gives some 62 MiB to be used. */
    @Test
    void theHeapOfADeploymentHoldsWhatItAlwaysHeld() {
        MemoryLimits plan = plan(61, 192);
        assertEquals(new MemoryLimits(CLIENTS, NODES, plan.bodyBytes(), 8 * MIB, 12 * MIB, 16 * MIB), plan);
        assertTrue(plan.bodyBytes() >= 32 * MIB, plan.toLogLine());
        assertEquals(36 * MIB, plan(128, 192).bodyBytes());
    }

    @Test
    void allPartsFitTheHeapAndMoreMemoryNeverHoldsLess() {
        MemoryLimits before = null;
        for (long heap = 24; heap <= 512; heap++) {
            MemoryLimits plan = plan(heap, 0);
            long all = MemoryLimits.BASE_BYTES
                    + plan.clientConnections() * MemoryLimits.CLIENT_BYTES
                    + plan.nodeConnections() * MemoryLimits.NODE_CONNECTION_BYTES
                    + VOLUMES * MemoryLimits.VOLUME_BYTES
                    + 200 * MemoryLimits.NODE_BYTES
                    + plan.bodyBytes();
            assertTrue(all <= heap * MIB, all + " bytes in a heap of " + heap + " MiB");
            assertTrue(Math.max(plan.requestReadBytes(), Math.max(plan.answerReadBytes(), plan.answerWriteBytes()))
                    <= plan.bodyBytes() / 2);
            assertTrue(
                    plan.clientConnections() <= CLIENTS && plan.nodeConnections() <= NODES,
                    "more than there are descriptors");
            assertTrue(
                    before == null
                            || plan.clientConnections() >= before.clientConnections()
                                    && plan.nodeConnections() >= before.nodeConnections()
                                    && plan.bodyBytes() >= before.bodyBytes(),
                    "less with " + heap + " MiB");
            before = plan;
        }
    }

    @Test
    void theFilesMemoryBoundsWhereItIsLessThanTheHeap() {
        assertEquals(plan(48, 0), plan(512, 48));
        assertEquals(plan(48, 0), plan(48, 512));
    }

    @Test
    void whatNotEvenTheLeastFitsInIsRefusedByTheFieldsName() {
        assertRefused(
                "limits.sockets: 40 leave 0 connections for clients and 16 for nodes; 8 of each are needed",
                () -> MemoryLimits.of(64 * MIB, 0, 40, -4, 16, 1, VOLUMES));
        assertRefused(
                "limits.memory_mb: 12 MiB leave 0 MiB beside 4096 volumes and 200 nodes, "
                        + "too little for connections and bodies",
                () -> plan(64, 12));
        assertRefused(
                "the heap (-Xmx): 10 MiB leave 0 MiB beside 4096 volumes and 200 nodes, "
                        + "too little for connections and bodies",
                () -> plan(10, 192));
    }

    private static void assertRefused(String text, org.junit.jupiter.api.function.Executable start) {
        assertEquals(text, assertThrows(IllegalArgumentException.class, start).getMessage());
    }
}
