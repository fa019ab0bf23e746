package petrelstand.consensus;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import petrelstand.agreement.Command;
import petrelstand.agreement.RuleBook;
import petrelstand.agreement.Talk;
import petrelstand.cbor.CborReader;

/**
 * Parcels, log entries and whole books as CBOR (RFC 8949) by Jackson: one array each, its layout in
 * docs/design/agreement.md. A log entry of the longest command fits one datagram.
 */
public final class Wire {
    static final int VERSION = 1;
    static final String GROUP = "rules";
    static final int MOST_NAME = 64;
    static final int MOST_ADDRESS = 64;
    static final int MOST_CHUNK = 900;
    private static final int MOST_VOTERS = 16;
    private static final int MOST_CHUNKS = 4096;
    private static final CBORFactory CBOR = new CBORFactory();
    static final DefaultRaftModelFactory MODEL = new DefaultRaftModelFactory();

    private Wire() {}

    /** Writes the fields of an array. */
    interface Body {
        void write(CBORGenerator to) throws IOException;
    }

    static byte[] array(Body body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(512);
        try (CBORGenerator to = CBOR.createGenerator(bytes)) {
            to.writeStartArray();
            body.write(to);
            to.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException("an array in memory takes all that is written to it", e);
        }
        return bytes.toByteArray();
    }

    // ---- Parcels ----

    /** The content of a parcel's datagram. */
    public static byte[] encode(Parcel parcel) {
        return array(to -> {
            to.writeNumber(VERSION);
            to.writeString(parcel.fleet());
            to.writeString(parcel.from());
            to.writeString(parcel.address());
            to.writeNumber(parcel.generation());
            to.writeNumber(parcel.epoch());
            if (parcel.raft() != null) {
                write(to, parcel.raft());
            } else {
                write(to, parcel.talk());
            }
        });
    }

    /** Reads a parcel whole; an IOException says that it is malformed, and where. */
    public static Parcel decode(byte[] content) throws IOException {
        try (CborReader from = new CborReader(content)) {
            from.expect(JsonToken.START_ARRAY);
            long version = from.readLong();
            if (version != VERSION) {
                throw new IOException("form " + version + " is not " + VERSION);
            }
            String fleet = from.readText(MOST_NAME);
            String name = from.readText(MOST_NAME);
            String address = from.readText(MOST_ADDRESS);
            long generation = from.readLong();
            long epoch = from.readLong();
            int kind = from.readNonNegativeInt();
            Parcel parcel = kind < 20
                    ? new Parcel(fleet, name, address, generation, epoch, raft(from, kind, new Name(name)), null)
                    : new Parcel(fleet, name, address, generation, epoch, null, talk(from, kind));
            from.expect(JsonToken.END_ARRAY);
            from.expectEnd();
            return parcel;
        }
    }

    private static void write(CBORGenerator to, RaftMessage message) throws IOException {
        int kind = message instanceof AppendEntriesRequest
                ? 1
                : message instanceof AppendEntriesSuccessResponse
                        ? 2
                        : message instanceof AppendEntriesFailureResponse
                                ? 3
                                : message instanceof InstallSnapshotRequest
                                        ? 4
                                        : message instanceof InstallSnapshotResponse
                                                ? 5
                                                : message instanceof PreVoteRequest
                                                        ? 6
                                                        : message instanceof PreVoteResponse
                                                                ? 7
                                                                : message instanceof VoteRequest
                                                                        ? 8
                                                                        : message instanceof VoteResponse ? 9 : 10;
        to.writeNumber(kind);
        to.writeNumber(message.getTerm());
        if (message instanceof AppendEntriesRequest one) {
            to.writeNumber(one.getPreviousLogTerm());
            to.writeNumber(one.getPreviousLogIndex());
            to.writeNumber(one.getCommitIndex());
            to.writeNumber(one.getQuerySequenceNumber());
            to.writeNumber(one.getFlowControlSequenceNumber());
            to.writeStartArray();
            for (LogEntry entry : one.getLogEntries()) {
                to.writeStartArray();
                write(to, entry);
                to.writeEndArray();
            }
            to.writeEndArray();
        } else if (message instanceof AppendEntriesSuccessResponse one) {
            to.writeNumber(one.getLastLogIndex());
            to.writeNumber(one.getQuerySequenceNumber());
            to.writeNumber(one.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse one) {
            to.writeNumber(one.getExpectedNextIndex());
            to.writeNumber(one.getQuerySequenceNumber());
            to.writeNumber(one.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest one) {
            to.writeBoolean(one.isSenderLeader());
            to.writeNumber(one.getSnapshotTerm());
            to.writeNumber(one.getSnapshotIndex());
            to.writeNumber(one.getTotalSnapshotChunkCount());
            to.writeNumber(one.getQuerySequenceNumber());
            to.writeNumber(one.getFlowControlSequenceNumber());
            names(to, one.getSnapshottedMembers());
            write(to, one.getGroupMembersView());
            to.writeStartArray();
            if (one.getSnapshotChunk() != null) {
                to.writeStartArray();
                write(to, one.getSnapshotChunk());
                to.writeEndArray();
            }
            to.writeEndArray();
        } else if (message instanceof InstallSnapshotResponse one) {
            to.writeNumber(one.getSnapshotIndex());
            to.writeNumber(one.getRequestedSnapshotChunkIndex());
            to.writeNumber(one.getQuerySequenceNumber());
            to.writeNumber(one.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest one) {
            to.writeNumber(one.getLastLogTerm());
            to.writeNumber(one.getLastLogIndex());
        } else if (message instanceof PreVoteResponse one) {
            to.writeBoolean(one.isGranted());
        } else if (message instanceof VoteRequest one) {
            to.writeNumber(one.getLastLogTerm());
            to.writeNumber(one.getLastLogIndex());
            to.writeBoolean(one.isSticky());
        } else if (message instanceof VoteResponse one) {
            to.writeBoolean(one.isGranted());
        } else if (message instanceof TriggerLeaderElectionRequest one) {
            to.writeNumber(one.getLastLogTerm());
            to.writeNumber(one.getLastLogIndex());
        }
    }

    private static RaftMessage raft(CborReader from, int kind, Name sender) throws IOException {
        int term = from.readNonNegativeInt();
        return switch (kind) {
            case 1 ->
                MODEL.createAppendEntriesRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setPreviousLogTerm(from.readNonNegativeInt())
                        .setPreviousLogIndex(from.readLong())
                        .setCommitIndex(from.readLong())
                        .setQuerySequenceNumber(from.readLong())
                        .setFlowControlSequenceNumber(from.readLong())
                        .setLogEntries(from.readList(64, () -> entry(from)))
                        .build();
            case 2 ->
                MODEL.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogIndex(from.readLong())
                        .setQuerySequenceNumber(from.readLong())
                        .setFlowControlSequenceNumber(from.readLong())
                        .build();
            case 3 ->
                MODEL.createAppendEntriesFailureResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setExpectedNextIndex(from.readLong())
                        .setQuerySequenceNumber(from.readLong())
                        .setFlowControlSequenceNumber(from.readLong())
                        .build();
            case 4 -> {
                boolean leader = from.readBoolean();
                int snapshotTerm = from.readNonNegativeInt();
                long index = from.readLong();
                int total = from.readNonNegativeInt();
                long query = from.readLong();
                long flow = from.readLong();
                Set<RaftEndpoint> members = names(from);
                RaftGroupMembersView view = view(from);
                List<SnapshotChunk> chunk = from.readList(1, () -> chunk(from));
                yield MODEL.createInstallSnapshotRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setSenderLeader(leader)
                        .setSnapshotTerm(snapshotTerm)
                        .setSnapshotIndex(index)
                        .setTotalSnapshotChunkCount(total)
                        .setSnapshotChunk(chunk.isEmpty() ? null : chunk.get(0))
                        .setSnapshottedMembers(members)
                        .setGroupMembersView(view)
                        .setQuerySequenceNumber(query)
                        .setFlowControlSequenceNumber(flow)
                        .build();
            }
            case 5 ->
                MODEL.createInstallSnapshotResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setSnapshotIndex(from.readLong())
                        .setRequestedSnapshotChunkIndex(from.readNonNegativeInt())
                        .setQuerySequenceNumber(from.readLong())
                        .setFlowControlSequenceNumber(from.readLong())
                        .build();
            case 6 ->
                MODEL.createPreVoteRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(from.readNonNegativeInt())
                        .setLastLogIndex(from.readLong())
                        .build();
            case 7 ->
                MODEL.createPreVoteResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setGranted(from.readBoolean())
                        .build();
            case 8 ->
                MODEL.createVoteRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(from.readNonNegativeInt())
                        .setLastLogIndex(from.readLong())
                        .setSticky(from.readBoolean())
                        .build();
            case 9 ->
                MODEL.createVoteResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setGranted(from.readBoolean())
                        .build();
            case 10 ->
                MODEL.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(from.readNonNegativeInt())
                        .setLastLogIndex(from.readLong())
                        .build();
            default -> throw new IOException("no voters' message has the kind " + kind);
        };
    }

    // ---- What the log and its file hold ----

    static void write(CBORGenerator to, LogEntry entry) throws IOException {
        to.writeNumber(entry.getIndex());
        to.writeNumber(entry.getTerm());
        if (entry.getOperation() instanceof UpdateRaftGroupMembersOp op) {
            to.writeNumber(20);
            names(to, op.getMembers());
            names(to, op.getVotingMembers());
            to.writeString(String.valueOf(op.getEndpoint().getId()));
            to.writeNumber(op.getMode().ordinal());
        } else {
            write(to, (Command) entry.getOperation());
        }
    }

    static LogEntry entry(CborReader from) throws IOException {
        long index = from.readLong();
        int term = from.readNonNegativeInt();
        int kind = from.readNonNegativeInt();
        Object operation = kind == 20
                ? MODEL.createUpdateRaftGroupMembersOpBuilder()
                        .setMembers(names(from))
                        .setVotingMembers(names(from))
                        .setEndpoint(new Name(from.readText(MOST_NAME)))
                        .setMode(mode(from.readNonNegativeInt()))
                        .build()
                : command(from, kind);
        return MODEL.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(operation)
                .build();
    }

    private static MembershipChangeMode mode(int ordinal) throws IOException {
        if (ordinal >= MembershipChangeMode.values().length) {
            throw new IOException("no change of voters is of the kind " + ordinal);
        }
        return MembershipChangeMode.values()[ordinal];
    }

    private static void write(CBORGenerator to, Command command) throws IOException {
        if (command instanceof Command.Term) {
            to.writeNumber(1);
        } else if (command instanceof Command.Part part) {
            to.writeNumber(2);
            to.writeNumber(part.proposal());
            to.writeNumber(part.piece());
            to.writeNumber(part.of());
            to.writeString(part.text());
        } else if (command instanceof Command.Propose one) {
            to.writeNumber(3);
            to.writeNumber(one.proposal());
            to.writeNumber(one.base());
            to.writeString(one.who());
            to.writeString(one.why());
            to.writeNumber(one.wallMs());
            to.writeNumber(one.pieces());
            figures(to, one.figures());
        } else if (command instanceof Command.Activate one) {
            to.writeNumber(4);
            to.writeNumber(one.version());
            to.writeNumber(one.allOf());
        } else if (command instanceof Command.Withdraw one) {
            to.writeNumber(5);
            to.writeNumber(one.version());
            to.writeString(one.who());
            to.writeString(one.why());
        } else if (command instanceof Command.Register one) {
            to.writeNumber(6);
            to.writeString(one.name());
        } else if (command instanceof Command.Forget one) {
            to.writeNumber(7);
            to.writeString(one.name());
        }
    }

    private static Command command(CborReader from, int kind) throws IOException {
        return switch (kind) {
            case 1 -> new Command.Term();
            case 2 ->
                new Command.Part(
                        from.readLong(),
                        from.readNonNegativeInt(),
                        from.readNonNegativeInt(),
                        from.readText(Command.PIECE));
            case 3 ->
                new Command.Propose(
                        from.readLong(),
                        from.readLong(),
                        from.readText(Command.MOST_WHO),
                        from.readText(Command.MOST_WHY),
                        from.readLong(),
                        from.readNonNegativeInt(),
                        figures(from));
            case 4 -> new Command.Activate(from.readLong(), from.readLong());
            case 5 ->
                new Command.Withdraw(from.readLong(), from.readText(Command.MOST_WHO), from.readText(Command.MOST_WHY));
            case 6 -> new Command.Register(from.readText(MOST_NAME));
            case 7 -> new Command.Forget(from.readText(MOST_NAME));
            default -> throw new IOException("no command has the kind " + kind);
        };
    }

    private static void figures(CBORGenerator to, List<Command.Figure> figures) throws IOException {
        to.writeStartArray();
        for (Command.Figure figure : figures) {
            to.writeStartArray();
            to.writeString(figure.plan());
            to.writeNumber(figure.units());
            to.writeNumber(figure.floor());
            to.writeEndArray();
        }
        to.writeEndArray();
    }

    private static List<Command.Figure> figures(CborReader from) throws IOException {
        return from.readList(
                Command.MOST_FIGURES,
                () -> new Command.Figure(from.readText(Command.MOST_NAME), from.readLong(), from.readLong()));
    }

    static void write(CBORGenerator to, SnapshotChunk chunk) throws IOException {
        to.writeNumber(chunk.getIndex());
        to.writeNumber(chunk.getTerm());
        to.writeNumber(chunk.getSnapshotChunkIndex());
        to.writeNumber(chunk.getSnapshotChunkCount());
        to.writeBinary((byte[]) chunk.getOperation());
        write(to, chunk.getGroupMembersView());
    }

    static SnapshotChunk chunk(CborReader from) throws IOException {
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(from.readLong())
                .setTerm(from.readNonNegativeInt())
                .setSnapshotChunkIndex(from.readNonNegativeInt())
                .setSnapshotChunkCount(from.readNonNegativeInt())
                .setOperation(from.readBytes(MOST_CHUNK))
                .setGroupMembersView(view(from))
                .build();
    }

    static void write(CBORGenerator to, RaftGroupMembersView view) throws IOException {
        to.writeNumber(view.getLogIndex());
        names(to, view.getMembers());
        names(to, view.getVotingMembers());
    }

    static RaftGroupMembersView view(CborReader from) throws IOException {
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(from.readLong())
                .setMembers(names(from))
                .setVotingMembers(names(from))
                .build();
    }

    private static void names(CBORGenerator to, Collection<RaftEndpoint> names) throws IOException {
        to.writeStartArray();
        for (RaftEndpoint name : names) {
            to.writeString(String.valueOf(name.getId()));
        }
        to.writeEndArray();
    }

    private static Set<RaftEndpoint> names(CborReader from) throws IOException {
        Set<RaftEndpoint> names = new LinkedHashSet<>();
        from.readTexts(MOST_VOTERS, MOST_NAME).forEach(name -> names.add(new Name(name)));
        return names;
    }

    // ---- Talk ----

    private static void write(CBORGenerator to, Talk talk) throws IOException {
        if (talk instanceof Talk.Renew one) {
            to.writeNumber(21);
            to.writeNumber(one.nonce());
            to.writeNumber(one.life());
            to.writeNumber(one.acting());
            to.writeNumber(one.prepared());
            to.writeString(one.refuses());
        } else if (talk instanceof Talk.Grant one) {
            to.writeNumber(22);
            to.writeNumber(one.nonce());
            to.writeNumber(one.term());
            to.writeNumber(one.active());
            to.writeNumber(one.waiting());
            to.writeBoolean(one.lease());
        } else if (talk instanceof Talk.Elsewhere one) {
            to.writeNumber(23);
            to.writeNumber(one.nonce());
            to.writeString(one.leader());
        } else if (talk instanceof Talk.Hint one) {
            to.writeNumber(24);
            to.writeNumber(one.active());
            to.writeNumber(one.waiting());
        } else if (talk instanceof Talk.Fetch one) {
            to.writeNumber(25);
            to.writeNumber(one.nonce());
            to.writeNumber(one.version());
            to.writeNumber(one.piece());
        } else if (talk instanceof Talk.Piece one) {
            to.writeNumber(26);
            to.writeNumber(one.nonce());
            to.writeNumber(one.version());
            to.writeNumber(one.piece());
            to.writeNumber(one.of());
            to.writeString(one.text());
        } else if (talk instanceof Talk.Offer one) {
            to.writeNumber(27);
            to.writeNumber(one.id());
            to.writeNumber(one.base());
            to.writeString(one.who());
            to.writeString(one.why());
            to.writeNumber(one.wallMs());
            to.writeNumber(one.piece());
            to.writeNumber(one.of());
            to.writeString(one.text());
        } else if (talk instanceof Talk.Order one) {
            to.writeNumber(28);
            to.writeNumber(one.id());
            to.writeString(one.verb());
            to.writeNumber(one.version());
            to.writeString(one.name());
            to.writeString(one.who());
            to.writeString(one.why());
        } else if (talk instanceof Talk.Taken one) {
            to.writeNumber(29);
            to.writeNumber(one.id());
            to.writeNumber(one.next());
            to.writeNumber(one.version());
            to.writeString(one.fault());
        } else if (talk instanceof Talk.Recall one) {
            to.writeNumber(30);
            to.writeNumber(one.nonce());
        } else if (talk instanceof Talk.Recalled one) {
            to.writeNumber(31);
            to.writeNumber(one.nonce());
            to.writeNumber(one.generation());
        }
    }

    private static Talk talk(CborReader from, int kind) throws IOException {
        return switch (kind) {
            case 21 ->
                new Talk.Renew(
                        from.readLong(),
                        from.readLong(),
                        from.readLong(),
                        from.readLong(),
                        from.readText(Talk.MOST_LINE));
            case 22 ->
                new Talk.Grant(from.readLong(), from.readLong(), from.readLong(), from.readLong(), from.readBoolean());
            case 23 -> new Talk.Elsewhere(from.readLong(), from.readText(MOST_NAME));
            case 24 -> new Talk.Hint(from.readLong(), from.readLong());
            case 25 -> new Talk.Fetch(from.readLong(), from.readLong(), from.readNonNegativeInt());
            case 26 ->
                new Talk.Piece(
                        from.readLong(),
                        from.readLong(),
                        from.readNonNegativeInt(),
                        from.readNonNegativeInt(),
                        from.readText(Command.PIECE));
            case 27 ->
                new Talk.Offer(
                        from.readLong(),
                        from.readLong(),
                        from.readText(Command.MOST_WHO),
                        from.readText(Command.MOST_WHY),
                        from.readLong(),
                        from.readNonNegativeInt(),
                        from.readNonNegativeInt(),
                        from.readText(Command.PIECE));
            case 28 ->
                new Talk.Order(
                        from.readLong(),
                        from.readText(16),
                        from.readLong(),
                        from.readText(MOST_NAME),
                        from.readText(Command.MOST_WHO),
                        from.readText(Command.MOST_WHY));
            case 29 ->
                new Talk.Taken(from.readLong(), (int) from.readLong(), from.readLong(), from.readText(Talk.MOST_LINE));
            case 30 -> new Talk.Recall(from.readLong());
            case 31 -> new Talk.Recalled(from.readLong(), from.readLong());
            default -> throw new IOException("no talk has the kind " + kind);
        };
    }

    // ---- Whole books, for snapshots ----

    static List<byte[]> chunks(RuleBook.Whole whole) {
        byte[] all = array(to -> {
            to.writeNumber(whole.active());
            to.writeNumber(whole.waiting());
            to.writeNumber(whole.newest());
            to.writeStartArray();
            for (RuleBook.Version version : whole.versions()) {
                to.writeStartArray();
                to.writeNumber(version.number());
                to.writeNumber(version.base());
                to.writeString(version.who());
                to.writeString(version.why());
                to.writeNumber(version.wallMs());
                to.writeNumber(version.state().ordinal());
                figures(to, version.figures());
                to.writeString(version.text());
                to.writeEndArray();
            }
            to.writeEndArray();
            texts(to, whole.names());
            to.writeStartArray();
            for (Map.Entry<String, Long> mark : whole.marks().entrySet()) {
                to.writeStartArray();
                to.writeString(mark.getKey());
                to.writeNumber(mark.getValue());
                to.writeEndArray();
            }
            to.writeEndArray();
            to.writeStartArray();
            for (Map.Entry<Long, List<String>> proposal : whole.proposals().entrySet()) {
                to.writeStartArray();
                to.writeNumber(proposal.getKey());
                to.writeNumber(proposal.getValue().size());
                to.writeStartArray();
                for (int i = 0; i < proposal.getValue().size(); i++) {
                    if (proposal.getValue().get(i) != null) {
                        to.writeStartArray();
                        to.writeNumber(i);
                        to.writeString(proposal.getValue().get(i));
                        to.writeEndArray();
                    }
                }
                to.writeEndArray();
                to.writeEndArray();
            }
            to.writeEndArray();
        });
        List<byte[]> chunks = new ArrayList<>();
        for (int i = 0; i < all.length; i += MOST_CHUNK) {
            chunks.add(java.util.Arrays.copyOfRange(all, i, Math.min(all.length, i + MOST_CHUNK)));
        }
        return chunks;
    }

    private static void texts(CBORGenerator to, Collection<String> texts) throws IOException {
        to.writeStartArray();
        for (String text : texts) {
            to.writeString(text);
        }
        to.writeEndArray();
    }

    static RuleBook.Whole whole(List<Object> chunks) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        if (chunks.size() > MOST_CHUNKS) {
            throw new IOException("a snapshot of more than " + MOST_CHUNKS + " pieces");
        }
        for (Object chunk : chunks) {
            all.write((byte[]) chunk);
        }
        try (CborReader from = new CborReader(all.toByteArray())) {
            from.expect(JsonToken.START_ARRAY);
            long active = from.readLong();
            long waiting = from.readLong();
            long newest = from.readLong();
            List<RuleBook.Version> versions = from.readList(
                    RuleBook.KEPT,
                    () -> new RuleBook.Version(
                            from.readLong(),
                            from.readLong(),
                            from.readText(Command.MOST_WHO),
                            from.readText(4 * Command.MOST_WHY),
                            from.readLong(),
                            state(from.readNonNegativeInt()),
                            figures(from),
                            from.readText(Command.MOST_TEXT)));
            List<String> names = from.readTexts(MOST_CHUNKS, MOST_NAME);
            Map<String, Long> marks = new TreeMap<>();
            from.readList(MOST_CHUNKS, () -> marks.put(from.readText(Command.MOST_NAME), from.readLong()));
            Map<Long, List<String>> proposals = new LinkedHashMap<>();
            from.readList(64, () -> {
                long id = from.readLong();
                String[] pieces = new String[Math.min(from.readNonNegativeInt(), Command.MOST_PIECES)];
                from.readList(
                        Command.MOST_PIECES,
                        () -> pieces[Math.min(pieces.length - 1, from.readNonNegativeInt())] =
                                from.readText(Command.PIECE));
                return proposals.put(id, java.util.Arrays.asList(pieces));
            });
            from.expect(JsonToken.END_ARRAY);
            from.expectEnd();
            return new RuleBook.Whole(active, waiting, newest, versions, names, marks, proposals);
        }
    }

    private static RuleBook.State state(int ordinal) throws IOException {
        if (ordinal >= RuleBook.State.values().length) {
            throw new IOException("no version is in the state " + ordinal);
        }
        return RuleBook.State.values()[ordinal];
    }
}
