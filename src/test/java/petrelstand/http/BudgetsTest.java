package petrelstand.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.lifecycle.Lifecycle;
import petrelstand.lifecycle.MemoryLimits;
import petrelstand.net.MemoryEnd;
import petrelstand.testing.Harness;

/** Bodies of each kind within their bound, and all kinds together within theirs. */
class BudgetsTest {
    private final Budgets budgets = Budgets.of(new MemoryLimits(10, 10, 100, 50, 40, 50));

    @Test
    void noKindHoldsMoreThanItsOwnBound() {
        assertTrue(budgets.answersRead().take(40));
        assertFalse(budgets.answersRead().take(1));
        assertTrue(budgets.requests().take(1), "what one kind is refused the others have");
    }

    @Test
    void allKindsTogetherHoldNoMoreThanTheWholeAndGiveItBack() {
        assertTrue(budgets.inWork().take(60) && budgets.requests().take(40));
        assertFalse(budgets.answersWritten().take(1));
        assertEquals(50, budgets.answersWritten().left(), "what was refused is not taken");
        budgets.inWork().give(60);
        assertTrue(budgets.answersWritten().take(50));
        assertEquals(100, budgets.inWork().left());
        assertFalse(budgets.inWork().take(11));
    }

    /** A body belongs to its request until nothing of that is out any more, and counts as long. */
    @Test
    void bodiesOfRequestsInWorkAreBoundedAndGiveTheirRoomBack() {
        Harness world = new Harness();
        Budgets small = new Budgets(new Budget(1 << 20), new Budget(100_000), new Budget(1 << 20), new Budget(1 << 20));
        NodePool pool = new NodePool(
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
        Front front = new Front(world.broker(pool), world.timers, 10, life, small);
        world.list(Harness.node("s-00000001", 3, NodeState.READY, 0));
        MemoryEnd first = MemoryEnd.open(front::accept);
        first.put(write("w1"));
        MemoryEnd node = world.up();
        MemoryEnd second = MemoryEnd.open(front::accept);
        second.put(write("w2"));
        assertTrue(second.taken().startsWith("HTTP/1.1 503"));
        assertEquals(1, world.counters.get("requests_no_room"));
        assertEquals(1, front.openIds(), "the refused one's id is free again");
        node.put("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        assertTrue(first.taken().startsWith("HTTP/1.1 200"));
        assertEquals(100_000, small.inWork().left());
    }

    private static String write(String txn) {
        return "PUT /survey-write/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nX-Txn: " + txn + "\r\n"
                + "Idempotency-Key: k-" + txn + "\r\nX-Qos-Policy: basic\r\nX-Remaining-Ms: 2000\r\n"
                + "X-Placement: units=2,shard=3,hosts=1\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(60_000);
    }
}
