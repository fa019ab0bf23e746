package petrelstand.testing;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A storage node whose listener is full at first, so that the system drops further SYNs and a client's system repeats
 * them. From {@link #startAccepting} on it accepts connections, records the id of each request whose head arrives and
 * answers whole requests.
 */
public final class LateStorageNode implements Closeable {
    private static final int BACKLOG = 1;
    /** Linux queues one connection more than the backlog says. */
    private static final int FILLING_CONNECTIONS = BACKLOG + 1;

    private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    private final List<SocketChannel> filling = new ArrayList<>();
    private final List<Socket> accepted = new CopyOnWriteArrayList<>();
    private final AtomicInteger acceptedConnections = new AtomicInteger();
    private final List<Received> received = new CopyOnWriteArrayList<>();

    /** A request of which the head has arrived, and when, by {@link System#nanoTime}. */
    public record Received(String txnId, long headNs) {}

    public LateStorageNode() throws IOException {
        for (int i = 0; i < FILLING_CONNECTIONS; i++) {
            filling.add(SocketChannel.open(new InetSocketAddress("127.0.0.1", listener.getLocalPort())));
        }
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Makes room: accepts the connections that filled the listener, and all that follow. */
    public void startAccepting() throws IOException {
        for (SocketChannel channel : filling) {
            channel.close();
        }
        for (int i = 0; i < FILLING_CONNECTIONS; i++) {
            listener.accept().close();
        }
        startThread(this::acceptConnections);
    }

    /** Connections accepted since {@link #startAccepting}, without those that filled the listener. */
    public int acceptedConnections() {
        return acceptedConnections.get();
    }

    /** The requests of which the head has arrived, in their order. */
    public List<Received> received() {
        return List.copyOf(received);
    }

    /** The X-Txn of each request of which the head has arrived, in their order. */
    public List<String> receivedTxnIds() {
        return received.stream().map(Received::txnId).toList();
    }

    private interface SocketTask {
        void run() throws IOException;
    }

    private static void startThread(SocketTask task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The socket was closed by the test or its peer.
                    }
                },
                "late-node");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            accepted.add(socket);
            acceptedConnections.incrementAndGet();
            startThread(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (String head = LoopbackPeers.readHead(in); !head.isEmpty(); head = LoopbackPeers.readHead(in)) {
                received.add(new Received(LoopbackPeers.headerField(head, "X-Txn"), System.nanoTime()));
                in.skipNBytes(LoopbackPeers.contentLength(head));
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel channel : filling) {
            channel.close();
        }
        listener.close();
        for (Socket socket : accepted) {
            socket.close();
        }
    }
}
