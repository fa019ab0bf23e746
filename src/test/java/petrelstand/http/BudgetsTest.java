package petrelstand.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.lifecycle.Lifecycle;
import petrelstand.lifecycle.MemoryLimits;
import petrelstand.net.MemoryEndPoint;
import petrelstand.testing.Harness;

/** Bodies of each kind within their bound, and all kinds together within theirs. */
class BudgetsTest {
    private final BodyBudgets budgets = BodyBudgets.of(new MemoryLimits(10, 10, 100, 50, 40, 50));

    @Test
    void noKindHoldsMoreThanItsOwnBound() {
        assertTrue(budgets.incomingAnswers().take(40));
        assertFalse(budgets.incomingAnswers().take(1));
        assertTrue(budgets.incomingRequests().take(1), "what one kind is refused the others have");
    }

    @Test
    void allKindsTogetherHoldNoMoreThanTheWholeAndGiveItBack() {
        assertTrue(
                budgets.activeRequests().take(60) && budgets.incomingRequests().take(40));
        assertFalse(budgets.outgoingAnswers().take(1));
        assertEquals(50, budgets.outgoingAnswers().left(), "what was refused is not taken");
        budgets.activeRequests().give(60);
        assertTrue(budgets.outgoingAnswers().take(50));
        assertEquals(100, budgets.activeRequests().left());
        assertFalse(budgets.activeRequests().take(11));
    }

    /** A body belongs to its request until nothing of that is out any more, and counts as long. */
    @Test
    void bodiesOfRequestsInWorkAreBoundedAndGiveTheirRoomBack() {
        Harness world = new Harness();
        BodyBudgets small = new BodyBudgets(
                new ByteBudget(1 << 20), new ByteBudget(100_000), new ByteBudget(1 << 20), new ByteBudget(1 << 20));
        NodeConnectionPool pool = new NodeConnectionPool(
                world::dial,
                () -> world.nowUs,
                world.timers,
                world.counters,
                world.settings,
                "backend.local",
                10,
                small);
        Lifecycle life = new Lifecycle(Lifecycle.Delays.of(5_000_000));
        life.startServing(world.nowUs);
        HttpFront front = new HttpFront(world.broker(pool), world.timers, 10, life, small);
        world.list(Harness.node("s-00000001", 3, NodeState.READY, 0));
        MemoryEndPoint first = MemoryEndPoint.open(front::accept);
        first.send(write("w1"));
        MemoryEndPoint node = world.up();
        MemoryEndPoint second = MemoryEndPoint.open(front::accept);
        second.send(write("w2"));
        assertTrue(second.takeReceived().startsWith("HTTP/1.1 503"));
        assertEquals(1, world.counters.get("requests_no_room"));
        assertEquals(1, front.openIds(), "the refused one's id is free again");
        node.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        assertTrue(first.takeReceived().startsWith("HTTP/1.1 200"));
        assertEquals(100_000, small.activeRequests().left());
    }

    private static String write(String txn) {
        return "PUT /survey-write/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nX-Txn: " + txn + "\r\n"
                + "Idempotency-Key: k-" + txn + "\r\nX-Qos-Policy: basic\r\nX-Remaining-Ms: 2000\r\n"
                + "X-Placement: units=2,shard=3,hosts=1\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(60_000);
    }
}
