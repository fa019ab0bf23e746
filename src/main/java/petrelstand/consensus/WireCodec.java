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
import petrelstand.agreement.RegistryCommand;
import petrelstand.agreement.RuleRegistry;
import petrelstand.agreement.RulesMessage;
import petrelstand.cbor.CborReader;

/**
 * Parcels, log entries and whole books as CBOR (RFC 8949) by Jackson: one array each, its layout in
 * docs/design/agreement.md. A log entry of the longest command fits one datagram.
 */
public final class WireCodec {
    static final int VERSION = 1;
    static final String GROUP = "rules";
    static final int MOST_NAME = 64;
    static final int MOST_ADDRESS = 64;
    static final int MOST_CHUNK = 900;
    private static final int MOST_VOTERS = 16;
    private static final int MOST_CHUNKS = 4096;
    private static final CBORFactory CBOR = new CBORFactory();
    static final DefaultRaftModelFactory MODEL = new DefaultRaftModelFactory();

    private WireCodec() {}

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
    public static byte[] encode(Envelope parcel) {
        return array(to -> {
            to.writeNumber(VERSION);
            to.writeString(parcel.fleet());
            to.writeString(parcel.sender());
            to.writeString(parcel.senderAddress());
            to.writeNumber(parcel.generation());
            to.writeNumber(parcel.epoch());
            if (parcel.raftMessage() != null) {
                write(to, parcel.raftMessage());
            } else {
                write(to, parcel.rulesMessage());
            }
        });
    }

    /** Reads a parcel whole; an IOException says that it is malformed, and where. */
    public static Envelope decode(byte[] content) throws IOException {
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
            Envelope parcel = kind < 20
                    ? new Envelope(
                            fleet, name, address, generation, epoch, raft(from, kind, new VoterEndpoint(name)), null)
                    : new Envelope(fleet, name, address, generation, epoch, null, talk(from, kind));
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

    private static RaftMessage raft(CborReader from, int kind, VoterEndpoint sender) throws IOException {
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
            write(to, (RegistryCommand) entry.getOperation());
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
                        .setEndpoint(new VoterEndpoint(from.readText(MOST_NAME)))
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

    private static void write(CBORGenerator to, RegistryCommand command) throws IOException {
        if (command instanceof RegistryCommand.NewTerm) {
            to.writeNumber(1);
        } else if (command instanceof RegistryCommand.AddPiece part) {
            to.writeNumber(2);
            to.writeNumber(part.proposalId());
            to.writeNumber(part.pieceIndex());
            to.writeNumber(part.pieceCount());
            to.writeString(part.text());
        } else if (command instanceof RegistryCommand.Propose one) {
            to.writeNumber(3);
            to.writeNumber(one.proposalId());
            to.writeNumber(one.base());
            to.writeString(one.author());
            to.writeString(one.reason());
            to.writeNumber(one.wallMs());
            to.writeNumber(one.pieceCount());
            figures(to, one.limits());
        } else if (command instanceof RegistryCommand.Activate one) {
            to.writeNumber(4);
            to.writeNumber(one.version());
            to.writeNumber(one.confirmedNamesHash());
        } else if (command instanceof RegistryCommand.Withdraw one) {
            to.writeNumber(5);
            to.writeNumber(one.version());
            to.writeString(one.author());
            to.writeString(one.reason());
        } else if (command instanceof RegistryCommand.RegisterGateway one) {
            to.writeNumber(6);
            to.writeString(one.name());
        } else if (command instanceof RegistryCommand.ForgetGateway one) {
            to.writeNumber(7);
            to.writeString(one.name());
        }
    }

    private static RegistryCommand command(CborReader from, int kind) throws IOException {
        return switch (kind) {
            case 1 -> new RegistryCommand.NewTerm();
            case 2 ->
                new RegistryCommand.AddPiece(
                        from.readLong(),
                        from.readNonNegativeInt(),
                        from.readNonNegativeInt(),
                        from.readText(RegistryCommand.PIECE_CHARS));
            case 3 ->
                new RegistryCommand.Propose(
                        from.readLong(),
                        from.readLong(),
                        from.readText(RegistryCommand.MAX_AUTHOR_CHARS),
                        from.readText(RegistryCommand.MAX_REASON_CHARS),
                        from.readLong(),
                        from.readNonNegativeInt(),
                        figures(from));
            case 4 -> new RegistryCommand.Activate(from.readLong(), from.readLong());
            case 5 ->
                new RegistryCommand.Withdraw(
                        from.readLong(),
                        from.readText(RegistryCommand.MAX_AUTHOR_CHARS),
                        from.readText(RegistryCommand.MAX_REASON_CHARS));
            case 6 -> new RegistryCommand.RegisterGateway(from.readText(MOST_NAME));
            case 7 -> new RegistryCommand.ForgetGateway(from.readText(MOST_NAME));
            default -> throw new IOException("no command has the kind " + kind);
        };
    }

    private static void figures(CBORGenerator to, List<RegistryCommand.PlanLimit> figures) throws IOException {
        to.writeStartArray();
        for (RegistryCommand.PlanLimit figure : figures) {
            to.writeStartArray();
            to.writeString(figure.plan());
            to.writeNumber(figure.units());
            to.writeNumber(figure.floor());
            to.writeEndArray();
        }
        to.writeEndArray();
    }

    private static List<RegistryCommand.PlanLimit> figures(CborReader from) throws IOException {
        return from.readList(
                RegistryCommand.MAX_LIMITS,
                () -> new RegistryCommand.PlanLimit(
                        from.readText(RegistryCommand.MAX_NAME_CHARS), from.readLong(), from.readLong()));
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
        from.readTexts(MOST_VOTERS, MOST_NAME).forEach(name -> names.add(new VoterEndpoint(name)));
        return names;
    }

    // ---- Talk ----

    private static void write(CBORGenerator to, RulesMessage talk) throws IOException {
        if (talk instanceof RulesMessage.LeaseRequest one) {
            to.writeNumber(21);
            to.writeNumber(one.nonce());
            to.writeNumber(one.instanceId());
            to.writeNumber(one.actingVersion());
            to.writeNumber(one.preparedVersion());
            to.writeString(one.loadError());
        } else if (talk instanceof RulesMessage.LeaseAnswer one) {
            to.writeNumber(22);
            to.writeNumber(one.nonce());
            to.writeNumber(one.term());
            to.writeNumber(one.activeVersion());
            to.writeNumber(one.pendingVersion());
            to.writeBoolean(one.granted());
        } else if (talk instanceof RulesMessage.NotLeader one) {
            to.writeNumber(23);
            to.writeNumber(one.nonce());
            to.writeString(one.leader());
        } else if (talk instanceof RulesMessage.VersionsChanged one) {
            to.writeNumber(24);
            to.writeNumber(one.activeVersion());
            to.writeNumber(one.pendingVersion());
        } else if (talk instanceof RulesMessage.FetchPiece one) {
            to.writeNumber(25);
            to.writeNumber(one.nonce());
            to.writeNumber(one.version());
            to.writeNumber(one.pieceIndex());
        } else if (talk instanceof RulesMessage.TextPiece one) {
            to.writeNumber(26);
            to.writeNumber(one.nonce());
            to.writeNumber(one.version());
            to.writeNumber(one.pieceIndex());
            to.writeNumber(one.pieceCount());
            to.writeString(one.text());
        } else if (talk instanceof RulesMessage.ProposalPiece one) {
            to.writeNumber(27);
            to.writeNumber(one.id());
            to.writeNumber(one.base());
            to.writeString(one.author());
            to.writeString(one.reason());
            to.writeNumber(one.wallMs());
            to.writeNumber(one.pieceIndex());
            to.writeNumber(one.pieceCount());
            to.writeString(one.text());
        } else if (talk instanceof RulesMessage.AdminRequest one) {
            to.writeNumber(28);
            to.writeNumber(one.id());
            to.writeString(one.action());
            to.writeNumber(one.version());
            to.writeString(one.name());
            to.writeString(one.author());
            to.writeString(one.reason());
        } else if (talk instanceof RulesMessage.RequestAnswer one) {
            to.writeNumber(29);
            to.writeNumber(one.id());
            to.writeNumber(one.nextPiece());
            to.writeNumber(one.version());
            to.writeString(one.error());
        } else if (talk instanceof RulesMessage.GenerationQuery one) {
            to.writeNumber(30);
            to.writeNumber(one.nonce());
        } else if (talk instanceof RulesMessage.GenerationAnswer one) {
            to.writeNumber(31);
            to.writeNumber(one.nonce());
            to.writeNumber(one.generation());
        }
    }

    private static RulesMessage talk(CborReader from, int kind) throws IOException {
        return switch (kind) {
            case 21 ->
                new RulesMessage.LeaseRequest(
                        from.readLong(),
                        from.readLong(),
                        from.readLong(),
                        from.readLong(),
                        from.readText(RulesMessage.MAX_LINE_CHARS));
            case 22 ->
                new RulesMessage.LeaseAnswer(
                        from.readLong(), from.readLong(), from.readLong(), from.readLong(), from.readBoolean());
            case 23 -> new RulesMessage.NotLeader(from.readLong(), from.readText(MOST_NAME));
            case 24 -> new RulesMessage.VersionsChanged(from.readLong(), from.readLong());
            case 25 -> new RulesMessage.FetchPiece(from.readLong(), from.readLong(), from.readNonNegativeInt());
            case 26 ->
                new RulesMessage.TextPiece(
                        from.readLong(),
                        from.readLong(),
                        from.readNonNegativeInt(),
                        from.readNonNegativeInt(),
                        from.readText(RegistryCommand.PIECE_CHARS));
            case 27 ->
                new RulesMessage.ProposalPiece(
                        from.readLong(),
                        from.readLong(),
                        from.readText(RegistryCommand.MAX_AUTHOR_CHARS),
                        from.readText(RegistryCommand.MAX_REASON_CHARS),
                        from.readLong(),
                        from.readNonNegativeInt(),
                        from.readNonNegativeInt(),
                        from.readText(RegistryCommand.PIECE_CHARS));
            case 28 ->
                new RulesMessage.AdminRequest(
                        from.readLong(),
                        from.readText(16),
                        from.readLong(),
                        from.readText(MOST_NAME),
                        from.readText(RegistryCommand.MAX_AUTHOR_CHARS),
                        from.readText(RegistryCommand.MAX_REASON_CHARS));
            case 29 ->
                new RulesMessage.RequestAnswer(
                        from.readLong(),
                        (int) from.readLong(),
                        from.readLong(),
                        from.readText(RulesMessage.MAX_LINE_CHARS));
            case 30 -> new RulesMessage.GenerationQuery(from.readLong());
            case 31 -> new RulesMessage.GenerationAnswer(from.readLong(), from.readLong());
            default -> throw new IOException("no talk has the kind " + kind);
        };
    }

    // ---- Whole books, for snapshots ----

    static List<byte[]> chunks(RuleRegistry.Snapshot whole) {
        byte[] all = array(to -> {
            to.writeNumber(whole.active());
            to.writeNumber(whole.pending());
            to.writeNumber(whole.newest());
            to.writeStartArray();
            for (RuleRegistry.Version version : whole.versions()) {
                to.writeStartArray();
                to.writeNumber(version.number());
                to.writeNumber(version.base());
                to.writeString(version.author());
                to.writeString(version.reason());
                to.writeNumber(version.wallMs());
                to.writeNumber(version.state().ordinal());
                figures(to, version.limits());
                to.writeString(version.text());
                to.writeEndArray();
            }
            to.writeEndArray();
            texts(to, whole.gatewayNames());
            to.writeStartArray();
            for (Map.Entry<String, Long> mark : whole.reservedFloors().entrySet()) {
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

    static RuleRegistry.Snapshot whole(List<Object> chunks) throws IOException {
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
            List<RuleRegistry.Version> versions = from.readList(
                    RuleRegistry.MAX_VERSIONS,
                    () -> new RuleRegistry.Version(
                            from.readLong(),
                            from.readLong(),
                            from.readText(RegistryCommand.MAX_AUTHOR_CHARS),
                            from.readText(4 * RegistryCommand.MAX_REASON_CHARS),
                            from.readLong(),
                            state(from.readNonNegativeInt()),
                            figures(from),
                            from.readText(RegistryCommand.MAX_TEXT_CHARS)));
            List<String> names = from.readTexts(MOST_CHUNKS, MOST_NAME);
            Map<String, Long> marks = new TreeMap<>();
            from.readList(MOST_CHUNKS, () -> marks.put(from.readText(RegistryCommand.MAX_NAME_CHARS), from.readLong()));
            Map<Long, List<String>> proposals = new LinkedHashMap<>();
            from.readList(64, () -> {
                long id = from.readLong();
                String[] pieces = new String[Math.min(from.readNonNegativeInt(), RegistryCommand.MAX_PIECES)];
                from.readList(
                        RegistryCommand.MAX_PIECES,
                        () -> pieces[Math.min(pieces.length - 1, from.readNonNegativeInt())] =
                                from.readText(RegistryCommand.PIECE_CHARS));
                return proposals.put(id, java.util.Arrays.asList(pieces));
            });
            from.expect(JsonToken.END_ARRAY);
            from.expectEnd();
            return new RuleRegistry.Snapshot(active, waiting, newest, versions, names, marks, proposals);
        }
    }

    private static RuleRegistry.State state(int ordinal) throws IOException {
        if (ordinal >= RuleRegistry.State.values().length) {
            throw new IOException("no version is in the state " + ordinal);
        }
        return RuleRegistry.State.values()[ordinal];
    }
}
