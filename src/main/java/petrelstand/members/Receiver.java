package petrelstand.members;

import java.util.List;
import petrelstand.members.Message.Ack;
import petrelstand.members.Message.DigestBuckets;
import petrelstand.members.Message.Envelope;
import petrelstand.members.Message.Gossip;
import petrelstand.members.Message.JoinRequest;
import petrelstand.members.Message.JoinResponse;
import petrelstand.members.Message.Ping;
import petrelstand.members.Message.PingRequest;
import petrelstand.members.PendingQuestions.Purpose;
import petrelstand.members.PendingQuestions.Question;

/** Takes messages that come: refuses strangers and repeats, answers probes, and hands the rest on. */
final class Receiver {
    private final String fleet;
    private final Parts parts;
    private final JoinProtocol join;
    private final Membership.Callbacks actions;
    private final MembershipView view;

    Receiver(String fleet, Parts parts, JoinProtocol join, Membership.Callbacks actions) {
        this.fleet = fleet;
        this.parts = parts;
        this.join = join;
        this.actions = actions;
        this.view = parts.view();
    }

    void receive(long nowUs, Envelope from) {
        if (!from.fleet().equals(fleet)) {
            actions.incrementCounter("fleet.refused.fleet");
            return;
        }
        if (from.senderBootId() == view.self().bootId()) {
            actions.incrementCounter("fleet.refused.own");
            return;
        }
        ReplayWindow window = parts.proven().window(from.senderBootId());
        if (window != null && !window.fresh(from.sequence())) {
            actions.incrementCounter("fleet.refused.repeat");
            return;
        }
        if (from.senderName().equals(view.self().name())) {
            parts.nameClaim().answerNamesake(from);
            return;
        }
        boolean proven = window != null;
        if (proven) {
            hear(nowUs, from);
        }
        dispatch(nowUs, from, proven);
    }

    private void dispatch(long nowUs, Envelope from, boolean proven) {
        if (from.message() instanceof JoinRequest asked) {
            join.answer(from, asked);
        } else if (from.message() instanceof JoinResponse answer) {
            join.answered(nowUs, from, answer);
        } else if (from.message() instanceof Ping ping) {
            acknowledge(from, ping);
            take(nowUs, from, proven, ping.news(), ping.digest());
        } else if (from.message() instanceof Ack ack) {
            acknowledged(nowUs, from, ack, proven);
        } else if (!proven) {
            parts.prober().challenge(from.senderName(), from.senderAddress());
        } else if (from.message() instanceof PingRequest ask) {
            parts.prober().probeFor(from.senderAddress(), ask);
        } else if (from.message() instanceof DigestBuckets digests) {
            parts.antiEntropy().compare(from.senderAddress(), digests);
        } else if (from.message() instanceof Gossip news) {
            learn(nowUs, from, news.news());
        }
    }

    private void acknowledge(Envelope from, Ping ping) {
        List<Member> news = parts.dissemination().newsFor(view.peer(from.senderName()));
        parts.outbox()
                .send(from.senderAddress(), new Ack(ping.nonce(), view.digest().value(), "", 0, news));
    }

    /** A life that has shown that it lives now. */
    private void hear(long nowUs, Envelope from) {
        parts.health().heardAny(nowUs);
        Peer peer = view.peer(from.senderName());
        if (peer != null && peer.member.bootId() == from.senderBootId()) {
            peer.heardUs = nowUs;
            peer.relayed = false;
        }
        if (view.anyUnreached() && !view.joining()) {
            List.copyOf(view.peers()).stream()
                    .filter(each -> each.unreached)
                    .forEach(each -> view.markReached(nowUs, each));
            view.updateStanding(nowUs);
        }
    }

    /** Nothing is taken of a life that has not answered a nonce of this process: what came may be a repeat. */
    private void take(long nowUs, Envelope from, boolean proven, List<Member> news, long digest) {
        if (!proven) {
            parts.prober().challenge(from.senderName(), from.senderAddress());
            return;
        }
        learn(nowUs, from, news);
        if (!view.joining()) {
            parts.antiEntropy().digestHeard(nowUs, from.senderAddress(), digest);
        }
    }

    private void learn(long nowUs, Envelope from, List<Member> news) {
        news.forEach(member -> parts.claims().learn(nowUs, member, from.senderName()));
    }

    private void acknowledged(long nowUs, Envelope from, Ack ack, boolean proven) {
        Question question = parts.pending().take(ack.nonce());
        if (question == null) {
            actions.incrementCounter("fleet.refused.late");
            return;
        }
        if (!ack.of().isEmpty()) {
            relayed(nowUs, question, ack, proven);
            return;
        }
        if (question.purpose() == Purpose.RELAY) {
            Ack relay = new Ack(
                    question.origin(), view.digest().value(), from.senderName(), from.senderBootId(), List.of());
            parts.outbox().send(question.address(), relay);
        }
        if (!proven) {
            parts.proven().prove(from.senderBootId(), from.sequence());
            hear(nowUs, from);
        }
        boolean stillProven = parts.proven().window(from.senderBootId()) != null;
        take(nowUs, from, stillProven, ack.news(), ack.digest());
        boolean newcomer = !proven || question.purpose() == Purpose.CHALLENGE;
        if (newcomer && !view.joining()) {
            parts.antiEntropy().digestOfNewcomer(nowUs, from.senderAddress(), ack.digest());
        }
    }

    /** A relay has heard the member that it was asked to probe. */
    private void relayed(long nowUs, Question question, Ack ack, boolean proven) {
        Peer peer = view.peer(question.name());
        boolean asked = proven && question.purpose() == Purpose.INDIRECT_PROBE;
        if (asked && peer != null && peer.member.bootId() == ack.ofBoot()) {
            peer.heardUs = nowUs;
            peer.relayed = true;
        }
    }
}
