package petrelstand.rsync;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import petrelstand.net.LoopConnection;

/**
 * A connection to a client or a node. It has one input buffer, reads again only when that is consumed, and has at most
 * one write in progress. A peer that stops reading thus stops the reading on the other side (back pressure) and the
 * gateway buffers no more.
 */
abstract class RelaySession extends LoopConnection {
    static final int INPUT_BUFFER_BYTES = 16 * 1024;

    private final ByteBuffer input = BufferUtil.allocate(INPUT_BUFFER_BYTES);
    private boolean reading;
    private boolean paused;
    private boolean writing;
    private boolean closed;

    RelaySession(EndPoint endPoint) {
        super(endPoint);
    }

    @Override
    public void onOpen() {
        super.onOpen();
        onSessionOpened();
        onFillable();
    }

    /** Called once when the connection is open, before the first read. */
    abstract void onSessionOpened();

    /** Consumes input; returns false to stop reading until {@link #resume} is called. */
    abstract boolean consume(ByteBuffer bytes);

    /** Called when the peer closed the connection or it failed; after a close, all input has been consumed. */
    abstract void onPeerClosed();

    /** Called when input is left unread; the peer's end may lie behind it. */
    void onReadPaused() {}

    /** Called when all input has been read. */
    void onInputDrained() {}

    /** Called when bytes were read or a write completed. */
    abstract void onProgress();

    final boolean isClosed() {
        return closed;
    }

    /** Whether a write is in progress. */
    public final boolean isWriting() {
        return writing;
    }

    @Override
    public final void onFillable() {
        if (reading) {
            return;
        }
        reading = true;
        try {
            while (!closed) {
                if (BufferUtil.hasContent(input)) {
                    if (paused || !consume(input)) {
                        paused = true;
                        onReadPaused();
                        return;
                    }
                    continue;
                }
                BufferUtil.clear(input);
                int filled = getEndPoint().fill(input);
                if (filled < 0) {
                    onPeerClosed();
                    return;
                }
                if (filled == 0) {
                    if (isReadLimited()) {
                        onReadPaused();
                    } else {
                        onInputDrained();
                    }
                    fillInterested();
                    return;
                }
                onProgress();
            }
        } catch (RecordReader.ProtocolException e) {
            onProtocolError(e.getMessage());
        } catch (IOException e) {
            onPeerClosed();
        } finally {
            reading = false;
        }
    }

    /** Called when the input is not of the supported subset; the reason is fit to be sent to a client. */
    abstract void onProtocolError(String reason);

    /** Resumes reading after {@link #consume} returned false. */
    final void resume() {
        if (paused && !closed) {
            paused = false;
            onFillable();
        }
    }

    final void write(String text) {
        write(BufferUtil.toBuffer(text, StandardCharsets.UTF_8), () -> {});
    }

    /** Writes the bytes, then runs the callback unless the session was closed; no other write may be in progress. */
    final void write(ByteBuffer bytes, Runnable onWritten) {
        writing = true;
        getEndPoint()
                .write(
                        nonBlockingCallback(
                                () -> {
                                    writing = false;
                                    if (!closed) {
                                        onProgress();
                                        onWritten.run();
                                    }
                                },
                                cause -> onConnectionFailed()),
                        bytes);
    }

    private void onConnectionFailed() {
        writing = false;
        if (!closed) {
            onPeerClosed();
        }
    }

    @Override
    protected final void onFillInterestedFailed(Throwable cause) {
        onConnectionFailed();
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            getEndPoint().close();
        }
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        onConnectionFailed();
    }
}
