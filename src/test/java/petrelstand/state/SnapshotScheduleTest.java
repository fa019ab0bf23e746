package petrelstand.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against overlapping or too frequent writes, repeated log lines, and deleting files that are needed. */
class SnapshotScheduleTest {
    private static final long SECOND_US = 1_000_000;
    private final SnapshotSchedule schedule = new SnapshotSchedule(0, 2 * SECOND_US);

    @Test
    void writesOneSnapshotAtATimeAtAFixedInterval() {
        assertFalse(schedule.isDue(2 * SECOND_US - 1));
        assertTrue(schedule.isDue(2 * SECOND_US));
        schedule.writeStarted(2 * SECOND_US);
        assertFalse(schedule.isDue(9 * SECOND_US));
        assertThrows(IllegalStateException.class, () -> schedule.writeStarted(9 * SECOND_US));
        assertEquals(Optional.empty(), schedule.writeEnded(2 * SECOND_US + 500, null));
        assertFalse(schedule.isDue(4 * SECOND_US - 1));
        assertTrue(schedule.isDue(4 * SECOND_US));
    }

    @Test
    void backsOffAfterFailuresAndReportsOnlyTheFirst() {
        long now = 2 * SECOND_US;
        long previousDelayUs = 0;
        for (int i = 0; i < 12; i++) {
            schedule.writeStarted(now);
            assertEquals(i == 0, schedule.writeEnded(now, "disk full").isPresent());
            long delayUs = schedule.nextCheckUs(now) - now;
            assertTrue(
                    delayUs >= previousDelayUs && delayUs >= 2 * SECOND_US && delayUs <= 60 * SECOND_US,
                    "delay " + delayUs);
            previousDelayUs = delayUs;
            now += delayUs;
            assertTrue(schedule.isDue(now));
        }
        assertEquals(60 * SECOND_US, previousDelayUs);
        schedule.writeStarted(now);
        assertEquals(Optional.of("writing snapshots works again"), schedule.writeEnded(now, null));
        assertEquals(now + 2 * SECOND_US, schedule.nextCheckUs(now));
        schedule.writeStarted(now + 2 * SECOND_US);
        assertEquals(Optional.empty(), schedule.writeEnded(now + 2 * SECOND_US, null));
    }

    @Test
    void reportsAHungWriteOnceAndItsEndOnce() {
        schedule.writeStarted(2 * SECOND_US);
        assertEquals(Optional.empty(), schedule.checkHung(4 * SECOND_US - 1));
        assertEquals(4 * SECOND_US, schedule.nextCheckUs(3 * SECOND_US));
        assertTrue(schedule.checkHung(4 * SECOND_US).isPresent());
        assertEquals(Optional.empty(), schedule.checkHung(5 * SECOND_US));
        assertTrue(schedule.nextCheckUs(5 * SECOND_US) > 5 * SECOND_US);
        assertEquals(Optional.of("writing snapshots works again"), schedule.writeEnded(12 * SECOND_US, null));
        assertTrue(schedule.isDue(12 * SECOND_US));
    }

    @Test
    void onlyCompleteGenerationsBeyondTheKeptOnesAreDeletable() {
        SnapshotFiles files = new SnapshotFiles();
        files.markSeen(7);
        files.markComplete(5);
        files.markComplete(4);
        assertEquals(8, files.nextGeneration());
        assertEquals(List.of(), files.deletable());
        files.markComplete(8);
        assertEquals(List.of(4L), files.deletable());
        files.markDeleted(4);
        files.markComplete(9);
        assertEquals(List.of(5L), files.deletable());
        assertEquals(10, files.nextGeneration());
    }

    @Test
    void parsesItsOwnFileNamesAndIgnoresOthers() {
        assertEquals(Optional.of(0x1fL), SnapshotFiles.parseGeneration(SnapshotFiles.fileName(0x1f)));
        for (String other : List.of(
                "lock",
                "learned-1.state",
                "learned-0000000000000000.state",
                "learned-ffffffffffffffff.state",
                SnapshotFiles.temporaryFileName(3),
                "learned-000000000000001G.state")) {
            assertEquals(Optional.empty(), SnapshotFiles.parseGeneration(other), other);
        }
        assertTrue(SnapshotFiles.isTemporary(SnapshotFiles.temporaryFileName(3)));
        assertFalse(SnapshotFiles.isTemporary("x.tmp"));
        assertEquals(
                List.of(3L, 2L),
                SnapshotFiles.newestFirst(List.of(SnapshotFiles.fileName(2), "x", SnapshotFiles.fileName(3))));
    }
}
