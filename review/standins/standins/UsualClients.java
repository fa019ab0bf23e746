package standins;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Usual clients: each keeps a connection, sends one request at a time, and opens a new connection where the gateway has
 * ended the old one. A request whose connection the gateway ended before anything came is sent once more.
 */
public final class UsualClients {
    /** One request and what came of it. */
    public static final class Sent {
        public final double atSeconds;
        public final String txn;
        public final String requestClass;
        public final int shard;
        public final long deadlineMs;
        /** The status of the final answer; 0 where there was none. */
        public volatile int status;
        /** From the request's last byte to its answer's last byte, or to the end of waiting. */
        public volatile double tookMs;

        public volatile String why = "";

        Sent(double atSeconds, String txn, String requestClass, int shard, long deadlineMs) {
            this.atSeconds = atSeconds;
            this.txn = txn;
            this.requestClass = requestClass;
            this.shard = shard;
            this.deadlineMs = deadlineMs;
        }
    }

    /** By the standing test: a request is lost if it has no final answer half a second after its time. */
    public static final long ANSWER_GRACE_MS = 500;
    /** By the protocol: each time limit grows by so much on sockets. */
    public static final long SOCKET_GRACE_MS = 50;

    private final Record record;
    private final int port;
    private final int shards;
    private final List<Sent> sent = new CopyOnWriteArrayList<>();
    private volatile boolean ended;

    public UsualClients(Record record, int port, int shards) {
        this.record = record;
        this.port = port;
        this.shards = shards;
    }

    /** Starts so many clients; each waits about so long between two requests. */
    public void start(int clients, int pauseMs) {
        for (int i = 0; i < clients; i++) {
            int number = i;
            Threads.start("client " + i, () -> run(number, new Random(number), pauseMs));
        }
    }

    /** Ends the clients: no new request is sent. */
    public void end() {
        ended = true;
    }

    public List<Sent> sent() {
        return sent;
    }

    private void run(int number, Random random, int pauseMs) throws Exception {
        Client client = null;
        while (!ended) {
            Thread.sleep(1 + random.nextInt(2 * pauseMs));
            boolean write = random.nextInt(3) == 0;
            Sent one = new Sent(
                    record.seconds(),
                    Client.newTxn(),
                    write ? "survey-write" : "tile-read",
                    random.nextInt(shards),
                    write ? 2_500 : 1_500);
            byte[] body = new byte[write ? 200 : 0];
            String head = Client.head(
                    write ? "PUT" : "GET",
                    one.requestClass,
                    0xa0 + number,
                    number % 2 == 0 ? "basic" : "priority",
                    one.shard,
                    one.deadlineMs,
                    body.length,
                    one.txn);
            long startNs = System.nanoTime();
            boolean kept = client != null;
            for (int tries = 0; tries < 2; tries++) {
                try {
                    client = client == null ? new Client(port) : client;
                    client.send(head + new String(body, java.nio.charset.StandardCharsets.ISO_8859_1));
                    startNs = System.nanoTime();
                    if (!sent.contains(one)) {
                        sent.add(one);
                    }
                    one.status = client.readAnswer((int) (one.deadlineMs + SOCKET_GRACE_MS + ANSWER_GRACE_MS)).status();
                    one.why = "";
                    break;
                } catch (IOException e) {
                    one.why = String.valueOf(e.getMessage());
                    client = close(client);
                    if (e instanceof java.net.SocketTimeoutException || !kept) {
                        break;
                    }
                }
            }
            one.tookMs = (System.nanoTime() - startNs) / 1e6;
            record.line(
                    "usual txn=%s %s shard=%d sent_at=%.3f deadline_ms=%d answer=%s took_ms=%.0f %s",
                    one.txn, one.requestClass, one.shard, one.atSeconds, one.deadlineMs,
                    one.status == 0 ? "none" : Integer.toString(one.status), one.tookMs, one.why);
            if (one.status == 0) {
                client = close(client);
            }
        }
    }

    private static Client close(Client client) throws IOException {
        if (client != null) {
            client.close();
        }
        return null;
    }
}
