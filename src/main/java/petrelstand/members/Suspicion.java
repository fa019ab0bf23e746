package petrelstand.members;

import java.util.List;
import java.util.TreeSet;

/** Suspects members that are silent, and decides when a suspect that does not refute in time has failed. */
final class Suspicion {
    /** Accusers that a suspect needs to fail, and members that check where a suspect has fewer. */
    static final int ACCUSERS = 2;

    static final int CHECKERS = 3;

    private final MembershipTiming timing;
    private final MembershipView view;
    private final Dissemination dissemination;
    private final Membership.Callbacks actions;

    Suspicion(MembershipTiming timing, MembershipView view, Dissemination dissemination, Membership.Callbacks actions) {
        this.timing = timing;
        this.view = view;
        this.dissemination = dissemination;
        this.actions = actions;
    }

    /** A member that this process watches has been silent for too long, directly and through relays. */
    void accuse(long nowUs, Peer peer) {
        String self = view.self().name();
        MemberState state = peer.member.state();
        if (state == MemberState.ALIVE) {
            actions.incrementCounter("fleet.suspected");
            long silentMs = (nowUs - peer.heardUs) / 1000;
            Member suspect = peer.member.as(MemberState.SUSPECT, self);
            view.apply(nowUs, peer, suspect, "silent for " + silentMs + " ms here and to those asked");
            dissemination.spread(peer.member);
        } else if (state == MemberState.SUSPECT && peer.accusers.add(self)) {
            dissemination.spread(peer.member.as(MemberState.SUSPECT, self));
        } else if (state == MemberState.LEAVING) {
            view.apply(nowUs, peer, peer.member.as(MemberState.LEFT, ""), "silent after it told that it ends");
            dissemination.spread(peer.member);
        }
    }

    /** Whether a claim is another's accusation of a suspect that has too few; it is noted then. */
    boolean corroborates(Member claim, Peer peer) {
        return claim.sameLife(peer.member)
                && claim.incarnation() == peer.member.incarnation()
                && claim.state() == MemberState.SUSPECT
                && peer.member.state() == MemberState.SUSPECT
                && peer.accusers.size() < ACCUSERS
                && peer.accusers.add(claim.accuser());
    }

    /** For each suspect a few members look for themselves; which ones, all find alike. */
    boolean isChecker(Peer suspect) {
        long of = Hash.of(suspect.name());
        long own = Hash.mix(of ^ Hash.of(view.self().name()));
        int before = 0;
        for (Peer peer : view.peers()) {
            if (peer != suspect && peer.present() && Hash.mix(of ^ Hash.of(peer.name())) < own) {
                before++;
            }
        }
        return before < CHECKERS;
    }

    /** Fails the suspects whose time is over; never while this process hears nobody. */
    void decide(long nowUs, boolean isolated) {
        if (isolated) {
            return;
        }
        for (Peer peer : List.copyOf(view.suspects())) {
            if (nowUs >= dueUs(peer) && !peer.unreached) {
                actions.incrementCounter("fleet.failed");
                String accusers = String.join(", ", new TreeSet<>(peer.accusers));
                Member failed = peer.member.as(MemberState.FAILED, "");
                view.apply(nowUs, peer, failed, "no answer to the suspicion of " + accusers);
                dissemination.spread(peer.member);
            }
        }
    }

    /**
     * When a suspect's time is over: where two accuse it, or as many as there are to do so; else it has twice the time.
     * Where this process has heard the suspect since, the time begins anew: one that answered, and ended before it
     * could refute, would else be a suspect for ever.
     */
    private long dueUs(Peer peer) {
        boolean enough = peer.accusers.size() >= Math.min(ACCUSERS, view.others());
        return Math.max(peer.sinceUs, peer.heardUs) + (enough ? 1 : 2) * timing.failAfterUs();
    }
}
