package petrelstand.http;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/** One request on an upstream connection, and who hears of its answer. */
public interface Call {
    /** The request's bytes: head and body. */
    ByteBuffer[] bytes();

    /** A whole answer came. */
    void answered(int status, HttpFields fields, ByteBuffer body);

    /** The connection ended first; {@code written} says whether the request's last byte had left. */
    void broke(boolean written);
}
