package petrelstand.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.lifecycle.Lifecycle;
import petrelstand.lifecycle.MemoryLimits;
import petrelstand.net.MemoryEndPoint;
import petrelstand.testing.BrokerFixture;

/** Each kind of body has its own limit, and all kinds together have one. */
class BodyBudgetsTest {
    private final BodyBudgets budgets = BodyBudgets.of(new MemoryLimits(10, 10, 100, 50, 40, 50));

    @Test
    void partialBudgetEnforcesItsOwnLimit() {
        assertTrue(budgets.incomingAnswers().tryReserve(40));
        assertFalse(budgets.incomingAnswers().tryReserve(1));
        assertTrue(budgets.incomingRequests().tryReserve(1), "the other budgets must not be affected");
    }

    @Test
    void partialBudgetsShareTheTotal() {
        assertTrue(budgets.activeRequests().tryReserve(60)
                && budgets.incomingRequests().tryReserve(40));
        assertFalse(budgets.outgoingAnswers().tryReserve(1));
        assertEquals(50, budgets.outgoingAnswers().availableBytes(), "a refused reservation must not be counted");
        budgets.activeRequests().release(60);
        assertTrue(budgets.outgoingAnswers().tryReserve(50));
        assertEquals(100, budgets.activeRequests().availableBytes());
        assertFalse(budgets.activeRequests().tryReserve(11));
    }

    /** A body counts until nothing of its request is in progress any more. */
    @Test
    void activeRequestBodiesAreBoundedAndReleased() {
        BrokerFixture harness = new BrokerFixture();
        BodyBudgets smallBudgets = new BodyBudgets(
                new ByteBudget(1 << 20), new ByteBudget(100_000), new ByteBudget(1 << 20), new ByteBudget(1 << 20));
        NodeConnectionPool pool = new NodeConnectionPool(
                harness::dial,
                () -> harness.nowUs,
                harness.timers,
                harness.counters,
                harness.settings,
                "backend.local",
                10,
                smallBudgets);
        Lifecycle lifecycle = new Lifecycle(Lifecycle.Delays.of(5_000_000));
        lifecycle.startServing(harness.nowUs);
        HttpFront front = new HttpFront(harness.broker(pool), harness.timers, 10, lifecycle, smallBudgets);
        harness.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
        MemoryEndPoint first = MemoryEndPoint.open(front::accept);
        first.send(writeRequest("w1"));
        MemoryEndPoint node = harness.connectLast();
        MemoryEndPoint second = MemoryEndPoint.open(front::accept);
        second.send(writeRequest("w2"));
        assertTrue(second.takeReceived().startsWith("HTTP/1.1 503"));
        assertEquals(1, harness.counters.get("requests_no_room"));
        assertEquals(1, front.openTxnIdCount(), "the id of the refused request must be free");
        node.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        assertTrue(first.takeReceived().startsWith("HTTP/1.1 200"));
        assertEquals(100_000, smallBudgets.activeRequests().availableBytes());
    }

    private static String writeRequest(String txnId) {
        return "PUT /survey-write/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nX-Txn: " + txnId + "\r\n"
                + "Idempotency-Key: k-" + txnId + "\r\nX-Qos-Policy: basic\r\nX-Remaining-Ms: 2000\r\n"
                + "X-Placement: units=2,shard=3,hosts=1\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(60_000);
    }
}
