package standins;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Case: a storage node writes its large answers slowly, in pieces. Arguments: the folder of the case, 1 or 0 for the
 * disruption.
 */
public final class SlowPieces {
    private static final int NODES = 10;
    private static final int SLOW_SHARD = NODES - 1;
    private static final int ANSWER_BYTES = 256 * 1024;
    private static final int PIECE_BYTES = 16 * 1024;
    private static final int PIECE_MS = 250;
    private static final long REMAINING_MS = 5_000;
    private static final int REQUESTS = 6;

    private SlowPieces() {}

    public static void main(String[] args) throws IOException {
        Case.run(args, SlowPieces::play);
    }

    private static int play(Record record, Path folder, boolean trouble) throws Exception {
        List<StorageNode> nodes = new ArrayList<>();
        Set<String> cut = ConcurrentHashMap.newKeySet();
        StorageNode.Observer observer = new StorageNode.Observer() {
            @Override
            public void run(StorageNode.Request request) {
                record.line("node %s runs txn=%s %s", request.node().id(), request.txn(), request.target());
            }

            @Override
            public void cut(StorageNode.Request request, IOException cause) {
                cut.add(request.txn());
                record.line(
                        "node %s: the gateway ended the connection while the answer to txn=%s was being written",
                        request.node().id(), request.txn());
            }
        };
        for (int i = 0; i < NODES; i++) {
            boolean slow = trouble && i == SLOW_SHARD;
            nodes.add(new StorageNode(
                    i,
                    (request, out) -> {
                        Thread.sleep(30);
                        if (!request.requestClass().equals("bulk-export")) {
                            StorageNode.answer(out, new byte[1000]);
                        } else if (slow) {
                            answerInPieces(out);
                        } else {
                            StorageNode.answer(out, new byte[ANSWER_BYTES]);
                        }
                    },
                    observer));
        }
        try (Discovery discovery = new Discovery(nodes);
                Gateway gateway = new Gateway(
                        "n1", discovery, TromsoSettings.of(1, NODES, TromsoSettings.classes()), folder)) {
            if (!gateway.awaitReady()) {
                record.tell("the gateway is not ready: %s", gateway.logTail(5));
                return Case.NOT_RUN;
            }
            UsualClients usual = new UsualClients(record, gateway.port(), NODES - 1);
            usual.start(4, 100);
            Thread.sleep(3_000);
            List<String> lost = new CopyOnWriteArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                String txn = Client.newTxn();
                String seen = export(record, gateway.port(), txn);
                if (!seen.equals("served") && cut.contains(txn)) {
                    lost.add(txn);
                    record.tell("txn=%s: %s, while the node was still giving its answer: LOST", txn, seen);
                }
            }
            usual.end();
            record.line("the gateway's log ends with\n%s", gateway.logTail(3));
            record.tell("large answers: %d asked for, %d cut off", REQUESTS, lost.size());
            return lost.isEmpty() ? Case.HELD : Case.BROKEN;
        }
    }

    /** Writes the head, then the body at 64 KiB a second. */
    private static void answerInPieces(OutputStream out) throws IOException, InterruptedException {
        out.write(Messages.ascii("HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: "
                + ANSWER_BYTES + "\r\n\r\n"));
        for (int sent = 0; sent < ANSWER_BYTES; sent += PIECE_BYTES) {
            Thread.sleep(PIECE_MS);
            out.write(new byte[PIECE_BYTES]);
        }
    }

    private static String export(Record record, int port, String txn) throws IOException {
        try (Client client = new Client(port)) {
            double at = record.seconds();
            record.line("large answer txn=%s: asked for", txn);
            client.send(Client.head("GET", "bulk-export", 0xe0, "basic", SLOW_SHARD, REMAINING_MS, 0, txn));
            Client.Answer answer = client.readAnswer(10_000);
            String seen = answer.status() == 200 && answer.bodyBytes() == ANSWER_BYTES
                    ? "served"
                    : "answer " + answer.status() + " of " + answer.bodyBytes() + " bytes";
            record.line("large answer txn=%s: %s after %.3f s", txn, seen, record.seconds() - at);
            return seen;
        } catch (IOException e) {
            record.line("large answer txn=%s: no whole answer: %s", txn, e.getMessage());
            return "no whole answer";
        }
    }
}
