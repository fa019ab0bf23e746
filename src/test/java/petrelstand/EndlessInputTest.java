package petrelstand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import petrelstand.config.GatewayConfig;
import petrelstand.rsync.GoldenTransfers;
import petrelstand.testing.Configs;
import petrelstand.testing.LoopbackPeers;
import petrelstand.testing.LoopbackPeers.Client;
import petrelstand.testing.LoopbackPeers.Server;

/** One peer sends without end and as fast as it is read, while the requests of other clients must be answered. */
@Timeout(60)
class EndlessInputTest extends GatewayTestBase {
    private static final int OTHER_REQUESTS = 40;
    /** What the endless peer must have sent when the others have been answered, so that it has not stopped. */
    private static final long MIN_ENDLESS_BYTES = 1 << 20;

    private final AtomicLong endlessBytes = new AtomicLong();

    private List<Integer> start(Server daemon) throws Exception {
        Server node = closeAfterTest(LoopbackPeers.storageNode(
                2, request -> request.startsWith("GET /bulk-export/"), this::answerWithoutEnd));
        GatewayConfig config = GatewayConfig.parse(
                Configs.gateway(
                        node.port(),
                        closeAfterTest(LoopbackPeers.silentServer()).port()),
                Map.of());
        gateway = new Gateway(
                config,
                Configs.load(
                        Configs.operator(10_000), Configs.xds(Map.of(daemon.port(), "HEALTHY")), config.settings()),
                line -> {},
                () -> {});
        return gateway.start().get(20, TimeUnit.SECONDS);
    }

    private void answerWithoutEnd(OutputStream out) throws IOException {
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        byte[] chunks = ("400\r\n" + "x".repeat(0x400) + "\r\n").repeat(64).getBytes(StandardCharsets.US_ASCII);
        while (true) {
            out.write(chunks);
            endlessBytes.addAndGet(chunks.length);
        }
    }

    /** Reads and discards a client's input as fast as it comes. */
    private static void discard(InputStream input) {
        Thread reader = new Thread(() -> {
            byte[] buffer = new byte[1 << 16];
            try {
                while (input.read(buffer) >= 0) {
                    // Nothing is kept.
                }
            } catch (IOException e) {
                // The test closed the connection.
            }
        });
        reader.setDaemon(true);
        reader.start();
    }

    /** Each request must be answered within its deadline of 1.5 s, else the answer is 504. */
    private void assertOtherRequestsAreServed(int port) throws Exception {
        awaitTrue(() -> endlessBytes.get() > 0);
        Client client = closeAfterTest(new Client(port));
        for (int i = 0; i < OTHER_REQUESTS; i++) {
            assertEquals("200 node:t" + i, client.get("tile-read", "t" + i));
        }
        awaitTrue(() -> endlessBytes.get() > MIN_ENDLESS_BYTES);
        assertTrue(endlessBytes.get() > MIN_ENDLESS_BYTES, endlessBytes + " bytes");
    }

    /** Guards against an endless answer of a node that keeps the loop from every other connection. */
    @Test
    void endlessAnswerDelaysNoOtherRequest() throws Exception {
        int port = start(closeAfterTest(LoopbackPeers.silentServer())).get(0);
        Client export = closeAfterTest(new Client(port));
        export.requestRead("bulk-export", "endless");
        discard(export.in);
        assertOtherRequestsAreServed(port);
    }

    /** Guards against an endless transfer of an rsync daemon that keeps the loop from every other connection. */
    @Test
    void endlessTransferDelaysNoOtherRequest() throws Exception {
        List<Integer> ports =
                start(closeAfterTest(LoopbackPeers.endlessDaemon(GoldenTransfers.pullWithEndlessFile(), endlessBytes)));
        Client transfer = closeAfterTest(new Client(ports.get(1)));
        transfer.requestModule("charts");
        transfer.send(GoldenTransfers.PULL_ARGUMENTS);
        discard(transfer.in);
        assertOtherRequestsAreServed(ports.get(0));
    }
}
