package petrelstand.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/** An end point in memory whose callbacks run at once: for the rehearsal before a start, and for tests. */
public class MemoryEndPoint extends ByteArrayEndPoint {
    protected MemoryEndPoint() {
        setGrowOutput(true);
    }

    /** Makes a connection on an end in memory and opens it. */
    public static MemoryEndPoint open(Function<EndPoint, Connection> maker) {
        return open(new MemoryEndPoint(), maker);
    }

    /** Makes a connection on an end and opens it. */
    protected static <E extends MemoryEndPoint> E open(E end, Function<EndPoint, Connection> maker) {
        Connection connection = maker.apply(end);
        end.setConnection(connection);
        end.onOpen();
        connection.onOpen();
        return end;
    }

    @Override
    protected void execute(Runnable task) {
        task.run();
    }

    /** The other side sends. */
    public void send(String text) {
        sendBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    public void sendBytes(byte[] bytes) {
        if (isOpen()) {
            addInputAndExecute(ByteBuffer.wrap(bytes));
        }
    }

    /** The other side ends its sending. */
    public void sendEof() {
        addInputEOF();
        getFillInterest().fillable();
    }

    /** What was written since the last call. */
    public String takeReceived() {
        return takeOutputString(StandardCharsets.ISO_8859_1);
    }
}
