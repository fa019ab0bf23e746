import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;

/**
 * A storage node: it begins a request when its last byte has come, works on a few at once, queues the others, and
 * answers with its id and the request's X-Txn. It records each arrival and each answer.
 */
final class StorageNode {
    /** A request that came whole: when its first byte and its last byte were read, and what it says. */
    record Arrival(double firstByteMs, double lastByteMs, String txn, double units, int bodyBytes) {}

    private final String id;
    private final ServerSocket server;
    private final Recorder record;
    private final Semaphore slots;
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Socket> connections = new ArrayList<>();
    private volatile double msPerUnit;
    private volatile boolean killed;
    private volatile boolean hung;
    private int answered;

    StorageNode(String id, Recorder record, int slotCount, double msPerUnit) throws IOException {
        this.id = id;
        this.record = record;
        this.slots = new Semaphore(slotCount, true);
        this.msPerUnit = msPerUnit;
        server = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
        Threads.start(id, this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Changes the work that one unit takes on one slot. */
    void setMsPerUnit(double ms) {
        msPerUnit = ms;
    }

    synchronized List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /** Hangs: connections come up and stay open, but nothing is read or answered any more. */
    void hang() {
        record.line(id + " hangs");
        hung = true;
    }

    /** Ends as a process that dies: its connections are reset and new ones are refused. */
    void kill() throws IOException {
        record.line(id + " is killed at " + address());
        killed = true;
        server.close();
        synchronized (this) {
            for (Socket connection : connections) {
                connection.setSoLinger(true, 0);
                connection.close();
            }
        }
    }

    /** How many requests it has whole and has not answered. */
    synchronized int unanswered() {
        return arrivals.size() - answered;
    }

    private synchronized void countAnswer() {
        answered++;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            synchronized (this) {
                connections.add(socket);
            }
            Threads.start(id + " connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            while (true) {
                in.mark(1);
                if (in.read() < 0) {
                    return;
                }
                double firstMs = record.now();
                while (hung) {
                    Threads.sleep(20);
                }
                in.reset();
                Message request = Message.read(in);
                answer(socket, request, firstMs);
            }
        } finally {
            if (!killed) {
                socket.close();
            }
            synchronized (this) {
                connections.remove(socket);
            }
        }
    }

    private void answer(Socket socket, Message request, double firstMs) throws IOException {
        String target = request.startLine().split(" ")[1];
        if (target.equals("/health") || target.equals("/status/load")) {
            write(socket, "200 OK", "TEXT util=0.5");
            return;
        }
        String txn = request.fields().get("X-Txn");
        double units = Client.unitsOfTarget(target);
        synchronized (this) {
            arrivals.add(new Arrival(firstMs, record.now(), txn, units, request.body().length));
        }
        record.line(id + " has " + txn + " whole, first byte at " + String.format("%.1f", firstMs) + ", "
                + request.body().length + " bytes of body, X-Remaining-Ms "
                + request.fields().get("X-Remaining-Ms"));
        slots.acquireUninterruptibly();
        try {
            Threads.sleep(units * msPerUnit);
        } finally {
            slots.release();
        }
        write(socket, "200 OK", "node " + id + " ran " + txn);
        countAnswer();
        record.line(id + " has answered " + txn);
    }

    private static void write(Socket socket, String status, String body) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }
}
