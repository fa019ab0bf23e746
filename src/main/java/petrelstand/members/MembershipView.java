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
    static final int MOST_MEMBERS = 1024;
    /** A failed member is tried again for so long, and known for so long. */
    static final long TOMBSTONE_US = 24L * 3600 * 1_000_000;

    private final WatchRings rings;
    private final ProvenLives proven;
    private final Membership.Callbacks actions;
    private final StandingTracker standing;
    private final ViewDigest digest = new ViewDigest();
    private final Map<String, Peer> peers = new HashMap<>();
    private final Set<Peer> suspects = new LinkedHashSet<>();
    private Member self;
    private long selfSinceUs;
    private String selfCause = "started";
    private long version;
    /** Others that are there, and those of them that are not reached while this process hears nobody. */
    private int others;

    private int unreached;

    MembershipView(
            long nowUs, Member self, int size, WatchRings rings, ProvenLives proven, Membership.Callbacks actions) {
        this.self = self;
        this.selfSinceUs = nowUs;
        this.rings = rings;
        this.proven = proven;
        this.actions = actions;
        this.standing = new StandingTracker(nowUs, size, actions);
    }

    Member self() {
        return self;
    }

    boolean joining() {
        return self.state() == MemberState.JOINING;
    }

    long version() {
        return version;
    }

    ViewDigest digest() {
        return digest;
    }

    FleetVisibility standing() {
        return standing.standing();
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
    int others() {
        return others;
    }

    boolean anyUnreached() {
        return unreached > 0;
    }

    /** The view, this process first, then by name. */
    List<Membership.MemberStatus> lines(long nowUs) {
        List<Membership.MemberStatus> lines = new ArrayList<>();
        lines.add(new Membership.MemberStatus(self, selfSinceUs, selfCause, nowUs, false, false));
        new TreeMap<>(peers).values().forEach(peer -> lines.add(line(peer)));
        return lines;
    }

    private static Membership.MemberStatus line(Peer peer) {
        Member shown = peer.unreached ? peer.member.as(MemberState.FAILED, "") : peer.member;
        String cause = peer.unreached ? "nobody is heard here" : peer.cause;
        return new Membership.MemberStatus(shown, peer.sinceUs, cause, peer.heardUs, peer.relayed, peer.watched);
    }

    /** Addresses of the others that are there and reached, by name. */
    Map<String, String> reached() {
        Map<String, String> found = new TreeMap<>();
        peers.values().stream()
                .filter(peer -> peer.present() && !peer.unreached)
                .forEach(peer -> found.put(peer.name(), peer.address()));
        return found;
    }

    // ---- This process ----

    /** This process has another state from now on. */
    void becomes(long nowUs, MemberState state, String cause) {
        MemberState from = self.state();
        replaceSelf(self.as(state, ""));
        selfSinceUs = nowUs;
        selfCause = cause;
        version++;
        actions.onViewChanged(new ViewChange(nowUs, version, self, from, cause));
        updateStanding(nowUs);
    }

    /** Raises this process's incarnation above one that was claimed. */
    void raiseIncarnation(long above) {
        replaceSelf(self.raised(Math.max(self.incarnation(), above + 1)));
    }

    private void replaceSelf(Member changed) {
        digest.toggle(self);
        self = changed;
        digest.toggle(self);
    }

    /** This process has refuted a claim on itself. */
    void refuted() {
        version++;
    }

    // ---- The others ----

    /** Makes room for a name not known yet, where need be at the cost of the oldest tombstone; null where none is. */
    Peer admit(long nowUs, String name) {
        if (peers.size() >= MOST_MEMBERS && !forgetOldestTombstone()) {
            return null;
        }
        Peer peer = new Peer();
        peers.put(name, peer);
        peer.heardUs = nowUs;
        return peer;
    }

    private boolean forgetOldestTombstone() {
        Peer oldest = null;
        for (Peer peer : peers.values()) {
            if (!peer.present() && (oldest == null || peer.sinceUs < oldest.sinceUs)) {
                oldest = peer;
            }
        }
        return oldest != null && peers.remove(oldest.name()) != null;
    }

    void forgetOldTombstones(long nowUs) {
        peers.values().removeIf(peer -> !peer.present() && nowUs - peer.sinceUs > TOMBSTONE_US);
    }

    /** Nobody is there any more; tombstones stay, as others may still hold old claims on them. Gives the addresses. */
    List<String> forgetPresent() {
        List<String> addresses = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.present()) {
                addresses.add(peer.address());
                digest.toggle(peer.member);
            }
        }
        peers.values().removeIf(Peer::present);
        rings.clear();
        suspects.clear();
        others = 0;
        unreached = 0;
        return addresses;
    }

    /** Takes a claim on a peer. */
    void apply(long nowUs, Peer peer, Member claim, String cause) {
        Member before = peer.member;
        boolean wasPresent = before != null && before.state().isPresent();
        boolean restarted = before != null && before.bootId() != claim.bootId();
        if (before != null) {
            digest.toggle(before);
        }
        if (wasPresent && !claim.state().isPresent()) {
            rings.remove(peer);
            others--;
        }
        if (!wasPresent && claim.state().isPresent()) {
            peer.heardUs = Math.max(peer.heardUs, nowUs);
            others++;
            peer.member = claim;
            rings.add(peer);
        }
        if (restarted) {
            proven.forget(before.bootId());
            peer.heardUs = nowUs;
        }
        peer.member = claim;
        noteSuspicion(peer);
        clearUnreachedIfGone(peer);
        digest.toggle(claim);
        report(nowUs, peer, before, cause);
        updateStanding(nowUs);
    }

    private void noteSuspicion(Peer peer) {
        peer.accusers.clear();
        suspects.remove(peer);
        if (peer.member.state() == MemberState.SUSPECT) {
            peer.accusers.add(peer.member.accuser());
            suspects.add(peer);
        }
    }

    private void clearUnreachedIfGone(Peer peer) {
        if (!peer.present() && peer.unreached) {
            peer.unreached = false;
            unreached--;
        }
    }

    private void report(long nowUs, Peer peer, Member before, String cause) {
        Member now = peer.member;
        MemberState from = before == null ? null : before.state();
        boolean restarted = before != null && before.bootId() != now.bootId();
        if (from == now.state() && !restarted) {
            return;
        }
        peer.sinceUs = nowUs;
        peer.cause = cause;
        version++;
        actions.onViewChanged(new ViewChange(nowUs, version, now, from, cause));
        if (now.state() == MemberState.LEFT && from != null && from.isPresent()) {
            standing.left();
        }
    }

    /** Marks a member as not reached while this process hears nobody. */
    void markUnreached(long nowUs, Peer peer) {
        MemberState claimed = peer.member.state();
        peer.unreached = true;
        unreached++;
        version++;
        Member shown = peer.member.as(MemberState.FAILED, "");
        actions.onViewChanged(new ViewChange(nowUs, version, shown, claimed, "nobody is heard here"));
    }

    /** Marks a member as reached again. */
    void markReached(long nowUs, Peer peer) {
        peer.unreached = false;
        unreached--;
        peer.heardUs = nowUs;
        version++;
        actions.onViewChanged(new ViewChange(nowUs, version, peer.member, MemberState.FAILED, "heard again"));
    }

    /** Holds all to have been heard just now and to be watched by nobody here. */
    void resetObservations(long nowUs) {
        for (Peer peer : peers.values()) {
            peer.unreached = false;
            peer.heardUs = nowUs;
            peer.watched = false;
        }
        unreached = 0;
    }

    /** Tells the standing if it is another than before. */
    void updateStanding(long nowUs) {
        boolean member = self.state().isPresent();
        standing.seen(nowUs, member ? 1 + others - unreached : 0);
    }
}
