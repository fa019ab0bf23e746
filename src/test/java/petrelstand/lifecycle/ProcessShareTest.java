package petrelstand.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests a process's share of the allowances in each step of a hot restart. */
class ProcessShareTest {
    private static final long START_US = 5_000_000;
    private static final long WAIT_US = ProcessShare.LEASE_US + ProcessShare.MAX_TURN_US;

    private final ProcessShare share = new ProcessShare();

    @Test
    void singleProcessHasEverythingWhileItScans() {
        share.recordMark(START_US, 0);
        assertEquals(1, share.share(START_US));
        share.recordScan(START_US + 900_000, 0);
        assertEquals(1, share.share(START_US + 1_800_000));
    }

    @Test
    void expiredScanAssumesOneMoreProcess() {
        share.recordMark(START_US, 0);
        assertEquals(1, share.share(START_US + ProcessShare.LEASE_US - 1));
        assertEquals(0.5, share.share(START_US + ProcessShare.LEASE_US));
        share.recordScan(START_US + 1_200_000, 0);
        assertEquals(1, share.share(START_US + 1_200_000));
    }

    @Test
    void newProcessWaitsForTheOldLeaseAndThenHasHalf() {
        share.recordMark(START_US, 1);
        assertEquals(0, share.share(START_US + WAIT_US - 1));
        share.recordScan(START_US + WAIT_US - 100_000, 1);
        assertEquals(0.5, share.share(START_US + WAIT_US));
    }

    @Test
    void remainingProcessHasEverythingAgain() {
        share.recordMark(START_US, 1);
        share.recordScan(START_US + WAIT_US, 0);
        assertEquals(1, share.share(START_US + WAIT_US));
    }

    @Test
    void renewedMarkIsTreatedAsNew() {
        share.recordMark(START_US, 0);
        share.recordMark(START_US + 2_000_000, 0);
        assertEquals(0, share.share(START_US + 2_000_000));
        share.recordScan(START_US + 2_000_000 + WAIT_US, 0);
        assertEquals(1, share.share(START_US + 2_000_000 + WAIT_US));
    }

    @Test
    void processWithoutAMarkHasHalf() {
        assertEquals(0.5, share.share(START_US));
    }
}
