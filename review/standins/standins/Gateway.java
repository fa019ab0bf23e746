package standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A gateway's process, started with the command {@code run} of the deploy file. */
public final class Gateway implements AutoCloseable {
    private final Process process;
    private final int port;
    private final Path log;

    /** Starts a gateway before the nodes that discovery tells; {@code settings} is the object of the file's field. */
    public Gateway(String name, Discovery discovery, String settings, Path folder) throws IOException {
        port = freePort();
        Path config = folder.resolve(name + ".json");
        Path temporary = Files.createDirectories(folder.resolve(name + ".tmp"));
        log = folder.resolve(name + ".log");
        Files.writeString(
                config,
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                        + discovery.address() + "\",\"seed\":\"8c1f30d27a5be964\","
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                        + "\"known\":" + discovery.list() + ",\"settings\":" + settings + "}");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", System.getenv("RUN_COMMAND"))
                .directory(Path.of(System.getenv("ROOT")).toFile())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().put("RELAY_NAME", name);
        builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("RELAY_DISCOVERY", discovery.address());
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    public int port() {
        return port;
    }

    /** Waits until {@code GET /ready} answers 200; false if it does not within 30 s. */
    public boolean awaitReady() throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < endNs && process.isAlive()) {
            try (Client client = new Client(port)) {
                if (client.get("/ready", 1_000).status() == 200) {
                    return true;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(50);
        }
        return false;
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** How the process ended, as a shell tells it. */
    public int exitStatus() {
        return process.exitValue();
    }

    /** The last lines of the gateway's log. */
    public String logTail(int lines) throws IOException {
        List<String> all = Files.readAllLines(log);
        return String.join("\n", all.subList(Math.max(0, all.size() - lines), all.size()));
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
