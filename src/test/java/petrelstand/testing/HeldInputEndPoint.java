package petrelstand.testing;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import petrelstand.net.MemoryEndPoint;

/**
 * An end in memory on which bytes can lie that its connection has not been told of: the order of two events is the
 * test's.
 */
public final class HeldInputEndPoint extends MemoryEndPoint {
    private boolean holdsCallbacks;

    private HeldInputEndPoint() {}

    public static HeldInputEndPoint open(Function<EndPoint, Connection> maker) {
        return MemoryEndPoint.open(new HeldInputEndPoint(), maker);
    }

    /** The other side sends, and this one is not told before it looks. */
    public void addInputSilently(String text) {
        holdsCallbacks = true;
        addInputAndExecute(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        holdsCallbacks = false;
    }

    @Override
    protected void execute(Runnable task) {
        if (!holdsCallbacks) {
            super.execute(task);
        }
    }
}
