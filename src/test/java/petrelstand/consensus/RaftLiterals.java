package petrelstand.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import java.util.Collection;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import petrelstand.agreement.RegistryCommand;

/**
 * Values of the consensus library for the compatibility tests, and their fields as lists: the library's own classes
 * don't compare by value.
 */
final class RaftLiterals {
    static final DefaultRaftModelFactory MODEL = new DefaultRaftModelFactory();
    static final VoterEndpoint A = new VoterEndpoint("gateway-a");
    static final VoterEndpoint B = new VoterEndpoint("gateway-b");
    static final VoterEndpoint C = new VoterEndpoint("gateway-c");

    /** An entry with each kind of command, and one with a change of voters. */
    static final List<LogEntry> ENTRIES = List.of(
            entry(4, 1, new RegistryCommand.NewTerm()),
            entry(5, 2, new RegistryCommand.RegisterGateway("gateway-n")),
            entry(6, 3, new RegistryCommand.AddPiece(101, 1, 3, "[limit basic]\nunits = 40 # é\n")),
            entry(
                    7,
                    4,
                    new RegistryCommand.Propose(
                            102,
                            3_000_007,
                            "operator-1",
                            "more for basic",
                            1_796_000_000_103L,
                            2,
                            List.of(
                                    new RegistryCommand.PlanLimit("basic", 40, 3),
                                    new RegistryCommand.PlanLimit("priority", 5_000_000_000L, 9)))),
            entry(8, 5, new RegistryCommand.Activate(3_000_008, -104)),
            entry(9, 6, new RegistryCommand.Withdraw(3_000_009, "operator-2", "was wrong")),
            entry(10, 7, new RegistryCommand.ForgetGateway("gateway-o")),
            entry(
                    11,
                    8,
                    MODEL.createUpdateRaftGroupMembersOpBuilder()
                            .setMembers(names(A, B, C))
                            .setVotingMembers(names(C, B))
                            .setEndpoint(C)
                            .setMode(MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER)
                            .build()));

    private RaftLiterals() {}

    static Set<RaftEndpoint> names(RaftEndpoint... names) {
        return new LinkedHashSet<>(List.of(names));
    }

    static LogEntry entry(long index, int term, Object operation) {
        return MODEL.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(operation)
                .build();
    }

    static RaftGroupMembersView view(long index, Set<RaftEndpoint> members, Set<RaftEndpoint> voters) {
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(index)
                .setMembers(members)
                .setVotingMembers(voters)
                .build();
    }

    static SnapshotChunk chunk(long index, int term, int place, int count, byte[] content, RaftGroupMembersView view) {
        return MODEL.createSnapshotChunkBuilder()
                .setIndex(index)
                .setTerm(term)
                .setSnapshotChunkIndex(place)
                .setSnapshotChunkCount(count)
                .setOperation(content)
                .setGroupMembersView(view)
                .build();
    }

    static List<Object> fields(LogEntry entry) {
        Object operation = entry.getOperation() instanceof UpdateRaftGroupMembersOp change
                ? List.of(
                        list(change.getMembers()),
                        list(change.getVotingMembers()),
                        change.getEndpoint(),
                        change.getMode())
                : entry.getOperation();
        return List.of(entry.getIndex(), entry.getTerm(), operation);
    }

    static List<Object> fields(RaftGroupMembersView view) {
        return List.of(view.getLogIndex(), list(view.getMembers()), list(view.getVotingMembers()));
    }

    static List<Object> fields(SnapshotChunk chunk) {
        return List.of(
                chunk.getIndex(),
                chunk.getTerm(),
                chunk.getSnapshotChunkIndex(),
                chunk.getSnapshotChunkCount(),
                HexFormat.of().formatHex((byte[]) chunk.getOperation()),
                fields(chunk.getGroupMembersView()));
    }

    static List<RaftEndpoint> list(Collection<RaftEndpoint> names) {
        return List.copyOf(names);
    }
}
