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
 * Guards against an incarnation that goes back because the file of an earlier version is not read. The file is what
 * {@link IncarnationFile#write} made of {@link #STORED}.
 */
class StoredIncarnationCompatibilityTest {
    private static final String FOLDER = "incarnation";
    private static final String FILE = "incarnation";
    static final long STORED = 1_796_000_123_456_789L;
    /** Of a wall clock that went back, so that the stored value decides. */
    private static final long WALL_CLOCK_US = 1_000;

    @TempDir
    Path folder;

    @Test
    void nextIncarnationIsOneAboveTheStoredOne() throws Exception {
        StoredFiles.copyFolder(FOLDER, folder);
        List<String> warnings = new ArrayList<>();
        try (DiskFolder disk = new DiskFolder(folder)) {
            assertEquals(STORED, IncarnationFile.read(disk));
            assertEquals(1_796_000_123_456_790L, IncarnationFile.reserve(disk, WALL_CLOCK_US, warnings::add));
            assertEquals(1_796_000_124_505_366L, IncarnationFile.read(disk));
        }
        assertEquals(List.of(), warnings);
    }

    @Test
    void writingTheIncarnationGivesTheStoredBytes() throws Exception {
        try (DiskFolder disk = new DiskFolder(folder)) {
            IncarnationFile.write(disk, STORED);
        }
        assertArrayEquals(StoredFiles.read(FOLDER + "/" + FILE), Files.readAllBytes(folder.resolve(FILE)));
    }
}
