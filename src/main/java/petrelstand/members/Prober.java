package petrelstand.members;

import petrelstand.members.Message.Ping;
import petrelstand.members.Message.PingRequest;
import petrelstand.members.PendingQuestions.Purpose;

/** Sends pings, each noted with what it is for. */
final class Prober {
    private final MembershipView view;
    private final PendingQuestions pending;
    private final Dissemination dissemination;
    private final Outbox outbox;

    Prober(MembershipView view, PendingQuestions pending, Dissemination dissemination, Outbox outbox) {
        this.view = view;
        this.pending = pending;
        this.dissemination = dissemination;
        this.outbox = outbox;
    }

    /** Probes a watched member; an earlier probe of it is given up. */
    void probe(Peer peer) {
        pending.take(peer.pingNonce);
        peer.pingNonce = pending.add(Purpose.PROBE, peer.name(), peer.address(), 0);
        ping(peer.address(), peer.pingNonce, peer);
    }

    /** Asks a relay to probe a member. */
    void probeThrough(Peer relay, Peer peer) {
        long nonce = pending.add(Purpose.INDIRECT_PROBE, peer.name(), peer.address(), 0);
        outbox.send(relay.address(), new PingRequest(nonce, peer.name(), peer.address()));
    }

    /** Probes a member in the place of another, which wants to know under a nonce of its own. */
    void probeFor(String asker, PingRequest ask) {
        long nonce = pending.add(Purpose.RELAY, ask.name(), asker, ask.nonce());
        ping(ask.address(), nonce, view.peer(ask.name()));
    }

    /** Asks a life to prove itself. */
    void challenge(String name, String address) {
        long nonce = pending.add(Purpose.CHALLENGE, name, address, 0);
        ping(address, nonce, view.peer(name));
    }

    /** Asks whoever is at an address to prove itself. */
    void challengeAt(String address) {
        long nonce = pending.add(Purpose.CHALLENGE, "", address, 0);
        ping(address, nonce, view.peerAt(address));
    }

    private void ping(String address, long nonce, Peer peer) {
        outbox.send(address, new Ping(nonce, view.digest().value(), dissemination.newsFor(peer)));
    }
}
