package petrelstand.members;

import java.util.function.BiPredicate;
import java.util.function.LongConsumer;

/** Takes claims that proven members tell: newer ones replace what is held, false ones on this process are refuted. */
final class ClaimIntake {
    private final MembershipView view;
    private final Dissemination dissemination;
    private final Suspicion suspicion;
    private final FailureDetector detector;
    private final NameClaim nameClaim;
    private final BiPredicate<Member, Member> supersedes;
    private final LongConsumer raiseIncarnation;
    private final Membership.Callbacks actions;

    /**
     * An intake.
     *
     * @param supersedes whether a claim, the first, replaces what is known
     * @param raiseIncarnation raises this process's incarnation above one that was claimed
     */
    ClaimIntake(
            MembershipView view,
            Dissemination dissemination,
            Suspicion suspicion,
            FailureDetector detector,
            NameClaim nameClaim,
            BiPredicate<Member, Member> supersedes,
            LongConsumer raiseIncarnation,
            Membership.Callbacks actions) {
        this.view = view;
        this.dissemination = dissemination;
        this.suspicion = suspicion;
        this.detector = detector;
        this.nameClaim = nameClaim;
        this.supersedes = supersedes;
        this.raiseIncarnation = raiseIncarnation;
        this.actions = actions;
    }

    /** A proven member tells a claim. */
    void learn(long nowUs, Member claim, String teller) {
        if (claim.name().equals(view.self().name())) {
            learnOfSelf(nowUs, claim);
        } else if (claim.state() == MemberState.JOINING) {
            actions.incrementCounter("fleet.refused.claim");
        } else {
            learnOfPeer(nowUs, claim, teller);
        }
    }

    private void learnOfPeer(long nowUs, Member claim, String teller) {
        Peer peer = view.peer(claim.name());
        if (peer == null) {
            peer = view.admit(nowUs, claim.name());
            if (peer == null) {
                actions.incrementCounter("fleet.refused.room");
                return;
            }
            take(nowUs, peer, claim, "told by " + teller);
        } else if (supersedes.test(claim, peer.member)) {
            boolean restarted =
                    claim.bootId() != peer.member.bootId() && claim.state().isPresent();
            take(nowUs, peer, claim, restarted ? "restarted, told by " + teller : "told by " + teller);
        } else if (suspicion.corroborates(claim, peer)) {
            dissemination.spread(claim);
        }
    }

    private void take(long nowUs, Peer peer, Member claim, String cause) {
        view.apply(nowUs, peer, claim, cause);
        dissemination.spread(claim);
        if (claim.state() == MemberState.SUSPECT) {
            detector.checkSuspect(nowUs, peer);
        }
    }

    private void learnOfSelf(long nowUs, Member claim) {
        Member self = view.self();
        if (view.joining() || claim.incarnation() < self.incarnation()) {
            return;
        }
        boolean own = claim.bootId() == self.bootId();
        boolean elsewhere =
                !own && claim.state().isPresent() && !claim.address().equals(self.address());
        if (elsewhere && claim.incarnation() > self.incarnation()) {
            nameClaim.stepBack(nowUs, claim);
        } else if (!own || claim.state().compareTo(self.state()) > 0) {
            refute(claim);
        }
    }

    private void refute(Member claim) {
        raiseIncarnation.accept(claim.incarnation());
        view.refuted();
        actions.incrementCounter("fleet.refuted");
        if (claim.state() == MemberState.FAILED) {
            actions.logMessage("held to be failed by others; incarnation is now "
                    + view.self().incarnation());
        }
        dissemination.spread(view.self());
    }
}
