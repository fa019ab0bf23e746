package standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Discovery's agent: the whole list, and watches on its changes. */
public class Discovery implements AutoCloseable {
    private final ServerSocket server;
    private final List<StorageNode> nodes;
    private final List<String> changes = new ArrayList<>();

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
    public synchronized String list() {
        StringBuilder entries = new StringBuilder();
        for (StorageNode node : nodes) {
            entries.append(entries.length() == 0 ? "" : ",").append(node.entry("up"));
        }
        return "{\"version\":" + (1 + changes.size()) + ",\"full\":true,\"servers\":[" + entries + "]}";
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

    private synchronized String watch(String target) throws InterruptedException {
        int index = Integer.parseInt(target.replaceAll(".*index=([0-9]+).*", "$1"));
        long waitMs = target.contains("wait=") ? Long.parseLong(target.replaceAll(".*wait=([0-9]+).*", "$1")) : 0;
        long endMs = System.currentTimeMillis() + waitMs;
        while (index > changes.size() && System.currentTimeMillis() < endMs) {
            wait(Math.max(1, endMs - System.currentTimeMillis()));
        }
        List<String> told = index > changes.size() ? List.of() : changes.subList(Math.max(0, index - 1), changes.size());
        return "{\"version\":" + (1 + changes.size()) + ",\"full\":false,\"servers\":[" + String.join(",", told) + "]}";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
