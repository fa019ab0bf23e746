package petrelstand.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import petrelstand.core.Node;
import petrelstand.core.RequestCounts.RequestResult;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.lifecycle.Lifecycle;
import petrelstand.net.MemoryEndPoint;
import petrelstand.testing.BrokerFixture;
import petrelstand.testing.HeldInputEndPoint;

/** The HTTP front and the pool of node connections, on connections in memory. */
class HttpFrontTest {
    private static final int DEPARTED_REQUESTS = 100_000;

    private final BrokerFixture harness = new BrokerFixture();
    private final NodeConnectionPool pool = harness.pool(40);
    private final Lifecycle lifecycle = new Lifecycle(Lifecycle.Delays.of(5_000_000));
    private final HttpFront front = new HttpFront(harness.broker(pool), harness.timers, 50, lifecycle);
    private final HeldInputEndPoint client = HeldInputEndPoint.open(front::accept);

    {
        lifecycle.startServing(harness.nowUs);
    }

    private void listOneNode() {
        harness.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
    }

    private static String readRequest(int number, String extraFields) {
        return "GET /tile-read/00000003b4d60021/7f3a9c21e0b4d655?v=%41&n=" + number + " HTTP/1.1\r\nHost: b\r\nX-Txn: t"
                + number + "\r\nX-Qos-Policy: basic\r\nX-Remaining-Ms: 1400\r\nX-Placement: units=2,shard=3,hosts=1\r\n"
                + extraFields + "\r\n";
    }

    private static String writeRequest(String body) {
        return "PUT /survey-write/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nX-Txn: w1\r\n"
                + "Idempotency-Key: k-77\r\nX-Qos-Policy: basic\r\nX-Remaining-Ms: 2000\r\n"
                + "X-Placement: units=2,shard=-1,hosts=1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String okAnswer(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Status codes of the answers in a client's output. */
    private static List<String> statuses(String output) {
        List<String> statuses = new ArrayList<>();
        for (String part : output.split("HTTP/1.1 ")) {
            if (!part.isEmpty()) {
                statuses.add(part.substring(0, 3));
            }
        }
        return statuses;
    }

    @Test
    void requestAndAnswerBodyAreForwardedUnchanged() {
        listOneNode();
        client.send(writeRequest("depth=17"));
        MemoryEndPoint node = harness.connectLast();
        String sent = node.takeReceived();
        assertTrue(sent.startsWith("PUT /survey-write/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\n"));
        assertTrue(sent.contains("X-Txn: w1\r\n") && sent.contains("Idempotency-Key: k-77\r\n"));
        assertTrue(sent.contains("X-Remaining-Ms: 2000\r\n") && sent.endsWith("\r\n\r\ndepth=17"));
        node.send(okAnswer("stored 17"));
        String answer = client.takeReceived();
        assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n\r\nstored 17"));
    }

    /** The volume use in an answer has to change this gateway's share of it; invalid values must not. */
    @Test
    void volumeUseInAnswerUpdatesOwnShare() {
        BrokerFixture fourGateways = new BrokerFixture(BrokerFixture.SETTINGS.replace("balancers=1", "balancers=4"));
        NodeConnectionPool otherPool = fourGateways.pool(40);
        HttpFront otherFront = new HttpFront(fourGateways.broker(otherPool), fourGateways.timers, 50, lifecycle);
        fourGateways.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
        HeldInputEndPoint otherClient = HeldInputEndPoint.open(otherFront::accept);
        otherClient.send(readRequest(1, "").replace("hosts=1", "hosts=4"));
        MemoryEndPoint node = fourGateways.connectLast();
        double shareBefore = ownShareOfVolumeUse(fourGateways);
        node.send("HTTP/1.1 200 OK\r\nX-Iops-Used: 6400\r\nX-Rho: 12\r\nContent-Length: 0\r\n\r\n");
        double shareAfter = ownShareOfVolumeUse(fourGateways);
        assertTrue(shareAfter < shareBefore, shareAfter + " after " + shareBefore);
        for (String invalidField : List.of("X-Iops-Used: many", "X-Iops-Used: -3", "X-Iops-Used: 1e9", "X-Rho: 7")) {
            fourGateways.advance(UpstreamConnection.SETTLE_US);
            otherClient.send(readRequest(2, "").replace("hosts=1", "hosts=4"));
            node.send("HTTP/1.1 200 OK\r\n" + invalidField + "\r\nContent-Length: 0\r\n\r\n");
            assertEquals(shareAfter, ownShareOfVolumeUse(fourGateways), invalidField);
        }
        assertEquals(5, statuses(otherClient.takeReceived()).size());
    }

    private static double ownShareOfVolumeUse(BrokerFixture harness) {
        return harness.broker.learnedState().volumes().get(0).localFraction();
    }

    @Test
    void queryIsForwardedUnchanged() {
        listOneNode();
        client.send(readRequest(1, ""));
        assertTrue(harness.connectLast()
                .takeReceived()
                .startsWith("GET /tile-read/00000003b4d60021/7f3a9c21e0b4d655?v=%41&n=1 HTTP/1.1"));
    }

    @Test
    void pipelinedAndSplitRequestsAreAnsweredInOrder() {
        listOneNode();
        String requests = readRequest(1, "") + readRequest(2, "");
        for (char c : requests.toCharArray()) {
            client.send(String.valueOf(c));
        }
        MemoryEndPoint node = harness.connectLast();
        assertTrue(node.takeReceived().contains("X-Txn: t1\r\n"));
        node.send(okAnswer("one"));
        MemoryEndPoint nextNode = harness.connectLast();
        assertTrue(nextNode.takeReceived().contains("X-Txn: t2\r\n"));
        nextNode.send(okAnswer("two"));
        String answers = client.takeReceived();
        assertTrue(answers.indexOf("one") > 0 && answers.indexOf("two") > answers.indexOf("one"));
        assertEquals(0, harness.dials.size());
    }

    /** Fails if the deadline counts from the time at which the previous answer is written. */
    @Test
    void pipelinedRequestDeadlineCountsFromItsLastByte() {
        listOneNode();
        client.send(readRequest(1, "") + readRequest(2, ""));
        MemoryEndPoint node = harness.connectLast();
        node.takeReceived();
        harness.advance(600_000);
        client.send(readRequest(3, "").substring(0, 100));
        harness.advance(300_000);
        client.send(readRequest(3, "").substring(100) + readRequest(4, ""));
        harness.advance(100_000);
        node.send(okAnswer("one"));
        MemoryEndPoint secondNode = harness.connectLast();
        assertTrue(secondNode.takeReceived().contains("X-Remaining-Ms: 400\r\n"), "the second request arrived 1 s ago");
        harness.advance(100_000);
        secondNode.send(okAnswer("two"));
        assertTrue(
                node.takeReceived().contains("X-Remaining-Ms: 1200\r\n"), "the third request was complete 200 ms ago");
        node.send(okAnswer("three"));
        MemoryEndPoint fourthNode = harness.connectLast();
        assertTrue(fourthNode.takeReceived().contains("X-Txn: t4\r\n"));
        fourthNode.send(okAnswer("four"));
        assertEquals(List.of("200", "200", "200", "200"), statuses(client.takeReceived()));
        harness.advance(UpstreamConnection.SETTLE_US);
        client.send(readRequest(5, ""));
        assertTrue(fourthNode.takeReceived().contains("X-Remaining-Ms: 1400\r\n"));
    }

    @Test
    void expiredPipelinedRequestIsAnsweredWithoutAttempt() {
        listOneNode();
        client.send(readRequest(1, "") + readRequest(2, "") + readRequest(3, ""));
        MemoryEndPoint node = harness.connectLast();
        node.takeReceived();
        harness.advance(1_402_000);
        assertEquals(3, statuses(client.takeReceived()).size());
        assertEquals(1, harness.counters.get("sent"));
        assertEquals(0, harness.broker.openRequests());
    }

    /** Sends a request in two parts, cut at each of its bytes, with time between them. */
    @Test
    void splitRequestIsForwardedWholeWithDeadlineFromLastByte() {
        listOneNode();
        String chunked = writeRequest("").replace("Content-Length: 0", "Transfer-Encoding: chunked")
                + "3\r\ndep\r\n5;x=y\r\nth=17\r\n0\r\n\r\n";
        MemoryEndPoint node = null;
        int number = 0;
        for (String form : List.of(writeRequest("depth=17"), chunked)) {
            for (int cut = 1; cut < form.length(); cut++) {
                // Each request has an id of its own, as clients have to give it.
                String request = form.replace("X-Txn: w1", "X-Txn: " + Integer.toString(36 + number++, 36));
                client.send(request.substring(0, cut));
                harness.advance(1_000_000);
                assertEquals("", node == null ? "" : node.takeReceived(), "cut at " + cut);
                client.send(request.substring(cut));
                node = harness.dials.isEmpty() ? node : harness.connectLast();
                String sent = node.takeReceived();
                assertTrue(
                        sent.contains("X-Remaining-Ms: 2000\r\n") && sent.endsWith("\r\n\r\ndepth=17"),
                        "cut at " + cut);
                node.send(okAnswer("stored"));
                assertTrue(client.takeReceived().endsWith("stored"), "cut at " + cut);
            }
        }
    }

    /** The remaining time sent to a node must not include time spent on earlier attempts. */
    @Test
    void secondAttemptSendsRemainingTimeOfClient() {
        harness.setNodes(
                BrokerFixture.node("s-00000001", 3, NodeState.READY, 0),
                BrokerFixture.node("s-00000002", 3, NodeState.READY, 0));
        client.send(readRequest(1, ""));
        MemoryEndPoint firstNode = harness.connectLast();
        assertTrue(firstNode.takeReceived().contains("X-Remaining-Ms: 1400\r\n"));
        harness.advance(100_000);
        firstNode.send("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        for (int i = 0; i < 600 && harness.dials.isEmpty(); i++) {
            harness.advance(1_000);
        }
        harness.advance(200_000);
        long secondAttemptUs = harness.nowUs;
        Matcher remainingField = Pattern.compile("X-Remaining-Ms: (\\d+)\r\n")
                .matcher(harness.connectLast().takeReceived());
        assertTrue(remainingField.find());
        long remainingMs = (1_000_000_000L + 1_400_000 - secondAttemptUs) / 1000;
        assertTrue(
                remainingMs <= 1_100 && Long.parseLong(remainingField.group(1)) <= remainingMs,
                remainingField.group(1) + " of " + remainingMs);
    }

    /** A reload and a drain in one turn, in either order, while a connection is being opened. */
    @Test
    void reloadAndDrainInOneTurnSendNothingToNode() {
        for (boolean drainFirst : new boolean[] {true, false}) {
            BrokerFixture otherHarness = new BrokerFixture();
            NodeConnectionPool otherPool = otherHarness.pool(40);
            HttpFront otherFront = new HttpFront(otherHarness.broker(otherPool), otherHarness.timers, 50, lifecycle);
            otherHarness.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
            HeldInputEndPoint otherClient = HeldInputEndPoint.open(otherFront::accept);
            otherClient.send(readRequest(1, ""));
            BrokerFixture.PendingConnection pendingDial = otherHarness.dials.remove(0);
            List<Node> drains = List.of(BrokerFixture.node("s-00000001", 3, NodeState.DRAINING, 0));
            if (drainFirst) {
                otherHarness.broker.updateNodes(NodeListKind.CHANGES, drains);
            }
            otherHarness.broker.updateSettings(
                    new BrokerFixture(BrokerFixture.SETTINGS.replace("caps.most_tries=3", "caps.most_tries=2"))
                            .settings);
            if (!drainFirst) {
                otherHarness.broker.updateNodes(NodeListKind.CHANGES, drains);
            }
            assertEquals(
                    "",
                    HeldInputEndPoint.open(pendingDial.connector()::connected).takeReceived());
            otherClient.send(readRequest(2, ""));
            otherHarness.advance(2_000_000);
            assertEquals(0, otherHarness.dials.size());
            assertEquals(0, otherHarness.broker.requestCounts().attempts());
            assertEquals(2, statuses(otherClient.takeReceived()).size());
        }
    }

    // ---- Closes that cross with data ----

    /** Closing with unread input would reset the connection and could cut off the last answer. */
    @Test
    void closingIdleConnectionDiscardsLateRequests() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint node = harness.connectLast();
        node.send(okAnswer("one"));
        client.takeReceived();
        lifecycle.terminate(harness.nowUs);
        harness.advance(600_000);
        front.closeIdle(9);
        assertTrue(client.isOutputShutdown() && client.isOpen());
        assertEquals(0, front.connectionsDelayingExit(), "the process exit must not wait for it");
        client.send(readRequest(2, ""));
        harness.advance(400_000);
        client.send(readRequest(3, ""));
        harness.advance(499_000);
        assertTrue(client.isOpen(), "bytes arrived, so it keeps lingering");
        harness.advance(502_000);
        assertFalse(client.isOpen());
        assertEquals("", client.takeReceived());
        assertEquals(1, harness.counters.get("sent"));
    }

    @Test
    void unreadRequestIsServedBeforeIdleConnectionCloses() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint node = harness.connectLast();
        node.send(okAnswer("one"));
        client.takeReceived();
        client.addInputSilently(readRequest(2, ""));
        lifecycle.terminate(harness.nowUs);
        harness.advance(600_000);
        front.closeIdle(9);
        assertFalse(client.isOutputShutdown());
        node.send(okAnswer("two"));
        assertTrue(client.takeReceived().endsWith("two"));
        assertTrue(client.isOutputShutdown());
    }

    /** A stall of the event loop must not count as silence of the client. */
    @Test
    void inputReceivedDuringStallIsReadBeforeTimeout() {
        listOneNode();
        client.addInputSilently(readRequest(1, ""));
        harness.jumpAndRunDue(3_000_000);
        assertEquals(1, harness.broker.openRequests());
        HeldInputEndPoint splitClient = HeldInputEndPoint.open(front::accept);
        splitClient.send(readRequest(2, "").substring(0, 80));
        splitClient.addInputSilently(readRequest(2, "").substring(80));
        harness.jumpAndRunDue(3_000_000);
        assertEquals(2, harness.counters.get("taken.tile-read"));
        HeldInputEndPoint slowClient = HeldInputEndPoint.open(front::accept);
        slowClient.send(readRequest(3, "").substring(0, 80));
        slowClient.addInputSilently("X");
        harness.jumpAndRunDue(3_000_000);
        assertEquals(List.of("408"), statuses(slowClient.takeReceived()), "the request is still incomplete");
    }

    /** Fails if the close behind unread bytes is missed and the request is sent on. */
    @Test
    void clientCloseIsSeenBehindReadAheadBytes() {
        listOneNode();
        for (int bytes : new int[] {0, 5_000, 200_000}) {
            long goneBefore = harness.counters.get("client_gone");
            MemoryEndPoint closingClient = MemoryEndPoint.open(front::accept);
            closingClient.send(readRequest(bytes, ""));
            harness.dials.clear();
            for (int sent = 0; sent < bytes; sent += 5_000) {
                closingClient.send("x".repeat(5_000));
            }
            closingClient.sendEof();
            assertEquals(goneBefore + 1, harness.counters.get("client_gone"), bytes + " bytes sent ahead");
            assertEquals(0, harness.broker.openRequests());
        }
        assertEquals(0, front.connectionCount() - 1);
        assertEquals(
                8L * 1024 * 1024,
                front.incomingRequestBudget().availableBytes(),
                "the read-ahead bytes must be released");
    }

    @Test
    void clientCloseIsSeenWhileBodyWaitsForNode() {
        listOneNode();
        for (int bytes : new int[] {20_000, 90_000, 250_000}) {
            long goneBefore = harness.counters.get("client_gone");
            MemoryEndPoint closingClient = MemoryEndPoint.open(front::accept);
            closingClient.send(writeRequest("")
                    .replace("X-Txn: w1", "X-Txn: w" + bytes)
                    .replace("shard=-1", "shard=3")
                    .replace("Content-Length: 0", "Content-Length: 900000"));
            for (int sent = 0; sent < bytes; sent += 5_000) {
                closingClient.send("x".repeat(5_000));
            }
            assertEquals(1, harness.broker.openRequests());
            closingClient.sendEof();
            assertEquals(goneBefore + 1, harness.counters.get("client_gone"), bytes + " bytes of the body");
        }
        assertEquals(8L * 1024 * 1024, front.incomingRequestBudget().availableBytes());
    }

    /** Beyond what is read ahead a client's close can't be seen; its request must not be sent late, and must end. */
    @Test
    void requestWhoseClientClosedBehindMoreThanIsReadAheadIsNotSent() {
        listOneNode();
        MemoryEndPoint closingClient = MemoryEndPoint.open(front::accept);
        closingClient.send(readRequest(1, ""));
        closingClient.send("x".repeat(ClientConnection.MAX_LAST_READ_AHEAD_BYTES + 100_000));
        closingClient.sendEof();
        harness.advance(200_000);
        assertEquals("", harness.connectLast().takeReceived());
        assertEquals(0, harness.broker.openRequests());
        harness.advance(80_000_000);
        assertEquals(0, front.connectionCount());
        assertEquals(8L * 1024 * 1024, front.incomingRequestBudget().availableBytes());
    }

    /** Guards against pipelined requests that are dropped, and get no answer, beyond what is read ahead. */
    @Test
    void pipelinedRequestsBeyondTheReadAheadLimitAreAllAnswered() {
        listOneNode();
        int count = 0;
        int sentBytes = 0;
        while (sentBytes < 2 * ClientConnection.MAX_READ_AHEAD_BYTES) {
            StringBuilder requests = new StringBuilder();
            while (requests.length() < 60_000) {
                requests.append(readRequest(100 + count++, ""));
            }
            client.send(requests.toString());
            sentBytes += requests.length();
        }
        assertTrue(
                8L * 1024 * 1024 - front.incomingRequestBudget().availableBytes()
                        <= ClientConnection.MAX_READ_AHEAD_BYTES,
                "bytes that are read ahead");
        List<String> answers = new ArrayList<>();
        for (int i = 0; answers.size() < count && i < 2 * count; i++) {
            if (!harness.dials.isEmpty()) {
                harness.connectLast().send(okAnswer("x"));
            } else {
                // Requests that the module refuses are answered few in a turn.
                harness.nowUs++;
                harness.timers.runDue(harness.nowUs);
            }
            answers.addAll(statuses(client.takeReceived()));
        }
        assertEquals(count, answers.size());
        assertFalse(client.isOutputShutdown());
        client.sendEof();
        assertEquals(8L * 1024 * 1024, front.incomingRequestBudget().availableBytes());
    }

    /** The operators' figure: 24 writes of 16 KB that are sent at once. */
    @Test
    void pipelinedWritesOf393KilobytesAreAllAnswered() {
        listOneNode();
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < 24; i++) {
            requests.append(writeRequest("z".repeat(16_000)).replace("X-Txn: w1", "X-Txn: w" + i));
        }
        client.send(requests.toString());
        for (int i = 0; i < 24; i++) {
            harness.connectLast().send(okAnswer("x"));
        }
        assertEquals(Collections.nCopies(24, "200"), statuses(client.takeReceived()));
    }

    /** Guards against requests that were read and are dropped with the answer to the one before them. */
    @ParameterizedTest
    @ValueSource(strings = {"SIGTERM", "evacuate"})
    void pipelinedRequestsThatWereReadAreAnsweredBeforeTheConnectionCloses(String end) {
        listOneNode();
        StringBuilder requests = new StringBuilder();
        int count = 10;
        for (int i = 1; i <= count; i++) {
            requests.append(readRequest(i, "")
                    .replace("/tile-read/", "/bulk-export/")
                    .replace("X-Remaining-Ms: 1400", "X-Remaining-Ms: 4900"));
        }
        client.send(requests.toString());
        MemoryEndPoint node = harness.connectLast();
        if (end.equals("SIGTERM")) {
            lifecycle.terminate(harness.nowUs);
        } else {
            lifecycle.evacuate(harness.nowUs);
        }
        harness.advance(600_000);
        for (int i = 1; i <= count; i++) {
            assertFalse(client.isOutputShutdown(), "before answer " + i);
            node.send(okAnswer("x"));
            node = i < count ? harness.connectLast() : node;
            String answer = client.takeReceived();
            assertEquals(List.of("200"), statuses(answer));
            assertEquals(i == count, answer.contains("Connection: close\r\n"), "answer " + i);
        }
        assertTrue(client.isOutputShutdown());
    }

    // ---- Connections that open late ----

    /** Fails if an attempt starts for a client that has left, where settings forbid cancelling attempts. */
    @Test
    void abandonedRequestIsNotSentOnLateConnection() {
        BrokerFixture otherHarness =
                new BrokerFixture(BrokerFixture.SETTINGS.replace("caps.cancel=true", "caps.cancel=false"));
        NodeConnectionPool otherPool = otherHarness.pool(40);
        HttpFront otherFront = new HttpFront(otherHarness.broker(otherPool), otherHarness.timers, 50, lifecycle);
        otherHarness.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
        MemoryEndPoint closedClient = MemoryEndPoint.open(otherFront::accept);
        closedClient.send(readRequest(1, ""));
        closedClient.sendEof();
        MemoryEndPoint node = otherHarness.connectLast();
        assertEquals("", node.takeReceived());
        assertTrue(node.isOpen(), "the connection stays open for the next request");
        MemoryEndPoint nextClient = MemoryEndPoint.open(otherFront::accept);
        nextClient.send(readRequest(2, ""));
        assertTrue(node.takeReceived().contains("X-Txn: t2\r\n"));
    }

    /** The connect timeout may exceed the drain's grace period, so the node's state is checked again. */
    @Test
    void nothingIsSentIfNodeChangesWhileConnecting() {
        Node listed = BrokerFixture.node("s-00000001", 3, NodeState.READY, 0);
        for (Node change : List.of(
                BrokerFixture.node("s-00000001", 3, NodeState.DRAINING, 0),
                listed.asGone(),
                BrokerFixture.node("s-00000001", 3, NodeState.READY, harness.nowUs / 1000.0))) {
            BrokerFixture otherHarness = new BrokerFixture();
            NodeConnectionPool otherPool = otherHarness.pool(40);
            HttpFront otherFront = new HttpFront(otherHarness.broker(otherPool), otherHarness.timers, 50, lifecycle);
            otherHarness.setNodes(listed);
            MemoryEndPoint otherClient = MemoryEndPoint.open(otherFront::accept);
            otherClient.send(readRequest(1, ""));
            otherHarness.broker.updateNodes(NodeListKind.CHANGES, List.of(change));
            assertEquals("", otherHarness.connectLast().takeReceived(), change.toString());
            assertEquals(1, otherHarness.counters.get("outcome.not_connected"));
        }
    }

    @Test
    void malformedRequestsAreAnsweredWithTheirStatus() {
        String validRequest = readRequest(1, "");
        String[][] cases = {
            {"400", "no http at all\r\n\r\n"},
            {"400", validRequest.replace("X-Txn: t1\r\n", "")},
            {"400", validRequest.replace("=basic", "=x").replace(": basic", ": gold")},
            {"400", validRequest.replace("units=2", "units=many")},
            {"400", validRequest.replace("units=2", "units=NaN")},
            {"400", validRequest.replace("shard=3", "shard=1048576")},
            {"400", validRequest.replace("1400", "soon")},
            {"400", validRequest.replace("1400", "-1")},
            {"400", validRequest.replace("1400", "12.5")},
            {"400", validRequest.replace("1400", "0x1p3")},
            {"400", validRequest.replace("1400", "99999999999")},
            {"400", validRequest.replace("units=2", "units=1d")},
            {"400", validRequest.replace("X-Txn: t1", "X-Txn: t1\r\nX-Txn: t2")},
            {"400", validRequest.replace("X-Txn: t1", "X-Txn: t\u00e9")},
            {"400", validRequest.replace("n=1 ", "n=\u00e9 ")},
            {"400", validRequest.replace("hosts=1\r\n", "hosts=1\r\nContent-Length: 2\r\n") + "ab"},
            {
                "400",
                writeRequest("12345").replace("Content-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: chunked")
            },
            {
                "400",
                writeRequest("12345").replace("Content-Length: 5", "Transfer-Encoding: chunked\r\nContent-Length: 5")
            },
            {"400", writeRequest("12345").replace("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 5")},
            {"400", writeRequest("12345").replace("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 4")},
            {"400", writeRequest("12345").replace("Content-Length: 5", "Content-Length: 5, 5")},
            {"400", writeRequest("12345").replace("Content-Length: 5", "Content-Length: -5")},
            {"400", writeRequest("12345").replace("Content-Length: 5", "Content-Length: +5")},
            {"400", writeRequest("12345").replace("Content-Length: 5", "Content-Length: 99999999999999999999")},
            {"400", writeRequest("12345").replace("Content-Length: 5", "Transfer-Encoding: gzip, chunked")},
            {
                "400",
                writeRequest("12345")
                        .replace("Content-Length: 5", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked")
            },
            {
                "400",
                writeRequest("12345")
                        .replace("Content-Length: 5", "Transfer-Encoding: chunked")
                        .replace("12345", "zz\r\n12345\r\n")
            },
            {"505", validRequest.replace("HTTP/1.1", "HTTP/2.0")},
            {"413", writeRequest("x").replace("Content-Length: 1", "Content-Length: 67108865")},
            {"400", validRequest.replace("7f3a9c21e0b4d655", "7f3a9c21e0b4d65")},
            {"400", validRequest.replace("GET", "POST")},
            {"400", writeRequest("x").replace("Idempotency-Key: k-77\r\n", "")},
            {"404", validRequest.replace("tile-read", "tiles")},
            {"404", "GET / HTTP/1.1\r\nHost: b\r\n\r\n"},
            {"431", validRequest.replace("Host: b", "Host: b\r\nX-Long: " + "y".repeat(9000))},
            {"431", validRequest.replace("7f3a9c21e0b4d655", "7".repeat(9000))},
        };
        for (String[] statusAndRequest : cases) {
            MemoryEndPoint malformedClient = MemoryEndPoint.open(front::accept);
            malformedClient.send(statusAndRequest[1]);
            assertEquals(List.of(statusAndRequest[0]), statuses(malformedClient.takeReceived()), statusAndRequest[1]);
            malformedClient.sendEof();
            assertFalse(malformedClient.isOpen(), statusAndRequest[1]);
        }
        assertEquals(0, harness.counters.get("taken.tile-read") + harness.counters.get("taken.survey-write"));
    }

    /** Nodes would take two requests with one id for copies; the open request must not be affected. */
    @Test
    void idOfOpenRequestIsRejectedUntilItEnds() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint node = harness.connectLast();
        MemoryEndPoint duplicateClient = MemoryEndPoint.open(front::accept);
        duplicateClient.send(readRequest(1, ""));
        assertEquals(List.of("409"), statuses(duplicateClient.takeReceived()));
        node.send(okAnswer("one"));
        assertEquals(List.of("200"), statuses(client.takeReceived()));
        assertEquals(0, front.openTxnIdCount());
        MemoryEndPoint laterClient = MemoryEndPoint.open(front::accept);
        harness.advance(UpstreamConnection.SETTLE_US);
        laterClient.send(readRequest(1, ""));
        node.send(okAnswer("again"));
        assertEquals(List.of("200"), statuses(laterClient.takeReceived()));
    }

    @Test
    void oversizedBodyIsDiscardedAfterItsError() {
        client.send(writeRequest("x").replace("Content-Length: 1", "Content-Length: 67108865"));
        assertEquals(List.of("413"), statuses(client.takeReceived()));
        byte[] bodyPart = new byte[200_000];
        long lingerEndUs = harness.nowUs + HttpFront.MAX_LINGER_US;
        while (harness.nowUs < lingerEndUs - HttpFront.LINGER_SILENCE_US) {
            client.sendBytes(bodyPart);
            harness.advance(HttpFront.LINGER_SILENCE_US / 2);
            assertTrue(client.isOpen(), "closed while the client sends: a reset could lose the answer");
        }
        client.sendBytes(bodyPart);
        harness.advance(HttpFront.LINGER_SILENCE_US);
        assertFalse(client.isOpen(), "the connection closes although the client keeps sending");
    }

    @Test
    void silentOrPartialClientIsClosedWithin3Seconds() {
        HeldInputEndPoint partialClient = HeldInputEndPoint.open(front::accept);
        partialClient.send(readRequest(1, "").substring(0, 60));
        harness.advance(2_400_000);
        assertTrue(client.isOpen() && partialClient.isOpen());
        harness.advance(600_000);
        assertFalse(client.isOpen());
        assertEquals(List.of("408"), statuses(partialClient.takeReceived()));
        harness.advance(HttpFront.LINGER_SILENCE_US);
        assertFalse(partialClient.isOpen());
        assertEquals(0, front.connectionCount());
    }

    @Test
    void usedConnectionMayStayIdle() {
        client.send(readRequest(1, ""));
        harness.advance(60_000_000);
        assertTrue(client.isOpen());
    }

    @Test
    void silentNewConnectionsAreEvictedBeforeUsedOnes() {
        client.send(readRequest(1, ""));
        for (int i = 0; i < 49; i++) {
            MemoryEndPoint.open(front::accept);
        }
        harness.advance(HttpFront.SILENT_AFTER_US);
        for (int i = 0; i < 40; i++) {
            MemoryEndPoint.open(front::accept);
        }
        assertTrue(client.isOpen());
        assertEquals(50, front.connectionCount());
    }

    @Test
    void connectionsFarOverLimitCloseOnOpen() {
        for (int i = 0; i < 200; i++) {
            MemoryEndPoint.open(front::accept).send("GET ");
        }
        assertEquals(66, front.connectionCount());
    }

    /** Each malformed answer must fail its attempt and close the connection. */
    @Test
    void malformedAnswersFailTheAttemptAtOnce() {
        String validAnswer = okAnswer("good");
        String[] malformedAnswers = {
            "\u0001\u0002noise without an end",
            "HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\ngood",
            "HTTP/1.1 200 OK\r\n\r\ngood",
            validAnswer.replace("1.1", "2.0"),
            "HTTP/1.0 200 OK\r\n\r\ngood",
            "HTTP/1.1 200 OK\r\nX-Long: " + "y".repeat(20_000),
            validAnswer.replace("Content-Length: 4", "Content-Length: 3221225472"),
            validAnswer.replace("Content-Length: 4", "Content-Length: -4"),
            validAnswer.replace("Content-Length: 4", "Content-Length: four"),
            validAnswer.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 4"),
            validAnswer.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 3"),
            validAnswer.replace("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked"),
            validAnswer.replace("Content-Length: 4", "Transfer-Encoding: gzip"),
            validAnswer.replace("Content-Length: 4", "Transfer-Encoding: chunked"),
            validAnswer
                    .replace("Content-Length: 4", "Transfer-Encoding: chunked")
                    .replace("good", "ffffffffff\r\n"),
            "HTTP/1.1 101 Switching Protocols\r\n\r\n" + validAnswer,
            "HTTP/1.1 100 Continue\r\n\r\n".repeat(40) + validAnswer,
        };
        for (String answer : malformedAnswers) {
            HttpFrontTest fresh = new HttpFrontTest();
            fresh.listOneNode();
            fresh.client.send(readRequest(1, ""));
            MemoryEndPoint node = fresh.harness.connectLast();
            node.takeReceived();
            node.send(answer);
            assertEquals(1, fresh.harness.counters.get("outcome.error"), answer);
            assertFalse(node.isOpen(), answer);
            assertEquals(List.of(), statuses(fresh.client.takeReceived()), answer);
            assertEquals(fresh.harness.dials.size(), fresh.pool.connectionCount(), answer);
        }
    }

    @Test
    void completeAnswersAreServedDespiteExtraBytes() {
        String validAnswer = okAnswer("good");
        String chunked = validAnswer
                .replace("Content-Length: 4", "Transfer-Encoding: chunked")
                .replace("good", "4\r\ngood\r\n0\r\n\r\n");
        for (String answer : List.of(
                validAnswer,
                chunked,
                validAnswer + validAnswer,
                validAnswer + "noise",
                validAnswer.replace("1.1", "1.0"),
                "HTTP/1.1 100 Continue\r\n\r\n" + validAnswer,
                "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".repeat(3) + validAnswer)) {
            HttpFrontTest fresh = new HttpFrontTest();
            fresh.listOneNode();
            fresh.client.send(readRequest(1, ""));
            MemoryEndPoint node = fresh.harness.connectLast();
            node.send(answer);
            String served = fresh.client.takeReceived();
            assertTrue(served.startsWith("HTTP/1.1 200") && served.endsWith("\r\n\r\ngood"), answer);
            boolean reusable =
                    answer.endsWith(validAnswer) && !answer.startsWith(validAnswer + "H") || answer.equals(chunked);
            assertEquals(reusable, node.isOpen(), answer);
            boolean extraBytes = answer.startsWith(validAnswer) && answer.length() > validAnswer.length();
            assertEquals(extraBytes ? 1 : 0, fresh.harness.counters.get("connections.extra_bytes"), answer);
        }
    }

    /** Fails if a second copy of an answer is served to the next request. */
    @Test
    void duplicateAnswerIsNotServedToNextRequest() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint node = harness.connectLast();
        node.send(okAnswer("one"));
        node.addInput(org.eclipse.jetty.util.BufferUtil.toBuffer(okAnswer("one")));
        harness.advance(UpstreamConnection.SETTLE_US);
        client.send(readRequest(2, ""));
        assertFalse(node.isOpen());
        assertEquals(1, harness.counters.get("connections.extra_bytes"));
        harness.connectLast().send(okAnswer("two"));
        assertTrue(client.takeReceived().endsWith("two"));
    }

    /** Fails if a late second copy of an answer is served to the request that follows at once, and so on. */
    @Test
    void lateDuplicateAnswerIsNotServedToRequestThatFollowsAtOnce() {
        listOneNode();
        client.send(readRequest(0, ""));
        MemoryEndPoint asked = harness.connectLast();
        asked.takeReceived();
        for (int number = 1; number < 10; number++) {
            String answer = okAnswer("for t" + (number - 1));
            asked.send(answer);
            assertTrue(client.takeReceived().endsWith("\r\n\r\nfor t" + (number - 1)));
            harness.advance(500);
            client.send(readRequest(number, ""));
            harness.advance(UpstreamConnection.SETTLE_US - 501);
            asked.send(answer);
            assertEquals("", client.takeReceived(), "a copy of the answer to the request before t" + number);
            assertFalse(asked.isOpen());
            assertEquals(number, harness.counters.get("connections.extra_bytes"));
            asked = harness.connectLast();
            assertTrue(asked.takeReceived().contains("X-Txn: t" + number + "\r\n"));
        }
    }

    /** Fails if a connection is reused before it has settled where no further one may be opened. */
    @Test
    void connectionThatHasNotSettledGivesWayAtTheLimit() {
        listOneNode();
        pool.setMaxConnections(1);
        client.send(readRequest(1, ""));
        MemoryEndPoint node = harness.connectLast();
        node.send(okAnswer("one"));
        client.send(readRequest(2, ""));
        assertFalse(node.isOpen());
        MemoryEndPoint nextNode = harness.connectLast();
        assertTrue(nextNode.takeReceived().contains("X-Txn: t2\r\n"));
        nextNode.send(okAnswer("two"));
        assertEquals(List.of("200", "200"), statuses(client.takeReceived()));
        assertEquals(1, pool.connectionCount());
    }

    @Test
    void stalledAnswerFailsAndSlowAnswerIsAwaited() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint node = harness.connectLast();
        node.send("HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n");
        for (int i = 0; i < 5; i++) {
            harness.advance(NodeConnectionPool.ANSWER_STALL_TIMEOUT_US - 1000);
            node.send("part");
        }
        assertTrue(node.isOpen());
        harness.advance(2 * NodeConnectionPool.ANSWER_STALL_TIMEOUT_US);
        assertEquals(1, harness.counters.get("outcome.error"));
        assertFalse(node.isOpen());
    }

    private static String exportRequest(int number) {
        return readRequest(number, "").replace("/tile-read/", "/bulk-export/").replace("-Ms: 1400", "-Ms: 5000");
    }

    /** Fails if a large answer is cut off, or held back, because its node pauses after the head and within the body. */
    @Test
    void largeAnswerThatPausesAfterItsHeadIsServed() {
        String piece = "0123456789abcdef".repeat(1024);
        String chunk = Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n";
        for (boolean chunked : new boolean[] {false, true}) {
            HttpFrontTest fresh = new HttpFrontTest();
            fresh.listOneNode();
            fresh.client.send(exportRequest(1));
            MemoryEndPoint node = fresh.harness.connectLast();
            node.send("HTTP/1.1 200 OK\r\n"
                    + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + 16 * piece.length()) + "\r\n\r\n");
            StringBuilder received = new StringBuilder();
            for (int i = 1; i <= 16; i++) {
                fresh.harness.advance(2 * NodeConnectionPool.ANSWER_STALL_TIMEOUT_US);
                node.send(chunked ? chunk : piece);
                received.append(fresh.client.takeReceived());
                assertEquals(i * piece.length(), bodyOf(received).length(), "held back at piece " + i);
                assertTrue(node.isOpen(), "piece " + i);
            }
            node.send(chunked ? "0\r\n\r\n" : "");
            received.append(fresh.client.takeReceived());
            assertEquals(List.of("200"), statuses(received.toString()));
            assertEquals(piece.repeat(16), bodyOf(received));
            assertEquals(1, fresh.harness.counters.get("sent"));
            assertTrue(node.isOpen());
        }
    }

    /** Returns the body of an answer as far as it has been received, without the framing of its chunks. */
    private static String bodyOf(CharSequence answer) {
        String[] parts = answer.toString().split("\r\n\r\n", 2);
        return parts[0].contains("chunked")
                ? ("\r\n" + parts[1])
                        .replaceAll("\r\n(\r\n)?[0-9a-fA-F]{1,5}\r\n", "")
                        .strip()
                : parts[1];
    }

    /** The deadline holds as long as no byte of a large answer's body has come. */
    @Test
    void largeAnswerWithoutBodyIsAwaitedUntilTheDeadline() {
        listOneNode();
        client.send(exportRequest(1));
        MemoryEndPoint node = harness.connectLast();
        node.send("HTTP/1.1 200 OK\r\nContent-Length: 262144\r\n\r\n");
        harness.advance(4_900_000);
        assertEquals("", client.takeReceived());
        assertTrue(node.isOpen());
        harness.advance(100_001);
        assertEquals(1, statuses(client.takeReceived()).size());
        assertFalse(node.isOpen());
    }

    /** Fails if a node that stops within its head is awaited like one that has announced a large answer. */
    @Test
    void stalledHeadFails() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint node = harness.connectLast();
        node.send("HTTP/1.1 200 OK\r\nContent-Le");
        harness.advance(NodeConnectionPool.ANSWER_STALL_TIMEOUT_US - 1);
        assertTrue(node.isOpen());
        harness.advance(1);
        assertFalse(node.isOpen());
        assertEquals(1, harness.counters.get("outcome.error"));
    }

    @Test
    void requestReportedOverIsRefusedWithoutRetry() {
        listOneNode();
        client.send(readRequest(1, ""));
        harness.connectLast().send("HTTP/1.1 504 Over\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
        assertEquals(List.of("503"), statuses(client.takeReceived()));
        assertEquals(1, harness.counters.get("sent"));
    }

    /**
     * Nodes use this form of HTTP/1.1. Without Connection: close, the end of the connection does not end the answer.
     */
    @Test
    void answerEndedByCloseIsCompleteOnlyIfAnnounced() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint node = harness.connectLast();
        node.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the ");
        assertEquals("", client.takeReceived());
        node.send("end");
        node.sendEof();
        assertTrue(client.takeReceived().endsWith("Content-Length: 10\r\n\r\nto the end"));
        assertFalse(node.isOpen());
        client.send(readRequest(2, ""));
        harness.connectLast().send("HTTP/1.1 200 OK\r\n\r\nto the ");
        assertEquals(1, harness.counters.get("outcome.error"));
        MemoryEndPoint largeAnswerNode = harness.connectLast();
        largeAnswerNode.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + "z".repeat(70_000));
        assertTrue(client.takeReceived().contains("Transfer-Encoding: chunked\r\n"));
        largeAnswerNode.sendEof();
        assertTrue(client.takeReceived().endsWith("\r\n0\r\n\r\n"));
    }

    /** The beginning has already been sent, so the client must be able to detect the truncated answer. */
    @Test
    void interruptedStreamedAnswerClosesClientConnection() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint node = harness.connectLast();
        node.send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\npart");
        assertEquals("", client.takeReceived());
        harness.advance(NodeConnectionPool.BUFFER_BEFORE_STREAM_US);
        assertTrue(client.takeReceived().endsWith("Content-Length: 100000\r\n\r\npart"));
        for (int i = 0; i < 3; i++) {
            harness.advance(NodeConnectionPool.STREAM_STALL_TIMEOUT_US - 1);
            node.send("part");
            assertEquals("part", client.takeReceived());
        }
        harness.advance(2 * NodeConnectionPool.STREAM_STALL_TIMEOUT_US);
        assertFalse(node.isOpen());
        assertFalse(client.isOpen());
        assertEquals(1, harness.broker.requestCounts().count("tile-read", RequestResult.FAILED));
        assertEquals(0, front.answeringCount());
        MemoryEndPoint secondClient = MemoryEndPoint.open(front::accept);
        secondClient.send(readRequest(2, ""));
        MemoryEndPoint secondNode = harness.connectLast();
        secondNode.send(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n18000\r\n" + "z".repeat(0x18000) + "\r\n");
        assertTrue(secondClient.takeReceived().length() > 0x18000);
        secondNode.sendEof();
        assertFalse(secondClient.isOpen());
        assertFalse(secondClient.takeReceived().contains("\r\n0\r\n"));
        assertEquals(2, harness.broker.requestCounts().count("tile-read", RequestResult.FAILED));
    }

    /** Nodes send larger answers than the 64 KiB of the protocol. */
    @Test
    void largeAnswerIsForwardedAndConnectionReused() {
        listOneNode();
        String large = "0123456789abcdef".repeat(25_000);
        client.send(readRequest(1, ""));
        harness.connectLast().send(okAnswer(large));
        assertTrue(client.takeReceived().endsWith("\r\n\r\n" + large));
        harness.advance(UpstreamConnection.SETTLE_US);
        client.send(readRequest(2, ""));
        MemoryEndPoint node = harness.dials.isEmpty() ? null : harness.connectLast();
        assertEquals(null, node, "the connection must be reused");
    }

    @Test
    void bodyBuffersAreBoundedByBudgetAndReleaseIt() {
        ByteBudget budget = new ByteBudget(100_000);
        BodyBuffer firstBody = new BodyBuffer(80_000, budget);
        BodyBuffer secondBody = new BodyBuffer(80_000, budget);
        firstBody.announcedLength(70_000);
        assertTrue(firstBody.append(java.nio.ByteBuffer.allocate(10)));
        assertTrue(budget.availableBytes() > 98_000, "the announced length must not be allocated at once");
        assertTrue(firstBody.append(java.nio.ByteBuffer.allocate(60_000)));
        assertFalse(secondBody.append(java.nio.ByteBuffer.allocate(60_000)));
        assertEquals(60_010, firstBody.takeContent().remaining());
        assertTrue(secondBody.append(java.nio.ByteBuffer.allocate(60_000)));
        assertFalse(secondBody.append(java.nio.ByteBuffer.allocate(30_000)));
        secondBody.takeContent();
        assertEquals(100_000, budget.availableBytes());
    }

    @Test
    void chunkedBodyOverLimitIsStreamed() {
        listOneNode();
        String head = writeRequest("").replace("Content-Length: 0", "Transfer-Encoding: chunked");
        client.send(head);
        for (int i = 0; i < 16; i++) {
            client.send("1000\r\n" + "z".repeat(4096) + "\r\n");
        }
        assertEquals(0, harness.dials.size());
        client.send("1000\r\n" + "z".repeat(4096) + "\r\n");
        MemoryEndPoint node = harness.connectLast();
        assertTrue(node.takeReceived().contains("Transfer-Encoding: chunked\r\n"));
        // The deadline counts from the last byte, so the upload may take longer than the class's deadline.
        for (int i = 0; i < 4; i++) {
            harness.advance(1_000_000);
            client.send("8000\r\n" + "y".repeat(0x8000) + "\r\n");
            assertTrue(node.takeReceived().contains("y".repeat(0x1000)));
        }
        client.send("0\r\n\r\n");
        assertTrue(node.takeReceived().endsWith("0\r\n\r\n"));
        harness.advance(1_900_000);
        node.send(okAnswer("stored"));
        assertTrue(client.takeReceived().endsWith("stored"));
        assertEquals(1, harness.broker.requestCounts().attempts());
    }

    /** Fails if the deadline restarts when the node connection opens after the whole body has arrived. */
    @Test
    void bufferedLargeBodyDeadlineCountsFromLastByte() {
        listOneNode();
        client.send(writeRequest("").replace("Content-Length: 0", "Content-Length: 200000") + "z".repeat(20_000));
        client.send("z".repeat(180_000));
        harness.advance(240_000);
        MemoryEndPoint node = harness.connectLast();
        assertTrue(node.takeReceived().endsWith("z"));
        harness.advance(1_759_999);
        assertEquals("", client.takeReceived());
        harness.advance(1);
        assertEquals(List.of("504"), statuses(client.takeReceived()));
    }

    @Test
    void stalledOrSlowBodyIsTimedOut() {
        listOneNode();
        String large = writeRequest("").replace("Content-Length: 0", "Content-Length: 200000") + "z".repeat(20_000);
        client.send(large);
        MemoryEndPoint node = harness.connectLast();
        harness.advance(HttpFront.REQUEST_TIMEOUT_US);
        assertEquals(List.of("408"), statuses(client.takeReceived()));
        assertFalse(node.isOpen());
        HeldInputEndPoint slowClient = HeldInputEndPoint.open(front::accept);
        slowClient.send(writeRequest("")
                .replace("Content-Length: 0", "Content-Length: 60000")
                .replace("w1", "w2"));
        for (int i = 0; i < 100 && slowClient.takeReceived().isEmpty(); i++) {
            slowClient.send("x".repeat(400));
            harness.advance(100_000);
        }
        assertEquals(0, harness.broker.requestCounts().attempts());
        assertEquals(0, harness.broker.openRequests());
        assertTrue(harness.counters.get("connections.late") >= 2);
    }

    @Test
    void bodyRejectedEarlyIsRefusedAndRestDiscarded() {
        listOneNode();
        client.send(writeRequest("").replace("Content-Length: 0", "Content-Length: 200000") + "z".repeat(50_000));
        harness.connectLast().send("HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
        assertEquals(List.of("503"), statuses(client.takeReceived()));
        for (int i = 0; i < 20; i++) {
            client.sendBytes(new byte[4_000]);
            harness.advance(HttpFront.LINGER_SILENCE_US - 1);
        }
        assertTrue(client.isOpen());
        assertEquals("", client.takeReceived());
    }

    @Test
    void refusalHasRetryAfter() {
        client.send(readRequest(1, ""));
        String answer = client.takeReceived();
        assertEquals(List.of("503"), statuses(answer));
        assertTrue(answer.contains("Retry-After: 0.5\r\n"), answer);
    }

    @Test
    void clientCloseCancelsAttempt() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint node = harness.connectLast();
        client.sendEof();
        assertFalse(node.isOpen());
        assertEquals(0, harness.broker.openRequests());
        assertEquals(0, pool.connectionCount());
        assertEquals(1, harness.counters.get("client_gone"));
    }

    @Test
    void nodeCloseWithinAnswerIsReset() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint node = harness.connectLast();
        node.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        node.sendEof();
        assertEquals(1, harness.counters.get("outcome.reset"));
    }

    @Test
    void answersMapToOutcomesOfProtocol() {
        String[][] cases = {
            {"served", okAnswer("x")},
            {"error", "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"},
            {"rejected", "HTTP/1.1 503 E\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"},
            {"over", "HTTP/1.1 504 E\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"},
            {"error", "HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n"},
            {"error", "HTTP/1.1 404 E\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"},
            {"error", "garbage that is no answer\r\n\r\n"},
        };
        for (String[] outcomeAndAnswer : cases) {
            HttpFrontTest fresh = new HttpFrontTest();
            fresh.listOneNode();
            fresh.client.send(readRequest(1, ""));
            fresh.harness.connectLast().send(outcomeAndAnswer[1]);
            assertEquals(1, fresh.harness.counters.get("outcome." + outcomeAndAnswer[0]), outcomeAndAnswer[1]);
        }
    }

    @Test
    void connectTimeoutIsThatOfSettings() {
        listOneNode();
        client.send(readRequest(1, ""));
        harness.advance(249_999);
        assertEquals(0, harness.counters.get("outcome.not_connected"));
        harness.advance(1);
        assertEquals(1, harness.counters.get("outcome.not_connected"));
        assertEquals(harness.dials.size() - 1, pool.connectionCount());
    }

    @Test
    void connectionOpenedAfterTimeoutIsClosed() {
        listOneNode();
        client.send(readRequest(1, ""));
        BrokerFixture.PendingConnection pendingDial = harness.dials.remove(0);
        harness.advance(2_000_000);
        assertFalse(MemoryEndPoint.open(pendingDial.connector()::connected).isOpen());
        assertEquals(0, pool.connectionCount());
    }

    @Test
    void timedOutAttemptClosesItsConnection() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint node = harness.connectLast();
        harness.advance(1_500_000);
        assertFalse(node.isOpen());
        assertEquals(1, statuses(client.takeReceived()).size());
        assertEquals(1, harness.counters.get("outcome.timed_out"));
    }

    @Test
    void connectionNearIdleLimitIsNotReused() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint node = harness.connectLast();
        node.send(okAnswer("x"));
        harness.advance(11_000_000);
        client.send(readRequest(2, ""));
        assertEquals(0, harness.dials.size());
        node.send(okAnswer("x"));
        harness.advance(13_000_001);
        assertFalse(node.isOpen());
        client.send(readRequest(3, ""));
        assertEquals(1, harness.dials.size());
    }

    @Test
    void idleConnectionClosedByNodeFailsNoRequest() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint node = harness.connectLast();
        node.send(okAnswer("x"));
        node.sendEof();
        client.send(readRequest(2, ""));
        harness.connectLast().send(okAnswer("y"));
        assertEquals(List.of("200", "200"), statuses(client.takeReceived()));
    }

    @Test
    void connectionsToRestartedNodeAreClosed() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint node = harness.connectLast();
        node.send(okAnswer("x"));
        harness.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 900_000));
        assertFalse(node.isOpen());
    }

    @Test
    void movedNodeIsReachedAtItsNewAddress() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint oldConnection = harness.connectLast();
        oldConnection.send(okAnswer("x"));
        Node listed = BrokerFixture.node("s-00000001", 3, NodeState.READY, 0);
        harness.setNodes(new Node(listed.name(), "127.0.0.2:9002", listed.entry()));
        assertFalse(oldConnection.isOpen());
        client.send(readRequest(2, ""));
        assertEquals("/127.0.0.2:9002", harness.dials.get(0).address().toString());
    }

    @Test
    void removedOrUnlistedNodeGetsNoRequest() {
        listOneNode();
        harness.broker.updateNodes(
                NodeListKind.CHANGES, List.of(BrokerFixture.node("s-00000001", 3, NodeState.GONE, 0)));
        client.send(readRequest(1, ""));
        listOneNode();
        harness.setNodes(BrokerFixture.node("s-00000002", 4, NodeState.READY, 0));
        client.send(readRequest(2, ""));
        assertEquals(List.of(), harness.dials);
        assertEquals(List.of("503", "503"), statuses(client.takeReceived()));
    }

    @Test
    void wholeNodeListReplacesCachedOne() {
        harness.broker.updateNodes(
                NodeListKind.CACHED, List.of(BrokerFixture.node("s-00000009", 3, NodeState.READY, 0)));
        listOneNode();
        client.send(readRequest(1, ""));
        assertEquals(1, harness.dials.size());
        harness.connectLast().send(okAnswer("x"));
        assertEquals(List.of("200"), statuses(client.takeReceived()));
    }

    @Test
    void terminationAnswersOpenRequestsAndClosesIdle() {
        listOneNode();
        client.send(readRequest(1, ""));
        MemoryEndPoint readyClient = MemoryEndPoint.open(front::accept);
        MemoryEndPoint node = harness.connectLast();
        lifecycle.terminate(harness.nowUs);
        readyClient.send("GET /ready HTTP/1.1\r\nHost: b\r\n\r\n");
        assertEquals(List.of("503"), statuses(readyClient.takeReceived()));
        MemoryEndPoint idleClient = MemoryEndPoint.open(front::accept);
        front.closeIdle(9);
        assertTrue(idleClient.isOpen());
        harness.advance(600_000);
        front.closeIdle(9);
        assertTrue(idleClient.isOutputShutdown());
        idleClient.send(readRequest(7, ""));
        assertEquals(List.of(), statuses(idleClient.takeReceived()), "requests after the shutdown are discarded");
        assertEquals(1, harness.broker.openRequests());
        idleClient.sendEof();
        assertFalse(idleClient.isOpen());
        node.send(okAnswer("kept"));
        String answer = client.takeReceived();
        assertTrue(answer.contains("Connection: close\r\n") && answer.endsWith("kept"));
        client.sendEof();
        assertFalse(client.isOpen());
        assertEquals(0, front.answeringCount());
    }

    @Test
    void newConnectionAtLimitEvictsAnIdleOne() {
        for (int i = 0; i < 60; i++) {
            MemoryEndPoint.open(front::accept);
        }
        assertEquals(50, front.connectionCount());
        assertFalse(client.isOpen());
    }

    @Test
    void newConnectionIsRefusedIfNoneCanBeEvicted() {
        listOneNode();
        client.send(readRequest(1, ""));
        for (int i = 0; i < 49; i++) {
            MemoryEndPoint.open(front::accept).send(readRequest(2, "").substring(0, 30));
        }
        MemoryEndPoint refusedClient = MemoryEndPoint.open(front::accept);
        refusedClient.send(readRequest(3, ""));
        String answer = refusedClient.takeReceived();
        assertEquals(List.of("503"), statuses(answer));
        assertTrue(answer.contains("Retry-After: 0.5\r\n") && answer.contains("Connection: close\r\n"), answer);
    }

    @Test
    void probeReturnsLoadReportOrTimesOut() {
        List<String> results = new ArrayList<>();
        Node node = BrokerFixture.node("s-00000001", 3, NodeState.READY, 0);
        pool.probe(node, 250_000, (outcome, load) -> results.add(outcome + " " + load));
        MemoryEndPoint nodeEnd = harness.connectLast();
        assertTrue(nodeEnd.takeReceived().startsWith("GET /status/load HTTP/1.1\r\n"));
        nodeEnd.send(okAnswer("TEXT util=0.61, queue=2"));
        harness.advance(UpstreamConnection.SETTLE_US);
        pool.probe(node, 250_000, (outcome, load) -> results.add(outcome + " " + load));
        harness.advance(250_000);
        assertEquals(List.of("SERVED {util=0.61, queue=2.0}", "TIMED_OUT {}"), results);
        assertFalse(nodeEnd.isOpen());
        assertEquals(0, pool.connectionCount());
    }

    @Test
    void loadReportsAndRetryAfterFollowProtocol() {
        assertEquals(
                "{inflight=7.0, util=0.61}",
                HttpProtocol.parseLoadReport("TEXT inflight=7, queue=x, util=0.61")
                        .toString());
        assertEquals(
                "{}",
                HttpProtocol.parseLoadReport("TEXT inflight=NaN, queue=-3, util=Infinity, qps=1e300, =1, \u0001\u0002")
                        .toString());
        assertEquals("{}", HttpProtocol.parseLoadReport(null).toString());
        assertEquals(
                List.of("0.001", "0.35", "2", "1.5"),
                java.util.stream.Stream.of(1L, 350_000L, 2_000_000L, 1_500_000L)
                        .map(HttpProtocol::formatSeconds)
                        .toList());
    }

    @Test
    void countersPageIsServed() {
        client.send(readRequest(1, ""));
        client.send("GET /counters HTTP/1.1\r\nHost: b\r\n\r\n");
        assertTrue(client.takeReceived().contains("taken.tile-read 1\n"));
    }

    /**
     * Guards against requests whose client's end is read with them and that stay in the module: they filled windows and
     * limits until everyone was refused.
     */
    @Test
    void departedClientsLeaveNothingInTheModule() {
        BrokerFixture limited = new BrokerFixture(BrokerFixture.SETTINGS + "plans.0.limit=60\nplans.0.burst=40\n");
        NodeConnectionPool limitedPool = limited.pool(40);
        HttpFront limitedFront = new HttpFront(limited.broker(limitedPool), limited.timers, 50, lifecycle);
        limited.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
        limited.advance(10_000_000);
        HeldInputEndPoint present = HeldInputEndPoint.open(limitedFront::accept);
        MemoryEndPoint node = null;
        for (int i = 0; i < DEPARTED_REQUESTS; i++) {
            HeldInputEndPoint departed = HeldInputEndPoint.open(limitedFront::accept);
            departed.addInputSilently(readRequest(i, ""));
            departed.addEofSilently();
            departed.notifyOfInput();
            if (i % 100 == 0) {
                present.send(readRequest(1_000_000 + i, ""));
                node = node == null ? limited.connectLast() : node;
                node.send(okAnswer("x"));
                assertEquals(List.of("200"), statuses(present.takeReceived()), "after " + i);
                limited.advance(100_000);
            }
        }
        assertEquals(DEPARTED_REQUESTS, limited.counters.get("client_gone"));
        assertEquals(DEPARTED_REQUESTS / 100, limited.counters.get("sent"));
        String status = limited.broker.statusLines();
        assertTrue(status.contains("module.requests 0\nmodule.in_flight 0\nmodule.held_units 0\n"), status);
        assertEquals(0, limited.counters.get("module_unbalanced"));
        assertEquals(0, limitedFront.openTxnIdCount());
    }

    /**
     * Model: there are never more answers than requests, answers of nodes arrive in the order of the requests, and in
     * the end each complete request of a connected client has an answer.
     */
    @Property(tries = 300, seed = "20261202")
    void anyInterleavingAnswersRequestsInOrder(@ForAll @Size(max = 60) List<@IntRange(max = 12) Integer> steps) {
        HttpFrontTest test = new HttpFrontTest();
        test.listOneNode();
        StringBuilder unsent = new StringBuilder();
        StringBuilder received = new StringBuilder();
        List<MemoryEndPoint> nodes = new ArrayList<>();
        int requested = 0;
        boolean open = true;
        for (int step : steps) {
            switch (step) {
                case 0, 1 -> unsent.append(readRequest(requested++, ""));
                case 2, 3, 4 -> {
                    int length = open ? Math.min(unsent.length(), step == 4 ? 5000 : 37 * step) : 0;
                    test.client.send(unsent.substring(0, length));
                    unsent.delete(0, length);
                }
                case 5, 6, 7, 9, 10, 11, 12 -> {
                    while (!test.harness.dials.isEmpty()) {
                        nodes.add(test.harness.connectLast());
                    }
                    nodes.forEach(node -> answer(node, step));
                }
                default -> {
                    if (open) {
                        test.client.sendEof();
                    }
                    open = false;
                }
            }
            received.append(test.client.takeReceived());
            assertTrue(statuses(received.toString()).size() <= requested);
        }
        int length = readRequest(0, "").length();
        // A partial request is answered with 408.
        int completeRequests =
                open ? requested - (unsent.length() + length - 1) / length + (unsent.length() % length > 0 ? 1 : 0) : 0;
        for (int i = 0; i < requested && requested < 10; i++) {
            test.harness.advance(1_500_000);
        }
        test.harness.advance(requested < 10 ? HttpFront.REQUEST_TIMEOUT_US : 0);
        received.append(test.client.takeReceived());
        assertEquals(0, test.harness.broker.openRequests());
        if (open && requested < 10) {
            assertEquals(completeRequests, statuses(received.toString()).size());
        }
        List<Integer> served = java.util.regex.Pattern.compile("for t(\\d)")
                .matcher(received)
                .results()
                .map(match -> Integer.valueOf(match.group(1)))
                .toList();
        assertEquals(served.stream().sorted().distinct().toList(), served);
    }

    /** The node answers its request in the way that the step selects, or closes. */
    private static void answer(MemoryEndPoint node, int step) {
        String request = node.isOpen() ? node.takeReceived() : "";
        int txnIndex = request.indexOf("X-Txn: ");
        String validAnswer = txnIndex < 0 ? "" : okAnswer("for " + request.substring(txnIndex + 7, txnIndex + 9));
        if (txnIndex >= 0 && step == 7) {
            node.sendEof();
        } else if (txnIndex >= 0) {
            node.send(
                    switch (step) {
                        case 9 -> validAnswer.replace("Content-Length", "Content-Length: 3\r\nContent-Length");
                        case 10 -> "HTTP/1.1 100 Continue\r\n\r\n" + validAnswer;
                        case 11 -> validAnswer + validAnswer;
                        case 12 -> validAnswer.substring(0, validAnswer.length() - 1);
                        default -> validAnswer;
                    });
        }
    }
}
