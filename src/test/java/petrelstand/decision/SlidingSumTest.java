package petrelstand.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class SlidingSumTest {
    @Test
    void countsTheFarEdgeIn() {
        SlidingSum sum = new SlidingSum(100);
        sum.add(0, 2);
        sum.add(60, 3);
        assertEquals(5, sum.sum(100));
        assertEquals(3, sum.sum(100.001));
        assertEquals(0, sum.sum(161));
    }
}
