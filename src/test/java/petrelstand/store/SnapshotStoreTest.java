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
import petrelstand.state.SnapshotFiles;
import petrelstand.state.Snapshot;

/** Files that are never half written, on a disk that loses, tears and reorders, and on a real one. */
class SnapshotStoreTest {
    @TempDir
    Path folder;

    /** A snapshot that tells which one it is. */
    static Snapshot snapshot(int number) {
        List<LearnedNode> nodes = new ArrayList<>();
        List<LearnedVolume> volumes = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            nodes.add(new LearnedNode(i, i * 7, number, i, 3 + i / 10.0, 50 + i, 0, i % 5));
            volumes.add(new LearnedVolume(-i, 0, 1 + i % 3, 0.5, number, i, 2));
        }
        return new Snapshot("n1", 42, 0, number, number % 2 == 0, new LearnedState(number, number, 1, nodes, volumes));
    }

    private static Snapshot same(Snapshot of, long generation) {
        return new Snapshot(of.gateway(), of.settingsFingerprint(), generation, of.wallMs(), of.cleanShutdown(), of.learned());
    }

    @Test
    void whatIsWrittenIsReadBack() throws Exception {
        Snapshot written = same(snapshot(3), 9);
        assertEquals(written, SnapshotFormat.decode(SnapshotFormat.encode(written)));
    }

    /**
     * Every step of eight writes is a place for the power to fail, and then every way in which that leaves the disk.
     */
    @Test
    void aCutAtAnyStepLeavesTheLastSnapshotOrTheOneBefore() throws Exception {
        int tried = 0;
        boolean goesOn = true;
        for (int cut = 0; goesOn; cut++) {
            SimFolder disk = new SimFolder();
            disk.failBeforeStep = cut;
            int durable = 0;
            int begun = 0;
            try {
                SnapshotStore store = new SnapshotStore(disk);
                assertNotNull(store.open());
                for (begun = 1; begun <= 8; begun++) {
                    store.write(snapshot(begun));
                    durable = begun;
                }
                goesOn = false;
            } catch (SimFolder.PowerLoss e) {
                // The disk is looked at below.
            }
            for (int subset = 0; subset < disk.crashOutcomes(); subset++) {
                for (int loss = 0; loss < SimFolder.LOSS_MODES; loss++) {
                    SimFolder found = disk.afterCrash(subset, loss);
                    SnapshotStore store = new SnapshotStore(found);
                    Snapshot newest = store.open().newest();
                    long number = newest == null ? 0 : newest.wallMs();
                    assertTrue(
                            number == durable || number == begun,
                            "cut " + cut + ", subset " + subset + ", loss " + loss + ": " + number + " of " + durable
                                    + " or " + begun);
                    if (number > 0) {
                        assertEquals(same(snapshot((int) number), number), newest);
                    }
                    // And it can be written on from there.
                    store.write(snapshot(50));
                    assertEquals(50, new SnapshotStore(found).open().newest().wallMs());
                    tried++;
                }
            }
        }
        assertTrue(tried > 500, "only " + tried + " ways were tried");
    }

    /** The test above finds a store that skips a sync: without it, its promise does not hold. */
    @Test
    void aStoreWithoutSyncsIsFoundOut() throws Exception {
        SimFolder disk = new SimFolder() {
            @Override
            public void sync(String name) {}
        };
        new SnapshotStore(disk).write(snapshot(1));
        boolean lost = false;
        for (int loss = 0; loss < SimFolder.LOSS_MODES; loss++) {
            lost |= new SnapshotStore(disk.afterCrash(disk.crashOutcomes() - 1, loss)).open().newest() == null;
        }
        assertTrue(lost);
    }

    @Test
    void everyByteFlippedAndEveryLengthCutIsRefused() throws Exception {
        byte[] good = SnapshotFormat.encode(same(snapshot(1), 1));
        for (int at = 0; at < good.length; at++) {
            for (int flip : new int[] {1, 0x80, 0xff}) {
                byte[] bad = good.clone();
                bad[at] ^= (byte) flip;
                FileFormatException fault = assertThrows(FileFormatException.class, () -> SnapshotFormat.decode(bad));
                assertTrue(fault.offset() >= 0
                        && fault.offset() <= good.length
                        && !fault.getMessage().contains("\n"));
            }
            byte[] cut = Arrays.copyOf(good, at);
            assertThrows(FileFormatException.class, () -> SnapshotFormat.decode(cut));
        }
        assertThrows(FileFormatException.class, () -> SnapshotFormat.decode(Arrays.copyOf(good, good.length + 1)));
    }

    /** A checksum that fits does not make nonsense sense. */
    @Test
    void nonsenseThatIsWellFormedIsRefusedWithItsPlace() throws Exception {
        byte[] good = SnapshotFormat.encode(same(snapshot(1), 1));
        byte[] payload = Arrays.copyOfRange(good, SnapshotFormat.HEADER_BYTES, good.length - SnapshotFormat.TRAILER_BYTES);
        refused(SnapshotFormat.encodeFile(2, payload), "offset 8: version 2 is newer than 1");
        refused(SnapshotFormat.encodeFile(0, payload), "offset 8: version 0 is older than 1");
        refused(SnapshotFormat.encodeFile(1, new byte[0]), "a list is wanted here");
        refused(SnapshotFormat.encodeFile(1, Arrays.copyOf(payload, payload.length - 1)), "offset");
        refused(SnapshotFormat.encodeFile(1, Arrays.copyOf(payload, payload.length + 1)), "something follows");
        refused(SnapshotFormat.encode(with(new LearnedNode(1, 0, Double.NaN, 1, 1, 1, 0, 0))), "a node's slots");
        refused(
                SnapshotFormat.encode(with(new LearnedNode(1, 0, 1, 1, 1, Double.POSITIVE_INFINITY, 0, 0))),
                "a node's latency");
        refused(SnapshotFormat.encodeFile(1, nodes(1_000_000 / 8)), "there are more than 4096 nodes");
        refused(new byte[SnapshotFormat.MAX_FILE_BYTES + 1], "the file is longer than");
        refused(
                "this is a text and not a state file".getBytes(java.nio.charset.StandardCharsets.US_ASCII),
                "offset 0: this is not a state file");
    }

    private static Snapshot with(LearnedNode node) {
        return new Snapshot("n1", 42, 1, 1, true, new LearnedState(1, 1, 1, List.of(node), List.of()));
    }

    private static byte[] nodes(int count) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (CBORGenerator to = new CBORFactory().createGenerator(bytes)) {
            to.writeStartArray(null, 9);
            to.writeString("n1");
            for (long head : new long[] {42, 1, 1}) {
                to.writeNumber(head);
            }
            to.writeBoolean(true);
            to.writeNumber(1.0);
            to.writeNumber(1.0);
            to.writeStartArray(null, count);
            for (int i = 0; i < count; i++) {
                to.writeStartArray(null, 8);
                to.writeNumber(i);
                for (int field = 0; field < 7; field++) {
                    to.writeNumber(1.0f);
                }
                to.writeEndArray();
                if (bytes.size() > SnapshotFormat.MAX_FILE_BYTES - 100_000) {
                    break;
                }
            }
            to.flush();
        } catch (IOException e) {
            // The list was left open on purpose: its length is what it claims.
        }
        return Arrays.copyOf(bytes.toByteArray(), Math.min(bytes.size(), SnapshotFormat.MAX_FILE_BYTES - 1000));
    }

    private static void refused(byte[] file, String why) {
        String message = assertThrows(FileFormatException.class, () -> SnapshotFormat.decode(file), why)
                .getMessage();
        assertTrue(message.contains(why), message + " should be: " + why);
    }

    @Test
    void whatIsRefusedStaysAndTheOneBeforeIsUsed() throws Exception {
        Path older = folder.resolve(SnapshotFiles.fileName(1));
        try (SnapshotStore store = new SnapshotStore(new DiskFolder(folder))) {
            store.open();
            store.write(snapshot(1));
            store.write(snapshot(2));
        }
        Path newer = Files.write(folder.resolve(SnapshotFiles.fileName(3)), SnapshotFormat.encodeFile(7, new byte[9]));
        Path torn = Files.write(folder.resolve(SnapshotFiles.fileName(4)), Arrays.copyOf(Files.readAllBytes(older), 100));
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
        assertTrue(
                Files.exists(folder.resolve(SnapshotFiles.fileName(8))) && Files.exists(folder.resolve(SnapshotFiles.fileName(9))));
        assertEquals(
                "rw-------",
                PosixFilePermissions.toString(Files.getPosixFilePermissions(folder.resolve(SnapshotFiles.fileName(9)))));
    }

    @Test
    void aLinkPutInTheWayIsNotFollowed() throws Exception {
        Path precious = Files.writeString(folder.resolve("precious"), "keep me");
        Path state = folder.resolve("state");
        try (SnapshotStore store = new SnapshotStore(new DiskFolder(state))) {
            store.open();
            Files.createSymbolicLink(state.resolve(SnapshotFiles.temporaryFileName(1)), precious);
            Files.createSymbolicLink(state.resolve(SnapshotFiles.fileName(1)), precious);
            store.write(snapshot(1));
        }
        assertEquals("keep me", Files.readString(precious));
        assertTrue(Files.isRegularFile(state.resolve(SnapshotFiles.fileName(1)), java.nio.file.LinkOption.NOFOLLOW_LINKS));
        Path other = Files.createDirectory(folder.resolve("other"));
        Files.createSymbolicLink(other.resolve(DiskFolder.LOCK_FILE_NAME), precious);
        assertThrows(IOException.class, () -> new SnapshotStore(new DiskFolder(other)).open());
    }

    @Test
    void theSecondOfTwoOnOneFolderGoesWithout() throws Exception {
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
    void aFolderThatWasReplacedIsNotWrittenTo() throws Exception {
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
