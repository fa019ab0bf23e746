package petrelstand.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.NoSuchFileException;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * A text with its version, kept in a folder that is locked already: one file, replaced in one step, with a checksum. A
 * damaged one counts for nothing, and a line says so. Not for several threads at a time.
 */
public final class VersionedTextFile {
    static final String FILE_NAME = "rules-last";
    private static final int MAX_FILE_BYTES = 256 * 1024;
    private static final int HEADER_BYTES = Long.BYTES + Integer.BYTES;

    private final Folder folder;
    private final Consumer<String> log;
    private long version;
    private String text;
    private boolean failed;

    /** Reads what is kept. */
    public VersionedTextFile(Folder folder, Consumer<String> log) throws IOException {
        this.folder = folder;
        this.log = log;
        try {
            byte[] content = folder.read(FILE_NAME, MAX_FILE_BYTES);
            ByteBuffer head = ByteBuffer.wrap(content);
            if (content.length < HEADER_BYTES || head.getInt(Long.BYTES) != checksum(content)) {
                log.accept(FILE_NAME + " is damaged and counts for nothing");
                return;
            }
            version = head.getLong(0);
            text = new String(content, HEADER_BYTES, content.length - HEADER_BYTES, StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            // The first start.
        }
    }

    private static int checksum(byte[] content) {
        byte[] without = content.clone();
        Arrays.fill(without, Long.BYTES, HEADER_BYTES, (byte) 0);
        return SnapshotFormat.checksum(without, 0, without.length);
    }

    /** The version that an earlier life kept. */
    public long version() {
        return version;
    }

    /** Its text, or null. */
    public String text() {
        return text;
    }

    /** Keeps another; a fault is said once until it works again. */
    public void save(long newer, String of) {
        byte[] bytes = of.getBytes(StandardCharsets.UTF_8);
        ByteBuffer content = ByteBuffer.allocate(HEADER_BYTES + bytes.length);
        content.putLong(newer).putInt(0).put(bytes);
        content.putInt(Long.BYTES, checksum(content.array()));
        try {
            folder.delete(FILE_NAME + ".new");
            folder.create(FILE_NAME + ".new", content.array());
            folder.sync(FILE_NAME + ".new");
            folder.rename(FILE_NAME + ".new", FILE_NAME);
            folder.syncDirectory();
            failed = false;
        } catch (IOException e) {
            if (!failed) {
                log.accept("version " + newer + " is not kept: " + e.getMessage());
            }
            failed = true;
        }
    }
}
