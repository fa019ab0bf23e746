package petrelstand.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The incarnation that a life may use, kept so that the next one begins above it. A file of one line, replaced in one
 * step; a damaged one is set aside, since a life's random number tells it from others all the same.
 */
public final class IncarnationFile {
    static final String FILE_NAME = "incarnation";
    /** A life reserves so many at once: it raises its incarnation once for each false claim on it. */
    static final long RESERVED_COUNT = 1 << 20;

    private static final Pattern LINE = Pattern.compile("petrelstand incarnation ([0-9]{1,18}) ([0-9a-f]{8})\n");

    private IncarnationFile() {}

    private static String formatLine(long value) {
        String text = "petrelstand incarnation " + value + " ";
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        return text + String.format("%08x", SnapshotFormat.checksum(bytes, 0, bytes.length)) + "\n";
    }

    /** What the folder keeps; 0 where it keeps nothing. */
    static long read(Folder folder) throws IOException, FileFormatException {
        byte[] content;
        try {
            content = folder.read(FILE_NAME, 200);
        } catch (NoSuchFileException e) {
            return 0;
        }
        String text = new String(content, StandardCharsets.US_ASCII);
        Matcher parts = LINE.matcher(text);
        if (!parts.matches() || !text.equals(formatLine(Long.parseLong(parts.group(1))))) {
            throw new FileFormatException(0, "it is not the line that it should be, or its checksum is another's");
        }
        return Long.parseLong(parts.group(1));
    }

    /** Keeps a value: a reader sees the old or the new, whole. */
    static void write(Folder folder, long value) throws IOException {
        folder.delete(FILE_NAME + ".new");
        folder.create(FILE_NAME + ".new", formatLine(value).getBytes(StandardCharsets.US_ASCII));
        folder.sync(FILE_NAME + ".new");
        folder.rename(FILE_NAME + ".new", FILE_NAME);
        folder.syncDirectory();
    }

    /**
     * Takes the folder and gives the incarnation to begin with: above what is kept and no less than the wall clock
     * says, reserved before it is used. A damaged file is set aside under another name, and a line says so.
     */
    public static long reserve(Folder folder, long wallUs, Consumer<String> log) throws IOException {
        if (!folder.tryLock()) {
            throw new IOException("another process has the folder");
        }
        long kept = 0;
        try {
            kept = read(folder);
        } catch (FileFormatException e) {
            folder.rename(FILE_NAME, FILE_NAME + ".damaged");
            log.accept(FILE_NAME + " is set aside: " + e.getMessage());
        }
        long first = Math.max(Math.max(1, wallUs), kept + 1);
        write(folder, first + RESERVED_COUNT);
        return first;
    }
}
