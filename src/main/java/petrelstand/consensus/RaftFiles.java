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
import petrelstand.store.Folder;
import petrelstand.store.SnapshotFormat;
import petrelstand.store.StateFault;

/**
 * A voter's files. Each write is one small file with the next number, synced before the voter says anything that rests
 * on it; once there are {@link #MOST_FILES}, one file takes their place. A last file that is torn was never acted on
 * and is left out; a fault in any other, or a gap in the numbers, is refused: a voter that forgot votes twice. The last
 * number is the store's generation: it tells an old copy of a folder from the one that others have heard.
 */
public final class RaftFiles implements RaftStore {
    /** Files until they are put together. */
    static final int MOST_FILES = 64;

    private static final int MOST_BYTES = 8 << 20;
    private static final int MOST_NAMES = 10_000;
    private static final byte[] MAGIC = "PSVOTE1\n".getBytes(StandardCharsets.US_ASCII);
    private static final int TAIL = 4;
    private static final int ENDPOINT = 1,
            MEMBERS = 2,
            TERM = 3,
            ENTRY = 4,
            CHUNK = 5,
            CUT = 6,
            FORGET = 7,
            DROP = 8,
            WHOLE = 9;

    private final Folder folder;
    private final Consumer<String> log;
    private final List<WireCodec.Body> pending = new ArrayList<>();
    private long generation;
    private int files;
    // What the files say, so that they can be put together.
    private String endpoint;
    private boolean voting;
    private RaftGroupMembersView members;
    private int term;
    private String votedFor;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();

    /** Takes a folder for this process alone and reads it; a fault is one line that names the file. */
    public RaftFiles(Folder folder, Consumer<String> log) throws IOException, StateFault {
        this.folder = folder;
        this.log = log;
        if (!folder.lock()) {
            throw new IOException("another process has the folder");
        }
        read();
    }

    private static String name(long number) {
        return String.format("vote-%012d", number);
    }

    private void read() throws IOException, StateFault {
        List<Long> numbers = new ArrayList<>();
        for (String name : folder.list(MOST_NAMES)) {
            if (name.matches("vote-[0-9]{12}")) {
                numbers.add(Long.parseLong(name.substring("vote-".length())));
            }
        }
        numbers.sort(null);
        List<byte[]> contents = new ArrayList<>();
        for (long number : numbers) {
            contents.add(folder.read(name(number), MOST_BYTES));
        }
        // What a file that is whole in itself stands for is on its way out, and may be there in part.
        int first = numbers.size();
        while (first > 0 && !stands(contents.get(first - 1))) {
            first--;
        }
        first = Math.max(0, first - 1);
        for (int i = 0; i < first; i++) {
            folder.delete(name(numbers.get(i)));
        }
        for (int i = first; i < numbers.size(); i++) {
            long number = numbers.get(i);
            if (number != (i > first ? generation + 1 : stands(contents.get(i)) ? number : 1)) {
                throw new StateFault(
                        0,
                        "a file before " + name(number) + " is missing; this voter does not vote with a"
                                + " damaged folder");
            }
            try {
                take(contents.get(i));
            } catch (IOException e) {
                if (i < numbers.size() - 1) {
                    throw new StateFault(
                            0,
                            name(number) + ": " + e.getMessage() + "; this voter does not vote with a damaged folder");
                }
                log.accept(name(number) + " was not finished and is left out: " + e.getMessage());
                folder.delete(name(number));
                break;
            }
            files++;
            generation = number;
        }
    }

    /** Whether a file is sound and the ones before it can be done without. */
    private static boolean stands(byte[] content) {
        try (CborReader from = payload(content)) {
            from.expect(JsonToken.START_ARRAY);
            from.expect(JsonToken.START_ARRAY);
            from.expect(JsonToken.START_ARRAY);
            return from.readNonNegativeInt() == WHOLE;
        } catch (IOException e) {
            return false;
        }
    }

    private static CborReader payload(byte[] content) throws IOException {
        int payload = content.length - MAGIC.length - TAIL;
        if (payload < 0
                || !Arrays.equals(content, 0, MAGIC.length, MAGIC, 0, MAGIC.length)
                || ByteBuffer.wrap(content).getInt(content.length - TAIL)
                        != SnapshotFormat.checksum(content, 0, content.length - TAIL)) {
            throw new IOException("it ends early, or its checksum is another's");
        }
        return new CborReader(Arrays.copyOfRange(content, MAGIC.length, MAGIC.length + payload));
    }

    /** Takes a file's records in. */
    private void take(byte[] content) throws IOException {
        try (CborReader from = payload(content)) {
            from.expect(JsonToken.START_ARRAY);
            from.readList(1 << 20, () -> {
                int kind = from.readNonNegativeInt();
                record(from, kind);
                return kind;
            });
            from.expect(JsonToken.END_ARRAY);
            from.expectEnd();
        }
    }

    private void record(CborReader from, int kind) throws IOException {
        switch (kind) {
            case ENDPOINT -> {
                endpoint = from.readText(WireCodec.MOST_NAME);
                voting = from.readBoolean();
            }
            case MEMBERS -> members = WireCodec.view(from);
            case TERM -> {
                term = from.readNonNegativeInt();
                String voted = from.readText(WireCodec.MOST_NAME);
                votedFor = voted.isEmpty() ? null : voted;
            }
            case ENTRY -> {
                LogEntry entry = WireCodec.entry(from);
                entries.put(entry.getIndex(), entry);
            }
            case CHUNK -> {
                SnapshotChunk chunk = WireCodec.chunk(from);
                chunks.computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>())
                        .put(chunk.getSnapshotChunkIndex(), chunk);
            }
            case CUT -> entries.tailMap(from.readLong(), true).clear();
            case FORGET -> entries.headMap(from.readLong(), true).clear();
            case DROP -> chunks.remove(from.readLong());
            case WHOLE -> {
                entries.clear();
                chunks.clear();
            }
            default -> throw new IOException("no record has the kind " + kind);
        }
    }

    /** How often it has been written. */
    public long generation() {
        return generation;
    }

    /** What an earlier life left, or null. */
    public RestoredRaftState restoredState() {
        if (endpoint == null || members == null) {
            return null;
        }
        RaftEndpointPersistentState self = WireCodec.MODEL
                .createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(new VoterEndpoint(endpoint))
                .setVoting(voting)
                .build();
        RaftTermPersistentState voted = WireCodec.MODEL
                .createRaftTermPersistentStateBuilder()
                .setTerm(term)
                .setVotedFor(votedFor == null ? null : new VoterEndpoint(votedFor))
                .build();
        SnapshotEntry snapshot = null;
        for (TreeMap<Integer, SnapshotChunk> of : chunks.values()) {
            SnapshotChunk first = of.firstEntry().getValue();
            if (of.size() == first.getSnapshotChunkCount()) {
                snapshot = WireCodec.MODEL
                        .createSnapshotEntryBuilder()
                        .setIndex(first.getIndex())
                        .setTerm(first.getTerm())
                        .setSnapshotChunks(new ArrayList<>(of.values()))
                        .setGroupMembersView(first.getGroupMembersView())
                        .build();
            }
        }
        long from = snapshot == null ? 0 : snapshot.getIndex();
        return new RestoredRaftState(
                self,
                members,
                voted,
                snapshot,
                new ArrayList<>(entries.tailMap(from, false).values()));
    }

    private void add(int kind, WireCodec.Body body) {
        pending.add(to -> {
            to.writeStartArray();
            to.writeNumber(kind);
            body.write(to);
            to.writeEndArray();
        });
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        endpoint = String.valueOf(state.getLocalEndpoint().getId());
        voting = state.isVoting();
        add(ENDPOINT, endpointBody());
        flush();
    }

    private WireCodec.Body endpointBody() {
        String name = endpoint;
        boolean votes = voting;
        return to -> {
            to.writeString(name);
            to.writeBoolean(votes);
        };
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView view) throws IOException {
        members = view;
        add(MEMBERS, to -> WireCodec.write(to, view));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        term = state.getTerm();
        RaftEndpoint voted = state.getVotedFor();
        votedFor = voted == null ? null : String.valueOf(voted.getId());
        add(TERM, termBody());
        flush();
    }

    private WireCodec.Body termBody() {
        int number = term;
        String voted = votedFor == null ? "" : votedFor;
        return to -> {
            to.writeNumber(number);
            to.writeString(voted);
        };
    }

    @Override
    public void persistLogEntries(List<LogEntry> more) {
        for (LogEntry entry : more) {
            entries.put(entry.getIndex(), entry);
            add(ENTRY, to -> WireCodec.write(to, entry));
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        chunks.computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>()).put(chunk.getSnapshotChunkIndex(), chunk);
        add(CHUNK, to -> WireCodec.write(to, chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) {
        entries.tailMap(index, true).clear();
        add(CUT, to -> to.writeNumber(index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        entries.headMap(index, true).clear();
        add(FORGET, to -> to.writeNumber(index));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        chunks.remove(index);
        add(DROP, to -> to.writeNumber(index));
    }

    /** Returns once all is on the disk; where this fails, nothing that rests on it may be said. */
    @Override
    public void flush() throws IOException {
        if (pending.isEmpty()) {
            return;
        }
        if (files >= MOST_FILES && endpoint != null && members != null) {
            putTogether();
            return;
        }
        write(pending);
        files++;
    }

    /** Puts a snapshot, a term and one voter in the place of all that is there, in one step. */
    void reset(String voter, RaftGroupMembersView view, int newTerm, long index, List<byte[]> pieces)
            throws IOException {
        entries.clear();
        chunks.clear();
        pending.clear();
        endpoint = voter;
        voting = true;
        members = view;
        term = newTerm;
        votedFor = null;
        for (int i = 0; i < pieces.size(); i++) {
            chunks.computeIfAbsent(index, n -> new TreeMap<>())
                    .put(
                            i,
                            WireCodec.MODEL
                                    .createSnapshotChunkBuilder()
                                    .setIndex(index)
                                    .setTerm(newTerm)
                                    .setSnapshotChunkIndex(i)
                                    .setSnapshotChunkCount(pieces.size())
                                    .setOperation(pieces.get(i))
                                    .setGroupMembersView(view)
                                    .build());
        }
        putTogether();
        folder.syncNames();
    }

    private void write(List<WireCodec.Body> records) throws IOException {
        byte[] payload = WireCodec.array(to -> {
            to.writeStartArray();
            for (WireCodec.Body record : records) {
                record.write(to);
            }
            to.writeEndArray();
        });
        ByteBuffer file = ByteBuffer.allocate(MAGIC.length + payload.length + TAIL);
        file.put(MAGIC).put(payload);
        file.putInt(SnapshotFormat.checksum(file.array(), 0, MAGIC.length + payload.length));
        String name = name(generation + 1);
        folder.create(name, file.array());
        folder.sync(name);
        folder.syncNames();
        generation++;
        pending.clear();
    }

    private void putTogether() throws IOException {
        long former = generation;
        List<WireCodec.Body> all = new ArrayList<>(List.of(to -> {
            to.writeStartArray();
            to.writeNumber(WHOLE);
            to.writeEndArray();
        }));
        List<WireCodec.Body> kept = new ArrayList<>(pending);
        pending.clear();
        add(ENDPOINT, endpointBody());
        add(MEMBERS, to -> WireCodec.write(to, members));
        add(TERM, termBody());
        entries.values().forEach(entry -> add(ENTRY, to -> WireCodec.write(to, entry)));
        chunks.values().forEach(of -> of.values().forEach(chunk -> add(CHUNK, to -> WireCodec.write(to, chunk))));
        all.addAll(pending);
        pending.clear();
        pending.addAll(kept);
        write(all);
        files = 1;
        for (long number = former; number > 0 && number > former - 2 * MOST_FILES; number--) {
            folder.delete(name(number));
        }
    }
}
