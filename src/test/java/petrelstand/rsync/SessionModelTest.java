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
import petrelstand.net.MemoryEndPoint;
import petrelstand.testing.Configs;
import petrelstand.testing.BrokerFixture;

/** Sessions on connections in memory, against a model: two scripts, each sent in pieces, each perhaps cut. */
class SessionModelTest {
    private static final String TAKEN = "taken.bulk-export";
    private final BrokerFixture world = new BrokerFixture();
    private final RsyncConfig config = Configs.load(
                    Configs.operator(2000), Configs.xds(Map.of(8731, "HEALTHY")), world.settings)
            .rsync();
    private final RsyncFront front = new RsyncFront(
            world.broker(new RsyncNodeTransport(world::dial, () -> world.nowUs, world.timers, 250)),
            world.timers,
            config,
            world.log::add);
    private final MemoryEndPoint client;
    private final StringBuilder clientGot = new StringBuilder();
    private final StringBuilder nodeGot = new StringBuilder();
    private String clientScript = "@RSYNCD: 31.0\ncharts\n" + GoldenTransfers.PULL_ARGUMENTS + text(GoldenTransfers.pullFromClient());
    private String nodeScript = "@RSYNCD: 31.0\n@RSYNCD: OK\n" + text(GoldenTransfers.pullFromNode());
    private MemoryEndPoint node;
    private int dials;

    SessionModelTest() {
        config.nodes().forEach(listed -> assertTrue(listed.isPrivate()));
        world.setNodes(config.nodes().toArray(petrelstand.core.Node[]::new));
        client = MemoryEndPoint.open(front::accept);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private void clientSends(int size) {
        int now = Math.min(size, clientScript.length());
        client.sendBytes(clientScript.substring(0, now).getBytes(StandardCharsets.ISO_8859_1));
        clientScript = clientScript.substring(now);
    }

    private void nodeSends(int size) {
        if (node == null && !world.dials.isEmpty()) {
            node = world.connectLast();
            dials++;
        }
        if (node != null) {
            int now = Math.min(size, nodeScript.length());
            node.sendBytes(nodeScript.substring(0, now).getBytes(StandardCharsets.ISO_8859_1));
            nodeScript = nodeScript.substring(now);
        }
    }

    private void collect() {
        clientGot.append(client.takeReceived());
        if (node != null) {
            nodeGot.append(node.takeReceived());
        }
    }

    private long count(String name) {
        return world.counters.get(name);
    }

    /** Each request ends once, nothing stays open, and what is called served has passed whole and unchanged. */
    @Property(tries = 500, seed = "20261205")
    void aTransferEndsOnceAndIsServedOnlyWhole(
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
                case 2 -> test.world.advance(150_000);
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
        test.world.advance(12_000_000);
        test.collect();
        assertEquals(0, test.world.broker.openRequests());
        assertEquals(0, test.front.sessionCount());
        assertEquals(
                test.count(TAKEN),
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
                        && test.dials == 1
                        && test.clientGot.toString().equals("@RSYNCD: 29.0\n@RSYNCD: OK\n" + text(GoldenTransfers.pullFromNode()))
                        && test.nodeGot
                                .toString()
                                .equals("@RSYNCD: 29.0\ncharts\n" + GoldenTransfers.PULL_ARGUMENTS + text(GoldenTransfers.pullFromClient())));
    }

    @Test
    void theModelsScriptsAreServedWhereNothingIsCut() {
        for (int i = 0; i < 40; i++) {
            clientSends(50);
            nodeSends(50);
        }
        assertEquals(1, count("answered.served"));
    }

    @Test
    void aDaemonThatAcceptsAndSaysNothingIsNotConnected() {
        clientSends(22);
        world.connectLast();
        world.advance(1_000_000);
        assertEquals(1, count("outcome.not_connected"));
    }

    /** Nothing has run at a node that died before it had the arguments: another attempt may open the module. */
    @Test
    void aDaemonThatDiesBeforeTheArgumentsIsReplacedUnseen() {
        clientSends(22);
        nodeSends(26);
        node.sendEof();
        node = null;
        nodeScript = "@RSYNCD: 31.0\n@RSYNCD: OK\n" + text(GoldenTransfers.pullFromNode());
        world.advance(400_000);
        for (int i = 0; i < 40; i++) {
            clientSends(50);
            nodeSends(50);
        }
        assertEquals(2, dials);
        assertEquals(1, count("answered.served"));
    }

    @Test
    void aTransferPastItsDeadlineIsCutOnceAndItsNodeLetGo() {
        clientSends(22 + GoldenTransfers.PULL_ARGUMENTS.length());
        nodeSends(26);
        for (int i = 0; i < 60; i++) {
            world.advance(100_000);
            nodeSends(1);
        }
        assertEquals(1, count("answered.cut"));
        assertEquals(1, count("outcome.timed_out"));
        assertTrue(!node.isOpen());
    }
}
