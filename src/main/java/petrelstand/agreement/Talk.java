package petrelstand.agreement;

/** What gateways and voters say to each other about leases, texts and proposals. */
public sealed interface Talk {
    /** Characters of a line that says why. */
    int MOST_LINE = 300;

    /**
     * Asks for a lease.
     *
     * @param life of the process: a restarted one's former lease may still run
     * @param acting the version that it acts on
     * @param prepared the newest version that it has whole and could load
     * @param refuses why it can't load the version that waits, or empty
     */
    record Renew(long nonce, long life, long acting, long prepared, String refuses) implements Talk {}

    /** The answer: what is acted on, what waits, and whether the asker may act on the former for a lease. */
    record Grant(long nonce, long term, long active, long waiting, boolean lease) implements Talk {}

    /** The answer of one that does not lead; the leader's name, or empty. */
    record Elsewhere(long nonce, String leader) implements Talk {}

    /** Versions have changed: ask at once. */
    record Hint(long active, long waiting) implements Talk {}

    /** Asks for a piece of a version's text. */
    record Fetch(long nonce, long version, int piece) implements Talk {}

    /** A piece; of is 0 where the version is not known. */
    record Piece(long nonce, long version, int piece, int of, String text) implements Talk {}

    /** A piece of a proposal; the last one proposes. */
    record Offer(long id, long base, String who, String why, long wallMs, int piece, int of, String text)
            implements Talk {}

    /** An order to the leader: {@code withdraw} a version, {@code forget} a gateway. */
    record Order(long id, String verb, long version, String name, String who, String why) implements Talk {}

    /** A voter that starts asks how far the others have heard it. */
    record Recall(long nonce) implements Talk {}

    /** The answer: the highest generation of the asker's store that was heard, 0 for none. */
    record Recalled(long nonce, long generation) implements Talk {}

    /** The answer to an offer or an order: the next piece that is wanted, or -1 at the end with version or fault. */
    record Taken(long id, int next, long version, String fault) implements Talk {}
}
