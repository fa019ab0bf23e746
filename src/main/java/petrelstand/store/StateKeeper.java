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
import petrelstand.state.Generations;
import petrelstand.state.Snapshot;
import petrelstand.state.Trust;
import petrelstand.state.WritePlan;

/**
 * Keeps what a gateway has learned in a folder. It takes a snapshot on the loop's thread, which costs a look at each
 * node and volume, and hands it to a thread of its own, which encodes and writes; one write at a time, and nothing on
 * the loop ever waits for it. All methods but {@link #open} are for the loop's thread.
 */
public final class StateKeeper {
    /** A folder that has not answered by then is done without at the start. */
    static final long OPEN_MS = 1_000;
    /** How long the end of the gateway waits for the last write. */
    public static final long LAST_WRITE_US = 400_000;

    /** Makes the folder, on the keeper's own thread. */
    public interface Opening {
        Folder open() throws IOException;
    }

    private final Opening opening;
    private final String gateway;
    private long settingsPrint;
    private final Trust trust;
    private final Timers timers;
    private final LongSupplier nowUs;
    private final LongSupplier wallMs;
    private final Executor loop;
    private final Counters counters;
    private final Consumer<String> log;
    private final ExecutorService disk;
    private final long everyUs;
    private Broker broker;
    private WritePlan plan;
    private LearnedState recalled;
    /** Of the disk's thread alone. */
    private StateStore store;

    private Runnable atLast;
    private boolean off;

    /** A keeper for a gateway; {@code wallMs} is the wall clock, by which a snapshot's age is told. */
    public StateKeeper(
            Opening opening,
            long everyUs,
            String gateway,
            Settings settings,
            Timers timers,
            LongSupplier nowUs,
            LongSupplier wallMs,
            Executor loop,
            Counters counters,
            Consumer<String> log) {
        this.opening = opening;
        this.everyUs = everyUs;
        this.gateway = gateway;
        this.settingsPrint = Snapshot.print(settings);
        this.trust = new Trust(gateway, settings);
        this.timers = timers;
        this.nowUs = nowUs;
        this.wallMs = wallMs;
        this.loop = loop;
        this.counters = counters;
        this.log = line -> log.accept("state: " + line);
        this.disk = Executors.newSingleThreadExecutor(task -> {
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
     * Takes the folder and reads what was learned, before the gateway serves. Waits {@link #OPEN_MS} at most; whatever
     * is wrong is one line, and the gateway starts without.
     */
    public void open() {
        try {
            StateStore.Found found =
                    disk.submit((Callable<StateStore.Found>) this::openStore).get(OPEN_MS, TimeUnit.MILLISECONDS);
            if (found == null) {
                off = true;
                log.accept("another gateway has the folder; this one keeps nothing");
                return;
            }
            found.refused().forEach(line -> log.accept("refused and left in place: " + line));
            weigh(found.newest());
        } catch (TimeoutException e) {
            log.accept("the folder did not answer in " + OPEN_MS + " ms; starting without what was learned");
        } catch (ExecutionException e) {
            log.accept("nothing remembered: " + reason(e.getCause()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private StateStore.Found openStore() throws IOException {
        StateStore opened = new StateStore(opening.open());
        try {
            StateStore.Found found = opened.open();
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

    private void weigh(Snapshot newest) {
        if (newest == null) {
            log.accept("nothing remembered: the folder holds no whole snapshot");
            return;
        }
        Trust.Verdict verdict = trust.weigh(newest, wallMs.getAsLong());
        if (verdict.refused() != null) {
            log.accept("nothing remembered: " + Generations.name(newest.generation()) + ": " + verdict.refused());
            return;
        }
        recalled = verdict.learned();
        log.accept("remembered " + recalled.nodes().size() + " nodes (" + verdict.silent() + " silent) and "
                + recalled.volumes().size() + " volumes, " + String.format(Locale.ROOT, "%.1f", verdict.ageMs() / 1000)
                + " s old, generation " + newest.generation() + (newest.clean() ? ", after an orderly end" : "")
                + (verdict.dropped() > 0 ? "; " + verdict.dropped() + " entries made no sense" : ""));
    }

    /** Gives the broker what was learned, before its first node list, and begins to keep what it learns. */
    public void start(Broker of) {
        broker = of;
        if (recalled != null) {
            broker.restoreLearnedState(recalled);
            recalled = null;
        }
        if (!off) {
            // The first look takes some 15 ms, for its code is not linked yet: better now than while it serves.
            broker.learnedState();
            plan = new WritePlan(nowUs.getAsLong(), everyUs);
            tick();
        }
    }

    /** What is learned from now on is learned under other settings: a start under these will find it its own. */
    public void retune(Settings settings) {
        settingsPrint = Snapshot.print(settings);
    }

    private void tick() {
        if (atLast != null) {
            return;
        }
        long now = nowUs.getAsLong();
        if (plan.due(now)) {
            write(false);
        }
        plan.look(now).ifPresent(line -> {
            counters.increment("state.hung");
            log.accept(line);
        });
        timers.schedule(plan.nextUs(now), this::tick);
    }

    private void write(boolean clean) {
        Snapshot snapshot = new Snapshot(gateway, settingsPrint, 0, wallMs.getAsLong(), clean, broker.learnedState());
        plan.began(nowUs.getAsLong());
        disk.execute(() -> {
            String fault = null;
            try {
                if (store == null && openStore() == null) {
                    throw new IOException("another gateway has the folder");
                }
                store.write(snapshot);
            } catch (IOException | RuntimeException e) {
                fault = reason(e);
                reset();
            }
            String how = fault;
            loop.execute(() -> wrote(how));
        });
    }

    /** After a fault the folder is taken anew: it may have gone, and another may stand in its place. */
    private void reset() {
        try {
            if (store != null) {
                store.close();
            }
        } catch (IOException e) {
            // The lock goes with the process at the latest; the fault of the write has been told.
        }
        store = null;
    }

    private void wrote(String fault) {
        counters.increment(fault == null ? "state.written" : "state.failed");
        plan.ended(nowUs.getAsLong(), fault).ifPresent(log);
        if (atLast != null) {
            Runnable next = atLast;
            atLast = () -> {};
            next.run();
        }
    }

    /**
     * All is answered: writes a last snapshot, marked as one after which nothing was sent, and goes on with the end
     * once it is there, or {@link #LAST_WRITE_US} later at the latest.
     */
    public void last(Runnable then) {
        if (plan == null) {
            then.run();
            return;
        }
        long untilUs = nowUs.getAsLong() + LAST_WRITE_US;
        Runnable[] once = {then};
        Runnable end = () -> {
            Runnable next = once[0];
            once[0] = () -> {};
            next.run();
        };
        if (plan.writing()) {
            // One at a time: the one under way first. What it lacks is written after it, or not at all.
            atLast = () -> {
                atLast = end;
                write(true);
            };
        } else {
            atLast = end;
            write(true);
        }
        timers.schedule(untilUs, () -> {
            if (plan.writing()) {
                log.accept("the last snapshot was not written in " + LAST_WRITE_US / 1000 + " ms");
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
