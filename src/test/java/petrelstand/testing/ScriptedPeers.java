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
public final class ScriptedPeers {
    private static final int TIMEOUT_MS = 20_000;

    private ScriptedPeers() {}

    /** A listener whose connections the test takes one by one. */
    public static final class Listener implements Closeable {
        private final ServerSocket socket;

        public Listener() throws IOException {
            this(200);
        }

        /** With room for so many connections that nobody has taken. */
        public Listener(int backlog) throws IOException {
            socket = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
            socket.setSoTimeout(TIMEOUT_MS);
        }

        public int port() {
            return socket.getLocalPort();
        }

        public Peer accept() throws IOException {
            return new Peer(socket.accept());
        }

        /** Whether a connection comes within a time: for what must not come, and only after what must has come. */
        public boolean acceptsWithin(int withinMs) throws IOException {
            socket.setSoTimeout(withinMs);
            try {
                socket.accept().close();
                return true;
            } catch (SocketTimeoutException e) {
                return false;
            } finally {
                socket.setSoTimeout(TIMEOUT_MS);
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** One connection, from either side. */
    public static final class Peer implements Closeable {
        private final Socket socket;

        Peer(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(TIMEOUT_MS);
        }

        /** A client of the gateway at a port. */
        public static Peer connect(int port) throws IOException {
            return new Peer(new Socket(InetAddress.getByName("127.0.0.1"), port));
        }

        public Peer write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** Reads a message's head and, by its length, its body; what came where the connection ended first. */
        public String readMessage() throws IOException {
            String head = readUntil("\r\n\r\n");
            String length = LoopbackPeers.headerField(head, "Content-Length");
            return head
                    + new String(
                            socket.getInputStream().readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length)),
                            StandardCharsets.ISO_8859_1);
        }

        /** Reads to the end of a text; what came where the connection ended first. */
        public String readUntil(String terminator) throws IOException {
            ByteArrayOutputStream read = new ByteArrayOutputStream();
            while (!read.toString(StandardCharsets.ISO_8859_1).endsWith(terminator)) {
                int b = socket.getInputStream().read();
                if (b < 0) {
                    break;
                }
                read.write(b);
            }
            return read.toString(StandardCharsets.ISO_8859_1);
        }

        /** All that comes up to the end that the other side sends; a reset is an exception. */
        public String readAll() throws IOException {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }

        /** Waits for the other side's end: true for an end, false for a reset. */
        public boolean endsWithoutReset() {
            try {
                readAll();
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        /** Ends its sending; it may still read. */
        public Peer shutdownOutput() throws IOException {
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
    public static String requestHead(String method, String requestClass, String txn, int remainingMs) {
        return method + " /" + requestClass + "/00000000000000a1/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nX-Txn: " + txn
                + "\r\nX-Qos-Policy: basic\r\nX-Remaining-Ms: " + remainingMs + "\r\n"
                + "X-Placement: units=1,shard=3,hosts=1\r\n"
                + (method.equals("PUT") ? "Idempotency-Key: key" + txn + "\r\n" : "");
    }

    /** A read as a client sends it. */
    public static String readRequest(String requestClass, String txn, int remainingMs) {
        return requestHead("GET", requestClass, txn, remainingMs) + "\r\n";
    }

    /** An answer with a length. */
    public static String okResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
