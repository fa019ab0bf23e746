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
import petrelstand.state.SnapshotFiles;
import petrelstand.state.Snapshot;
import petrelstand.state.SnapshotEvaluator;
import petrelstand.state.SnapshotSchedule;

/**
 * Keeps what a gateway has learned in a folder. It takes a snapshot on the loop's thread, which costs a look at each
 * node and volume, and hands it to a thread of its own, which encodes and writes; one write at a time, and nothing on
 * the loop ever waits for it. All methods but {@link #open} are for the loop's thread.
 */
public final class StateKeeper {
    /** A folder that has not answered by then is done without at the start. */
    static final long OPEN_TIMEOUT_MS = 1_000;
    /** How long the end of the gateway waits for the last write. */
    public static final long FINAL_WRITE_TIMEOUT_US = 400_000;

    /** Makes the folder, on the keeper's own thread. */
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
    /** Of the disk's thread alone. */
    private SnapshotStore store;

    private Runnable afterWrite;
    private boolean disabled;

    /** A keeper for a gateway; {@code wallMs} is the wall clock, by which a snapshot's age is told. */
    public StateKeeper(
            FolderOpener opening,
            long everyUs,
            String gateway,
            Settings settings,
            Timers timers,
            LongSupplier nowUs,
            LongSupplier wallMs,
            Executor loop,
            Counters counters,
            Consumer<String> log) {
        this.folderOpener = opening;
        this.intervalUs = everyUs;
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

    /** A keeper whose folder is on a disk; so the gateway's own code names nothing of this package but the keeper. */
    public static StateKeeper onDisk(
            Path folder,
            long everyUs,
            String gateway,
            Settings settings,
            Timers timers,
            LongSupplier nowUs,
            LongSupplier wallMs,
            Executor loop,
            Counters counters,
            Consumer<String> log) {
        return new StateKeeper(
                () -> new DiskFolder(folder), everyUs, gateway, settings, timers, nowUs, wallMs, loop, counters, log);
    }

    /**
     * Takes the folder and reads what was learned, before the gateway serves. Waits {@link #OPEN_TIMEOUT_MS} at most; whatever
     * is wrong is one line, and the gateway starts without.
     */
    public void open() {
        try {
            SnapshotStore.OpenResult found =
                    diskThread.submit((Callable<SnapshotStore.OpenResult>) this::openStore).get(OPEN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            if (found == null) {
                disabled = true;
                log.accept("another gateway has the folder; this one keeps nothing");
                return;
            }
            found.rejected().forEach(line -> log.accept("refused and left in place: " + line));
            evaluate(found.newest());
        } catch (TimeoutException e) {
            log.accept("the folder did not answer in " + OPEN_TIMEOUT_MS + " ms; starting without what was learned");
        } catch (ExecutionException e) {
            log.accept("nothing remembered: " + reason(e.getCause()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private SnapshotStore.OpenResult openStore() throws IOException {
        SnapshotStore opened = new SnapshotStore(folderOpener.open());
        try {
            SnapshotStore.OpenResult found = opened.open();
            if (found != null) {
                store = opened;
            }
            return found;
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
        SnapshotEvaluator.Evaluation verdict = evaluator.evaluate(newest, wallMs.getAsLong());
        if (verdict.rejectionReason() != null) {
            log.accept("nothing remembered: " + SnapshotFiles.fileName(newest.generation()) + ": " + verdict.rejectionReason());
            return;
        }
        restoredState = verdict.learned();
        log.accept("remembered " + restoredState.nodes().size() + " nodes (" + verdict.silentNodes() + " silent) and "
                + restoredState.volumes().size() + " volumes, " + String.format(Locale.ROOT, "%.1f", verdict.ageMs() / 1000)
                + " s old, generation " + newest.generation() + (newest.cleanShutdown() ? ", after an orderly end" : "")
                + (verdict.droppedEntries() > 0 ? "; " + verdict.droppedEntries() + " entries made no sense" : ""));
    }

    /** Gives the broker what was learned, before its first node list, and begins to keep what it learns. */
    public void start(Broker of) {
        broker = of;
        if (restoredState != null) {
            broker.restoreLearnedState(restoredState);
            restoredState = null;
        }
        if (!disabled) {
            // The first look takes some 15 ms, for its code is not linked yet: better now than while it serves.
            broker.learnedState();
            schedule = new SnapshotSchedule(nowUs.getAsLong(), intervalUs);
            tick();
        }
    }

    /** What is learned from now on is learned under other settings: a start under these will find it its own. */
    public void retune(Settings settings) {
        settingsFingerprint = Snapshot.fingerprint(settings);
    }

    private void tick() {
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
        timers.schedule(schedule.nextCheckUs(now), this::tick);
    }

    private void startWrite(boolean clean) {
        Snapshot snapshot = new Snapshot(gateway, settingsFingerprint, 0, wallMs.getAsLong(), clean, broker.learnedState());
        schedule.writeStarted(nowUs.getAsLong());
        diskThread.execute(() -> {
            String fault = null;
            try {
                if (store == null && openStore() == null) {
                    throw new IOException("another gateway has the folder");
                }
                store.write(snapshot);
            } catch (IOException | RuntimeException e) {
                fault = reason(e);
                closeStore();
            }
            String how = fault;
            loop.execute(() -> writeEnded(how));
        });
    }

    /** After a fault the folder is taken anew: it may have gone, and another may stand in its place. */
    private void closeStore() {
        try {
            if (store != null) {
                store.close();
            }
        } catch (IOException e) {
            // The lock goes with the process at the latest; the fault of the write has been told.
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
     * All is answered: writes a last snapshot, marked as one after which nothing was sent, and goes on with the end
     * once it is there, or {@link #FINAL_WRITE_TIMEOUT_US} later at the latest.
     */
    public void writeFinalSnapshot(Runnable then) {
        if (schedule == null) {
            then.run();
            return;
        }
        long untilUs = nowUs.getAsLong() + FINAL_WRITE_TIMEOUT_US;
        Runnable[] once = {then};
        Runnable end = () -> {
            Runnable next = once[0];
            once[0] = () -> {};
            next.run();
        };
        if (schedule.isWriting()) {
            // One at a time: the one under way first. What it lacks is written after it, or not at all.
            afterWrite = () -> {
                afterWrite = end;
                startWrite(true);
            };
        } else {
            afterWrite = end;
            startWrite(true);
        }
        timers.schedule(untilUs, () -> {
            if (schedule.isWriting()) {
                log.accept("the last snapshot was not written in " + FINAL_WRITE_TIMEOUT_US / 1000 + " ms");
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
