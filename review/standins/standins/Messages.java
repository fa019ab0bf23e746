package standins;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reading of HTTP/1.1 messages from a blocking stream. */
final class Messages {
    /** The first line of a message and its header fields, with names in lower case. */
    record Head(String firstLine, Map<String, String> fields) {
        String field(String name) {
            return fields.get(name);
        }

        boolean closes() {
            return "close".equalsIgnoreCase(fields.getOrDefault("connection", ""));
        }
    }

    /** Receives the bytes of a body as they come. */
    interface BodySink {
        void bytes(byte[] buffer, int length) throws IOException;
    }

    private Messages() {}

    /** Reads a head; null if the stream ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String firstLine = readLine(in);
        if (firstLine == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("the head does not end");
            }
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, Math.max(0, colon)).strip().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new Head(firstLine, fields);
    }

    /** Reads a body framed as its head says; returns its length. Throws if the stream ends before the body does. */
    static long readBody(InputStream in, Head head, boolean isAnswer, BodySink sink) throws IOException {
        byte[] buffer = new byte[64 * 1024];
        if ("chunked".equalsIgnoreCase(head.field("transfer-encoding"))) {
            long total = 0;
            while (true) {
                String line = readLine(in);
                if (line == null) {
                    throw new EOFException("the chunks do not end");
                }
                long size = Long.parseLong(line.split(";")[0].strip(), 16);
                if (size == 0) {
                    String trailer = readLine(in);
                    while (trailer != null && !trailer.isEmpty()) {
                        trailer = readLine(in);
                    }
                    return total;
                }
                readExactly(in, size, buffer, sink);
                total += size;
                readLine(in);
            }
        }
        String length = head.field("content-length");
        if (length != null) {
            readExactly(in, Long.parseLong(length), buffer, sink);
            return Long.parseLong(length);
        }
        long total = 0;
        for (int n = isAnswer ? in.read(buffer) : -1; n > 0; n = in.read(buffer)) {
            sink.bytes(buffer, n);
            total += n;
        }
        return total;
    }

    private static void readExactly(InputStream in, long length, byte[] buffer, BodySink sink) throws IOException {
        for (long left = length; left > 0; ) {
            int n = in.read(buffer, 0, (int) Math.min(left, buffer.length));
            if (n < 0) {
                throw new EOFException("the body ends " + left + " bytes early");
            }
            sink.bytes(buffer, n);
            left -= n;
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                int end = line.length();
                return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString();
            }
            line.append((char) b);
        }
        if (line.length() > 0) {
            throw new EOFException("the head does not end");
        }
        return null;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
