package petrelstand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import petrelstand.config.GatewayConfig;
import petrelstand.testing.Configs;
import petrelstand.testing.LoopbackPeers;
import petrelstand.testing.ScriptedPeers;
import petrelstand.testing.ScriptedPeers.Listener;
import petrelstand.testing.ScriptedPeers.Peer;

/** Forces races between two events on a gateway's connections, on real sockets (docs/design/crossings.md). */
@Timeout(60)
class CrossingsTest extends GatewayTestBase {
    private final CountDownLatch ended = new CountDownLatch(1);
    private final AtomicLong clientsAtEnd = new AtomicLong(-1);
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private Listener node;
    private Listener discovery;
    private int port;

    /** Starts a gateway with one node and with timeouts too long for a slow machine to reach. */
    private void start(String... replaced) throws Exception {
        start(closeAfterTest(new Listener()), replaced);
    }

    private void start(Listener listener, String... replaced) throws Exception {
        node = listener;
        start(listener.port(), replaced);
    }

    private void start(int nodePort, String... replaced) throws Exception {
        discovery = closeAfterTest(new Listener());
        String file = Configs.gateway(nodePort, discovery.port())
                .replace(":250.0", ":20000.0")
                .replace(":1500.0", ":30000.0")
                .replace(":5000.0", ":60000.0");
        for (int i = 0; i < replaced.length; i += 2) {
            assertTrue(file.contains(replaced[i]), replaced[i]);
            file = file.replace(replaced[i], replaced[i + 1]);
        }
        gateway = new Gateway(GatewayConfig.parse(file, Map.of()), null, line -> {}, () -> {
            clientsAtEnd.set(gateway.broker().counters().get("connections.clients"));
            ended.countDown();
        });
        port = gateway.start().get(20, TimeUnit.SECONDS).get(0);
    }

    private Peer client() throws IOException {
        return closeAfterTest(Peer.connect(port));
    }

    private Peer acceptAtNode() throws IOException {
        return closeAfterTest(node.accept());
    }

    /** Accepts the gateway's next connection and reads its request. */
    private Peer acceptRequestAtNode() throws IOException {
        Peer peer = acceptAtNode();
        peer.readMessage();
        return peer;
    }

    private interface TestAction {
        void run() throws Exception;
    }

    /** Runs an action while the loop is blocked, so that the loop handles all its effects in one iteration. */
    private void whileLoopIsBlocked(TestAction action) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        gateway.execute(() -> {
            blocked.countDown();
            try {
                assertTrue(released.await(20, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertTrue(blocked.await(20, TimeUnit.SECONDS));
        try {
            action.run();
        } finally {
            released.countDown();
        }
    }

    private static String status(String answer) {
        return answer.isEmpty() ? "closed" : answer.substring(9, 12);
    }

    // ---- Complete and cut responses ----

    private static final String UNFRAMED_RESPONSE = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf a tile";

    @Test
    void servesResponseDelimitedByConnectionClose() throws Exception {
        start();
        Peer client = client().write(ScriptedPeers.readRequest("tile-read", "t1", 30_000));
        Peer first = acceptRequestAtNode();
        first.write(UNFRAMED_RESPONSE).shutdownOutput();
        assertTrue(client.readMessage().endsWith("half a tile"));
    }

    @Test
    void retriesUnframedResponseCutByReset() throws Exception {
        start();
        Peer client = client().write(ScriptedPeers.readRequest("tile-read", "t1", 30_000));
        Peer first = acceptRequestAtNode();
        whileLoopIsBlocked(() -> first.write(UNFRAMED_RESPONSE).reset());
        Peer second = acceptRequestAtNode();
        second.write(ScriptedPeers.okResponse("whole"));
        String answer = client.readMessage();
        assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("whole"), answer);
        awaitCounter("outcome.reset", 1);
    }

    @Test
    void servesWholeResponseFollowedByReset() throws Exception {
        start();
        Peer client = client().write(ScriptedPeers.readRequest("tile-read", "t1", 30_000));
        Peer first = acceptRequestAtNode();
        whileLoopIsBlocked(() -> first.write(ScriptedPeers.okResponse("whole")).reset());
        assertTrue(client.readMessage().endsWith("whole"));
        awaitCounter("outcome.served", 1);
        assertEquals(0, counter("outcome.reset"));
    }

    @Test
    void countsResetBeforeAndWithinHeadAsReset() throws Exception {
        start();
        Peer client = client().write(ScriptedPeers.readRequest("tile-read", "t1", 30_000));
        Peer first = acceptRequestAtNode();
        first.reset();
        Peer second = acceptRequestAtNode();
        second.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nConte");
        second.reset();
        Peer third = acceptRequestAtNode();
        third.write("HTTP/1.1 103 Early Hints\r\n\r\n" + ScriptedPeers.okResponse("whole"));
        assertTrue(client.readMessage().endsWith("whole"));
        awaitCounter("outcome.reset", 2);
    }

    // ---- Connections that are established late ----

    /** Starts with a node whose backlog is full: connections complete after the test has accepted the fillers. */
    private void startWithFullNode(String... replaced) throws Exception {
        Listener full = closeAfterTest(new Listener(1));
        for (int i = 0; i < 2; i++) {
            closeAfterTest(Peer.connect(full.port()));
        }
        start(full, replaced);
    }

    /** Accepts the two connections that fill the backlog, then the gateway's. */
    private Peer acceptAfterFillers() throws IOException {
        acceptAtNode();
        acceptAtNode();
        return acceptAtNode();
    }

    /** Guards against an attempt that starts after its client left, if the settings forbid cancelling. */
    @Test
    void lateConnectionCarriesOnlyNextRequestAfterClientLeft() throws Exception {
        startWithFullNode("\"cancel\":true", "\"cancel\":false");
        Peer client = client().write(ScriptedPeers.readRequest("tile-read", "t1", 30_000));
        awaitCounter("connections.nodes", 1);
        client.reset();
        awaitCounter("client_gone", 1);
        Peer late = acceptAfterFillers();
        awaitCounter("outcome.cancelled", 1);
        client().write(ScriptedPeers.readRequest("tile-read", "t2", 30_000));
        assertTrue(late.readMessage().contains("X-Txn: t2\r\n"));
        late.write(ScriptedPeers.okResponse("two"));
    }

    /** Guards against a client's close that goes unnoticed behind unread input. */
    @Test
    void detectsClientCloseBehindUnreadInput() throws Exception {
        startWithFullNode();
        for (int bytes : new int[] {0, 6_000, 100_000}) {
            long gone = counter("client_gone");
            Peer client = client().write(ScriptedPeers.readRequest("tile-read", "t" + bytes, 30_000));
            client.write("x".repeat(bytes));
            client.close();
            awaitCounter("client_gone", gone + 1);
        }
        for (int bytes : new int[] {0, 30_000, 100_000}) {
            long gone = counter("client_gone");
            Peer client = client().write(ScriptedPeers.requestHead("PUT", "survey-write", "w" + bytes, 30_000)
                    + "Content-Length: 900000\r\n\r\n" + "x".repeat(20_000));
            client.write("x".repeat(bytes));
            client.close();
            awaitCounter("client_gone", gone + 1);
        }
    }

    /** Guards against attempts that begin, after a stall of the loop, for clients that left during the stall. */
    @Test
    void noAttemptBeginsForClientsThatLeftDuringAStall() throws Exception {
        start();
        List<Peer> clients = clientsWithRequests(20, 30_000);
        List<Peer> attempts = acceptFewerThan(clients.size());
        whileLoopIsBlocked(() -> {
            for (Peer client : clients) {
                client.close();
            }
            TimeUnit.MILLISECONDS.sleep(200);
            answerAll(attempts);
        });
        awaitTrue(() -> counter("client_gone") + counter("answered.served") == clients.size());
        assertEquals(attempts.size(), counter("sent"), "attempts begun after their clients left");
    }

    /** Guards against attempts for clients that sent their requests and left, both during a stall of the loop. */
    @Test
    void noAttemptBeginsForRequestReadTogetherWithItsClientsClose() throws Exception {
        start();
        List<Peer> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(client());
        }
        awaitCounter("connections.clients", clients.size());
        whileLoopIsBlocked(() -> {
            for (int i = 0; i < clients.size(); i++) {
                clients.get(i).write(ScriptedPeers.readRequest("tile-read", "t" + i, 30_000));
                clients.get(i).close();
            }
            TimeUnit.MILLISECONDS.sleep(200);
        });
        awaitCounter("client_gone", clients.size());
        assertEquals(0, counter("sent"), "attempts begun after their clients left");
    }

    /** Guards against attempts that begin, after a stall of the loop, for requests whose deadline has passed. */
    @Test
    void noAttemptBeginsAfterADeadlineThatPassedDuringAStall() throws Exception {
        start();
        List<Peer> clients = clientsWithRequests(20, 1_500);
        List<Peer> attempts = acceptFewerThan(clients.size());
        whileLoopIsBlocked(() -> {
            TimeUnit.MILLISECONDS.sleep(1_600);
            answerAll(attempts);
        });
        for (Peer client : clients) {
            assertTrue(client.readMessage().matches("(?s)HTTP/1.1 (200|503|504).*"));
        }
        assertEquals(attempts.size(), counter("sent"), "attempts begun after their deadlines");
    }

    /**
     * Guards against requests that are sent, after a stall of the loop, by a list that was replaced during it, also by
     * one that is larger than what a connection may read in a turn.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 300_000})
    void nodeListThatArrivedDuringAStallAppliesToRequestsThatArrivedToo(int indentBytes) throws Exception {
        start(closeAfterTest(LoopbackPeers.storageNode(1)).port());
        List<Peer> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(client());
        }
        awaitCounter("connections.clients", clients.size());
        // The start did not wait for the answer of the first call.
        closeAfterTest(discovery.accept());
        Peer agent = closeAfterTest(discovery.accept());
        agent.readMessage();
        whileLoopIsBlocked(() -> {
            for (int i = 0; i < clients.size(); i++) {
                clients.get(i).write(ScriptedPeers.readRequest("tile-read", "t" + i, 30_000));
            }
            agent.write(ScriptedPeers.okResponse(
                    "{\"version\":2,\"full\":true,\"servers\":[" + " ".repeat(indentBytes) + "]}"));
            TimeUnit.MILLISECONDS.sleep(200);
        });
        for (Peer client : clients) {
            assertEquals("503", status(client.readMessage()));
        }
        assertEquals(0, counter("sent"), "attempts at a node that was gone");
    }

    /**
     * Guards against a limit of what is read in a turn that cuts an answer in two, so that its deadline comes first.
     */
    @Test
    void largestBufferedAnswerThatArrivedDuringAStallIsServed() throws Exception {
        start();
        Peer client = client().write(ScriptedPeers.readRequest("tile-read", "t1", 2_000));
        Peer attempt = acceptRequestAtNode();
        String body = "x".repeat(64 * 1024);
        whileLoopIsBlocked(() -> {
            attempt.write(
                    ScriptedPeers.okResponse(body).replace("\r\n\r\n", "\r\nX-Pad: " + "y".repeat(7_000) + "\r\n\r\n"));
            TimeUnit.MILLISECONDS.sleep(2_500);
        });
        String answer = client.readMessage();
        assertEquals("200", status(answer));
        assertTrue(answer.endsWith("\r\n\r\n" + body));
    }

    private List<Peer> clientsWithRequests(int count, int remainingMs) throws Exception {
        List<Peer> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(client().write(ScriptedPeers.readRequest("tile-read", "t" + i, remainingMs)));
        }
        awaitCounter("taken.tile-read", count);
        return clients;
    }

    /** Accepts the attempts of the requests that do not wait in the gateway; some must wait. */
    private List<Peer> acceptFewerThan(int requests) throws Exception {
        long sent = counter("sent");
        assertTrue(sent < requests, "no request waits");
        List<Peer> attempts = new ArrayList<>();
        for (int i = 0; i < sent; i++) {
            attempts.add(acceptRequestAtNode());
        }
        return attempts;
    }

    private static void answerAll(List<Peer> attempts) throws IOException {
        for (Peer attempt : attempts) {
            attempt.write(ScriptedPeers.okResponse("late"));
        }
    }

    // ---- The first node list ----

    /** Guards against a process that starts serving with the outdated node list of its configuration. */
    @Test
    void servesOnlyAfterFirstDiscoveryResponse() throws Exception {
        node = closeAfterTest(new Listener());
        discovery = closeAfterTest(new Listener());
        gateway = new Gateway(
                GatewayConfig.parse(Configs.gateway(node.port(), discovery.port()), Map.of()),
                null,
                line -> {},
                () -> {});
        CompletableFuture<List<Integer>> ports = gateway.start();
        Peer agent = closeAfterTest(discovery.accept());
        assertTrue(agent.readMessage().startsWith("GET /v1/endpoints?index=1&wait="));
        whileLoopIsBlocked(() -> {
            assertTrue(!ports.isDone(), "it serves before its agent has answered");
            agent.write(ScriptedPeers.okResponse(
                    "{\"version\":2,\"full\":false,\"servers\":[{\"id\":\"s-00000001\",\"addr\":\"127.0.0.1:"
                            + node.port() + "\",\"zone\":\"a\",\"cell\":3,\"state\":\"draining\",\"started_ms\":0}]}"));
        });
        port = ports.get(20, TimeUnit.SECONDS).get(0);
        assertEquals(
                "503",
                status(client().write(ScriptedPeers.readRequest("tile-read", "t1", 1_000))
                        .readMessage()));
        assertEquals(0, counter("connections.nodes"));
    }

    // ---- Descriptors ----

    /** Guards against idle clients that leave no descriptor for reconnecting to discovery. */
    @Test
    void idleClientsDoNotExhaustDescriptors() throws Exception {
        start(closeAfterTest(LoopbackPeers.storageNode(1)).port(), "\"sockets\":1024", "\"sockets\":128");
        int bound = Descriptors.of(128, 0).clients();
        Peer agent = closeAfterTest(discovery.accept());
        List<Peer> idle = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            Peer client = client();
            idle.add(i % 3 == 0 ? client.write("GET /ti") : client);
            if (i == 150) {
                agent.reset();
            }
        }
        awaitCounter("connections.clients", 300);
        awaitCounter("discovery.failures", 1);
        Peer again = closeAfterTest(discovery.accept());
        again.readMessage();
        again.write(ScriptedPeers.okResponse("{\"version\":2,\"full\":false,\"servers\":[]}"));
        awaitCounter("discovery.answers", 1);
        // Clients with half a request are closed after a second; until then others may be refused.
        String answer = "";
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        for (int i = 0; System.nanoTime() < until && !answer.startsWith("HTTP/1.1 200"); i++) {
            try (Peer prober = Peer.connect(port)) {
                answer = prober.write(ScriptedPeers.readRequest("tile-read", "t" + i, 30_000))
                        .readMessage();
            } catch (IOException e) {
                answer = "";
            }
            assertTrue(
                    answer.isEmpty() || answer.startsWith("HTTP/1.1 200") || answer.startsWith("HTTP/1.1 503"), answer);
        }
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        long left = counter("connections.clients")
                - counter("connections.gave_way")
                - counter("connections.full")
                - counter("connections.closed_at_once");
        assertTrue(left <= bound + petrelstand.http.HttpFront.MAX_CONNECTIONS_OVER_LIMIT, left + " of " + bound);
    }

    // ---- The end of the process ----

    /**
     * Guards against requests of new clients that are read and not answered, or closed unread although idle connections
     * could make room.
     */
    @Test
    void crowdOfIdleConnectionsMakesRoomForNewClientsDuringShutdown() throws Exception {
        closeAfterTest((AutoCloseable) threads::shutdownNow);
        start(closeAfterTest(LoopbackPeers.storageNode(1)).port(), "\"sockets\":1024", "\"sockets\":370");
        int bound = Descriptors.of(370, 0).clients();
        for (int i = 0; i < bound; i++) {
            Peer idle = client();
            if (i % 2 == 0) {
                idle.write(ScriptedPeers.readRequest("tile-read", "idle" + i, 30_000));
                assertEquals("200", status(idle.readMessage()));
            }
        }
        long servedBefore = counter("answered.served");
        gateway.execute(gateway::drain);
        long acceptedUntilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(400);
        List<CompletableFuture<List<String>>> newClients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            int client = i;
            newClients.add(CompletableFuture.supplyAsync(() -> statusesUntil(acceptedUntilNs, client), threads));
        }
        List<String> statuses = new ArrayList<>();
        for (CompletableFuture<List<String>> newClient : newClients) {
            statuses.addAll(newClient.get(20, TimeUnit.SECONDS));
        }
        assertTrue(ended.await(20, TimeUnit.SECONDS));
        Map<String, Long> byStatus =
                statuses.stream().collect(Collectors.groupingBy(each -> each, TreeMap::new, Collectors.counting()));
        System.out.println("new clients during shutdown beside " + bound + " idle connections: " + byStatus);
        assertEquals(byStatus.get("200"), counter("answered.served") - servedBefore, "read and not answered");
        assertEquals(Set.of("200"), byStatus.keySet(), byStatus.toString());
    }

    /** Sends requests on new connections, one after another, and returns the status of each answer. */
    private List<String> statusesUntil(long endNs, int client) {
        List<String> statuses = new ArrayList<>();
        for (int i = 0; System.nanoTime() < endNs; i++) {
            try (Peer peer = Peer.connect(port)) {
                peer.write(ScriptedPeers.readRequest("tile-read", "new" + client + "-" + i, 30_000));
                statuses.add(status(peer.readMessage()));
            } catch (IOException e) {
                statuses.add("reset");
            }
        }
        return statuses;
    }

    /**
     * Guards against connections in the backlog that are lost at the exit: the loop is blocked when listening ends, so
     * that it handles this first.
     */
    @Test
    void answersBackloggedConnectionsBeforeExit() throws Exception {
        start(closeAfterTest(LoopbackPeers.storageNode(1)).port());
        List<Peer> clients = new ArrayList<>();
        gateway.execute(gateway::drain);
        whileLoopIsBlocked(() -> {
            long listened = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(600);
            for (int i = 0; i < 50; i++) {
                clients.add(client().write(ScriptedPeers.readRequest("tile-read", "t" + i, 30_000)));
            }
            // Listening ends by a timer, which must be due.
            TimeUnit.NANOSECONDS.sleep(Math.max(0, listened - System.nanoTime()));
        });
        for (int i = 0; i < clients.size(); i++) {
            String status = status(clients.get(i).readMessage());
            assertTrue(status.equals("200") || status.equals("503"), "client " + i + ": " + status);
        }
        assertTrue(ended.await(20, TimeUnit.SECONDS));
        assertEquals(50, clientsAtEnd.get());
    }
}
