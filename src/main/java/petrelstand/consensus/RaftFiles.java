package petrelstand.consensus;

import com.fasterxml.jackson.core.JsonToken;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import petrelstand.cbor.CborReader;
import petrelstand.store.FileFormatException;
import petrelstand.store.Folder;
import petrelstand.store.SnapshotFormat;

/**
 * A voter's files. Each flush writes a small numbered file and syncs it before the voter sends anything that depends on
 * it. After {@link #MAX_FILES} files a base file with the complete state replaces them. A truncated last file was never
 * acted on and is deleted; damage in any other file, or a missing number, is an error, since a voter that lost a vote
 * could vote twice. The highest number is the generation, by which an old copy of the folder is detected.
 */
public final class RaftFiles implements RaftStore {
    /** Files that are written before a base file replaces them. */
    static final int MAX_FILES = 64;

    private static final int MAX_FILE_BYTES = 8 << 20;
    private static final int MAX_FOLDER_ENTRIES = 10_000;
    private static final int MAX_RECORDS = 1 << 20;
    private static final byte[] MAGIC = "PSVOTE1\n".getBytes(StandardCharsets.US_ASCII);
    private static final int CHECKSUM_BYTES = 4;
    // Kinds of records in a file.
    private static final int ENDPOINT = 1,
            MEMBERS = 2,
            TERM = 3,
            ENTRY = 4,
            CHUNK = 5,
            TRUNCATE_FROM = 6,
            TRUNCATE_UNTIL = 7,
            DELETE_SNAPSHOT = 8,
            BASE = 9;

    private final Folder folder;
    private final Consumer<String> log;
    private final List<WireCodec.ArrayBody> unflushedRecords = new ArrayList<>();
    private long generation;
    private int fileCount;
    // The state that the files hold, from which a base file is written.
    private String endpoint;
    private boolean voting;
    private RaftGroupMembersView members;
    private int term;
    private String votedFor;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();

    /**
     * Locks and reads a folder.
     *
     * @param log takes a line for the operator
     * @throws IOException if the folder can't be read or another process has locked it
     * @throws FileFormatException if a file is damaged or missing; the message names the file
     */
    public RaftFiles(Folder folder, Consumer<String> log) throws IOException, FileFormatException {
        this.folder = folder;
        this.log = log;
        if (!folder.tryLock()) {
            throw new IOException("the folder is locked by another process");
        }
        read();
    }

    private static String fileName(long number) {
        return String.format("vote-%012d", number);
    }

    private void read() throws IOException, FileFormatException {
        List<Long> numbers = new ArrayList<>();
        for (String name : folder.list(MAX_FOLDER_ENTRIES)) {
            if (name.matches("vote-[0-9]{12}")) {
                numbers.add(Long.parseLong(name.substring("vote-".length())));
            }
        }
        numbers.sort(null);
        List<byte[]> contents = new ArrayList<>();
        for (long number : numbers) {
            contents.add(folder.read(fileName(number), MAX_FILE_BYTES));
        }
        // Files before the last valid base file are obsolete; a crash may have left some of them undeleted.
        int first = numbers.size();
        while (first > 0 && !isBaseFile(contents.get(first - 1))) {
            first--;
        }
        first = Math.max(0, first - 1);
        for (int i = 0; i < first; i++) {
            folder.delete(fileName(numbers.get(i)));
        }
        for (int i = first; i < numbers.size(); i++) {
            long number = numbers.get(i);
            if (number != (i > first ? generation + 1 : isBaseFile(contents.get(i)) ? number : 1)) {
                throw new FileFormatException(
                        0,
                        "a file before " + fileName(number) + " is missing; this voter does not vote with a"
                                + " damaged folder");
            }
            try {
                applyFile(contents.get(i));
            } catch (IOException e) {
                if (i < numbers.size() - 1) {
                    throw new FileFormatException(
                            0,
                            fileName(number) + ": " + e.getMessage()
                                    + "; this voter does not vote with a damaged folder");
                }
                log.accept(fileName(number) + " was not finished and is deleted: " + e.getMessage());
                folder.delete(fileName(number));
                break;
            }
            fileCount++;
            generation = number;
        }
    }

    /** Whether a file is valid and holds the complete state, so that the files before it are obsolete. */
    private static boolean isBaseFile(byte[] content) {
        try (CborReader reader = verifiedPayload(content)) {
            reader.expect(JsonToken.START_ARRAY);
            reader.expect(JsonToken.START_ARRAY);
            reader.expect(JsonToken.START_ARRAY);
            return reader.readNonNegativeInt() == BASE;
        } catch (IOException e) {
            return false;
        }
    }

    private static CborReader verifiedPayload(byte[] content) throws IOException {
        int payloadLength = content.length - MAGIC.length - CHECKSUM_BYTES;
        if (payloadLength < 0
                || !Arrays.equals(content, 0, MAGIC.length, MAGIC, 0, MAGIC.length)
                || ByteBuffer.wrap(content).getInt(content.length - CHECKSUM_BYTES)
                        != SnapshotFormat.checksum(content, 0, content.length - CHECKSUM_BYTES)) {
            throw new IOException("it is truncated, or its checksum does not match");
        }
        return new CborReader(Arrays.copyOfRange(content, MAGIC.length, MAGIC.length + payloadLength));
    }

    private void applyFile(byte[] content) throws IOException {
        try (CborReader reader = verifiedPayload(content)) {
            reader.expect(JsonToken.START_ARRAY);
            reader.readList(MAX_RECORDS, () -> {
                int kind = reader.readNonNegativeInt();
                applyRecord(reader, kind);
                return kind;
            });
            reader.expect(JsonToken.END_ARRAY);
            reader.expectEnd();
        }
    }

    private void applyRecord(CborReader reader, int kind) throws IOException {
        switch (kind) {
            case ENDPOINT -> {
                endpoint = reader.readText(WireCodec.MAX_NAME_CHARS);
                voting = reader.readBoolean();
            }
            case MEMBERS -> members = WireCodec.readMembers(reader);
            case TERM -> {
                term = reader.readNonNegativeInt();
                String candidate = reader.readText(WireCodec.MAX_NAME_CHARS);
                votedFor = candidate.isEmpty() ? null : candidate;
            }
            case ENTRY -> {
                LogEntry entry = WireCodec.readEntry(reader);
                entries.put(entry.getIndex(), entry);
            }
            case CHUNK -> {
                SnapshotChunk chunk = WireCodec.readChunk(reader);
                chunks.computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>())
                        .put(chunk.getSnapshotChunkIndex(), chunk);
            }
            case TRUNCATE_FROM -> entries.tailMap(reader.readLong(), true).clear();
            case TRUNCATE_UNTIL -> entries.headMap(reader.readLong(), true).clear();
            case DELETE_SNAPSHOT -> chunks.remove(reader.readLong());
            case BASE -> {
                entries.clear();
                chunks.clear();
            }
            default -> throw new IOException("unknown record kind " + kind);
        }
    }

    /** The number of the last file, which increases with each write; 0 for an empty folder. */
    public long generation() {
        return generation;
    }

    /** The state that the folder holds, or null if it holds none. */
    public RestoredRaftState restoredState() {
        if (endpoint == null || members == null) {
            return null;
        }
        RaftEndpointPersistentState endpointState = WireCodec.MODEL
                .createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(new VoterEndpoint(endpoint))
                .setVoting(voting)
                .build();
        RaftTermPersistentState termState = WireCodec.MODEL
                .createRaftTermPersistentStateBuilder()
                .setTerm(term)
                .setVotedFor(votedFor == null ? null : new VoterEndpoint(votedFor))
                .build();
        SnapshotEntry snapshot = null;
        for (TreeMap<Integer, SnapshotChunk> snapshotChunks : chunks.values()) {
            SnapshotChunk first = snapshotChunks.firstEntry().getValue();
            if (snapshotChunks.size() == first.getSnapshotChunkCount()) {
                snapshot = WireCodec.MODEL
                        .createSnapshotEntryBuilder()
                        .setIndex(first.getIndex())
                        .setTerm(first.getTerm())
                        .setSnapshotChunks(new ArrayList<>(snapshotChunks.values()))
                        .setGroupMembersView(first.getGroupMembersView())
                        .build();
            }
        }
        long snapshotIndex = snapshot == null ? 0 : snapshot.getIndex();
        return new RestoredRaftState(
                endpointState,
                members,
                termState,
                snapshot,
                new ArrayList<>(entries.tailMap(snapshotIndex, false).values()));
    }

    private void addRecord(int kind, WireCodec.ArrayBody body) {
        unflushedRecords.add(generator -> {
            generator.writeStartArray();
            generator.writeNumber(kind);
            body.write(generator);
            generator.writeEndArray();
        });
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        endpoint = String.valueOf(state.getLocalEndpoint().getId());
        voting = state.isVoting();
        addRecord(ENDPOINT, endpointBody());
        flush();
    }

    private WireCodec.ArrayBody endpointBody() {
        String name = endpoint;
        boolean isVoting = voting;
        return generator -> {
            generator.writeString(name);
            generator.writeBoolean(isVoting);
        };
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView view) throws IOException {
        members = view;
        addRecord(MEMBERS, generator -> WireCodec.write(generator, view));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        term = state.getTerm();
        RaftEndpoint candidate = state.getVotedFor();
        votedFor = candidate == null ? null : String.valueOf(candidate.getId());
        addRecord(TERM, termBody());
        flush();
    }

    private WireCodec.ArrayBody termBody() {
        int currentTerm = term;
        String candidate = votedFor == null ? "" : votedFor;
        return generator -> {
            generator.writeNumber(currentTerm);
            generator.writeString(candidate);
        };
    }

    @Override
    public void persistLogEntries(List<LogEntry> newEntries) {
        for (LogEntry entry : newEntries) {
            entries.put(entry.getIndex(), entry);
            addRecord(ENTRY, generator -> WireCodec.write(generator, entry));
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        chunks.computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>()).put(chunk.getSnapshotChunkIndex(), chunk);
        addRecord(CHUNK, generator -> WireCodec.write(generator, chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) {
        entries.tailMap(index, true).clear();
        addRecord(TRUNCATE_FROM, generator -> generator.writeNumber(index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        entries.headMap(index, true).clear();
        addRecord(TRUNCATE_UNTIL, generator -> generator.writeNumber(index));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        chunks.remove(index);
        addRecord(DELETE_SNAPSHOT, generator -> generator.writeNumber(index));
    }

    /** Returns once all records are synced to disk; if this fails, the voter must send nothing that depends on them. */
    @Override
    public void flush() throws IOException {
        if (unflushedRecords.isEmpty()) {
            return;
        }
        if (fileCount >= MAX_FILES && endpoint != null && members != null) {
            writeBaseFile();
            return;
        }
        writeFile(unflushedRecords);
        fileCount++;
    }

    /** Atomically replaces the stored state by a snapshot, a term and a group of members. */
    void reset(String voter, RaftGroupMembersView view, int newTerm, long index, List<byte[]> snapshotChunks)
            throws IOException {
        entries.clear();
        chunks.clear();
        unflushedRecords.clear();
        endpoint = voter;
        voting = true;
        members = view;
        term = newTerm;
        votedFor = null;
        for (int i = 0; i < snapshotChunks.size(); i++) {
            chunks.computeIfAbsent(index, n -> new TreeMap<>())
                    .put(
                            i,
                            WireCodec.MODEL
                                    .createSnapshotChunkBuilder()
                                    .setIndex(index)
                                    .setTerm(newTerm)
                                    .setSnapshotChunkIndex(i)
                                    .setSnapshotChunkCount(snapshotChunks.size())
                                    .setOperation(snapshotChunks.get(i))
                                    .setGroupMembersView(view)
                                    .build());
        }
        writeBaseFile();
        folder.syncDirectory();
    }

    private void writeFile(List<WireCodec.ArrayBody> records) throws IOException {
        byte[] payload = WireCodec.encodeArray(generator -> {
            generator.writeStartArray();
            for (WireCodec.ArrayBody record : records) {
                record.write(generator);
            }
            generator.writeEndArray();
        });
        ByteBuffer file = ByteBuffer.allocate(MAGIC.length + payload.length + CHECKSUM_BYTES);
        file.put(MAGIC).put(payload);
        file.putInt(SnapshotFormat.checksum(file.array(), 0, MAGIC.length + payload.length));
        String name = fileName(generation + 1);
        folder.create(name, file.array());
        folder.sync(name);
        folder.syncDirectory();
        generation++;
        unflushedRecords.clear();
    }

    private void writeBaseFile() throws IOException {
        long lastObsolete = generation;
        List<WireCodec.ArrayBody> records = new ArrayList<>(List.of(generator -> {
            generator.writeStartArray();
            generator.writeNumber(BASE);
            generator.writeEndArray();
        }));
        List<WireCodec.ArrayBody> previouslyUnflushed = new ArrayList<>(unflushedRecords);
        unflushedRecords.clear();
        addRecord(ENDPOINT, endpointBody());
        addRecord(MEMBERS, generator -> WireCodec.write(generator, members));
        addRecord(TERM, termBody());
        entries.values().forEach(entry -> addRecord(ENTRY, generator -> WireCodec.write(generator, entry)));
        chunks.values()
                .forEach(snapshotChunks -> snapshotChunks
                        .values()
                        .forEach(chunk -> addRecord(CHUNK, generator -> WireCodec.write(generator, chunk))));
        records.addAll(unflushedRecords);
        unflushedRecords.clear();
        unflushedRecords.addAll(previouslyUnflushed);
        writeFile(records);
        fileCount = 1;
        for (long number = lastObsolete; number > 0 && number > lastObsolete - 2 * MAX_FILES; number--) {
            folder.delete(fileName(number));
        }
    }
}
