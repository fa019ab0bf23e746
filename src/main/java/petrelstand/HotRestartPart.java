package petrelstand;

import java.io.IOException;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
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
import petrelstand.http.TxnIdSharing;
import petrelstand.lifecycle.ProcessShare;
import petrelstand.state.Snapshot;
import petrelstand.state.SnapshotEvaluator;
import petrelstand.store.FileFormatException;
import petrelstand.store.ProcessMarks;
import petrelstand.store.ProcessMarks.OtherProcess;
import petrelstand.store.ProcessMarks.ScanResult;
import petrelstand.store.SnapshotFormat;
import petrelstand.store.TxnIdLog;

/**
 * Hot restart: two processes of one gateway run side by side while the newer one replaces the older. Each scans for the
 * other's mark file on a thread of its own and reports changes to the loop. {@link ProcessShare} decides which part of
 * the gateway's allowance each may use; until the newer process listens, the older one writes snapshots of its learned
 * state for it.
 *
 * <p>The scanning thread owns the marks and the handover file; the loop's thread owns the share and takes the
 * snapshots.
 */
final class HotRestartPart {
    static final long SCAN_INTERVAL_MS = 100;
    /** A scan lists a folder, while a snapshot holds up the loop for some ms. */
    private static final int SCANS_PER_SNAPSHOT = 3;
    /**
     * When the code of the handover is run once after the process has begun to listen; loading it while another process
     * starts would hold up the loop.
     */
    private static final long WARM_UP_DELAY_MS = 2_000;

    /** Notified on the loop's thread when another process starts, listens or is gone. */
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
    /** Used only by the scanning thread once it runs. */
    private ProcessMarks marks;

    private OtherProcess lastSeen = OtherProcess.NONE;
    /** Used only by the loop's thread once it runs. */
    private final ProcessShare processShare = new ProcessShare();

    /** Null until {@link #open}, and where logs of ids can't be used; its methods are for the loop's thread. */
    private SharedTxnIds sharedTxnIds;
    /** The log of ids of this process; null where it can't be used. */
    private TxnIdLog txnIdLog;
    /** The logs of other processes that have been opened; used only by the scanning thread once it runs. */
    private final Set<Path> openedTxnIdLogs = new HashSet<>();

    private Broker broker;
    private volatile long settingsFingerprint;
    /** Set by the loop, taken by the scanning thread. */
    private final AtomicReference<Snapshot> pendingSnapshot = new AtomicReference<>();

    private volatile boolean closed;

    /** Scans a folder that the processes share; the clock, in µs, must be safe to read from any thread. */
    HotRestartPart(
            GatewayConfig config,
            Path folder,
            Executor loop,
            LongSupplier clock,
            OtherProcessListener listener,
            Consumer<String> log) {
        this.config = config;
        this.folder = folder;
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
        this.log = line -> log.accept("hot restart: " + line);
        thread.setDaemon(true);
    }

    /** Encodes and decodes a snapshot, so that the classes this takes are loaded. */
    static void rehearse(GatewayConfig config) throws FileFormatException {
        long nowMs = System.currentTimeMillis();
        LearnedState learned = new LearnedState(
                nowMs,
                1,
                1,
                List.of(new LearnedNode(1, 0, 1, 1, 3, 10, 0, 0)),
                List.of(new LearnedVolume(1, 0, 1, 1, 0, 0, 0)));
        Snapshot snapshot =
                new Snapshot(config.name(), Snapshot.fingerprint(config.settings()), 1, nowMs, false, learned);
        new SnapshotEvaluator(config.name(), config.settings())
                .evaluate(SnapshotFormat.decode(SnapshotFormat.encode(snapshot)), nowMs);
    }

    /**
     * Writes this process's mark and looks for another one, before the process listens. If the folder can't be used,
     * hot restart is switched off, which is logged.
     */
    OtherProcess open() {
        try {
            marks = new ProcessMarks(folder, config.name() + " " + config.listenAddress());
            ScanResult look = marks.scan();
            lastSeen = look.other();
            processShare.recordMark(clock.getAsLong(), look.otherCount());
            openTxnIdLogs();
        } catch (IOException | RuntimeException e) {
            log.accept("off, since the marks of the processes can't be used: " + e);
            marks = null;
        }
        return lastSeen;
    }

    /** Creates this process's log of ids and opens those of the others, before the loop starts. */
    private void openTxnIdLogs() {
        try {
            txnIdLog = TxnIdLog.create(marks.txnIdLog());
            sharedTxnIds = new SharedTxnIds(txnIdLog, clock, () -> System.nanoTime() / 1000);
            findTxnIdLogs().forEach(sharedTxnIds::addOther);
        } catch (IOException e) {
            log.accept("the ids of writes are not shared with other processes, since the log can't be used: " + e);
        }
    }

    /** Opens the logs of ids of processes that the last scan found for the first time. */
    private List<TxnIdLog> findTxnIdLogs() {
        List<TxnIdLog> found = new ArrayList<>();
        openedTxnIdLogs.retainAll(marks.otherTxnIdLogs());
        for (Path file : marks.otherTxnIdLogs()) {
            try {
                if (!openedTxnIdLogs.contains(file)) {
                    found.add(TxnIdLog.open(file));
                    openedTxnIdLogs.add(file);
                }
            } catch (IOException e) {
                // Its process is creating it or has ended; the next scan looks again.
            }
        }
        return found;
    }

    /** Returns how ids of writes are shared with the other processes. */
    TxnIdSharing txnIdSharing() {
        return sharedTxnIds == null ? TxnIdSharing.NONE : sharedTxnIds;
    }

    /** Returns this process's share of the gateway's allowances. */
    ProcessShare processShare() {
        return processShare;
    }

    /** Returns the learned state that the other process has written, or null if there is none that can be used. */
    LearnedState readHandover() {
        try {
            Path file = marks == null ? null : marks.handoverFile();
            if (file == null || !Files.exists(file) || Files.size(file) > SnapshotFormat.MAX_FILE_BYTES) {
                return null;
            }
            Snapshot snapshot = SnapshotFormat.decode(Files.readAllBytes(file));
            SnapshotEvaluator.Evaluation verdict = new SnapshotEvaluator(config.name(), config.settings())
                    .evaluate(snapshot, System.currentTimeMillis());
            log.accept(
                    verdict.rejectionReason() != null
                            ? "the state of the other process is not used: " + verdict.rejectionReason()
                            : "took over " + verdict.learned().nodes().size() + " nodes and "
                                    + verdict.learned().volumes().size() + " volumes, " + (long) verdict.ageMs()
                                    + " ms old");
            return verdict.rejectionReason() == null ? verdict.learned() : null;
        } catch (IOException | FileFormatException | RuntimeException e) {
            log.accept("the state of the other process is not used: " + e.getMessage());
            return null;
        }
    }

    /** Marks this process as listening and starts to scan for a later one. On the loop's thread. */
    void startScanning(Broker servingBroker) {
        broker = servingBroker;
        if (marks != null) {
            thread.start();
        }
    }

    /** Uses the changed settings for later snapshots. */
    void retune(Settings changed) {
        settingsFingerprint = Snapshot.fingerprint(changed);
    }

    /** Stops scanning and removes this process's mark. */
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
            // The mark stays, since other processes must know of this one while it lives.
            loop.execute(() -> log.accept("the scan for other processes failed and is not repeated: " + e));
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
        if (sharedTxnIds != null) {
            findTxnIdLogs().forEach(log -> loop.execute(() -> sharedTxnIds.addOther(log)));
        }
        OtherProcess current = look.other();
        if (current != lastSeen) {
            lastSeen = current;
            loop.execute(() -> listener.otherProcessChanged(current));
        }
        if (current == OtherProcess.STARTING && settingsFingerprint == 0) {
            settingsFingerprint = Snapshot.fingerprint(config.settings());
        }
        if (current == OtherProcess.STARTING && writesSnapshot) {
            // The loop takes the snapshot; this scan or a later one writes it.
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
            if (txnIdLog != null) {
                txnIdLog.close();
            }
            marks.close();
        } catch (IOException e) {
            // The operating system releases the mark when the process exits.
        }
    }
}
