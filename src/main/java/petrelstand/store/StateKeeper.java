package petrelstand.store;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import petrelstand.core.Broker;
import petrelstand.core.Counters;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.state.Snapshot;
import petrelstand.state.SnapshotEvaluator;
import petrelstand.state.SnapshotFiles;
import petrelstand.state.SnapshotSchedule;

/**
 * Stores a gateway's learned state in a folder and restores it at the next start. Snapshots are taken on the event
 * loop, then encoded and written on a separate thread, one at a time; the event loop never waits for a write. All
 * methods but {@link #open} must be called on the event loop.
 */
public final class StateKeeper {
    /** How long {@link #open} waits for the folder. */
    static final long OPEN_TIMEOUT_MS = 1_000;
    /** How long the gateway's shutdown waits for the final snapshot. */
    public static final long FINAL_WRITE_TIMEOUT_US = 400_000;

    /** Opens the folder; called on the disk thread. */
    public interface FolderOpener {
        Folder open() throws IOException;
    }

    private final FolderOpener folderOpener;
    private final String gateway;
    private long settingsFingerprint;
    private final SnapshotEvaluator evaluator;
    private final Timers timers;
    private final LongSupplier nowUs;
    private final LongSupplier wallMs;
    private final Executor loop;
    private final Counters counters;
    private final Consumer<String> log;
    private final ExecutorService diskThread;
    private final long intervalUs;
    private Broker broker;
    private SnapshotSchedule schedule;
    private LearnedState restoredState;
    /** Used by the disk thread only; null while the folder is not open. */
    private SnapshotStore store;

    private Runnable afterWrite;
    private boolean disabled;

    /** Creates a keeper; {@code wallMs} is the wall clock, from which the age of a snapshot is computed. */
    public StateKeeper(
            FolderOpener folderOpener,
            long intervalUs,
            String gateway,
            Settings settings,
            Timers timers,
            LongSupplier nowUs,
            LongSupplier wallMs,
            Executor loop,
            Counters counters,
            Consumer<String> log) {
        this.folderOpener = folderOpener;
        this.intervalUs = intervalUs;
        this.gateway = gateway;
        this.settingsFingerprint = Snapshot.fingerprint(settings);
        this.evaluator = new SnapshotEvaluator(gateway, settings);
        this.timers = timers;
        this.nowUs = nowUs;
        this.wallMs = wallMs;
        this.loop = loop;
        this.counters = counters;
        this.log = line -> log.accept("state: " + line);
        this.diskThread = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "state");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Creates a keeper for a folder of the file system. */
    public static StateKeeper onDisk(
            Path folder,
            long intervalUs,
            String gateway,
            Settings settings,
            Timers timers,
            LongSupplier nowUs,
            LongSupplier wallMs,
            Executor loop,
            Counters counters,
            Consumer<String> log) {
        return new StateKeeper(
                () -> new DiskFolder(folder),
                intervalUs,
                gateway,
                settings,
                timers,
                nowUs,
                wallMs,
                loop,
                counters,
                log);
    }

    /**
     * Locks the folder and reads the stored state; called before the gateway serves. Blocks for at most
     * {@link #OPEN_TIMEOUT_MS}. On failure it logs one line, and the gateway starts without restored state.
     */
    public void open() {
        try {
            SnapshotStore.OpenResult result = diskThread
                    .submit((Callable<SnapshotStore.OpenResult>) this::openStore)
                    .get(OPEN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            if (result == null) {
                disabled = true;
                log.accept("another gateway has the folder; this one keeps nothing");
                return;
            }
            result.rejected().forEach(line -> log.accept("rejected a snapshot file and left it in place: " + line));
            evaluate(result.newest());
        } catch (TimeoutException e) {
            log.accept("the folder did not respond within " + OPEN_TIMEOUT_MS + " ms; starting without learned state");
        } catch (ExecutionException e) {
            log.accept("nothing remembered: " + reason(e.getCause()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private SnapshotStore.OpenResult openStore() throws IOException {
        SnapshotStore opened = new SnapshotStore(folderOpener.open());
        try {
            SnapshotStore.OpenResult result = opened.open();
            if (result != null) {
                store = opened;
            }
            return result;
        } finally {
            if (store != opened) {
                opened.close();
            }
        }
    }

    private void evaluate(Snapshot newest) {
        if (newest == null) {
            log.accept("nothing remembered: the folder holds no whole snapshot");
            return;
        }
        SnapshotEvaluator.Evaluation evaluation = evaluator.evaluate(newest, wallMs.getAsLong());
        if (evaluation.rejectionReason() != null) {
            log.accept("nothing remembered: " + SnapshotFiles.fileName(newest.generation()) + ": "
                    + evaluation.rejectionReason());
            return;
        }
        restoredState = evaluation.learned();
        log.accept("remembered " + restoredState.nodes().size() + " nodes (" + evaluation.silentNodes()
                + " silent) and "
                + restoredState.volumes().size() + " volumes, "
                + String.format(Locale.ROOT, "%.1f", evaluation.ageMs() / 1000)
                + " s old, generation " + newest.generation() + (newest.cleanShutdown() ? ", after an orderly end" : "")
                + (evaluation.droppedEntries() > 0
                        ? "; " + evaluation.droppedEntries() + " invalid entries dropped"
                        : ""));
    }

    /** Restores the learned state in the broker, before its first node list, and starts to take snapshots. */
    public void start(Broker newBroker) {
        broker = newBroker;
        if (restoredState != null) {
            broker.restoreLearnedState(restoredState);
            restoredState = null;
        }
        if (!disabled) {
            // The first call is slow, since its code is not linked yet; make it before serving.
            broker.learnedState();
            schedule = new SnapshotSchedule(nowUs.getAsLong(), intervalUs);
            checkSchedule();
        }
    }

    /** Marks later snapshots as learned under these settings, after a reload. */
    public void retune(Settings settings) {
        settingsFingerprint = Snapshot.fingerprint(settings);
    }

    private void checkSchedule() {
        if (afterWrite != null) {
            return;
        }
        long now = nowUs.getAsLong();
        if (schedule.isDue(now)) {
            startWrite(false);
        }
        schedule.checkHung(now).ifPresent(line -> {
            counters.increment("state.hung");
            log.accept(line);
        });
        timers.schedule(schedule.nextCheckUs(now), this::checkSchedule);
    }

    private void startWrite(boolean cleanShutdown) {
        Snapshot snapshot =
                new Snapshot(gateway, settingsFingerprint, 0, wallMs.getAsLong(), cleanShutdown, broker.learnedState());
        schedule.writeStarted(nowUs.getAsLong());
        diskThread.execute(() -> {
            String fault = null;
            try {
                if (store == null && openStore() == null) {
                    throw new IOException("the folder is locked by another gateway");
                }
                store.write(snapshot);
            } catch (IOException | RuntimeException e) {
                fault = reason(e);
                closeStore();
            }
            String error = fault;
            loop.execute(() -> writeEnded(error));
        });
    }

    /** Closes the store after an error; the next write opens the folder again, which may have been replaced. */
    private void closeStore() {
        try {
            if (store != null) {
                store.close();
            }
        } catch (IOException e) {
            // The write error is reported already, and the lock is released when the process ends.
        }
        store = null;
    }

    private void writeEnded(String fault) {
        counters.increment(fault == null ? "state.written" : "state.failed");
        schedule.writeEnded(nowUs.getAsLong(), fault).ifPresent(log);
        if (afterWrite != null) {
            Runnable next = afterWrite;
            afterWrite = () -> {};
            next.run();
        }
    }

    /**
     * Writes a final snapshot, marked as that of a clean shutdown, and runs {@code then} when it is written or after
     * {@link #FINAL_WRITE_TIMEOUT_US}. Called once all requests are answered.
     */
    public void writeFinalSnapshot(Runnable then) {
        if (schedule == null) {
            then.run();
            return;
        }
        long deadlineUs = nowUs.getAsLong() + FINAL_WRITE_TIMEOUT_US;
        Runnable[] once = {then};
        Runnable end = () -> {
            Runnable next = once[0];
            once[0] = () -> {};
            next.run();
        };
        if (schedule.isWriting()) {
            // Only one write at a time: the final one follows the write in progress.
            afterWrite = () -> {
                afterWrite = end;
                startWrite(true);
            };
        } else {
            afterWrite = end;
            startWrite(true);
        }
        timers.schedule(deadlineUs, () -> {
            if (schedule.isWriting()) {
                log.accept("the final snapshot was not written within " + FINAL_WRITE_TIMEOUT_US / 1000
                        + " ms; ending without it");
            }
            end.run();
        });
    }

    private static String reason(Throwable fault) {
        String text = String.valueOf(fault.getMessage()).lines().findFirst().orElse("");
        return fault instanceof java.nio.file.FileSystemException || fault.getMessage() == null
                ? fault.getClass().getSimpleName() + " " + text
                : text;
    }
}
