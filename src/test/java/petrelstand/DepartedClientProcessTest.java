package petrelstand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import petrelstand.testing.GatewayProcesses;
import petrelstand.testing.GatewayProcesses.GatewayProcess;
import petrelstand.testing.LateStorageNode;
import petrelstand.testing.LoopbackPeers.Client;

/**
 * Guards against attempts that begin for clients that have left, where the client's end lies behind input that the
 * gateway has not read. The node's connection comes up late: its listener is full, so Linux repeats the SYN after 1 s.
 */
@Timeout(60)
class DepartedClientProcessTest {
    private static final int BODY_BYTES = 8_000_000;
    /** More than twice of what a connection reads in a turn. */
    private static final int STALLED_INPUT_BYTES = 300_000;

    private static final long LEAVES_AFTER_MS = 80;
    /** The node has room from here on; the SYN that Linux repeats after 1 s comes up. */
    private static final long NODE_ACCEPTS_AFTER_MS = 700;
    /** Until the repeated SYN has come up, with a margin. */
    private static final long OBSERVED_MS = 2_000;

    private static final double CONNECT_TIMEOUT_MS = 2_000;

    @TempDir
    Path folder;

    private GatewayProcesses gateway;
    private GatewayProcess process;
    private LateStorageNode node;

    @BeforeEach
    void start() throws Exception {
        node = new LateStorageNode();
        gateway = new GatewayProcesses(folder, 5);
        JsonObject config = gateway.config();
        config.getAsJsonObject("settings")
                .getAsJsonObject("caps")
                .addProperty("connect_timeout_ms", CONNECT_TIMEOUT_MS);
        config.add(
                "known",
                JsonParser.parseString("{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"s-00000001\",\"addr\":\""
                        + node.address()
                        + "\",\"zone\":\"a\",\"cell\":0,\"state\":\"up\",\"started_ms\":0}]}"));
        gateway.config(config);
        process = gateway.start();
        process.await("ready: ");
    }

    @AfterEach
    void close() throws IOException {
        gateway.close();
        node.close();
    }

    /** The ways in which a body's end is announced. */
    enum Framing {
        LENGTH,
        CHUNKED
    }

    private static String largeWrite(String txn, Framing framing, int bodyBytes) {
        String body = "z".repeat(bodyBytes);
        return GatewayProcesses.request("PUT", "survey-write", "", txn)
                + (framing == Framing.LENGTH
                        ? "Content-Length: " + bodyBytes + "\r\n\r\n" + body
                        : "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(bodyBytes) + "\r\n" + body
                                + "\r\n0\r\n\r\n");
    }

    private SocketChannel connect() throws IOException {
        SocketChannel channel = SocketChannel.open(new InetSocketAddress("127.0.0.1", gateway.port()));
        channel.configureBlocking(false);
        return channel;
    }

    /** Sends as much as the sockets take in {@link #LEAVES_AFTER_MS}, and leaves; returns the number of bytes sent. */
    private static long sendAndLeave(SocketChannel channel, String text, boolean reset)
            throws IOException, InterruptedException {
        ByteBuffer unsent = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
        try (channel) {
            long leavesNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LEAVES_AFTER_MS);
            while (System.nanoTime() < leavesNs) {
                channel.write(unsent);
                Thread.sleep(1);
            }
            if (reset) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
        }
        return unsent.position();
    }

    /** Checks that the node got nothing since the client left, and that a client that stays is served. */
    private void assertNothingSentSince(long leftNs) throws IOException {
        List<String> late = node.received().stream()
                .map(request ->
                        request.txnId() + " " + TimeUnit.NANOSECONDS.toMillis(request.headNs() - leftNs) + " ms after")
                .toList();
        assertEquals(List.of(), late, "attempts that began after their client had left");
        try (Client client = new Client(gateway.port())) {
            assertTrue(GatewayProcesses.read(client, "tile-read", "present").startsWith("200"));
        }
        assertEquals(List.of("present"), node.receivedTxnIds());
        assertTrue(process.process().isAlive());
    }

    @ParameterizedTest
    @CsvSource({"LENGTH, false", "LENGTH, true", "CHUNKED, false", "CHUNKED, true"})
    void bodyOfDepartedClientIsNotSentOverLateConnection(Framing framing, boolean reset) throws Exception {
        long sentBytes = sendAndLeave(connect(), largeWrite("gone", framing, BODY_BYTES), reset);
        long leftNs = System.nanoTime();
        assertTrue(sentBytes > 300_000, "the client could send no more than " + sentBytes + " bytes");
        Thread.sleep(NODE_ACCEPTS_AFTER_MS);
        node.startAccepting();
        Thread.sleep(OBSERVED_MS);
        assertTrue(node.acceptedConnections() > 0, "the gateway's connection did not come up");
        assertNothingSentSince(leftNs);
    }

    /** What the client sends while the process stands still: more than a connection may read in a turn of the loop. */
    enum StalledInput {
        LARGE_WRITE,
        PIPELINED_READS;

        String text() {
            if (this == LARGE_WRITE) {
                return largeWrite("gone", Framing.LENGTH, STALLED_INPUT_BYTES);
            }
            StringBuilder reads = new StringBuilder();
            for (int i = 0; reads.length() < STALLED_INPUT_BYTES; i++) {
                reads.append(GatewayProcesses.request("GET", "tile-read", "", "gone" + i))
                        .append("\r\n");
            }
            return reads.toString();
        }
    }

    @ParameterizedTest
    @CsvSource({"LARGE_WRITE, true", "LARGE_WRITE, false", "PIPELINED_READS, true", "PIPELINED_READS, false"})
    void inputOfClientThatLeftDuringAStallIsNotSent(StalledInput input, boolean openedBefore) throws Exception {
        node.startAccepting();
        SocketChannel opened = openedBefore ? connect() : null;
        Thread.sleep(LEAVES_AFTER_MS);
        process.signal("STOP");
        sendAndLeave(openedBefore ? opened : connect(), input.text(), false);
        long leftNs = System.nanoTime();
        Thread.sleep(NODE_ACCEPTS_AFTER_MS);
        process.signal("CONT");
        Thread.sleep(OBSERVED_MS);
        assertNothingSentSince(leftNs);
    }
}
