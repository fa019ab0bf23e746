package petrelstand.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.agreement.RegistryCommand;
import petrelstand.agreement.RuleRegistry;
import petrelstand.store.DiskFolder;
import petrelstand.testing.StoredFiles;

/**
 * Guards against a voter that forgets its vote or its log because the files of an earlier version are not read. The
 * folder {@code votes} holds what {@link RaftFiles} made of {@link #writeVotes}; {@code votes-recovered} is a copy of
 * it after {@link #recover}, which puts one file in the place of all.
 */
class StoredVotesCompatibilityTest {
    private static final String FOLDER = "votes";
    private static final String RECOVERED_FOLDER = "votes-recovered";
    private static final String LONG_TEXT = "[limit basic]\nunits = 40 # é\n".repeat(30);

    private static final RaftGroupMembersView FIRST_MEMBERS = RaftLiterals.view(
            0,
            RaftLiterals.names(RaftLiterals.B, RaftLiterals.A, RaftLiterals.C),
            RaftLiterals.names(RaftLiterals.A, RaftLiterals.B));
    private static final RaftGroupMembersView SNAPSHOT_MEMBERS = RaftLiterals.view(
            1, RaftLiterals.names(RaftLiterals.A, RaftLiterals.C), RaftLiterals.names(RaftLiterals.C));
    private static final RaftGroupMembersView RECOVERED_MEMBERS =
            RaftLiterals.view(0, RaftLiterals.names(RaftLiterals.B), RaftLiterals.names(RaftLiterals.B));

    /** A version in each state, and a proposal of which one piece is missing. */
    private static final RuleRegistry.Snapshot BOOK = new RuleRegistry.Snapshot(
            3_000_008,
            3_000_010,
            3_000_011,
            List.of(
                    version(3_000_007, 3_000_001, RuleRegistry.State.PAST, LONG_TEXT),
                    version(3_000_008, 3_000_002, RuleRegistry.State.ACTED_ON, "[limit basic]\nunits = 41\n"),
                    version(3_000_009, 3_000_003, RuleRegistry.State.WITHDRAWN, ""),
                    version(3_000_010, 3_000_004, RuleRegistry.State.WAITS, "[limit basic]\nunits = 43\n")),
            List.of("gateway-a", "gateway-n"),
            new TreeMap<>(Map.of("basic", 3L, "priority", 9L)),
            new LinkedHashMap<>(Map.of(77L, Arrays.asList("first", null, "third"))));

    @TempDir
    Path folder;

    private static RuleRegistry.Version version(long number, long base, RuleRegistry.State state, String text) {
        return new RuleRegistry.Version(
                number,
                base,
                "operator-" + number,
                "reason " + base,
                1_796_000_000_000L + number,
                state,
                List.of(
                        new RegistryCommand.PlanLimit("basic", number - 3_000_000, 3),
                        new RegistryCommand.PlanLimit("priority", 50, 9)),
                text);
    }

    private static LogEntry register(long index, int term) {
        return RaftLiterals.entry(index, term, new RegistryCommand.RegisterGateway("gateway-" + index));
    }

    /** Writes one file a flush. */
    static void writeVotes(RaftFiles files) throws IOException {
        files.persistAndFlushLocalEndpoint(RaftLiterals.MODEL
                .createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(RaftLiterals.B)
                .setVoting(true)
                .build());
        files.persistAndFlushInitialGroupMembers(FIRST_MEMBERS);
        persistTerm(files, 3, RaftLiterals.A);
        files.persistLogEntries(List.of(register(1, 1), register(2, 1), register(3, 1)));
        files.persistLogEntries(RaftLiterals.ENTRIES);
        files.persistLogEntries(List.of(register(12, 8), register(13, 8), register(14, 8)));
        files.flush();
        files.truncateLogEntriesFrom(13);
        files.persistLogEntries(List.of(register(13, 9)));
        files.flush();
        List<byte[]> pieces = WireCodec.encodeSnapshot(BOOK);
        for (int i = 0; i < pieces.size(); i++) {
            files.persistSnapshotChunk(RaftLiterals.chunk(2, 1, i, pieces.size(), pieces.get(i), SNAPSHOT_MEMBERS));
        }
        // One past the snapshot, so that the entries show what was deleted.
        files.truncateLogEntriesUntil(3);
        files.flush();
        // A snapshot that is whole but deleted again.
        files.persistSnapshotChunk(RaftLiterals.chunk(12, 8, 0, 1, new byte[] {1}, SNAPSHOT_MEMBERS));
        files.flush();
        files.deleteSnapshotChunks(12, 1);
        files.flush();
        persistTerm(files, 9, RaftLiterals.C);
    }

    private static void persistTerm(RaftFiles files, int term, VoterEndpoint votedFor) throws IOException {
        files.persistAndFlushTerm(RaftLiterals.MODEL
                .createRaftTermPersistentStateBuilder()
                .setTerm(term)
                .setVotedFor(votedFor)
                .build());
    }

    static void recover(RaftFiles files) throws IOException {
        files.reset("gateway-b", RECOVERED_MEMBERS, 10, 14, List.of(new byte[] {1, 2, -3}, new byte[] {4}));
    }

    /** Opens the store in the folder; its warnings fail the test. */
    private static RaftFiles open(DiskFolder disk) throws Exception {
        List<String> warnings = new ArrayList<>();
        RaftFiles files = new RaftFiles(disk, warnings::add);
        assertEquals(List.of(), warnings);
        return files;
    }

    private static void assertSameFiles(Path expected, Path actual) throws IOException {
        List<Path> files = StoredFiles.files(expected);
        assertEquals(
                files.stream().map(Path::getFileName).toList(),
                StoredFiles.files(actual).stream().map(Path::getFileName).toList());
        for (Path file : files) {
            assertArrayEquals(Files.readAllBytes(file), Files.readAllBytes(actual.resolve(file.getFileName())));
        }
    }

    @Test
    void everyFieldOfTheStoredVotesIsRead() throws Exception {
        StoredFiles.copyFolder(FOLDER, folder);
        try (DiskFolder disk = new DiskFolder(folder)) {
            RaftFiles files = open(disk);
            assertEquals(9, files.generation());
            RestoredRaftState state = files.restoredState();
            assertEquals(RaftLiterals.B, state.getLocalEndpointPersistentState().getLocalEndpoint());
            assertTrue(state.getLocalEndpointPersistentState().isVoting());
            assertEquals(RaftLiterals.fields(FIRST_MEMBERS), RaftLiterals.fields(state.getInitialGroupMembers()));
            assertEquals(9, state.getTermPersistentState().getTerm());
            assertEquals(RaftLiterals.C, state.getTermPersistentState().getVotedFor());
            List<List<Object>> expected = new ArrayList<>();
            RaftLiterals.ENTRIES.forEach(entry -> expected.add(RaftLiterals.fields(entry)));
            expected.add(List.of(12L, 8, new RegistryCommand.RegisterGateway("gateway-12")));
            expected.add(List.of(13L, 9, new RegistryCommand.RegisterGateway("gateway-13")));
            assertEquals(
                    expected,
                    state.getLogEntries().stream().map(RaftLiterals::fields).toList());
        }
    }

    @Test
    void everyFieldOfTheStoredSnapshotIsRead() throws Exception {
        StoredFiles.copyFolder(FOLDER, folder);
        try (DiskFolder disk = new DiskFolder(folder)) {
            SnapshotEntry snapshot = open(disk).restoredState().getSnapshotEntry();
            assertEquals(2, snapshot.getIndex());
            assertEquals(1, snapshot.getTerm());
            assertEquals(RaftLiterals.fields(SNAPSHOT_MEMBERS), RaftLiterals.fields(snapshot.getGroupMembersView()));
            List<Object> contents = new ArrayList<>();
            for (Object part : (List<?>) snapshot.getOperation()) {
                SnapshotChunk chunk = (SnapshotChunk) part;
                byte[] content = (byte[]) chunk.getOperation();
                assertEquals(
                        RaftLiterals.fields(RaftLiterals.chunk(2, 1, contents.size(), 2, content, SNAPSHOT_MEMBERS)),
                        RaftLiterals.fields(chunk));
                contents.add(content);
            }
            assertEquals(2, contents.size());
            assertEquals(BOOK, WireCodec.decodeSnapshot(contents));
        }
    }

    @Test
    void everyFieldOfTheRecoveredVotesIsRead() throws Exception {
        StoredFiles.copyFolder(RECOVERED_FOLDER, folder);
        try (DiskFolder disk = new DiskFolder(folder)) {
            RaftFiles files = open(disk);
            assertEquals(10, files.generation());
            RestoredRaftState state = files.restoredState();
            assertEquals(RaftLiterals.B, state.getLocalEndpointPersistentState().getLocalEndpoint());
            assertTrue(state.getLocalEndpointPersistentState().isVoting());
            assertEquals(RaftLiterals.fields(RECOVERED_MEMBERS), RaftLiterals.fields(state.getInitialGroupMembers()));
            assertEquals(10, state.getTermPersistentState().getTerm());
            assertNull(state.getTermPersistentState().getVotedFor());
            assertEquals(List.of(), state.getLogEntries());
            List<List<Object>> chunks = new ArrayList<>();
            for (Object part : (List<?>) state.getSnapshotEntry().getOperation()) {
                chunks.add(RaftLiterals.fields((SnapshotChunk) part));
            }
            List<Object> members = RaftLiterals.fields(RECOVERED_MEMBERS);
            assertEquals(
                    List.of(List.of(14L, 10, 0, 2, "0102fd", members), List.of(14L, 10, 1, 2, "04", members)), chunks);
        }
    }

    @Test
    void writingTheVotesGivesTheStoredFiles() throws Exception {
        try (DiskFolder disk = new DiskFolder(folder)) {
            RaftFiles files = open(disk);
            writeVotes(files);
            assertSameFiles(StoredFiles.folder(FOLDER), folder);
            recover(files);
            assertSameFiles(StoredFiles.folder(RECOVERED_FOLDER), folder);
        }
    }
}
