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
 * Writes the accounts' seconds and minutes to the files {@code accounts-N.log} of a folder, on its own thread. Files
 * are rotated once they exceed {@link #MAX_FILE_BYTES}, and {@link #MAX_FILES} are kept. Each start begins a new file,
 * so that nothing is appended to a truncated one. Records beyond the queue's capacity are dropped and counted; the
 * event loop never waits.
 */
public final class AccountsLog implements LatencyHistory.Listener {
    static final int MAX_FILE_BYTES = 8 << 20;
    static final int MAX_FILES = 4;
    private static final int QUEUE_CAPACITY = 256;
    private static final long RETRY_DELAY_MS = 5_000;
    private static final byte[] END_MARKER = new byte[0];

    /** Opens the folder; called on the log's own thread. */
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
            FolderOpener folderOpener,
            AccountsRecord.NameTable names,
            int maxFileBytes,
            Counters counters,
            Consumer<Runnable> loop,
            Consumer<String> log) {
        this.folderOpener = folderOpener;
        this.namesFrame = AccountsRecord.encodeFrame(names);
        this.maxFileBytes = maxFileBytes;
        this.counters = counters;
        this.loop = loop;
        this.log = line -> log.accept("accounts: " + line);
        Thread thread = new Thread(this::writeLoop, "accounts");
        thread.setDaemon(true);
        thread.start();
    }

    /** Creates a log that writes to a folder; {@code loop} runs its log calls on the event loop. */
    public static AccountsLog onDisk(
            Path folder,
            AccountsRecord.NameTable names,
            Counters counters,
            Consumer<Runnable> loop,
            Consumer<String> log) {
        return new AccountsLog(() -> new DiskFolder(folder), names, MAX_FILE_BYTES, counters, loop, log);
    }

    /** Returns the number in the name of an accounts file, -1 for any other name. */
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

    /**
     * Writes the queued records and ends the thread. Blocks, so it must not be called on the event loop.
     *
     * @return false if that took longer than {@code timeoutMs}
     */
    public boolean close(long timeoutMs) throws InterruptedException {
        queue.offer(END_MARKER);
        return ended.await(timeoutMs, TimeUnit.MILLISECONDS);
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

    /** Writes files until the log is closed or an error occurs; returns whether to retry. */
    private boolean writeUntilEndOrError() throws InterruptedException {
        try (DiskFolder folder = folderOpener.open()) {
            if (!folder.tryLock()) {
                report("the folder is locked by another gateway; not recording", false);
                return false;
            }
            while (true) {
                if (!writeFile(folder)) {
                    return false;
                }
            }
        } catch (IOException | RuntimeException e) {
            report(
                    "cannot write accounts records: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse("") + "; retrying in "
                            + RETRY_DELAY_MS / 1000 + " s",
                    true);
            return true;
        }
    }

    /** Deletes old files and writes a new one; returns true when it is full, false when the log is closed. */
    private boolean writeFile(DiskFolder folder) throws IOException, InterruptedException {
        List<Long> numbers = new ArrayList<>(folder.list(SnapshotStore.MAX_FILES).stream()
                .map(AccountsLog::fileNumber)
                .filter(number -> number >= 0)
                .sorted(Comparator.reverseOrder())
                .toList());
        for (long obsolete : numbers.subList(Math.min(numbers.size(), MAX_FILES - 1), numbers.size())) {
            folder.delete(fileName(obsolete));
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
                    report("recording again", false);
                }
            }
            return true;
        }
    }

    private static String fileName(long number) {
        return String.format(Locale.ROOT, "accounts-%d.log", number);
    }

    private static void writeFully(FileChannel file, byte[] bytes) throws IOException {
        ByteBuffer remaining = ByteBuffer.wrap(bytes);
        while (remaining.hasRemaining()) {
            file.write(remaining);
        }
    }

    /** Logs a line, but of successive errors only the first. */
    private void report(String line, boolean isError) {
        if (isError && failing) {
            return;
        }
        failing = isError;
        loop.accept(() -> log.accept(line));
    }
}
