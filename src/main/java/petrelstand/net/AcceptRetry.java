package petrelstand.net;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/**
 * Accepts the connections of one listener although calls of accept fail: because the connection that was due has gone,
 * or because the system has no descriptors or memory for a moment. A failure concerns no connection but that one. The
 * beginning of many failures in a row is logged, and their end with their number. Not thread-safe.
 */
final class AcceptRetry {
    /** The system call; replaced in tests. */
    interface AcceptCall {
        /** Returns the next connection, or null if none waits. */
        SocketChannel accept(ServerSocketChannel server) throws IOException;
    }

    /** Failed calls in a row after which the listener rests. */
    static final int MAX_FAILURES_IN_A_ROW = 4;

    /** Failed calls in a row that are logged: single ones come and go, and only count. */
    static final int LOGGED_FAILURES_IN_A_ROW = 5 * MAX_FAILURES_IN_A_ROW;

    private final AcceptCall call;
    private final Runnable failureCounter;
    private final Consumer<String> log;
    private long failuresInARow;

    /**
     * Creates the retry of a listener.
     *
     * @param failureCounter called for each failed call
     */
    AcceptRetry(AcceptCall call, Runnable failureCounter, Consumer<String> log) {
        this.call = call;
        this.failureCounter = failureCounter;
        this.log = log;
    }

    /** Returns the next connection; null if none waits, or if the calls fail and the listener has to rest. */
    SocketChannel accept(ServerSocketChannel server) {
        for (int i = 0; i < MAX_FAILURES_IN_A_ROW; i++) {
            try {
                SocketChannel channel = call.accept(server);
                endFailures();
                return channel;
            } catch (IOException e) {
                recordFailure(e);
            }
        }
        return null;
    }

    /** Whether the last call failed. */
    boolean isFailing() {
        return failuresInARow > 0;
    }

    private void recordFailure(IOException e) {
        failureCounter.run();
        failuresInARow++;
        if (failuresInARow == LOGGED_FAILURES_IN_A_ROW) {
            log.accept("no connection can be accepted: " + e + "; trying again");
        }
    }

    private void endFailures() {
        if (failuresInARow >= LOGGED_FAILURES_IN_A_ROW) {
            log.accept("connections are accepted again, after " + failuresInARow + " failed calls");
        }
        failuresInARow = 0;
    }
}
