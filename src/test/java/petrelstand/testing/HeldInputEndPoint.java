package petrelstand.testing;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import petrelstand.net.MemoryEndPoint;

/** An end point in memory that can hold input of which its connection is not notified, to fix the order of events. */
public final class HeldInputEndPoint extends MemoryEndPoint {
    private boolean holdsCallbacks;

    private HeldInputEndPoint() {}

    public static HeldInputEndPoint open(Function<EndPoint, Connection> maker) {
        return MemoryEndPoint.open(new HeldInputEndPoint(), maker);
    }

    /** Adds input without notifying the connection. */
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
