import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A storage node restarts and comes back cold, while one volume of its shard is in a surge of writes with bodies over
 * 64 KiB. Counts what all gateways together send to the cold node.
 */
public final class ColdNodeLargeBodies {
    /** Requests a second of the surge, over all gateways: a volume of 'priority' at 6 times its 10 units a second. */
    private static final int REQUESTS_PER_SECOND = 30;

    /** Of them one restarts. */
    private static final int NODES = 10;

    /** The gateways that the volume's requests come through; 'hosts' of the site is 1 to 2. */
    private static final int HOSTS = 2;

    private static final int UNITS = 2;
    private static final int BODY_BYTES = 80 * 1024;
    private static final int SECONDS_BEFORE = 3;
    private static final int SECONDS_COLD = 8;
    /** The work of a request of mean size (2.09 units) is some 60 ms; a warm node has 2 cores with 2 slots each. */
    private static final double WARM_MS_PER_UNIT = 30;

    private static final int DOWN_MS = 700;

    private static final int SLOTS = 2;
    /** Capacity of a cold node as a share of a warm one's; rules.cold_from of the settings. */
    private static final double COLD_FROM = 0.26;

    private static final double FALL_MS = 1500;
    private static final double WARM_UP_MS = 18000;

    public static void main(String[] args) {
        Cluster.run(args, ColdNodeLargeBodies::run);
    }

    private static boolean run(Cluster cluster) throws Exception {
        Recorder record = cluster.record;
        int bodyBytes = Integer.getInteger("bodyBytes", BODY_BYTES);
        List<StorageNode> nodes = new ArrayList<>();
        for (int shard = 0; shard < NODES; shard++) {
            StorageNode node = new StorageNode("s-0000000" + shard, record, SLOTS, WARM_MS_PER_UNIT);
            nodes.add(node);
            cluster.discovery.put("s-0000000" + shard, node.address(), shard, "up", 0);
        }
        cluster.startGateways(Map.of());
        Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
        Thread load = Threads.start("load", () -> load(cluster, statuses, bodyBytes));
        Threads.sleep(SECONDS_BEFORE * 1000);
        StorageNode cold = null;
        double startedMs = 0;
        if (cluster.trouble) {
            // The process dies: its connections are reset and new ones refused. Then it starts again, cold.
            nodes.get(0).kill();
            Threads.sleep(DOWN_MS);
            cold = new StorageNode("s-00000000", record, SLOTS, WARM_MS_PER_UNIT / COLD_FROM);
            startedMs = record.now();
            cluster.discovery.put("s-00000000", cold.address(), 0, "up", System.currentTimeMillis());
            StorageNode watched = cold;
            double watchedFromMs = startedMs;
            Threads.start("fall", () -> fallIfOverloaded(cluster, watched, watchedFromMs));
        }
        load.join();
        record.result("answers to the surge by status: " + statuses);
        return cluster.trouble && falls(cluster, cold, startedMs);
    }

    /** Sends the surge through the volume's gateways by turns, on kept connections. */
    private static void load(Cluster cluster, Map<Integer, Integer> statuses, int bodyBytes) {
        ClientPool pool = new ClientPool(cluster, statuses);
        int count = REQUESTS_PER_SECOND * (SECONDS_BEFORE + SECONDS_COLD);
        double startMs = cluster.record.now();
        for (int i = 0; i < count; i++) {
            Threads.sleep(Math.max(0, startMs + i * 1000.0 / REQUESTS_PER_SECOND - cluster.record.now()));
            String txn = Client.newTxn();
            pool.send(i % HOSTS, txn, Client.request("PUT", "survey-write", txn, 0, UNITS, 2500,
                    HOSTS, bodyBytes));
        }
        Threads.sleep(3000);
    }

    /** A cold node that gets more than it bears falls over and stays down. */
    private static void fallIfOverloaded(Cluster cluster, StorageNode cold, double startedMs) throws IOException {
        while (worst(cluster, cold.arrivals(), startedMs) <= 1) {
            Threads.sleep(20);
        }
        cluster.record.result(String.format(
                "the cold node FALLS OVER %.0f ms after its start, with %d requests that it has not answered",
                cluster.record.now() - startedMs, cold.unanswered()));
        cold.kill();
    }

    private static boolean falls(Cluster cluster, StorageNode cold, double startedMs) {
        List<StorageNode.Arrival> arrivals = cold.arrivals();
        double worst = worst(cluster, arrivals, startedMs);
        cluster.record.result(String.format(
                "the cold node got %d requests; at worst %.2f times the number at which it falls", arrivals.size(), worst));
        return worst > 1;
    }

    /**
     * The rule: a cold node falls at more than N + 3 x root of N + 3 requests of mean work (N + 2 x root of N + 2 from N
     * = 30 on) within the time that the settings name. Returns the largest part of that number in any such time.
     */
    private static double worst(Cluster cluster, List<StorageNode.Arrival> arrivals, double startedMs) {
        double worst = 0;
        for (int last = 0; last < arrivals.size(); last++) {
            double endMs = arrivals.get(last).lastByteMs();
            double units = 0;
            for (int i = last; i >= 0 && arrivals.get(i).lastByteMs() > endMs - FALL_MS; i--) {
                units += arrivals.get(i).units();
            }
            double requests = units / cluster.settings.unitMean;
            // What the settings allow at the end of the window, when the node is warmest, by the slowest warm-up.
            double fraction = COLD_FROM + (1 - COLD_FROM) * Math.min(1, (endMs - startedMs) / WARM_UP_MS);
            double allowed = cluster.settings.coldUnits / cluster.settings.unitMean * fraction / COLD_FROM;
            double bound =
                    allowed < 30 ? allowed + 3 * Math.sqrt(allowed) + 3 : allowed + 2 * Math.sqrt(allowed) + 2;
            worst = Math.max(worst, requests / bound);
        }
        return worst;
    }
}
