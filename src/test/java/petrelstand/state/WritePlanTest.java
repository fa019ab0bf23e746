package petrelstand.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** When a snapshot is taken, what is said of failures, and which files may go. */
class WritePlanTest {
    private static final long SECOND = 1_000_000;
    private final WritePlan plan = new WritePlan(0, 2 * SECOND);

    @Test
    void oneAtATimeAndAtASteadyPace() {
        assertFalse(plan.due(2 * SECOND - 1));
        assertTrue(plan.due(2 * SECOND));
        plan.began(2 * SECOND);
        assertFalse(plan.due(9 * SECOND));
        assertThrows(IllegalStateException.class, () -> plan.began(9 * SECOND));
        assertEquals(Optional.empty(), plan.ended(2 * SECOND + 500, null));
        assertFalse(plan.due(4 * SECOND - 1));
        assertTrue(plan.due(4 * SECOND));
    }

    @Test
    void failuresAreToldOnceAndComeLaterAndLaterUntilItWorksAgain() {
        long now = 2 * SECOND;
        long before = 0;
        for (int i = 0; i < 12; i++) {
            plan.began(now);
            assertEquals(i == 0, plan.ended(now, "disk full").isPresent());
            long rest = plan.nextUs(now) - now;
            assertTrue(rest >= before && rest >= 2 * SECOND && rest <= 60 * SECOND, "rest " + rest);
            before = rest;
            now += rest;
            assertTrue(plan.due(now));
        }
        assertEquals(60 * SECOND, before);
        plan.began(now);
        assertEquals(Optional.of("written again"), plan.ended(now, null));
        assertEquals(now + 2 * SECOND, plan.nextUs(now));
        plan.began(now + 2 * SECOND);
        assertEquals(Optional.empty(), plan.ended(now + 2 * SECOND, null));
    }

    @Test
    void aWriteThatHangsIsToldOnceAndSoIsItsEnd() {
        plan.began(2 * SECOND);
        assertEquals(Optional.empty(), plan.look(4 * SECOND - 1));
        assertEquals(4 * SECOND, plan.nextUs(3 * SECOND));
        assertTrue(plan.look(4 * SECOND).isPresent());
        assertEquals(Optional.empty(), plan.look(5 * SECOND));
        assertTrue(plan.nextUs(5 * SECOND) > 5 * SECOND);
        assertEquals(Optional.of("written again"), plan.ended(12 * SECOND, null));
        assertTrue(plan.due(12 * SECOND));
    }

    @Test
    void onlyWholeGenerationsBeyondTheKeptOnesMayGo() {
        Generations generations = new Generations();
        generations.seen(7);
        generations.whole(5);
        generations.whole(4);
        assertEquals(8, generations.next());
        assertEquals(List.of(), generations.spare());
        generations.whole(8);
        assertEquals(List.of(4L), generations.spare());
        generations.gone(4);
        generations.whole(9);
        assertEquals(List.of(5L), generations.spare());
        assertEquals(10, generations.next());
    }

    @Test
    void namesAreReadBackAndOthersPassedOver() {
        assertEquals(Optional.of(0x1fL), Generations.of(Generations.name(0x1f)));
        for (String other : List.of(
                "lock",
                "learned-1.state",
                "learned-0000000000000000.state",
                "learned-ffffffffffffffff.state",
                Generations.temporary(3),
                "learned-000000000000001G.state")) {
            assertEquals(Optional.empty(), Generations.of(other), other);
        }
        assertTrue(Generations.isTemporary(Generations.temporary(3)));
        assertFalse(Generations.isTemporary("x.tmp"));
        assertEquals(List.of(3L, 2L), Generations.newestFirst(List.of(Generations.name(2), "x", Generations.name(3))));
    }
}
