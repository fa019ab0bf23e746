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
import java.util.Arrays;
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
 * Encodes and decodes envelopes, log entries and registry snapshots as CBOR arrays (RFC 8949). docs/design/agreement.md
 * describes the layouts; the kinds and the order of the fields are part of the wire format and of the stored files. A
 * log entry with the longest command fits into one datagram.
 */
public final class WireCodec {
    static final int VERSION = 1;
    /** The id of the Raft group. */
    static final String GROUP = "rules";

    static final int MAX_NAME_CHARS = 64;
    static final int MAX_ADDRESS_CHARS = 64;
    /** Size of a snapshot chunk; a message with one chunk fits into a datagram. */
    static final int CHUNK_BYTES = 900;

    private static final int MAX_ENDPOINTS = 16;
    private static final int MAX_CHUNKS = 4096;
    private static final int MAX_LIST_LENGTH = 4096;
    private static final int MAX_ENTRIES_PER_MESSAGE = 64;
    private static final int MAX_PROPOSALS = 64;
    private static final int MAX_ACTION_CHARS = 16;
    // Kinds of consensus messages.
    private static final int APPEND_ENTRIES_REQUEST = 1,
            APPEND_ENTRIES_SUCCESS = 2,
            APPEND_ENTRIES_FAILURE = 3,
            INSTALL_SNAPSHOT_REQUEST = 4,
            INSTALL_SNAPSHOT_RESPONSE = 5,
            PRE_VOTE_REQUEST = 6,
            PRE_VOTE_RESPONSE = 7,
            VOTE_REQUEST = 8,
            VOTE_RESPONSE = 9,
            TRIGGER_LEADER_ELECTION = 10;
    // Kinds of rules messages; all are above the kinds of consensus messages.
    private static final int MIN_RULES_MESSAGE_KIND = 20;
    private static final int LEASE_REQUEST = 21,
            LEASE_ANSWER = 22,
            NOT_LEADER = 23,
            VERSIONS_CHANGED = 24,
            FETCH_PIECE = 25,
            TEXT_PIECE = 26,
            PROPOSAL_PIECE = 27,
            ADMIN_REQUEST = 28,
            REQUEST_ANSWER = 29,
            GENERATION_QUERY = 30,
            GENERATION_ANSWER = 31;
    // Kinds of operations in a log entry.
    private static final int NEW_TERM = 1,
            ADD_PIECE = 2,
            PROPOSE = 3,
            ACTIVATE = 4,
            WITHDRAW = 5,
            REGISTER_GATEWAY = 6,
            FORGET_GATEWAY = 7,
            CHANGE_MEMBERS = 20;
    private static final CBORFactory CBOR = new CBORFactory();
    static final DefaultRaftModelFactory MODEL = new DefaultRaftModelFactory();

    private WireCodec() {}

    /** Writes the elements of an array, without its start and end. */
    interface ArrayBody {
        void write(CBORGenerator generator) throws IOException;
    }

    /** Encodes one array. */
    static byte[] encodeArray(ArrayBody body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(512);
        try (CBORGenerator generator = CBOR.createGenerator(bytes)) {
            generator.writeStartArray();
            body.write(generator);
            generator.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return bytes.toByteArray();
    }

    // ---- Envelopes ----

    /** Encodes an envelope as the content of a datagram. */
    public static byte[] encode(Envelope envelope) {
        return encodeArray(generator -> {
            generator.writeNumber(VERSION);
            generator.writeString(envelope.fleet());
            generator.writeString(envelope.sender());
            generator.writeString(envelope.senderAddress());
            generator.writeNumber(envelope.generation());
            generator.writeNumber(envelope.epoch());
            if (envelope.raftMessage() != null) {
                write(generator, envelope.raftMessage());
            } else {
                write(generator, envelope.rulesMessage());
            }
        });
    }

    /** Decodes the content of a datagram; throws an IOException that says where it is malformed. */
    public static Envelope decode(byte[] content) throws IOException {
        try (CborReader reader = new CborReader(content)) {
            reader.expect(JsonToken.START_ARRAY);
            long version = reader.readLong();
            if (version != VERSION) {
                throw new IOException("wire format version " + version + " is not " + VERSION);
            }
            String fleet = reader.readText(MAX_NAME_CHARS);
            String sender = reader.readText(MAX_NAME_CHARS);
            String senderAddress = reader.readText(MAX_ADDRESS_CHARS);
            long generation = reader.readLong();
            long epoch = reader.readLong();
            int kind = reader.readNonNegativeInt();
            Envelope envelope = kind < MIN_RULES_MESSAGE_KIND
                    ? new Envelope(
                            fleet,
                            sender,
                            senderAddress,
                            generation,
                            epoch,
                            readRaftMessage(reader, kind, new VoterEndpoint(sender)),
                            null)
                    : new Envelope(
                            fleet, sender, senderAddress, generation, epoch, null, readRulesMessage(reader, kind));
            reader.expect(JsonToken.END_ARRAY);
            reader.expectEnd();
            return envelope;
        }
    }

    private static void write(CBORGenerator generator, RaftMessage message) throws IOException {
        int kind = message instanceof AppendEntriesRequest
                ? APPEND_ENTRIES_REQUEST
                : message instanceof AppendEntriesSuccessResponse
                        ? APPEND_ENTRIES_SUCCESS
                        : message instanceof AppendEntriesFailureResponse
                                ? APPEND_ENTRIES_FAILURE
                                : message instanceof InstallSnapshotRequest
                                        ? INSTALL_SNAPSHOT_REQUEST
                                        : message instanceof InstallSnapshotResponse
                                                ? INSTALL_SNAPSHOT_RESPONSE
                                                : message instanceof PreVoteRequest
                                                        ? PRE_VOTE_REQUEST
                                                        : message instanceof PreVoteResponse
                                                                ? PRE_VOTE_RESPONSE
                                                                : message instanceof VoteRequest
                                                                        ? VOTE_REQUEST
                                                                        : message instanceof VoteResponse
                                                                                ? VOTE_RESPONSE
                                                                                : TRIGGER_LEADER_ELECTION;
        generator.writeNumber(kind);
        generator.writeNumber(message.getTerm());
        if (message instanceof AppendEntriesRequest request) {
            generator.writeNumber(request.getPreviousLogTerm());
            generator.writeNumber(request.getPreviousLogIndex());
            generator.writeNumber(request.getCommitIndex());
            generator.writeNumber(request.getQuerySequenceNumber());
            generator.writeNumber(request.getFlowControlSequenceNumber());
            generator.writeStartArray();
            for (LogEntry entry : request.getLogEntries()) {
                generator.writeStartArray();
                write(generator, entry);
                generator.writeEndArray();
            }
            generator.writeEndArray();
        } else if (message instanceof AppendEntriesSuccessResponse response) {
            generator.writeNumber(response.getLastLogIndex());
            generator.writeNumber(response.getQuerySequenceNumber());
            generator.writeNumber(response.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse response) {
            generator.writeNumber(response.getExpectedNextIndex());
            generator.writeNumber(response.getQuerySequenceNumber());
            generator.writeNumber(response.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest request) {
            generator.writeBoolean(request.isSenderLeader());
            generator.writeNumber(request.getSnapshotTerm());
            generator.writeNumber(request.getSnapshotIndex());
            generator.writeNumber(request.getTotalSnapshotChunkCount());
            generator.writeNumber(request.getQuerySequenceNumber());
            generator.writeNumber(request.getFlowControlSequenceNumber());
            writeEndpoints(generator, request.getSnapshottedMembers());
            write(generator, request.getGroupMembersView());
            generator.writeStartArray();
            if (request.getSnapshotChunk() != null) {
                generator.writeStartArray();
                write(generator, request.getSnapshotChunk());
                generator.writeEndArray();
            }
            generator.writeEndArray();
        } else if (message instanceof InstallSnapshotResponse response) {
            generator.writeNumber(response.getSnapshotIndex());
            generator.writeNumber(response.getRequestedSnapshotChunkIndex());
            generator.writeNumber(response.getQuerySequenceNumber());
            generator.writeNumber(response.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest request) {
            generator.writeNumber(request.getLastLogTerm());
            generator.writeNumber(request.getLastLogIndex());
        } else if (message instanceof PreVoteResponse response) {
            generator.writeBoolean(response.isGranted());
        } else if (message instanceof VoteRequest request) {
            generator.writeNumber(request.getLastLogTerm());
            generator.writeNumber(request.getLastLogIndex());
            generator.writeBoolean(request.isSticky());
        } else if (message instanceof VoteResponse response) {
            generator.writeBoolean(response.isGranted());
        } else if (message instanceof TriggerLeaderElectionRequest request) {
            generator.writeNumber(request.getLastLogTerm());
            generator.writeNumber(request.getLastLogIndex());
        }
    }

    private static RaftMessage readRaftMessage(CborReader reader, int kind, VoterEndpoint sender) throws IOException {
        int term = reader.readNonNegativeInt();
        return switch (kind) {
            case APPEND_ENTRIES_REQUEST ->
                MODEL.createAppendEntriesRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setPreviousLogTerm(reader.readNonNegativeInt())
                        .setPreviousLogIndex(reader.readLong())
                        .setCommitIndex(reader.readLong())
                        .setQuerySequenceNumber(reader.readLong())
                        .setFlowControlSequenceNumber(reader.readLong())
                        .setLogEntries(reader.readList(MAX_ENTRIES_PER_MESSAGE, () -> readEntry(reader)))
                        .build();
            case APPEND_ENTRIES_SUCCESS ->
                MODEL.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogIndex(reader.readLong())
                        .setQuerySequenceNumber(reader.readLong())
                        .setFlowControlSequenceNumber(reader.readLong())
                        .build();
            case APPEND_ENTRIES_FAILURE ->
                MODEL.createAppendEntriesFailureResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setExpectedNextIndex(reader.readLong())
                        .setQuerySequenceNumber(reader.readLong())
                        .setFlowControlSequenceNumber(reader.readLong())
                        .build();
            case INSTALL_SNAPSHOT_REQUEST -> readInstallSnapshotRequest(reader, sender, term);
            case INSTALL_SNAPSHOT_RESPONSE ->
                MODEL.createInstallSnapshotResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setSnapshotIndex(reader.readLong())
                        .setRequestedSnapshotChunkIndex(reader.readNonNegativeInt())
                        .setQuerySequenceNumber(reader.readLong())
                        .setFlowControlSequenceNumber(reader.readLong())
                        .build();
            case PRE_VOTE_REQUEST ->
                MODEL.createPreVoteRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(reader.readNonNegativeInt())
                        .setLastLogIndex(reader.readLong())
                        .build();
            case PRE_VOTE_RESPONSE ->
                MODEL.createPreVoteResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setGranted(reader.readBoolean())
                        .build();
            case VOTE_REQUEST ->
                MODEL.createVoteRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(reader.readNonNegativeInt())
                        .setLastLogIndex(reader.readLong())
                        .setSticky(reader.readBoolean())
                        .build();
            case VOTE_RESPONSE ->
                MODEL.createVoteResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setGranted(reader.readBoolean())
                        .build();
            case TRIGGER_LEADER_ELECTION ->
                MODEL.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(reader.readNonNegativeInt())
                        .setLastLogIndex(reader.readLong())
                        .build();
            default -> throw new IOException("unknown consensus message kind " + kind);
        };
    }

    private static RaftMessage readInstallSnapshotRequest(CborReader reader, VoterEndpoint sender, int term)
            throws IOException {
        boolean senderLeader = reader.readBoolean();
        int snapshotTerm = reader.readNonNegativeInt();
        long snapshotIndex = reader.readLong();
        int totalChunks = reader.readNonNegativeInt();
        long querySequence = reader.readLong();
        long flowControlSequence = reader.readLong();
        Set<RaftEndpoint> members = readEndpoints(reader);
        RaftGroupMembersView view = readMembers(reader);
        List<SnapshotChunk> chunk = reader.readList(1, () -> readChunk(reader));
        return MODEL.createInstallSnapshotRequestBuilder()
                .setGroupId(GROUP)
                .setSender(sender)
                .setTerm(term)
                .setSenderLeader(senderLeader)
                .setSnapshotTerm(snapshotTerm)
                .setSnapshotIndex(snapshotIndex)
                .setTotalSnapshotChunkCount(totalChunks)
                .setSnapshotChunk(chunk.isEmpty() ? null : chunk.get(0))
                .setSnapshottedMembers(members)
                .setGroupMembersView(view)
                .setQuerySequenceNumber(querySequence)
                .setFlowControlSequenceNumber(flowControlSequence)
                .build();
    }

    // ---- Log entries ----

    static void write(CBORGenerator generator, LogEntry entry) throws IOException {
        generator.writeNumber(entry.getIndex());
        generator.writeNumber(entry.getTerm());
        if (entry.getOperation() instanceof UpdateRaftGroupMembersOp op) {
            generator.writeNumber(CHANGE_MEMBERS);
            writeEndpoints(generator, op.getMembers());
            writeEndpoints(generator, op.getVotingMembers());
            generator.writeString(String.valueOf(op.getEndpoint().getId()));
            generator.writeNumber(op.getMode().ordinal());
        } else {
            write(generator, (RegistryCommand) entry.getOperation());
        }
    }

    static LogEntry readEntry(CborReader reader) throws IOException {
        long index = reader.readLong();
        int term = reader.readNonNegativeInt();
        int kind = reader.readNonNegativeInt();
        Object operation = kind == CHANGE_MEMBERS
                ? MODEL.createUpdateRaftGroupMembersOpBuilder()
                        .setMembers(readEndpoints(reader))
                        .setVotingMembers(readEndpoints(reader))
                        .setEndpoint(new VoterEndpoint(reader.readText(MAX_NAME_CHARS)))
                        .setMode(membershipChangeMode(reader.readNonNegativeInt()))
                        .build()
                : readCommand(reader, kind);
        return MODEL.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(operation)
                .build();
    }

    private static MembershipChangeMode membershipChangeMode(int ordinal) throws IOException {
        if (ordinal >= MembershipChangeMode.values().length) {
            throw new IOException("unknown membership change mode " + ordinal);
        }
        return MembershipChangeMode.values()[ordinal];
    }

    private static void write(CBORGenerator generator, RegistryCommand command) throws IOException {
        if (command instanceof RegistryCommand.NewTerm) {
            generator.writeNumber(NEW_TERM);
        } else if (command instanceof RegistryCommand.AddPiece addPiece) {
            generator.writeNumber(ADD_PIECE);
            generator.writeNumber(addPiece.proposalId());
            generator.writeNumber(addPiece.pieceIndex());
            generator.writeNumber(addPiece.pieceCount());
            generator.writeString(addPiece.text());
        } else if (command instanceof RegistryCommand.Propose propose) {
            generator.writeNumber(PROPOSE);
            generator.writeNumber(propose.proposalId());
            generator.writeNumber(propose.base());
            generator.writeString(propose.author());
            generator.writeString(propose.reason());
            generator.writeNumber(propose.wallMs());
            generator.writeNumber(propose.pieceCount());
            writeLimits(generator, propose.limits());
        } else if (command instanceof RegistryCommand.Activate activate) {
            generator.writeNumber(ACTIVATE);
            generator.writeNumber(activate.version());
            generator.writeNumber(activate.confirmedNamesHash());
        } else if (command instanceof RegistryCommand.Withdraw withdraw) {
            generator.writeNumber(WITHDRAW);
            generator.writeNumber(withdraw.version());
            generator.writeString(withdraw.author());
            generator.writeString(withdraw.reason());
        } else if (command instanceof RegistryCommand.RegisterGateway register) {
            generator.writeNumber(REGISTER_GATEWAY);
            generator.writeString(register.name());
        } else if (command instanceof RegistryCommand.ForgetGateway forget) {
            generator.writeNumber(FORGET_GATEWAY);
            generator.writeString(forget.name());
        }
    }

    private static RegistryCommand readCommand(CborReader reader, int kind) throws IOException {
        return switch (kind) {
            case NEW_TERM -> new RegistryCommand.NewTerm();
            case ADD_PIECE ->
                new RegistryCommand.AddPiece(
                        reader.readLong(),
                        reader.readNonNegativeInt(),
                        reader.readNonNegativeInt(),
                        reader.readText(RegistryCommand.PIECE_CHARS));
            case PROPOSE ->
                new RegistryCommand.Propose(
                        reader.readLong(),
                        reader.readLong(),
                        reader.readText(RegistryCommand.MAX_AUTHOR_CHARS),
                        reader.readText(RegistryCommand.MAX_REASON_CHARS),
                        reader.readLong(),
                        reader.readNonNegativeInt(),
                        readLimits(reader));
            case ACTIVATE -> new RegistryCommand.Activate(reader.readLong(), reader.readLong());
            case WITHDRAW ->
                new RegistryCommand.Withdraw(
                        reader.readLong(),
                        reader.readText(RegistryCommand.MAX_AUTHOR_CHARS),
                        reader.readText(RegistryCommand.MAX_REASON_CHARS));
            case REGISTER_GATEWAY -> new RegistryCommand.RegisterGateway(reader.readText(MAX_NAME_CHARS));
            case FORGET_GATEWAY -> new RegistryCommand.ForgetGateway(reader.readText(MAX_NAME_CHARS));
            default -> throw new IOException("unknown command kind " + kind);
        };
    }

    private static void writeLimits(CBORGenerator generator, List<RegistryCommand.PlanLimit> limits)
            throws IOException {
        generator.writeStartArray();
        for (RegistryCommand.PlanLimit limit : limits) {
            generator.writeStartArray();
            generator.writeString(limit.plan());
            generator.writeNumber(limit.units());
            generator.writeNumber(limit.floor());
            generator.writeEndArray();
        }
        generator.writeEndArray();
    }

    private static List<RegistryCommand.PlanLimit> readLimits(CborReader reader) throws IOException {
        return reader.readList(
                RegistryCommand.MAX_LIMITS,
                () -> new RegistryCommand.PlanLimit(
                        reader.readText(RegistryCommand.MAX_NAME_CHARS), reader.readLong(), reader.readLong()));
    }

    static void write(CBORGenerator generator, SnapshotChunk chunk) throws IOException {
        generator.writeNumber(chunk.getIndex());
        generator.writeNumber(chunk.getTerm());
        generator.writeNumber(chunk.getSnapshotChunkIndex());
        generator.writeNumber(chunk.getSnapshotChunkCount());
        generator.writeBinary((byte[]) chunk.getOperation());
        write(generator, chunk.getGroupMembersView());
    }

    static SnapshotChunk readChunk(CborReader reader) throws IOException {
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(reader.readLong())
                .setTerm(reader.readNonNegativeInt())
                .setSnapshotChunkIndex(reader.readNonNegativeInt())
                .setSnapshotChunkCount(reader.readNonNegativeInt())
                .setOperation(reader.readBytes(CHUNK_BYTES))
                .setGroupMembersView(readMembers(reader))
                .build();
    }

    static void write(CBORGenerator generator, RaftGroupMembersView view) throws IOException {
        generator.writeNumber(view.getLogIndex());
        writeEndpoints(generator, view.getMembers());
        writeEndpoints(generator, view.getVotingMembers());
    }

    static RaftGroupMembersView readMembers(CborReader reader) throws IOException {
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(reader.readLong())
                .setMembers(readEndpoints(reader))
                .setVotingMembers(readEndpoints(reader))
                .build();
    }

    private static void writeEndpoints(CBORGenerator generator, Collection<RaftEndpoint> endpoints) throws IOException {
        generator.writeStartArray();
        for (RaftEndpoint endpoint : endpoints) {
            generator.writeString(String.valueOf(endpoint.getId()));
        }
        generator.writeEndArray();
    }

    private static Set<RaftEndpoint> readEndpoints(CborReader reader) throws IOException {
        Set<RaftEndpoint> endpoints = new LinkedHashSet<>();
        reader.readTexts(MAX_ENDPOINTS, MAX_NAME_CHARS).forEach(name -> endpoints.add(new VoterEndpoint(name)));
        return endpoints;
    }

    // ---- Rules messages ----

    private static void write(CBORGenerator generator, RulesMessage message) throws IOException {
        if (message instanceof RulesMessage.LeaseRequest request) {
            generator.writeNumber(LEASE_REQUEST);
            generator.writeNumber(request.nonce());
            generator.writeNumber(request.instanceId());
            generator.writeNumber(request.actingVersion());
            generator.writeNumber(request.preparedVersion());
            generator.writeString(request.loadError());
        } else if (message instanceof RulesMessage.LeaseAnswer answer) {
            generator.writeNumber(LEASE_ANSWER);
            generator.writeNumber(answer.nonce());
            generator.writeNumber(answer.term());
            generator.writeNumber(answer.activeVersion());
            generator.writeNumber(answer.pendingVersion());
            generator.writeBoolean(answer.granted());
        } else if (message instanceof RulesMessage.NotLeader notLeader) {
            generator.writeNumber(NOT_LEADER);
            generator.writeNumber(notLeader.nonce());
            generator.writeString(notLeader.leader());
        } else if (message instanceof RulesMessage.VersionsChanged changed) {
            generator.writeNumber(VERSIONS_CHANGED);
            generator.writeNumber(changed.activeVersion());
            generator.writeNumber(changed.pendingVersion());
        } else if (message instanceof RulesMessage.FetchPiece fetch) {
            generator.writeNumber(FETCH_PIECE);
            generator.writeNumber(fetch.nonce());
            generator.writeNumber(fetch.version());
            generator.writeNumber(fetch.pieceIndex());
        } else if (message instanceof RulesMessage.TextPiece piece) {
            generator.writeNumber(TEXT_PIECE);
            generator.writeNumber(piece.nonce());
            generator.writeNumber(piece.version());
            generator.writeNumber(piece.pieceIndex());
            generator.writeNumber(piece.pieceCount());
            generator.writeString(piece.text());
        } else if (message instanceof RulesMessage.ProposalPiece piece) {
            generator.writeNumber(PROPOSAL_PIECE);
            generator.writeNumber(piece.id());
            generator.writeNumber(piece.base());
            generator.writeString(piece.author());
            generator.writeString(piece.reason());
            generator.writeNumber(piece.wallMs());
            generator.writeNumber(piece.pieceIndex());
            generator.writeNumber(piece.pieceCount());
            generator.writeString(piece.text());
        } else if (message instanceof RulesMessage.AdminRequest request) {
            generator.writeNumber(ADMIN_REQUEST);
            generator.writeNumber(request.id());
            generator.writeString(request.action());
            generator.writeNumber(request.version());
            generator.writeString(request.name());
            generator.writeString(request.author());
            generator.writeString(request.reason());
        } else if (message instanceof RulesMessage.RequestAnswer answer) {
            generator.writeNumber(REQUEST_ANSWER);
            generator.writeNumber(answer.id());
            generator.writeNumber(answer.nextPiece());
            generator.writeNumber(answer.version());
            generator.writeString(answer.error());
        } else if (message instanceof RulesMessage.GenerationQuery query) {
            generator.writeNumber(GENERATION_QUERY);
            generator.writeNumber(query.nonce());
        } else if (message instanceof RulesMessage.GenerationAnswer answer) {
            generator.writeNumber(GENERATION_ANSWER);
            generator.writeNumber(answer.nonce());
            generator.writeNumber(answer.generation());
        }
    }

    private static RulesMessage readRulesMessage(CborReader reader, int kind) throws IOException {
        return switch (kind) {
            case LEASE_REQUEST ->
                new RulesMessage.LeaseRequest(
                        reader.readLong(),
                        reader.readLong(),
                        reader.readLong(),
                        reader.readLong(),
                        reader.readText(RulesMessage.MAX_LINE_CHARS));
            case LEASE_ANSWER ->
                new RulesMessage.LeaseAnswer(
                        reader.readLong(),
                        reader.readLong(),
                        reader.readLong(),
                        reader.readLong(),
                        reader.readBoolean());
            case NOT_LEADER -> new RulesMessage.NotLeader(reader.readLong(), reader.readText(MAX_NAME_CHARS));
            case VERSIONS_CHANGED -> new RulesMessage.VersionsChanged(reader.readLong(), reader.readLong());
            case FETCH_PIECE ->
                new RulesMessage.FetchPiece(reader.readLong(), reader.readLong(), reader.readNonNegativeInt());
            case TEXT_PIECE ->
                new RulesMessage.TextPiece(
                        reader.readLong(),
                        reader.readLong(),
                        reader.readNonNegativeInt(),
                        reader.readNonNegativeInt(),
                        reader.readText(RegistryCommand.PIECE_CHARS));
            case PROPOSAL_PIECE ->
                new RulesMessage.ProposalPiece(
                        reader.readLong(),
                        reader.readLong(),
                        reader.readText(RegistryCommand.MAX_AUTHOR_CHARS),
                        reader.readText(RegistryCommand.MAX_REASON_CHARS),
                        reader.readLong(),
                        reader.readNonNegativeInt(),
                        reader.readNonNegativeInt(),
                        reader.readText(RegistryCommand.PIECE_CHARS));
            case ADMIN_REQUEST ->
                new RulesMessage.AdminRequest(
                        reader.readLong(),
                        reader.readText(MAX_ACTION_CHARS),
                        reader.readLong(),
                        reader.readText(MAX_NAME_CHARS),
                        reader.readText(RegistryCommand.MAX_AUTHOR_CHARS),
                        reader.readText(RegistryCommand.MAX_REASON_CHARS));
            case REQUEST_ANSWER ->
                new RulesMessage.RequestAnswer(
                        reader.readLong(),
                        (int) reader.readLong(),
                        reader.readLong(),
                        reader.readText(RulesMessage.MAX_LINE_CHARS));
            case GENERATION_QUERY -> new RulesMessage.GenerationQuery(reader.readLong());
            case GENERATION_ANSWER -> new RulesMessage.GenerationAnswer(reader.readLong(), reader.readLong());
            default -> throw new IOException("unknown rules message kind " + kind);
        };
    }

    // ---- Registry snapshots ----

    /** Encodes a registry snapshot and cuts it into chunks of {@link #CHUNK_BYTES}. */
    static List<byte[]> encodeSnapshot(RuleRegistry.Snapshot snapshot) {
        byte[] encoded = encodeArray(generator -> {
            generator.writeNumber(snapshot.active());
            generator.writeNumber(snapshot.pending());
            generator.writeNumber(snapshot.newest());
            generator.writeStartArray();
            for (RuleRegistry.Version version : snapshot.versions()) {
                generator.writeStartArray();
                generator.writeNumber(version.number());
                generator.writeNumber(version.base());
                generator.writeString(version.author());
                generator.writeString(version.reason());
                generator.writeNumber(version.wallMs());
                generator.writeNumber(version.state().ordinal());
                writeLimits(generator, version.limits());
                generator.writeString(version.text());
                generator.writeEndArray();
            }
            generator.writeEndArray();
            writeTexts(generator, snapshot.gatewayNames());
            generator.writeStartArray();
            for (Map.Entry<String, Long> floor : snapshot.reservedFloors().entrySet()) {
                generator.writeStartArray();
                generator.writeString(floor.getKey());
                generator.writeNumber(floor.getValue());
                generator.writeEndArray();
            }
            generator.writeEndArray();
            generator.writeStartArray();
            for (Map.Entry<Long, List<String>> proposal : snapshot.proposals().entrySet()) {
                generator.writeStartArray();
                generator.writeNumber(proposal.getKey());
                generator.writeNumber(proposal.getValue().size());
                generator.writeStartArray();
                for (int i = 0; i < proposal.getValue().size(); i++) {
                    if (proposal.getValue().get(i) != null) {
                        generator.writeStartArray();
                        generator.writeNumber(i);
                        generator.writeString(proposal.getValue().get(i));
                        generator.writeEndArray();
                    }
                }
                generator.writeEndArray();
                generator.writeEndArray();
            }
            generator.writeEndArray();
        });
        List<byte[]> chunks = new ArrayList<>();
        for (int i = 0; i < encoded.length; i += CHUNK_BYTES) {
            chunks.add(Arrays.copyOfRange(encoded, i, Math.min(encoded.length, i + CHUNK_BYTES)));
        }
        return chunks;
    }

    private static void writeTexts(CBORGenerator generator, Collection<String> texts) throws IOException {
        generator.writeStartArray();
        for (String text : texts) {
            generator.writeString(text);
        }
        generator.writeEndArray();
    }

    /** Joins and decodes the chunks of a registry snapshot, which are byte arrays. */
    static RuleRegistry.Snapshot decodeSnapshot(List<Object> chunks) throws IOException {
        ByteArrayOutputStream encoded = new ByteArrayOutputStream();
        if (chunks.size() > MAX_CHUNKS) {
            throw new IOException("a snapshot has more than " + MAX_CHUNKS + " chunks");
        }
        for (Object chunk : chunks) {
            encoded.write((byte[]) chunk);
        }
        try (CborReader reader = new CborReader(encoded.toByteArray())) {
            reader.expect(JsonToken.START_ARRAY);
            long active = reader.readLong();
            long pending = reader.readLong();
            long newest = reader.readLong();
            List<RuleRegistry.Version> versions = reader.readList(
                    RuleRegistry.MAX_VERSIONS,
                    () -> new RuleRegistry.Version(
                            reader.readLong(),
                            reader.readLong(),
                            reader.readText(RegistryCommand.MAX_AUTHOR_CHARS),
                            reader.readText(4 * RegistryCommand.MAX_REASON_CHARS),
                            reader.readLong(),
                            versionState(reader.readNonNegativeInt()),
                            readLimits(reader),
                            reader.readText(RegistryCommand.MAX_TEXT_CHARS)));
            List<String> gatewayNames = reader.readTexts(MAX_LIST_LENGTH, MAX_NAME_CHARS);
            Map<String, Long> reservedFloors = new TreeMap<>();
            reader.readList(
                    MAX_LIST_LENGTH,
                    () -> reservedFloors.put(reader.readText(RegistryCommand.MAX_NAME_CHARS), reader.readLong()));
            Map<Long, List<String>> proposals = new LinkedHashMap<>();
            reader.readList(MAX_PROPOSALS, () -> {
                long id = reader.readLong();
                String[] pieces = new String[Math.min(reader.readNonNegativeInt(), RegistryCommand.MAX_PIECES)];
                reader.readList(RegistryCommand.MAX_PIECES, () -> {
                    int index = reader.readNonNegativeInt();
                    if (index >= pieces.length) {
                        throw new IOException("piece " + index + " of a proposal of " + pieces.length + " pieces");
                    }
                    pieces[index] = reader.readText(RegistryCommand.PIECE_CHARS);
                    return index;
                });
                return proposals.put(id, Arrays.asList(pieces));
            });
            reader.expect(JsonToken.END_ARRAY);
            reader.expectEnd();
            return new RuleRegistry.Snapshot(
                    active, pending, newest, versions, gatewayNames, reservedFloors, proposals);
        }
    }

    private static RuleRegistry.State versionState(int ordinal) throws IOException {
        if (ordinal >= RuleRegistry.State.values().length) {
            throw new IOException("unknown version state " + ordinal);
        }
        return RuleRegistry.State.values()[ordinal];
    }
}
