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
 * What this process holds of every member, itself among them, and the tombstones of those that are gone. Keeps rings,
 * digest, suspects and standing in step with it, and reports each change.
 */
final class MembershipView {
    /** Members known, those that are gone among them. */
    static final int MAX_MEMBERS = 1024;
    /** A failed member is tried again for so long, and known for so long. */
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
    /** Others that are there, and those of them that are not reached while this process hears nobody. */
    private int presentPeerCount;

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

    /** All known, those that are gone among them. */
    Collection<Peer> peers() {
        return peers.values();
    }

    /** The peer of a name; null where it is not known. */
    Peer peer(String name) {
        return peers.get(name);
    }

    /** The peer at an address; null where none is known to be there. */
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

    /** Others that are there, reached or not. */
    int presentPeerCount() {
        return presentPeerCount;
    }

    boolean hasUnreachablePeers() {
        return unreachableCount > 0;
    }

    /** The view, this process first, then by name. */
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

    /** Addresses of the others that are there and reached, by name. */
    Map<String, String> reachableAddresses() {
        Map<String, String> addresses = new TreeMap<>();
        peers.values().stream()
                .filter(peer -> peer.isPresent() && !peer.unreachable)
                .forEach(peer -> addresses.put(peer.name(), peer.address()));
        return addresses;
    }

    // ---- This process ----

    /** This process has another state from now on. */
    void changeOwnState(long nowUs, MemberState state, String cause) {
        MemberState previousState = self.state();
        replaceSelf(self.withState(state, ""));
        selfSinceUs = nowUs;
        selfCause = cause;
        version++;
        callbacks.onViewChanged(new ViewChange(nowUs, version, self, previousState, cause));
        updateVisibility(nowUs);
    }

    /** Raises this process's incarnation above one that was claimed. */
    void raiseIncarnation(long above) {
        replaceSelf(self.withIncarnation(Math.max(self.incarnation(), above + 1)));
    }

    private void replaceSelf(Member changed) {
        digest.toggle(self);
        self = changed;
        digest.toggle(self);
    }

    /** This process has refuted a claim on itself. */
    void recordRefutation() {
        version++;
    }

    // ---- The others ----

    /** Makes room for a name not known yet, where need be at the cost of the oldest tombstone; null where none is. */
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

    /** Nobody is there any more; tombstones stay, as others may still hold old claims on them. Gives the addresses. */
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

    /** Takes a claim on a peer. */
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

    /** Marks a member as not reached while this process hears nobody. */
    void markUnreachable(long nowUs, Peer peer) {
        MemberState previousState = peer.member.state();
        peer.unreachable = true;
        unreachableCount++;
        version++;
        Member shown = peer.member.withState(MemberState.FAILED, "");
        callbacks.onViewChanged(new ViewChange(nowUs, version, shown, previousState, "nobody is heard here"));
    }

    /** Marks a member as reached again. */
    void markReachable(long nowUs, Peer peer) {
        peer.unreachable = false;
        unreachableCount--;
        peer.lastHeardUs = nowUs;
        version++;
        callbacks.onViewChanged(new ViewChange(nowUs, version, peer.member, MemberState.FAILED, "heard again"));
    }

    /** Holds all to have been heard just now and to be watched by nobody here. */
    void resetObservations(long nowUs) {
        for (Peer peer : peers.values()) {
            peer.unreachable = false;
            peer.lastHeardUs = nowUs;
            peer.watched = false;
        }
        unreachableCount = 0;
    }

    /** Tells the standing if it is another than before. */
    void updateVisibility(long nowUs) {
        boolean member = self.state().isPresent();
        visibility.update(nowUs, member ? 1 + presentPeerCount - unreachableCount : 0);
    }
}
