package petrelstand.members;

import java.util.function.BiPredicate;
import java.util.function.LongConsumer;

/**
 * Applies membership updates from verified members: newer ones replace what is known, false ones on this process are
 * refuted.
 */
final class UpdateProcessor {
    private final MembershipView view;
    private final Dissemination dissemination;
    private final Suspicion suspicion;
    private final FailureDetector detector;
    private final NameOwnership nameOwnership;
    private final BiPredicate<Member, Member> supersedes;
    private final LongConsumer raiseIncarnation;
    private final Membership.Callbacks callbacks;

    /**
     * Creates a processor.
     *
     * @param supersedes whether an update, the first argument, replaces what is known, the second
     * @param raiseIncarnation raises this process's incarnation above the given one
     */
    UpdateProcessor(
            MembershipView view,
            Dissemination dissemination,
            Suspicion suspicion,
            FailureDetector detector,
            NameOwnership nameOwnership,
            BiPredicate<Member, Member> supersedes,
            LongConsumer raiseIncarnation,
            Membership.Callbacks callbacks) {
        this.view = view;
        this.dissemination = dissemination;
        this.suspicion = suspicion;
        this.detector = detector;
        this.nameOwnership = nameOwnership;
        this.supersedes = supersedes;
        this.raiseIncarnation = raiseIncarnation;
        this.callbacks = callbacks;
    }

    /** Applies an update that a verified member sent. */
    void process(long nowUs, Member update, String senderName) {
        if (update.name().equals(view.self().name())) {
            processSelfUpdate(nowUs, update);
        } else if (update.state() == MemberState.JOINING) {
            callbacks.incrementCounter("fleet.refused.claim");
        } else {
            processPeerUpdate(nowUs, update, senderName);
        }
    }

    private void processPeerUpdate(long nowUs, Member update, String senderName) {
        Peer peer = view.peer(update.name());
        if (peer == null) {
            peer = view.addPeer(nowUs, update.name());
            if (peer == null) {
                callbacks.incrementCounter("fleet.refused.room");
                return;
            }
            apply(nowUs, peer, update, "reported by " + senderName);
        } else if (supersedes.test(update, peer.member)) {
            boolean restarted =
                    update.bootId() != peer.member.bootId() && update.state().isPresent();
            apply(
                    nowUs,
                    peer,
                    update,
                    restarted ? "restarted, reported by " + senderName : "reported by " + senderName);
        } else if (suspicion.addCorroboration(update, peer)) {
            dissemination.enqueue(update);
        }
    }

    private void apply(long nowUs, Peer peer, Member update, String cause) {
        view.applyUpdate(nowUs, peer, update, cause);
        dissemination.enqueue(update);
        if (update.state() == MemberState.SUSPECT) {
            detector.checkSuspect(nowUs, peer);
        }
    }

    private void processSelfUpdate(long nowUs, Member update) {
        Member self = view.self();
        if (view.isJoining() || update.incarnation() < self.incarnation()) {
            return;
        }
        boolean sameProcess = update.bootId() == self.bootId();
        boolean runsElsewhere =
                !sameProcess && update.state().isPresent() && !update.address().equals(self.address());
        if (runsElsewhere && update.incarnation() > self.incarnation()) {
            nameOwnership.yieldName(nowUs, update);
        } else if (!sameProcess || update.state().compareTo(self.state()) > 0) {
            refute(update);
        }
    }

    private void refute(Member update) {
        raiseIncarnation.accept(update.incarnation());
        view.recordRefutation();
        callbacks.incrementCounter("fleet.refuted");
        if (update.state() == MemberState.FAILED) {
            callbacks.logMessage("refuted a report that this gateway has failed; its incarnation is now "
                    + view.self().incarnation());
        }
        dissemination.enqueue(view.self());
    }
}
