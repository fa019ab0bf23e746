package petrelstand.members;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import petrelstand.members.Message.Envelope;
import petrelstand.members.Message.JoinRequest;
import petrelstand.members.Message.JoinResponse;
import petrelstand.members.PendingQuestions.Purpose;
import petrelstand.members.PendingQuestions.Question;

/** How a process joins, admits others, and goes on trying seeds and failed members once it is a member. */
final class JoinProtocol {
    /** Members named to a newcomer. */
    static final int NAMED = 6;

    /** Seeds, or members known before, tried at a time. */
    private static final int TRIED_AT_A_TIME = 2;

    private final MembershipTiming timing;
    private final SplittableRandom random;
    private final Parts parts;
    private final MembershipView view;
    private final LongConsumer raiseIncarnation;
    private final Membership.Callbacks actions;
    private final Set<String> seeds;
    /** Where members were before this process was away. */
    private final Set<String> former = new LinkedHashSet<>();

    private long nextRetryUs;
    private int turn;

    JoinProtocol(
            Collection<String> seeds,
            MembershipTiming timing,
            SplittableRandom random,
            Parts parts,
            LongConsumer raiseIncarnation,
            Membership.Callbacks actions) {
        this.seeds = new LinkedHashSet<>(seeds);
        this.seeds.remove(parts.view().self().address());
        this.timing = timing;
        this.random = random;
        this.parts = parts;
        this.view = parts.view();
        this.raiseIncarnation = raiseIncarnation;
        this.actions = actions;
    }

    /** Members were at these addresses, and may be there still. */
    void rememberFormer(Collection<String> addresses) {
        former.clear();
        former.addAll(addresses);
    }

    /** Joins anew, at once. */
    void restart(long nowUs) {
        parts.nameClaim().restart();
        nextRetryUs = nowUs;
    }

    /** Retries where it is time. */
    void tick(long nowUs) {
        if (nowUs >= nextRetryUs) {
            retry(nowUs);
            nextRetryUs = nowUs + (long) (timing.retryIntervalUs() * (0.75 + 0.5 * random.nextDouble()));
        }
    }

    /** Joining asks seeds and members known; a member tries seeds that are none and one that failed. */
    private void retry(long nowUs) {
        view.forgetOldTombstones(nowUs);
        boolean joining = view.joining();
        List<String> targets = retryTargets(joining);
        for (String address : targets) {
            if (joining) {
                long nonce = parts.pending().add(Purpose.JOIN, "", address, 0);
                parts.outbox().send(address, new JoinRequest(nonce, view.self()));
            } else {
                parts.prober().challengeAt(address);
            }
        }
        if (joining && !parts.departure().begun() && parts.nameClaim().mayTakeUnanswered(targets.isEmpty())) {
            enter(nowUs, "nobody answers");
        }
    }

    private List<String> retryTargets(boolean joining) {
        Set<String> known = new LinkedHashSet<>(seeds);
        if (joining) {
            known.addAll(former);
        }
        Set<String> present = new HashSet<>();
        List<String> gone = new ArrayList<>();
        for (Peer peer : view.peers()) {
            (peer.present() && !peer.unreached && !joining ? present : gone).add(peer.address());
        }
        List<String> tried = new ArrayList<>(known);
        tried.removeAll(present);
        gone.removeAll(tried);
        gone.remove(view.self().address());
        Collections.sort(gone);
        List<String> targets = new ArrayList<>();
        for (int i = 0; i < TRIED_AT_A_TIME && !tried.isEmpty(); i++) {
            targets.add(tried.remove(Math.floorMod(turn++, tried.size())));
        }
        if (!gone.isEmpty()) {
            targets.add(gone.get(random.nextInt(gone.size())));
        }
        return targets;
    }

    /** Another process asks whether its name is free. */
    void answer(Envelope from, JoinRequest join) {
        Member other = join.self();
        if (!other.name().equals(from.senderName()) || other.bootId() != from.senderBootId()) {
            actions.incrementCounter("fleet.refused.claim");
            return;
        }
        Peer peer = view.peer(other.name());
        Member holder = peer == null ? null : peer.member;
        boolean taken = peer != null && isHeldFrom(peer, other);
        parts.outbox().send(from.senderAddress(), new JoinResponse(join.nonce(), !taken, holder, drawnMembers()));
        if (taken) {
            actions.incrementCounter("fleet.refused.name");
        }
    }

    /** Whether a name is another process's; a new life at the same address is a restart. */
    private static boolean isHeldFrom(Peer holder, Member other) {
        return holder.present()
                && !holder.unreached
                && holder.member.bootId() != other.bootId()
                && !holder.address().equals(other.address());
    }

    /** Some members that are there, drawn. */
    private List<Member> drawnMembers() {
        List<Peer> there = new ArrayList<>(view.rings().members());
        List<Member> drawn = new ArrayList<>();
        while (drawn.size() < NAMED && !there.isEmpty()) {
            Peer peer = there.remove(random.nextInt(there.size()));
            if (!peer.unreached) {
                drawn.add(peer.member);
            }
        }
        return drawn.subList(0, Message.fits(drawn, 0));
    }

    /** A member has answered whether this process's name is free. */
    void answered(long nowUs, Envelope from, JoinResponse answer) {
        Question question = parts.pending().take(answer.nonce());
        if (question == null || question.purpose() != Purpose.JOIN) {
            actions.incrementCounter("fleet.refused.late");
            return;
        }
        parts.proven().proveOnce(from.senderBootId(), from.sequence());
        parts.health().heardAny(nowUs);
        if (!view.joining() || parts.departure().begun()) {
            return;
        }
        Member holder = answer.holder();
        if (!answer.welcome() && holder != null) {
            parts.nameClaim().stepBack(nowUs, holder);
            return;
        }
        if (holder != null && isFormerLife(holder)) {
            raiseIncarnation.accept(holder.incarnation());
        }
        enter(nowUs, "welcomed by " + from.senderName());
        answer.some().forEach(member -> parts.claims().learn(nowUs, member, from.senderName()));
        fetchView(from, answer.some());
    }

    /** Whether a claim is on this process's name but not on its life as it is. */
    private boolean isFormerLife(Member holder) {
        Member self = view.self();
        boolean differs = holder.bootId() != self.bootId() || holder.state() != MemberState.ALIVE;
        return holder.name().equals(self.name()) && differs;
    }

    /** What is known is asked of any member: a fleet that starts at once would ask it all of its seeds. */
    private void fetchView(Envelope from, List<Member> members) {
        if (members.isEmpty()) {
            parts.antiEntropy().request(from.senderAddress());
        } else {
            Member one = members.get(random.nextInt(members.size()));
            parts.prober().challenge(one.name(), one.address());
        }
    }

    private void enter(long nowUs, String cause) {
        parts.nameClaim().won();
        view.becomes(nowUs, MemberState.ALIVE, cause);
        parts.health().heardAny(nowUs);
        view.resetObservations(nowUs);
        parts.detector().clear();
        former.clear();
        parts.dissemination().spread(view.self());
        view.updateStanding(nowUs);
    }
}
