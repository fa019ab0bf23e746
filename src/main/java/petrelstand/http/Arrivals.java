package petrelstand.http;

import java.util.ArrayDeque;

/**
 * When the bytes of a connection came. A request may lie here behind another, and its time counts from its own last
 * byte. Times are microseconds of the loop's clock. Not for several threads.
 */
final class Arrivals {
    /**
     * Reads that are told apart; beyond them bytes count as come with those before, so that a time is never too late.
     */
    static final int MOST_READS = 64;

    /** Bytes of one turn: the place behind the last of them in all that came, and their time. */
    private record Read(long end, long us) {}

    private final ArrayDeque<Read> reads = new ArrayDeque<>();
    private long end;

    /** So many bytes came, at a time. */
    void came(int bytes, long nowUs) {
        end += bytes;
        Read last = reads.peekLast();
        if (last == null || last.us() != nowUs && reads.size() < MOST_READS) {
            reads.addLast(new Read(end, nowUs));
        } else {
            reads.removeLast();
            reads.addLast(new Read(end, last.us()));
        }
    }

    /** When the last byte came that has been used, where so many behind it have not; forgets those before it. */
    long lastUsed(int unused) {
        while (reads.size() > 1 && reads.peekFirst().end() < end - unused) {
            reads.removeFirst();
        }
        return reads.getFirst().us();
    }
}
