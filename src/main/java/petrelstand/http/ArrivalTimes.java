package petrelstand.http;

import java.util.ArrayDeque;

/**
 * Arrival times of a connection's bytes. A pipelined request waits behind another one, and its deadline counts from its
 * own last byte. Times are microseconds of the event loop's clock. Not thread-safe.
 */
final class ArrivalTimes {
    /** Reads that are kept apart; further bytes count as arrived with the read before, so that no time is too late. */
    static final int MAX_READS = 64;

    /** The bytes received at one time: the stream offset after the last of them, and their arrival time. */
    private record Read(long endOffset, long arrivedUs) {}

    private final ArrayDeque<Read> reads = new ArrayDeque<>();
    private long totalBytes;
    /** Bytes that are known to have arrived, read or not. */
    private long arrivedBytes;

    private long lastArrivalUs;

    /** Records received bytes. */
    void recordRead(int bytes, long nowUs) {
        totalBytes += bytes;
        noteArrived(totalBytes, nowUs);
        Read last = reads.peekLast();
        if (last == null || last.arrivedUs() != nowUs && reads.size() < MAX_READS) {
            reads.addLast(new Read(totalBytes, nowUs));
        } else {
            reads.removeLast();
            reads.addLast(new Read(totalBytes, last.arrivedUs()));
        }
    }

    private void noteArrived(long bytes, long nowUs) {
        if (bytes > arrivedBytes) {
            arrivedBytes = bytes;
            lastArrivalUs = nowUs;
        }
    }

    /**
     * Returns when the newest byte arrived, as exactly as the calls of this method follow each other.
     *
     * @param unreadBytes bytes that have arrived and are not read
     * @param wantedBytes how many unread bytes belong to the current request, if that is known; later ones don't count
     */
    long lastArrivalUs(int unreadBytes, long wantedBytes, long nowUs) {
        noteArrived(totalBytes + Math.min(unreadBytes, Math.max(0, wantedBytes)), nowUs);
        return lastArrivalUs;
    }

    /**
     * Returns the arrival time of the last consumed byte, and forgets earlier reads.
     *
     * @param unconsumedBytes bytes received after it
     */
    long lastConsumedByteUs(int unconsumedBytes) {
        while (reads.size() > 1 && reads.peekFirst().endOffset() < totalBytes - unconsumedBytes) {
            reads.removeFirst();
        }
        return reads.getFirst().arrivedUs();
    }
}
