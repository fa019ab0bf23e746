package petrelstand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import java.util.zip.CRC32;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import petrelstand.testing.GatewayProcesses;
import petrelstand.testing.GatewayProcesses.GatewayProcess;
import petrelstand.testing.LoopbackPeers.Client;

/** Started processes, as operators meet them: calls, drains, other settings, a change of the process, large bodies. */
@Timeout(120)
class OperationProcessTest {
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

    private GatewayProcess startServing() throws Exception {
        GatewayProcess run = gateway.start();
        run.await("ready: ");
        return run;
    }

    private String readyStatus() throws IOException {
        try (Client client = new Client(gateway.port())) {
            client.send("GET /ready HTTP/1.1\r\nHost: b\r\n\r\n");
            return client.readAnswer().substring(0, 3);
        }
    }

    @Test
    void answersCallsBesideSilentCallers() throws Exception {
        GatewayProcess run = startServing();
        List<Client> silent = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            silent.add(new Client(run.operatorPort()));
            silent.get(i).send("GET /api/rea");
        }
        try (Client client = new Client(gateway.port())) {
            for (int i = 0; i < 20; i++) {
                assertTrue(GatewayProcesses.read(client, "tile-read", "t" + i).startsWith("200"));
            }
            client.send(GatewayProcesses.request("GET", "bulk-export", "", "e").replace("shard=0", "shard=7") + "\r\n");
            assertTrue(client.readAnswer().startsWith("503"));
            long before = System.nanoTime();
            assertEquals("200 ready\n", run.callOperator("GET", "/api/ready"));
            assertTrue(System.nanoTime() - before < TimeUnit.SECONDS.toNanos(1));
            assertEquals(20, run.telemetry("passed.tile-read"));
            assertEquals(0, run.telemetry("bad_gateway.tile-read"));
            assertEquals(1, run.telemetry("dropped.bulk-export"));
            assertEquals(20, run.telemetry("upstream_tries"));
            assertEquals(1, run.telemetry("known_storage_nodes"));
            assertEquals(0, run.telemetry("skipped_storage_nodes"));
            assertEquals(0, run.telemetry("in_progress"));
        }
        assertTrue(run.callOperator("GET", "/api/evacuate").startsWith("405"));
        assertTrue(run.callOperator("GET", "/tile-read").startsWith("404"));
        for (Client client : silent) {
            client.close();
        }
    }

    @Test
    void drainClosesConnectionsAndRejoinRestoresReady() throws Exception {
        GatewayProcess run = startServing();
        try (Client idle = new Client(gateway.port());
                Client used = new Client(gateway.port())) {
            assertTrue(GatewayProcesses.read(idle, "tile-read", "a").startsWith("200"));
            long asked = System.nanoTime();
            assertTrue(run.callOperator("POST", "/api/evacuate").startsWith("200"));
            assertEquals("503", readyStatus());
            assertEquals("200 ready\n", run.callOperator("GET", "/api/ready"));
            // In use until they are noted: none of these may be lost, and the connection ends between two of them.
            String last = "200";
            int served = 0;
            while (last.startsWith("200")) {
                try {
                    last = GatewayProcesses.read(used, "tile-read", "u" + served);
                    served += last.startsWith("200") ? 1 : 0;
                    Thread.sleep(20);
                } catch (java.io.UncheckedIOException | java.net.SocketException e) {
                    last = "closed";
                }
            }
            assertEquals("closed", last);
            // How many fit in is the machine's speed; how long it goes on is the program's.
            long inUseMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - asked);
            assertTrue(inUseMs >= 400 && served >= 1, served + " served in " + inUseMs + " ms");
            assertEquals("closed", idle.readAnswer());
            assertTrue(run.callOperator("POST", "/api/evacuate").startsWith("200"));
            assertTrue(run.callOperator("POST", "/api/rejoin").startsWith("200"));
            assertEquals("200", readyStatus());
            assertEquals(served + 1, run.telemetry("passed.tile-read"));
        }
        run.signal("TERM");
        assertTrue(run.process().waitFor(20, TimeUnit.SECONDS));
    }

    private static JsonObject withChangedClasses(JsonObject config, int drop, String added, int attempts) {
        JsonObject settings = config.getAsJsonObject("settings");
        JsonArray classes = settings.getAsJsonArray("classes");
        if (drop >= 0) {
            classes.remove(drop);
        }
        if (added != null) {
            JsonObject more = classes.get(0).deepCopy().getAsJsonObject();
            more.addProperty("name", added);
            classes.add(more);
        }
        settings.getAsJsonObject("caps").addProperty("most_tries", attempts);
        return config;
    }

    @Test
    void reloadChangesClassesAndRejectsBrokenFiles() throws Exception {
        GatewayProcess run = startServing();
        try (Client client = new Client(gateway.port())) {
            assertTrue(GatewayProcesses.read(client, "tile-read", "a").startsWith("200"));
            assertTrue(GatewayProcesses.read(client, "sounding-read", "b").startsWith("404"));
        }
        gateway.config(withChangedClasses(gateway.config(), -1, "sounding-read", 2));
        run.signal("HUP");
        run.await("at most 2 attempts; clients may go by the former file yet");
        try (Client client = new Client(gateway.port())) {
            assertTrue(GatewayProcesses.read(client, "sounding-read", "c").startsWith("200"));
        }
        String whole = gateway.config().toString();
        JsonObject zero = withChangedClasses(gateway.config(), -1, null, 0);
        JsonObject lacks = gateway.config();
        lacks.getAsJsonObject("settings")
                .getAsJsonArray("classes")
                .get(1)
                .getAsJsonObject()
                .remove("hard_limit_ms");
        JsonObject word = gateway.config();
        word.getAsJsonObject("settings")
                .getAsJsonArray("classes")
                .get(2)
                .getAsJsonObject()
                .addProperty("hard_limit_ms", "1500");
        JsonObject without = gateway.config();
        without.remove("limits");
        String[][] broken = {
            {"", "the text is not a JSON object"},
            {whole.substring(0, whole.length() / 2), "the text is not JSON"},
            {zero.toString(), "caps.most_tries is no number above 0"},
            {lacks.toString(), "settings.classes.1.hard_limit_ms is missing"},
            {word.toString(), "classes.2.hard_limit_ms is no number above 0: \"1500\""},
            {without.toString(), "limits is missing"},
        };
        for (int i = 0; i < broken.length; i++) {
            gateway.writeConfigText(broken[i][0]);
            run.signal("HUP");
            String line = run.await(broken[i][1]);
            assertTrue(line.contains("the former file stays in use") && line.contains("config.json"), line);
            assertEquals(i + 1, run.telemetry("load_errors"));
        }
        gateway.config(withChangedClasses(gateway.config(), 0, null, 1));
        run.signal("HUP");
        run.await("classes survey-write, bulk-export, sounding-read; at most 1 attempts");
        try (Client client = new Client(gateway.port())) {
            assertTrue(GatewayProcesses.read(client, "sounding-read", "d").startsWith("200"));
            assertTrue(GatewayProcesses.read(client, "tile-read", "e").startsWith("404"));
        }
        assertEquals(2, run.telemetry("loads"));
        assertEquals(1, run.telemetry("passed.tile-read"));
        assertEquals(2, run.telemetry("passed.sounding-read"));
    }

    /** Clients that keep a connection, and open another where it ended before they sent; what went wrong is told. */
    private final class Load {
        private final AtomicBoolean stopped = new AtomicBoolean();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger closedWhileIdle = new AtomicInteger();
        private final List<String> failures = new java.util.concurrent.CopyOnWriteArrayList<>();
        private final List<Thread> threads = new ArrayList<>();

        Load(int clients) {
            for (int i = 0; i < clients; i++) {
                int number = i;
                threads.add(new Thread(() -> run(number), "client-" + i));
                threads.get(i).start();
            }
        }

        private void run(int number) {
            Client client = null;
            try {
                for (int i = 0; !stopped.get(); i++) {
                    boolean fresh = client == null;
                    client = fresh ? new Client(gateway.port()) : client;
                    String answer;
                    try {
                        answer = GatewayProcesses.read(client, "tile-read", number + "-" + i);
                    } catch (IOException | java.io.UncheckedIOException e) {
                        answer = "closed";
                    }
                    if (answer.startsWith("200")) {
                        served.incrementAndGet();
                    } else if (answer.equals("closed") && !fresh) {
                        closedWhileIdle.incrementAndGet();
                    } else {
                        failures.add(answer);
                    }
                    if (!answer.startsWith("200")) {
                        client.close();
                        client = null;
                    }
                    Thread.sleep(10);
                }
            } catch (IOException | InterruptedException e) {
                failures.add(e.toString());
            }
        }

        void stop() throws InterruptedException {
            stopped.set(true);
            for (Thread thread : threads) {
                thread.join(20_000);
            }
        }
    }

    private void awaitServed(Load load, int more) throws InterruptedException {
        int before = load.served.get();
        for (int i = 0; i < 2000 && load.served.get() < before + more; i++) {
            Thread.sleep(10);
        }
        assertTrue(load.served.get() >= before + more, load.failures.toString());
    }

    @Test
    void hotRestartUnderLoadLosesNoRequest() throws Exception {
        GatewayProcess old = startServing();
        Load load = new Load(8);
        awaitServed(load, 200);
        GatewayProcess fresh = gateway.start();
        old.await("another process of this gateway starts");
        fresh.await("hot restart: took over 1 nodes and 1 volumes");
        fresh.await("ready: ");
        assertEquals("200 ready\n", fresh.callOperator("GET", "/api/ready"));
        old.await("another process of this gateway listens too");
        awaitServed(load, 100);
        old.signal("TERM");
        assertTrue(old.process().waitFor(20, TimeUnit.SECONDS));
        fresh.await("the other process is gone");
        awaitServed(load, 200);
        load.stop();
        assertEquals(List.of(), load.failures);
        // A connection closed between requests can be crossed by the next one: a few of eight at most.
        assertTrue(load.closedWhileIdle.get() <= 8 + 2, "crossed " + load.closedWhileIdle.get());
        assertTrue(fresh.telemetry("passed.tile-read") >= 200);
        try (Stream<Path> marks = Files.list(folder)) {
            assertEquals(
                    1, marks.filter(file -> file.toString().endsWith(".mark")).count());
        }
    }

    @Test
    void killedProcessLeavesTheOtherServing() throws Exception {
        GatewayProcess old = startServing();
        GatewayProcess died = gateway.start();
        old.await("another process of this gateway starts");
        died.process().destroyForcibly();
        old.await("the other process is gone");
        try (Client client = new Client(gateway.port())) {
            assertTrue(GatewayProcesses.read(client, "tile-read", "a").startsWith("200"));
        }
        assertEquals("200", readyStatus());
        GatewayProcess second = gateway.start();
        second.await("ready: ");
        old.await("another process of this gateway listens too");
        second.process().destroyForcibly().waitFor();
        for (int i = 0; i < 20; i++) {
            try (Client client = new Client(gateway.port())) {
                assertTrue(GatewayProcesses.read(client, "tile-read", "b" + i).startsWith("200"));
            }
        }
        GatewayProcess third = gateway.start();
        third.await("ready: ");
        old.process().destroyForcibly().waitFor();
        third.await("the other process is gone");
        for (int i = 0; i < 20; i++) {
            try (Client client = new Client(gateway.port())) {
                assertTrue(GatewayProcesses.read(client, "tile-read", "c" + i).startsWith("200"));
            }
        }
        third.signal("TERM");
        assertTrue(third.process().waitFor(20, TimeUnit.SECONDS));
    }

    /** Brings a replacement to a step, told as "old: LINE" or "new: LINE". */
    private static void awaitStep(GatewayProcess old, GatewayProcess fresh, String step) throws Exception {
        if (step.contains("draining")) {
            fresh.await("ready: ");
            old.await("another process of this gateway listens too");
            old.signal("TERM");
        }
        (step.startsWith("old") ? old : fresh).await(step.substring(5));
    }

    private void assertServes(String when) throws IOException {
        for (int i = 0; i < 10; i++) {
            try (Client client = new Client(gateway.port())) {
                assertTrue(GatewayProcesses.read(client, "tile-read", "k" + i).startsWith("200"), when);
            }
        }
    }

    /**
     * Either process killed at each step of a replacement that shows in a line: the other one serves on, and has all.
     */
    @ParameterizedTest
    @CsvSource({
        "old, 'old: another process of this gateway starts'", "new, 'old: another process of this gateway starts'",
        "old, 'new: this process takes the place of another'", "new, 'new: this process takes the place of another'",
        "old, 'new: hot restart: took over'", "new, 'new: hot restart: took over'",
        "old, 'new: ready: '", "new, 'new: ready: '",
        "old, 'old: another process of this gateway listens too'",
                "new, 'old: another process of this gateway listens too'",
        "old, 'old: draining: '",
    })
    void otherProcessServesAfterKillAtEachStep(String killed, String step) throws Exception {
        GatewayProcess old = startServing();
        GatewayProcess fresh = gateway.start();
        awaitStep(old, fresh, step);
        (killed.equals("old") ? old : fresh).process().destroyForcibly().waitFor();
        GatewayProcess left = killed.equals("old") ? fresh : old;
        left.await("ready: ");
        assertServes(killed + " at " + step);
        assertEquals("200", readyStatus());
        assertEquals("200 ready\n", left.callOperator("GET", "/api/ready"));
    }

    /**
     * Either process stopped at a step for longer than a look of the other takes, and continued: the replacement goes
     * on.
     */
    @ParameterizedTest
    @CsvSource({
        "old, 'old: another process of this gateway starts'",
        "new, 'new: this process takes the place of another'",
        "old, 'new: ready: '",
        "new, 'new: ready: '",
        "old, 'old: draining: '",
        "new, 'old: draining: '",
    })
    void hotRestartSurvivesStopAtEachStep(String stopped, String step) throws Exception {
        GatewayProcess old = startServing();
        GatewayProcess fresh = gateway.start();
        awaitStep(old, fresh, step);
        GatewayProcess target = stopped.equals("old") ? old : fresh;
        target.signal("STOP");
        Thread.sleep(1_500);
        target.signal("CONT");
        fresh.await("ready: ");
        old.signal("TERM");
        assertTrue(old.process().waitFor(30, TimeUnit.SECONDS));
        assertEquals(0, old.process().exitValue());
        assertServes(stopped + " at " + step);
        assertEquals("200 ready\n", fresh.callOperator("GET", "/api/ready"));
    }

    private static final int TRANSFERS = 24;
    private static final int TRANSFER_BYTES = 8 << 20;

    /** 192 MB on their way at once, through a heap of 64: each arrives whole, whichever side is slow. */
    @Test
    void streamsLargeBodiesThroughSmallHeap() throws Exception {
        GatewayProcess run = startServing();
        byte[] body = new byte[TRANSFER_BYTES];
        new java.util.Random(1).nextBytes(body);
        CRC32 crc = new CRC32();
        crc.update(body);
        String expected = "200 " + TRANSFER_BYTES + " " + Long.toHexString(crc.getValue());
        List<String> failures = new java.util.concurrent.CopyOnWriteArrayList<>();
        AtomicInteger refused = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < TRANSFERS; i++) {
            int number = i;
            Thread thread = new Thread(() -> {
                try {
                    String answer =
                            number % 2 == 0 ? upload(number, body, number % 4 == 0) : download(number, number % 4 == 1);
                    if (answer.startsWith("503")) {
                        refused.incrementAndGet();
                    } else if (!answer.equals(number % 2 == 0 ? expected : "whole")) {
                        failures.add(number + ": " + answer);
                    }
                } catch (IOException | RuntimeException | InterruptedException e) {
                    failures.add(number + ": " + e);
                }
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join(60_000);
        }
        assertEquals(List.of(), failures);
        // The admission is the module's, and a machine of few cores is slow: most must pass all the same.
        assertTrue(refused.get() <= TRANSFERS / 2, "refused " + refused.get());
        for (int i = 0; i < 100 && run.telemetry("in_progress") > 0; i++) {
            Thread.sleep(20);
        }
        assertEquals(0, run.telemetry("in_progress"));
        assertEquals(TRANSFERS - refused.get(), run.telemetry("passed.survey-write") + run.telemetry("passed.bulk-export"));
        assertFalse(
                run.linesRead().stream().anyMatch(line -> line.contains("OutOfMemory")),
                run.linesRead().toString());
    }

    private String upload(int number, byte[] body, boolean chunked) throws IOException, InterruptedException {
        try (Client client = new Client(gateway.port())) {
            client.send(GatewayProcesses.request("PUT", "survey-write", "", "p" + number)
                    + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Content-Length: " + body.length + "\r\n\r\n"));
            int step = 100_003;
            for (int at = 0; at < body.length; at += step) {
                int piece = Math.min(step, body.length - at);
                if (chunked) {
                    client.send(Integer.toHexString(piece) + "\r\n");
                }
                client.out.write(body, at, piece);
                if (chunked) {
                    client.send("\r\n");
                }
                if (at < 5 * step) {
                    Thread.sleep(20);
                }
            }
            if (chunked) {
                client.send("0\r\n\r\n");
            }
            return client.readAnswer();
        }
    }

    private String download(int number, boolean chunked) throws IOException, InterruptedException {
        try (Client client = new Client(gateway.port())) {
            client.send(GatewayProcesses.request(
                            "GET", "bulk-export", "?bytes=" + TRANSFER_BYTES + (chunked ? "&chunked" : ""), "g" + number)
                    + "Connection: close\r\n\r\n");
            Thread.sleep(300);
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int b = client.in.read();
                if (b < 0) {
                    return "cut in the head: " + head;
                }
                head.append((char) b);
            }
            if (!head.substring(9, 12).equals("200")) {
                return head.substring(9, 12);
            }
            byte[] rest = client.in.readAllBytes();
            boolean framed = head.toString().contains("chunked");
            if (framed != chunked || !framed && rest.length != TRANSFER_BYTES) {
                return "not framed as its node's: " + rest.length + " " + head;
            }
            return framed ? unchunk(rest) : matchesPattern(rest, 0, TRANSFER_BYTES) ? "whole" : "spoilt";
        }
    }

    private static boolean matchesPattern(byte[] bytes, int from, int length) {
        for (int i = 0; i < length; i++) {
            if (bytes[from + i] != (byte) (i >> 16)) {
                return false;
            }
        }
        return true;
    }

    private static String unchunk(byte[] framed) {
        byte[] content = new byte[TRANSFER_BYTES];
        int size = 0;
        int at = 0;
        while (true) {
            int end = at;
            while (framed[end] != '\r') {
                end++;
            }
            int chunk =
                    Integer.parseInt(new String(framed, at, end - at, java.nio.charset.StandardCharsets.US_ASCII), 16);
            if (chunk == 0) {
                return size == TRANSFER_BYTES && end + 4 == framed.length && matchesPattern(content, 0, TRANSFER_BYTES)
                        ? "whole"
                        : "spoilt at " + size;
            }
            System.arraycopy(framed, end + 2, content, size, chunk);
            size += chunk;
            at = end + 2 + chunk + 2;
        }
    }
}
