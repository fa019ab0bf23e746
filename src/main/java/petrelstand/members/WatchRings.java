package petrelstand.members;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Assigns watchers to members. The present members form several rings, ordered by hashes that differ from ring to ring
 * and are the same in every process. Each member is watched by its predecessor on each ring.
 */
final class WatchRings {
    /** Number of rings, that is, of watchers per member. */
    static final int RING_COUNT = 3;
    /** Maximum number of consecutive members watched on one ring while they are silent. */
    static final int MAX_WALK_STEPS = 8;

    private final long seed;
    private final List<TreeMap<Long, Peer>> rings = new ArrayList<>();
    private final long[] ownPositions = new long[RING_COUNT];

    WatchRings(String fleet, String ownName) {
        seed = StableHash.hash(fleet);
        for (int ring = 0; ring < RING_COUNT; ring++) {
            rings.add(new TreeMap<>());
            ownPositions[ring] = position(ring, ownName);
        }
    }

    private long position(int ring, String name) {
        return StableHash.mix(StableHash.hash(name) + seed * (ring + 1));
    }

    void add(Peer peer) {
        for (int ring = 0; ring < RING_COUNT; ring++) {
            rings.get(ring).put(position(ring, peer.name()), peer);
        }
    }

    void remove(Peer peer) {
        for (int ring = 0; ring < RING_COUNT; ring++) {
            rings.get(ring).remove(position(ring, peer.name()));
        }
    }

    void clear() {
        rings.forEach(TreeMap::clear);
    }

    /** All present members except this process, in the order of the first ring. */
    Collection<Peer> members() {
        return rings.get(0).values();
    }

    /** The members that this process watches: on each ring its successors up to the first that is not silent. */
    Set<Peer> watchTargets(long nowUs, long silenceThresholdUs) {
        Set<Peer> targets = new LinkedHashSet<>();
        for (int ring = 0; ring < RING_COUNT; ring++) {
            TreeMap<Long, Peer> peersByPosition = rings.get(ring);
            Map.Entry<Long, Peer> next = peersByPosition.higherEntry(ownPositions[ring]);
            for (int step = 0; step < Math.min(MAX_WALK_STEPS, peersByPosition.size()); step++) {
                next = next == null ? peersByPosition.firstEntry() : next;
                Peer peer = next.getValue();
                targets.add(peer);
                if (!peer.watched || nowUs - peer.lastHeardUs < silenceThresholdUs) {
                    break;
                }
                next = peersByPosition.higherEntry(next.getKey());
            }
        }
        return targets;
    }

    /** The members that watch this process, provided that they have the same view. */
    Set<Peer> watchers() {
        Set<Peer> watchers = new LinkedHashSet<>();
        for (int ring = 0; ring < RING_COUNT && !rings.get(ring).isEmpty(); ring++) {
            Map.Entry<Long, Peer> predecessor = rings.get(ring).lowerEntry(ownPositions[ring]);
            watchers.add((predecessor == null ? rings.get(ring).lastEntry() : predecessor).getValue());
        }
        return watchers;
    }
}
