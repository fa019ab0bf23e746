package petrelstand.consensus;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import petrelstand.agreement.RegistryCommand;
import petrelstand.agreement.RuleRegistry;

/**
 * Makes one voter's folder the beginning of a new epoch, after a majority of voters was lost for ever. Its book becomes
 * a snapshot that this voter alone holds; others are added to it afterwards. The version that was acted on gets a
 * number of the new epoch, above all of the one before, so that no gateway that has heard of it goes back to the old
 * voters. The epoch has a drawn part: two recoveries that know nothing of each other do not pass for one.
 */
public final class QuorumRecovery {
    private final RaftFiles files;
    private final RuleRegistry registry = new RuleRegistry();
    private final String voterName;
    private final List<String> voters = new ArrayList<>();
    private final int term;
    private final long index;

    /** Looks at a folder that no process has; writes nothing. */
    public QuorumRecovery(RaftFiles files) throws IOException {
        this.files = files;
        RestoredRaftState state = files.restoredState();
        if (state == null) {
            throw new IOException("the folder holds no votes");
        }
        voterName = String.valueOf(
                state.getLocalEndpointPersistentState().getLocalEndpoint().getId());
        long at = 0;
        int last = state.getTermPersistentState().getTerm();
        RaftGroupMembersView members = state.getInitialGroupMembers();
        if (state.getSnapshotEntry() != null) {
            List<Object> chunks = new ArrayList<>();
            for (Object chunk : (List<?>) state.getSnapshotEntry().getOperation()) {
                chunks.add(((SnapshotChunk) chunk).getOperation());
            }
            registry.restore(WireCodec.whole(chunks));
            at = state.getSnapshotEntry().getIndex();
            members = state.getSnapshotEntry().getGroupMembersView();
        }
        // What is in the log may have been acknowledged by a majority with this voter in it, and is taken whole.
        for (LogEntry entry : state.getLogEntries()) {
            if (entry.getOperation() instanceof RegistryCommand command) {
                registry.apply(command);
            }
            at = Math.max(at, entry.getIndex());
            last = Math.max(last, entry.getTerm());
        }
        for (RaftEndpoint voter : members.getVotingMembers()) {
            voters.add(String.valueOf(voter.getId()));
        }
        term = last;
        index = at;
    }

    /** Whose folder it is. */
    public String voterName() {
        return voterName;
    }

    /** The voters as this folder first knew them, or since its last snapshot. */
    public List<String> voters() {
        return List.copyOf(voters);
    }

    public RuleRegistry registry() {
        return registry;
    }

    /** A word that names what was looked at; to be given back, so that nobody recovers another folder than he saw. */
    public String fingerprint() {
        return String.format(
                "%08x",
                (voterName + " " + term + " " + index + " " + registry.newest() + " " + registry.active()).hashCode());
    }

    /**
     * Writes the new beginning; {@code drawn} is a random number. Returns the version that is acted on from then on.
     */
    public long write(String who, String why, long wallMs, int drawn) throws IOException {
        long epoch = (RuleRegistry.epoch(registry.newest()) / RuleRegistry.TAGS_PER_EPOCH_NUMBER + 1)
                        * RuleRegistry.TAGS_PER_EPOCH_NUMBER
                + Math.floorMod(drawn, RuleRegistry.TAGS_PER_EPOCH_NUMBER);
        RuleRegistry.Snapshot old = registry.snapshot();
        long number = epoch * RuleRegistry.VERSIONS_PER_EPOCH;
        List<RuleRegistry.Version> versions = new ArrayList<>();
        for (RuleRegistry.Version version : old.versions()) {
            if (version.number() == old.active()) {
                versions.add(new RuleRegistry.Version(
                        number,
                        version.number(),
                        who,
                        "recovered: " + why,
                        wallMs,
                        RuleRegistry.State.ACTED_ON,
                        version.limits(),
                        version.text()));
            }
        }
        boolean acted = !versions.isEmpty();
        RuleRegistry.Snapshot fresh = new RuleRegistry.Snapshot(
                acted ? number : 0, 0, number, versions, old.gatewayNames(), old.reservedFloors(), java.util.Map.of());
        Set<RaftEndpoint> alone = Set.of(new VoterEndpoint(voterName));
        RaftGroupMembersView view = WireCodec.MODEL
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(alone)
                .setVotingMembers(alone)
                .build();
        List<byte[]> chunks = WireCodec.chunks(fresh);
        files.reset(voterName, view, term + 1, index + 1, chunks);
        return number;
    }
}
