package petrelstand.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.lifecycle.Lifecycle;
import petrelstand.testing.BrokerFixture;
import petrelstand.testing.HeldInputEndPoint;

/**
 * Guards against attempts for clients whose end may lie behind input that was not read: no first byte goes to a node
 * for a client that is not known to be there. Such a request is refused.
 */
class UnseenClientTest {
    /** More than is read ahead of a body that waits for its node, also for the last look. */
    private static final int TOO_MUCH = 900_000;
    /** More than is read ahead, and less than the last look reads. */
    private static final int WITHIN_THE_LAST_LOOK = 400_000;

    private static final long LONG_WAIT_US = 200_000;
    private static final long SHORT_WAIT_US = 50_000;

    private final BrokerFixture harness = new BrokerFixture(
            BrokerFixture.SETTINGS.replace("caps.connect_timeout_ms=250.0", "caps.connect_timeout_ms=1500.0"));
    private final NodeConnectionPool pool = harness.pool(6);
    private final Lifecycle lifecycle = new Lifecycle(Lifecycle.Delays.of(5_000_000));
    private final HttpFront front = new HttpFront(harness.broker(pool), harness.timers, 5, lifecycle);
    private final HeldInputEndPoint client = HeldInputEndPoint.open(front::accept);

    @BeforeEach
    void startServing() {
        lifecycle.startServing(harness.nowUs);
        harness.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
    }

    /** Sends the head of a write, and a part of its body that may be all of it. */
    private void sendWrite(int bodyBytes, int sentBytes) {
        client.send("PUT /survey-write/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nX-Txn: w1\r\n"
                + "X-Qos-Policy: basic\r\nX-Remaining-Ms: 1400\r\nX-Placement: units=2,shard=3,hosts=1\r\n"
                + "Idempotency-Key: k1\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "z".repeat(sentBytes));
    }

    private void assertRefusedUnsent(HeldInputEndPoint node) {
        assertEquals("", node.takeReceived(), "sent to the node");
        assertTrue(client.takeReceived().startsWith("HTTP/1.1 503 "));
        assertEquals(1, harness.counters.get("client_unseen"));
        assertForgotten();
    }

    private void assertForgotten() {
        assertEquals(0, harness.broker.openRequests());
        String status = harness.broker.statusLines();
        for (String line : new String[] {"module.requests 0", "module.in_flight 0", "module.held_units 0"}) {
            assertTrue(status.contains("\n" + line + "\n"), status);
        }
        assertEquals(0, harness.counters.get("module_unbalanced"));
        assertEquals(0, front.openTxnIdCount());
    }

    @Test
    void bodyOfUnseenClientIsRefusedWhenItsConnectionComesUpLate() {
        sendWrite(TOO_MUCH, TOO_MUCH);
        harness.advance(LONG_WAIT_US);
        assertRefusedUnsent(harness.connectLast());
    }

    @Test
    void furtherAttemptOfUnseenClientIsRefused() {
        sendWrite(TOO_MUCH, TOO_MUCH);
        harness.dials.remove(0).connector().connectFailed(new IOException("refused"));
        harness.advance(LONG_WAIT_US);
        assertFalse(harness.dials.isEmpty(), "there is no further attempt");
        assertRefusedUnsent(harness.connectLast());
    }

    @Test
    void chunkedBodyOfUnseenClientIsRefused() {
        client.send("PUT /survey-write/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nX-Txn: w1\r\n"
                + "X-Qos-Policy: basic\r\nX-Remaining-Ms: 1400\r\nX-Placement: units=2,shard=3,hosts=1\r\n"
                + "Idempotency-Key: k1\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(TOO_MUCH) + "\r\n"
                + "z".repeat(TOO_MUCH));
        harness.advance(LONG_WAIT_US);
        assertRefusedUnsent(harness.connectLast());
    }

    /** A limit on what is read ahead of a body must not refuse usual large writes. */
    @Test
    void bodyIsSentWhereItsClientWasSeenAShortTimeAgo() {
        sendWrite(TOO_MUCH, TOO_MUCH);
        harness.advance(SHORT_WAIT_US);
        assertTrue(harness.connectLast().takeReceived().contains("X-Txn: w1"));
    }

    /** Input that is all read shows that its client is there, once what its system held back has had time to come. */
    @Test
    void bodyIsSentWhereTheLastLookReadsAllInput() {
        sendWrite(TOO_MUCH, WITHIN_THE_LAST_LOOK);
        harness.advance(LONG_WAIT_US);
        HeldInputEndPoint node = harness.connectLast();
        assertEquals("", node.takeReceived(), "sent before the client's end could arrive");
        harness.advance(10_000);
        assertTrue(node.takeReceived().contains("X-Txn: w1"));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void bodyIsNotSentWhereTheEndArrivesAfterTheLastLook(boolean moreInput) {
        sendWrite(TOO_MUCH, WITHIN_THE_LAST_LOOK);
        harness.advance(LONG_WAIT_US);
        HeldInputEndPoint node = harness.connectLast();
        harness.advance(1_000);
        client.send(moreInput ? "z".repeat(1_000) : "");
        client.sendEof();
        harness.advance(10_000);
        assertEquals("", node.takeReceived());
        assertForgotten();
    }

    /** Guards against requests that wait for ever where their client sends on slowly while it settles. */
    @Test
    void bodyIsSentWhileItsClientSendsOn() {
        sendWrite(TOO_MUCH, WITHIN_THE_LAST_LOOK);
        harness.advance(LONG_WAIT_US);
        HeldInputEndPoint node = harness.connectLast();
        for (int i = 0; i < 10; i++) {
            client.send("z".repeat(100));
            harness.advance(1_000);
        }
        assertTrue(node.takeReceived().contains("X-Txn: w1"));
    }

    /** The memory of the last look is given back with the request. */
    @Test
    void lastLookIsBoundedAndReleased() {
        long availableBytes = front.incomingRequestBudget().availableBytes();
        sendWrite(TOO_MUCH, TOO_MUCH);
        harness.advance(LONG_WAIT_US);
        long beforeLook = front.incomingRequestBudget().availableBytes();
        assertTrue(availableBytes - beforeLook <= ClientConnection.MAX_READ_AHEAD_BYTES);
        assertRefusedUnsent(harness.connectLast());
        client.sendEof();
        harness.advance(80_000_000);
        assertEquals(availableBytes, front.incomingRequestBudget().availableBytes());
        assertEquals(0, front.connectionCount());
    }
}
