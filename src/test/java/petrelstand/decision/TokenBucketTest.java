package petrelstand.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A store of units: what is held keeps its room, and at most half of it may be held. */
class TokenBucketTest {
    private static final double RATE = 10;
    private static final double SIZE = 20;

    private final TokenBucket bucket = new TokenBucket(0, SIZE, SIZE);

    @BeforeEach
    void shape() {
        bucket.reshape(0, RATE, SIZE);
    }

    @Test
    void fillsAtItsRateUpToItsSize() {
        bucket.take(0, SIZE);
        assertEquals(5, bucket.level(500), 1e-9);
        assertEquals(SIZE, bucket.level(60_000), 1e-9);
    }

    @Test
    void doesNotFillBesideWhatIsHeld() {
        bucket.hold(0, 8);
        assertEquals(12, bucket.level(60_000), 1e-9);
        bucket.release(60_000, 8);
        assertEquals(12, bucket.level(60_000), 1e-9);
        assertEquals(17, bucket.level(60_500), 1e-9);
    }

    @Test
    void holdsHalfOfItsSizeOrOneOfAnySize() {
        assertTrue(bucket.mayHold(15));
        bucket.hold(0, 6);
        assertTrue(bucket.mayHold(4));
        assertFalse(bucket.mayHold(5));
    }

    @Test
    void aSmallerSizeCountsWhatIsHeld() {
        bucket.hold(0, 8);
        bucket.reshape(0, RATE / 2, SIZE / 2);
        assertEquals(2, bucket.level(0), 1e-9);
    }
}
