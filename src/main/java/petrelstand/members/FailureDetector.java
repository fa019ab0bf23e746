package petrelstand.members;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Probes the members that this process watches, directly and through relays, and accuses those that stay silent. */
final class FailureDetector {
    /** Others asked to probe a silent member. */
    static final int RELAYS = 2;

    private final MembershipTiming timing;
    private final MembershipView view;
    private final Prober prober;
    private final Suspicion suspicion;
    private final SplittableRandom random;
    private final Set<Peer> watched = new LinkedHashSet<>();

    FailureDetector(
            MembershipTiming timing, MembershipView view, Prober prober, Suspicion suspicion, SplittableRandom random) {
        this.timing = timing;
        this.view = view;
        this.prober = prober;
        this.suspicion = suspicion;
        this.random = random;
    }

    /** Nobody is watched until the next tick. */
    void clear() {
        watched.clear();
    }

    /** Probes whom it is due to probe. */
    void tick(long nowUs, boolean isolated) {
        Set<Peer> subjects = view.rings().subjects(nowUs, silentUs());
        for (Peer peer : subjects) {
            if (watched.add(peer)) {
                peer.watched = true;
                peer.heardUs = nowUs;
                peer.nextPingUs = nowUs + (long) (random.nextDouble() * timing.pingIntervalUs());
            }
        }
        for (Peer peer : List.copyOf(watched)) {
            peer.watched = subjects.contains(peer) || peer.present() && nowUs < peer.checkUntilUs;
            if (peer.watched) {
                probe(nowUs, peer, isolated);
            } else {
                watched.remove(peer);
            }
        }
    }

    /** Two pings without an answer. */
    private long silentUs() {
        return 2 * timing.pingIntervalUs();
    }

    private void probe(long nowUs, Peer peer, boolean isolated) {
        long silentUs = nowUs - peer.heardUs;
        if (nowUs >= peer.nextPingUs) {
            prober.probe(peer);
            long everyUs =
                    silentUs > timing.pingIntervalUs() * 3 / 2 ? timing.pingIntervalUs() / 2 : timing.pingIntervalUs();
            peer.nextPingUs = nowUs + (long) (everyUs * (0.9 + 0.2 * random.nextDouble()));
            if (silentUs >= silentUs() || peer.relayed) {
                probeIndirectly(nowUs, peer);
            }
        }
        if (silentUs >= timing.suspectAfterUs() && !isolated) {
            suspicion.accuse(nowUs, peer);
        }
    }

    /** Asks a few relays, drawn among those heard of late: they are the likeliest to hear an answer. */
    private void probeIndirectly(long nowUs, Peer peer) {
        List<Peer> relays = relaysFor(peer);
        int fresh = 0;
        while (fresh < relays.size() && nowUs - relays.get(fresh).heardUs < silentUs()) {
            fresh++;
        }
        int among = Math.max(Math.min(RELAYS, relays.size()), fresh);
        for (int i = 0; i < RELAYS && among > 0; i++) {
            Peer relay = relays.remove(random.nextInt(among--));
            prober.probeThrough(relay, peer);
        }
    }

    /** All that could relay, those heard last first. */
    private List<Peer> relaysFor(Peer peer) {
        List<Peer> relays = new ArrayList<>();
        for (Peer other : view.peers()) {
            if (other != peer && other.member.state() == MemberState.ALIVE && !other.unreached) {
                relays.add(other);
            }
        }
        relays.sort((a, b) -> a.heardUs != b.heardUs
                ? Long.compare(b.heardUs, a.heardUs)
                : a.name().compareTo(b.name()));
        return relays;
    }

    /** Watches a member that others suspect for as long as its suspicion lasts, where this process is to check it. */
    void checkSuspect(long nowUs, Peer peer) {
        if (peer.watched || !suspicion.isChecker(peer)) {
            return;
        }
        peer.checkUntilUs = nowUs + timing.failAfterUs() + timing.suspectAfterUs();
        peer.nextPingUs = nowUs;
        peer.watched = watched.add(peer);
        peer.heardUs = Math.min(peer.heardUs, nowUs - timing.suspectAfterUs() + silentUs());
    }
}
