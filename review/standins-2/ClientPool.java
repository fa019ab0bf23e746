import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Clients that keep their connections and open more when all are busy; each sends one request at a time. */
final class ClientPool {
    private final Cluster cluster;
    private final Map<Integer, Integer> statuses;
    private final Map<Integer, Deque<Client>> idle = new HashMap<>();

    /** {@code statuses} counts the answers by status; 0 for a connection that ended without one. */
    ClientPool(Cluster cluster, Map<Integer, Integer> statuses) {
        this.cluster = cluster;
        this.statuses = statuses;
    }

    /** Sends a request on a thread of its own and records its answer. */
    void send(int gateway, String txn, byte[] request) {
        Threads.start("client " + txn, () -> {
            int status = 0;
            Client client = null;
            try {
                client = take(gateway);
                client.setTimeout(10_000);
                client.send(request);
                Message answer = client.read();
                status = answer == null ? 0 : answer.status();
                if (answer != null && !"close".equals(answer.fields().get("Connection"))) {
                    giveBack(gateway, client);
                } else {
                    client.close();
                }
            } catch (IOException e) {
                cluster.record.line("client of " + txn + ": " + e);
                if (client != null) {
                    client.close();
                }
            }
            cluster.record.line("client of " + txn + " has status " + status);
            statuses.merge(status, 1, Integer::sum);
        });
    }

    private Client take(int gateway) throws IOException {
        synchronized (this) {
            Client kept = idle.computeIfAbsent(gateway, g -> new ArrayDeque<>()).pollLast();
            if (kept != null) {
                return kept;
            }
        }
        return new Client(cluster.gateways.get(gateway).port());
    }

    private synchronized void giveBack(int gateway, Client client) {
        idle.get(gateway).addLast(client);
    }
}
