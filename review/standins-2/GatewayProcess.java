import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A gateway, started with the command 'run' of the deploy file by /bin/sh -c from the repository's root. */
final class GatewayProcess implements Closeable {
    private static final List<GatewayProcess> ALL = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> ALL.forEach(GatewayProcess::close)));
    }

    private final String name;
    private final int port;
    private final Recorder record;
    private final Process process;

    /** Starts a gateway with a folder of its own; {@code extra} goes into its environment. */
    GatewayProcess(
            String name, int port, Path root, Path folder, String configJson, Map<String, String> extra, Recorder record)
            throws IOException {
        this.name = name;
        this.port = port;
        this.record = record;
        Files.createDirectories(folder.resolve("tmp"));
        Path config = folder.resolve("config.json");
        Files.writeString(config, configJson);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root)).directory(root.toFile());
        builder.redirectErrorStream(true);
        Map<String, String> environment = new HashMap<>(extra);
        environment.put("RELAY_CONFIG", config.toString());
        environment.putIfAbsent("TMPDIR", folder.resolve("tmp").toString());
        builder.environment().putAll(environment);
        process = builder.start();
        synchronized (ALL) {
            ALL.add(this);
        }
        record.line(name + " is started, process " + process.pid());
        Threads.start(name + " log", this::copyLog);
    }

    /** The command 'run' of deploy/balancer.toml. */
    static String runCommand(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no command 'run'");
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private void copyLog() throws IOException {
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                record.line(name + " log: " + line);
            }
        }
    }

    int port() {
        return port;
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** The exit code of a process that has ended. */
    int exitCode() {
        return process.exitValue();
    }

    /** The process's resident memory as the operating system tells it. */
    String memory() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid()), "status"))) {
                if (line.startsWith("VmRSS")) {
                    return line.replaceAll("\\s+", " ");
                }
            }
        } catch (IOException e) {
            // The process has ended.
        }
        return "unknown";
    }

    /** Waits for a yes at GET /ready, for 30 s at most. */
    boolean awaitReady() {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < until && process.isAlive()) {
            try (Client client = new Client(port)) {
                client.setTimeout(1000);
                client.send("GET /ready HTTP/1.1\r\nHost: b\r\n\r\n");
                Message answer = client.read();
                if (answer != null && answer.status() == 200) {
                    record.line(name + " is ready");
                    return true;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Threads.sleep(50);
        }
        return false;
    }

    void signal(String signal) throws IOException {
        record.line(name + " gets SIG" + signal);
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
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
