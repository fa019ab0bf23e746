package petrelstand.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.function.LongSupplier;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Limits what is read in a turn, and throws an exception on every read after a connection reset. Jetty's end point
 * reports a reset as the end of input, so that an answer without a Content-Length that was cut off by a reset would
 * seem complete.
 */
final class LoopEndPoint extends SocketChannelEndPoint implements UnreadInput {
    private final ReadLimiter readLimiter;
    private final LongSupplier polledUs;
    /** A time at which the connection had not come up; {@link Long#MAX_VALUE} once all input has been read. */
    private long notConnectedUs;

    private IOException reset;

    /**
     * Creates an end point.
     *
     * @param polledUs the time up to which all events have been handled
     * @param notConnectedUs a time at which the connection had not come up
     */
    LoopEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            ReadLimiter readLimiter,
            LongSupplier polledUs,
            long notConnectedUs) {
        super(channel, selector, key, scheduler);
        this.readLimiter = readLimiter;
        this.polledUs = polledUs;
        this.notConnectedUs = notConnectedUs;
    }

    /** Lets the connection read up to the turn's limit once more in the current turn. */
    void extendTurn() {
        readLimiter.extendTurn();
    }

    @Override
    public int unreadBytes() {
        try {
            return getChannel().socket().getInputStream().available();
        } catch (IOException e) {
            return 0;
        }
    }

    @Override
    public boolean isReadLimited() {
        return reset == null && !isInputShutdown() && readLimiter.allowedBytes() == 0;
    }

    @Override
    public long quietUs() {
        return Math.min(notConnectedUs, polledUs.getAsLong());
    }

    @Override
    public Runnable onSelected() {
        try {
            return super.onSelected();
        } catch (Error e) {
            FatalErrors.report(e);
            throw e;
        }
    }

    /** Reads at most what the turn's limit allows; returns 0 if it is used up or nothing has arrived. */
    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (reset != null) {
            throw reset;
        }
        if (isInputShutdown()) {
            return -1;
        }
        int allowedBytes = readLimiter.allowedBytes();
        if (allowedBytes == 0) {
            return 0;
        }
        int position = BufferUtil.flipToFill(buffer);
        int limit = buffer.limit();
        buffer.limit(Math.min(limit, buffer.position() + allowedBytes));
        try {
            int filled = getChannel().read(buffer);
            if (filled < 0) {
                shutdownInput();
            } else if (filled == 0) {
                notConnectedUs = Long.MAX_VALUE;
            } else {
                readLimiter.recordRead(filled);
            }
            return filled;
        } catch (IOException e) {
            reset = e;
            shutdownInput();
            throw e;
        } finally {
            buffer.limit(limit);
            BufferUtil.flipToFlush(buffer, position);
        }
    }
}
