package petrelstand.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ArrivalTimesTest {
    private final ArrivalTimes arrivalTimes = new ArrivalTimes();

    @Test
    void bytesHaveTheTimeOfTheirRead() {
        arrivalTimes.recordRead(10, 1_000);
        arrivalTimes.recordRead(5, 1_000);
        arrivalTimes.recordRead(10, 2_000);
        assertEquals(1_000, arrivalTimes.lastConsumedByteUs(10));
        assertEquals(2_000, arrivalTimes.lastConsumedByteUs(9));
        assertEquals(2_000, arrivalTimes.lastConsumedByteUs(0));
    }

    /** Bounds the memory for a client that sends single bytes while a long request is in progress. */
    @Test
    void timesBeyondReadLimitAreNeverTooLate() {
        int reads = 10 * ArrivalTimes.MAX_READS;
        for (int i = 1; i <= reads; i++) {
            arrivalTimes.recordRead(1, i);
        }
        for (int unconsumedBytes = reads - 1; unconsumedBytes >= 0; unconsumedBytes--) {
            long arrivedUs = arrivalTimes.lastConsumedByteUs(unconsumedBytes);
            assertEquals(Math.min(ArrivalTimes.MAX_READS, reads - unconsumedBytes), arrivedUs);
        }
        arrivalTimes.recordRead(1, reads + 1);
        assertEquals(reads + 1, arrivalTimes.lastConsumedByteUs(0));
    }
}
