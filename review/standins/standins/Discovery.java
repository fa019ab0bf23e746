package standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.stream.Collectors;

/** Discovery's agent: the whole list, and watches on its changes. Nothing changes in these cases. */
public final class Discovery implements AutoCloseable {
    private static final int VERSION = 1;

    private final ServerSocket server;
    private final List<StorageNode> nodes;

    public Discovery(List<StorageNode> nodes) throws IOException {
        this.nodes = List.copyOf(nodes);
        server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        Threads.start("discovery", () -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Threads.start("watch", () -> serve(socket));
            }
        });
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The whole list, as a gateway's file holds it. */
    public String list() {
        return "{\"version\":" + VERSION + ",\"full\":true,\"servers\":["
                + nodes.stream().map(StorageNode::entry).collect(Collectors.joining(",")) + "]}";
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Messages.Head head = Messages.readHead(in); head != null; head = Messages.readHead(in)) {
                String target = head.firstLine().split(" ")[1];
                String body = target.contains("index=") ? watch(target) : list();
                socket.getOutputStream()
                        .write(Messages.ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length() + "\r\n\r\n" + body));
            }
        }
    }

    /** A watch waits to its end and tells that nothing has changed. */
    private static String watch(String target) throws InterruptedException {
        if (target.contains("wait=")) {
            Thread.sleep(Long.parseLong(target.replaceAll(".*wait=([0-9]+).*", "$1")));
        }
        return "{\"version\":" + VERSION + ",\"full\":false,\"servers\":[]}";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
