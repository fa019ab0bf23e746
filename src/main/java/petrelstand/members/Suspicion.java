package petrelstand.members;

import java.util.List;
import java.util.TreeSet;

/** Suspects members that are silent, and decides when a suspect that does not refute in time has failed. */
final class Suspicion {
    /** Accusers that a suspect needs to fail, and members that check where a suspect has fewer. */
    static final int REQUIRED_ACCUSERS = 2;

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

    /** A member that this process watches has been silent for too long, directly and through relays. */
    void accuse(long nowUs, Peer peer) {
        String self = view.self().name();
        MemberState state = peer.member.state();
        if (state == MemberState.ALIVE) {
            callbacks.incrementCounter("fleet.suspected");
            long silentMs = (nowUs - peer.lastHeardUs) / 1000;
            Member suspect = peer.member.withState(MemberState.SUSPECT, self);
            view.applyUpdate(nowUs, peer, suspect, "silent for " + silentMs + " ms here and to those asked");
            dissemination.enqueue(peer.member);
        } else if (state == MemberState.SUSPECT && peer.accusers.add(self)) {
            dissemination.enqueue(peer.member.withState(MemberState.SUSPECT, self));
        } else if (state == MemberState.LEAVING) {
            view.applyUpdate(
                    nowUs, peer, peer.member.withState(MemberState.LEFT, ""), "silent after it told that it ends");
            dissemination.enqueue(peer.member);
        }
    }

    /** Whether a claim is another's accusation of a suspect that has too few; it is noted then. */
    boolean addCorroboration(Member update, Peer peer) {
        return update.isSameProcess(peer.member)
                && update.incarnation() == peer.member.incarnation()
                && update.state() == MemberState.SUSPECT
                && peer.member.state() == MemberState.SUSPECT
                && peer.accusers.size() < REQUIRED_ACCUSERS
                && peer.accusers.add(update.accuser());
    }

    /** For each suspect a few members look for themselves; which ones, all find alike. */
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

    /** Fails the suspects whose time is over; never while this process hears nobody. */
    void failExpiredSuspects(long nowUs, boolean isolated) {
        if (isolated) {
            return;
        }
        for (Peer peer : List.copyOf(view.suspects())) {
            if (nowUs >= deadlineUs(peer) && !peer.unreachable) {
                callbacks.incrementCounter("fleet.failed");
                String accusers = String.join(", ", new TreeSet<>(peer.accusers));
                Member failed = peer.member.withState(MemberState.FAILED, "");
                view.applyUpdate(nowUs, peer, failed, "no answer to the suspicion of " + accusers);
                dissemination.enqueue(peer.member);
            }
        }
    }

    /**
     * When a suspect's time is over: where two accuse it, or as many as there are to do so; else it has twice the time.
     * Where this process has heard the suspect since, the time begins anew: one that answered, and ended before it
     * could refute, would else be a suspect for ever.
     */
    private long deadlineUs(Peer peer) {
        boolean enoughAccusers = peer.accusers.size() >= Math.min(REQUIRED_ACCUSERS, view.presentPeerCount());
        return Math.max(peer.stateSinceUs, peer.lastHeardUs) + (enoughAccusers ? 1 : 2) * timing.failAfterUs();
    }
}
