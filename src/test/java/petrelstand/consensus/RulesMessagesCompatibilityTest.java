package petrelstand.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

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
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.agreement.RulesMessage;
import petrelstand.testing.StoredFiles;

/**
 * Guards against messages about rules that gateways of an earlier version can't read, or that this one can't read from
 * them. The files hold what {@link WireCodec#encode} made of {@link #voterMessages()} and {@link #TALK}, in order.
 */
class RulesMessagesCompatibilityTest {
    private static final String VOTERS_FILE = "wire/voter-messages.hex";
    private static final String TALK_FILE = "wire/rules-messages.hex";
    private static final String GROUP = "rules";

    static final List<RulesMessage> TALK = List.of(
            new RulesMessage.LeaseRequest(-101, 102, 3_000_001, 3_000_002, "no such plan: é"),
            new RulesMessage.LeaseAnswer(103, 9, 3_000_003, 3_000_004, true),
            new RulesMessage.NotLeader(104, "gateway-b"),
            new RulesMessage.VersionsChanged(3_000_005, 3_000_006),
            new RulesMessage.FetchPiece(105, 3_000_007, 2),
            new RulesMessage.TextPiece(106, 3_000_008, 3, 5, "units = 40\n"),
            new RulesMessage.ProposalPiece(
                    107, 3_000_009, "operator-1", "more for basic", 1_796_000_000_108L, 4, 6, "[limit basic]\n"),
            new RulesMessage.AdminRequest(109, "withdraw", 3_000_010, "gateway-o", "operator-2", "was wrong"),
            new RulesMessage.GenerationQuery(110),
            new RulesMessage.GenerationAnswer(111, 112),
            new RulesMessage.RequestAnswer(113, -1, 3_000_011, "the base is not the newest"));

    static Envelope parcel(RaftMessage raft, RulesMessage talk) {
        return new Envelope("coast", "gateway-a", "192.0.2.1:7001", 71, 72, raft, talk);
    }

    static List<RaftMessage> voterMessages() {
        List<RaftMessage> messages = new ArrayList<>(replicationMessages());
        messages.addAll(snapshotMessages());
        messages.addAll(electionMessages());
        return messages;
    }

    private static List<RaftMessage> replicationMessages() {
        return List.of(
                RaftLiterals.MODEL
                        .createAppendEntriesRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(RaftLiterals.A)
                        .setTerm(11)
                        .setPreviousLogTerm(12)
                        .setPreviousLogIndex(13)
                        .setCommitIndex(14)
                        .setQuerySequenceNumber(15)
                        .setFlowControlSequenceNumber(5_000_000_016L)
                        .setLogEntries(RaftLiterals.ENTRIES)
                        .build(),
                RaftLiterals.MODEL
                        .createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(RaftLiterals.A)
                        .setTerm(21)
                        .setLastLogIndex(22)
                        .setQuerySequenceNumber(23)
                        .setFlowControlSequenceNumber(24)
                        .build(),
                RaftLiterals.MODEL
                        .createAppendEntriesFailureResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(RaftLiterals.A)
                        .setTerm(31)
                        .setExpectedNextIndex(32)
                        .setQuerySequenceNumber(33)
                        .setFlowControlSequenceNumber(34)
                        .build());
    }

    private static List<RaftMessage> snapshotMessages() {
        RaftGroupMembersView view = RaftLiterals.view(
                45,
                RaftLiterals.names(RaftLiterals.A, RaftLiterals.B, RaftLiterals.C),
                RaftLiterals.names(RaftLiterals.A, RaftLiterals.C));
        SnapshotChunk chunk = RaftLiterals.chunk(43, 42, 1, 3, new byte[] {1, 2, -3}, view);
        return List.of(
                snapshotRequest(true, chunk, view),
                snapshotRequest(false, null, view),
                RaftLiterals.MODEL
                        .createInstallSnapshotResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(RaftLiterals.A)
                        .setTerm(51)
                        .setSnapshotIndex(52)
                        .setRequestedSnapshotChunkIndex(53)
                        .setQuerySequenceNumber(54)
                        .setFlowControlSequenceNumber(55)
                        .build());
    }

    private static InstallSnapshotRequest snapshotRequest(
            boolean leader, SnapshotChunk chunk, RaftGroupMembersView view) {
        return RaftLiterals.MODEL
                .createInstallSnapshotRequestBuilder()
                .setGroupId(GROUP)
                .setSender(RaftLiterals.A)
                .setTerm(41)
                .setSenderLeader(leader)
                .setSnapshotTerm(42)
                .setSnapshotIndex(43)
                .setTotalSnapshotChunkCount(44)
                .setSnapshotChunk(chunk)
                .setSnapshottedMembers(RaftLiterals.names(RaftLiterals.C, RaftLiterals.B))
                .setGroupMembersView(view)
                .setQuerySequenceNumber(46)
                .setFlowControlSequenceNumber(47)
                .build();
    }

    private static List<RaftMessage> electionMessages() {
        return List.of(
                RaftLiterals.MODEL
                        .createPreVoteRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(RaftLiterals.A)
                        .setTerm(61)
                        .setLastLogTerm(62)
                        .setLastLogIndex(63)
                        .build(),
                RaftLiterals.MODEL
                        .createPreVoteResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(RaftLiterals.A)
                        .setTerm(71)
                        .setGranted(true)
                        .build(),
                RaftLiterals.MODEL
                        .createVoteRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(RaftLiterals.A)
                        .setTerm(81)
                        .setLastLogTerm(82)
                        .setLastLogIndex(83)
                        .setSticky(true)
                        .build(),
                RaftLiterals.MODEL
                        .createVoteResponseBuilder()
                        .setGroupId(GROUP)
                        .setSender(RaftLiterals.A)
                        .setTerm(91)
                        .setGranted(true)
                        .build(),
                RaftLiterals.MODEL
                        .createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(RaftLiterals.A)
                        .setTerm(95)
                        .setLastLogTerm(96)
                        .setLastLogIndex(97)
                        .build());
    }

    private static List<Object> fields(RaftMessage message) {
        List<Object> fields = new ArrayList<>(List.of(message.getGroupId(), message.getSender(), message.getTerm()));
        if (message instanceof AppendEntriesRequest request) {
            fields.addAll(List.of(
                    1,
                    request.getPreviousLogTerm(),
                    request.getPreviousLogIndex(),
                    request.getCommitIndex(),
                    request.getQuerySequenceNumber(),
                    request.getFlowControlSequenceNumber()));
            request.getLogEntries().forEach(entry -> fields.add(RaftLiterals.fields(entry)));
        } else if (message instanceof AppendEntriesSuccessResponse response) {
            fields.addAll(List.of(
                    2,
                    response.getLastLogIndex(),
                    response.getQuerySequenceNumber(),
                    response.getFlowControlSequenceNumber()));
        } else if (message instanceof AppendEntriesFailureResponse response) {
            fields.addAll(List.of(
                    3,
                    response.getExpectedNextIndex(),
                    response.getQuerySequenceNumber(),
                    response.getFlowControlSequenceNumber()));
        } else if (message instanceof InstallSnapshotRequest request) {
            fields.addAll(List.of(
                    4,
                    request.isSenderLeader(),
                    request.getSnapshotTerm(),
                    request.getSnapshotIndex(),
                    request.getTotalSnapshotChunkCount(),
                    request.getSnapshotChunk() == null ? "" : RaftLiterals.fields(request.getSnapshotChunk()),
                    RaftLiterals.list(request.getSnapshottedMembers()),
                    RaftLiterals.fields(request.getGroupMembersView()),
                    request.getQuerySequenceNumber(),
                    request.getFlowControlSequenceNumber()));
        } else if (message instanceof InstallSnapshotResponse response) {
            fields.addAll(List.of(
                    5,
                    response.getSnapshotIndex(),
                    response.getRequestedSnapshotChunkIndex(),
                    response.getQuerySequenceNumber(),
                    response.getFlowControlSequenceNumber()));
        } else if (message instanceof PreVoteRequest request) {
            fields.addAll(List.of(6, request.getLastLogTerm(), request.getLastLogIndex()));
        } else if (message instanceof PreVoteResponse response) {
            fields.addAll(List.of(7, response.isGranted()));
        } else if (message instanceof VoteRequest request) {
            fields.addAll(List.of(8, request.getLastLogTerm(), request.getLastLogIndex(), request.isSticky()));
        } else if (message instanceof VoteResponse response) {
            fields.addAll(List.of(9, response.isGranted()));
        } else if (message instanceof TriggerLeaderElectionRequest request) {
            fields.addAll(List.of(10, request.getLastLogTerm(), request.getLastLogIndex()));
        }
        return fields;
    }

    @Test
    void voterMessagesAreReadAndWrittenAsBefore() throws Exception {
        List<byte[]> stored = StoredFiles.messages(VOTERS_FILE);
        List<RaftMessage> expected = voterMessages();
        assertEquals(expected.size(), stored.size());
        for (int i = 0; i < expected.size(); i++) {
            Envelope read = WireCodec.decode(stored.get(i));
            assertEquals(fields(expected.get(i)), fields(read.raftMessage()));
            assertEquals(parcel(read.raftMessage(), null), read);
            assertArrayEquals(stored.get(i), WireCodec.encode(read));
            assertArrayEquals(stored.get(i), WireCodec.encode(parcel(expected.get(i), null)));
        }
    }

    @Test
    void leaseAndProposalMessagesAreReadAndWrittenAsBefore() throws Exception {
        List<byte[]> stored = StoredFiles.messages(TALK_FILE);
        assertEquals(TALK.size(), stored.size());
        for (int i = 0; i < TALK.size(); i++) {
            Envelope read = WireCodec.decode(stored.get(i));
            assertEquals(parcel(null, TALK.get(i)), read);
            assertArrayEquals(stored.get(i), WireCodec.encode(read));
        }
    }
}
