package petrelstand.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.testing.StoredFiles;

/**
 * Guards against losing the last known rules because the file of an earlier version is not read. The file is what
 * {@link VersionedTextFile#save} made of {@link #VERSION} and {@link #TEXT}.
 */
class StoredRulesTextCompatibilityTest {
    private static final String FOLDER = "rules-text";
    private static final String FILE = "rules-last";
    static final long VERSION = 3_042_000_017L;
    static final String TEXT = "# é\n[limit basic]\nunits = 40\nfloor = 3\n";

    @TempDir
    Path folder;

    @Test
    void versionAndTextOfTheStoredFileAreRead() throws Exception {
        StoredFiles.copyFolder(FOLDER, folder);
        List<String> warnings = new ArrayList<>();
        try (DiskFolder disk = new DiskFolder(folder)) {
            VersionedTextFile stored = new VersionedTextFile(disk, warnings::add);
            assertEquals(VERSION, stored.version());
            assertEquals(TEXT, stored.text());
        }
        assertEquals(List.of(), warnings);
    }

    @Test
    void keepingTheTextGivesTheStoredBytes() throws Exception {
        try (DiskFolder disk = new DiskFolder(folder)) {
            new VersionedTextFile(disk, line -> {}).save(VERSION, TEXT);
        }
        assertArrayEquals(StoredFiles.read(FOLDER + "/" + FILE), Files.readAllBytes(folder.resolve(FILE)));
    }
}
