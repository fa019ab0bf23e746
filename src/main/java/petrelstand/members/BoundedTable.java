package petrelstand.members;

import java.util.LinkedHashMap;
import java.util.Map;

/** A table of at most so many entries; the one longest unused goes first. */
final class BoundedTable<V> extends LinkedHashMap<Long, V> {
    private static final long serialVersionUID = 1;
    private static final int START_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int most;

    BoundedTable(int most) {
        super(START_CAPACITY, LOAD_FACTOR, true);
        this.most = most;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
        return size() > most;
    }
}
