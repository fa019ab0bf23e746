package petrelstand.members;

import java.util.ArrayList;
import java.util.List;

/** The digest of a view: the same wherever the same members are held to be there, in the same state and incarnation. */
final class ViewDigest {
    private final long[] buckets = new long[Message.BUCKETS];

    /** Adds a member that is there, or takes it out; one that is not there changes nothing. */
    void toggle(Member member) {
        if (member.state().isPresent()) {
            buckets[bucket(member)] ^= Hash.of(member);
        }
    }

    long value() {
        long all = 0;
        for (long bucket : buckets) {
            all = Hash.mix(all ^ bucket);
        }
        return all;
    }

    /** The digest's parts: where two gateways' differ, their views differ in members of that part. */
    List<Long> parts() {
        List<Long> parts = new ArrayList<>();
        for (long bucket : buckets) {
            parts.add(bucket);
        }
        return parts;
    }

    /** The part that a member is in. */
    static int bucket(Member member) {
        return (int) Math.floorMod(Hash.of(member.name()), (long) Message.BUCKETS);
    }
}
