package petrelstand.net;

import java.util.function.LongSupplier;

/**
 * Limits how much a connection may read in one turn of the event loop, so that a peer that sends without pause can't
 * hold up the timers and the other connections. What is left is read in the next turn.
 */
final class ReadLimiter {
    /** Bytes that a connection may read in a turn; a message that the gateway buffers fits in one. */
    static final int MAX_BYTES_PER_TURN = 128 * 1024;

    private final LongSupplier currentTurn;
    private long turn;
    private int bytesRead;

    /**
     * Creates a limiter for one connection.
     *
     * @param currentTurn number of the loop's current turn
     */
    ReadLimiter(LongSupplier currentTurn) {
        this.currentTurn = currentTurn;
    }

    /** Returns how many bytes may still be read in the current turn; 0 if the connection has to wait for the next. */
    int allowedBytes() {
        long now = currentTurn.getAsLong();
        if (now != turn) {
            turn = now;
            bytesRead = 0;
        }
        return MAX_BYTES_PER_TURN - bytesRead;
    }

    /** Counts bytes that were read in the current turn; at most {@link #allowedBytes}. */
    void recordRead(int bytes) {
        bytesRead += bytes;
    }

    /** Allows {@link #MAX_BYTES_PER_TURN} once more in the current turn. */
    void extendTurn() {
        bytesRead = 0;
    }
}
