package standins;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case: one storage node's answer never ends and keeps coming, while usual clients are served by the others.
 * Arguments: the folder of the case, 1 or 0 for the disruption.
 */
public final class EndlessAnswer {
    private static final int NODES = 10;
    private static final int SPOILT_SHARD = NODES - 1;
    private static final double TROUBLE_AT_SECONDS = 6;
    private static final double LENGTH_SECONDS = 45;
    private static final int CHUNK_BYTES = 1024;

    private EndlessAnswer() {}

    public static void main(String[] args) throws IOException {
        Case.run(args, EndlessAnswer::play);
    }

    private static int play(Record record, Path folder, boolean trouble) throws Exception {
        List<StorageNode> nodes = new ArrayList<>();
        StorageNode.Observer observer = new StorageNode.Observer() {
            @Override
            public void run(StorageNode.Request request) {
                record.line("node %s runs txn=%s %s", request.node().id(), request.txn(), request.target());
            }

            @Override
            public void cut(StorageNode.Request request, IOException cause) {
                record.line("node %s: the gateway ended the connection of txn=%s", request.node().id(), request.txn());
            }
        };
        for (int i = 0; i < NODES; i++) {
            boolean spoilt = trouble && i == SPOILT_SHARD;
            nodes.add(new StorageNode(
                    i,
                    (request, out) -> {
                        Thread.sleep(30);
                        if (request.requestClass().equals("bulk-export")) {
                            chunkedAnswer(out, spoilt ? Long.MAX_VALUE : 2048);
                        } else {
                            StorageNode.answer(out, new byte[1000]);
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
            usual.start(8, 100);
            Case.sleepUntil(record, TROUBLE_AT_SECONDS);
            Threads.start("export", () -> export(record, gateway.port()));
            Threads.start("front", () -> pollReady(record, gateway.port()));
            while (record.seconds() < LENGTH_SECONDS && gateway.isAlive()) {
                Thread.sleep(50);
            }
            boolean crashed = !gateway.isAlive();
            record.line("gateway: %s", crashed ? "ended with status " + gateway.exitStatus() : "runs");
            usual.end();
            Thread.sleep(crashed ? 500 : 3_500);
            record.line("the gateway's log ends with\n%s", gateway.logTail(3));
            long lost = usual.sent().stream().filter(one -> one.status == 0).count();
            record.tell("usual requests: %d sent, %d without a final answer", usual.sent().size(), lost);
            record.tell("gateway: %s", crashed ? "crashed, status " + gateway.exitStatus() : "still runs");
            return lost > 0 || crashed ? Case.BROKEN : Case.HELD;
        }
    }

    /** Answers in chunks, as fast as they are taken. */
    private static void chunkedAnswer(OutputStream out, long chunks) throws IOException {
        out.write(Messages.ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        byte[] frame = Messages.ascii(Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n");
        byte[] many = new byte[frame.length * 64];
        for (int i = 0; i < 64; i++) {
            System.arraycopy(frame, 0, many, i * frame.length, frame.length);
        }
        for (long sent = 0; sent < chunks; sent += 64) {
            out.write(many);
        }
        out.write(Messages.ascii("0\r\n\r\n"));
    }

    /** Asks whether the gateway is ready, for the record alone: the result does not depend on it. */
    private static void pollReady(Record record, int port) throws InterruptedException {
        while (true) {
            Thread.sleep(500);
            double atSeconds = record.seconds();
            String seen;
            try (Client client = new Client(port)) {
                seen = Integer.toString(client.get("/ready", 1_000).status());
            } catch (IOException e) {
                seen = "no answer: " + e.getMessage();
            }
            record.line("GET /ready sent_at=%.3f: %s", atSeconds, seen);
        }
    }

    private static void export(Record record, int port) throws Exception {
        String txn = Client.newTxn();
        long[] bytes = new long[1];
        try (Client client = new Client(port)) {
            record.line("export txn=%s sent", txn);
            client.send(Client.head("GET", "bulk-export", 0xe0, "basic", SPOILT_SHARD, 5_000, 0, txn));
            Client.Answer answer = client.readAnswer(20_000, (buffer, length) -> bytes[0] += length);
            record.line("export txn=%s answer=%d, %d bytes", txn, answer.status(), answer.bodyBytes());
        } catch (IOException e) {
            record.line("export txn=%s ended after %d bytes: %s", txn, bytes[0], e.getMessage());
        }
    }
}
