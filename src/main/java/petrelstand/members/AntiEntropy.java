package petrelstand.members;

import java.util.ArrayList;
import java.util.List;
import petrelstand.members.Message.DigestBuckets;
import petrelstand.members.Message.Gossip;

/** Finds by digests where two views differ, and exchanges the claims there: what rumours have missed is made up. */
final class AntiEntropy {
    /** How long a difference of digests may last before the parts are compared: news under way ends it before. */
    static final long DIFFER_US = 700_000;
    /** A process begins comparisons no more often than that: each may be answered by the whole view. */
    static final long LEAST_COMPARE_US = 350_000;

    private static final long NEVER = Long.MAX_VALUE;

    private final MembershipView view;
    private final Outbox outbox;
    private final Membership.Callbacks actions;
    private long differsSinceUs = NEVER;
    private long comparedUs;

    AntiEntropy(long nowUs, MembershipView view, Outbox outbox, Membership.Callbacks actions) {
        this.comparedUs = nowUs - LEAST_COMPARE_US;
        this.view = view;
        this.outbox = outbox;
        this.actions = actions;
    }

    /** Asks whoever is at an address to compare views. */
    void request(String address) {
        outbox.send(address, new DigestBuckets(view.digest().parts(), true));
    }

    /** A member told its digest: compares where they have differed for some time. */
    void digestHeard(long nowUs, String address, long digest) {
        if (digest == view.digest().value()) {
            differsSinceUs = NEVER;
        } else if (differsSinceUs == NEVER) {
            differsSinceUs = nowUs;
        } else if (nowUs - differsSinceUs >= DIFFER_US) {
            differsSinceUs = nowUs;
            actions.incrementCounter("fleet.compared");
            request(address);
        }
    }

    /** A member that is new or was away told its digest: compares at once where they differ. */
    void digestOfNewcomer(long nowUs, String address, long digest) {
        if (digest != view.digest().value() && nowUs - comparedUs >= LEAST_COMPARE_US) {
            comparedUs = nowUs;
            request(address);
        }
    }

    /** Sends what is held here where another's digest differs from this one's. */
    void compare(String address, DigestBuckets digests) {
        if (digests.buckets().size() != Message.BUCKETS || view.joining()) {
            return;
        }
        List<Long> own = view.digest().parts();
        List<Member> differ = differing(own, digests.buckets());
        // What is left out here is found by the next comparison; answers to joiners and pings go before it.
        for (int i = 0; i < differ.size() && outbox.hasSpare(); ) {
            int many = Message.fits(differ, i);
            outbox.send(address, new Gossip(differ.subList(i, i + many)));
            i += many;
        }
        if (digests.answer()) {
            outbox.send(address, new DigestBuckets(own, false));
        }
    }

    /** Those that are there first: what is gone only ends a difference where the other still holds it to be there. */
    private List<Member> differing(List<Long> own, List<Long> other) {
        List<Member> all = new ArrayList<>(List.of(view.self()));
        view.peers().forEach(peer -> all.add(peer.member));
        List<Member> differ = new ArrayList<>();
        for (Member member : all) {
            int bucket = ViewDigest.bucket(member);
            if (!own.get(bucket).equals(other.get(bucket))) {
                differ.add(member);
            }
        }
        differ.sort((a, b) -> a.state() != b.state()
                ? a.state().compareTo(b.state())
                : a.name().compareTo(b.name()));
        return differ;
    }
}
