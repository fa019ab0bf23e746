package petrelstand.members;

import java.util.ArrayList;
import java.util.List;
import petrelstand.members.Message.DigestBuckets;
import petrelstand.members.Message.Gossip;

/** Repairs differences between two views that gossip has missed: compares digests and sends the differing members. */
final class AntiEntropy {
    /** How long digests must differ before views are compared; gossip in flight usually resolves it sooner. */
    static final long MISMATCH_GRACE_US = 700_000;
    /** Minimum time between comparisons with newcomers, since the reply may be a whole view. */
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

    /** Sends this view's digest buckets and asks for the members that differ. */
    void requestComparison(String address) {
        outbox.send(address, new DigestBuckets(view.digest().bucketValues(), true));
    }

    /** Handles a member's digest: starts a comparison if the digests have differed for some time. */
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

    /** Handles the digest of a new or returning member: starts a comparison at once if the digests differ. */
    void onNewcomerDigest(long nowUs, String address, long digest) {
        if (digest != view.digest().value() && nowUs - lastCompareUs >= MIN_COMPARE_INTERVAL_US) {
            lastCompareUs = nowUs;
            requestComparison(address);
        }
    }

    /** Sends the members of all buckets in which the received digest differs from this view's. */
    void sendDifferences(String address, DigestBuckets received) {
        if (received.buckets().size() != Message.DIGEST_BUCKET_COUNT || view.isJoining()) {
            return;
        }
        List<Long> ownBuckets = view.digest().bucketValues();
        List<Member> differing = membersInDifferingBuckets(ownBuckets, received.buckets());
        // Leaves budget for replies to joins and pings; the next comparison sends the rest.
        for (int i = 0; i < differing.size() && outbox.hasBulkBudget(); ) {
            int count = Message.countFitting(differing, i);
            outbox.send(address, new Gossip(differing.subList(i, i + count)));
            i += count;
        }
        if (received.replyRequested()) {
            outbox.send(address, new DigestBuckets(ownBuckets, false));
        }
    }

    /** The differing members by state, present ones first, then by name. */
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
