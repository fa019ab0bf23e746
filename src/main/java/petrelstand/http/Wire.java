package petrelstand.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.LinkedHashMap;
import java.util.Map;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.util.BufferUtil;

/** Names of the platform's headers, and messages as bytes. */
public final class Wire {
    public static final String TXN = "X-Txn";
    public static final String PLAN = "X-Qos-Policy";
    public static final String REMAINING = "X-Remaining-Ms";
    public static final String PLACEMENT = "X-Placement";
    public static final String RESENT = "X-Resent";
    public static final String EFFECT_KEY = "Idempotency-Key";
    public static final String TURNED_AWAY = "X-Turned-Away";
    public static final String PRESSURE = "X-Pressure";
    /** The largest body, by the protocol. */
    public static final int MOST_BODY = 64 * 1024;
    static final int MOST_HEADER = 8 * 1024;

    private Wire() {}

    /** The head of an answer with a body of a length. */
    static ByteBuffer answer(int status, String type, long retryAfterUs, boolean close, int length) {
        HttpFields.Mutable fields = HttpFields.build();
        if (type != null) {
            fields.put(HttpHeader.CONTENT_TYPE, type);
        }
        if (retryAfterUs > 0) {
            fields.put(HttpHeader.RETRY_AFTER, seconds(retryAfterUs));
        }
        if (close) {
            fields.put(HttpHeader.CONNECTION, "close");
        }
        MetaData.Response info = new MetaData.Response(status, HttpStatus.getMessage(status), HttpVersion.HTTP_1_1,
                fields, length);
        ByteBuffer head = BufferUtil.allocate(1024);
        try {
            new HttpGenerator().generateResponse(info, false, head, null, BufferUtil.EMPTY_BUFFER, true);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return head;
    }

    /** Seconds with up to three decimals, rounded up: a client that comes sooner is refused again. */
    static String seconds(long us) {
        long ms = (us + 999) / 1000;
        return ms % 1000 == 0 ? Long.toString(ms / 1000)
                : String.format(Locale.ROOT, "%d.%03d", ms / 1000, ms % 1000).replaceAll("0+$", "");
    }

    /** The head of a request; the target passes as the client wrote it. */
    public static ByteBuffer request(String method, String target, HttpFields fields, int length) {
        MetaData.Request info = new MetaData.Request(method, HttpURI.build().pathQuery(target), HttpVersion.HTTP_1_1,
                fields, length);
        ByteBuffer head = BufferUtil.allocate(MOST_HEADER + 1024);
        try {
            new HttpGenerator().generateRequest(info, head, null, BufferUtil.EMPTY_BUFFER, true);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return head;
    }

    /** A load report, "TEXT inflight=7, queue=2, util=0.61": what cannot be read is left out. */
    static Map<String, Double> load(String text) {
        Map<String, Double> load = new LinkedHashMap<>();
        if (text != null) {
            for (String part : text.strip().replaceFirst("^TEXT\\s+", "").split("[,\\s]+")) {
                int split = part.indexOf('=');
                try {
                    if (split > 0) {
                        load.put(part.substring(0, split), Double.valueOf(part.substring(split + 1)));
                    }
                } catch (NumberFormatException e) {
                    // A value that is no number tells nothing.
                }
            }
        }
        return load;
    }
}
