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

/** Tests the operators' server over connections in memory. */
class OperatorServerTest {
    private final BrokerFixture harness = new BrokerFixture();
    private final List<String> actionsRun = new ArrayList<>();
    private final OperatorServer server = new OperatorServer(
            harness.timers,
            () -> harness.nowUs,
            harness.counters,
            Map.of(
                    "/api/ready", new Route("GET", () -> new Answer(200, "ready")),
                    "/api/evacuate",
                            new Route("POST", () -> {
                                actionsRun.add("evacuate");
                                return new Answer(200, "drained");
                            })));

    private String receiveAnswer(String request) {
        MemoryEndPoint endPoint = MemoryEndPoint.open(server::accept);
        endPoint.send(request);
        return endPoint.takeReceived();
    }

    @Test
    void anyFormOfRequestIsAnsweredOnceThenTheConnectionCloses() {
        String[] requests = {
            "GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n",
            "GET /api/ready?x=1 HTTP/1.1\r\nHost: o\r\nConnection: keep-alive\r\n\r\nGET /api/ready HTTP/1.1\r\n\r\n",
            "GET /api/ready HTTP/1.0\r\n\r\n",
            "GET http://o:1/api/ready HTTP/1.1\r\nHost: o\r\n\r\n",
        };
        for (String request : requests) {
            String answer = receiveAnswer(request);
            assertTrue(
                    answer.startsWith("HTTP/1.1 200 OK\r\n")
                            && answer.contains("Connection: close\r\n")
                            && answer.endsWith("\r\n\r\nready\n"),
                    request + answer);
        }
        assertTrue(receiveAnswer("POST /api/evacuate HTTP/1.1\r\nHost: o\r\nContent-Length: 2\r\n\r\n{}")
                .contains(" 200 "));
        assertTrue(
                receiveAnswer("POST /api/evacuate HTTP/1.1\r\nHost: o\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
                        .contains(" 200 "));
        assertEquals(List.of("evacuate", "evacuate"), actionsRun);
        harness.advance(OperatorServer.LINGER_TIMEOUT_US);
        assertEquals(0, server.connectionCount());
    }

    @Test
    void requestArrivingByteByByteIsAnsweredOnceComplete() {
        MemoryEndPoint endPoint = MemoryEndPoint.open(server::accept);
        for (char c : "POST /api/evacuate HTTP/1.1\r\nHost: o\r\nContent-Length: 3\r\n\r\nabc".toCharArray()) {
            assertEquals("", endPoint.takeReceived());
            endPoint.send(String.valueOf(c));
            harness.advance(50_000);
        }
        assertTrue(endPoint.takeReceived().startsWith("HTTP/1.1 200"));
    }

    @Test
    void invalidRequestGetsAnErrorAndRunsNoAction() {
        assertTrue(receiveAnswer("GET /api/nothing HTTP/1.1\r\nHost: o\r\n\r\n").startsWith("HTTP/1.1 404"));
        assertTrue(
                receiveAnswer("GET /api/evacuate HTTP/1.1\r\nHost: o\r\n\r\n").startsWith("HTTP/1.1 405"));
        assertTrue(receiveAnswer("no http\r\n\r\n").startsWith("HTTP/1.1 400"));
        assertTrue(receiveAnswer("GET /api/ready HTTP/1.1\r\nHost: o\r\nX: " + "x".repeat(9000) + "\r\n\r\n")
                .startsWith("HTTP/1.1 431"));
        assertTrue(receiveAnswer(
                        "POST /api/evacuate HTTP/1.1\r\nHost: o\r\nContent-Length: 5000\r\n\r\n" + "x".repeat(5000))
                .startsWith("HTTP/1.1 413"));
        assertEquals(List.of(), actionsRun);
    }

    @Test
    void idleConnectionsDoNotBlockOthersAndTimeOut() {
        List<MemoryEndPoint> silent = new ArrayList<>();
        for (int i = 0; i < 3 * OperatorServer.MAX_CONNECTIONS; i++) {
            MemoryEndPoint endPoint = MemoryEndPoint.open(server::accept);
            endPoint.send("GET /api/re");
            silent.add(endPoint);
            assertTrue(server.connectionCount() <= OperatorServer.MAX_CONNECTIONS);
        }
        assertTrue(receiveAnswer("GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n").startsWith("HTTP/1.1 200"));
        assertFalse(silent.get(0).isOpen());
        MemoryEndPoint newest = silent.get(silent.size() - 1);
        harness.advance(4_000_000);
        assertTrue(newest.isOpen());
        harness.advance(OperatorServer.CALL_TIMEOUT_US + OperatorServer.LINGER_TIMEOUT_US);
        assertTrue(newest.takeReceived().startsWith("HTTP/1.1 408"));
        assertEquals(0, server.connectionCount());
    }
}
