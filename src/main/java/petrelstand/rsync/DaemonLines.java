package petrelstand.rsync;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Reads and formats the opening lines of the daemon protocol; also encodes the error frames sent after them. */
final class DaemonLines {
    /** The only protocol version relayed; rsync clients and daemons since 2.6.4 can agree on it. */
    static final int PROTOCOL_VERSION = 29;

    static final String GREETING = "@RSYNCD: " + PROTOCOL_VERSION + ".0\n";
    static final String OK = "@RSYNCD: OK\n";
    static final String EXIT = "@RSYNCD: EXIT\n";
    static final int MAX_LINE_BYTES = 4096;

    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

    /** Returns the next line without its line feed, or null if the input holds no complete line. */
    String nextLine(ByteBuffer input) {
        while (input.hasRemaining()) {
            byte b = input.get();
            if (b == '\n') {
                String text = partialLine.toString(StandardCharsets.UTF_8);
                partialLine.reset();
                return text;
            }
            if (partialLine.size() >= MAX_LINE_BYTES) {
                throw new RecordReader.ProtocolException("a line of over " + MAX_LINE_BYTES + " bytes");
            }
            partialLine.write(b);
        }
        return null;
    }

    /** Returns the protocol version in a greeting, or 0 if the line is not a greeting. */
    static int parseVersion(String greeting) {
        if (!greeting.startsWith("@RSYNCD: ")) {
            return 0;
        }
        String digits = greeting.substring("@RSYNCD: ".length()).split("[. ]", 2)[0];
        return digits.matches("[0-9]{1,4}") ? Integer.parseInt(digits) : 0;
    }

    static String errorLine(String text) {
        return "@ERROR: " + text + "\n";
    }

    /** Encodes an error as a frame of the daemon's stream, after a checksum seed if none has been sent. */
    static ByteBuffer errorFrame(String text, boolean withSeed) {
        byte[] bytes = errorLine(text).getBytes(StandardCharsets.UTF_8);
        ByteBuffer frame = ByteBuffer.allocate(8 + bytes.length).order(ByteOrder.LITTLE_ENDIAN);
        if (withSeed) {
            frame.putInt(0);
        }
        return frame.putInt((MultiplexReader.MPLEX_BASE + MultiplexReader.MSG_ERROR) << 24 | bytes.length)
                .put(bytes)
                .flip();
    }

    /** Formats microseconds as seconds with one to three decimals. */
    static String formatSeconds(long us) {
        String text = String.format(Locale.ROOT, "%.3f", us / 1e6);
        return text.replaceAll("0{1,2}$", "");
    }
}
