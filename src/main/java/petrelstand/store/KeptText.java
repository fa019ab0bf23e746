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
public final class KeptText {
    static final String FILE = "rules-last";
    private static final int MOST_BYTES = 256 * 1024;
    private static final int HEAD = Long.BYTES + Integer.BYTES;

    private final Folder folder;
    private final Consumer<String> log;
    private long version;
    private String text;
    private boolean failed;

    /** Reads what is kept. */
    public KeptText(Folder folder, Consumer<String> log) throws IOException {
        this.folder = folder;
        this.log = log;
        try {
            byte[] content = folder.read(FILE, MOST_BYTES);
            ByteBuffer head = ByteBuffer.wrap(content);
            if (content.length < HEAD || head.getInt(Long.BYTES) != sum(content)) {
                log.accept(FILE + " is damaged and counts for nothing");
                return;
            }
            version = head.getLong(0);
            text = new String(content, HEAD, content.length - HEAD, StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            // The first start.
        }
    }

    private static int sum(byte[] content) {
        byte[] without = content.clone();
        Arrays.fill(without, Long.BYTES, HEAD, (byte) 0);
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
    public void keep(long newer, String of) {
        byte[] bytes = of.getBytes(StandardCharsets.UTF_8);
        ByteBuffer content = ByteBuffer.allocate(HEAD + bytes.length);
        content.putLong(newer).putInt(0).put(bytes);
        content.putInt(Long.BYTES, sum(content.array()));
        try {
            folder.delete(FILE + ".new");
            folder.create(FILE + ".new", content.array());
            folder.sync(FILE + ".new");
            folder.rename(FILE + ".new", FILE);
            folder.syncNames();
            failed = false;
        } catch (IOException e) {
            if (!failed) {
                log.accept("version " + newer + " is not kept: " + e.getMessage());
            }
            failed = true;
        }
    }
}
