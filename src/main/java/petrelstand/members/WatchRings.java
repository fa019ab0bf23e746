package petrelstand.members;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Who is watched by whom: members stand on several rings, on each in another order that all members compute alike, and
 * each is watched by its predecessor on each ring.
 */
final class WatchRings {
    /** Orders in which members watch each other. */
    static final int RINGS = 3;
    /** Members watched beyond each that is silent, on one ring. */
    static final int MOST_WALK = 8;

    private final long seed;
    private final List<TreeMap<Long, Peer>> rings = new ArrayList<>();
    private final long[] ownPlaces = new long[RINGS];

    WatchRings(String fleet, String self) {
        seed = Hash.of(fleet);
        for (int ring = 0; ring < RINGS; ring++) {
            rings.add(new TreeMap<>());
            ownPlaces[ring] = place(ring, self);
        }
    }

    private long place(int ring, String name) {
        return Hash.mix(Hash.of(name) + seed * (ring + 1));
    }

    void add(Peer peer) {
        for (int ring = 0; ring < RINGS; ring++) {
            rings.get(ring).put(place(ring, peer.name()), peer);
        }
    }

    void remove(Peer peer) {
        for (int ring = 0; ring < RINGS; ring++) {
            rings.get(ring).remove(place(ring, peer.name()));
        }
    }

    void clear() {
        rings.forEach(TreeMap::clear);
    }

    /** All members that are there, in the order of the first ring. */
    Collection<Peer> members() {
        return rings.get(0).values();
    }

    /** Whom this process watches: on each ring the next member, and past those that are silent the next that is not. */
    Set<Peer> subjects(long nowUs, long silentUs) {
        Set<Peer> found = new LinkedHashSet<>();
        for (int ring = 0; ring < RINGS; ring++) {
            TreeMap<Long, Peer> order = rings.get(ring);
            Map.Entry<Long, Peer> next = order.higherEntry(ownPlaces[ring]);
            for (int step = 0; step < Math.min(MOST_WALK, order.size()); step++) {
                next = next == null ? order.firstEntry() : next;
                Peer peer = next.getValue();
                found.add(peer);
                if (!peer.watched || nowUs - peer.heardUs < silentUs) {
                    break;
                }
                next = order.higherEntry(next.getKey());
            }
        }
        return found;
    }

    /** Those that watch this process, if they see what it sees. */
    Set<Peer> watchers() {
        Set<Peer> found = new LinkedHashSet<>();
        for (int ring = 0; ring < RINGS && !rings.get(ring).isEmpty(); ring++) {
            Map.Entry<Long, Peer> before = rings.get(ring).lowerEntry(ownPlaces[ring]);
            found.add((before == null ? rings.get(ring).lastEntry() : before).getValue());
        }
        return found;
    }
}
