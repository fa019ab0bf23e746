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
 * Clients and nodes of a gateway on loopback sockets that the test itself reads and writes, so that it decides the
 * order of every byte, end and reset.
 */
public final class ScriptedPeers {
    private static final int TIMEOUT_MS = 20_000;

    private ScriptedPeers() {}

    /** A listener whose connections the test accepts one by one. */
    public static final class Listener implements Closeable {
        private final ServerSocket socket;

        public Listener() throws IOException {
            this(200);
        }

        /** Opens a listener with a backlog of this size. */
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

        /** Returns whether a connection arrives within a time. */
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

    /** One connection, as client or as server. */
    public static final class Peer implements Closeable {
        private final Socket socket;

        Peer(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(TIMEOUT_MS);
        }

        /** Connects to a gateway. */
        public static Peer connect(int port) throws IOException {
            return new Peer(new Socket(InetAddress.getByName("127.0.0.1"), port));
        }

        public Peer write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** Reads a message with its body; incomplete if the connection ends first. */
        public String readMessage() throws IOException {
            String head = readUntil("\r\n\r\n");
            String length = LoopbackPeers.headerField(head, "Content-Length");
            return head
                    + new String(
                            socket.getInputStream().readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length)),
                            StandardCharsets.ISO_8859_1);
        }

        /** Reads up to and with a text, or up to the end of the connection. */
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

        /** Reads up to the end of the connection; throws if it is reset. */
        public String readAll() throws IOException {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }

        /** Waits until the other side ends the connection; returns false if it is reset. */
        public boolean endsWithoutReset() {
            try {
                readAll();
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        /** Ends the sending direction. */
        public Peer shutdownOutput() throws IOException {
            socket.shutdownOutput();
            return this;
        }

        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Returns a request's head without the empty line that ends it. */
    public static String requestHead(String method, String requestClass, String txn, int remainingMs) {
        return method + " /" + requestClass + "/00000000000000a1/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nX-Txn: " + txn
                + "\r\nX-Qos-Policy: basic\r\nX-Remaining-Ms: " + remainingMs + "\r\n"
                + "X-Placement: units=1,shard=3,hosts=1\r\n"
                + (method.equals("PUT") ? "Idempotency-Key: key" + txn + "\r\n" : "");
    }

    /** Returns a whole read request. */
    public static String readRequest(String requestClass, String txn, int remainingMs) {
        return requestHead("GET", requestClass, txn, remainingMs) + "\r\n";
    }

    /** Returns a response with status 200. */
    public static String okResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
