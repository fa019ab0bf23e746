package petrelstand.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import petrelstand.accounts.Book;
import petrelstand.core.Counters;

/**
 * Writes the accounts' seconds and minutes to files of a folder, {@code accounts-N.log}, on a thread of its own: a file
 * of at most {@link #MOST_BYTES}, {@link #MOST_KEPT} of them, and a new one at each start, so that nothing is ever
 * appended to a torn end. What the thread does not take in time is dropped and counted; the loop never waits.
 */
public final class AccountsLog implements Book.Keeper {
    static final int MOST_BYTES = 8 << 20;
    static final int MOST_KEPT = 4;
    private static final int MOST_WAITING = 256;
    private static final long REST_MS = 5_000;
    private static final byte[] END = new byte[0];

    /** Makes the folder, on the log's own thread. */
    interface Opening {
        DiskFolder open() throws IOException;
    }

    private final Opening opening;
    private final byte[] names;
    private final int mostBytes;
    private final Counters counters;
    private final Consumer<Runnable> loop;
    private final Consumer<String> log;
    private final BlockingQueue<byte[]> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
    private final CountDownLatch ended = new CountDownLatch(1);
    private boolean failing;

    AccountsLog(
            Opening opening,
            AccountsRecord.Names names,
            int mostBytes,
            Counters counters,
            Consumer<Runnable> loop,
            Consumer<String> log) {
        this.opening = opening;
        this.names = AccountsRecord.frame(names);
        this.mostBytes = mostBytes;
        this.counters = counters;
        this.loop = loop;
        this.log = line -> log.accept("accounts: " + line);
        Thread thread = new Thread(this::write, "accounts");
        thread.setDaemon(true);
        thread.start();
    }

    /** A log in a folder; {@code loop} runs what counts and logs. */
    public static AccountsLog onDisk(
            Path folder, AccountsRecord.Names names, Counters counters, Consumer<Runnable> loop, Consumer<String> log) {
        return new AccountsLog(() -> new DiskFolder(folder), names, MOST_BYTES, counters, loop, log);
    }

    /** A file's number; -1 for another name. */
    static long number(String name) {
        return name.matches("accounts-[0-9]{1,15}\\.log") ? Long.parseLong(name.substring(9, name.length() - 4)) : -1;
    }

    @Override
    public void over(Book.Second second) {
        offer(AccountsRecord.frame(second));
    }

    @Override
    public void over(Book.Minute minute) {
        offer(AccountsRecord.frame(AccountsRecord.of(minute)));
    }

    private void offer(byte[] frame) {
        if (!waiting.offer(frame)) {
            counters.increment("accounts.dropped");
        }
    }

    /** Writes what waits and ends, within so many milliseconds; on another thread than the loop's. */
    public boolean close(long withinMs) throws InterruptedException {
        waiting.offer(END);
        return ended.await(withinMs, TimeUnit.MILLISECONDS);
    }

    private void write() {
        try {
            while (attempt()) {
                TimeUnit.MILLISECONDS.sleep(REST_MS);
                waiting.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            ended.countDown();
        }
    }

    /** Writes until the end (false) or a fault (true). */
    private boolean attempt() throws InterruptedException {
        try (DiskFolder folder = opening.open()) {
            if (!folder.lock()) {
                tell("another gateway has the folder; nothing is recorded", false);
                return false;
            }
            while (true) {
                if (!fill(folder)) {
                    return false;
                }
            }
        } catch (IOException | RuntimeException e) {
            tell(
                    "not recorded: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse("") + "; service goes on"
                            + " without",
                    true);
            return true;
        }
    }

    /** Writes one file; true where it is full, false at the end. */
    private boolean fill(DiskFolder folder) throws IOException, InterruptedException {
        List<Long> numbers = new ArrayList<>(folder.list(StateStore.MOST_FILES).stream()
                .map(AccountsLog::number)
                .filter(number -> number >= 0)
                .sorted(Comparator.reverseOrder())
                .toList());
        for (long old : numbers.subList(Math.min(numbers.size(), MOST_KEPT - 1), numbers.size())) {
            folder.delete(name(old));
        }
        String name = name(numbers.isEmpty() ? 1 : numbers.get(0) + 1);
        try (FileChannel file = folder.append(name)) {
            put(file, AccountsRecord.head());
            put(file, names);
            while (file.position() < mostBytes) {
                byte[] frame = waiting.take();
                if (frame == END) {
                    file.force(true);
                    return false;
                }
                put(file, frame);
                if (waiting.isEmpty()) {
                    file.force(false);
                }
                if (failing) {
                    tell("recorded again", false);
                }
            }
            return true;
        }
    }

    private static String name(long number) {
        return String.format(Locale.ROOT, "accounts-%d.log", number);
    }

    private static void put(FileChannel file, byte[] bytes) throws IOException {
        ByteBuffer left = ByteBuffer.wrap(bytes);
        while (left.hasRemaining()) {
            file.write(left);
        }
    }

    /** Says it once each way. */
    private void tell(String line, boolean fault) {
        if (fault && failing) {
            return;
        }
        failing = fault;
        loop.accept(() -> log.accept(line));
    }
}
