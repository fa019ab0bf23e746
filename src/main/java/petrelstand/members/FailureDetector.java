package petrelstand.members;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Probes the members that this process watches, directly and through relays, and suspects those that stay silent. */
final class FailureDetector {
    /** Members asked to probe a silent member. */
    static final int RELAYS_PER_PROBE = 2;

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

    /** Stops watching all members until the next tick. */
    void clear() {
        watched.clear();
    }

    /** Updates the set of watched members and probes those that are due. */
    void tick(long nowUs, boolean isolated) {
        Set<Peer> targets = view.rings().watchTargets(nowUs, silenceThresholdUs());
        for (Peer peer : targets) {
            if (watched.add(peer)) {
                peer.watched = true;
                peer.lastHeardUs = nowUs;
                peer.nextPingUs = nowUs + (long) (random.nextDouble() * timing.pingIntervalUs());
            }
        }
        for (Peer peer : List.copyOf(watched)) {
            peer.watched = targets.contains(peer) || peer.isPresent() && nowUs < peer.checkUntilUs;
            if (peer.watched) {
                probe(nowUs, peer, isolated);
            } else {
                watched.remove(peer);
            }
        }
    }

    /** Silence after which relays are asked as well. */
    private long silenceThresholdUs() {
        return 2 * timing.pingIntervalUs();
    }

    private void probe(long nowUs, Peer peer, boolean isolated) {
        long silentUs = nowUs - peer.lastHeardUs;
        if (nowUs >= peer.nextPingUs) {
            prober.probe(peer);
            long intervalUs =
                    silentUs > timing.pingIntervalUs() * 3 / 2 ? timing.pingIntervalUs() / 2 : timing.pingIntervalUs();
            peer.nextPingUs = nowUs + (long) (intervalUs * (0.9 + 0.2 * random.nextDouble()));
            if (silentUs >= silenceThresholdUs() || peer.heardThroughRelay) {
                probeIndirectly(nowUs, peer);
            }
        }
        if (silentUs >= timing.suspectAfterUs() && !isolated) {
            suspicion.accuse(nowUs, peer);
        }
    }

    /** Asks a few random relays to probe a member, preferring those heard recently. */
    private void probeIndirectly(long nowUs, Peer peer) {
        List<Peer> relays = relaysFor(peer);
        int recentlyHeardCount = 0;
        while (recentlyHeardCount < relays.size()
                && nowUs - relays.get(recentlyHeardCount).lastHeardUs < silenceThresholdUs()) {
            recentlyHeardCount++;
        }
        int candidateCount = Math.max(Math.min(RELAYS_PER_PROBE, relays.size()), recentlyHeardCount);
        for (int i = 0; i < RELAYS_PER_PROBE && candidateCount > 0; i++) {
            Peer relay = relays.remove(random.nextInt(candidateCount--));
            prober.probeThroughRelay(relay, peer);
        }
    }

    /** All possible relays, the most recently heard first. */
    private List<Peer> relaysFor(Peer peer) {
        List<Peer> relays = new ArrayList<>();
        for (Peer other : view.peers()) {
            if (other != peer && other.member.state() == MemberState.ALIVE && !other.unreachable) {
                relays.add(other);
            }
        }
        relays.sort((a, b) -> a.lastHeardUs != b.lastHeardUs
                ? Long.compare(b.lastHeardUs, a.lastHeardUs)
                : a.name().compareTo(b.name()));
        return relays;
    }

    /** Probes a member that others suspect while the suspicion lasts, if this process is one of its checkers. */
    void checkSuspect(long nowUs, Peer peer) {
        if (peer.watched || !suspicion.isChecker(peer)) {
            return;
        }
        peer.checkUntilUs = nowUs + timing.failAfterUs() + timing.suspectAfterUs();
        peer.nextPingUs = nowUs;
        peer.watched = watched.add(peer);
        peer.lastHeardUs = Math.min(peer.lastHeardUs, nowUs - timing.suspectAfterUs() + silenceThresholdUs());
    }
}
