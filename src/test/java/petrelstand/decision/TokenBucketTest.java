package petrelstand.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Refill, held units and changes of capacity of a token bucket. */
class TokenBucketTest {
    private static final double RATE = 10;
    private static final double CAPACITY = 20;

    private final TokenBucket bucket = new TokenBucket(0, CAPACITY, CAPACITY);

    @BeforeEach
    void configure() {
        bucket.reconfigure(0, RATE, CAPACITY);
    }

    @Test
    void refillsAtItsRateUpToItsCapacity() {
        bucket.take(0, CAPACITY);
        assertEquals(5, bucket.level(500), 1e-9);
        assertEquals(CAPACITY, bucket.level(60_000), 1e-9);
    }

    @Test
    void heldUnitsReduceTheCapacityUntilReleased() {
        bucket.hold(0, 8);
        assertEquals(12, bucket.level(60_000), 1e-9);
        bucket.release(60_000, 8);
        assertEquals(12, bucket.level(60_000), 1e-9);
        assertEquals(17, bucket.level(60_500), 1e-9);
    }

    @Test
    void holdsHalfOfItsCapacityOrOneRequestOfAnySize() {
        assertTrue(bucket.mayHold(15));
        bucket.hold(0, 6);
        assertTrue(bucket.mayHold(4));
        assertFalse(bucket.mayHold(5));
    }

    @Test
    void heldUnitsCountAgainstASmallerCapacity() {
        bucket.hold(0, 8);
        bucket.reconfigure(0, RATE / 2, CAPACITY / 2);
        assertEquals(2, bucket.level(0), 1e-9);
    }
}
