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
import petrelstand.members.PendingRequests.PendingRequest;
import petrelstand.members.PendingRequests.Purpose;

/** Handles received messages: refuses those of other fleets and replayed ones, answers probes, dispatches the rest. */
final class MessageReceiver {
    private final String fleet;
    private final MembershipComponents components;
    private final JoinProtocol joinProtocol;
    private final Membership.Callbacks callbacks;
    private final MembershipView view;

    MessageReceiver(
            String fleet, MembershipComponents components, JoinProtocol joinProtocol, Membership.Callbacks callbacks) {
        this.fleet = fleet;
        this.components = components;
        this.joinProtocol = joinProtocol;
        this.callbacks = callbacks;
        this.view = components.view();
    }

    void receive(long nowUs, Envelope envelope) {
        if (!envelope.fleet().equals(fleet)) {
            callbacks.incrementCounter("fleet.refused.fleet");
            return;
        }
        if (envelope.senderBootId() == view.self().bootId()) {
            callbacks.incrementCounter("fleet.refused.own");
            return;
        }
        ReplayWindow window = components.verified().window(envelope.senderBootId());
        if (window != null && !window.accept(envelope.sequence())) {
            callbacks.incrementCounter("fleet.refused.repeat");
            return;
        }
        if (envelope.senderName().equals(view.self().name())) {
            components.nameOwnership().answerNameConflict(envelope);
            return;
        }
        boolean verified = window != null;
        if (verified) {
            recordHeard(nowUs, envelope);
        }
        dispatch(nowUs, envelope, verified);
    }

    private void dispatch(long nowUs, Envelope envelope, boolean verified) {
        if (envelope.message() instanceof JoinRequest joinRequest) {
            joinProtocol.handleJoinRequest(envelope, joinRequest);
        } else if (envelope.message() instanceof JoinResponse response) {
            joinProtocol.handleJoinResponse(nowUs, envelope, response);
        } else if (envelope.message() instanceof Ping ping) {
            sendAck(envelope, ping);
            processUpdatesAndDigest(nowUs, envelope, verified, ping.updates(), ping.digest());
        } else if (envelope.message() instanceof Ack ack) {
            handleAck(nowUs, envelope, ack, verified);
        } else if (!verified) {
            components.prober().challenge(envelope.senderName(), envelope.senderAddress());
        } else if (envelope.message() instanceof PingRequest pingRequest) {
            components.prober().probeOnBehalfOf(envelope.senderAddress(), pingRequest);
        } else if (envelope.message() instanceof DigestBuckets digestBuckets) {
            components.antiEntropy().sendDifferences(envelope.senderAddress(), digestBuckets);
        } else if (envelope.message() instanceof Gossip gossip) {
            processUpdates(nowUs, envelope, gossip.updates());
        }
    }

    private void sendAck(Envelope envelope, Ping ping) {
        List<Member> updates = components.dissemination().updatesFor(view.peer(envelope.senderName()));
        components
                .outbox()
                .send(
                        envelope.senderAddress(),
                        new Ack(ping.nonce(), view.digest().value(), "", 0, updates));
    }

    /** Records that a verified process was heard. */
    private void recordHeard(long nowUs, Envelope envelope) {
        components.health().recordHeard(nowUs);
        Peer peer = view.peer(envelope.senderName());
        if (peer != null && peer.member.bootId() == envelope.senderBootId()) {
            peer.lastHeardUs = nowUs;
            peer.heardThroughRelay = false;
        }
        if (view.hasUnreachablePeers() && !view.isJoining()) {
            List.copyOf(view.peers()).stream()
                    .filter(other -> other.unreachable)
                    .forEach(other -> view.markReachable(nowUs, other));
            view.updateVisibility(nowUs);
        }
    }

    /** Accepts updates of verified processes only, since others' messages may be replayed; challenges the others. */
    private void processUpdatesAndDigest(
            long nowUs, Envelope envelope, boolean verified, List<Member> updates, long digest) {
        if (!verified) {
            components.prober().challenge(envelope.senderName(), envelope.senderAddress());
            return;
        }
        processUpdates(nowUs, envelope, updates);
        if (!view.isJoining()) {
            components.antiEntropy().onDigest(nowUs, envelope.senderAddress(), digest);
        }
    }

    private void processUpdates(long nowUs, Envelope envelope, List<Member> updates) {
        updates.forEach(member -> components.updateProcessor().process(nowUs, member, envelope.senderName()));
    }

    private void handleAck(long nowUs, Envelope envelope, Ack ack, boolean verified) {
        PendingRequest request = components.pending().remove(ack.nonce());
        if (request == null) {
            callbacks.incrementCounter("fleet.refused.late");
            return;
        }
        if (!ack.subjectName().isEmpty()) {
            handleRelayedAck(nowUs, request, ack, verified);
            return;
        }
        if (request.purpose() == Purpose.RELAY) {
            Ack relayedAck = new Ack(
                    request.requesterNonce(),
                    view.digest().value(),
                    envelope.senderName(),
                    envelope.senderBootId(),
                    List.of());
            components.outbox().send(request.address(), relayedAck);
        }
        if (!verified) {
            components.verified().add(envelope.senderBootId(), envelope.sequence());
            recordHeard(nowUs, envelope);
        }
        boolean nowVerified = components.verified().window(envelope.senderBootId()) != null;
        processUpdatesAndDigest(nowUs, envelope, nowVerified, ack.updates(), ack.digest());
        boolean newcomer = !verified || request.purpose() == Purpose.CHALLENGE;
        if (newcomer && !view.isJoining()) {
            components.antiEntropy().onNewcomerDigest(nowUs, envelope.senderAddress(), ack.digest());
        }
    }

    /** Handles a relay's report that the member it was asked to probe has answered. */
    private void handleRelayedAck(long nowUs, PendingRequest request, Ack ack, boolean verified) {
        Peer peer = view.peer(request.name());
        boolean expected = verified && request.purpose() == Purpose.INDIRECT_PROBE;
        if (expected && peer != null && peer.member.bootId() == ack.subjectBootId()) {
            peer.lastHeardUs = nowUs;
            peer.heardThroughRelay = true;
        }
    }
}
