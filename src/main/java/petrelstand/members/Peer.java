package petrelstand.members;

import java.util.HashSet;
import java.util.Set;

/** Another member, or one that is gone, with what this process has observed of it; times are microseconds. */
final class Peer {
    Member member;
    /** When it became what it is, and why. */
    long sinceUs;

    String cause;
    /** When it was last heard, from itself or through others; for one newly watched, when that began. */
    long heardUs;
    /** Whether it was last heard through a relay. */
    boolean relayed;
    /** Whether it is probed by this process. */
    boolean watched;
    /** Until when this process probes it as a checker of its suspicion. */
    long checkUntilUs;

    long nextPingUs;
    long pingNonce;
    /** Names of those who suspect it; empty where it is no suspect. */
    final Set<String> accusers = new HashSet<>();
    /** Silent while this process heard nobody: not told to others, and taken back once it hears anybody. */
    boolean unreached;

    boolean present() {
        return member.state().isPresent();
    }

    String name() {
        return member.name();
    }

    String address() {
        return member.address();
    }
}
