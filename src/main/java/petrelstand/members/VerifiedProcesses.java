package petrelstand.members;

/** Lives that have answered a nonce of this process; only their messages are taken, each once. */
final class VerifiedProcesses {
    /** Lives kept; the one longest unheard goes first, and has to answer again. */
    static final int MAX_ENTRIES = 2 * MembershipView.MAX_MEMBERS;

    private final LruMap<ReplayWindow> windows = new LruMap<>(MAX_ENTRIES);

    /** The window of a proven life; null for any other. */
    ReplayWindow window(long bootId) {
        return windows.get(bootId);
    }

    boolean contains(long bootId) {
        return windows.containsKey(bootId);
    }

    /** A life has answered with a message of this number. */
    void add(long bootId, long sequence) {
        windows.put(bootId, new ReplayWindow(sequence));
    }

    /** A life has answered, and may have done so before. */
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
