package petrelstand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.testing.GatewayProcesses;
import petrelstand.testing.GatewayProcesses.GatewayProcess;
import petrelstand.testing.LoopbackPeers.Client;

/**
 * Guards against a process that ends for lack of memory, or keeps memory, under clients that send what is bad or large
 * in every form, all at once. What each client does is drawn from the seed.
 */
@Timeout(300)
class MixedClientsMemoryProcessTest {
    private static final long SEED = Long.getLong("mixed.seed", 58);
    private static final long LOAD_MS = Long.getLong("mixed.ms", 15_000);
    /** About as many connections as a gateway has room for. */
    private static final int BAD_CLIENTS = 450;

    private static final int USUAL_CLIENTS = 4;
    private static final long STEP_MS = 10;
    /** Live objects of a gateway that nobody uses; half of what is kept for the program itself, the rest is garbage. */
    private static final long MAX_LIVE_BYTES_AT_REST = 9L << 20;
    /** The memory of a gateway, by the deploy page. */
    private static final long MAX_RESIDENT_KB = 192 * 1024;
    /** Longer than any deadline, so that what belongs to requests has gone. */
    private static final long REST_MS = 6_000;

    @TempDir
    Path folder;

    private GatewayProcesses gateway;
    private GatewayProcess process;

    @BeforeEach
    void start() throws Exception {
        gateway = new GatewayProcesses(folder, 5);
        JsonObject config = gateway.config();
        config.getAsJsonObject("limits").addProperty("sockets", 1024);
        gateway.config(config);
        process = gateway.start("-Xms40m", "-XX:TieredStopAtLevel=1", "-Xss512k", "-XX:MaxMetaspaceSize=40m");
        process.await("ready: ");
    }

    @AfterEach
    void close() throws IOException {
        gateway.close();
    }

    /** One connection of a bad or large client: what it sends, how fast it sends and reads, and how it ends. */
    private final class BadClient {
        private final SocketChannel channel;
        private final ByteBuffer unsent;
        private final ByteBuffer received = ByteBuffer.allocate(64 * 1024);
        private final int sentPerStep;
        private final int readPerStep;
        private final boolean reset;
        private int stepsLeft;

        BadClient(Random random) throws IOException {
            channel = SocketChannel.open(new InetSocketAddress("127.0.0.1", gateway.port()));
            channel.configureBlocking(false);
            unsent = ByteBuffer.wrap(draw(random).getBytes(StandardCharsets.ISO_8859_1));
            sentPerStep = random.nextBoolean() ? Integer.MAX_VALUE : 1 + random.nextInt(20_000);
            readPerStep = random.nextInt(3) == 0 ? 0 : 1 + random.nextInt(64 * 1024);
            reset = random.nextInt(4) == 0;
            stepsLeft = 20 + random.nextInt(400);
        }

        /** Sends and reads a little; returns false once the client has left. */
        boolean step() {
            try {
                if (unsent.hasRemaining()) {
                    ByteBuffer part = unsent.slice();
                    part.limit(Math.min(part.limit(), sentPerStep));
                    unsent.position(unsent.position() + channel.write(part));
                }
                if (readPerStep > 0) {
                    received.clear().limit(readPerStep);
                    stepsLeft = channel.read(received) < 0 ? 0 : stepsLeft;
                }
            } catch (IOException e) {
                stepsLeft = 0;
            }
            if (stepsLeft-- > 0) {
                return true;
            }
            leave();
            return false;
        }

        void leave() {
            try {
                if (reset) {
                    channel.setOption(StandardSocketOptions.SO_LINGER, 0);
                }
                channel.close();
            } catch (IOException e) {
                // It has gone already.
            }
        }

        private String draw(Random random) {
            String txn = "b" + Long.toHexString(random.nextLong());
            int bytes = 1 << (10 + random.nextInt(12));
            String read = GatewayProcesses.request("GET", "bulk-export", "?bytes=" + bytes, txn);
            String write = GatewayProcesses.request("PUT", "survey-write", "", txn);
            return switch (random.nextInt(10)) {
                case 0 -> read + "a:b\r\n".repeat(random.nextInt(1_500));
                case 1 -> read + "X-Long: " + "x".repeat(random.nextInt(7_500));
                case 2 -> read.replace("?", "?" + "q".repeat(random.nextInt(7_500)) + "&");
                case 3 -> read + "\r\n";
                case 4 -> read.replace("?bytes=" + bytes, "?bytes=" + bytes + "&chunked") + "\r\n";
                case 5 -> write + "Content-Length: " + 2 * bytes + "\r\n\r\n" + "z".repeat(bytes);
                case 6 -> write + "Content-Length: " + bytes + "\r\n\r\n" + "z".repeat(bytes);
                case 7 ->
                    write + "Transfer-Encoding: chunked\r\n\r\n" + chunks(bytes, 1 + random.nextInt(9_000))
                            + "0\r\n\r\n";
                case 8 ->
                    write + "Transfer-Encoding: chunked\r\n\r\n" + chunks(bytes, 1 + random.nextInt(16))
                            + "0\r\nX-Trailer: " + "t".repeat(random.nextInt(7_000));
                default -> pipelined(random, txn);
            };
        }

        private String chunks(int bytes, int chunkBytes) {
            String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "z".repeat(chunkBytes) + "\r\n";
            return chunk.repeat(Math.min(bytes / chunkBytes, 100_000));
        }

        private String pipelined(Random random, String txn) {
            StringBuilder requests = new StringBuilder();
            int count = 1 + random.nextInt(200);
            for (int i = 0; i < count; i++) {
                requests.append(GatewayProcesses.request("GET", "tile-read", "", txn + "p" + i))
                        .append("\r\n");
            }
            return requests.toString();
        }
    }

    /** Keeps a crowd of bad clients on one thread; one that leaves is followed by the next. */
    private void runBadClients(AtomicBoolean stop, List<String> failures) {
        Random random = new Random(SEED);
        List<BadClient> clients = new ArrayList<>();
        try {
            while (!stop.get()) {
                for (Iterator<BadClient> each = clients.iterator(); each.hasNext(); ) {
                    if (!each.next().step()) {
                        each.remove();
                    }
                }
                for (int i = 0; i < 20 && clients.size() < BAD_CLIENTS; i++) {
                    clients.add(new BadClient(random));
                }
                Thread.sleep(STEP_MS);
            }
        } catch (IOException | InterruptedException e) {
            if (process.process().isAlive()) {
                failures.add("the crowd ended: " + e);
            }
        } finally {
            clients.forEach(BadClient::leave);
        }
    }

    private void runUsualClient(int number, AtomicBoolean stop, AtomicInteger served, AtomicInteger refused) {
        Client client = null;
        for (int i = 0; !stop.get(); i++) {
            try {
                client = client == null ? new Client(gateway.port()) : client;
                String answer = GatewayProcesses.read(client, "tile-read", "u" + number + "x" + i);
                (answer.startsWith("200") ? served : refused).incrementAndGet();
                if (answer.equals("closed")) {
                    client.close();
                    client = null;
                }
                Thread.sleep(20);
            } catch (IOException | RuntimeException | InterruptedException e) {
                refused.incrementAndGet();
                client = null;
            }
        }
    }

    @Test
    void processLivesAndForgetsThem() throws Exception {
        AtomicBoolean stop = new AtomicBoolean();
        List<String> failures = new CopyOnWriteArrayList<>();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        threads.add(new Thread(() -> runBadClients(stop, failures), "crowd"));
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i;
            threads.add(new Thread(() -> runUsualClient(number, stop, served, refused), "usual"));
        }
        threads.forEach(Thread::start);
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOAD_MS);
        while (System.nanoTime() < untilNs && process.process().isAlive()) {
            Thread.sleep(100);
        }
        stop.set(true);
        for (Thread thread : threads) {
            thread.join(30_000);
        }
        List<String> lines = new ArrayList<>(process.linesRead());
        process.lines().drainTo(lines);
        assertTrue(process.process().isAlive(), "the process has ended: " + lines);
        assertEquals(List.of(), failures);
        assertEquals(
                List.of(),
                lines.stream()
                        .filter(line -> line.contains("OutOfMemory") || line.contains("exception"))
                        .toList());
        long residentKb = peakResidentKb();
        Thread.sleep(REST_MS);
        long liveBytes = liveBytes();
        System.out.println("mixed clients, seed " + SEED + ": usual requests served " + served + ", refused " + refused
                + ", peak of resident memory " + residentKb + " KB, live bytes afterwards " + liveBytes);
        assertTrue(residentKb <= MAX_RESIDENT_KB, residentKb + " KB resident");
        assertTrue(liveBytes <= MAX_LIVE_BYTES_AT_REST, liveBytes + " live bytes at rest");
        try (Client client = new Client(gateway.port())) {
            assertTrue(GatewayProcesses.read(client, "tile-read", "after").startsWith("200"));
        }
        String counters = counters();
        for (String expected : List.of("module.requests 0", "module.in_flight 0", "module.held_units 0")) {
            assertTrue(counters.contains(expected + "\n"), counters);
        }
        assertTrue(!counters.contains("module_unbalanced") && !counters.contains("module_faults"), counters);
    }

    private long peakResidentKb() throws IOException {
        Path status = Path.of("/proc", Long.toString(process.process().pid()), "status");
        return Files.readAllLines(status).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElseThrow();
    }

    private String counters() throws IOException {
        try (Client client = new Client(gateway.port())) {
            client.send("GET /counters HTTP/1.1\r\nHost: b\r\n\r\n");
            return client.readAnswer();
        }
    }

    /** Bytes of the objects that a collection leaves, by the virtual machine's own histogram. */
    private long liveBytes() throws IOException, InterruptedException {
        Process histogram = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                        Long.toString(process.process().pid()),
                        "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        String total = "";
        try (BufferedReader out =
                new BufferedReader(new InputStreamReader(histogram.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                total = line.startsWith("Total") ? line : total;
            }
        }
        histogram.waitFor();
        return Long.parseLong(total.strip().split("\\s+")[2]);
    }
}
