package petrelstand.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.lifecycle.Lifecycle;
import petrelstand.testing.BrokerFixture;
import petrelstand.testing.HeldInputEndPoint;

/** Guards against one client whose requests, sent without pause, hold up all other connections. */
class FastClientTest {
    private static final int REQUESTS = 1_000;
    private static final String READY = "GET /ready HTTP/1.1\r\nHost: b\r\n\r\n";

    private final BrokerFixture harness = new BrokerFixture();
    private final Lifecycle lifecycle = new Lifecycle(Lifecycle.Delays.of(5_000_000));
    private final HttpFront front = new HttpFront(harness.broker(harness.pool(6)), harness.timers, 5, lifecycle);
    private final HeldInputEndPoint client = HeldInputEndPoint.open(front::accept);

    @BeforeEach
    void startServing() {
        lifecycle.startServing(harness.nowUs);
        harness.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
    }

    /** A request that the gateway answers by itself. */
    private static String request(String kind, int number) {
        return switch (kind) {
            case "ready" -> READY;
            case "counters" -> READY.replace("ready", "counters");
            // The decision module refuses it, since no node holds the shard.
            case "refused" ->
                "GET /tile-read/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nX-Txn: t" + number
                        + "\r\nX-Qos-Policy: basic\r\nX-Remaining-Ms: 1400\r\n"
                        + "X-Placement: units=2,shard=77,hosts=1\r\n\r\n";
            default -> throw new IllegalArgumentException(kind);
        };
    }

    private int answers(HeldInputEndPoint end) {
        return end.takeReceived().split("HTTP/1.1 ", -1).length - 1;
    }

    @ParameterizedTest
    @ValueSource(strings = {"ready", "counters", "refused"})
    void requestsOfOneClientAreAnsweredFewPerTurn(String kind) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < REQUESTS; i++) {
            requests.append(request(kind, i));
        }
        client.send(requests.toString());
        int answered = answers(client);
        assertTrue(answered <= TurnAllowance.MAX_ANSWERS_PER_TURN, answered + " answers in the first turn");
        HeldInputEndPoint other = HeldInputEndPoint.open(front::accept);
        other.send(READY);
        assertEquals(1, answers(other), "another client's request in the same turn");
        for (int turn = 0; answered < REQUESTS && turn < REQUESTS; turn++) {
            harness.nowUs++;
            harness.timers.runDue(harness.nowUs);
            int more = answers(client);
            assertTrue(more <= TurnAllowance.MAX_ANSWERS_PER_TURN, more + " answers in a turn");
            answered += more;
        }
        assertEquals(REQUESTS, answered, "answers in all");
        client.sendEof();
        harness.advance(80_000_000);
        assertEquals(1, front.connectionCount(), "the other client's connection");
    }
}
