package petrelstand.testing;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32;
import petrelstand.testing.LoopbackPeers.Client;

/**
 * Starts processes of one gateway, which share a folder and an address, with a storage node that runs in the test's own
 * process.
 */
public final class GatewayProcesses implements Closeable {
    private final Path folder;
    private final HttpServer node;
    private final LoopbackPeers.Server discovery = LoopbackPeers.silentServer();
    private final int port = freePort();
    private final List<Process> processes = new ArrayList<>();
    /** The X-Txn of each request that the node has received whole. */
    private final List<String> receivedTxnIds = new CopyOnWriteArrayList<>();

    private JsonObject config;

    /** A started process, the port of its operators' API and the lines that it prints. */
    public record GatewayProcess(
            Process process, int operatorPort, BlockingQueue<String> lines, List<String> linesRead) {
        /** Waits for a line that contains a text and returns it; lines up to it are moved to {@code linesRead}. */
        public String await(String part) throws InterruptedException {
            for (String old : linesRead) {
                if (old.contains(part)) {
                    return old;
                }
            }
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (true) {
                String line = lines.poll(until - System.nanoTime(), TimeUnit.NANOSECONDS);
                if (line == null || line.equals(END_OF_OUTPUT)) {
                    throw new AssertionError("no line with '" + part + "': " + linesRead);
                }
                linesRead.add(line);
                if (line.contains(part)) {
                    return line;
                }
            }
        }

        /** Calls the operators' API and returns status and body. */
        public String callOperator(String method, String path) throws IOException {
            try (Client client = new Client(operatorPort)) {
                client.send(method + " " + path + " HTTP/1.1\r\nHost: o\r\n\r\n");
                return client.readAnswer();
            }
        }

        /** Returns a value of the telemetry, or -1 if there is none of that name. */
        public long telemetry(String name) throws IOException {
            for (String line : callOperator("GET", "/api/telemetry").split("\n")) {
                int at = line.indexOf("relay." + name + ":");
                if (at >= 0) {
                    return Long.parseLong(line.substring(line.indexOf(':') + 1, line.indexOf('|')));
                }
            }
            return -1;
        }

        public void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    private static final String END_OF_OUTPUT = "(the process ended)";

    public GatewayProcesses(Path folder, long serviceMs) throws IOException {
        this.folder = folder;
        node = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
        node.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "node");
            thread.setDaemon(true);
            return thread;
        }));
        node.createContext("/", exchange -> serve(exchange, serviceMs));
        node.start();
        config = JsonParser.parseString(Files.readString(Path.of("src/main/resources/tryout.json")))
                .getAsJsonObject();
        config.addProperty("name", "n1");
        config.addProperty("listen", "127.0.0.1:" + port);
        config.addProperty("discovery", "127.0.0.1:" + discovery.port());
        config.add(
                "known",
                JsonParser.parseString("{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"s-00000001\","
                        + "\"addr\":\"127.0.0.1:" + node.getAddress().getPort()
                        + "\",\"zone\":\"a\",\"cell\":0,\"state\":\"up\","
                        + "\"started_ms\":0}]}"));
        config(config.deepCopy());
    }

    private static int freePort() throws IOException {
        try (LoopbackPeers.Server free = LoopbackPeers.silentServer()) {
            return free.port();
        }
    }

    /** Answers a write with its length and checksum, and a read with as many bytes as its query asks for. */
    private void serve(HttpExchange exchange, long serviceMs) throws IOException {
        try (exchange) {
            CRC32 crc = new CRC32();
            long length = 0;
            byte[] buffer = new byte[1 << 16];
            InputStream in = exchange.getRequestBody();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                crc.update(buffer, 0, n);
                length += n;
            }
            receivedTxnIds.add(String.valueOf(exchange.getRequestHeaders().getFirst("X-Txn")));
            Thread.sleep(serviceMs);
            String query = String.valueOf(exchange.getRequestURI().getQuery());
            if (query.startsWith("bytes=")) {
                long bytes = Long.parseLong(query.substring("bytes=".length()).replaceAll("&.*", ""));
                exchange.sendResponseHeaders(200, query.endsWith("&chunked") ? 0 : bytes);
                OutputStream out = exchange.getResponseBody();
                for (long sent = 0; sent < bytes; ) {
                    int piece = (int) Math.min(buffer.length, bytes - sent);
                    java.util.Arrays.fill(buffer, 0, piece, (byte) (sent >> 16));
                    out.write(buffer, 0, piece);
                    sent += piece;
                }
                out.close();
            } else {
                byte[] summary = (length + " " + Long.toHexString(crc.getValue())).getBytes(StandardCharsets.UTF_8);
                exchange.sendResponseHeaders(200, summary.length);
                exchange.getResponseBody().write(summary);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The X-Txn of each request that the node has received whole, in their order. */
    public List<String> receivedTxnIds() {
        return List.copyOf(receivedTxnIds);
    }

    /** Returns the port of the HTTP front. */
    public int port() {
        return port;
    }

    public JsonObject config() {
        return config.deepCopy();
    }

    /** Replaces the configuration file. */
    public void config(JsonObject changed) throws IOException {
        config = changed;
        writeConfigText(changed.toString());
    }

    public void writeConfigText(String text) throws IOException {
        Files.writeString(folder.resolve("config.json"), text);
    }

    /** Starts another process of the gateway. */
    public GatewayProcess start(String... options) throws IOException {
        return start(List.of("petrelstand.Main", "serve"), options);
    }

    /** Starts another process with a different main class and its arguments. */
    public GatewayProcess start(List<String> main, String... options) throws IOException {
        int operator = freePort();
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:MaxDirectMemorySize=16m"));
        command.addAll(List.of(options));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(main);
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment()
                .putAll(Map.of(
                        "RELAY_CONFIG",
                        folder.resolve("config.json").toString(),
                        "RELAY_OPERATOR",
                        "127.0.0.1:" + operator,
                        "TMPDIR",
                        folder.toString()));
        Process process = builder.start();
        processes.add(process);
        BlockingQueue<String> lines = new LinkedBlockingQueue<>();
        Thread reader = new Thread(
                () -> {
                    try (BufferedReader out = new BufferedReader(
                            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
                        out.lines().forEach(lines::add);
                    } catch (IOException | java.io.UncheckedIOException e) {
                        // The process was killed.
                    }
                    lines.add(END_OF_OUTPUT);
                },
                "lines");
        reader.setDaemon(true);
        reader.start();
        return new GatewayProcess(process, operator, lines, new ArrayList<>());
    }

    /** Returns a request's head without its length and the empty line that ends it. */
    public static String request(String method, String kind, String query, String txn) {
        return method + " /" + kind + "/00000000000000a1/7f3a9c21e0b4d655" + query + " HTTP/1.1\r\nHost: b\r\nX-Txn: "
                + txn
                + "\r\nX-Qos-Policy: basic\r\nX-Remaining-Ms: 5000\r\nX-Placement: units=1,shard=0,hosts=1\r\n"
                + (method.equals("PUT") ? "Idempotency-Key: k" + txn + "\r\n" : "");
    }

    /** Sends a read on a connection and returns status and body. */
    public static String read(Client client, String kind, String txn) throws IOException {
        client.send(request("GET", kind, "", txn) + "\r\n");
        return client.readAnswer();
    }

    @Override
    public void close() throws IOException {
        processes.forEach(Process::destroyForcibly);
        node.stop(0);
        discovery.close();
    }
}
