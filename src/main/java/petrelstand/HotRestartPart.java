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
import petrelstand.state.SnapshotEvaluator;
import petrelstand.store.ProcessMarks;
import petrelstand.store.ProcessMarks.ScanResult;
import petrelstand.store.ProcessMarks.OtherProcess;
import petrelstand.store.SnapshotFormat;
import petrelstand.store.FileFormatException;

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
    static final long SCAN_INTERVAL_MS = 100;
    /** Looks between two snapshots handed on: a look costs a glance at a folder, a snapshot some ms. */
    private static final int SCANS_PER_SNAPSHOT = 3;
    /**
     * So long after it began to listen a process runs once what handing on takes. Where that first ran while another
     * process started, which takes most of the core, it held up the loop for 460 ms (67 ms of CPU).
     */
    private static final long WARM_UP_DELAY_MS = 2_000;

    /** Told on the loop's thread that another process has come, listens, or is gone. */
    interface OtherProcessListener {
        void otherProcessChanged(OtherProcess what);
    }

    private final GatewayConfig config;
    private final Path folder;
    private final Executor loop;
    private final LongSupplier clock;
    private final OtherProcessListener listener;
    private final Consumer<String> log;
    private final Thread thread = new Thread(this::run, "hot-restart");
    /** Of the thread alone, but for the start. */
    private ProcessMarks marks;

    private OtherProcess lastSeen = OtherProcess.NONE;
    /** Of the loop's thread, but for the start. */
    private final ProcessShare processShare = new ProcessShare();

    private Broker broker;
    private volatile long settingsFingerprint;
    /** Set by the loop, taken by the thread. */
    private final AtomicReference<Snapshot> pendingSnapshot = new AtomicReference<>();

    private volatile boolean closed;

    /** Looks in a folder; the clock is read from any thread, in µs; what is told, and logged, is on the loop. */
    HotRestartPart(
            GatewayConfig config, Path folder, Executor loop, LongSupplier clock, OtherProcessListener listener, Consumer<String> log) {
        this.config = config;
        this.folder = folder;
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
        this.log = line -> log.accept("hot restart: " + line);
        thread.setDaemon(true);
    }

    /** Writes and reads a file as between two processes, so that the build's class-data archive has what that takes. */
    static void rehearse(GatewayConfig config) throws FileFormatException {
        long nowMs = System.currentTimeMillis();
        LearnedState learned = new LearnedState(
                nowMs,
                1,
                1,
                List.of(new LearnedNode(1, 0, 1, 1, 3, 10, 0, 0)),
                List.of(new LearnedVolume(1, 0, 1, 1, 0, 0, 0)));
        Snapshot snapshot = new Snapshot(config.name(), Snapshot.fingerprint(config.settings()), 1, nowMs, false, learned);
        new SnapshotEvaluator(config.name(), config.settings()).evaluate(SnapshotFormat.decode(SnapshotFormat.encode(snapshot)), nowMs);
    }

    /**
     * Leaves this process's mark and looks for another's, before anything is opened. Without a folder there is no hot
     * restart.
     */
    OtherProcess open() {
        try {
            marks = new ProcessMarks(folder, config.name() + " " + config.listenAddress());
            ScanResult look = marks.scan();
            lastSeen = look.other();
            processShare.recordMark(clock.getAsLong(), look.otherCount());
        } catch (IOException | RuntimeException e) {
            log.accept("no second process of this gateway can be known: " + e);
            marks = null;
        }
        return lastSeen;
    }

    /** The part of the gateway's due that is this process's own. */
    ProcessShare processShare() {
        return processShare;
    }

    /**
     * What the other process has learned, weighed for this one; null where it has handed on nothing that can be used.
     */
    LearnedState readHandover() {
        try {
            Path file = marks == null ? null : marks.handoverFile();
            if (file == null || !Files.exists(file) || Files.size(file) > SnapshotFormat.MAX_FILE_BYTES) {
                return null;
            }
            Snapshot snapshot = SnapshotFormat.decode(Files.readAllBytes(file));
            SnapshotEvaluator.Evaluation verdict = new SnapshotEvaluator(config.name(), config.settings()).evaluate(snapshot, System.currentTimeMillis());
            log.accept(
                    verdict.rejectionReason() != null
                            ? "what the other process handed on is not used: " + verdict.rejectionReason()
                            : "took over " + verdict.learned().nodes().size() + " nodes and "
                                    + verdict.learned().volumes().size() + " volumes, " + (long) verdict.ageMs()
                                    + " ms old");
            return verdict.rejectionReason() == null ? verdict.learned() : null;
        } catch (IOException | FileFormatException | RuntimeException e) {
            log.accept("what the other process handed on is not used: " + e.getMessage());
            return null;
        }
    }

    /** This process listens from here on; it tells the other one, and looks for a later one. On the loop's thread. */
    void startScanning(Broker servingBroker) {
        broker = servingBroker;
        if (marks != null) {
            thread.start();
        }
    }

    /** Learned from now on under other settings. */
    void retune(Settings changed) {
        settingsFingerprint = Snapshot.fingerprint(changed);
    }

    /** The end: the mark goes with the process at the latest. */
    void close() {
        closed = true;
        thread.interrupt();
    }

    private void run() {
        try {
            marks.markListening();
            for (long scans = 1; !closed; scans++) {
                Thread.sleep(SCAN_INTERVAL_MS);
                scan(scans % SCANS_PER_SNAPSHOT == 0);
                if (scans == WARM_UP_DELAY_MS / SCAN_INTERVAL_MS) {
                    rehearse(config);
                    loop.execute(broker::learnedState);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | FileFormatException | RuntimeException e) {
            // The mark stays: while this process lives, another has to know of it.
            loop.execute(() -> log.accept("a second process is no longer looked for: " + e));
        }
        if (closed) {
            closeMarks();
        }
    }

    private void scan(boolean writesSnapshot) throws IOException {
        long startUs = clock.getAsLong();
        ScanResult look = marks.scan();
        long endUs = clock.getAsLong();
        loop.execute(() -> {
            if (look.ownMarkPresent()) {
                processShare.recordScan(startUs, look.otherCount());
            } else {
                processShare.recordMark(endUs, look.otherCount());
            }
        });
        OtherProcess current = look.other();
        if (current != lastSeen) {
            lastSeen = current;
            loop.execute(() -> listener.otherProcessChanged(current));
        }
        if (current == OtherProcess.STARTING && settingsFingerprint == 0) {
            settingsFingerprint = Snapshot.fingerprint(config.settings());
        }
        if (current == OtherProcess.STARTING && writesSnapshot) {
            // The snapshot is the loop's to take; the file is this thread's to write.
            loop.execute(() -> pendingSnapshot.set(new Snapshot(
                    config.name(), settingsFingerprint, 1, System.currentTimeMillis(), false, broker.learnedState())));
            Snapshot snapshot = pendingSnapshot.getAndSet(null);
            if (snapshot != null) {
                writeHandover(SnapshotFormat.encode(snapshot));
            }
        }
    }

    private void writeHandover(byte[] content) throws IOException {
        Path target = marks.handoverFile();
        Path temporary = target.resolveSibling(target.getFileName() + ".tmp");
        Files.write(temporary, content);
        try {
            Files.move(temporary, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (AtomicMoveNotSupportedException e) {
            Files.delete(temporary);
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
