package petrelstand.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.lifecycle.Lifecycle;
import petrelstand.testing.BrokerFixture;
import petrelstand.testing.HeldInputEndPoint;

/** Guards against a write that runs twice because its id comes again after its client has left. */
class RepeatedTxnIdTest {
    /** The repeat window of the class in the settings. */
    private static final long REPEAT_WINDOW_US = 2_500_000;

    private final BrokerFixture harness = new BrokerFixture();
    private final NodeConnectionPool pool = harness.pool(6);
    private final Lifecycle lifecycle = new Lifecycle(Lifecycle.Delays.of(5_000_000));
    private final HttpFront front = new HttpFront(harness.broker(pool), harness.timers, 50, lifecycle);
    private final List<HeldInputEndPoint> nodes = new ArrayList<>();

    @BeforeEach
    void startServing() {
        lifecycle.startServing(harness.nowUs);
        harness.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
    }

    private HeldInputEndPoint sendWrite(String txnId, int bodyBytes) {
        HeldInputEndPoint client = HeldInputEndPoint.open(front::accept);
        client.send("PUT /survey-write/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nX-Txn: " + txnId
                + "\r\nX-Qos-Policy: basic\r\nX-Remaining-Ms: 1400\r\nX-Placement: units=2,shard=3,hosts=1\r\n"
                + "Idempotency-Key: k1\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "z".repeat(bodyBytes));
        return client;
    }

    /** Completes the pending connections to the node; returns how many requests with an id it has received since. */
    private int received(String txnId) {
        while (!harness.dials.isEmpty()) {
            nodes.add(harness.connectLast());
        }
        return (int) nodes.stream()
                .filter(node -> node.takeReceived().contains("X-Txn: " + txnId + "\r\n"))
                .count();
    }

    @ParameterizedTest
    @ValueSource(ints = {1_000, 1_000_000})
    void idOfDepartedClientIsRejectedWithinTheRepeatWindow(int bodyBytes) {
        HeldInputEndPoint client = sendWrite("w1", bodyBytes);
        assertEquals(1, received("w1"));
        client.sendEof();
        for (long waitedUs = 50_000; waitedUs < REPEAT_WINDOW_US; waitedUs += 600_000) {
            harness.advance(waitedUs == 50_000 ? 50_000 : 600_000);
            HeldInputEndPoint again = sendWrite("w1", bodyBytes);
            assertEquals(0, received("w1"), waitedUs + " us after the client had left");
            assertTrue(again.takeReceived().startsWith("HTTP/1.1 409 "));
        }
        harness.advance(600_000);
        HeldInputEndPoint later = sendWrite("w1", bodyBytes);
        assertEquals(1, received("w1"));
        assertEquals("", later.takeReceived());
    }

    @Test
    void idOfServedWriteIsRejectedWithinTheRepeatWindow() {
        HeldInputEndPoint client = sendWrite("w1", 1_000);
        assertEquals(1, received("w1"));
        nodes.get(0).send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
        assertTrue(client.takeReceived().startsWith("HTTP/1.1 200 "));
        harness.advance(50_000);
        assertTrue(sendWrite("w1", 1_000).takeReceived().startsWith("HTTP/1.1 409 "));
        assertEquals(0, received("w1"));
    }

    /** A client whose request reached no node may send it once more. */
    @Test
    void idOfRequestThatReachedNoNodeIsTakenAgain() {
        sendWrite("w1", 1_000).sendEof();
        assertEquals(0, received("w1"));
        sendWrite("w1", 1_000);
        assertEquals(1, received("w1"));
    }

    /** Guards against memory that grows with ever new ids. */
    @Test
    void rememberedIdsAreBounded() {
        RequestClass write = harness.settings.classes().get(1);
        for (int i = 0; i < 3 * RecentTxnIds.MAX_IDS; i++) {
            String id = "w" + i;
            assertTrue(front.txnIds().claim(id, write, 1_000, harness.nowUs));
            front.txnIds().release(id, write, harness.nowUs + REPEAT_WINDOW_US, harness.nowUs);
        }
        assertEquals(RecentTxnIds.MAX_IDS, front.txnIds().recentCount());
        harness.advance(REPEAT_WINDOW_US + 1);
        assertTrue(front.txnIds().claim("w" + 3 * RecentTxnIds.MAX_IDS, write, 1_000, harness.nowUs));
        front.txnIds().release("w" + 3 * RecentTxnIds.MAX_IDS, write, harness.nowUs + 1, harness.nowUs);
        assertEquals(1, front.txnIds().recentCount());
    }
}
