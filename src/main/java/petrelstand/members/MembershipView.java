package petrelstand.members;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * All members known to this process, including itself and the tombstones of members that are gone. Keeps the watch
 * rings, the digest, the set of suspects and the fleet visibility consistent with them, and reports each change.
 */
final class MembershipView {
    /** Maximum number of known members, including tombstones. */
    static final int MAX_MEMBERS = 1024;
    /** How long a member that is gone is remembered and, if it failed, retried. */
    static final long TOMBSTONE_LIFETIME_US = 24L * 3600 * 1_000_000;

    private final WatchRings rings;
    private final VerifiedProcesses verified;
    private final Membership.Callbacks callbacks;
    private final FleetVisibilityTracker visibility;
    private final ViewDigest digest = new ViewDigest();
    private final Map<String, Peer> peers = new HashMap<>();
    private final Set<Peer> suspects = new LinkedHashSet<>();
    private Member self;
    private long selfSinceUs;
    private String selfCause = "started";
    private long version;
    /** Present members other than this process, reachable or not. */
    private int presentPeerCount;

    /** Present members marked as unreachable during this process's isolation. */
    private int unreachableCount;

    MembershipView(
            long nowUs,
            Member self,
            int fleetSize,
            WatchRings rings,
            VerifiedProcesses verified,
            Membership.Callbacks callbacks) {
        this.self = self;
        this.selfSinceUs = nowUs;
        this.rings = rings;
        this.verified = verified;
        this.callbacks = callbacks;
        this.visibility = new FleetVisibilityTracker(nowUs, fleetSize, callbacks);
    }

    Member self() {
        return self;
    }

    boolean isJoining() {
        return self.state() == MemberState.JOINING;
    }

    long version() {
        return version;
    }

    ViewDigest digest() {
        return digest;
    }

    FleetVisibility visibility() {
        return visibility.current();
    }

    /** All known peers, including tombstones. */
    Collection<Peer> peers() {
        return peers.values();
    }

    /** The peer with a name, or null. */
    Peer peer(String name) {
        return peers.get(name);
    }

    /** The peer at an address, or null. */
    Peer peerAt(String address) {
        return peers.values().stream()
                .filter(peer -> peer.address().equals(address))
                .findFirst()
                .orElse(null);
    }

    WatchRings rings() {
        return rings;
    }

    Set<Peer> suspects() {
        return suspects;
    }

    /** Number of present members other than this process, reachable or not. */
    int presentPeerCount() {
        return presentPeerCount;
    }

    boolean hasUnreachablePeers() {
        return unreachableCount > 0;
    }

    /** All known members, this process first, the others by name. */
    List<Membership.MemberStatus> memberStatuses(long nowUs) {
        List<Membership.MemberStatus> statuses = new ArrayList<>();
        statuses.add(new Membership.MemberStatus(self, selfSinceUs, selfCause, nowUs, false, false));
        new TreeMap<>(peers).values().forEach(peer -> statuses.add(statusOf(peer)));
        return statuses;
    }

    private static Membership.MemberStatus statusOf(Peer peer) {
        Member shown = peer.unreachable ? peer.member.withState(MemberState.FAILED, "") : peer.member;
        String cause = peer.unreachable ? "nobody is heard here" : peer.cause;
        return new Membership.MemberStatus(
                shown, peer.stateSinceUs, cause, peer.lastHeardUs, peer.heardThroughRelay, peer.watched);
    }

    /** Addresses of the other present and reachable members, by name. */
    Map<String, String> reachableAddresses() {
        Map<String, String> addresses = new TreeMap<>();
        peers.values().stream()
                .filter(peer -> peer.isPresent() && !peer.unreachable)
                .forEach(peer -> addresses.put(peer.name(), peer.address()));
        return addresses;
    }

    // ---- This process ----

    /** Sets this process's own state and reports the change. */
    void changeOwnState(long nowUs, MemberState state, String cause) {
        MemberState previousState = self.state();
        replaceSelf(self.withState(state, ""));
        selfSinceUs = nowUs;
        selfCause = cause;
        version++;
        callbacks.onViewChanged(new ViewChange(nowUs, version, self, previousState, cause));
        updateVisibility(nowUs);
    }

    /** Raises this process's incarnation above the given one. */
    void raiseIncarnation(long above) {
        replaceSelf(self.withIncarnation(Math.max(self.incarnation(), above + 1)));
    }

    private void replaceSelf(Member changed) {
        digest.toggle(self);
        self = changed;
        digest.toggle(self);
    }

    /** Raises the view's version after this process has refuted an update on itself. */
    void recordRefutation() {
        version++;
    }

    // ---- Other members ----

    /** Adds a peer, evicting the oldest tombstone if the view is full; null if there is no room. */
    Peer addPeer(long nowUs, String name) {
        if (peers.size() >= MAX_MEMBERS && !removeOldestTombstone()) {
            return null;
        }
        Peer peer = new Peer();
        peers.put(name, peer);
        peer.lastHeardUs = nowUs;
        return peer;
    }

    private boolean removeOldestTombstone() {
        Peer oldest = null;
        for (Peer peer : peers.values()) {
            if (!peer.isPresent() && (oldest == null || peer.stateSinceUs < oldest.stateSinceUs)) {
                oldest = peer;
            }
        }
        return oldest != null && peers.remove(oldest.name()) != null;
    }

    void removeExpiredTombstones(long nowUs) {
        peers.values().removeIf(peer -> !peer.isPresent() && nowUs - peer.stateSinceUs > TOMBSTONE_LIFETIME_US);
    }

    /**
     * Removes all present peers and returns their addresses. Tombstones stay, as outdated updates may still circulate.
     */
    List<String> removePresentPeers() {
        List<String> addresses = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.isPresent()) {
                addresses.add(peer.address());
                digest.toggle(peer.member);
            }
        }
        peers.values().removeIf(Peer::isPresent);
        rings.clear();
        suspects.clear();
        presentPeerCount = 0;
        unreachableCount = 0;
        return addresses;
    }

    /** Applies an update to a peer and reports the change. */
    void applyUpdate(long nowUs, Peer peer, Member update, String cause) {
        Member previous = peer.member;
        boolean wasPresent = previous != null && previous.state().isPresent();
        boolean restarted = previous != null && previous.bootId() != update.bootId();
        if (previous != null) {
            digest.toggle(previous);
        }
        if (wasPresent && !update.state().isPresent()) {
            rings.remove(peer);
            presentPeerCount--;
        }
        if (!wasPresent && update.state().isPresent()) {
            peer.lastHeardUs = Math.max(peer.lastHeardUs, nowUs);
            presentPeerCount++;
            peer.member = update;
            rings.add(peer);
        }
        if (restarted) {
            verified.remove(previous.bootId());
            peer.lastHeardUs = nowUs;
        }
        peer.member = update;
        updateSuspicion(peer);
        clearUnreachableIfGone(peer);
        digest.toggle(update);
        reportChange(nowUs, peer, previous, cause);
        updateVisibility(nowUs);
    }

    private void updateSuspicion(Peer peer) {
        peer.accusers.clear();
        suspects.remove(peer);
        if (peer.member.state() == MemberState.SUSPECT) {
            peer.accusers.add(peer.member.accuser());
            suspects.add(peer);
        }
    }

    private void clearUnreachableIfGone(Peer peer) {
        if (!peer.isPresent() && peer.unreachable) {
            peer.unreachable = false;
            unreachableCount--;
        }
    }

    private void reportChange(long nowUs, Peer peer, Member previous, String cause) {
        Member current = peer.member;
        MemberState previousState = previous == null ? null : previous.state();
        boolean restarted = previous != null && previous.bootId() != current.bootId();
        if (previousState == current.state() && !restarted) {
            return;
        }
        peer.stateSinceUs = nowUs;
        peer.cause = cause;
        version++;
        callbacks.onViewChanged(new ViewChange(nowUs, version, current, previousState, cause));
        if (current.state() == MemberState.LEFT && previousState != null && previousState.isPresent()) {
            visibility.recordLeft();
        }
    }

    /** Marks a member as unreachable while this process is isolated. */
    void markUnreachable(long nowUs, Peer peer) {
        MemberState previousState = peer.member.state();
        peer.unreachable = true;
        unreachableCount++;
        version++;
        Member shown = peer.member.withState(MemberState.FAILED, "");
        callbacks.onViewChanged(new ViewChange(nowUs, version, shown, previousState, "nobody is heard here"));
    }

    /** Marks an unreachable member as reachable again. */
    void markReachable(long nowUs, Peer peer) {
        peer.unreachable = false;
        unreachableCount--;
        peer.lastHeardUs = nowUs;
        version++;
        callbacks.onViewChanged(new ViewChange(nowUs, version, peer.member, MemberState.FAILED, "heard again"));
    }

    /** Resets all peers to just heard, reachable and not watched. */
    void resetObservations(long nowUs) {
        for (Peer peer : peers.values()) {
            peer.unreachable = false;
            peer.lastHeardUs = nowUs;
            peer.watched = false;
        }
        unreachableCount = 0;
    }

    /** Recomputes the fleet visibility and reports it if it has changed. */
    void updateVisibility(long nowUs) {
        boolean member = self.state().isPresent();
        visibility.update(nowUs, member ? 1 + presentPeerCount - unreachableCount : 0);
    }
}
