package petrelstand.lab.faults;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.DatagramChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import petrelstand.lab.StandInPlatform;
import petrelstand.members.MembershipTiming;

/**
 * Real processes of the program, each on loopback addresses of its own, with every link between them through a
 * {@link FaultPoint}, load on all, and faults as a plan says. What was done goes to {@code trial.jsonl} in the trial's
 * folder, beside each process's own history; a checker that knows nothing of this code reads them afterwards.
 */
public final class FaultTrial implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final long START_MS = 30_000;
    /** The harness looks that often whether it runs in time. */
    private static final long BEAT_MS = 20;

    private static final String KEY = "00112233445566778899aabbccddeeff\n";
    private static final String OTHER_KEY = "ffeeddccbbaa99887766554433221100\n";

    private final class Gateway {
        final int number;
        final String name;
        final String listen;
        final String serve;
        final String keyFile;
        final Path folder;
        String program = "petrelstand.Main";
        List<String> arguments = List.of("serve");
        Process process;
        final AtomicInteger ready = new AtomicInteger();

        Gateway(int number, String name, String listen, String keyFile) throws IOException {
            this.number = number;
            this.name = name;
            this.listen = listen;
            this.keyFile = keyFile;
            this.folder = trial.resolve("folder-" + name + (number < scenario.processes() ? "" : "-" + number));
            // An address of its own: connections that go out take their ports on the usual one, and one of them would
            // have this one's between two lives.
            try (ServerSocket free = new ServerSocket()) {
                free.bind(new InetSocketAddress(own(number), 0));
                serve = own(number) + ":" + free.getLocalPort();
            }
        }

        void start() throws IOException {
            Path config = trial.resolve("config-" + number + ".json");
            try (InputStream file = FaultTrial.class.getResourceAsStream("/tryout.json")) {
                JsonObject json = JsonParser.parseString(new String(file.readAllBytes(), StandardCharsets.UTF_8))
                        .getAsJsonObject();
                json.addProperty("name", name);
                json.addProperty("listen", serve);
                json.addProperty("seed", Long.toHexString(plan.seed() * 1000 + number));
                json.addProperty("discovery", HOST + ":" + platform.discoveryPort());
                json.add("known", platform.list());
                Files.writeString(config, json.toString());
            }
            boolean guest = number >= scenario.processes();
            Path ini = trial.resolve("operator-" + number + ".ini");
            MembershipTiming timing = scenario.timing();
            Files.writeString(
                    ini,
                    !scenario.fleet()
                            ? "[log]\nform = text\n"
                            : "[fleet]\nname = trial\nmember = " + name + "\nlisten = " + listen + "\nadvertise = "
                                    + point.front(number) + "\nseeds = " + point.front(0) + " " + point.front(1)
                                    + "\nkey = " + keyFile
                                    + "\nfolder = " + folder.getFileName() + "\nhistory = history-"
                                    + (guest ? "guest-" : "") + name
                                    + ".jsonl\nmetrics = on\nping = " + timing.pingIntervalUs()
                                    + " us\nsuspect_after = "
                                    + timing.suspectAfterUs()
                                    + " us\nfail_after = " + timing.failAfterUs() + " us\n"
                                    + (guest || scenario.voters() == 0
                                            ? ""
                                            : "[rules]\nvoters = " + voters() + "\nfolder = rules-" + name
                                                    + "\npromise = " + scenario.promiseUs() + " us\n"));
            List<String> command = new ArrayList<>(List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:-UsePerfData",
                    "-Xms16m",
                    "-Xmx64m",
                    "-Xss512k",
                    "-cp",
                    System.getProperty("java.class.path"),
                    program));
            command.addAll(arguments);
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.environment().put("RELAY_CONFIG", config.toString());
            builder.environment().put("PETRELSTAND_INI", ini.toString());
            process = builder.start();
            ready.set(0);
            Process started = process;
            Path said = trial.resolve("log-" + number + ".txt");
            Thread reader = new Thread(() -> {
                try (BufferedReader out = new BufferedReader(
                                new InputStreamReader(started.getInputStream(), StandardCharsets.UTF_8));
                        Writer to = Files.newBufferedWriter(
                                said,
                                java.nio.file.StandardOpenOption.CREATE,
                                java.nio.file.StandardOpenOption.APPEND)) {
                    for (String line = out.readLine(); line != null; line = out.readLine()) {
                        to.write(line + "\n");
                        to.flush();
                        if (line.contains("ready: ")) {
                            ready.set(1);
                        }
                    }
                } catch (IOException e) {
                    // The process is gone.
                }
            });
            reader.setDaemon(true);
            reader.start();
            note("start", name, number);
        }

        void signal(String what) throws IOException, InterruptedException {
            // Told before it is done: what the process does upon it must not look earlier than its cause.
            note(what.toLowerCase(java.util.Locale.ROOT), name, number);
            new ProcessBuilder("kill", "-" + what, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }
    }

    private interface Deed {
        void run() throws IOException, InterruptedException;
    }

    private record Due(long atUs, Deed deed) {}

    private final Path trial;
    private final FaultScenario scenario;
    private final FleetPlan plan;
    private final StandInPlatform platform;
    private final FaultPoint point;
    private final List<Gateway> gateways = new ArrayList<>();
    private final Writer journal;
    private final String program;
    private final List<String> arguments;
    private long lateUs;
    /** After so much of the load a process's CPU is measured from: its code is compiled by then. */
    private static final long WARM_US = 8_000_000;

    private long cpuUs;

    /** A trial in a folder of its own; the program is the gateway's, or a test's with a planted defect. */
    public FaultTrial(Path folder, FaultScenario scenario, long seed, String program, List<String> arguments)
            throws IOException {
        this.trial = Files.createDirectories(folder).toAbsolutePath();
        this.scenario = scenario;
        this.plan = scenario.plan(seed);
        this.program = program;
        this.arguments = arguments;
        for (String[] key : new String[][] {{"fleet.key", KEY}, {"other.key", OTHER_KEY}}) {
            Path file = Files.writeString(trial.resolve(key[0]), key[1]);
            Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
        }
        journal = Files.newBufferedWriter(trial.resolve("trial.jsonl"));
        platform = new StandInPlatform(scenario.nodes());
        int guests = (int) plan.faults().stream()
                .filter(f -> f.kind() == FleetPlan.Kind.NAMESAKE || f.kind() == FleetPlan.Kind.STRANGER)
                .count();
        List<InetSocketAddress> real = new ArrayList<>();
        for (int i = 0; i < scenario.processes() + guests; i++) {
            try (DatagramChannel free = DatagramChannel.open().bind(new InetSocketAddress(own(i), 0))) {
                real.add((InetSocketAddress) free.getLocalAddress());
            }
        }
        point = new FaultPoint(real, HOST, seed);
        for (int i = 0; i < scenario.processes(); i++) {
            Gateway gateway = new Gateway(i, "g" + i, text(real.get(i)), "fleet.key");
            gateway.program = program;
            gateway.arguments = arguments;
            gateways.add(gateway);
        }
        int next = scenario.processes();
        for (FleetPlan.Fault fault : plan.faults()) {
            if (fault.kind() == FleetPlan.Kind.NAMESAKE || fault.kind() == FleetPlan.Kind.STRANGER) {
                boolean stranger = fault.kind() == FleetPlan.Kind.STRANGER;
                gateways.add(new Gateway(
                        next,
                        stranger ? "stranger" : "g" + fault.who(),
                        text(real.get(next)),
                        stranger ? "other.key" : "fleet.key"));
                next++;
            }
        }
    }

    private static String own(int number) {
        return "127.0.1." + (number + 1);
    }

    private String voters() {
        return String.join(
                " ",
                gateways.subList(0, scenario.voters()).stream().map(g -> g.name).toList());
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private synchronized void write(JsonObject line) {
        try {
            journal.write(line + "\n");
        } catch (IOException e) {
            throw new java.io.UncheckedIOException("the trial's folder takes no more", e);
        }
    }

    private void note(String event, String process, int number) {
        JsonObject line = new JsonObject();
        line.addProperty("event", event);
        line.addProperty("mono_us", FaultPoint.nowUs());
        line.addProperty("process", process);
        line.addProperty("number", number);
        write(line);
    }

    /** Plays the plan to its end; what the checker needs lies in the folder afterwards. */
    public void play() throws IOException, InterruptedException {
        JsonObject head = new JsonObject();
        MembershipTiming timing = scenario.timing();
        head.addProperty("event", "trial");
        head.addProperty("mono_us", FaultPoint.nowUs());
        head.addProperty("processes", scenario.processes());
        head.addProperty("seed", plan.seed());
        head.addProperty("detect_us", timing.pingIntervalUs() + timing.suspectAfterUs() + timing.failAfterUs());
        head.addProperty("silence_us", timing.suspectAfterUs() + timing.failAfterUs());
        head.addProperty("one_view_us", FleetSim.ONE_VIEW_US);
        head.addProperty("voters", scenario.voters());
        head.addProperty("promise_us", scenario.promiseUs());
        write(head);
        List<Gateway> fleet = gateways.subList(0, scenario.processes());
        for (Gateway gateway : fleet) {
            gateway.start();
        }
        long untilMs = System.currentTimeMillis() + START_MS;
        while (fleet.stream().anyMatch(g -> g.ready.get() == 0)) {
            Gateway dead =
                    fleet.stream().filter(g -> !g.process.isAlive()).findFirst().orElse(null);
            if (dead != null || System.currentTimeMillis() > untilMs) {
                throw new IOException(
                        dead == null
                                ? "not all processes were ready in " + START_MS / 1000 + " s"
                                : dead.name + " ended at its start, see "
                                        + trial.resolve("log-" + dead.number + ".txt"));
            }
            Thread.sleep(50);
        }
        Thread.sleep(3000);
        long zeroUs = FaultPoint.nowUs();
        List<Due> due = new ArrayList<>();
        int guest = scenario.processes();
        for (FleetPlan.Fault fault : plan.faults()) {
            boolean brings = fault.kind() == FleetPlan.Kind.NAMESAKE || fault.kind() == FleetPlan.Kind.STRANGER;
            Gateway gateway = gateways.get(brings ? guest++ : Math.min(fault.who(), scenario.processes() - 1));
            strike(due, zeroUs, fault, gateway);
        }
        if (plan.lengthUs() > WARM_US) {
            due.add(new Due(zeroUs + WARM_US, () -> cpuUs = -cpu()));
        }
        due.sort(java.util.Comparator.comparingLong(Due::atUs));
        try (LoadDriver load = new LoadDriver(this::write);
                RulesDriver rules = new RulesDriver(this::write)) {
            for (Gateway gateway : fleet) {
                load.ask(gateway.name, gateway.serve, scenario.loadPerSecond(), scenario.nodes());
            }
            if (scenario.changeUs() > 0) {
                rules.change(
                        "trial",
                        KEY,
                        fleet.stream().map(g -> g.listen).toList(),
                        scenario.changeUs(),
                        scenario.loadPerSecond() * scenario.processes(),
                        scenario.processes());
            }
            for (Due next : due) {
                await(next.atUs);
                next.deed.run();
            }
            await(zeroUs + plan.lengthUs() - (scenario.changeUs() > 0 ? RulesDriver.SETTLE_US : 0));
            rules.end();
            await(zeroUs + plan.lengthUs());
            cpuUs += cpu();
            for (Gateway gateway : scenario.voters() > 0 ? fleet : List.<Gateway>of()) {
                rules.keep(gateway.name, gateway.serve, trial.resolve("rules-" + gateway.name + ".json"));
            }
        }
        JsonObject end = new JsonObject();
        end.addProperty("event", "end");
        end.addProperty("mono_us", FaultPoint.nowUs());
        end.addProperty("calm_us", zeroUs + plan.calmUs());
        end.addProperty("late_us", lateUs);
        long[] passed = point.passed();
        end.addProperty("messages", passed[0]);
        end.addProperty("bytes", passed[1]);
        write(end);
    }

    private long cpu() {
        return gateways.stream()
                .filter(g -> g.process != null)
                .mapToLong(g -> g.process
                        .toHandle()
                        .info()
                        .totalCpuDuration()
                        .map(d -> d.toNanos() / 1000)
                        .orElse(0L))
                .sum();
    }

    /** CPU that a process took a second, on the mean, µs, from {@link #WARM_US} on; of a trial without restarts. */
    double cpuUsASecond() {
        return cpuUs / ((plan.lengthUs() - WARM_US) / 1e6) / scenario.processes();
    }

    private void await(long atUs) throws InterruptedException {
        while (FaultPoint.nowUs() < atUs) {
            long before = FaultPoint.nowUs();
            long sleepMs = Math.max(1, Math.min(BEAT_MS, (atUs - before) / 1000));
            Thread.sleep(sleepMs);
            lateUs = Math.max(lateUs, FaultPoint.nowUs() - before - sleepMs * 1000);
        }
    }

    private void strike(List<Due> due, long zeroUs, FleetPlan.Fault fault, Gateway gateway) {
        long at = zeroUs + fault.atUs();
        long until = at + fault.lengthUs();
        switch (fault.kind()) {
            case STOP -> {
                due.add(new Due(at, () -> gateway.signal("STOP")));
                due.add(new Due(until, () -> gateway.signal("CONT")));
            }
            case TERM -> again(due, fault, at, until, gateway, "TERM", () -> {});
            case KILL -> again(due, fault, at, until, gateway, "KILL", () -> {});
            case CLOCK ->
                again(due, fault, at, until, gateway, "KILL", () -> {
                    gateway.program = LabGateway.class.getName();
                    gateway.arguments = List.of(Integer.toString(-fault.amount()));
                });
            case EMPTY -> again(due, fault, at, until, gateway, "KILL", () -> clear(gateway.folder));
            case COPY -> {
                Path rules = trial.resolve("rules-" + gateway.name);
                Path old = trial.resolve("old-rules-" + gateway.name);
                due.add(new Due(zeroUs, () -> {
                    Files.copy(
                            gateway.folder.resolve("incarnation"),
                            trial.resolve("old-" + gateway.name),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                    copyAll(rules, old);
                }));
                again(due, fault, at, until, gateway, "KILL", () -> {
                    Files.copy(
                            trial.resolve("old-" + gateway.name),
                            gateway.folder.resolve("incarnation"),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                    copyAll(old, rules);
                });
            }
            case FOLDER ->
                again(due, fault, at, until, gateway, "KILL", () -> {
                    clear(gateway.folder);
                    if (fault.amount() == 1) {
                        // Reading a pipe that nobody writes to waits for ever.
                        new ProcessBuilder(
                                        "mkfifo",
                                        gateway.folder.resolve("incarnation").toString())
                                .start()
                                .waitFor();
                    } else {
                        Files.createDirectories(
                                gateway.folder.resolve("incarnation.new").resolve("in-the-way"));
                    }
                });
            case NAMESAKE, STRANGER -> {
                due.add(new Due(at, gateway::start));
                due.add(new Due(until, () -> gateway.signal("TERM")));
            }
            default ->
                due.add(new Due(at, () -> {
                    point.begin(fault);
                    JsonObject line = new JsonObject();
                    line.addProperty("event", "link");
                    line.addProperty("kind", fault.kind().name());
                    line.addProperty("mono_us", FaultPoint.nowUs());
                    line.addProperty("until_us", FaultPoint.nowUs() + fault.lengthUs());
                    line.addProperty("who", fault.who());
                    line.addProperty("amount", fault.amount());
                    write(line);
                }));
        }
    }

    private void again(
            List<Due> due, FleetPlan.Fault fault, long at, long until, Gateway gateway, String signal, Deed before) {
        due.add(new Due(at, () -> gateway.signal(signal)));
        if (fault.lengthUs() > 0) {
            due.add(new Due(until, () -> {
                gateway.process.waitFor(5, TimeUnit.SECONDS);
                before.run();
                gateway.start();
            }));
        }
    }

    /** Makes one folder what another is; one that is not there is none. */
    private static void copyAll(Path from, Path to) throws IOException {
        if (!Files.isDirectory(from)) {
            return;
        }
        Files.createDirectories(to);
        clear(to);
        try (Stream<Path> files = Files.list(from)) {
            for (Path file : files.toList()) {
                Files.copy(file, to.resolve(file.getFileName()));
            }
        }
    }

    private static void clear(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
    }

    /** Ends every process that was started. */
    @Override
    public void close() throws IOException {
        for (Gateway gateway : gateways) {
            if (gateway.process != null) {
                gateway.process.destroyForcibly();
            }
        }
        journal.close();
        point.close();
        platform.close();
    }
}
