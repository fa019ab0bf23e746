package petrelstand.testing;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/** Fake storage nodes, rsync daemons and clients on loopback, with blocking sockets and a thread each. */
public final class LoopbackPeers {
    private LoopbackPeers() {}

    /** Handles one connection of a server, on a thread of its own. */
    public interface ConnectionHandler {
        void handle(Socket socket, InputStream in, OutputStream out) throws IOException, InterruptedException;
    }

    /** A server on a free loopback port. */
    public static final class Server implements Closeable {
        public final AtomicInteger connections = new AtomicInteger();
        private final ServerSocket listener;
        private final List<Socket> open = new CopyOnWriteArrayList<>();

        public Server(ConnectionHandler handler) throws IOException {
            listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            startThread(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    open.add(socket);
                    connections.incrementAndGet();
                    startThread(() -> {
                        try (socket) {
                            handler.handle(socket, socket.getInputStream(), socket.getOutputStream());
                        }
                    });
                }
            });
        }

        public int port() {
            return listener.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    private interface SocketTask {
        void run() throws IOException, InterruptedException;
    }

    private static void startThread(SocketTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The socket was closed by the test or its peer.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Writes a storage node's answer. */
    public interface AnswerWriter {
        void write(OutputStream out) throws IOException;
    }

    /** Starts a storage node that answers each request with its id after a time. */
    public static Server storageNode(long serviceMs) throws IOException {
        return storageNode(serviceMs, head -> false, out -> {});
    }

    /** Starts a storage node that answers with its id, except for requests whose head has an answer of its own. */
    public static Server storageNode(long serviceMs, Predicate<String> hasOwnAnswer, AnswerWriter ownAnswer)
            throws IOException {
        return new Server((socket, in, out) -> {
            for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
                in.readNBytes(contentLength(head));
                if (hasOwnAnswer.test(head)) {
                    ownAnswer.write(out);
                    continue;
                }
                Thread.sleep(serviceMs);
                String body = "node:" + headerField(head, "X-Txn");
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
            }
        });
    }

    /** Starts a server that accepts connections and sends nothing. */
    public static Server silentServer() throws IOException {
        return new Server((socket, in, out) -> in.readAllBytes());
    }

    /** Continues an rsync daemon's connection after the arguments. */
    public interface TransferHandler {
        void handle(String arguments, InputStream in, OutputStream out) throws IOException, InterruptedException;
    }

    /** Starts an rsync daemon that handles greeting, module and arguments and then calls the handler. */
    public static Server rsyncDaemon(TransferHandler transfer) throws IOException {
        return new Server((socket, in, out) -> {
            write(out, "@RSYNCD: 31.0 sha512 md5 md4\n");
            if (!readLine(in).startsWith("@RSYNCD: 29")) {
                write(out, "@ERROR: version\n");
                return;
            }
            if (!readLine(in).equals("charts")) {
                write(out, "@ERROR: Unknown module\n");
                return;
            }
            write(out, "welcome to the stand-in\n@RSYNCD: OK\n");
            StringBuilder arguments = new StringBuilder();
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                arguments.append(line).append('\n');
            }
            transfer.handle(arguments.toString(), in, out);
        });
    }

    /** Starts an rsync daemon that sends without end and counts the bytes sent. */
    public static Server endlessDaemon(byte[] start, AtomicLong sentBytes) throws IOException {
        return rsyncDaemon((arguments, in, out) -> {
            out.write(start);
            byte[] frame = new byte[4 + 32 * 1024];
            frame[1] = (byte) 0x80;
            frame[3] = 7;
            while (true) {
                out.write(frame);
                sentBytes.addAndGet(frame.length);
            }
        });
    }

    /** A client's connection to the gateway. */
    public static final class Client implements Closeable {
        private final Socket socket;
        public final InputStream in;
        public final OutputStream out;

        public Client(int port) throws IOException {
            socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
            socket.setSoTimeout(20_000);
            socket.setTcpNoDelay(true);
            in = socket.getInputStream();
            out = socket.getOutputStream();
        }

        /** Connects with a small receive buffer, so that the server's writes soon block. */
        public static Client withSmallReceiveBuffer(int port) throws IOException {
            Client client = new Client(port);
            client.socket.setReceiveBufferSize(4096);
            return client;
        }

        public void send(String text) {
            try {
                out.write(text.getBytes(StandardCharsets.UTF_8));
                out.flush();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Sends an rsync greeting and a module's name; returns the lines up to OK, EXIT or an error. */
        public String requestModule(String module) throws IOException {
            send("@RSYNCD: 31.0 sha512 md5 md4\n" + module + "\n");
            StringBuilder lines = new StringBuilder();
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                lines.append(line).append('\n');
                if (line.equals("@RSYNCD: OK") || line.startsWith("@ERROR") || line.equals("@RSYNCD: EXIT")) {
                    break;
                }
            }
            return lines.toString();
        }

        /** Sends a read and returns status and body. */
        public String get(String requestClass, String txn) throws IOException {
            requestRead(requestClass, txn);
            return readAnswer();
        }

        /** Sends a read. */
        public void requestRead(String requestClass, String txn) {
            send("GET /" + requestClass + "/00000000000000a1/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nX-Txn: " + txn
                    + "\r\nX-Qos-Policy: basic\r\nX-Remaining-Ms: 30000\r\n"
                    + "X-Placement: units=1,shard=3,hosts=1\r\n\r\n");
        }

        public String readAnswer() throws IOException {
            String head = readHead(in);
            return head.isEmpty()
                    ? "closed"
                    : head.substring(9, 12) + " "
                            + new String(in.readNBytes(contentLength(head)), StandardCharsets.UTF_8);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads a line and returns it without its end; empty at the end of the input. */
    public static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
            line.write(b);
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Reads a message's head; empty if the input ends first. */
    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return "";
            }
            head.append((char) b);
        }
        return head.toString();
    }

    static int contentLength(String head) {
        String length = headerField(head, "Content-Length");
        return length.isEmpty() ? 0 : Integer.parseInt(length);
    }

    /** Returns the value of a header field; empty if the head has none of that name. */
    public static String headerField(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return "";
    }
}
