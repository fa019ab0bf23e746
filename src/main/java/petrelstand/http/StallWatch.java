package petrelstand.http;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import petrelstand.core.Timers;

/**
 * Watches one call on its connection for a node that stops in the middle of a message, and closes the connection then.
 * Its timers refer to the call, and so to the request with its body; {@link #end} cancels them once the connection has
 * released the call.
 */
final class StallWatch {
    private final UpstreamConnection connection;
    private final UpstreamCall call;
    private final BooleanSupplier awaitsClient;
    private final Timers timers;
    private final LongSupplier clock;

    /** A body or a large answer passes in pieces, so pauses are limited by the longer timeout. */
    private boolean streaming;

    private boolean ended;
    private Timers.Timer streamStartTimer;
    private Timers.Timer stallTimer;

    /**
     * Creates a watch that is idle until a message is under way.
     *
     * @param awaitsClient whether the next piece of the request's body is due from the client
     * @param clock microseconds of the event loop's clock
     */
    StallWatch(
            UpstreamConnection connection,
            UpstreamCall call,
            BooleanSupplier awaitsClient,
            Timers timers,
            LongSupplier clock) {
        this.connection = connection;
        this.call = call;
        this.awaitsClient = awaitsClient;
        this.timers = timers;
        this.clock = clock;
    }

    /**
     * Limits the pauses of an answer that begins but doesn't end on a connection that stays open; otherwise it would be
     * awaited until the client's deadline. Nodes write small answers in one go, but not large ones.
     */
    void answerBegun() {
        if (ended) {
            return;
        }
        watchBufferedAnswer(connection.receivedBytes());
        streamStartTimer = timers.schedule(
                clock.getAsLong() + NodeConnectionPool.BUFFER_BEFORE_STREAM_US,
                () -> connection.streamPartialAnswer(call));
    }

    private void watchBufferedAnswer(long receivedBefore) {
        scheduleCheck(NodeConnectionPool.ANSWER_STALL_TIMEOUT_US, () -> {
            if (connection.isReceivingLargeAnswer(call)) {
                streamBegun();
            } else if (connection.closeIfStalled(call, receivedBefore)) {
                watchBufferedAnswer(connection.receivedBytes());
            }
        });
    }

    /** Limits the pauses of a body or an answer that passes in pieces from now on; may be called more than once. */
    void streamBegun() {
        if (!streaming && !ended) {
            streaming = true;
            watchStream(-1);
        }
    }

    private void watchStream(long bytesBefore) {
        long bytesNow = connection.receivedBytes() + connection.streamedBodyBytes();
        if (connection.isReadPaused() || awaitsClient.getAsBoolean() || bytesNow != bytesBefore) {
            scheduleCheck(NodeConnectionPool.STREAM_STALL_TIMEOUT_US, () -> watchStream(bytesNow));
        } else {
            connection.close();
        }
    }

    private void scheduleCheck(long delayUs, Runnable check) {
        cancel(stallTimer);
        stallTimer = timers.schedule(clock.getAsLong() + delayUs, check);
    }

    /** Ends the watch; nothing refers to the call any more. */
    void end() {
        ended = true;
        cancel(streamStartTimer);
        cancel(stallTimer);
    }

    private static void cancel(Timers.Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }
}
