package petrelstand.agreement;

/** What gateways and voters say to each other about leases, texts and proposals. */
public sealed interface RulesMessage {
    /** Characters of a line that says why. */
    int MAX_LINE_CHARS = 300;

    /**
     * Asks for a lease.
     *
     * @param life of the process: a restarted one's former lease may still run
     * @param acting the version that it acts on
     * @param prepared the newest version that it has whole and could load
     * @param refuses why it can't load the version that waits, or empty
     */
    record LeaseRequest(long nonce, long instanceId, long actingVersion, long preparedVersion, String loadError)
            implements RulesMessage {}

    /** The answer: what is acted on, what waits, and whether the asker may act on the former for a lease. */
    record LeaseAnswer(long nonce, long term, long activeVersion, long pendingVersion, boolean granted)
            implements RulesMessage {}

    /** The answer of one that does not lead; the leader's name, or empty. */
    record NotLeader(long nonce, String leader) implements RulesMessage {}

    /** Versions have changed: ask at once. */
    record VersionsChanged(long activeVersion, long pendingVersion) implements RulesMessage {}

    /** Asks for a piece of a version's text. */
    record FetchPiece(long nonce, long version, int pieceIndex) implements RulesMessage {}

    /** A piece; of is 0 where the version is not known. */
    record TextPiece(long nonce, long version, int pieceIndex, int pieceCount, String text) implements RulesMessage {}

    /** A piece of a proposal; the last one proposes. */
    record ProposalPiece(
            long id, long base, String author, String reason, long wallMs, int pieceIndex, int pieceCount, String text)
            implements RulesMessage {}

    /** An order to the leader: {@code withdraw} a version, {@code forget} a gateway. */
    record AdminRequest(long id, String action, long version, String name, String author, String reason)
            implements RulesMessage {}

    /** A voter that starts asks how far the others have heard it. */
    record GenerationQuery(long nonce) implements RulesMessage {}

    /** The answer: the highest generation of the asker's store that was heard, 0 for none. */
    record GenerationAnswer(long nonce, long generation) implements RulesMessage {}

    /** The answer to an offer or an order: the next piece that is wanted, or -1 at the end with version or fault. */
    record RequestAnswer(long id, int nextPiece, long version, String error) implements RulesMessage {}
}
