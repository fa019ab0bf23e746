package petrelstand.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.decision.Scheduling.LearnedNode;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.LearnedVolume;
import petrelstand.state.Snapshot;
import petrelstand.testing.StoredFiles;

/**
 * Guards against a change of the snapshot format under the same version number. The file holds what
 * {@link SnapshotFormat#encode} made of {@link #STORED}.
 */
class StoredSnapshotCompatibilityTest {
    private static final String FOLDER = "state";
    private static final String FILE = "learned-0000000000000a17.state";

    static final Snapshot STORED = new Snapshot(
            "gateway-north",
            -7_046_029_254_386_353_131L,
            0xa17,
            1_796_000_123_457L,
            true,
            new LearnedState(
                    1_796_000_123_457.0,
                    118.25,
                    2043.5,
                    List.of(
                            new LearnedNode(0xabcdL, 1_795_999_000_001.5, 17.25, 301.75, 12.5, 48.625, 3.5, 250.25),
                            new LearnedNode(7, 1_795_000_000_002.25, 21.5, 402.125, 9.75, 61.5, 0.25, 1800.5),
                            new LearnedNode(-3, 1_794_000_000_003.75, 4.75, 88.5, 1.25, 733.0, 6.125, 0.5)),
                    List.of(
                            new LearnedVolume(0x1122334455667788L, 2, 5, 0.375, 140.5, 33.25, 71.75),
                            new LearnedVolume(-9, 1, 3, 0.625, 19.5, 7.125, 250.875))));

    @TempDir
    Path folder;

    @Test
    void storeReadsEveryFieldOfTheStoredSnapshot() throws Exception {
        StoredFiles.copyFolder(FOLDER, folder);
        try (SnapshotStore store = new SnapshotStore(new DiskFolder(folder))) {
            assertEquals(new SnapshotStore.OpenResult(STORED, List.of()), store.open());
        }
    }

    @Test
    void encodingTheSnapshotGivesTheStoredBytes() throws Exception {
        assertArrayEquals(StoredFiles.read(FOLDER + "/" + FILE), SnapshotFormat.encode(STORED));
    }
}
