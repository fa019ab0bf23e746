import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Some hundred bad clients connect, send a head of short lines that doesn't end, stop in the middle of it and stay.
 * Beside them usual clients send their reads. The gateway must not crash.
 */
public final class StoppedHeads {
    private static final int BAD_CLIENTS = 400;
    /** Under the 8 KiB at which the gateway turns a head away. */
    private static final int HEAD_BYTES = 8000;

    private static final int REQUESTS_PER_SECOND = 20;
    private static final int SECONDS = 12;
    private static final int BAD_CLIENTS_COME_AFTER = 2 * REQUESTS_PER_SECOND;
    /** How long a bad client waits at most for what it is owed. */
    private static final int BAD_CLIENT_WAITS_MS = 8000;

    public static void main(String[] args) {
        Cluster.run(args, StoppedHeads::run);
    }

    private static boolean run(Cluster cluster) throws Exception {
        Recorder record = cluster.record;
        cluster.settings.gateways = 1;
        for (int shard = 0; shard < 4; shard++) {
            StorageNode node = new StorageNode("s-0000000" + shard, record, 8, 20);
            cluster.discovery.put("s-0000000" + shard, node.address(), shard, "up", 0);
        }
        cluster.startGateways(Map.of());
        GatewayProcess gateway = cluster.gateways.get(0);
        Map<Integer, Integer> usual = new ConcurrentHashMap<>();
        Map<Integer, Integer> bad = new ConcurrentHashMap<>();
        ClientPool pool = new ClientPool(cluster, usual);
        double startMs = record.now();
        for (int i = 0; i < REQUESTS_PER_SECOND * SECONDS && gateway.isAlive(); i++) {
            Threads.sleep(Math.max(0, startMs + i * 1000.0 / REQUESTS_PER_SECOND - record.now()));
            if (i == BAD_CLIENTS_COME_AFTER && cluster.trouble) {
                record.line(BAD_CLIENTS + " bad clients come");
                for (int k = 0; k < BAD_CLIENTS; k++) {
                    Threads.start("bad client", () -> sendHeadWithoutEnd(cluster, bad));
                }
            }
            String txn = Client.newTxn();
            pool.send(0, txn, Client.request("GET", "tile-read", txn, i % 4, 1, 1500, 1, 0));
            if (i % REQUESTS_PER_SECOND == 0) {
                record.line("answers to usual clients by status " + new TreeMap<>(usual) + ", memory of the gateway "
                        + gateway.memory());
            }
        }
        Threads.sleep(2000);
        boolean crashed = !gateway.isAlive();
        record.result("answers to usual clients by status (0: none) " + new TreeMap<>(usual)
                + ", to bad clients (0: a close or a reset) " + new TreeMap<>(bad)
                + (crashed ? "; the gateway has CRASHED with status " + gateway.exitCode() : ""));
        return crashed || usual.containsKey(0);
    }

    private static void sendHeadWithoutEnd(Cluster cluster, Map<Integer, Integer> statuses) {
        StringBuilder head = new StringBuilder("GET /tile-read/00000003b4d60020/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\n");
        while (head.length() < HEAD_BYTES) {
            head.append("a:b\r\n");
        }
        int status = 0;
        try (Client client = new Client(cluster.gateways.get(0).port())) {
            client.setTimeout(BAD_CLIENT_WAITS_MS);
            client.send(head.toString().getBytes(StandardCharsets.US_ASCII));
            Message answer = client.read();
            status = answer == null ? 0 : answer.status();
        } catch (IOException e) {
            cluster.record.line("a bad client: " + e);
        }
        statuses.merge(status, 1, Integer::sum);
    }
}
