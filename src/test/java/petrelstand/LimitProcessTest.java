package petrelstand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.testing.GatewayProcesses;
import petrelstand.testing.GatewayProcesses.GatewayProcess;
import petrelstand.testing.LoopbackPeers.Client;

/**
 * A volume's limit over two started processes of one gateway: one takes the other's place, one is stopped, one is
 * killed.
 */
@Timeout(120)
class LimitProcessTest {
    private static final double RATE = 20;
    private static final double BURST = 24;
    /** What the rule adds on sockets, and as much again for answers that are seen late and close together here. */
    private static final double SLACK = RATE * 0.3;

    private static final int CLIENTS = 8;
    /** Half of the burst, which is the most that may be under way; each body goes in pieces. */
    private static final int SLOW_BODIES = 6;

    private static final int SLOW_UNITS = 2;
    private static final int SLOW_BYTES = 100_000;
    /** Both processes serve for so long: twice the rate would exceed the limit by 60. */
    private static final long BOTH_SERVE_MS = 3_000;

    @TempDir
    Path folder;

    private GatewayProcesses gateway;
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final List<Thread> clients = new ArrayList<>();
    /** When each served request was answered, ns, and its units. */
    private final ConcurrentSkipListMap<Long, Integer> served = new ConcurrentSkipListMap<>();

    private final AtomicLong requestNumber = new AtomicLong();

    @BeforeEach
    void open() throws IOException {
        gateway = new GatewayProcesses(folder, 2);
        JsonObject config = gateway.config();
        JsonObject plan = config.getAsJsonObject("settings")
                .getAsJsonArray("plans")
                .get(0)
                .getAsJsonObject();
        plan.addProperty("limit", RATE);
        plan.addProperty("burst", BURST);
        plan.addProperty("tolerance", 0);
        gateway.config(config);
    }

    @AfterEach
    void close() throws IOException, InterruptedException {
        stopped.set(true);
        for (Thread client : clients) {
            client.join(20_000);
        }
        gateway.close();
    }

    private GatewayProcess startServing() throws Exception {
        GatewayProcess run = gateway.start();
        run.await("ready: ");
        return run;
    }

    private void startOverload() {
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Thread(this::sendUntilStopped, "client-" + i));
            clients.get(i).start();
        }
    }

    /** A connection for each request, so that the system deals them out to the processes that listen. */
    private void sendUntilStopped() {
        while (!stopped.get()) {
            long number = requestNumber.incrementAndGet();
            try (Client client = new Client(gateway.port())) {
                if (GatewayProcesses.read(client, "tile-read", Long.toHexString(number))
                        .startsWith("200")) {
                    served.put(System.nanoTime(), 1);
                }
                TimeUnit.MILLISECONDS.sleep(10);
            } catch (IOException | java.io.UncheckedIOException e) {
                // A process that ends, or was killed, in between.
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void assertLimitHeld() {
        double level = BURST;
        double lowest = BURST;
        long before = served.firstKey();
        for (long at : served.keySet()) {
            level = Math.min(BURST, level + RATE * (at - before) / 1e9) - served.get(at);
            lowest = Math.min(lowest, level);
            before = at;
        }
        assertTrue(lowest >= -SLACK, "over the limit by " + -lowest + " of " + served.size() + " served");
    }

    @Test
    void twoProcessesOfOneGatewayShareLimit() throws Exception {
        GatewayProcess old = startServing();
        TimeUnit.MILLISECONDS.sleep((long) (1000 * BURST / RATE));
        startOverload();
        GatewayProcess fresh = startServing();
        old.await("another process of this gateway listens too");
        TimeUnit.MILLISECONDS.sleep(BOTH_SERVE_MS);
        old.signal("TERM");
        assertTrue(old.process().waitFor(20, TimeUnit.SECONDS));
        fresh.await("the other process is gone");
        TimeUnit.MILLISECONDS.sleep(1_500);
        assertLimitHeld();
        assertTrue(fresh.telemetry("passed.tile-read") > RATE * BOTH_SERVE_MS / 1000 / 4, "the new process has its half");
        assertEquals(0, fresh.telemetry("bad_gateway.tile-read"));
    }

    /** The old process holds a full store, is stopped while the new one comes, and goes on; then it is killed. */
    @Test
    void resumedProcessDoesNotExceedItsShare() throws Exception {
        GatewayProcess old = startServing();
        TimeUnit.MILLISECONDS.sleep((long) (1000 * BURST / RATE));
        old.signal("STOP");
        GatewayProcess fresh = gateway.start();
        fresh.await("ready: ");
        startOverload();
        TimeUnit.MILLISECONDS.sleep(BOTH_SERVE_MS);
        old.signal("CONT");
        TimeUnit.MILLISECONDS.sleep(BOTH_SERVE_MS);
        old.process().destroyForcibly().waitFor();
        TimeUnit.MILLISECONDS.sleep(1_500);
        assertLimitHeld();
    }

    /** Bodies that began over time end in one moment, with all that the limit allows right behind them. */
    @Test
    void slowBodiesEndingTogetherStayWithinLimit() throws Exception {
        GatewayProcess run = startServing();
        TimeUnit.MILLISECONDS.sleep((long) (1000 * BURST / RATE));
        List<Client> slow = new ArrayList<>();
        for (int i = 0; i < SLOW_BODIES; i++) {
            Client client = new Client(gateway.port());
            client.send(
                    GatewayProcesses.request("PUT", "survey-write", "", "s" + i).replace("units=1", "units=" + SLOW_UNITS)
                            + "Content-Length: " + SLOW_BYTES + "\r\n\r\n" + "z".repeat(SLOW_BYTES - 1));
            slow.add(client);
        }
        TimeUnit.MILLISECONDS.sleep(1_500);
        startOverload();
        for (Client client : slow) {
            client.send("z");
        }
        for (Client client : slow) {
            assertTrue(client.readAnswer().startsWith("200"));
            served.put(System.nanoTime(), SLOW_UNITS);
            client.close();
        }
        TimeUnit.MILLISECONDS.sleep(1_000);
        assertEquals(SLOW_BODIES, run.telemetry("passed.survey-write"));
        assertLimitHeld();
    }
}
