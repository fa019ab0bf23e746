package petrelstand.members;

import petrelstand.members.Message.Ping;
import petrelstand.members.Message.PingRequest;
import petrelstand.members.PendingRequests.Purpose;

/** Sends pings and records the purpose of each as a pending request. */
final class Prober {
    private final MembershipView view;
    private final PendingRequests pending;
    private final Dissemination dissemination;
    private final Outbox outbox;

    Prober(MembershipView view, PendingRequests pending, Dissemination dissemination, Outbox outbox) {
        this.view = view;
        this.pending = pending;
        this.dissemination = dissemination;
        this.outbox = outbox;
    }

    /** Probes a watched member; replaces its earlier probe. */
    void probe(Peer peer) {
        pending.remove(peer.pingNonce);
        peer.pingNonce = pending.add(Purpose.PROBE, peer.name(), peer.address(), 0);
        sendPing(peer.address(), peer.pingNonce, peer);
    }

    /** Asks a relay to probe a member. */
    void probeThroughRelay(Peer relay, Peer peer) {
        long nonce = pending.add(Purpose.INDIRECT_PROBE, peer.name(), peer.address(), 0);
        outbox.send(relay.address(), new PingRequest(nonce, peer.name(), peer.address()));
    }

    /** Probes a member on behalf of a requester, which gets an {@link Message.Ack} with its own nonce. */
    void probeOnBehalfOf(String requesterAddress, PingRequest request) {
        long nonce = pending.add(Purpose.RELAY, request.targetName(), requesterAddress, request.nonce());
        sendPing(request.targetAddress(), nonce, view.peer(request.targetName()));
    }

    /** Asks a process to prove that it is running now. */
    void challenge(String name, String address) {
        long nonce = pending.add(Purpose.CHALLENGE, name, address, 0);
        sendPing(address, nonce, view.peer(name));
    }

    /** Asks the process at an address, whatever its name, to prove that it is running now. */
    void challengeAddress(String address) {
        long nonce = pending.add(Purpose.CHALLENGE, "", address, 0);
        sendPing(address, nonce, view.peerAt(address));
    }

    private void sendPing(String address, long nonce, Peer peer) {
        outbox.send(address, new Ping(nonce, view.digest().value(), dissemination.updatesFor(peer)));
    }
}
