package petrelstand.members;

import java.util.ArrayList;
import java.util.List;

/** The digest of a view: the same wherever the same members are held to be there, in the same state and incarnation. */
final class ViewDigest {
    private final long[] buckets = new long[Message.DIGEST_BUCKET_COUNT];

    /** Adds a member that is there, or takes it out; one that is not there changes nothing. */
    void toggle(Member member) {
        if (member.state().isPresent()) {
            buckets[bucketOf(member)] ^= StableHash.hash(member);
        }
    }

    long value() {
        long combined = 0;
        for (long bucket : buckets) {
            combined = StableHash.mix(combined ^ bucket);
        }
        return combined;
    }

    /** The digest's parts: where two gateways' differ, their views differ in members of that part. */
    List<Long> bucketValues() {
        List<Long> values = new ArrayList<>();
        for (long bucket : buckets) {
            values.add(bucket);
        }
        return values;
    }

    /** The part that a member is in. */
    static int bucketOf(Member member) {
        return (int) Math.floorMod(StableHash.hash(member.name()), (long) Message.DIGEST_BUCKET_COUNT);
    }
}
