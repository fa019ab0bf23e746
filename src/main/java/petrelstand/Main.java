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
 * Command line of the jar: serves as a gateway, plays the simulator's wire, or rehearses for the build's class-data
 * archive.
 */
public final class Main {
    private static final Consumer<String> TEXT_LOG = line -> System.out.println("petrelstand: " + line);

    private Main() {}

    public static void main(String[] args) {
        // Of the two that the jars hold, the plain one, unless the operator asks for another; and no word on it.
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

    /** Serves as the platform says: by the file of RELAY_CONFIG and, where there is one, the operator's. */
    private static void serve() {
        // SIGHUP ends a virtual machine that does not handle it, so it is handled from the first moment on; one
        // that comes before the gateway serves waits for that.
        CompletableFuture<Gateway> serving = new CompletableFuture<>();
        if (!Signals.handle("HUP", () -> serving.thenAccept(Main::reload))) {
            System.err.println("petrelstand: SIGHUP is ignored by whoever started this process: only a restart takes"
                    + " changed files");
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

    /** Ends without the shutdown hook, which would wait for a gateway that does not serve. */
    private static void startFailed(String reason) {
        System.err.println("petrelstand: " + reason);
        Runtime.getRuntime().halt(ExitStatus.START_FAILED);
    }

    /** Serves until SIGTERM, and ends the process. */
    static void serve(GatewayConfig config, OperatorConfig operator, CompletableFuture<Gateway> serving)
            throws Exception {
        Consumer<String> log = logFor(operator);
        Gateway gateway = new Gateway(config, operator, log, () -> {
            System.out.flush();
            Runtime.getRuntime().halt(ExitStatus.ENDED);
        });
        Terminator terminator = installTerminator(gateway);
        Future<?> ready = gateway.start();
        // SIGTERM: the hook holds the process until the gateway has ended it. The loop takes tasks from here on.
        Thread hook = new Thread(() -> terminate(gateway, terminator), "terminate");
        hook.setUncaughtExceptionHandler(terminator);
        Runtime.getRuntime().addShutdownHook(hook);
        ready.get();
        serving.complete(gateway);
        if (operator != null) {
            operator.startWatching(
                    config.settings(),
                    changed -> gateway.execute(() -> gateway.reload(changed)),
                    why -> log.accept("the former operator's file stays in use: " + why));
        }
        new CountDownLatch(1).await();
    }

    /**
     * Before the start: sees to it that the process ends where this thread or the loop's can't go on, and where the
     * loop stands still.
     */
    private static Terminator installTerminator(Gateway gateway) {
        Terminator terminator = new Terminator();
        Thread.currentThread().setUncaughtExceptionHandler(terminator);
        gateway.loop().setFatalErrorHandler(terminator);
        Watchdog.start(gateway.loop(), terminator);
        return terminator;
    }

    /**
     * SIGTERM or SIGINT: holds the process until the gateway has answered all and ended it, or until that is overdue. A
     * signal that comes before the gateway serves waits for that, on the loop.
     */
    private static void terminate(Gateway gateway, Terminator terminator) {
        long startNs = System.nanoTime();
        gateway.execute(gateway::drain);
        long remainingUs = gateway.forcedEndUs();
        while (remainingUs > 0) {
            try {
                TimeUnit.MICROSECONDS.sleep(remainingUs);
            } catch (InterruptedException e) {
                // Nobody means to interrupt it, and the process must not end sooner.
            }
            // The drain may have followed a reload with longer deadlines.
            remainingUs = gateway.forcedEndUs() - (System.nanoTime() - startNs) / 1000;
        }
        terminator.end(ExitStatus.SHUTDOWN_OVERDUE, "not ended by itself in time after SIGTERM");
    }

    /** Where log lines go: text on standard output, or JSON where the operator asks for it. */
    private static Consumer<String> logFor(OperatorConfig operator) {
        if (operator != null && operator.jsonLog()) {
            return new JsonLog();
        }
        return TEXT_LOG;
    }

    /**
     * The gateway's file is read and checked whole off the loop, one signal after another; the last one read is the
     * last one taken.
     */
    private static synchronized void reload(Gateway gateway) {
        try {
            GatewayConfig changed = GatewayConfig.reload(System.getenv(), gateway.config());
            gateway.execute(() -> gateway.reload(changed));
        } catch (RuntimeException | OutOfMemoryError e) {
            // A file for which there is no room is one that can't be read.
            gateway.execute(() -> gateway.reloadFailed(e.getMessage()));
        }
    }

    /** A start and an end on loopback, with one request: what it loads goes into the class-data archive. */
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
