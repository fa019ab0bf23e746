package petrelstand.core;

import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeState;

/** A storage node as listed, with the address at which this gateway reaches it. */
public record Node(String name, String address, NodeEntry entry) {
    public long number() {
        return entry.node();
    }

    public boolean isGone() {
        return entry.state() == NodeState.GONE;
    }

    /** Only requests that name its shard may go there: it does not speak the platform's protocol. */
    public boolean isPrivate() {
        return entry.shard() >= NodeEntry.FIRST_PRIVATE_SHARD;
    }

    /** The same node, no longer listed. */
    public Node asGone() {
        return withState(NodeState.GONE);
    }

    /** The same node in a state. */
    public Node withState(NodeState state) {
        return new Node(
                name,
                address,
                new NodeEntry(entry.node(), entry.zone(), entry.shard(), state, entry.rating(), entry.upSinceMs()));
    }

    /**
     * The number by which the decision module knows a node. It is made of the name alone, so that it outlives a restart
     * in learned state: the hex digits of an "s-" name, else a hash.
     */
    public static long numberOf(String name) {
        String digits = name.startsWith("s-") ? name.substring(2) : "";
        if (!digits.isEmpty() && digits.length() <= 8 && digits.chars().allMatch(c -> Character.digit(c, 16) >= 0)) {
            return Long.parseLong(digits, 16);
        }
        long hash = 0x811c9dc5L;
        for (int i = 0; i < name.length(); i++) {
            hash = ((hash ^ name.charAt(i)) * 0x01000193L) & 0xffffffffL;
        }
        return hash;
    }
}
