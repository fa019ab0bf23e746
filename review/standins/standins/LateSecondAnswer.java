package standins;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: storage nodes send some answers a second time, right behind the first. A node does so only while nothing else
 * waits: no further request for it has come, and none is on its way from a client. Arguments: the folder of the case, 1
 * or 0 for the disruption.
 */
public final class LateSecondAnswer {
    private static final int NODES = 10;
    /** Each program sends its requests one after another to the node that holds its data. */
    private static final int PROGRAMS = 6;
    private static final double LENGTH_SECONDS = 45;
    private static final long WORK_MS = 30;
    /** The one-way time of the network; the site's range is 0.13 to 0.34 ms. */
    private static final long ONE_WAY_NS = 340_000;
    /** One answer in so many comes twice. */
    private static final int SECOND_ANSWER_EVERY = 10;

    /** The second answer comes at most so long after the first. */
    private static final double LATEST_MS = 1;

    /** When an answer was sent a second time, by its request. */
    private static final Map<String, Long> SECOND_SENT_NS = new ConcurrentHashMap<>();
    /** The last request that was sent for each shard; each shard has one program, which sends one at a time. */
    private static final Map<Integer, String> LAST_TXN = new ConcurrentHashMap<>();

    private LateSecondAnswer() {}

    public static void main(String[] args) throws IOException {
        Case.run(args, LateSecondAnswer::play);
    }

    private static int play(Record record, Path folder, boolean trouble) throws Exception {
        StorageNode.Observer observer = new StorageNode.Observer() {
            @Override
            public void run(StorageNode.Request request) {
                record.line(
                        "node %s connection %d runs txn=%s %s",
                        request.node().id(), request.connection(), request.txn(), request.target());
            }
        };
        List<StorageNode> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            Random random = new Random(i);
            nodes.add(new StorageNode(
                    i,
                    (request, out) -> {
                        Thread.sleep(WORK_MS);
                        byte[] body = Messages.ascii(request.target() + " for " + request.txn());
                        StorageNode.answer(out, body);
                        boolean twice;
                        double lateMs;
                        synchronized (random) {
                            twice = random.nextInt(SECOND_ANSWER_EVERY) == 0;
                            lateMs = random.nextDouble() * LATEST_MS;
                        }
                        if (trouble && twice) {
                            answerAgain(record, request, out, body, lateMs);
                        }
                    },
                    observer,
                    ONE_WAY_NS));
        }
        try (Discovery discovery = new Discovery(nodes);
                Gateway gateway = new Gateway(
                        "n1", discovery, TromsoSettings.of(1, NODES, TromsoSettings.classes()), folder)) {
            if (!gateway.awaitReady()) {
                record.tell("the gateway is not ready: %s", gateway.logTail(5));
                return Case.NOT_RUN;
            }
            Counts counts = new Counts();
            for (int i = 0; i < PROGRAMS; i++) {
                int number = i;
                Threads.start("program " + i, () -> program(record, gateway.port(), number, counts));
            }
            while (record.seconds() < LENGTH_SECONDS && gateway.isAlive()) {
                Thread.sleep(100);
            }
            record.line("the gateway's log ends with\n%s", gateway.logTail(3));
            record.tell("%d requests served, %d second answers sent", counts.served.get(), SECOND_SENT_NS.size());
            record.tell(
                    "served with another request's answer: %d; of these %d with a second answer that was sent before"
                            + " the request, %d with an answer that was sent once",
                    counts.foreign.get(), counts.second.get(), counts.foreign.get() - counts.second.get());
            return counts.served.get() == 0 ? Case.NOT_RUN : counts.second.get() > 0 ? Case.BROKEN : Case.HELD;
        }
    }

    /** What the programs were served. */
    private static final class Counts {
        final AtomicInteger served = new AtomicInteger();
        /** Answers that were made for another request. */
        final AtomicInteger foreign = new AtomicInteger();
        /** Of these, second answers that their node sent before the request was sent that was served with them. */
        final AtomicInteger second = new AtomicInteger();
    }

    /** Sends an answer again after so long, unless another request for the node is under way by then. */
    private static void answerAgain(
            Record record, StorageNode.Request request, OutputStream out, byte[] body, double lateMs)
            throws IOException {
        long dueNs = System.nanoTime() + (long) (lateMs * 1e6);
        while (System.nanoTime() < dueNs) {
            DelayedLink.waitUntil(Math.min(dueNs, System.nanoTime() + 10_000));
            if (!nothingElseWaits(request)) {
                return;
            }
        }
        if (nothingElseWaits(request)) {
            SECOND_SENT_NS.put(request.txn(), System.nanoTime());
            StorageNode.answer(out, body);
            record.line(
                    "node %s connection %d: second answer to txn=%s, %.3f ms after the first",
                    request.node().id(), request.connection(), request.txn(), lateMs);
        }
    }

    private static boolean nothingElseWaits(StorageNode.Request request) throws IOException {
        return request.isLast() && request.txn().equals(LAST_TXN.get(request.node().shard()));
    }

    private static void program(Record record, int port, int number, Counts counts) throws Exception {
        Client client = null;
        long piece = 0x7f3a9c0000000000L + ((long) number << 32);
        while (true) {
            String txn = Client.newTxn();
            String target = String.format("/tile-read/%016x/%016x", 0xa0 + number, ++piece);
            try {
                client = client == null ? new Client(port) : client;
                LAST_TXN.put(number, txn);
                long sentNs = System.nanoTime();
                client.send("GET " + target + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn
                        + "\r\nX-Qos-Policy: priority\r\nX-Remaining-Ms: 1500\r\nX-Placement: units=2,shard=" + number
                        + ",hosts=1\r\n\r\n");
                StringBuilder body = new StringBuilder();
                Client.Answer answer =
                        client.readAnswer(3_000, (bytes, length) -> body.append(new String(bytes, 0, length)));
                if (answer.status() == 200) {
                    check(record, counts, number, target, txn, sentNs, body.toString());
                } else {
                    record.line("program %d txn=%s %s: answer %d", number, txn, target, answer.status());
                    Thread.sleep(100);
                }
            } catch (IOException e) {
                record.line("program %d txn=%s %s: no answer: %s", number, txn, target, e.getMessage());
                client = null;
                Thread.sleep(100);
            }
        }
    }

    /** The rule: a request is served with the answer that a node made for it. */
    private static void check(
            Record record, Counts counts, int number, String target, String txn, long sentNs, String body) {
        counts.served.incrementAndGet();
        if (body.equals(target + " for " + txn)) {
            record.line("program %d txn=%s %s: served", number, txn, target);
            return;
        }
        counts.foreign.incrementAndGet();
        Long secondNs = SECOND_SENT_NS.get(body.substring(body.lastIndexOf(' ') + 1));
        boolean sentBefore = secondNs != null && secondNs < sentNs;
        counts.second.addAndGet(sentBefore ? 1 : 0);
        record.line(
                "program %d txn=%s asked for %s and was served %s%s: FOREIGN",
                number,
                txn,
                target,
                body,
                sentBefore
                        ? String.format(
                                ", whose second answer was sent %.3f ms before this request", (sentNs - secondNs) / 1e6)
                        : "");
    }
}
