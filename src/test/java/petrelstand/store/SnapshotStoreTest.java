package petrelstand.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.decision.Scheduling.LearnedNode;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.LearnedVolume;
import petrelstand.state.Snapshot;
import petrelstand.state.SnapshotFiles;

/** Guards against losing or misreading snapshots after a crash, damage, or interference with the folder. */
class SnapshotStoreTest {
    @TempDir
    Path folder;

    /** Returns a snapshot that is identified by its time. */
    static Snapshot snapshot(int number) {
        List<LearnedNode> nodes = new ArrayList<>();
        List<LearnedVolume> volumes = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            nodes.add(new LearnedNode(i, i * 7, number, i, 3 + i / 10.0, 50 + i, 0, i % 5));
            volumes.add(new LearnedVolume(-i, 0, 1 + i % 3, 0.5, number, i, 2));
        }
        return new Snapshot("n1", 42, 0, number, number % 2 == 0, new LearnedState(number, number, 1, nodes, volumes));
    }

    private static Snapshot withGeneration(Snapshot snapshot, long generation) {
        return new Snapshot(
                snapshot.gateway(),
                snapshot.settingsFingerprint(),
                generation,
                snapshot.wallMs(),
                snapshot.cleanShutdown(),
                snapshot.learned());
    }

    @Test
    void encodedSnapshotRoundTrips() throws Exception {
        Snapshot written = withGeneration(snapshot(3), 9);
        assertEquals(written, SnapshotFormat.decode(SnapshotFormat.encode(written)));
    }

    /** Simulates a power loss before each step of eight writes, with every resulting state of the disk. */
    @Test
    void crashAtAnyStepKeepsTheLastOrThePreviousSnapshot() throws Exception {
        int tried = 0;
        boolean crashed = true;
        for (int crashStep = 0; crashed; crashStep++) {
            SimFolder disk = new SimFolder();
            disk.failBeforeStep = crashStep;
            int lastCompleted = 0;
            int started = 0;
            try {
                SnapshotStore store = new SnapshotStore(disk);
                assertNotNull(store.open());
                for (started = 1; started <= 8; started++) {
                    store.write(snapshot(started));
                    lastCompleted = started;
                }
                crashed = false;
            } catch (SimFolder.PowerLoss e) {
                // The disk is checked below.
            }
            for (int subset = 0; subset < disk.crashOutcomes(); subset++) {
                for (int loss = 0; loss < SimFolder.LOSS_MODES; loss++) {
                    SimFolder found = disk.afterCrash(subset, loss);
                    SnapshotStore store = new SnapshotStore(found);
                    Snapshot newest = store.open().newest();
                    long number = newest == null ? 0 : newest.wallMs();
                    assertTrue(
                            number == lastCompleted || number == started,
                            "crash before step " + crashStep + ", subset " + subset + ", loss " + loss + ": " + number
                                    + " of " + lastCompleted + " or " + started);
                    if (number > 0) {
                        assertEquals(withGeneration(snapshot((int) number), number), newest);
                    }
                    // Writing continues from there.
                    store.write(snapshot(50));
                    assertEquals(50, new SnapshotStore(found).open().newest().wallMs());
                    tried++;
                }
            }
        }
        assertTrue(tried > 500, "only " + tried + " cases were tried");
    }

    /** Shows that the simulated disk detects a missing sync. */
    @Test
    void simulatedDiskLosesUnsyncedSnapshots() throws Exception {
        SimFolder disk = new SimFolder() {
            @Override
            public void sync(String name) {}
        };
        new SnapshotStore(disk).write(snapshot(1));
        boolean lost = false;
        for (int loss = 0; loss < SimFolder.LOSS_MODES; loss++) {
            lost |= new SnapshotStore(disk.afterCrash(disk.crashOutcomes() - 1, loss))
                            .open()
                            .newest()
                    == null;
        }
        assertTrue(lost);
    }

    @Test
    void rejectsEveryChangedByteAndEveryTruncation() throws Exception {
        byte[] valid = SnapshotFormat.encode(withGeneration(snapshot(1), 1));
        for (int index = 0; index < valid.length; index++) {
            for (int flip : new int[] {1, 0x80, 0xff}) {
                byte[] damaged = valid.clone();
                damaged[index] ^= (byte) flip;
                FileFormatException fault =
                        assertThrows(FileFormatException.class, () -> SnapshotFormat.decode(damaged));
                assertTrue(fault.offset() >= 0
                        && fault.offset() <= valid.length
                        && !fault.getMessage().contains("\n"));
            }
            byte[] truncated = Arrays.copyOf(valid, index);
            assertThrows(FileFormatException.class, () -> SnapshotFormat.decode(truncated));
        }
        assertThrows(FileFormatException.class, () -> SnapshotFormat.decode(Arrays.copyOf(valid, valid.length + 1)));
    }

    /** Guards against trusting content because its checksum is right. */
    @Test
    void rejectsInvalidContentWithAValidChecksum() throws Exception {
        byte[] valid = SnapshotFormat.encode(withGeneration(snapshot(1), 1));
        byte[] payload =
                Arrays.copyOfRange(valid, SnapshotFormat.HEADER_BYTES, valid.length - SnapshotFormat.TRAILER_BYTES);
        assertRejected(SnapshotFormat.encodeFile(2, payload), "offset 8: version 2 is newer than 1");
        assertRejected(SnapshotFormat.encodeFile(0, payload), "offset 8: version 0 is older than 1");
        assertRejected(SnapshotFormat.encodeFile(1, new byte[0]), "expected an array");
        assertRejected(SnapshotFormat.encodeFile(1, Arrays.copyOf(payload, payload.length - 1)), "offset");
        assertRejected(
                SnapshotFormat.encodeFile(1, Arrays.copyOf(payload, payload.length + 1)), "unexpected data follows");
        assertRejected(SnapshotFormat.encode(with(new LearnedNode(1, 0, Double.NaN, 1, 1, 1, 0, 0))), "a node's slots");
        assertRejected(
                SnapshotFormat.encode(with(new LearnedNode(1, 0, 1, 1, 1, Double.POSITIVE_INFINITY, 0, 0))),
                "a node's latency");
        assertRejected(SnapshotFormat.encodeFile(1, nodes(1_000_000 / 8)), "there are more than 4096 nodes");
        assertRejected(new byte[SnapshotFormat.MAX_FILE_BYTES + 1], "the file is longer than");
        assertRejected(
                "this is a text and not a state file".getBytes(java.nio.charset.StandardCharsets.US_ASCII),
                "offset 0: this is not a state file");
    }

    private static Snapshot with(LearnedNode node) {
        return new Snapshot("n1", 42, 1, 1, true, new LearnedState(1, 1, 1, List.of(node), List.of()));
    }

    private static byte[] nodes(int count) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (CBORGenerator out = new CBORFactory().createGenerator(bytes)) {
            out.writeStartArray(null, 9);
            out.writeString("n1");
            for (long head : new long[] {42, 1, 1}) {
                out.writeNumber(head);
            }
            out.writeBoolean(true);
            out.writeNumber(1.0);
            out.writeNumber(1.0);
            out.writeStartArray(null, count);
            for (int i = 0; i < count; i++) {
                out.writeStartArray(null, 8);
                out.writeNumber(i);
                for (int field = 0; field < 7; field++) {
                    out.writeNumber(1.0f);
                }
                out.writeEndArray();
                if (bytes.size() > SnapshotFormat.MAX_FILE_BYTES - 100_000) {
                    break;
                }
            }
            out.flush();
        } catch (IOException e) {
            // Closing fails, since the array has fewer elements than announced.
        }
        return Arrays.copyOf(bytes.toByteArray(), Math.min(bytes.size(), SnapshotFormat.MAX_FILE_BYTES - 1000));
    }

    private static void assertRejected(byte[] file, String reason) {
        String message = assertThrows(FileFormatException.class, () -> SnapshotFormat.decode(file), reason)
                .getMessage();
        assertTrue(message.contains(reason), message + " should contain: " + reason);
    }

    @Test
    void rejectedFilesStayAndTheOlderSnapshotIsUsed() throws Exception {
        Path older = folder.resolve(SnapshotFiles.fileName(1));
        try (SnapshotStore store = new SnapshotStore(new DiskFolder(folder))) {
            store.open();
            store.write(snapshot(1));
            store.write(snapshot(2));
        }
        Path newer = Files.write(folder.resolve(SnapshotFiles.fileName(3)), SnapshotFormat.encodeFile(7, new byte[9]));
        Path torn =
                Files.write(folder.resolve(SnapshotFiles.fileName(4)), Arrays.copyOf(Files.readAllBytes(older), 100));
        Path link = Files.createSymbolicLink(folder.resolve(SnapshotFiles.fileName(5)), older);
        Files.writeString(folder.resolve(SnapshotFiles.temporaryFileName(6)), "half");
        try (SnapshotStore store = new SnapshotStore(new DiskFolder(folder))) {
            SnapshotStore.OpenResult found = store.open();
            assertEquals(2, found.newest().wallMs());
            assertEquals(3, found.rejected().size(), found.rejected().toString());
            assertTrue(
                    found.rejected().get(2).contains("version 7 is newer than 1"),
                    found.rejected().toString());
            for (int i = 10; i < 14; i++) {
                store.write(snapshot(i));
            }
        }
        assertTrue(Files.exists(newer) && Files.exists(torn) && Files.isSymbolicLink(link));
        assertTrue(Files.notExists(older) && Files.notExists(folder.resolve(SnapshotFiles.temporaryFileName(6))));
        assertTrue(Files.exists(folder.resolve(SnapshotFiles.fileName(8)))
                && Files.exists(folder.resolve(SnapshotFiles.fileName(9))));
        assertEquals(
                "rw-------",
                PosixFilePermissions.toString(
                        Files.getPosixFilePermissions(folder.resolve(SnapshotFiles.fileName(9)))));
    }

    @Test
    void symbolicLinksAreNotFollowed() throws Exception {
        Path precious = Files.writeString(folder.resolve("precious"), "keep me");
        Path state = folder.resolve("state");
        try (SnapshotStore store = new SnapshotStore(new DiskFolder(state))) {
            store.open();
            Files.createSymbolicLink(state.resolve(SnapshotFiles.temporaryFileName(1)), precious);
            Files.createSymbolicLink(state.resolve(SnapshotFiles.fileName(1)), precious);
            store.write(snapshot(1));
        }
        assertEquals("keep me", Files.readString(precious));
        assertTrue(
                Files.isRegularFile(state.resolve(SnapshotFiles.fileName(1)), java.nio.file.LinkOption.NOFOLLOW_LINKS));
        Path other = Files.createDirectory(folder.resolve("other"));
        Files.createSymbolicLink(other.resolve(DiskFolder.LOCK_FILE_NAME), precious);
        assertThrows(IOException.class, () -> new SnapshotStore(new DiskFolder(other)).open());
    }

    @Test
    void secondStoreOnOneFolderIsRejected() throws Exception {
        try (SnapshotStore first = new SnapshotStore(new DiskFolder(folder));
                SnapshotStore second = new SnapshotStore(new DiskFolder(folder))) {
            assertNotNull(first.open());
            assertNull(second.open());
            first.write(snapshot(1));
        }
        try (SnapshotStore third = new SnapshotStore(new DiskFolder(folder))) {
            assertEquals(1, third.open().newest().wallMs());
        }
    }

    @Test
    void replacedFolderIsNotWrittenTo() throws Exception {
        Path state = folder.resolve("state");
        try (SnapshotStore store = new SnapshotStore(new DiskFolder(state))) {
            store.open();
            Files.move(state, folder.resolve("moved"));
            assertThrows(IOException.class, () -> store.write(snapshot(1)));
            Files.createDirectory(state);
            Files.writeString(state.resolve(DiskFolder.LOCK_FILE_NAME), "");
            assertTrue(assertThrows(IOException.class, () -> store.write(snapshot(1)))
                    .getMessage()
                    .contains("not the one that was locked"));
        }
    }
}
