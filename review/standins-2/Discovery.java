import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The agent of discovery: it holds one list and answers calls and watches at once, as PROTOCOL says. */
final class Discovery {
    private record Entry(int version, String json) {}

    private final ServerSocket server;
    private final Recorder record;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private int version = 40;

    Discovery(Recorder record) throws IOException {
        this.record = record;
        server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        Threads.start("discovery", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Adds or changes an entry; it counts as told from now on. */
    synchronized void put(String id, String addr, int cell, String state, long startedMs) {
        version++;
        entries.put(
                id,
                new Entry(
                        version,
                        "{\"id\":\"" + id + "\",\"addr\":\"" + addr + "\",\"zone\":\"tromso-dc1\",\"kind\":\"std-2core\","
                                + "\"cell\":" + cell + ",\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":"
                                + startedMs + "}"));
        record.line("discovery has version " + version + ": " + id + " " + state + " at " + addr + ", cell " + cell
                + ", started_ms " + startedMs);
        notifyAll();
    }

    /** The whole list in discovery's form. */
    synchronized String list() {
        return render(-1);
    }

    private String render(int after) {
        List<String> servers = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.version > after) {
                servers.add(entry.json);
            }
        }
        return "{\"version\":" + version + ",\"full\":" + (after < 0) + ",\"servers\":[" + String.join(",", servers)
                + "]}";
    }

    private synchronized String watch(int index, long waitMs) {
        long until = System.nanoTime() + waitMs * 1_000_000;
        while (version <= index) {
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) {
                break;
            }
            try {
                wait(leftMs);
            } catch (InterruptedException e) {
                break;
            }
        }
        return render(index);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start("discovery connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            for (Message call = Message.read(in); call != null; call = Message.read(in)) {
                String target = call.startLine().split(" ")[1];
                int index = parameter(target, "index", -1);
                String body = index < 0 ? list() : watch(index, parameter(target, "wait", 0));
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                                + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
        }
    }

    private static int parameter(String target, String name, int otherwise) {
        int at = target.indexOf(name + "=");
        return at < 0 ? otherwise : Integer.parseInt(target.substring(at + name.length() + 1).split("&")[0]);
    }
}
