package petrelstand.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** When a snapshot is taken, what is said of failures, and which files may go. */
class SnapshotScheduleTest {
    private static final long SECOND = 1_000_000;
    private final SnapshotSchedule plan = new SnapshotSchedule(0, 2 * SECOND);

    @Test
    void oneAtATimeAndAtASteadyPace() {
        assertFalse(plan.isDue(2 * SECOND - 1));
        assertTrue(plan.isDue(2 * SECOND));
        plan.writeStarted(2 * SECOND);
        assertFalse(plan.isDue(9 * SECOND));
        assertThrows(IllegalStateException.class, () -> plan.writeStarted(9 * SECOND));
        assertEquals(Optional.empty(), plan.writeEnded(2 * SECOND + 500, null));
        assertFalse(plan.isDue(4 * SECOND - 1));
        assertTrue(plan.isDue(4 * SECOND));
    }

    @Test
    void failuresAreToldOnceAndComeLaterAndLaterUntilItWorksAgain() {
        long now = 2 * SECOND;
        long before = 0;
        for (int i = 0; i < 12; i++) {
            plan.writeStarted(now);
            assertEquals(i == 0, plan.writeEnded(now, "disk full").isPresent());
            long rest = plan.nextCheckUs(now) - now;
            assertTrue(rest >= before && rest >= 2 * SECOND && rest <= 60 * SECOND, "rest " + rest);
            before = rest;
            now += rest;
            assertTrue(plan.isDue(now));
        }
        assertEquals(60 * SECOND, before);
        plan.writeStarted(now);
        assertEquals(Optional.of("written again"), plan.writeEnded(now, null));
        assertEquals(now + 2 * SECOND, plan.nextCheckUs(now));
        plan.writeStarted(now + 2 * SECOND);
        assertEquals(Optional.empty(), plan.writeEnded(now + 2 * SECOND, null));
    }

    @Test
    void aWriteThatHangsIsToldOnceAndSoIsItsEnd() {
        plan.writeStarted(2 * SECOND);
        assertEquals(Optional.empty(), plan.checkHung(4 * SECOND - 1));
        assertEquals(4 * SECOND, plan.nextCheckUs(3 * SECOND));
        assertTrue(plan.checkHung(4 * SECOND).isPresent());
        assertEquals(Optional.empty(), plan.checkHung(5 * SECOND));
        assertTrue(plan.nextCheckUs(5 * SECOND) > 5 * SECOND);
        assertEquals(Optional.of("written again"), plan.writeEnded(12 * SECOND, null));
        assertTrue(plan.isDue(12 * SECOND));
    }

    @Test
    void onlyWholeGenerationsBeyondTheKeptOnesMayGo() {
        SnapshotFiles generations = new SnapshotFiles();
        generations.markSeen(7);
        generations.markComplete(5);
        generations.markComplete(4);
        assertEquals(8, generations.nextGeneration());
        assertEquals(List.of(), generations.deletable());
        generations.markComplete(8);
        assertEquals(List.of(4L), generations.deletable());
        generations.markDeleted(4);
        generations.markComplete(9);
        assertEquals(List.of(5L), generations.deletable());
        assertEquals(10, generations.nextGeneration());
    }

    @Test
    void namesAreReadBackAndOthersPassedOver() {
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
        assertEquals(List.of(3L, 2L), SnapshotFiles.newestFirst(List.of(SnapshotFiles.fileName(2), "x", SnapshotFiles.fileName(3))));
    }
}
