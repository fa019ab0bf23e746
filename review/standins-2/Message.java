import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** An HTTP/1.1 message that was read whole: start line, fields and body by Content-Length or chunks. */
record Message(String startLine, Map<String, String> fields, byte[] body) {
    /** Reads a message; null if the connection ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon), line.substring(colon + 1).strip());
        }
        byte[] body = {};
        if (fields.containsKey("Content-Length")) {
            body = in.readNBytes(Integer.parseInt(fields.get("Content-Length")));
            if (body.length < Integer.parseInt(fields.get("Content-Length"))) {
                throw new EOFException();
            }
        } else if ("chunked".equalsIgnoreCase(fields.get("Transfer-Encoding"))) {
            java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
                if (size == 0) {
                    while (!line(in).isEmpty()) {}
                    break;
                }
                byte[] piece = in.readNBytes(size);
                if (piece.length < size) {
                    throw new EOFException();
                }
                all.write(piece);
                line(in);
            }
            body = all.toByteArray();
        }
        return new Message(start, fields, body);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        for (; c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            text.append((char) c);
        }
        int end = text.length();
        return text.substring(0, end > 0 && text.charAt(end - 1) == '\r' ? end - 1 : end);
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
