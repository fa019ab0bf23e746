package petrelstand.members;

/** Lives that have answered a nonce of this process; only their messages are taken, each once. */
final class ProvenLives {
    /** Lives kept; the one longest unheard goes first, and has to answer again. */
    static final int MOST = 2 * MembershipView.MOST_MEMBERS;

    private final BoundedTable<ReplayWindow> windows = new BoundedTable<>(MOST);

    /** The window of a proven life; null for any other. */
    ReplayWindow window(long boot) {
        return windows.get(boot);
    }

    boolean contains(long boot) {
        return windows.containsKey(boot);
    }

    /** A life has answered with a message of this number. */
    void prove(long boot, long sequence) {
        windows.put(boot, new ReplayWindow(sequence));
    }

    /** A life has answered, and may have done so before. */
    void proveOnce(long boot, long sequence) {
        windows.putIfAbsent(boot, new ReplayWindow(sequence));
    }

    void forget(long boot) {
        windows.remove(boot);
    }

    int size() {
        return windows.size();
    }
}
