package petrelstand.members;

import java.util.ArrayList;
import java.util.List;
import petrelstand.members.Message.DigestBuckets;
import petrelstand.members.Message.Gossip;

/** Finds by digests where two views differ, and exchanges the claims there: what rumours have missed is made up. */
final class AntiEntropy {
    /** How long a difference of digests may last before the parts are compared: news under way ends it before. */
    static final long MISMATCH_GRACE_US = 700_000;
    /** A process begins comparisons no more often than that: each may be answered by the whole view. */
    static final long MIN_COMPARE_INTERVAL_US = 350_000;

    private static final long NEVER = Long.MAX_VALUE;

    private final MembershipView view;
    private final Outbox outbox;
    private final Membership.Callbacks callbacks;
    private long differsSinceUs = NEVER;
    private long lastCompareUs;

    AntiEntropy(long nowUs, MembershipView view, Outbox outbox, Membership.Callbacks callbacks) {
        this.lastCompareUs = nowUs - MIN_COMPARE_INTERVAL_US;
        this.view = view;
        this.outbox = outbox;
        this.callbacks = callbacks;
    }

    /** Asks whoever is at an address to compare views. */
    void requestComparison(String address) {
        outbox.send(address, new DigestBuckets(view.digest().bucketValues(), true));
    }

    /** A member told its digest: compares where they have differed for some time. */
    void onDigest(long nowUs, String address, long digest) {
        if (digest == view.digest().value()) {
            differsSinceUs = NEVER;
        } else if (differsSinceUs == NEVER) {
            differsSinceUs = nowUs;
        } else if (nowUs - differsSinceUs >= MISMATCH_GRACE_US) {
            differsSinceUs = nowUs;
            callbacks.incrementCounter("fleet.compared");
            requestComparison(address);
        }
    }

    /** A member that is new or was away told its digest: compares at once where they differ. */
    void onNewcomerDigest(long nowUs, String address, long digest) {
        if (digest != view.digest().value() && nowUs - lastCompareUs >= MIN_COMPARE_INTERVAL_US) {
            lastCompareUs = nowUs;
            requestComparison(address);
        }
    }

    /** Sends what is held here where another's digest differs from this one's. */
    void sendDifferences(String address, DigestBuckets received) {
        if (received.buckets().size() != Message.DIGEST_BUCKET_COUNT || view.isJoining()) {
            return;
        }
        List<Long> ownBuckets = view.digest().bucketValues();
        List<Member> differing = membersInDifferingBuckets(ownBuckets, received.buckets());
        // What is left out here is found by the next comparison; answers to joiners and pings go before it.
        for (int i = 0; i < differing.size() && outbox.hasBulkBudget(); ) {
            int count = Message.countFitting(differing, i);
            outbox.send(address, new Gossip(differing.subList(i, i + count)));
            i += count;
        }
        if (received.replyRequested()) {
            outbox.send(address, new DigestBuckets(ownBuckets, false));
        }
    }

    /** Those that are there first: what is gone only ends a difference where the other still holds it to be there. */
    private List<Member> membersInDifferingBuckets(List<Long> ownBuckets, List<Long> otherBuckets) {
        List<Member> members = new ArrayList<>(List.of(view.self()));
        view.peers().forEach(peer -> members.add(peer.member));
        List<Member> differing = new ArrayList<>();
        for (Member member : members) {
            int bucket = ViewDigest.bucketOf(member);
            if (!ownBuckets.get(bucket).equals(otherBuckets.get(bucket))) {
                differing.add(member);
            }
        }
        differing.sort((a, b) -> a.state() != b.state()
                ? a.state().compareTo(b.state())
                : a.name().compareTo(b.name()));
        return differing;
    }
}
