package petrelstand;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.testing.GatewayProcesses;
import petrelstand.testing.LoopbackPeers;

/** Guards against a final answer that comes seconds after its time where a node reads a large request slowly. */
@Timeout(60)
class SlowNodeAnswerTimeProcessTest {
    private static final int BODY_BYTES = 8_000_000;
    private static final int NODE_PIECE_BYTES = 65_536;
    private static final long NODE_PAUSE_MS = 100;
    private static final long REMAINING_MS = 2_500;
    /** Half a second, by the standing test's page, and the 50 ms by which each limit on sockets is longer. */
    private static final long GRACE_MS = 550;

    @TempDir
    Path folder;

    private static void readSlowly(Socket socket, InputStream in, OutputStream out)
            throws IOException, InterruptedException {
        byte[] piece = new byte[NODE_PIECE_BYTES];
        while (in.read(piece) >= 0) {
            Thread.sleep(NODE_PAUSE_MS);
        }
    }

    @Test
    void largeRequestThatItsNodeReadsSlowlyIsAnsweredInTime() throws Exception {
        try (GatewayProcesses gateway = new GatewayProcesses(folder, 5);
                LoopbackPeers.Server node = new LoopbackPeers.Server(SlowNodeAnswerTimeProcessTest::readSlowly)) {
            JsonObject config = gateway.config();
            config.add(
                    "known",
                    JsonParser.parseString("{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"s-00000001\",\"addr\":"
                            + "\"127.0.0.1:" + node.port()
                            + "\",\"zone\":\"a\",\"cell\":0,\"state\":\"up\",\"started_ms\":0}]}"));
            gateway.config(config);
            gateway.start().await("ready: ");
            try (Socket client = new Socket("127.0.0.1", gateway.port())) {
                String head = GatewayProcesses.request("PUT", "survey-write", "", "slow")
                                .replaceFirst("X-Remaining-Ms: \\d+", "X-Remaining-Ms: " + REMAINING_MS)
                        + "Content-Length: " + BODY_BYTES + "\r\n\r\n";
                client.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                client.getOutputStream().write(new byte[BODY_BYTES]);
                long writtenNs = System.nanoTime();
                int first = client.getInputStream().read();
                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - writtenNs);
                assertTrue(first >= 0, "no answer");
                assertTrue(tookMs <= REMAINING_MS + GRACE_MS, "answered " + tookMs + " ms after its last byte");
            }
        }
    }
}
