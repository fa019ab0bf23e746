package petrelstand.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/**
 * An end point without a socket, for the JVM warm-up before the gateway starts and for tests.
 *
 * <p>The methods {@code send*} and {@link #takeReceived} act as the remote peer. Callbacks run at once, on the caller's
 * thread.
 */
public class MemoryEndPoint extends ByteArrayEndPoint implements UnreadInput {
    private int unreadBytes;

    protected MemoryEndPoint() {
        setGrowOutput(true);
    }

    /** Creates an end point, then creates a connection on it with the factory and opens both. */
    public static MemoryEndPoint open(Function<EndPoint, Connection> connectionFactory) {
        return open(new MemoryEndPoint(), connectionFactory);
    }

    /** Creates a connection on the given end point and opens both. */
    protected static <E extends MemoryEndPoint> E open(E endPoint, Function<EndPoint, Connection> connectionFactory) {
        Connection connection = connectionFactory.apply(endPoint);
        endPoint.setConnection(connection);
        endPoint.onOpen();
        connection.onOpen();
        return endPoint;
    }

    @Override
    public int unreadBytes() {
        return unreadBytes;
    }

    @Override
    public boolean isReadLimited() {
        return false;
    }

    @Override
    public long quietUs() {
        return Long.MAX_VALUE;
    }

    @Override
    public void addInputAndExecute(ByteBuffer input) {
        unreadBytes += BufferUtil.length(input);
        super.addInputAndExecute(input);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        int filledBytes = super.fill(buffer);
        unreadBytes -= Math.max(0, filledBytes);
        return filledBytes;
    }

    @Override
    protected void execute(Runnable task) {
        task.run();
    }

    /** Sends text as the remote peer, in UTF-8; ignored if the end point is closed. */
    public void send(String text) {
        sendBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends bytes as the remote peer; ignored if the end point is closed. */
    public void sendBytes(byte[] bytes) {
        if (isOpen()) {
            addInputAndExecute(ByteBuffer.wrap(bytes));
        }
    }

    /** Ends the remote peer's output. */
    public void sendEof() {
        addInputEOF();
        getFillInterest().fillable();
    }

    /** Returns, as ISO 8859-1 text, what the connection has written since the last call. */
    public String takeReceived() {
        return takeOutputString(StandardCharsets.ISO_8859_1);
    }
}
