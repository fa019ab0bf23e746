package petrelstand.http;

import org.eclipse.jetty.http.HttpParser;

/**
 * Reserves memory for a head, with the trailers of its message, once it is longer than what each connection has room
 * for. Usual heads never need the budget, so that messages with long heads can't take the room of others.
 */
final class LongHeadReservation {
    /** Length of a head for which each connection has room without a reservation. */
    static final int FREE_BYTES = 2048;
    /** What a head of the maximum size takes: the parser's copy of a line, and the text made of it. */
    static final int RESERVED_BYTES = 2 * HttpProtocol.MAX_HEAD_BYTES + 2048;

    private final ByteBudget budget;
    private int headBytes;
    private boolean reserved;
    /** Position in the input buffer up to which the bytes of the head have been counted. */
    private int countedTo;

    LongHeadReservation(ByteBudget budget) {
        this.budget = budget;
    }

    /** Whether a parser is within a head, or within the trailers behind a body. */
    static boolean isWithinHead(HttpParser parser) {
        return parser.inHeaderState() || parser.getState() == HttpParser.State.TRAILER;
    }

    /** Records that parsing begins at a position of the input buffer. */
    void startAt(int position) {
        countedTo = position;
    }

    /**
     * Counts what has been parsed up to a position as bytes of the head; returns false if it is long and the budget has
     * no room for it.
     */
    boolean countTo(int position) {
        headBytes += position - countedTo;
        countedTo = position;
        if (headBytes > FREE_BYTES && !reserved) {
            reserved = budget.tryReserve(RESERVED_BYTES);
            return reserved;
        }
        return true;
    }

    /** Gives the reservation back, once nothing of the head is kept. */
    void release() {
        headBytes = 0;
        if (reserved) {
            reserved = false;
            budget.release(RESERVED_BYTES);
        }
    }
}
