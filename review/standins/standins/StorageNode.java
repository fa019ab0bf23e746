package standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;

/** A storage node on a loopback address: one thread for each connection, which carries one request at a time. */
public final class StorageNode implements AutoCloseable {
    /** A request as the node has read it, to its last byte. */
    public record Request(
            StorageNode node,
            long connection,
            String method,
            String target,
            String txn,
            InputStream input) {
        public String requestClass() {
            return target.split("/")[1];
        }

        /** Whether nothing has come on the connection since this request. */
        public boolean isLast() throws IOException {
            return input.available() == 0;
        }
    }

    /** Serves a request; may write anything. */
    public interface Service {
        void serve(Request request, OutputStream out) throws IOException, InterruptedException;
    }

    /** Told of what happens on the node's connections. */
    public interface Observer {
        /** A request has come whole, and the node begins it. */
        default void run(Request request) {}

        /** The gateway ended a connection on which the node was still writing an answer. */
        default void cut(Request request, IOException cause) {}
    }

    private static final AtomicLong CONNECTIONS = new AtomicLong();

    private final String id;
    private final int shard;
    private final ServerSocket server;
    private final Service service;
    private final Observer observer;
    private final int listedPort;

    public StorageNode(int number, Service service, Observer observer) throws IOException {
        this(number, service, observer, 0);
    }

    /** A node behind a network that takes so long in each direction. */
    public StorageNode(int number, Service service, Observer observer, long oneWayNs) throws IOException {
        this.id = String.format("s-%08x", 0x1000 + number);
        this.shard = number;
        this.service = service;
        this.observer = observer;
        this.server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        this.listedPort = oneWayNs == 0 ? server.getLocalPort() : new DelayedLink(server.getLocalPort(), oneWayNs).port();
        Threads.start("node " + id, this::accept);
    }

    public String id() {
        return id;
    }

    public int shard() {
        return shard;
    }

    /** The node as discovery lists it. */
    public String entry() {
        return String.format(
                "{\"id\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"tromso-dc1\",\"kind\":\"std-2core\",\"cell\":%d,"
                        + "\"state\":\"up\",\"weight\":1.0,\"started_ms\":0}",
                id, listedPort, shard);
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Threads.start("connection to " + id, () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        long connection = CONNECTIONS.incrementAndGet();
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            OutputStream out = socket.getOutputStream();
            while (true) {
                Messages.Head head = Messages.readHead(in);
                if (head == null) {
                    return;
                }
                String[] words = head.firstLine().split(" ");
                Messages.readBody(in, head, false, (bytes, length) -> {});
                Request request = new Request(
                        this,
                        connection,
                        words[0],
                        words[1],
                        head.field("x-txn"),
                        in);
                observer.run(request);
                try {
                    service.serve(request, out);
                } catch (IOException e) {
                    observer.cut(request, e);
                    throw e;
                }
            }
        } catch (IOException e) {
            // The gateway has ended the connection.
        }
    }

    /** Writes a whole answer with a length. */
    public static void answer(OutputStream out, byte[] body) throws IOException {
        byte[] head = Messages.ascii("HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: "
                + body.length + "\r\n\r\n");
        byte[] all = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        out.flush();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
