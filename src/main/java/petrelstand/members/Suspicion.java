package petrelstand.members;

import java.util.List;
import java.util.TreeSet;

/** Marks silent members as suspect, and as failed if they do not refute the suspicion in time. */
final class Suspicion {
    /** Accusers needed for a suspect to fail after the regular time. */
    static final int REQUIRED_ACCUSERS = 2;

    /** Members that probe a suspect on hearing of the suspicion. */
    static final int MAX_CHECKERS = 3;

    private final MembershipTiming timing;
    private final MembershipView view;
    private final Dissemination dissemination;
    private final Membership.Callbacks callbacks;

    Suspicion(
            MembershipTiming timing, MembershipView view, Dissemination dissemination, Membership.Callbacks callbacks) {
        this.timing = timing;
        this.view = view;
        this.dissemination = dissemination;
        this.callbacks = callbacks;
    }

    /** Accuses a watched member that has been silent for too long, directly and through relays. */
    void accuse(long nowUs, Peer peer) {
        String self = view.self().name();
        MemberState state = peer.member.state();
        if (state == MemberState.ALIVE) {
            callbacks.incrementCounter("fleet.suspected");
            long silentMs = (nowUs - peer.lastHeardUs) / 1000;
            Member suspect = peer.member.withState(MemberState.SUSPECT, self);
            view.applyUpdate(nowUs, peer, suspect, "silent for " + silentMs + " ms to direct and relayed pings");
            dissemination.enqueue(peer.member);
        } else if (state == MemberState.SUSPECT && peer.accusers.add(self)) {
            dissemination.enqueue(peer.member.withState(MemberState.SUSPECT, self));
        } else if (state == MemberState.LEAVING) {
            view.applyUpdate(
                    nowUs, peer, peer.member.withState(MemberState.LEFT, ""), "silent after announcing that it leaves");
            dissemination.enqueue(peer.member);
        }
    }

    /** Records a further accuser of a suspect; returns whether the update was one and more accusers were needed. */
    boolean addCorroboration(Member update, Peer peer) {
        return update.isSameProcess(peer.member)
                && update.incarnation() == peer.member.incarnation()
                && update.state() == MemberState.SUSPECT
                && peer.member.state() == MemberState.SUSPECT
                && peer.accusers.size() < REQUIRED_ACCUSERS
                && peer.accusers.add(update.accuser());
    }

    /** Whether this process is one of the few members that check a suspect; all members compute the same ones. */
    boolean isChecker(Peer suspect) {
        long suspectHash = StableHash.hash(suspect.name());
        long ownRank = StableHash.mix(suspectHash ^ StableHash.hash(view.self().name()));
        int lowerRanked = 0;
        for (Peer peer : view.peers()) {
            if (peer != suspect
                    && peer.isPresent()
                    && StableHash.mix(suspectHash ^ StableHash.hash(peer.name())) < ownRank) {
                lowerRanked++;
            }
        }
        return lowerRanked < MAX_CHECKERS;
    }

    /** Marks suspects as failed once their deadline has passed, unless this process is isolated. */
    void failExpiredSuspects(long nowUs, boolean isolated) {
        if (isolated) {
            return;
        }
        for (Peer peer : List.copyOf(view.suspects())) {
            if (nowUs >= deadlineUs(peer) && !peer.unreachable) {
                callbacks.incrementCounter("fleet.failed");
                String accusers = String.join(", ", new TreeSet<>(peer.accusers));
                Member failed = peer.member.withState(MemberState.FAILED, "");
                view.applyUpdate(nowUs, peer, failed, "did not refute the suspicion by " + accusers);
                dissemination.enqueue(peer.member);
            }
        }
    }

    /**
     * When a suspect fails. It has twice the time while it has fewer accusers than needed. The time starts again when
     * this process hears the suspect, so that one that answers and dies before it refutes still fails.
     */
    private long deadlineUs(Peer peer) {
        boolean enoughAccusers = peer.accusers.size() >= Math.min(REQUIRED_ACCUSERS, view.presentPeerCount());
        return Math.max(peer.stateSinceUs, peer.lastHeardUs) + (enoughAccusers ? 1 : 2) * timing.failAfterUs();
    }
}
