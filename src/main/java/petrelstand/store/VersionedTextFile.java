package petrelstand.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Stores the last rules with their version in a folder that the caller has locked: one file with a checksum, replaced
 * atomically. A damaged file is logged and ignored. Not thread-safe.
 */
public final class VersionedTextFile {
    static final String FILE_NAME = "rules-last";
    private static final String TEMPORARY_FILE_NAME = FILE_NAME + ".new";
    private static final int MAX_FILE_BYTES = 256 * 1024;
    private static final int HEADER_BYTES = Long.BYTES + Integer.BYTES;

    private final Folder folder;
    private final Consumer<String> log;
    private long version;
    private String text;
    private boolean failing;

    /** Reads the stored version and text; a missing file is version 0 without a text. */
    public VersionedTextFile(Folder folder, Consumer<String> log) throws IOException {
        this.folder = folder;
        this.log = log;
        try {
            byte[] content = folder.read(FILE_NAME, MAX_FILE_BYTES);
            ByteBuffer header = ByteBuffer.wrap(content);
            if (content.length < HEADER_BYTES || header.getInt(Long.BYTES) != checksum(content)) {
                log.accept(FILE_NAME + " is damaged and ignored: its length or checksum is wrong");
                return;
            }
            version = header.getLong(0);
            text = new String(content, HEADER_BYTES, content.length - HEADER_BYTES, StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            // Nothing has been stored yet.
        }
    }

    private static int checksum(byte[] content) {
        byte[] zeroed = content.clone();
        Arrays.fill(zeroed, Long.BYTES, HEADER_BYTES, (byte) 0);
        return SnapshotFormat.checksum(zeroed, 0, zeroed.length);
    }

    /** Returns the version that was read, 0 if there was none. */
    public long version() {
        return version;
    }

    /** Returns the text that was read, null if there was none. */
    public String text() {
        return text;
    }

    /** Replaces the stored version and text; logs the first of successive failures. */
    public void save(long newVersion, String newText) {
        byte[] bytes = newText.getBytes(StandardCharsets.UTF_8);
        ByteBuffer content = ByteBuffer.allocate(HEADER_BYTES + bytes.length);
        content.putLong(newVersion).putInt(0).put(bytes);
        content.putInt(Long.BYTES, checksum(content.array()));
        try {
            folder.delete(TEMPORARY_FILE_NAME);
            folder.create(TEMPORARY_FILE_NAME, content.array());
            folder.sync(TEMPORARY_FILE_NAME);
            folder.rename(TEMPORARY_FILE_NAME, FILE_NAME);
            folder.syncDirectory();
            failing = false;
        } catch (IOException e) {
            if (!failing) {
                log.accept(
                        "cannot store version " + newVersion + ", an earlier one stays on the disk: " + e.getMessage());
            }
            failing = true;
        }
    }
}
