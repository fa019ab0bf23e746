package petrelstand.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ArrivalsTest {
    private final Arrivals arrivals = new Arrivals();

    @Test
    void eachByteHasTheTimeOfItsRead() {
        arrivals.came(10, 1_000);
        arrivals.came(5, 1_000);
        arrivals.came(10, 2_000);
        assertEquals(1_000, arrivals.lastUsed(10));
        assertEquals(2_000, arrivals.lastUsed(9));
        assertEquals(2_000, arrivals.lastUsed(0));
    }

    /** Guards against a client that sends byte by byte behind a request that takes long. */
    @Test
    void beyondTheBoundOfReadsTimesAreEarlierAndNeverLater() {
        int reads = 10 * Arrivals.MOST_READS;
        for (int i = 1; i <= reads; i++) {
            arrivals.came(1, i);
        }
        for (int unused = reads - 1; unused >= 0; unused--) {
            long cameUs = arrivals.lastUsed(unused);
            assertEquals(Math.min(Arrivals.MOST_READS, reads - unused), cameUs);
        }
        arrivals.came(1, reads + 1);
        assertEquals(reads + 1, arrivals.lastUsed(0));
    }
}
