package petrelstand.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.accounts.Cause;
import petrelstand.accounts.LatencyHistory;
import petrelstand.accounts.LatencyHistory.Percentiles;
import petrelstand.accounts.LatencyHistory.Phase;
import petrelstand.accounts.TopWaits;
import petrelstand.core.Counters;
import petrelstand.testing.StoredFiles;

/**
 * Guards against a change of the accounts record under the same version number. The file is the head of a record and
 * the frames that {@link AccountsRecord} made of {@link #NAMES}, {@link #SECOND} and {@link #MINUTE}, in this order.
 */
class StoredAccountsCompatibilityTest {
    private static final String FILE = "accounts/accounts-3.log";
    private static final long CLOSE_WITHIN_MS = 20_000;

    private static final AccountsRecord.NameTable NAMES = new AccountsRecord.NameTable(
            "gateway-north", List.of("tile-read", "survey-write", "bulk-export"), List.of("basic", "priority"));

    private static final LatencyHistory.SecondStats SECOND = new LatencyHistory.SecondStats(
            1_796_000_117L,
            42,
            1_234_567,
            List.of(
                    new TopWaits.Entry(new TopWaits.WaitKey(0xabcdL, 0xa1, 2, Cause.work(-5, 1)), 800_001, 17),
                    new TopWaits.Entry(new TopWaits.WaitKey(7, -11, 1, Cause.NODE), 300_002, 260),
                    new TopWaits.Entry(new TopWaits.WaitKey(8, 0x1122334455667788L, 0, Cause.WINDOW), 100_003, 3),
                    new TopWaits.Entry(new TopWaits.WaitKey(9, 12, 3, Cause.UNSEEN), 30_004, 70_000),
                    new TopWaits.Entry(new TopWaits.WaitKey(10, 13, 4, Cause.OTHERS), 4_557, 5)));

    private static final AccountsRecord.MinuteRecord MINUTE = new AccountsRecord.MinuteRecord(
            1_796_000_100L,
            977,
            955,
            List.of(
                    new AccountsRecord.GroupPhases(
                            new LatencyHistory.RequestGroup(2, 1, -1),
                            List.of(
                                    new Percentiles(401, 1_011, 1_021, 1_031, 1_041),
                                    new Percentiles(402, 2_012, 2_022, 2_032, 2_042),
                                    new Percentiles(403, 3_013, 3_023, 3_033, 3_043),
                                    new Percentiles(404, 4_014, 4_024, 4_034, 4_044),
                                    new Percentiles(405, 10_015, 10_025, 10_035, 60_000_045))),
                    new AccountsRecord.GroupPhases(
                            new LatencyHistory.RequestGroup(-1, -1, 0xabcdL),
                            List.of(
                                    new Percentiles(501, 11, 21, 31, 41),
                                    new Percentiles(502, 12, 22, 32, 42),
                                    new Percentiles(503, 13, 23, 33, 43),
                                    new Percentiles(504, 14, 24, 34, 44),
                                    new Percentiles(505, 15, 25, 35, 45))),
                    new AccountsRecord.GroupPhases(
                            LatencyHistory.RequestGroup.OTHERS,
                            List.of(
                                    new Percentiles(71, 611, 621, 631, 641),
                                    new Percentiles(72, 612, 622, 632, 642),
                                    new Percentiles(73, 613, 623, 633, 643),
                                    new Percentiles(74, 614, 624, 634, 644),
                                    new Percentiles(75, 615, 625, 635, 645)))));

    @TempDir
    Path folder;

    static byte[] head() throws IOException {
        ByteArrayOutputStream record = new ByteArrayOutputStream();
        record.write(AccountsRecord.header());
        record.write(AccountsRecord.encodeFrame(NAMES));
        record.write(AccountsRecord.encodeFrame(SECOND));
        return record.toByteArray();
    }

    static byte[] record() throws IOException {
        ByteArrayOutputStream record = new ByteArrayOutputStream();
        record.write(head());
        record.write(AccountsRecord.encodeFrame(MINUTE));
        return record.toByteArray();
    }

    @Test
    void everyFieldOfTheStoredRecordIsRead() throws Exception {
        assertEquals(
                new AccountsRecord.Content(NAMES, List.of(SECOND), List.of(MINUTE), null),
                AccountsRecord.read(StoredFiles.read(FILE)));
    }

    /** The record holds causes by the place of their kind, and percentiles by the place of their phase. */
    @Test
    void kindsOfCauseAndPhasesKeepTheirOrder() {
        assertEquals(
                List.of(Cause.Kind.WORK, Cause.Kind.NODE, Cause.Kind.WINDOW, Cause.Kind.UNSEEN, Cause.Kind.OTHERS),
                List.of(Cause.Kind.values()));
        assertEquals(
                List.of(Phase.HELD, Phase.CONNECTING, Phase.WAITED, Phase.SERVED, Phase.TOTAL),
                List.of(Phase.values()));
    }

    @Test
    void encodingTheRecordGivesTheStoredBytes() throws Exception {
        assertArrayEquals(StoredFiles.read(FILE), record());
    }

    @Test
    void accountsLogWritesTheStoredBytes() throws Exception {
        AccountsLog log = AccountsLog.onDisk(folder, NAMES, new Counters(), Runnable::run, line -> {});
        log.periodFinished(SECOND);
        assertTrue(log.close(CLOSE_WITHIN_MS));
        byte[] written = Files.readAllBytes(folder.resolve("accounts-1.log"));
        assertArrayEquals(Arrays.copyOf(StoredFiles.read(FILE), head().length), written);
    }
}
