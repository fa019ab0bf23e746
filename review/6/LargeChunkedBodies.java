import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * Usual clients send writes in chunks, with bodies of 100 KB, to a gateway whose storage nodes are all sound and fast.
 * The gateway must not crash, and each request must get its final answer.
 */
public final class LargeChunkedBodies {
    private static final int SHARDS = 8;
    private static final int REQUESTS_PER_SECOND = 120;
    private static final int SECONDS = 25;
    private static final int LARGE_BODY_BYTES = 100_000;
    private static final int SMALL_BODY_BYTES = 60_000;
    private static final int CHUNK_BYTES = 8 * 1024;
    private static final double WORK_MS = 20;

    public static void main(String[] args) {
        Cluster.run(args, LargeChunkedBodies::run);
    }

    private static boolean run(Cluster cluster) throws Exception {
        Recorder record = cluster.record;
        cluster.settings.gateways = 1;
        for (int shard = 0; shard < SHARDS; shard++) {
            StorageNode node = new StorageNode("s-0000000" + shard, record, 8, WORK_MS);
            cluster.discovery.put("s-0000000" + shard, node.address(), shard, "up", 0);
        }
        cluster.startGateways(Map.of());
        GatewayProcess gateway = cluster.gateways.get(0);
        Map<Integer, Integer> statuses = new java.util.concurrent.ConcurrentHashMap<>();
        ClientPool pool = new ClientPool(cluster, statuses);
        int bodyBytes = cluster.trouble ? LARGE_BODY_BYTES : SMALL_BODY_BYTES;
        double startMs = record.now();
        int sent = 0;
        for (; sent < REQUESTS_PER_SECOND * SECONDS && gateway.isAlive(); sent++) {
            Threads.sleep(Math.max(0, startMs + sent * 1000.0 / REQUESTS_PER_SECOND - record.now()));
            String txn = Client.newTxn();
            pool.send(0, txn, chunkedWrite(txn, sent % SHARDS, bodyBytes));
            if (sent % REQUESTS_PER_SECOND == 0) {
                record.line("sent " + sent + ", answers by status " + new TreeMap<>(statuses) + ", memory of the gateway "
                        + gateway.memory());
            }
        }
        Threads.sleep(3000);
        boolean crashed = !gateway.isAlive();
        record.result("sent " + sent + " writes of " + bodyBytes + " bytes, " + REQUESTS_PER_SECOND
                + " a second; answers by status (0: none) " + new TreeMap<>(statuses)
                + (crashed ? "; the gateway has CRASHED with status " + gateway.exitCode() : ""));
        return crashed || statuses.containsKey(0);
    }

    private static byte[] chunkedWrite(String txn, int shard, int bodyBytes) throws IOException {
        byte[] plain = Client.request("PUT", "survey-write", txn, shard, 1, 2500, 1, bodyBytes);
        int headBytes = plain.length - bodyBytes;
        String head = new String(plain, 0, headBytes, StandardCharsets.US_ASCII)
                .replace("Content-Length: " + bodyBytes, "Transfer-Encoding: chunked");
        ByteArrayOutputStream chunked = new ByteArrayOutputStream();
        chunked.write(head.getBytes(StandardCharsets.US_ASCII));
        for (int at = 0; at < bodyBytes; at += CHUNK_BYTES) {
            int length = Math.min(CHUNK_BYTES, bodyBytes - at);
            chunked.write((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            chunked.write(plain, headBytes + at, length);
            chunked.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        chunked.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return chunked.toByteArray();
    }
}
