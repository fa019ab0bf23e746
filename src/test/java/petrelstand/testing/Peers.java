package petrelstand.testing;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * The other sides of a gateway, on loopback sockets that the test itself reads and writes: each byte, each end and each
 * reset goes when the test says so, so that an order is forced and never waited for by a sleep.
 */
public final class Peers {
    private static final int PATIENCE_MS = 20_000;

    private Peers() {}

    /** A listener whose connections the test takes one by one. */
    public static final class Door implements Closeable {
        private final ServerSocket listener;

        public Door() throws IOException {
            this(200);
        }

        /** With room for so many connections that nobody has taken. */
        public Door(int backlog) throws IOException {
            listener = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
            listener.setSoTimeout(PATIENCE_MS);
        }

        public int port() {
            return listener.getLocalPort();
        }

        public Peer take() throws IOException {
            return new Peer(listener.accept());
        }

        /** Whether a connection comes within a time: for what must not come, and only after what must has come. */
        public boolean isKnockedAt(int withinMs) throws IOException {
            listener.setSoTimeout(withinMs);
            try {
                listener.accept().close();
                return true;
            } catch (SocketTimeoutException e) {
                return false;
            } finally {
                listener.setSoTimeout(PATIENCE_MS);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** One connection, from either side. */
    public static final class Peer implements Closeable {
        private final Socket socket;

        Peer(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(PATIENCE_MS);
        }

        /** A client of the gateway at a port. */
        public static Peer to(int port) throws IOException {
            return new Peer(new Socket(InetAddress.getByName("127.0.0.1"), port));
        }

        public Peer write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** Reads a message's head and, by its length, its body; what came where the connection ended first. */
        public String message() throws IOException {
            String head = upTo("\r\n\r\n");
            String length = StandIns.field(head, "Content-Length");
            return head
                    + new String(
                            socket.getInputStream().readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length)),
                            StandardCharsets.ISO_8859_1);
        }

        /** Reads to the end of a text; what came where the connection ended first. */
        public String upTo(String end) throws IOException {
            ByteArrayOutputStream read = new ByteArrayOutputStream();
            while (!read.toString(StandardCharsets.ISO_8859_1).endsWith(end)) {
                int b = socket.getInputStream().read();
                if (b < 0) {
                    break;
                }
                read.write(b);
            }
            return read.toString(StandardCharsets.ISO_8859_1);
        }

        /** All that comes up to the end that the other side sends; a reset is an exception. */
        public String rest() throws IOException {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }

        /** Waits for the other side's end: true for an end, false for a reset. */
        public boolean endsInOrder() {
            try {
                rest();
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        /** Ends its sending; it may still read. */
        public Peer end() throws IOException {
            socket.shutdownOutput();
            return this;
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** The head of a request that a client sends, without the empty line that ends it. */
    public static String head(String method, String requestClass, String txn, int remainingMs) {
        return method + " /" + requestClass + "/00000000000000a1/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nX-Txn: " + txn
                + "\r\nX-Qos-Policy: basic\r\nX-Remaining-Ms: " + remainingMs + "\r\n"
                + "X-Placement: units=1,shard=3,hosts=1\r\n"
                + (method.equals("PUT") ? "Idempotency-Key: key" + txn + "\r\n" : "");
    }

    /** A read as a client sends it. */
    public static String read(String requestClass, String txn, int remainingMs) {
        return head("GET", requestClass, txn, remainingMs) + "\r\n";
    }

    /** An answer with a length. */
    public static String served(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
