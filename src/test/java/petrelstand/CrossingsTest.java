package petrelstand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import petrelstand.config.GatewayConfig;
import petrelstand.testing.Configs;
import petrelstand.testing.Peers;
import petrelstand.testing.Peers.Door;
import petrelstand.testing.Peers.Peer;
import petrelstand.testing.StandIns;

/** Pairs of events that cross on a gateway's connections, each forced on real sockets (docs/design/crossings.md). */
@Timeout(60)
class CrossingsTest extends GatewayTests {
    private final CountDownLatch ended = new CountDownLatch(1);
    private final AtomicLong clientsAtEnd = new AtomicLong(-1);
    private Door node;
    private Door discovery;
    private int port;

    /** A gateway before one node, with times so long that a slow machine decides nothing. */
    private void start(String... replaced) throws Exception {
        start(opened(new Door()), replaced);
    }

    private void start(Door door, String... replaced) throws Exception {
        node = door;
        start(door.port(), replaced);
    }

    private void start(int nodePort, String... replaced) throws Exception {
        discovery = opened(new Door());
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
        return opened(Peer.to(port));
    }

    private Peer taken() throws IOException {
        return opened(node.take());
    }

    /** The gateway's next connection to the node, once its request is read. */
    private Peer asked() throws IOException {
        Peer peer = taken();
        peer.message();
        return peer;
    }

    private interface Act {
        void run() throws Exception;
    }

    /** Does something while the gateway's loop stands still: what comes of it meets the loop in one turn. */
    private void whileTheLoopStandsStill(Act act) throws Exception {
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch goesOn = new CountDownLatch(1);
        gateway.execute(() -> {
            stands.countDown();
            try {
                assertTrue(goesOn.await(20, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertTrue(stands.await(20, TimeUnit.SECONDS));
        try {
            act.run();
        } finally {
            goesOn.countDown();
        }
    }

    private static String status(String answer) {
        return answer.isEmpty() ? "closed" : answer.substring(9, 12);
    }

    // ---- Answers that end, and answers that are cut ----

    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf a tile";

    @Test
    void anAnswerWithoutALengthIsWholeWhereItsConnectionEnds() throws Exception {
        start();
        Peer client = client().write(Peers.read("tile-read", "t1", 30_000));
        Peer first = asked();
        first.write(UNFRAMED).end();
        assertTrue(client.message().endsWith("half a tile"));
    }

    @Test
    void anAnswerWithoutALengthThatIsResetIsNotServedButTriedAgain() throws Exception {
        start();
        Peer client = client().write(Peers.read("tile-read", "t1", 30_000));
        Peer first = asked();
        whileTheLoopStandsStill(() -> first.write(UNFRAMED).reset());
        Peer second = asked();
        second.write(Peers.served("whole"));
        String answer = client.message();
        assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("whole"), answer);
        awaitCount("outcome.reset", 1);
    }

    @Test
    void aResetBehindAWholeAnswerTakesNothingFromIt() throws Exception {
        start();
        Peer client = client().write(Peers.read("tile-read", "t1", 30_000));
        Peer first = asked();
        whileTheLoopStandsStill(() -> first.write(Peers.served("whole")).reset());
        assertTrue(client.message().endsWith("whole"));
        awaitCount("outcome.served", 1);
        assertEquals(0, count("outcome.reset"));
    }

    @Test
    void aResetBeforeAndWithinTheHeadIsAReset() throws Exception {
        start();
        Peer client = client().write(Peers.read("tile-read", "t1", 30_000));
        Peer first = asked();
        first.reset();
        Peer second = asked();
        second.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nConte");
        second.reset();
        Peer third = asked();
        third.write("HTTP/1.1 103 Early Hints\r\n\r\n" + Peers.served("whole"));
        assertTrue(client.message().endsWith("whole"));
        awaitCount("outcome.reset", 2);
    }

    // ---- Connections that come up late ----

    /**
     * A gateway before a node whose backlog is full: what is dialed comes up when the test has taken what is before it.
     */
    private void startBeforeAFullNode(String... replaced) throws Exception {
        Door full = opened(new Door(1));
        for (int i = 0; i < 2; i++) {
            opened(Peer.to(full.port()));
        }
        start(full, replaced);
    }

    /** The gateway's connection, after those that stood before it. */
    private Peer takenBehindTheFillers() throws IOException {
        taken();
        taken();
        return taken();
    }

    /** Guards against an attempt that begins after its client left, where settings forbid to cancel what is out. */
    @Test
    void aConnectionThatComesUpAfterTheClientLeftCarriesOnlyTheNextRequest() throws Exception {
        startBeforeAFullNode("\"cancel\":true", "\"cancel\":false");
        Peer client = client().write(Peers.read("tile-read", "t1", 30_000));
        awaitCount("connections.nodes", 1);
        client.reset();
        awaitCount("client_gone", 1);
        Peer late = takenBehindTheFillers();
        awaitCount("outcome.cancelled", 1);
        client().write(Peers.read("tile-read", "t2", 30_000));
        assertTrue(late.message().contains("X-Txn: t2\r\n"));
        late.write(Peers.served("two"));
    }

    /** Guards against an end that lies behind more bytes than are read while a request waits. */
    @Test
    void aClientThatSendsMuchAndGoesIsSeenToGo() throws Exception {
        startBeforeAFullNode();
        for (int bytes : new int[] {0, 6_000, 100_000}) {
            long gone = count("client_gone");
            Peer client = client().write(Peers.read("tile-read", "t" + bytes, 30_000));
            client.write("x".repeat(bytes));
            client.close();
            awaitCount("client_gone", gone + 1);
        }
        for (int bytes : new int[] {0, 30_000, 100_000}) {
            long gone = count("client_gone");
            Peer client = client().write(Peers.head("PUT", "survey-write", "w" + bytes, 30_000)
                    + "Content-Length: 900000\r\n\r\n" + "x".repeat(20_000));
            client.write("x".repeat(bytes));
            client.close();
            awaitCount("client_gone", gone + 1);
        }
    }

    // ---- The first list ----

    /**
     * Guards against a process that serves by the list in its file while its agent has a newer one, which counts as
     * told from the first moment: on a large day five restarted gateways sent to nodes that had begun to drain before
     * they started.
     */
    @Test
    void aProcessThatStartsServesWhenItHasTheListAsItIsNow() throws Exception {
        node = opened(new Door());
        discovery = opened(new Door());
        gateway = new Gateway(
                GatewayConfig.parse(Configs.gateway(node.port(), discovery.port()), Map.of()),
                null,
                line -> {},
                () -> {});
        CompletableFuture<List<Integer>> ports = gateway.start();
        Peer agent = opened(discovery.take());
        assertTrue(agent.message().startsWith("GET /v1/endpoints?index=1&wait="));
        whileTheLoopStandsStill(() -> {
            assertTrue(!ports.isDone(), "it serves before its agent has answered");
            agent.write(Peers.served(
                    "{\"version\":2,\"full\":false,\"servers\":[{\"id\":\"s-00000001\",\"addr\":\"127.0.0.1:"
                            + node.port() + "\",\"zone\":\"a\",\"cell\":3,\"state\":\"draining\",\"started_ms\":0}]}"));
        });
        port = ports.get(20, TimeUnit.SECONDS).get(0);
        assertEquals(
                "503",
                status(client().write(Peers.read("tile-read", "t1", 1_000)).message()));
        assertEquals(0, count("connections.nodes"));
    }

    // ---- Descriptors ----

    // ---- Descriptors ----

    /** Idle clients may come in any number, also in the moments in which discovery must be dialed anew. */
    @Test
    void idleClientsLeaveDiscoveryAndTheNodesTheirDescriptors() throws Exception {
        start(opened(StandIns.storageNode(1)).port(), "\"sockets\":1024", "\"sockets\":128");
        int bound = Descriptors.of(128, 0).clients();
        Peer agent = opened(discovery.take());
        List<Peer> idle = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            Peer client = client();
            idle.add(i % 3 == 0 ? client.write("GET /ti") : client);
            if (i == 150) {
                agent.reset();
            }
        }
        awaitCount("connections.clients", 300);
        awaitCount("discovery.failures", 1);
        Peer again = opened(discovery.take());
        again.message();
        again.write(Peers.served("{\"version\":2,\"full\":false,\"servers\":[]}"));
        awaitCount("discovery.answers", 1);
        // Half a request has its second; whoever comes meanwhile may be told to come again.
        String answer = "";
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        for (int i = 0; System.nanoTime() < until && !answer.startsWith("HTTP/1.1 200"); i++) {
            try (Peer asks = Peer.to(port)) {
                answer = asks.write(Peers.read("tile-read", "t" + i, 30_000)).message();
            } catch (IOException e) {
                answer = "";
            }
            assertTrue(
                    answer.isEmpty() || answer.startsWith("HTTP/1.1 200") || answer.startsWith("HTTP/1.1 503"), answer);
        }
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        long left = count("connections.clients")
                - count("connections.gave_way")
                - count("connections.full")
                - count("connections.closed_at_once");
        assertTrue(left <= bound + petrelstand.http.HttpFront.MAX_CONNECTIONS_OVER_LIMIT, left + " of " + bound);
    }

    // ---- The end of the process ----

    /**
     * Guards against connections that the system has accepted and the program has not: the loop stands still over the
     * end of listening, so that this is the first thing it does, and the process would end with nothing to wait for.
     */
    @Test
    void whatLiesInTheBacklogAtTheEndOfListeningIsTakenBeforeTheProcessEnds() throws Exception {
        start(opened(StandIns.storageNode(1)).port());
        List<Peer> clients = new ArrayList<>();
        gateway.execute(gateway::drain);
        whileTheLoopStandsStill(() -> {
            long listened = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(600);
            for (int i = 0; i < 50; i++) {
                clients.add(client().write(Peers.read("tile-read", "t" + i, 30_000)));
            }
            // The end of listening is a time, not an order: it has to be over.
            TimeUnit.NANOSECONDS.sleep(Math.max(0, listened - System.nanoTime()));
        });
        for (int i = 0; i < clients.size(); i++) {
            String status = status(clients.get(i).message());
            assertTrue(status.equals("200") || status.equals("503"), "client " + i + ": " + status);
        }
        assertTrue(ended.await(20, TimeUnit.SECONDS));
        assertEquals(50, clientsAtEnd.get());
    }
}
