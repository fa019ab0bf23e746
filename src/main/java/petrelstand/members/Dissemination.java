package petrelstand.members;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import petrelstand.members.Message.Gossip;

/** Gossips membership updates: each is sent a number of times that grows with the logarithm of the fleet's size. */
final class Dissemination {
    /** Members that receive gossip in one round. */
    static final int FAN_OUT = 3;

    /** Minimum interval between gossip rounds. */
    static final long ROUND_INTERVAL_US = 100_000;
    /** With more queued updates than this, those sent least often go first. */
    private static final int MAX_UNSORTED_UPDATES = 6;

    /** An update and how often it is still to be sent. */
    private static final class QueuedUpdate {
        final Member member;
        int remainingSends;

        QueuedUpdate(Member member, int remainingSends) {
            this.member = member;
            this.remainingSends = remainingSends;
        }
    }

    private final MembershipView view;
    private final VerifiedProcesses verified;
    private final Outbox outbox;
    private final SplittableRandom random;
    private final LinkedHashMap<String, QueuedUpdate> queue = new LinkedHashMap<>();
    private long nextRoundUs;

    Dissemination(MembershipView view, VerifiedProcesses verified, Outbox outbox, SplittableRandom random) {
        this.view = view;
        this.verified = verified;
        this.outbox = outbox;
        this.random = random;
    }

    int queueSize() {
        return queue.size();
    }

    void clear() {
        queue.clear();
    }

    void remove(String name) {
        queue.remove(name);
    }

    /**
     * Queues an update. It replaces the queued update on the same member, unless it is a further accuser's suspicion.
     */
    void enqueue(Member member) {
        int sends = FAN_OUT * (Integer.SIZE - Integer.numberOfLeadingZeros(view.presentPeerCount() + 2));
        String key = isAdditionalAccusation(member) ? member.name() + "\0" + member.accuser() : member.name();
        queue.remove(key);
        queue.put(key, new QueuedUpdate(member, sends));
    }

    private boolean isAdditionalAccusation(Member member) {
        QueuedUpdate queued = queue.get(member.name());
        return member.state() == MemberState.SUSPECT
                && queued != null
                && !queued.member.accuser().equals(member.accuser());
    }

    /** The updates to piggyback on a message to a peer: first the one on the peer itself, so that it can refute it. */
    List<Member> updatesFor(Peer peer) {
        if (view.isJoining()) {
            return List.of();
        }
        List<Member> updates = new ArrayList<>();
        if (peer != null && peer.member.state() != MemberState.ALIVE) {
            updates.add(peer.member);
        }
        appendQueued(updates);
        return updates;
    }

    /** Adds queued updates up to the size limit of a message. */
    private void appendQueued(List<Member> updates) {
        List<Map.Entry<String, QueuedUpdate>> entries = new ArrayList<>(queue.entrySet());
        if (entries.size() > MAX_UNSORTED_UPDATES) {
            entries.sort((a, b) -> Integer.compare(b.getValue().remainingSends, a.getValue().remainingSends));
        }
        int bytes = updates.stream().mapToInt(Message::maxEncodedBytes).sum();
        for (Map.Entry<String, QueuedUpdate> entry : entries) {
            Member member = entry.getValue().member;
            bytes += Message.maxEncodedBytes(member);
            if (updates.size() >= Message.MAX_UPDATES || bytes > Message.MAX_UPDATES_BYTES) {
                break;
            }
            updates.add(member);
            if (--entry.getValue().remainingSends <= 0) {
                queue.remove(entry.getKey());
            }
        }
    }

    /** Sends a gossip round if one is due. */
    void tick(long nowUs) {
        if (nowUs >= nextRoundUs && !queue.isEmpty()) {
            sendRound(nowUs);
        }
    }

    /** Sends gossip to a few random members. Verified ones go first; others may ignore updates from this process. */
    void sendRound(long nowUs) {
        List<Peer> verifiedPeers = new ArrayList<>();
        List<Peer> unverifiedPeers = new ArrayList<>();
        for (Peer peer : view.rings().members()) {
            if (!peer.unreachable) {
                (verified.contains(peer.member.bootId()) ? verifiedPeers : unverifiedPeers).add(peer);
            }
        }
        for (int i = 0; i < FAN_OUT && verifiedPeers.size() + unverifiedPeers.size() > 0 && !queue.isEmpty(); i++) {
            List<Peer> candidates = verifiedPeers.isEmpty() ? unverifiedPeers : verifiedPeers;
            Peer target = candidates.remove(random.nextInt(candidates.size()));
            List<Member> updates = new ArrayList<>();
            appendQueued(updates);
            outbox.send(target.address(), new Gossip(updates));
        }
        nextRoundUs = nowUs + ROUND_INTERVAL_US;
    }
}
