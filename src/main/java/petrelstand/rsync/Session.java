package petrelstand.rsync;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import petrelstand.net.LoopConnection;

/**
 * One connection of a relay, a client's or a node's. It reads into one buffer and reads on only when that is used up,
 * and has one write under way at most: so a side that takes nothing stops the other side's reading, not more.
 */
abstract class Session extends LoopConnection {
    static final int BUFFER = 16 * 1024;

    private final ByteBuffer input = BufferUtil.allocate(BUFFER);
    private boolean reading;
    private boolean held;
    private boolean writing;
    private boolean closed;

    Session(EndPoint endPoint) {
        super(endPoint);
    }

    @Override
    public void onOpen() {
        super.onOpen();
        opened();
        onFillable();
    }

    abstract void opened();

    /** Uses bytes of the input; returns false where it wants no more for now, until {@link #resume}. */
    abstract boolean use(ByteBuffer bytes);

    /** The other side ended or broke the connection; all that came before was used. */
    abstract void ended();

    /** Bytes moved on this connection. */
    abstract void moved();

    final boolean isClosed() {
        return closed;
    }

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
                    if (held || !use(input)) {
                        held = true;
                        return;
                    }
                    continue;
                }
                BufferUtil.clear(input);
                int filled = getEndPoint().fill(input);
                if (filled < 0) {
                    ended();
                    return;
                }
                if (filled == 0) {
                    fillInterested();
                    return;
                }
                moved();
            }
        } catch (RecordReader.Malformed e) {
            malformed(e.getMessage());
        } catch (IOException e) {
            ended();
        } finally {
            reading = false;
        }
    }

    abstract void malformed(String why);

    /** Goes on reading after {@link #use} wanted no more. */
    final void resume() {
        if (held && !closed) {
            held = false;
            onFillable();
        }
    }

    final void write(String text) {
        write(BufferUtil.toBuffer(text, StandardCharsets.UTF_8), () -> {});
    }

    final void write(ByteBuffer bytes, Runnable left) {
        writing = true;
        getEndPoint()
                .write(
                        nonBlockingCallback(
                                () -> {
                                    writing = false;
                                    if (!closed) {
                                        moved();
                                        left.run();
                                    }
                                },
                                cause -> broken()),
                        bytes);
    }

    private void broken() {
        writing = false;
        if (!closed) {
            ended();
        }
    }

    @Override
    protected final void onFillInterestedFailed(Throwable cause) {
        broken();
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
        broken();
    }
}
