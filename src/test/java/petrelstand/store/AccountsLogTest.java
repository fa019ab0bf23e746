package petrelstand.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.accounts.Cause;
import petrelstand.accounts.LatencyAttributor.RequestLatency;
import petrelstand.accounts.LatencyAttributor.WaitShare;
import petrelstand.accounts.LatencyHistory;
import petrelstand.accounts.TopWaits;
import petrelstand.core.Counters;

/** Guards against losing intact records of a damaged file, unbounded files, and a disk that blocks the event loop. */
class AccountsLogTest {
    private static final AccountsRecord.NameTable NAMES =
            new AccountsRecord.NameTable("n1", List.of("tile-read", "survey-write", "bulk-export"), List.of("basic"));

    @TempDir
    Path folder;

    private final Counters counters = new Counters();
    private final List<String> log = new ArrayList<>();
    private final LinkedBlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();

    static LatencyHistory.SecondStats second(long number) {
        List<TopWaits.Entry> causes = List.of(
                new TopWaits.Entry(new TopWaits.WaitKey(7, 0xa1, 0, Cause.work(-5, 2)), 5_000 + number, 10),
                new TopWaits.Entry(new TopWaits.WaitKey(7, -1, 1, Cause.NODE), 700, 0));
        return new LatencyHistory.SecondStats(number, 12, 5_700 + number, causes);
    }

    private static byte[] file(int seconds) throws IOException {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        content.write(AccountsRecord.header());
        content.write(AccountsRecord.encodeFrame(NAMES));
        for (int i = 1; i <= seconds; i++) {
            content.write(AccountsRecord.encodeFrame(second(i)));
        }
        return content.toByteArray();
    }

    @Test
    void damageLosesOnlyTheRecordsFromThereOn() throws Exception {
        byte[] intact = file(5);
        AccountsRecord.Content content = AccountsRecord.read(intact);
        assertEquals(NAMES, content.names());
        assertEquals(List.of(second(1), second(2), second(3), second(4), second(5)), content.seconds());
        assertNull(content.fault());
        int frame = AccountsRecord.encodeFrame(second(1)).length;
        for (int cut = AccountsRecord.HEADER_BYTES; cut < intact.length; cut++) {
            AccountsRecord.Content truncated = AccountsRecord.read(Arrays.copyOf(intact, cut));
            int expected = Math.max(0, 5 - (intact.length - cut + frame - 1) / frame);
            assertEquals(expected, truncated.seconds().size(), "cut at " + cut);
        }
        for (int at = AccountsRecord.HEADER_BYTES; at < intact.length; at++) {
            byte[] flipped = intact.clone();
            flipped[at] ^= 0x41;
            AccountsRecord.Content damaged = AccountsRecord.read(flipped);
            assertTrue(damaged.fault().startsWith("offset "), damaged.fault());
            assertEquals(content.seconds().subList(0, damaged.seconds().size()), damaged.seconds());
        }
        for (int at = 0; at < 10; at++) {
            byte[] flipped = intact.clone();
            flipped[at] ^= 0x41;
            assertThrows(FileFormatException.class, () -> AccountsRecord.read(flipped));
        }
    }

    private AccountsLog log(AccountsLog.FolderOpener opening, int maxFileBytes) {
        Consumer<Runnable> eventLoop = loop::add;
        return new AccountsLog(opening, NAMES, maxFileBytes, counters, eventLoop, log::add);
    }

    @Test
    void filesAreRotatedAndEachStartBeginsANewFile() throws Exception {
        AccountsLog first = log(() -> new DiskFolder(folder), 2_000);
        for (int i = 1; i <= 200; i++) {
            first.periodFinished(second(i));
        }
        assertTrue(first.close(20_000));
        AccountsLog second = log(() -> new DiskFolder(folder), 2_000);
        second.periodFinished(second(201));
        assertTrue(second.close(20_000));
        List<Path> files;
        try (Stream<Path> all = Files.list(folder)) {
            files = all.filter(file -> file.getFileName().toString().startsWith("accounts-"))
                    .sorted(java.util.Comparator.comparingLong(
                            f -> AccountsLog.fileNumber(f.getFileName().toString())))
                    .toList();
        }
        assertEquals(AccountsLog.MAX_FILES, files.size());
        List<Long> seconds = new ArrayList<>();
        for (Path file : files) {
            AccountsRecord.Content content = AccountsRecord.read(Files.readAllBytes(file));
            assertNull(content.fault());
            assertEquals("n1", content.names().gateway());
            content.seconds().forEach(one -> seconds.add(one.second()));
            assertTrue(Files.size(file) < 2_400);
        }
        for (int i = 1; i < seconds.size(); i++) {
            assertEquals(seconds.get(i - 1) + 1, seconds.get(i));
        }
        assertEquals(201, seconds.get(seconds.size() - 1));
    }

    @Test
    void hungDiskDropsAndCountsRecordsWithoutBlocking() throws Exception {
        CountDownLatch diskResponds = new CountDownLatch(1);
        AccountsLog hung = log(
                () -> {
                    try {
                        diskResponds.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    return new DiskFolder(folder);
                },
                1 << 20);
        for (int i = 0; i < 1_000; i++) {
            hung.periodFinished(second(i));
        }
        assertEquals(1_000 - 256, counters.get("accounts.dropped"));
        assertTrue(!hung.close(50));
        diskResponds.countDown();
        // The temporary folder is deleted next, so the writer must have ended.
        boolean ended = false;
        for (int attempt = 0; attempt < 400 && !ended; attempt++) {
            ended = hung.close(50);
        }
        assertTrue(ended);
    }

    @Test
    void unusableFolderIsReportedOnce() throws Exception {
        AccountsLog unusable = log(
                () -> {
                    throw new IOException("No space left on device");
                },
                1 << 20);
        unusable.periodFinished(second(1));
        Runnable line = loop.poll(20, TimeUnit.SECONDS);
        line.run();
        assertEquals(List.of("accounts: cannot write accounts records: No space left on device; retrying in 5 s"), log);
    }

    @Test
    void bookReportsEachSecondAndMinuteOnce() {
        LatencyHistory book = new LatencyHistory();
        List<LatencyHistory.SecondStats> seconds = new ArrayList<>();
        List<AccountsRecord.MinuteRecord> minutes = new ArrayList<>();
        book.setListener(new LatencyHistory.Listener() {
            @Override
            public void periodFinished(LatencyHistory.SecondStats one) {
                seconds.add(one);
            }

            @Override
            public void periodFinished(LatencyHistory.MinuteStats one) {
                minutes.add(AccountsRecord.toRecord(one));
            }
        });
        for (int i = 0; i < 130; i++) {
            book.requestFinished(new RequestLatency(
                    i,
                    1,
                    0,
                    0,
                    true,
                    1,
                    0,
                    0,
                    4_000,
                    10_000,
                    0,
                    i * 1_000_000L + 500,
                    List.of(new WaitShare(7, Cause.NODE, 4_000))));
        }
        book.close();
        assertEquals(130, seconds.size());
        assertEquals(
                130 * 4_000,
                seconds.stream().mapToLong(LatencyHistory.SecondStats::waitUs).sum());
        assertEquals(
                List.of(0L, 60L, 120L),
                minutes.stream().map(AccountsRecord.MinuteRecord::fromSecond).toList());
        assertEquals(
                130,
                minutes.stream()
                        .mapToLong(AccountsRecord.MinuteRecord::requests)
                        .sum());
    }
}
