package petrelstand.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StallDetectorTest {
    private static final long SECOND_NS = 1_000_000_000L;
    /** Negative, since the clock has an arbitrary origin. */
    private long nowNs = -5 * SECOND_NS;

    private final StallDetector detector = new StallDetector(nowNs, 7);

    private boolean observe(long afterNs, long turns) {
        nowNs += afterNs;
        return detector.observe(nowNs, turns);
    }

    @Test
    void loopWithoutATurnForTheLimitIsStalled() {
        for (int second = 1; second < 15; second++) {
            assertFalse(observe(SECOND_NS, 7), second + " s");
        }
        assertTrue(observe(SECOND_NS, 7));
    }

    @Test
    void oneTurnRestartsTheLimit() {
        for (int second = 1; second < 15; second++) {
            observe(SECOND_NS, 7);
        }
        assertFalse(observe(SECOND_NS, 8));
        for (int second = 1; second < 15; second++) {
            assertFalse(observe(SECOND_NS, 8), second + " s");
        }
        assertTrue(observe(SECOND_NS, 8));
    }

    @Test
    void stoppedProcessCountsAsOnePeriod() {
        assertFalse(observe(3600 * SECOND_NS, 7));
        for (int second = 2; second < 15; second++) {
            assertFalse(observe(20 * SECOND_NS, 7), second + " observations");
        }
        assertTrue(observe(20 * SECOND_NS, 7));
    }

    @Test
    void frequentObservationsAndClockJumpsAreNotAStall() {
        for (int i = 0; i < 1000; i++) {
            assertFalse(observe(SECOND_NS / 100, 7));
            assertFalse(observe(-SECOND_NS / 100, 7));
        }
    }

    @Test
    void loopWithoutATurnMayBeIdle() {
        observe(SECOND_NS, 8);
        assertFalse(detector.mayBeIdle());
        observe(SECOND_NS, 8);
        assertTrue(detector.mayBeIdle());
    }

    /** The forced end must come after the last answer, whatever the longest deadline. */
    @Test
    void forcedEndIsTheLongestDeadlinePlusMargin() {
        assertEquals(1_650_000, Lifecycle.Delays.of(1_000_000).forcedEndUs());
        assertEquals(3_650_000, Lifecycle.Delays.of(5_000_000).forcedEndUs());
        Lifecycle lifecycle = new Lifecycle(Lifecycle.Delays.of(1_000_000));
        lifecycle.setDelays(Lifecycle.Delays.of(8_000_000));
        assertEquals(3_650_000, lifecycle.forcedEndUs());
        lifecycle.terminate(0);
        assertTrue(lifecycle.lastAnswerUs() < lifecycle.forcedEndUs());
    }
}
