package petrelstand.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the limits derived from the heap, the configured memory and the sockets. */
class MemoryLimitsTest {
    private static final long MIB = 1 << 20;
    private static final int CLIENTS = 560;
    private static final int NODES = 384;
    private static final int VOLUMES = 4096;

    private static MemoryLimits limits(long heapMib, long memoryMib) {
        return MemoryLimits.of(heapMib * MIB, memoryMib * MIB, 1024, CLIENTS, NODES, 200, VOLUMES);
    }

    /** With a heap of 64 MB the serial collector leaves some 62 MiB usable. */
    @Test
    void deploymentHeapGivesTheMaximumConnections() {
        MemoryLimits limits = limits(61, 192);
        assertEquals(new MemoryLimits(CLIENTS, NODES, limits.bodyBytes(), 8 * MIB, 12 * MIB, 16 * MIB), limits);
        assertTrue(limits.bodyBytes() >= 32 * MIB, limits.toLogLine());
        assertEquals(36 * MIB, limits(128, 192).bodyBytes());
    }

    @Test
    void limitsFitTheHeapAndNeverShrinkWithMoreMemory() {
        MemoryLimits previous = null;
        for (long heap = 24; heap <= 512; heap++) {
            MemoryLimits limits = limits(heap, 0);
            long totalBytes = MemoryLimits.BASE_BYTES
                    + limits.clientConnections() * MemoryLimits.CLIENT_BYTES
                    + limits.nodeConnections() * MemoryLimits.NODE_CONNECTION_BYTES
                    + VOLUMES * MemoryLimits.VOLUME_BYTES
                    + 200 * MemoryLimits.NODE_BYTES
                    + limits.bodyBytes();
            assertTrue(totalBytes <= heap * MIB, totalBytes + " bytes in a heap of " + heap + " MiB");
            assertTrue(
                    Math.max(limits.requestReadBytes(), Math.max(limits.answerReadBytes(), limits.answerWriteBytes()))
                            <= limits.bodyBytes() / 2);
            assertTrue(
                    limits.clientConnections() <= CLIENTS && limits.nodeConnections() <= NODES,
                    "more connections than descriptors");
            assertTrue(
                    previous == null
                            || limits.clientConnections() >= previous.clientConnections()
                                    && limits.nodeConnections() >= previous.nodeConnections()
                                    && limits.bodyBytes() >= previous.bodyBytes(),
                    "lower limits with " + heap + " MiB");
            previous = limits;
        }
    }

    @Test
    void configuredMemoryAppliesIfLessThanTheHeap() {
        assertEquals(limits(48, 0), limits(512, 48));
        assertEquals(limits(48, 0), limits(48, 512));
    }

    @Test
    void tooLittleMemoryOrTooFewSocketsNamesTheSetting() {
        assertRefused(
                "limits.sockets: 40 leave 0 connections for clients and 16 for nodes; 8 of each are needed",
                () -> MemoryLimits.of(64 * MIB, 0, 40, -4, 16, 1, VOLUMES));
        assertRefused(
                "limits.memory_mb: 12 MiB leave 0 MiB beside 4096 volumes and 200 nodes, "
                        + "too little for connections and bodies",
                () -> limits(64, 12));
        assertRefused(
                "the heap (-Xmx): 10 MiB leave 0 MiB beside 4096 volumes and 200 nodes, "
                        + "too little for connections and bodies",
                () -> limits(10, 192));
    }

    private static void assertRefused(String message, org.junit.jupiter.api.function.Executable start) {
        assertEquals(
                message, assertThrows(IllegalArgumentException.class, start).getMessage());
    }
}
