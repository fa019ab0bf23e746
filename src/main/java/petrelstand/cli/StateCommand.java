package petrelstand.cli;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import petrelstand.decision.Scheduling.LearnedNode;
import petrelstand.decision.Scheduling.LearnedVolume;
import petrelstand.state.Snapshot;
import petrelstand.state.SnapshotFiles;
import petrelstand.store.FileFormatException;
import petrelstand.store.SnapshotFormat;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code petrelstand state}: what a state folder holds, and whether it is whole. Reads only; takes no lock. */
@Command(
        name = "state",
        description = "Looks at what a gateway has learned and kept.",
        subcommands = {StateCommand.Inspect.class, StateCommand.Verify.class},
        mixinStandardHelpOptions = true)
final class StateCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Missing required subcommand");
    }

    private static Snapshot read(Path file) throws IOException, FileFormatException {
        if (!Files.isRegularFile(file, LinkOption.NOFOLLOW_LINKS)) {
            throw new IOException(
                    Files.exists(file, LinkOption.NOFOLLOW_LINKS) ? "it is not a plain file" : "there is no such file");
        }
        if (Files.size(file) > SnapshotFormat.MAX_FILE_BYTES) {
            throw new IOException("it is longer than " + SnapshotFormat.MAX_FILE_BYTES + " bytes");
        }
        return SnapshotFormat.decode(Files.readAllBytes(file));
    }

    /** The snapshots of a folder, newest first. */
    private static List<Path> snapshots(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            List<String> names =
                    files.map(file -> file.getFileName().toString()).toList();
            return SnapshotFiles.newestFirst(names).stream()
                    .map(g -> folder.resolve(SnapshotFiles.fileName(g)))
                    .toList();
        }
    }

    private static String why(Path file, Exception fault) {
        return file + ": " + fault.getMessage();
    }

    /** Prints a snapshot. */
    @Command(
            name = "inspect",
            description = "Prints a snapshot, or the newest whole one of a folder.",
            mixinStandardHelpOptions = true)
    static final class Inspect implements Callable<Integer> {
        @Parameters(paramLabel = "FILE|DIR", description = "a snapshot's file, or a state folder")
        private Path where;

        @Option(names = "--json", description = "as JSON")
        private boolean json;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            List<Path> files = Files.isDirectory(where) ? snapshots(where) : List.of(where);
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            if (files.isEmpty()) {
                err.println(where + ": the folder holds no snapshot");
            }
            for (Path file : files) {
                try {
                    Snapshot snapshot = read(file);
                    out.println(
                            json
                                    ? new GsonBuilder()
                                            .setPrettyPrinting()
                                            .create()
                                            .toJson(json(snapshot))
                                    : text(file, snapshot));
                    out.flush();
                    return 0;
                } catch (IOException | FileFormatException e) {
                    err.println(why(file, e));
                }
            }
            err.flush();
            return 1;
        }

        private static String text(Path file, Snapshot snapshot) {
            List<String> lines = new ArrayList<>();
            lines.add(file + ": generation " + snapshot.generation() + " of gateway " + snapshot.gateway() + ", taken "
                    + java.time.Instant.ofEpochMilli(snapshot.wallMs())
                    + (snapshot.cleanShutdown() ? " at an orderly end" : "") + ", settings "
                    + String.format("%016x", snapshot.settingsFingerprint()));
            lines.add(String.format(
                    Locale.ROOT,
                    "%-10s %16s %8s %8s %8s %10s %8s %10s",
                    "node",
                    "started_ms",
                    "slots",
                    "units/slot",
                    "window",
                    "latency_ms",
                    "cold",
                    "silent_ms"));
            for (LearnedNode node : snapshot.learned().nodes()) {
                lines.add(String.format(
                        Locale.ROOT,
                        "%08x   %16.0f %8.1f %10.2f %8.2f %10.1f %8.1f %10.0f",
                        node.node(),
                        node.upSinceMs(),
                        node.measuredSlots(),
                        node.measuredSlots() > 0 ? node.servedUnits() / node.measuredSlots() : 0,
                        node.window(),
                        node.latencyMs(),
                        node.coldSentUnits(),
                        node.silentMs()));
            }
            lines.add(String.format(
                    Locale.ROOT,
                    "%-16s %4s %5s %6s %8s %8s %8s",
                    "volume",
                    "plan",
                    "hosts",
                    "part",
                    "limit",
                    "reserve",
                    "share"));
            for (LearnedVolume volume : snapshot.learned().volumes()) {
                lines.add(String.format(
                        Locale.ROOT,
                        "%016x %4d %5d %6.3f %8.1f %8.1f %8.1f",
                        volume.volume(),
                        volume.plan(),
                        volume.hostCount(),
                        volume.localFraction(),
                        volume.limitLevel(),
                        volume.reserveLevel(),
                        volume.shareLevel()));
            }
            return String.join(System.lineSeparator(), lines);
        }

        private static JsonObject json(Snapshot snapshot) {
            JsonObject json = new JsonObject();
            json.addProperty("gateway", snapshot.gateway());
            json.addProperty("settings", String.format("%016x", snapshot.settingsFingerprint()));
            json.addProperty("generation", snapshot.generation());
            json.addProperty("wall_ms", snapshot.wallMs());
            json.addProperty("clean", snapshot.cleanShutdown());
            json.addProperty("slots", snapshot.learned().measuredSlots());
            json.addProperty("served", snapshot.learned().servedUnits());
            JsonArray nodes = new JsonArray();
            for (LearnedNode node : snapshot.learned().nodes()) {
                JsonObject one = new JsonObject();
                one.addProperty("node", String.format("%08x", node.node()));
                one.addProperty("started_ms", node.upSinceMs());
                one.addProperty("slots", node.measuredSlots());
                one.addProperty("served", node.servedUnits());
                one.addProperty("window", node.window());
                one.addProperty("latency_ms", node.latencyMs());
                one.addProperty("cold_units", node.coldSentUnits());
                one.addProperty("silent_ms", node.silentMs());
                nodes.add(one);
            }
            json.add("nodes", nodes);
            JsonArray volumes = new JsonArray();
            for (LearnedVolume volume : snapshot.learned().volumes()) {
                JsonObject one = new JsonObject();
                one.addProperty("volume", String.format("%016x", volume.volume()));
                one.addProperty("plan", volume.plan());
                one.addProperty("hosts", volume.hostCount());
                one.addProperty("own_part", volume.localFraction());
                one.addProperty("limit_units", volume.limitLevel());
                one.addProperty("reserve_units", volume.reserveLevel());
                one.addProperty("share_units", volume.shareLevel());
                volumes.add(one);
            }
            json.add("volumes", volumes);
            return json;
        }
    }

    /** Reads every snapshot of a folder. */
    @Command(
            name = "verify",
            description = "Reads every snapshot of a folder. Ends with 0 where all are whole and"
                    + " there is one; with 1, and a line for each that names file, offset and fault, where not.",
            mixinStandardHelpOptions = true)
    static final class Verify implements Callable<Integer> {
        @Parameters(paramLabel = "DIR", description = "a state folder")
        private Path folder;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            PrintWriter err = spec.commandLine().getErr();
            int whole = 0;
            int bad = 0;
            try {
                for (Path file : snapshots(folder)) {
                    try {
                        Snapshot snapshot = read(file);
                        long named = SnapshotFiles.parseGeneration(
                                        file.getFileName().toString())
                                .orElseThrow();
                        if (snapshot.generation() != named) {
                            throw new IOException("offset 16: it says it is generation " + snapshot.generation());
                        }
                        whole++;
                    } catch (IOException | FileFormatException e) {
                        bad++;
                        err.println(why(file, e));
                    }
                }
            } catch (IOException e) {
                bad++;
                err.println(
                        folder + ": the folder cannot be read: " + e.getClass().getSimpleName());
            }
            if (whole == 0 && bad == 0) {
                err.println(folder + ": the folder holds no snapshot");
            }
            err.flush();
            if (bad == 0 && whole > 0) {
                spec.commandLine().getOut().println(folder + ": " + whole + " whole");
                spec.commandLine().getOut().flush();
            }
            return bad == 0 && whole > 0 ? 0 : 1;
        }
    }
}
