package petrelstand.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StallDetectorTest {
    private static final long SECOND_NS = 1_000_000_000L;
    /** Far from 0, and below it: the origin of the clock means nothing. */
    private long nowNs = -5 * SECOND_NS;

    private final StallDetector detector = new StallDetector(nowNs, 7);

    private boolean look(long afterNs, long turns) {
        nowNs += afterNs;
        return detector.observe(nowNs, turns);
    }

    @Test
    void aLoopThatStandsStillForTheWholeTimeIsTold() {
        for (int second = 1; second < 15; second++) {
            assertFalse(look(SECOND_NS, 7), second + " s");
        }
        assertTrue(look(SECOND_NS, 7));
    }

    @Test
    void oneTurnBeginsTheTimeAnew() {
        for (int second = 1; second < 15; second++) {
            look(SECOND_NS, 7);
        }
        assertFalse(look(SECOND_NS, 8));
        for (int second = 1; second < 15; second++) {
            assertFalse(look(SECOND_NS, 8), second + " s");
        }
        assertTrue(look(SECOND_NS, 8));
    }

    @Test
    void aProcessThatWasStoppedCountsAsOnePeriod() {
        assertFalse(look(3600 * SECOND_NS, 7));
        for (int second = 2; second < 15; second++) {
            assertFalse(look(20 * SECOND_NS, 7), second + " looks");
        }
        assertTrue(look(20 * SECOND_NS, 7));
    }

    @Test
    void wakingOftenOrAClockThatGoesBackBringsTheEndNoNearer() {
        for (int i = 0; i < 1000; i++) {
            assertFalse(look(SECOND_NS / 100, 7));
            assertFalse(look(-SECOND_NS / 100, 7));
        }
    }

    @Test
    void aLoopThatTurnsIsNotWokenAndOneThatMayBeIdleIs() {
        look(SECOND_NS, 8);
        assertFalse(detector.mayBeIdle());
        look(SECOND_NS, 8);
        assertTrue(detector.mayBeIdle());
    }

    /** The forced end comes after the last answer and before the kill, whatever the longest deadline. */
    @Test
    void theForcedEndIsAtTheLongestDeadlineAndAStatedMargin() {
        assertEquals(3_650_000, Lifecycle.Delays.of(1_000_000).forcedEndUs());
        assertEquals(5_650_000, Lifecycle.Delays.of(5_000_000).forcedEndUs());
        Lifecycle life = new Lifecycle(Lifecycle.Delays.of(1_000_000));
        life.setDelays(Lifecycle.Delays.of(8_000_000));
        assertEquals(8_650_000, life.forcedEndUs());
        life.terminate(0);
        assertTrue(life.lastAnswerUs() < life.forcedEndUs());
    }
}
