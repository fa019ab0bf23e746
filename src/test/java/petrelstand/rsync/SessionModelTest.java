package petrelstand.rsync;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import petrelstand.config.RsyncConfig;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.net.MemoryEndPoint;
import petrelstand.testing.BrokerFixture;
import petrelstand.testing.Configs;

/** Runs sessions on in-memory connections: a client and a daemon script, sent in chunks and cut at random. */
class SessionModelTest {
    private static final String ACCEPTED_COUNTER = "taken.bulk-export";
    private final BrokerFixture harness = new BrokerFixture();
    private final RsyncConfig config = Configs.load(
                    Configs.operator(2000), Configs.xds(Map.of(8731, "HEALTHY")), harness.settings)
            .rsync();
    private final RsyncFront front = new RsyncFront(
            harness.broker(new RsyncNodeTransport(harness::dial, () -> harness.nowUs, harness.timers, 250)),
            harness.timers,
            config,
            harness.log::add);
    private final MemoryEndPoint client;
    private final StringBuilder clientReceived = new StringBuilder();
    private final StringBuilder nodeReceived = new StringBuilder();
    private String clientScript =
            "@RSYNCD: 31.0\ncharts\n" + GoldenTransfers.PULL_ARGUMENTS + text(GoldenTransfers.pullFromClient());
    private String nodeScript = "@RSYNCD: 31.0\n@RSYNCD: OK\n" + text(GoldenTransfers.pullFromNode());
    private MemoryEndPoint node;
    private int connectionCount;

    SessionModelTest() {
        config.nodes().forEach(listed -> assertTrue(listed.isPrivate()));
        harness.setNodes(config.nodes().toArray(petrelstand.core.Node[]::new));
        client = MemoryEndPoint.open(front::accept);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private void clientSends(int size) {
        int count = Math.min(size, clientScript.length());
        client.sendBytes(clientScript.substring(0, count).getBytes(StandardCharsets.ISO_8859_1));
        clientScript = clientScript.substring(count);
    }

    private void nodeSends(int size) {
        if (node == null && !harness.dials.isEmpty()) {
            node = harness.connectLast();
            connectionCount++;
        }
        if (node != null) {
            int count = Math.min(size, nodeScript.length());
            node.sendBytes(nodeScript.substring(0, count).getBytes(StandardCharsets.ISO_8859_1));
            nodeScript = nodeScript.substring(count);
        }
    }

    private void collect() {
        clientReceived.append(client.takeReceived());
        if (node != null) {
            nodeReceived.append(node.takeReceived());
        }
    }

    private long count(String name) {
        return harness.counters.get(name);
    }

    /** Guards against a transfer that is begun at its daemon for a client that left behind lines that were not read. */
    @Test
    void transferOfClientThatLeftBehindItsArgumentsIsNotBegun() {
        client.send("@RSYNCD: 31.0\ncharts\n" + GoldenTransfers.PULL_ARGUMENTS);
        client.sendEof();
        harness.advance(200_000);
        node = harness.connectLast();
        assertEquals("", node.takeReceived(), "sent to the daemon");
        assertEquals(0, harness.broker.openRequests());
    }

    /** Guards against a transfer that is begun at a daemon that drained while its connection came up. */
    @Test
    void transferIsNotBegunAtADaemonThatDrainsMeanwhile() {
        client.send("@RSYNCD: 31.0\ncharts\n");
        for (petrelstand.core.Node listed : config.nodes()) {
            harness.broker.updateNodes(NodeListKind.CHANGES, List.of(listed.withState(NodeState.DRAINING)));
        }
        node = harness.connectLast();
        assertEquals("", node.takeReceived(), "sent to the daemon");
    }

    /** Each request ends once, no session stays open, and a served transfer was relayed complete and unchanged. */
    @Property(tries = 500, seed = "20261205")
    void endsOnceAndIsServedOnlyIfRelayedUnchanged(
            @ForAll @Size(max = 60) List<@IntRange(max = 15) Integer> steps,
            @ForAll @IntRange(min = 20, max = 200) int size) {
        SessionModelTest test = new SessionModelTest();
        boolean cut = false;
        for (int step : steps) {
            switch (step) {
                case 0 -> {
                    if (!cut && test.client.isOpen()) {
                        test.client.sendEof();
                    }
                    cut = true;
                }
                case 1 -> {
                    if (!cut && test.node != null && test.node.isOpen()) {
                        test.node.sendEof();
                        cut = true;
                    }
                }
                case 2 -> test.harness.advance(150_000);
                default -> {
                    if (step % 2 == 0 && !cut) {
                        test.clientSends(size);
                    } else if (!cut) {
                        test.nodeSends(size);
                    }
                }
            }
            test.collect();
        }
        test.harness.advance(12_000_000);
        test.collect();
        assertEquals(0, test.harness.broker.openRequests());
        assertEquals(0, test.front.sessionCount());
        assertEquals(
                test.count(ACCEPTED_COUNTER),
                test.count("answered.served")
                        + test.count("answered.refused")
                        + test.count("answered.failed")
                        + test.count("answered.cut")
                        + test.count("client_gone"));
        boolean served = test.count("answered.served") == 1;
        assertEquals(
                served,
                test.clientScript.isEmpty()
                        && test.nodeScript.isEmpty()
                        && test.connectionCount == 1
                        && test.clientReceived
                                .toString()
                                .equals("@RSYNCD: 29.0\n@RSYNCD: OK\n" + text(GoldenTransfers.pullFromNode()))
                        && test.nodeReceived
                                .toString()
                                .equals("@RSYNCD: 29.0\ncharts\n" + GoldenTransfers.PULL_ARGUMENTS
                                        + text(GoldenTransfers.pullFromClient())));
    }

    @Test
    void servesCompleteTransferWhenNothingIsCut() {
        for (int i = 0; i < 40; i++) {
            clientSends(50);
            nodeSends(50);
        }
        assertEquals(1, count("answered.served"));
    }

    @Test
    void silentDaemonCountsAsNotConnected() {
        clientSends(22);
        harness.connectLast();
        harness.advance(1_000_000);
        assertEquals(1, count("outcome.not_connected"));
    }

    /** A daemon that closed before it got the arguments has run nothing, so another attempt is allowed. */
    @Test
    void retriesOnNewConnectionIfDaemonClosesBeforeArguments() {
        clientSends(22);
        nodeSends(26);
        node.sendEof();
        node = null;
        nodeScript = "@RSYNCD: 31.0\n@RSYNCD: OK\n" + text(GoldenTransfers.pullFromNode());
        harness.advance(400_000);
        for (int i = 0; i < 40; i++) {
            clientSends(50);
            nodeSends(50);
        }
        assertEquals(2, connectionCount);
        assertEquals(1, count("answered.served"));
    }

    @Test
    void cutsTransferOnceAtDeadlineAndClosesNodeConnection() {
        clientSends(22 + GoldenTransfers.PULL_ARGUMENTS.length());
        nodeSends(26);
        for (int i = 0; i < 60; i++) {
            harness.advance(100_000);
            nodeSends(1);
        }
        assertEquals(1, count("answered.cut"));
        assertEquals(1, count("outcome.timed_out"));
        assertTrue(!node.isOpen());
    }
}
