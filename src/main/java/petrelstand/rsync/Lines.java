package petrelstand.rsync;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** The daemon protocol's opening lines, and the frames by which a server tells of an error after them. */
final class Lines {
    /** The one version carried: both sides of a relay agree on it, as daemons and clients since 2.6.4 can. */
    static final int VERSION = 29;

    static final String GREETING = "@RSYNCD: " + VERSION + ".0\n";
    static final String OK = "@RSYNCD: OK\n";
    static final String EXIT = "@RSYNCD: EXIT\n";
    static final int MOST_LINE = 4096;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** The next line, without its end; null where the input holds no whole one. */
    String next(ByteBuffer input) {
        while (input.hasRemaining()) {
            byte b = input.get();
            if (b == '\n') {
                String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                return text;
            }
            if (line.size() >= MOST_LINE) {
                throw new RecordReader.Malformed("a line of over " + MOST_LINE + " bytes");
            }
            line.write(b);
        }
        return null;
    }

    /** The version in a greeting; 0 where the line is none. */
    static int version(String greeting) {
        if (!greeting.startsWith("@RSYNCD: ")) {
            return 0;
        }
        String digits = greeting.substring("@RSYNCD: ".length()).split("[. ]", 2)[0];
        return digits.matches("[0-9]{1,4}") ? Integer.parseInt(digits) : 0;
    }

    static String error(String text) {
        return "@ERROR: " + text + "\n";
    }

    /** An error as a frame of the server's stream; a client prints it and ends with an error of its own. */
    static ByteBuffer errorFrame(String text, boolean withSeed) {
        byte[] bytes = error(text).getBytes(StandardCharsets.UTF_8);
        ByteBuffer frame = ByteBuffer.allocate(8 + bytes.length).order(ByteOrder.LITTLE_ENDIAN);
        if (withSeed) {
            frame.putInt(0);
        }
        return frame.putInt((MuxReader.BASE + MuxReader.ERROR) << 24 | bytes.length)
                .put(bytes)
                .flip();
    }

    /** A time for a person: seconds with one to three decimals. */
    static String seconds(long us) {
        String text = String.format(Locale.ROOT, "%.3f", us / 1e6);
        return text.replaceAll("0{1,2}$", "");
    }
}
