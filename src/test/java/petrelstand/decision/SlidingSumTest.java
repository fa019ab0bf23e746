package petrelstand.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Expiry of the amounts of a sliding sum. */
class SlidingSumTest {
    @Test
    void amountOfExactlyTheSpansAgeCounts() {
        SlidingSum sum = new SlidingSum(100);
        sum.add(0, 2);
        sum.add(60, 3);
        assertEquals(5, sum.sum(100));
        assertEquals(3, sum.sum(100.001));
        assertEquals(0, sum.sum(161));
    }

    /** Guards against unbounded growth of a sum that is never read. */
    @Test
    void expiredAmountsAreDroppedWithoutReads() {
        SlidingSum sum = new SlidingSum(100);
        for (int at = 0; at < 100_000; at++) {
            sum.add(at, 1);
        }
        assertEquals(101, sum.size());
    }
}
