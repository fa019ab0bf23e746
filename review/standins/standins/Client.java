package standins;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A client's connection, which carries one request at a time. */
public final class Client implements AutoCloseable {
    /** A whole answer. */
    public record Answer(int status, long bodyBytes) {}

    private static final AtomicLong IDS = new AtomicLong(0x9b1f03aa5c7e0000L);

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    public Client(int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2_000);
        in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
        out = socket.getOutputStream();
    }

    /** A new id of a request. */
    public static String newTxn() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    /** The head of a request for a shard. */
    public static String head(
            String method, String requestClass, long volume, String plan, int shard, long remainingMs, long bodyBytes,
            String txn) {
        return method + " /" + requestClass + String.format("/%016x/7f3a9c21e0b4d655", volume) + " HTTP/1.1\r\n"
                + "Host: backend.local\r\nX-Txn: " + txn + "\r\nX-Qos-Policy: " + plan + "\r\nX-Remaining-Ms: "
                + remainingMs + "\r\n"
                + (method.equals("PUT") ? "Idempotency-Key: k-" + txn + "\r\nContent-Length: " + bodyBytes + "\r\n" : "")
                + "X-Placement: units=2,shard=" + shard + ",hosts=1\r\n\r\n";
    }

    public Answer get(String target, int timeoutMs) throws IOException {
        send(("GET " + target + " HTTP/1.1\r\nHost: backend.local\r\n\r\n"));
        return readAnswer(timeoutMs);
    }

    public void send(String text) throws IOException {
        out.write(Messages.ascii(text));
        out.flush();
    }

    /** Reads an answer to its last byte; each read waits at most so long. */
    public Answer readAnswer(int timeoutMs) throws IOException {
        return readAnswer(timeoutMs, (bytes, length) -> {});
    }

    /** As above; the sink is given the body's bytes as they come. */
    Answer readAnswer(int timeoutMs, Messages.BodySink sink) throws IOException {
        socket.setSoTimeout(timeoutMs);
        Messages.Head head = Messages.readHead(in);
        if (head == null) {
            throw new EOFException("the connection was closed with no answer");
        }
        int status = Integer.parseInt(head.firstLine().split(" ")[1]);
        return new Answer(status, Messages.readBody(in, head, true, sink));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
