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
import petrelstand.accounts.LatencyHistory;
import petrelstand.core.Counters;

/**
 * Writes the accounts' seconds and minutes to files of a folder, {@code accounts-N.log}, on a thread of its own: a file
 * of at most {@link #MAX_FILE_BYTES}, {@link #MAX_FILES} of them, and a new one at each start, so that nothing is ever
 * appended to a torn end. What the thread does not take in time is dropped and counted; the loop never waits.
 */
public final class AccountsLog implements LatencyHistory.Listener {
    static final int MAX_FILE_BYTES = 8 << 20;
    static final int MAX_FILES = 4;
    private static final int QUEUE_CAPACITY = 256;
    private static final long RETRY_DELAY_MS = 5_000;
    private static final byte[] END_MARKER = new byte[0];

    /** Makes the folder, on the log's own thread. */
    interface FolderOpener {
        DiskFolder open() throws IOException;
    }

    private final FolderOpener folderOpener;
    private final byte[] namesFrame;
    private final int maxFileBytes;
    private final Counters counters;
    private final Consumer<Runnable> loop;
    private final Consumer<String> log;
    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final CountDownLatch ended = new CountDownLatch(1);
    private boolean failing;

    AccountsLog(
            FolderOpener opening,
            AccountsRecord.NameTable names,
            int mostBytes,
            Counters counters,
            Consumer<Runnable> loop,
            Consumer<String> log) {
        this.folderOpener = opening;
        this.namesFrame = AccountsRecord.encodeFrame(names);
        this.maxFileBytes = mostBytes;
        this.counters = counters;
        this.loop = loop;
        this.log = line -> log.accept("accounts: " + line);
        Thread thread = new Thread(this::writeLoop, "accounts");
        thread.setDaemon(true);
        thread.start();
    }

    /** A log in a folder; {@code loop} runs what counts and logs. */
    public static AccountsLog onDisk(
            Path folder, AccountsRecord.NameTable names, Counters counters, Consumer<Runnable> loop, Consumer<String> log) {
        return new AccountsLog(() -> new DiskFolder(folder), names, MAX_FILE_BYTES, counters, loop, log);
    }

    /** A file's number; -1 for another name. */
    static long fileNumber(String name) {
        return name.matches("accounts-[0-9]{1,15}\\.log") ? Long.parseLong(name.substring(9, name.length() - 4)) : -1;
    }

    @Override
    public void periodFinished(LatencyHistory.SecondStats second) {
        enqueue(AccountsRecord.encodeFrame(second));
    }

    @Override
    public void periodFinished(LatencyHistory.MinuteStats minute) {
        enqueue(AccountsRecord.encodeFrame(AccountsRecord.toRecord(minute)));
    }

    private void enqueue(byte[] frame) {
        if (!queue.offer(frame)) {
            counters.increment("accounts.dropped");
        }
    }

    /** Writes what waits and ends, within so many milliseconds; on another thread than the loop's. */
    public boolean close(long withinMs) throws InterruptedException {
        queue.offer(END_MARKER);
        return ended.await(withinMs, TimeUnit.MILLISECONDS);
    }

    private void writeLoop() {
        try {
            while (writeUntilEndOrError()) {
                TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
                queue.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            ended.countDown();
        }
    }

    /** Writes until the end (false) or a fault (true). */
    private boolean writeUntilEndOrError() throws InterruptedException {
        try (DiskFolder folder = folderOpener.open()) {
            if (!folder.tryLock()) {
                report("another gateway has the folder; nothing is recorded", false);
                return false;
            }
            while (true) {
                if (!writeFile(folder)) {
                    return false;
                }
            }
        } catch (IOException | RuntimeException e) {
            report(
                    "not recorded: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse("") + "; service goes on"
                            + " without",
                    true);
            return true;
        }
    }

    /** Writes one file; true where it is full, false at the end. */
    private boolean writeFile(DiskFolder folder) throws IOException, InterruptedException {
        List<Long> numbers = new ArrayList<>(folder.list(SnapshotStore.MAX_FILES).stream()
                .map(AccountsLog::fileNumber)
                .filter(number -> number >= 0)
                .sorted(Comparator.reverseOrder())
                .toList());
        for (long old : numbers.subList(Math.min(numbers.size(), MAX_FILES - 1), numbers.size())) {
            folder.delete(fileName(old));
        }
        String name = fileName(numbers.isEmpty() ? 1 : numbers.get(0) + 1);
        try (FileChannel file = folder.createForAppend(name)) {
            writeFully(file, AccountsRecord.header());
            writeFully(file, namesFrame);
            while (file.position() < maxFileBytes) {
                byte[] frame = queue.take();
                if (frame == END_MARKER) {
                    file.force(true);
                    return false;
                }
                writeFully(file, frame);
                if (queue.isEmpty()) {
                    file.force(false);
                }
                if (failing) {
                    report("recorded again", false);
                }
            }
            return true;
        }
    }

    private static String fileName(long number) {
        return String.format(Locale.ROOT, "accounts-%d.log", number);
    }

    private static void writeFully(FileChannel file, byte[] bytes) throws IOException {
        ByteBuffer left = ByteBuffer.wrap(bytes);
        while (left.hasRemaining()) {
            file.write(left);
        }
    }

    /** Says it once each way. */
    private void report(String line, boolean fault) {
        if (fault && failing) {
            return;
        }
        failing = fault;
        loop.accept(() -> log.accept(line));
    }
}
