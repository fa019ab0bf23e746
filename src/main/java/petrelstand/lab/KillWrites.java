package petrelstand.lab;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import petrelstand.decision.Scheduling.LearnedNode;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.LearnedVolume;
import petrelstand.state.Snapshot;
import petrelstand.state.SnapshotEvaluator;
import petrelstand.state.SnapshotFiles;
import petrelstand.store.DiskFolder;
import petrelstand.store.SnapshotStore;

/**
 * A writer, killed outright while it writes, again and again: a process of its own writes snapshots of a stand-in
 * gateway without a rest, says after each that it is there, and is killed at a moment drawn from the seed. Then the
 * folder must hold the last one said, or the one after it, whole, and it must be worth no more than stated.
 */
public final class KillWrites {
    /** What came of it; {@code interrupted} counts kills that left a half-written temporary file. */
    public record Result(int times, int corrupt, int overTrusted, int interrupted, long written, List<String> faults) {}

    private static final int LINES = 200;
    private static final double MOST_SLOTS = 10;
    private static final long START_MS = 30_000;
    private static final int MOST_WRITES = 20;
    private static final long MOST_MORE_US = 8_000;

    private KillWrites() {}

    /** The writer's process: writes until it is killed, a line for each generation that is on the disk. */
    public static void write(Path folder) throws IOException {
        try (SnapshotStore store = new SnapshotStore(new DiskFolder(folder))) {
            if (store.open() == null) {
                throw new IOException(folder + " is taken");
            }
            System.out.println("writing");
            for (int number = 1; number > 0; number++) {
                store.write(sample(number, System.currentTimeMillis()));
                System.out.println(number);
            }
        }
    }

    /** A snapshot in which each figure follows from its number, so that a mixture of two is seen. */
    static Snapshot sample(int number, long wallMs) {
        List<LearnedNode> nodes = new ArrayList<>();
        List<LearnedVolume> volumes = new ArrayList<>();
        for (int i = 0; i < LINES; i++) {
            nodes.add(new LearnedNode(i, 0, 50 + number, number * 3.0 + i, 3, 40, number + i, i % 9 == 0 ? 500 : 0));
            volumes.add(new LearnedVolume(i, 0, 1, 1, number + i, number, 1));
        }
        return new Snapshot("tryout", 0, 0, wallMs, false, new LearnedState(wallMs, number, number, nodes, volumes));
    }

    /** Kills so many writers, some side by side, each in a folder of its own below the one given. */
    public static Result run(Path below, int times, long seed, int sideBySide) throws IOException {
        List<List<String>> faults = new ArrayList<>();
        int[] sums = new int[3];
        long[] written = new long[1];
        List<Integer> all = IntStream.range(0, times).boxed().toList();
        var pool = new java.util.concurrent.ForkJoinPool(sideBySide);
        try {
            pool.submit(() -> all.parallelStream().forEach(number -> {
                        try {
                            Path folder = Files.createDirectories(below.resolve("w" + number));
                            One one = once(folder, new SplittableRandom(seed * 1_000_003 + number));
                            synchronized (sums) {
                                sums[0] += one.corrupt ? 1 : 0;
                                sums[1] += one.overTrusted ? 1 : 0;
                                sums[2] += one.interrupted ? 1 : 0;
                                written[0] += one.acknowledged;
                                faults.add(one.faults);
                            }
                        } catch (IOException | InterruptedException e) {
                            throw new IllegalStateException("writer " + number + ": " + e, e);
                        }
                    }))
                    .join();
        } finally {
            pool.shutdownNow();
        }
        return new Result(
                times,
                sums[0],
                sums[1],
                sums[2],
                written[0],
                faults.stream().flatMap(List::stream).toList());
    }

    private record One(
            boolean corrupt, boolean overTrusted, boolean interrupted, int acknowledged, List<String> faults) {}

    private static One once(Path folder, SplittableRandom random) throws IOException, InterruptedException {
        Process writer = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "petrelstand.lab.KillWrites",
                        folder.toString())
                .redirectError(new File("/dev/null"))
                .start();
        int acknowledged = 0;
        try (BufferedReader said =
                new BufferedReader(new InputStreamReader(writer.getInputStream(), StandardCharsets.US_ASCII))) {
            if (!"writing".equals(said.readLine())) {
                throw new IOException("it did not begin");
            }
            // The moment is any after a number of writes, to the microsecond.
            for (int writes = random.nextInt(MOST_WRITES); writes > 0; writes--) {
                acknowledged = Integer.parseInt(said.readLine());
            }
            TimeUnit.MICROSECONDS.sleep(random.nextLong(MOST_MORE_US));
            // By its handle: the process object would close what it said as well.
            writer.toHandle().destroyForcibly();
            if (!writer.waitFor(START_MS, TimeUnit.MILLISECONDS)) {
                throw new IOException("it could not be killed");
            }
            for (String line = said.readLine(); line != null; line = said.readLine()) {
                // The kill may have cut the last line short; a part of a number is a smaller number.
                acknowledged = line.matches("[0-9]+") ? Math.max(acknowledged, Integer.parseInt(line)) : acknowledged;
            }
        }
        boolean interrupted;
        try (var names = Files.list(folder)) {
            interrupted = names.anyMatch(
                    file -> SnapshotFiles.isTemporary(file.getFileName().toString()));
        }
        List<String> faults = new ArrayList<>();
        boolean overTrusted = false;
        try (SnapshotStore store = new SnapshotStore(new DiskFolder(folder))) {
            SnapshotStore.OpenResult found = store.open();
            found.rejected().forEach(line -> faults.add(folder.getFileName() + ": " + line));
            Snapshot newest = found.newest();
            long generation = newest == null ? 0 : newest.generation();
            if (generation != acknowledged && generation != acknowledged + 1) {
                faults.add(folder.getFileName() + ": generation " + generation + " after " + acknowledged);
            }
            if (newest != null
                    && !newest.learned()
                            .equals(sample((int) generation, newest.wallMs()).learned())) {
                faults.add(folder.getFileName() + ": generation " + generation + " is not what was written");
            }
            overTrusted = newest != null && overTrusted(newest);
        }
        return new One(!faults.isEmpty(), overTrusted, interrupted, acknowledged, faults);
    }

    /** More evidence than stated, or a limit's store that is not empty after a kill. */
    private static boolean overTrusted(Snapshot newest) throws IOException {
        try (StandInPlatform none = new StandInPlatform(0)) {
            var settings = TryOut.config(none, "127.0.0.1:0").settings();
            Snapshot known = new Snapshot(
                    "tryout",
                    Snapshot.fingerprint(settings),
                    newest.generation(),
                    newest.wallMs(),
                    newest.cleanShutdown(),
                    newest.learned());
            SnapshotEvaluator.Evaluation verdict =
                    new SnapshotEvaluator("tryout", settings).evaluate(known, newest.wallMs() + 1000.0);
            return verdict.rejectionReason() != null
                    || verdict.learned().nodes().stream().anyMatch(node -> node.measuredSlots() > MOST_SLOTS)
                    || verdict.learned().volumes().stream().anyMatch(volume -> volume.limitLevel() > 0);
        }
    }

    /** The writer. */
    public static void main(String[] args) throws IOException {
        write(Path.of(args[0]));
    }
}
