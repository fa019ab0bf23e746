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

/** The platform's HTTP protocol: header names, size limits, and the encoding and parsing of message heads. */
public final class HttpProtocol {
    /** Id of a request, the same for all of its attempts. */
    public static final String TXN_HEADER = "X-Txn";
    /** Name of the plan under which a request is made. */
    public static final String PLAN_HEADER = "X-Qos-Policy";
    /** Time in ms for which the client still waits. */
    public static final String REMAINING_MS_HEADER = "X-Remaining-Ms";
    /** Placement of the requested data: units, shard and hosts. */
    public static final String PLACEMENT_HEADER = "X-Placement";
    /** 1 if the request repeats an earlier one. */
    public static final String RESENT_HEADER = "X-Resent";

    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    /** 1 in an answer if the node did not execute the request. */
    public static final String TURNED_AWAY_HEADER = "X-Turned-Away";
    /** Load report of a node, as {@link #parseLoadReport} reads it. */
    public static final String LOAD_HEADER = "X-Pressure";
    /** A volume's use in percent of its plan's rate. */
    public static final String VOLUME_USE_HEADER = "X-Iops-Used";
    /** Units that the node has served for the volume through other gateways. */
    public static final String OTHER_GATEWAYS_UNITS_HEADER = "X-Rho";
    /** Largest body by the protocol; a larger one is streamed. */
    public static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;
    /** Largest body that is streamed; over twice the largest that is known to occur. */
    static final long MAX_STREAMED_BODY_BYTES = 64L * 1024 * 1024;

    /** Limit of the head of a request or an answer. */
    static final int MAX_HEAD_BYTES = 8 * 1024;
    /** Limit of the head of an answer to a client, whose longest field is a Content-Type that was kept. */
    static final int MAX_ANSWER_HEAD_BYTES = 1024;
    /**
     * Limit of the fields of a request to a node: its host, and some values that were kept of a client's request or are
     * of the gateway's making.
     */
    private static final int MAX_REQUEST_FIELDS_BYTES = 2048;
    /**
     * Size for {@code HttpParser.setHeaderCacheSize}: 0 disables the cache of header fields, which would take 40 KB per
     * connection.
     */
    public static final int HEADER_CACHE_BYTES = 0;
    /** Largest value accepted in a load report. */
    private static final double MAX_LOAD_VALUE = 1e6;

    private HttpProtocol() {}

    /** Whether the version is HTTP/1.0 or HTTP/1.1. */
    public static boolean supportsVersion(HttpVersion version) {
        return version == HttpVersion.HTTP_1_1 || version == HttpVersion.HTTP_1_0;
    }

    /**
     * Describes an ambiguous or unsupported message length, or returns null if the framing is valid. Ambiguous framing
     * would allow request smuggling and truncated answers.
     */
    public static String framingError(HttpFields fields) {
        int contentLengths = 0;
        int transferEncodings = 0;
        boolean chunked = true;
        for (HttpField field : fields) {
            contentLengths += field.getHeader() == HttpHeader.CONTENT_LENGTH ? 1 : 0;
            if (field.getHeader() == HttpHeader.TRANSFER_ENCODING) {
                transferEncodings++;
                chunked &= field.getValue().equalsIgnoreCase("chunked");
            }
        }
        if (contentLengths > 1) {
            return "more than one Content-Length";
        }
        if (transferEncodings > 0 && contentLengths > 0) {
            return "both Content-Length and Transfer-Encoding";
        }
        return transferEncodings <= 1 && chunked ? null : "the Transfer-Encoding is not chunked";
    }

    /** Returns path and query of a request target, which may be an absolute URI. */
    static String pathAndQuery(String target) {
        if (!target.startsWith("http://") && !target.startsWith("https://")) {
            return target;
        }
        int path = target.indexOf('/', target.indexOf("//") + 2);
        return path < 0 ? "/" : target.substring(path);
    }

    /**
     * Head of a streamed answer.
     *
     * @param length length of the body, or -1 if unknown
     */
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
            // Otherwise the generator ends the answer with the connection, and the client can't detect a truncated
            // answer.
            fields.put(HttpHeader.TRANSFER_ENCODING, "chunked");
        }
        return new MetaData.Response(status, HttpStatus.getMessage(status), version, fields, length);
    }

    /**
     * Encodes the head of an answer.
     *
     * @param type the content type, or null
     * @param retryAfterUs µs for the Retry-After header; 0 for none
     * @param close whether the connection closes after the answer
     * @param length bytes of the body
     */
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
        MetaData.Response metaData =
                new MetaData.Response(status, HttpStatus.getMessage(status), HttpVersion.HTTP_1_1, fields, length);
        ByteBuffer head = BufferUtil.allocate(MAX_ANSWER_HEAD_BYTES);
        try {
            new HttpGenerator().generateResponse(metaData, false, head, null, BufferUtil.EMPTY_BUFFER, true);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return head;
    }

    /** Formats a time as seconds with up to three decimals, rounded up so that a client does not retry too early. */
    static String formatSeconds(long us) {
        long ms = (us + 999) / 1000;
        return ms % 1000 == 0
                ? Long.toString(ms / 1000)
                : String.format(Locale.ROOT, "%d.%03d", ms / 1000, ms % 1000).replaceAll("0+$", "");
    }

    /** Head of a request; the target is forwarded unchanged, and a length of -1 is unknown. */
    static MetaData.Request requestMetaData(String method, String target, HttpFields fields, long length) {
        return new MetaData.Request(method, HttpURI.build().pathQuery(target), HttpVersion.HTTP_1_1, fields, length);
    }

    /** Bytes that suffice for the head of a request. */
    static int maxRequestHeadBytes(MetaData.Request request) {
        return request.getHttpURI().getPathQuery().length() + MAX_REQUEST_FIELDS_BYTES;
    }

    /** Encodes the head of a request; the target is forwarded unchanged. */
    public static ByteBuffer requestHead(String method, String target, HttpFields fields, int length) {
        MetaData.Request metaData = requestMetaData(method, target, fields, length);
        ByteBuffer head = BufferUtil.allocate(maxRequestHeadBytes(metaData));
        try {
            new HttpGenerator().generateRequest(metaData, head, null, BufferUtil.EMPTY_BUFFER, true);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return head;
    }

    /** Parses what an answer reports about its volume; invalid values are ignored. */
    static VolumeUsage parseVolumeUse(HttpFields fields) {
        return new VolumeUsage(
                parseCount(fields.get(VOLUME_USE_HEADER), VolumeUsage.UNKNOWN_PERCENT),
                parseCount(fields.get(OTHER_GATEWAYS_UNITS_HEADER), 0));
    }

    private static int parseCount(String text, int defaultValue) {
        if (text == null) {
            return defaultValue;
        }
        try {
            long value = Math.round(Double.parseDouble(text));
            return value >= 0 && value <= VolumeUsage.MAX_VALUE ? (int) value : defaultValue;
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    /** Parses a load report such as "TEXT inflight=7, queue=2, util=0.61"; invalid entries are skipped. */
    static Map<String, Double> parseLoadReport(String text) {
        Map<String, Double> load = new LinkedHashMap<>();
        if (text != null) {
            for (String entry : text.strip().replaceFirst("^TEXT\\s+", "").split("[,\\s]+")) {
                int equalsSign = entry.indexOf('=');
                try {
                    double value = equalsSign > 0 ? Double.parseDouble(entry.substring(equalsSign + 1)) : -1;
                    if (value >= 0 && value <= MAX_LOAD_VALUE) {
                        load.put(entry.substring(0, equalsSign), value);
                    }
                } catch (NumberFormatException e) {
                    // Skip the invalid value.
                }
            }
        }
        return load;
    }
}
