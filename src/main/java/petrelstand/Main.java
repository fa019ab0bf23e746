package petrelstand;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import petrelstand.cli.Cli;
import petrelstand.config.GatewayConfig;
import petrelstand.config.OperatorConfig;
import petrelstand.lifecycle.ExitStatus;
import petrelstand.logging.JsonLog;
import petrelstand.sim.SimulatorHost;
import petrelstand.sim.SimulatorProtocolException;

/**
 * Entry point of the jar: serves as a gateway, runs instances for the simulator, or runs a short rehearsal that records
 * the classes for the build's class-data archive. Other arguments go to the command line in {@code cli}.
 */
public final class Main {
    private static final Consumer<String> TEXT_LOG = line -> System.out.println("petrelstand: " + line);

    private Main() {}

    public static void main(String[] args) {
        // The class path holds two SLF4J providers; the JSON log replaces this one.
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider");
        System.setProperty("slf4j.internal.verbosity", "WARN");
        if (args.length == 1 && args[0].equals("serve")) {
            serve();
        } else if (args.length == 1 && args[0].equals("wirehost")) {
            wirehost();
        } else if (args.length == 1 && args[0].equals("rehearse")) {
            rehearse();
        } else {
            System.exit(Cli.line(
                            Main::serve,
                            Main::wirehost,
                            Main::rehearse,
                            (config, operator) -> serve(config, operator, new CompletableFuture<>()))
                    .execute(args));
        }
    }

    /** Serves with the configuration that RELAY_CONFIG names and, if there is one, the operator's. */
    private static void serve() {
        // An unhandled SIGHUP ends the virtual machine, so the handler is installed first; a signal that arrives
        // before the gateway serves takes effect when it does.
        CompletableFuture<Gateway> serving = new CompletableFuture<>();
        if (!Signals.handle("HUP", () -> serving.thenAccept(Main::reload))) {
            System.err.println("petrelstand: this process was started with SIGHUP ignored: changed files take effect"
                    + " only at a restart");
        }
        try {
            GatewayConfig config = GatewayConfig.load(System.getenv());
            Path file = OperatorConfig.locate(System.getenv());
            serve(config, file == null ? null : OperatorConfig.load(file, config.settings()), serving);
        } catch (ExecutionException e) {
            startFailed(e.getCause().getMessage());
        } catch (IllegalArgumentException | IOException e) {
            startFailed(e.getMessage());
        } catch (Exception e) {
            startFailed("internal fault: " + e);
        }
    }

    /** Halts without running the shutdown hook, which would wait for a gateway that does not serve. */
    private static void startFailed(String reason) {
        System.err.println("petrelstand: " + reason);
        Runtime.getRuntime().halt(ExitStatus.START_FAILED);
    }

    /** Serves until SIGTERM, which ends the process; completes {@code serving} once clients are served. */
    static void serve(GatewayConfig config, OperatorConfig operator, CompletableFuture<Gateway> serving)
            throws Exception {
        Consumer<String> log = logFor(operator);
        Gateway gateway = new Gateway(config, operator, log, () -> {
            System.out.flush();
            Runtime.getRuntime().halt(ExitStatus.ENDED);
        });
        Terminator terminator = installTerminator(gateway);
        Future<?> ready = gateway.start();
        // Registered once the loop accepts tasks. On SIGTERM the hook blocks until the gateway halts the process.
        Thread hook = new Thread(() -> terminate(gateway, terminator), "terminate");
        hook.setUncaughtExceptionHandler(terminator);
        Runtime.getRuntime().addShutdownHook(hook);
        ready.get();
        serving.complete(gateway);
        if (operator != null) {
            operator.startWatching(
                    config.settings(),
                    changed -> gateway.execute(() -> gateway.reload(changed)),
                    why -> log.accept("the changed operator's file is rejected, the former one stays in use: " + why));
        }
        new CountDownLatch(1).await();
    }

    /** Makes the process end if this thread or the loop's fails, or if the loop stalls; called before the start. */
    private static Terminator installTerminator(Gateway gateway) {
        Terminator terminator = new Terminator();
        Thread.currentThread().setUncaughtExceptionHandler(terminator);
        gateway.loop().setFatalErrorHandler(terminator);
        Watchdog.start(gateway.loop(), terminator);
        return terminator;
    }

    /**
     * Handles SIGTERM and SIGINT: starts the drain and blocks until the gateway halts the process, or halts it when
     * that is overdue.
     */
    private static void terminate(Gateway gateway, Terminator terminator) {
        long startNs = System.nanoTime();
        gateway.execute(gateway::drain);
        long remainingUs = gateway.forcedEndUs();
        while (remainingUs > 0) {
            try {
                TimeUnit.MICROSECONDS.sleep(remainingUs);
            } catch (InterruptedException e) {
                // An interrupt must not end the process early; the remaining time is computed again.
            }
            // A reload before the drain may have lengthened the deadlines.
            remainingUs = gateway.forcedEndUs() - (System.nanoTime() - startNs) / 1000;
        }
        terminator.end(ExitStatus.SHUTDOWN_OVERDUE, "not ended by itself in time after SIGTERM");
    }

    /** Returns the log in the configured form: text on standard output, or JSON. */
    private static Consumer<String> logFor(OperatorConfig operator) {
        if (operator != null && operator.jsonLog()) {
            return new JsonLog();
        }
        return TEXT_LOG;
    }

    /** Reads and checks the gateway's configuration off the loop, then applies it there; one signal at a time. */
    private static synchronized void reload(Gateway gateway) {
        try {
            GatewayConfig changed = GatewayConfig.reload(System.getenv(), gateway.config());
            gateway.execute(() -> gateway.reload(changed));
        } catch (RuntimeException | OutOfMemoryError e) {
            // A file too large for the memory is rejected like one that can't be read.
            gateway.execute(() -> gateway.reloadFailed(e.getMessage()));
        }
    }

    /** Starts and ends a gateway on loopback with one request, to load the classes for the class-data archive. */
    private static void rehearse() {
        try (InputStream file = Main.class.getResourceAsStream("/rehearsal.json")) {
            GatewayConfig config =
                    GatewayConfig.parse(new String(file.readAllBytes(), StandardCharsets.UTF_8), Map.of());
            CountDownLatch ended = new CountDownLatch(1);
            Gateway gateway = new Gateway(config, null, TEXT_LOG, ended::countDown);
            installTerminator(gateway);
            int port = gateway.start().get().get(0);
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
                client.getOutputStream()
                        .write("GET /ready HTTP/1.1\r\nHost: b\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                client.getInputStream().read();
            }
            HotRestartPart.rehearse(config);
            gateway.execute(gateway::drain);
            ended.await();
            System.exit(ExitStatus.ENDED);
        } catch (Exception e) {
            System.err.println("petrelstand: the rehearsal failed: " + e);
            System.exit(1);
        }
    }

    private static void wirehost() {
        try {
            new SimulatorHost()
                    .run(new BufferedInputStream(System.in, 1 << 16), new BufferedOutputStream(System.out, 1 << 16));
        } catch (SimulatorProtocolException | IOException e) {
            System.err.println("petrelstand: " + e.getMessage());
            System.exit(1);
        } catch (RuntimeException e) {
            System.err.println("petrelstand: internal fault: " + e);
            System.exit(1);
        }
    }
}
