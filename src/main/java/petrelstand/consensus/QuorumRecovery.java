package petrelstand.consensus;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import petrelstand.agreement.RegistryCommand;
import petrelstand.agreement.RuleRegistry;

/**
 * Begins a new epoch from one voter's folder after a majority of the voters is lost for good. The registry becomes a
 * snapshot with this voter as the only one; others are added afterwards. The active version gets a number of the new
 * epoch, higher than all numbers of the old one, so that no gateway that knows it returns to the old voters. A random
 * tag in the epoch tells two independent recoveries apart.
 */
public final class QuorumRecovery {
    private final RaftFiles files;
    private final RuleRegistry registry = new RuleRegistry();
    private final String voterName;
    private final List<String> voters = new ArrayList<>();
    private final int term;
    private final long index;

    /** Reads the state of a stopped voter; writes nothing. */
    public QuorumRecovery(RaftFiles files) throws IOException {
        this.files = files;
        RestoredRaftState state = files.restoredState();
        if (state == null) {
            throw new IOException("the folder holds no state of a voter");
        }
        voterName = String.valueOf(
                state.getLocalEndpointPersistentState().getLocalEndpoint().getId());
        long lastIndex = 0;
        int lastTerm = state.getTermPersistentState().getTerm();
        RaftGroupMembersView members = state.getInitialGroupMembers();
        if (state.getSnapshotEntry() != null) {
            List<Object> chunks = new ArrayList<>();
            for (Object chunk : (List<?>) state.getSnapshotEntry().getOperation()) {
                chunks.add(((SnapshotChunk) chunk).getOperation());
            }
            registry.restore(WireCodec.decodeSnapshot(chunks));
            lastIndex = state.getSnapshotEntry().getIndex();
            members = state.getSnapshotEntry().getGroupMembersView();
        }
        // Any entry of the log may have been acknowledged by a majority that included this voter, so all are applied.
        for (LogEntry entry : state.getLogEntries()) {
            if (entry.getOperation() instanceof RegistryCommand command) {
                registry.apply(command);
            }
            lastIndex = Math.max(lastIndex, entry.getIndex());
            lastTerm = Math.max(lastTerm, entry.getTerm());
        }
        for (RaftEndpoint voter : members.getVotingMembers()) {
            voters.add(String.valueOf(voter.getId()));
        }
        term = lastTerm;
        index = lastIndex;
    }

    /** The name of the voter whose folder this is. */
    public String voterName() {
        return voterName;
    }

    /** The voters as of the folder's last snapshot, or as of its first start if it has none. */
    public List<String> voters() {
        return List.copyOf(voters);
    }

    /** The registry with all of the folder's log applied. */
    public RuleRegistry registry() {
        return registry;
    }

    /** A hash of the state, by which an operator confirms that the folder to recover is the one that was inspected. */
    public String fingerprint() {
        return String.format(
                "%08x",
                (voterName + " " + term + " " + index + " " + registry.newest() + " " + registry.active()).hashCode());
    }

    /**
     * Writes the start of the new epoch over the folder's state.
     *
     * @param randomTag a random number
     * @return the first version of the new epoch, which is active if the folder had an active version
     */
    public long write(String author, String reason, long wallMs, int randomTag) throws IOException {
        long epoch = (RuleRegistry.epoch(registry.newest()) / RuleRegistry.TAGS_PER_EPOCH_NUMBER + 1)
                        * RuleRegistry.TAGS_PER_EPOCH_NUMBER
                + Math.floorMod(randomTag, RuleRegistry.TAGS_PER_EPOCH_NUMBER);
        RuleRegistry.Snapshot old = registry.snapshot();
        long number = epoch * RuleRegistry.VERSIONS_PER_EPOCH;
        List<RuleRegistry.Version> versions = new ArrayList<>();
        for (RuleRegistry.Version version : old.versions()) {
            if (version.number() == old.active()) {
                versions.add(new RuleRegistry.Version(
                        number,
                        version.number(),
                        author,
                        "recovered: " + reason,
                        wallMs,
                        RuleRegistry.State.ACTED_ON,
                        version.limits(),
                        version.text()));
            }
        }
        boolean hasActive = !versions.isEmpty();
        RuleRegistry.Snapshot recovered = new RuleRegistry.Snapshot(
                hasActive ? number : 0, 0, number, versions, old.gatewayNames(), old.reservedFloors(), Map.of());
        Set<RaftEndpoint> onlyThisVoter = Set.of(new VoterEndpoint(voterName));
        RaftGroupMembersView members = WireCodec.MODEL
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(onlyThisVoter)
                .setVotingMembers(onlyThisVoter)
                .build();
        List<byte[]> chunks = WireCodec.encodeSnapshot(recovered);
        files.reset(voterName, members, term + 1, index + 1, chunks);
        return number;
    }
}
