package petrelstand.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.BufferUtil;
import org.junit.jupiter.api.Test;
import petrelstand.lifecycle.Lifecycle;
import petrelstand.net.MemoryEndPoint;
import petrelstand.testing.Harness;
import petrelstand.testing.HeldEnd;

/** What a connection that has spoken and now rests keeps on the heap, on either side, its end point included. */
class IdleConnectionMemoryTest {
    private static final int CONNECTIONS = 500;
    /** The parser's own cache of fields is made at the second message. */
    private static final int REQUESTS = 3;
    /** Bytes that a resting connection may keep. */
    private static final long MOST_BYTES = 4096;
    /** A head that is near the bound: what a parser grew for it must not stay either. */
    private static final String LONG_FIELD = "X-Long: " + "x".repeat(7000) + "\r\n";

    private final Harness world = new Harness();
    private final NodeConnectionPool pool = new NodeConnectionPool(
            world::dial, () -> world.nowUs, world.timers, world.counters, world.settings, "backend.local", CONNECTIONS);
    private final Lifecycle life = new Lifecycle(Lifecycle.Delays.of(5_000_000));
    private final HttpFront front = new HttpFront(world.broker(pool), world.timers, 2 * CONNECTIONS, life);

    {
        life.startServing(world.nowUs);
    }

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

    private MemoryEndPoint asked(String more) {
        MemoryEndPoint client = MemoryEndPoint.open(front::accept);
        for (int i = 0; i < REQUESTS; i++) {
            client.send("GET /ready HTTP/1.1\r\nHost: b\r\nAccept: text/plain\r\n" + more + "\r\n");
            assertTrue(client.takeReceived().startsWith("HTTP/1.1 200"));
        }
        return client;
    }

    private static void assertWithinBound(long before, List<MemoryEndPoint> ends, String side) {
        long each = (used() - before) / CONNECTIONS;
        assertTrue(ends.stream().allMatch(MemoryEndPoint::isOpen));
        assertTrue(each <= MOST_BYTES, each + " bytes for each resting connection of a " + side);
    }

    @Test
    void aClientsRestingConnectionKeepsNeitherParserNorBuffer() {
        List<MemoryEndPoint> clients = new ArrayList<>(CONNECTIONS);
        asked(LONG_FIELD);
        long before = used();
        for (int i = 0; i < CONNECTIONS; i++) {
            clients.add(asked(i % 2 == 0 ? "" : LONG_FIELD));
        }
        assertEquals(CONNECTIONS + 1, front.connectionCount());
        assertWithinBound(before, clients, "client");
    }

    @Test
    void aNodesRestingConnectionKeepsNeitherParserNorBuffer() {
        List<MemoryEndPoint> nodes = new ArrayList<>(CONNECTIONS);
        List<UpstreamConnection> connections = new ArrayList<>(CONNECTIONS);
        ByteBudget budget = new ByteBudget(1 << 20);
        long before = used();
        for (int i = 0; i < CONNECTIONS; i++) {
            nodes.add(MemoryEndPoint.open(end -> {
                UpstreamConnection connection =
                        new UpstreamConnection(end, NodeConnectionPool.MOST_ANSWER, budget, (c, free) -> {});
                connections.add(connection);
                return connection;
            }));
            for (int j = 0; j < REQUESTS; j++) {
                String[] answered = new String[1];
                connections.get(i).send(new OneCall(answered));
                nodes.get(i).takeReceived();
                nodes.get(i)
                        .send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n"
                                + (i % 2 == 0 ? "" : LONG_FIELD) + "\r\ndone");
                assertEquals("done", answered[0]);
            }
            assertEquals(UpstreamConnection.State.IDLE, connections.get(i).state());
        }
        assertWithinBound(before, nodes, "node");
    }

    /** A call that keeps the body that it was answered. */
    private record OneCall(String[] answered) implements UpstreamCall {
        @Override
        public ByteBuffer[] requestBytes() {
            return new ByteBuffer[] {BufferUtil.toBuffer("GET / HTTP/1.1\r\nHost: b\r\n\r\n")};
        }

        @Override
        public void onAnswer(int status, HttpFields fields, ByteBuffer body) {
            answered[0] = BufferUtil.toString(body);
        }

        @Override
        public void onFailure(Failure how) {
            answered[0] = how.name();
        }
    }

    /** Without a buffer, what lies on a resting connection must be seen all the same before it is used again. */
    @Test
    void aNodesRestingConnectionThatWasSentBytesIsNotUsedAgain() {
        List<UpstreamConnection> connections = new ArrayList<>();
        HeldEnd node = HeldEnd.open(end -> {
            connections.add(new UpstreamConnection(
                    end, NodeConnectionPool.MOST_ANSWER, new ByteBudget(1 << 20), (c, free) -> {}));
            return connections.get(0);
        });
        String[] answered = new String[1];
        connections.get(0).send(new OneCall(answered));
        node.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        assertEquals("done", answered[0]);
        assertTrue(connections.get(0).quiet());
        node.putUnread("H");
        assertFalse(connections.get(0).quiet());
        assertFalse(node.isOpen());
    }
}
