package petrelstand.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.util.BufferUtil;
import petrelstand.core.VolumeUsage;

/** Names of the platform's headers, and messages as bytes. */
public final class HttpProtocol {
    public static final String TXN_HEADER = "X-Txn";
    public static final String PLAN_HEADER = "X-Qos-Policy";
    public static final String REMAINING_MS_HEADER = "X-Remaining-Ms";
    public static final String PLACEMENT_HEADER = "X-Placement";
    public static final String RESENT_HEADER = "X-Resent";
    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    public static final String TURNED_AWAY_HEADER = "X-Turned-Away";
    public static final String LOAD_HEADER = "X-Pressure";
    /** A volume's use, in percent of its plan's rate. */
    public static final String VOLUME_USE_HEADER = "X-Iops-Used";
    /** Units that the node served the volume through other gateways. */
    public static final String OTHER_GATEWAYS_UNITS_HEADER = "X-Rho";
    /** The largest body, by the protocol. */
    public static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;
    /** The largest body that passes in pieces: over twice the largest that is known to occur. */
    static final long MAX_STREAMED_BODY_BYTES = 64L * 1024 * 1024;

    static final int MAX_HEAD_BYTES = 8 * 1024;
    /**
     * For parsers: none of the library's caches of header fields, 40 KB for each connection from its second message on.
     * The fields that all messages share are found without.
     */
    public static final int HEADER_CACHE_BYTES = 0;
    /** No figure of a load report can be larger. */
    private static final double MAX_LOAD_VALUE = 1e6;

    private HttpProtocol() {}

    /** The versions that are spoken here. */
    public static boolean supportsVersion(HttpVersion version) {
        return version == HttpVersion.HTTP_1_1 || version == HttpVersion.HTTP_1_0;
    }

    /**
     * What is wrong with how a message says where it ends; null where nothing is. Two ways to find the end may find two
     * ends: a request could be hidden between them, and an answer cut short.
     */
    public static String framingError(HttpFields fields) {
        int lengths = 0;
        int codings = 0;
        boolean chunked = true;
        for (HttpField field : fields) {
            lengths += field.getHeader() == HttpHeader.CONTENT_LENGTH ? 1 : 0;
            if (field.getHeader() == HttpHeader.TRANSFER_ENCODING) {
                codings++;
                chunked &= field.getValue().equalsIgnoreCase("chunked");
            }
        }
        if (lengths > 1) {
            return "more than one Content-Length";
        }
        if (codings > 0 && lengths > 0) {
            return "both Content-Length and Transfer-Encoding";
        }
        return codings <= 1 && chunked ? null : "the Transfer-Encoding is not chunked";
    }

    /** The path and query of a request's target, which may be a whole address. */
    static String pathAndQuery(String target) {
        if (!target.startsWith("http://") && !target.startsWith("https://")) {
            return target;
        }
        int path = target.indexOf('/', target.indexOf("//") + 2);
        return path < 0 ? "/" : target.substring(path);
    }

    /** What the head of an answer in pieces says; a length of -1 is not known beforehand. */
    static MetaData.Response responseMetaData(
            int status, HttpVersion version, String type, boolean close, long length) {
        HttpFields.Mutable fields = HttpFields.build();
        if (type != null) {
            fields.put(HttpHeader.CONTENT_TYPE, type);
        }
        if (close) {
            fields.put(HttpHeader.CONNECTION, "close");
        }
        if (length < 0 && version == HttpVersion.HTTP_1_1) {
            // Else the generator would let the end of a connection that closes be the answer's, and a cut be no cut.
            fields.put(HttpHeader.TRANSFER_ENCODING, "chunked");
        }
        return new MetaData.Response(status, HttpStatus.getMessage(status), version, fields, length);
    }

    /** The head of an answer with a body of a length. */
    public static ByteBuffer answerHead(int status, String type, long retryAfterUs, boolean close, int length) {
        HttpFields.Mutable fields = HttpFields.build();
        if (type != null) {
            fields.put(HttpHeader.CONTENT_TYPE, type);
        }
        if (retryAfterUs > 0) {
            fields.put(HttpHeader.RETRY_AFTER, formatSeconds(retryAfterUs));
        }
        if (close) {
            fields.put(HttpHeader.CONNECTION, "close");
        }
        MetaData.Response info =
                new MetaData.Response(status, HttpStatus.getMessage(status), HttpVersion.HTTP_1_1, fields, length);
        ByteBuffer head = BufferUtil.allocate(1024);
        try {
            new HttpGenerator().generateResponse(info, false, head, null, BufferUtil.EMPTY_BUFFER, true);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return head;
    }

    /** Seconds with up to three decimals, rounded up: a client that comes sooner is refused again. */
    static String formatSeconds(long us) {
        long ms = (us + 999) / 1000;
        return ms % 1000 == 0
                ? Long.toString(ms / 1000)
                : String.format(Locale.ROOT, "%d.%03d", ms / 1000, ms % 1000).replaceAll("0+$", "");
    }

    /** What a request's head says; the target passes as the client wrote it, and a length of -1 is not known. */
    static MetaData.Request requestMetaData(String method, String target, HttpFields fields, long length) {
        return new MetaData.Request(method, HttpURI.build().pathQuery(target), HttpVersion.HTTP_1_1, fields, length);
    }

    /** The head of a request; the target passes as the client wrote it. */
    public static ByteBuffer requestHead(String method, String target, HttpFields fields, int length) {
        MetaData.Request info = requestMetaData(method, target, fields, length);
        ByteBuffer head = BufferUtil.allocate(MAX_HEAD_BYTES + 1024);
        try {
            new HttpGenerator().generateRequest(info, head, null, BufferUtil.EMPTY_BUFFER, true);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return head;
    }

    /** What an answer tells of its volume: a figure that cannot be read, or cannot be, is not told. */
    static VolumeUsage parseVolumeUse(HttpFields fields) {
        return new VolumeUsage(
                parseCount(fields.get(VOLUME_USE_HEADER), VolumeUsage.UNKNOWN_PERCENT),
                parseCount(fields.get(OTHER_GATEWAYS_UNITS_HEADER), 0));
    }

    private static int parseCount(String text, int without) {
        if (text == null) {
            return without;
        }
        try {
            long value = Math.round(Double.parseDouble(text));
            return value >= 0 && value <= VolumeUsage.MAX_VALUE ? (int) value : without;
        } catch (NumberFormatException e) {
            return without;
        }
    }

    /** A load report, "TEXT inflight=7, queue=2, util=0.61": what cannot be read, or cannot be, is left out. */
    static Map<String, Double> parseLoadReport(String text) {
        Map<String, Double> load = new LinkedHashMap<>();
        if (text != null) {
            for (String part : text.strip().replaceFirst("^TEXT\\s+", "").split("[,\\s]+")) {
                int split = part.indexOf('=');
                try {
                    double value = split > 0 ? Double.parseDouble(part.substring(split + 1)) : -1;
                    if (value >= 0 && value <= MAX_LOAD_VALUE) {
                        load.put(part.substring(0, split), value);
                    }
                } catch (NumberFormatException e) {
                    // A value that is no number tells nothing.
                }
            }
        }
        return load;
    }
}
