package petrelstand.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stores the highest incarnation that a process may use, so that the next process starts above it. The file is one line
 * with a checksum and is replaced atomically. A damaged file is renamed and ignored, which is safe because the random
 * number of each process also tells it from earlier ones.
 */
public final class IncarnationFile {
    static final String FILE_NAME = "incarnation";
    /**
     * Incarnations reserved at each start; a process uses one more each time it refutes a false report about itself.
     */
    static final long RESERVED_COUNT = 1 << 20;

    private static final String TEMPORARY_FILE_NAME = FILE_NAME + ".new";
    private static final String DAMAGED_FILE_NAME = FILE_NAME + ".damaged";
    private static final int MAX_FILE_BYTES = 200;
    private static final Pattern LINE = Pattern.compile("petrelstand incarnation ([0-9]{1,18}) ([0-9a-f]{8})\n");

    private IncarnationFile() {}

    private static String formatLine(long value) {
        String text = "petrelstand incarnation " + value + " ";
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        return text + String.format("%08x", SnapshotFormat.checksum(bytes, 0, bytes.length)) + "\n";
    }

    /** Returns the stored incarnation, 0 if there is none. */
    static long read(Folder folder) throws IOException, FileFormatException {
        byte[] content;
        try {
            content = folder.read(FILE_NAME, MAX_FILE_BYTES);
        } catch (NoSuchFileException e) {
            return 0;
        }
        String text = new String(content, StandardCharsets.US_ASCII);
        Matcher matcher = LINE.matcher(text);
        if (!matcher.matches() || !text.equals(formatLine(Long.parseLong(matcher.group(1))))) {
            throw new FileFormatException(0, "the incarnation line is malformed or its checksum does not match");
        }
        return Long.parseLong(matcher.group(1));
    }

    /** Stores a value atomically: after a crash the file holds the old or the new one. */
    static void write(Folder folder, long value) throws IOException {
        folder.delete(TEMPORARY_FILE_NAME);
        folder.create(TEMPORARY_FILE_NAME, formatLine(value).getBytes(StandardCharsets.US_ASCII));
        folder.sync(TEMPORARY_FILE_NAME);
        folder.rename(TEMPORARY_FILE_NAME, FILE_NAME);
        folder.syncDirectory();
    }

    /**
     * Locks the folder and returns the incarnation to start with: above the stored one and at least the wall clock. The
     * incarnations up to {@link #RESERVED_COUNT} above it are reserved on the disk before it is returned.
     *
     * @param wallUs wall clock, in microseconds of Unix time
     * @param log receives a line if the file is damaged; it is then renamed and ignored
     * @throws IOException if another process holds the folder, or the file can't be read or written
     */
    public static long reserve(Folder folder, long wallUs, Consumer<String> log) throws IOException {
        if (!folder.tryLock()) {
            throw new IOException("the folder is locked by another process");
        }
        long stored = 0;
        try {
            stored = read(folder);
        } catch (FileFormatException e) {
            folder.rename(FILE_NAME, DAMAGED_FILE_NAME);
            log.accept(FILE_NAME + " is damaged, renamed it to " + DAMAGED_FILE_NAME + ": " + e.getMessage());
        }
        long first = Math.max(Math.max(1, wallUs), stored + 1);
        write(folder, first + RESERVED_COUNT);
        return first;
    }
}
