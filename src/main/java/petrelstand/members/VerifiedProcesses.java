package petrelstand.members;

/**
 * Processes that have answered a nonce of this process, by boot ID. Only their updates are accepted, each message once.
 */
final class VerifiedProcesses {
    /** Maximum number of entries; the least recently used is evicted and has to be verified again. */
    static final int MAX_ENTRIES = 2 * MembershipView.MAX_MEMBERS;

    private final LruMap<ReplayWindow> windows = new LruMap<>(MAX_ENTRIES);

    /** The replay window of a verified process, or null. */
    ReplayWindow window(long bootId) {
        return windows.get(bootId);
    }

    boolean contains(long bootId) {
        return windows.containsKey(bootId);
    }

    /** Adds a process that answered with a message of this sequence number; starts a new replay window. */
    void add(long bootId, long sequence) {
        windows.put(bootId, new ReplayWindow(sequence));
    }

    /** Adds a process that answered; keeps its replay window if it has one. */
    void addIfAbsent(long bootId, long sequence) {
        windows.putIfAbsent(bootId, new ReplayWindow(sequence));
    }

    void remove(long bootId) {
        windows.remove(bootId);
    }

    int size() {
        return windows.size();
    }
}
