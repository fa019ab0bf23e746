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
        addSilently(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Ends the input without notifying the connection. */
    public void addEofSilently() {
        addSilently(null);
    }

    private void addSilently(ByteBuffer input) {
        holdsCallbacks = true;
        addInputAndExecute(input);
        holdsCallbacks = false;
    }

    /** Notifies the connection of the input that it has not been notified of. */
    public void notifyOfInput() {
        getFillInterest().fillable();
    }

    @Override
    protected void execute(Runnable task) {
        if (!holdsCallbacks) {
            super.execute(task);
        }
    }
}
