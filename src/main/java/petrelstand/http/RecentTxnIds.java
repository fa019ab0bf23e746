package petrelstand.http;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of closed requests that may have run and must not run again, each until a time. Holds a bounded number and
 * forgets the oldest first. Ids are kept as 64-bit hashes. Times are microseconds of the event loop's clock. Not
 * thread-safe.
 */
public final class RecentTxnIds {
    /** Ids kept; some 20 s of writes at 200 a second. */
    public static final int MAX_IDS = 4096;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** When each id is forgotten, in the order in which they were added. */
    private final Map<Long, Long> expiryUsByHash = new LinkedHashMap<>();

    /** Returns the 64-bit FNV-1a hash of an id. */
    public static long hash(String id) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** Adds the id of a hash, or changes the time of one that is there. */
    public void add(Long hash, long expiryUs, long nowUs) {
        removeExpired(nowUs);
        expiryUsByHash.remove(hash);
        if (expiryUsByHash.size() >= MAX_IDS) {
            Iterator<Long> oldest = expiryUsByHash.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        expiryUsByHash.put(hash, expiryUs);
    }

    /** Removes the id of a hash. */
    public void remove(Long hash) {
        expiryUsByHash.remove(hash);
    }

    /** Whether the id of a hash is there and its time has not come. */
    public boolean contains(Long hash, long nowUs) {
        Long expiryUs = expiryUsByHash.get(hash);
        return expiryUs != null && nowUs < expiryUs;
    }

    int size() {
        return expiryUsByHash.size();
    }

    /** Removes the oldest ids up to the first that is still needed. */
    private void removeExpired(long nowUs) {
        Iterator<Long> oldest = expiryUsByHash.values().iterator();
        while (oldest.hasNext() && oldest.next() <= nowUs) {
            oldest.remove();
        }
    }
}
