package petrelstand.core;

import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeState;

/**
 * A storage node as listed.
 *
 * @param name the node's name
 * @param address the address at which this gateway reaches the node
 * @param entry the node as the decision module sees it
 */
public record Node(String name, String address, NodeEntry entry) {
    /** The number by which the decision module identifies the node; see {@link #numberOf}. */
    public long number() {
        return entry.node();
    }

    public boolean isGone() {
        return entry.state() == NodeState.GONE;
    }

    /** True if the node serves only requests that name its shard, because it does not speak the platform's protocol. */
    public boolean isPrivate() {
        return entry.shard() >= NodeEntry.FIRST_PRIVATE_SHARD;
    }

    /** This node, no longer listed. */
    public Node asGone() {
        return withState(NodeState.GONE);
    }

    /** This node in another state. */
    public Node withState(NodeState state) {
        return new Node(
                name,
                address,
                new NodeEntry(entry.node(), entry.zone(), entry.shard(), state, entry.rating(), entry.upSinceMs()));
    }

    /**
     * Derives a node's number from its name alone, so that state learned before a restart still applies: the
     * hexadecimal digits of a name "s-DIGITS" with up to eight digits, else the name's 32-bit FNV-1a hash.
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
