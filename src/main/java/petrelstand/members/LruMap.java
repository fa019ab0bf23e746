package petrelstand.members;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map with a bounded number of entries that evicts the least recently used one. */
final class LruMap<V> extends LinkedHashMap<Long, V> {
    private static final long serialVersionUID = 1;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxEntries;

    LruMap(int maxEntries) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
        this.maxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
        return size() > maxEntries;
    }
}
