package petrelstand.operation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import petrelstand.net.MemoryEndPoint;
import petrelstand.operation.OperatorServer.Answer;
import petrelstand.operation.OperatorServer.Route;
import petrelstand.testing.BrokerFixture;

/** The operators' address on connections in memory. */
class OperatorServerTest {
    private final BrokerFixture world = new BrokerFixture();
    private final List<String> done = new ArrayList<>();
    private final OperatorServer door = new OperatorServer(
            world.timers,
            () -> world.nowUs,
            world.counters,
            Map.of(
                    "/api/ready", new Route("GET", () -> new Answer(200, "ready")),
                    "/api/evacuate",
                            new Route("POST", () -> {
                                done.add("evacuate");
                                return new Answer(200, "drained");
                            })));

    private String call(String text) {
        MemoryEndPoint end = MemoryEndPoint.open(door::accept);
        end.send(text);
        return end.takeReceived();
    }

    @Test
    void aCallInAnyFormIsAnsweredOnceAndTheConnectionEnds() {
        String[] calls = {
            "GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n",
            "GET /api/ready?x=1 HTTP/1.1\r\nHost: o\r\nConnection: keep-alive\r\n\r\nGET /api/ready HTTP/1.1\r\n\r\n",
            "GET /api/ready HTTP/1.0\r\n\r\n",
            "GET http://o:1/api/ready HTTP/1.1\r\nHost: o\r\n\r\n",
        };
        for (String call : calls) {
            String answer = call(call);
            assertTrue(
                    answer.startsWith("HTTP/1.1 200 OK\r\n")
                            && answer.contains("Connection: close\r\n")
                            && answer.endsWith("\r\n\r\nready\n"),
                    call + answer);
        }
        assertTrue(call("POST /api/evacuate HTTP/1.1\r\nHost: o\r\nContent-Length: 2\r\n\r\n{}")
                .contains(" 200 "));
        assertTrue(call("POST /api/evacuate HTTP/1.1\r\nHost: o\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
                .contains(" 200 "));
        assertEquals(List.of("evacuate", "evacuate"), done);
        world.advance(OperatorServer.LINGER_TIMEOUT_US);
        assertEquals(0, door.connections());
    }

    @Test
    void aCallCutAnywhereIsAnsweredWhenItIsWhole() {
        MemoryEndPoint end = MemoryEndPoint.open(door::accept);
        for (char c : "POST /api/evacuate HTTP/1.1\r\nHost: o\r\nContent-Length: 3\r\n\r\nabc".toCharArray()) {
            assertEquals("", end.takeReceived());
            end.send(String.valueOf(c));
            world.advance(50_000);
        }
        assertTrue(end.takeReceived().startsWith("HTTP/1.1 200"));
    }

    @Test
    void whatIsNoCallGetsOneClearErrorAndDoesNothing() {
        assertTrue(call("GET /api/nothing HTTP/1.1\r\nHost: o\r\n\r\n").startsWith("HTTP/1.1 404"));
        assertTrue(call("GET /api/evacuate HTTP/1.1\r\nHost: o\r\n\r\n").startsWith("HTTP/1.1 405"));
        assertTrue(call("no http\r\n\r\n").startsWith("HTTP/1.1 400"));
        assertTrue(call("GET /api/ready HTTP/1.1\r\nHost: o\r\nX: " + "x".repeat(9000) + "\r\n\r\n")
                .startsWith("HTTP/1.1 431"));
        assertTrue(call("POST /api/evacuate HTTP/1.1\r\nHost: o\r\nContent-Length: 5000\r\n\r\n" + "x".repeat(5000))
                .startsWith("HTTP/1.1 413"));
        assertEquals(List.of(), done);
    }

    @Test
    void callersWithoutAWholeCallNeitherHoldUpOthersNorStay() {
        List<MemoryEndPoint> silent = new ArrayList<>();
        for (int i = 0; i < 3 * OperatorServer.MAX_CONNECTIONS; i++) {
            MemoryEndPoint end = MemoryEndPoint.open(door::accept);
            end.send("GET /api/re");
            silent.add(end);
            assertTrue(door.connections() <= OperatorServer.MAX_CONNECTIONS);
        }
        assertTrue(call("GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n").startsWith("HTTP/1.1 200"));
        assertFalse(silent.get(0).isOpen());
        MemoryEndPoint last = silent.get(silent.size() - 1);
        world.advance(4_000_000);
        assertTrue(last.isOpen());
        world.advance(OperatorServer.CALL_TIMEOUT_US + OperatorServer.LINGER_TIMEOUT_US);
        assertTrue(last.takeReceived().startsWith("HTTP/1.1 408"));
        assertEquals(0, door.connections());
    }
}
