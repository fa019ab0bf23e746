package petrelstand.members;

import java.util.HashSet;
import java.util.Set;

/** Another member or a tombstone, with what this process has observed of it; times are microseconds. */
final class Peer {
    Member member;
    /** When it entered its state. */
    long stateSinceUs;

    /** Why it entered its state, for people to read. */
    String cause;
    /** When it was last heard, directly or through a relay; reset when it becomes watched. */
    long lastHeardUs;
    /** Whether it was last heard through a relay only. */
    boolean heardThroughRelay;
    /** Whether this process probes it. */
    boolean watched;
    /** Until when this process probes it as one of the checkers of a suspicion. */
    long checkUntilUs;

    long nextPingUs;
    long pingNonce;
    /** Names of the members that suspect it; empty unless it is suspect. */
    final Set<String> accusers = new HashSet<>();
    /** Silent while this process was isolated. Not gossiped, and reset once this process hears any member. */
    boolean unreachable;

    boolean isPresent() {
        return member.state().isPresent();
    }

    String name() {
        return member.name();
    }

    String address() {
        return member.address();
    }
}
