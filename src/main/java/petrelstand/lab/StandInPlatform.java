package petrelstand.lab;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;

/**
 * Storage nodes and discovery on loopback sockets, on the JDK's own HTTP server, for trying a gateway by hand: each
 * node serves two requests at a time in 20 ms a unit and says in its body what it served. Discovery's list never
 * changes.
 */
public final class StandInPlatform implements AutoCloseable {
    private static final int CORES = 2;
    private static final long UNIT_MS = 20;
    private static final long MOST_WAIT_MS = 60_000;
    private static final int MOST_BODY = 64 << 10;

    private final List<HttpServer> servers = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        return thread;
    });
    private final JsonObject list = new JsonObject();
    private final HttpServer discovery;

    /** Starts so many nodes, each holding the shard of its place, and discovery. */
    public StandInPlatform(int nodes) throws IOException {
        JsonArray entries = new JsonArray();
        for (int i = 0; i < nodes; i++) {
            String name = String.format("s-%08x", i + 1);
            int shard = i;
            Semaphore cores = new Semaphore(CORES, true);
            HttpServer node = server(exchange -> serve(exchange, name, shard, cores));
            JsonObject entry = new JsonObject();
            entry.addProperty("id", name);
            entry.addProperty("addr", "127.0.0.1:" + node.getAddress().getPort());
            entry.addProperty("zone", "a");
            entry.addProperty("kind", "stand-in");
            entry.addProperty("cell", i);
            entry.addProperty("state", "up");
            entry.addProperty("weight", 1.0);
            entry.addProperty("started_ms", 0);
            entries.add(entry);
        }
        list.addProperty("version", 1);
        list.addProperty("full", true);
        list.add("servers", entries);
        discovery = server(this::tell);
    }

    private interface Play {
        void on(HttpExchange exchange) throws IOException, InterruptedException;
    }

    private HttpServer server(Play play) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
        server.setExecutor(threads);
        server.createContext("/", exchange -> {
            try (exchange) {
                play.on(exchange);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        server.start();
        servers.add(server);
        return server;
    }

    /** The port of discovery. */
    public int discoveryPort() {
        return discovery.getAddress().getPort();
    }

    /** The node list as discovery tells it. */
    public JsonObject list() {
        return list.deepCopy();
    }

    private void serve(HttpExchange exchange, String name, int shard, Semaphore cores)
            throws IOException, InterruptedException {
        exchange.getRequestBody().readNBytes(MOST_BODY);
        String placement = String.valueOf(exchange.getRequestHeaders().getFirst("X-Placement"));
        long units = 1;
        for (String part : placement.split(",")) {
            if (part.matches("units=[0-9]{1,3}")) {
                units = Long.parseLong(part.substring("units=".length()));
            }
        }
        cores.acquire();
        try {
            Thread.sleep(UNIT_MS * units);
        } finally {
            cores.release();
        }
        answer(
                exchange,
                "text/plain",
                "node " + name + " (shard " + shard + ") served " + exchange.getRequestMethod() + " "
                        + exchange.getRequestURI() + "\n");
    }

    /** A call that may wait waits to its end: nothing ever changes. */
    private void tell(HttpExchange exchange) throws IOException, InterruptedException {
        String query = exchange.getRequestURI().getQuery();
        JsonObject changes = list;
        if (query != null && query.contains("index=1")) {
            long wait = 0;
            for (String part : query.split("&")) {
                if (part.matches("wait=[0-9]{1,6}")) {
                    wait = Math.min(MOST_WAIT_MS, Long.parseLong(part.substring("wait=".length())));
                }
            }
            Thread.sleep(wait);
            changes = new JsonObject();
            changes.addProperty("version", 1);
            changes.addProperty("full", false);
            changes.add("servers", new JsonArray());
        }
        answer(exchange, "application/json", changes.toString());
    }

    private static void answer(HttpExchange exchange, String type, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", type);
        exchange.sendResponseHeaders(200, body.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(body);
        }
    }

    @Override
    public void close() {
        servers.forEach(server -> server.stop(0));
        threads.shutdownNow();
    }
}
