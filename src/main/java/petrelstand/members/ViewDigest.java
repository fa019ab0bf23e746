package petrelstand.members;

import java.util.ArrayList;
import java.util.List;

/** Incremental digest of a view's present members, their states and incarnations. Equal views have equal digests. */
final class ViewDigest {
    private final long[] buckets = new long[Message.DIGEST_BUCKET_COUNT];

    /** Adds a present member, or removes it if it was added before; ignores members that are not present. */
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

    /** The buckets of the digest; two views differ in members of those buckets that differ. */
    List<Long> bucketValues() {
        List<Long> values = new ArrayList<>();
        for (long bucket : buckets) {
            values.add(bucket);
        }
        return values;
    }

    /** The index of the bucket that a member belongs to. */
    static int bucketOf(Member member) {
        return (int) Math.floorMod(StableHash.hash(member.name()), (long) Message.DIGEST_BUCKET_COUNT);
    }
}
