package petrelstand.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.eclipse.jetty.util.BufferUtil;

/** A message's body as it comes, up to a bound. */
final class Body {
    private final int most;
    private ByteArrayOutputStream bytes;

    Body(int most) {
        this.most = most;
    }

    /** Takes all of the item; false where the body is over its bound, and the item is dropped. */
    boolean add(ByteBuffer item) {
        boolean fits = (bytes == null ? 0 : bytes.size()) + item.remaining() <= most;
        if (fits) {
            if (bytes == null) {
                bytes = new ByteArrayOutputStream(Math.max(64, item.remaining()));
            }
            bytes.writeBytes(BufferUtil.toArray(item));
        }
        BufferUtil.clear(item);
        return fits;
    }

    /** What came since the last call. */
    byte[] take() {
        byte[] all = bytes == null ? new byte[0] : bytes.toByteArray();
        bytes = null;
        return all;
    }
}
