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
import petrelstand.agreement.Command;
import petrelstand.agreement.RuleBook;

/**
 * Makes one voter's folder the beginning of a new epoch, after a majority of voters was lost for ever. Its book becomes
 * a snapshot that this voter alone holds; others are added to it afterwards. The version that was acted on gets a
 * number of the new epoch, above all of the one before, so that no gateway that has heard of it goes back to the old
 * voters. The epoch has a drawn part: two recoveries that know nothing of each other do not pass for one.
 */
public final class Recovery {
    private final RaftFiles files;
    private final RuleBook book = new RuleBook();
    private final String name;
    private final List<String> voters = new ArrayList<>();
    private final int term;
    private final long index;

    /** Looks at a folder that no process has; writes nothing. */
    public Recovery(RaftFiles files) throws IOException {
        this.files = files;
        RestoredRaftState state = files.restored();
        if (state == null) {
            throw new IOException("the folder holds no votes");
        }
        name = String.valueOf(
                state.getLocalEndpointPersistentState().getLocalEndpoint().getId());
        long at = 0;
        int last = state.getTermPersistentState().getTerm();
        RaftGroupMembersView members = state.getInitialGroupMembers();
        if (state.getSnapshotEntry() != null) {
            List<Object> chunks = new ArrayList<>();
            for (Object chunk : (List<?>) state.getSnapshotEntry().getOperation()) {
                chunks.add(((SnapshotChunk) chunk).getOperation());
            }
            book.become(Wire.whole(chunks));
            at = state.getSnapshotEntry().getIndex();
            members = state.getSnapshotEntry().getGroupMembersView();
        }
        // What is in the log may have been acknowledged by a majority with this voter in it, and is taken whole.
        for (LogEntry entry : state.getLogEntries()) {
            if (entry.getOperation() instanceof Command command) {
                book.apply(command);
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
    public String name() {
        return name;
    }

    /** The voters as this folder first knew them, or since its last snapshot. */
    public List<String> voters() {
        return List.copyOf(voters);
    }

    public RuleBook book() {
        return book;
    }

    /** A word that names what was looked at; to be given back, so that nobody recovers another folder than he saw. */
    public String print() {
        return String.format(
                "%08x", (name + " " + term + " " + index + " " + book.newest() + " " + book.active()).hashCode());
    }

    /**
     * Writes the new beginning; {@code drawn} is a random number. Returns the version that is acted on from then on.
     */
    public long write(String who, String why, long wallMs, int drawn) throws IOException {
        long epoch = (RuleBook.epoch(book.newest()) / RuleBook.TAGS + 1) * RuleBook.TAGS
                + Math.floorMod(drawn, RuleBook.TAGS);
        RuleBook.Whole old = book.whole();
        long number = epoch * RuleBook.EPOCH;
        List<RuleBook.Version> versions = new ArrayList<>();
        for (RuleBook.Version version : old.versions()) {
            if (version.number() == old.active()) {
                versions.add(new RuleBook.Version(
                        number,
                        version.number(),
                        who,
                        "recovered: " + why,
                        wallMs,
                        RuleBook.State.ACTED_ON,
                        version.figures(),
                        version.text()));
            }
        }
        boolean acted = !versions.isEmpty();
        RuleBook.Whole fresh = new RuleBook.Whole(
                acted ? number : 0, 0, number, versions, old.names(), old.marks(), java.util.Map.of());
        Set<RaftEndpoint> alone = Set.of(new Name(name));
        RaftGroupMembersView view = Wire.MODEL
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(alone)
                .setVotingMembers(alone)
                .build();
        List<byte[]> chunks = Wire.chunks(fresh);
        files.begin(name, view, term + 1, index + 1, chunks);
        return number;
    }
}
