package petrelstand;

import java.io.IOException;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import petrelstand.config.GatewayConfig;
import petrelstand.core.Broker;
import petrelstand.decision.Scheduling.LearnedNode;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.LearnedVolume;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.lifecycle.ProcessShare;
import petrelstand.state.Snapshot;
import petrelstand.state.Trust;
import petrelstand.store.Marks;
import petrelstand.store.Marks.Look;
import petrelstand.store.Marks.Other;
import petrelstand.store.SnapshotFormat;
import petrelstand.store.StateFault;

/**
 * Two processes of one gateway, of which the newer takes the older's place: each looks for the other by its mark, from
 * a thread of its own, and tells the loop what it found. What each may spend of the gateway's due is decided by
 * {@link ProcessShare}; the older hands on what it has learned, for as long as the newer does not yet listen.
 *
 * <p>The thread owns the marks and the file; the loop's thread owns the share and what is told here, and takes each
 * snapshot.
 */
final class HotRestartPart {
    /** How often a process looks for another, and hands on what it knows while that one starts. */
    static final long LOOK_MS = 100;
    /** Looks between two snapshots handed on: a look costs a glance at a folder, a snapshot some ms. */
    private static final int LOOKS_A_SNAPSHOT = 3;
    /**
     * So long after it began to listen a process runs once what handing on takes. Where that first ran while another
     * process started, which takes most of the core, it held up the loop for 460 ms (67 ms of CPU).
     */
    private static final long WARM_MS = 2_000;

    /** Told on the loop's thread that another process has come, listens, or is gone. */
    interface Told {
        void other(Other what);
    }

    private final GatewayConfig config;
    private final Path folder;
    private final Executor loop;
    private final LongSupplier clock;
    private final Told told;
    private final Consumer<String> log;
    private final Thread thread = new Thread(this::run, "hot-restart");
    /** Of the thread alone, but for the start. */
    private Marks marks;

    private Other seen = Other.NONE;
    /** Of the loop's thread, but for the start. */
    private final ProcessShare share = new ProcessShare();

    private Broker broker;
    private volatile long settingsPrint;
    /** Set by the loop, taken by the thread. */
    private final AtomicReference<Snapshot> handing = new AtomicReference<>();

    private volatile boolean ended;

    /** Looks in a folder; the clock is read from any thread, in µs; what is told, and logged, is on the loop. */
    HotRestartPart(
            GatewayConfig config, Path folder, Executor loop, LongSupplier clock, Told told, Consumer<String> log) {
        this.config = config;
        this.folder = folder;
        this.loop = loop;
        this.clock = clock;
        this.told = told;
        this.log = line -> log.accept("hot restart: " + line);
        thread.setDaemon(true);
    }

    /** Writes and reads a file as between two processes, so that the build's class-data archive has what that takes. */
    static void rehearse(GatewayConfig config) throws StateFault {
        long now = System.currentTimeMillis();
        LearnedState learned = new LearnedState(
                now,
                1,
                1,
                List.of(new LearnedNode(1, 0, 1, 1, 3, 10, 0, 0)),
                List.of(new LearnedVolume(1, 0, 1, 1, 0, 0, 0)));
        Snapshot taken = new Snapshot(config.name(), Snapshot.print(config.settings()), 1, now, false, learned);
        new Trust(config.name(), config.settings()).weigh(SnapshotFormat.decode(SnapshotFormat.encode(taken)), now);
    }

    /**
     * Leaves this process's mark and looks for another's, before anything is opened. Without a folder there is no hot
     * restart.
     */
    Other open() {
        try {
            marks = new Marks(folder, config.name() + " " + config.listen());
            Look look = marks.look();
            seen = look.other();
            share.recordMark(clock.getAsLong(), look.others());
        } catch (IOException | RuntimeException e) {
            log.accept("no second process of this gateway can be known: " + e);
            marks = null;
        }
        return seen;
    }

    /** The part of the gateway's due that is this process's own. */
    ProcessShare share() {
        return share;
    }

    /**
     * What the other process has learned, weighed for this one; null where it has handed on nothing that can be used.
     */
    LearnedState handed() {
        try {
            Path file = marks == null ? null : marks.handover();
            if (file == null || !Files.exists(file) || Files.size(file) > SnapshotFormat.MOST_BYTES) {
                return null;
            }
            Snapshot old = SnapshotFormat.decode(Files.readAllBytes(file));
            Trust.Verdict verdict = new Trust(config.name(), config.settings()).weigh(old, System.currentTimeMillis());
            log.accept(
                    verdict.refused() != null
                            ? "what the other process handed on is not used: " + verdict.refused()
                            : "took over " + verdict.learned().nodes().size() + " nodes and "
                                    + verdict.learned().volumes().size() + " volumes, " + (long) verdict.ageMs()
                                    + " ms old");
            return verdict.refused() == null ? verdict.learned() : null;
        } catch (IOException | StateFault | RuntimeException e) {
            log.accept("what the other process handed on is not used: " + e.getMessage());
            return null;
        }
    }

    /** This process listens from here on; it tells the other one, and looks for a later one. On the loop's thread. */
    void listens(Broker of) {
        broker = of;
        if (marks != null) {
            thread.start();
        }
    }

    /** Learned from now on under other settings. */
    void retune(Settings changed) {
        settingsPrint = Snapshot.print(changed);
    }

    /** The end: the mark goes with the process at the latest. */
    void close() {
        ended = true;
        thread.interrupt();
    }

    private void run() {
        try {
            marks.listening();
            for (long looks = 1; !ended; looks++) {
                Thread.sleep(LOOK_MS);
                look(looks % LOOKS_A_SNAPSHOT == 0);
                if (looks == WARM_MS / LOOK_MS) {
                    rehearse(config);
                    loop.execute(broker::learnedState);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | StateFault | RuntimeException e) {
            // The mark stays: while this process lives, another has to know of it.
            loop.execute(() -> log.accept("a second process is no longer looked for: " + e));
        }
        if (ended) {
            closeMarks();
        }
    }

    private void look(boolean hand) throws IOException {
        long beganUs = clock.getAsLong();
        Look look = marks.look();
        long endedUs = clock.getAsLong();
        loop.execute(() -> {
            if (look.marked()) {
                share.recordScan(beganUs, look.others());
            } else {
                share.recordMark(endedUs, look.others());
            }
        });
        Other now = look.other();
        if (now != seen) {
            seen = now;
            loop.execute(() -> told.other(now));
        }
        if (now == Other.STARTING && settingsPrint == 0) {
            settingsPrint = Snapshot.print(config.settings());
        }
        if (now == Other.STARTING && hand) {
            // The snapshot is the loop's to take; the file is this thread's to write.
            loop.execute(() -> handing.set(new Snapshot(
                    config.name(), settingsPrint, 1, System.currentTimeMillis(), false, broker.learnedState())));
            Snapshot due = handing.getAndSet(null);
            if (due != null) {
                write(SnapshotFormat.encode(due));
            }
        }
    }

    private void write(byte[] file) throws IOException {
        Path whole = marks.handover();
        Path part = whole.resolveSibling(whole.getFileName() + ".tmp");
        Files.write(part, file);
        try {
            Files.move(part, whole, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (AtomicMoveNotSupportedException e) {
            Files.delete(part);
            throw e;
        }
    }

    private void closeMarks() {
        try {
            marks.close();
        } catch (IOException e) {
            // The system lets go of the mark with the process.
        }
    }
}
