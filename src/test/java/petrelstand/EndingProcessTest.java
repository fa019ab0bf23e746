package petrelstand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import petrelstand.lifecycle.ExitStatus;
import petrelstand.testing.GatewayProcesses;
import petrelstand.testing.GatewayProcesses.GatewayProcess;
import petrelstand.testing.LoopbackPeers.Client;

/** Guards against a process that can't serve any more but does not exit or keeps its port. */
@Timeout(120)
class EndingProcessTest {
    private static final long EXIT_TIMEOUT_MS = 2_000;

    @TempDir
    Path folder;

    private GatewayProcesses gateway;

    @BeforeEach
    void open() throws IOException {
        gateway = new GatewayProcesses(folder, 2);
    }

    @AfterEach
    void close() throws IOException {
        gateway.close();
    }

    private GatewayProcess startFaulty(String fault) throws Exception {
        GatewayProcess run = gateway.start(List.of("petrelstand.FaultyGateway", fault));
        run.await("fault: " + fault);
        return run;
    }

    private void assertPortFree() throws IOException {
        new ServerSocket(gateway.port(), 1, InetAddress.getLoopbackAddress()).close();
    }

    /** Waits for the exit and returns how long it took, ms. */
    private static long awaitExit(GatewayProcess run, int status, long withinMs) throws InterruptedException {
        long startNs = System.nanoTime();
        assertTrue(run.process().waitFor(withinMs, TimeUnit.MILLISECONDS), "still there: " + run.linesRead());
        long tookMs = (System.nanoTime() - startNs) / 1_000_000;
        assertEquals(status, run.process().exitValue());
        return tookMs;
    }

    @ParameterizedTest
    @CsvSource({
        "stack, java.lang.StackOverflowError",
        "linkage, java.lang.NoClassDefFoundError: meant/by/the/Test at petrelstand",
        "memory, java.lang.OutOfMemoryError: Java heap space"
    })
    void errorOnLoopEndsProcess(String fault, String error) throws Exception {
        GatewayProcess run = startFaulty(fault);
        String line = run.await("petrelstand: fatal: ");
        long tookMs = awaitExit(run, ExitStatus.FATAL_ERROR, EXIT_TIMEOUT_MS);
        System.out.println("an error on the loop, " + fault + ": ended " + tookMs + " ms after its line");
        // Without memory, the output of another thread may precede the line.
        line = line.substring(line.indexOf("petrelstand: fatal: "));
        assertTrue(line.startsWith("petrelstand: fatal: thread loop has ended by " + error), line);
        assertTrue(line.endsWith("; the process ends with status 70"), line);
        assertPortFree();
    }

    @Test
    void stalledLoopEndsProcess() throws Exception {
        GatewayProcess run = startFaulty("stand");
        long startNs = System.nanoTime();
        String line = run.await("petrelstand: fatal: ");
        assertTrue(System.nanoTime() - startNs >= TimeUnit.SECONDS.toNanos(13));
        awaitExit(run, ExitStatus.LOOP_STALLED, EXIT_TIMEOUT_MS);
        assertTrue(
                line.matches("petrelstand: fatal: the loop has not turned for 15 s; it is at .*sleep.*"
                        + "; the process ends with status 71"),
                line);
        assertPortFree();
    }

    /**
     * A process started with SIGINT ignored, as from a shell's background, keeps that (the virtual machine can't change
     * it): there the signal does nothing, and SIGTERM ends it.
     */
    @ParameterizedTest
    @CsvSource({"TERM", "INT"})
    void signalEndsProcessWithStalledLoop(String signal) throws Exception {
        GatewayProcess run = startFaulty("stand");
        run.signal(signal);
        if (signal.equals("INT") && ignoresInterrupt(run.process())) {
            assertFalse(
                    run.process().waitFor(1, TimeUnit.SECONDS),
                    "ended by a signal that it ignores: " + run.linesRead());
            run.signal("TERM");
        }
        // The longest deadline of the settings is 5 s, which counts as 3 s; the process may be killed after 3.7 s.
        long tookMs = awaitExit(run, ExitStatus.SHUTDOWN_OVERDUE, 3_700 + EXIT_TIMEOUT_MS);
        assertTrue(tookMs >= 3_000, tookMs + " ms");
        run.await("petrelstand: fatal: not ended by itself in time after SIGTERM; the process ends with status 72");
        assertPortFree();
    }

    private static boolean ignoresInterrupt(Process process) throws IOException {
        String mask = Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("SigIgn:"))
                .findFirst()
                .orElseThrow()
                .substring("SigIgn:".length());
        long interrupt = 1L << 1;
        return (Long.parseUnsignedLong(mask.strip(), 16) & interrupt) != 0;
    }

    @Test
    void processServesAfterLongStop() throws Exception {
        GatewayProcess run = gateway.start();
        run.await("ready: ");
        run.signal("STOP");
        TimeUnit.SECONDS.sleep(17);
        run.signal("CONT");
        for (int i = 0; i < 30; i++) {
            try (Client client = new Client(gateway.port())) {
                assertTrue(GatewayProcesses.read(client, "tile-read", "c" + i).startsWith("200"));
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        assertTrue(run.process().isAlive());
        assertThrows(IOException.class, this::assertPortFree);
        run.signal("TERM");
        awaitExit(run, ExitStatus.ENDED, 20_000);
    }
}
