package petrelstand.agreement;

/** A message between gateways, voters and operator tools about leases, rules texts and proposals. */
public sealed interface RulesMessage {
    /** Maximum length in characters of an error text in a message. */
    int MAX_LINE_CHARS = 300;

    /**
     * Asks the leader for a lease on the active version.
     *
     * @param nonce random number that the answer repeats
     * @param instanceId random number of the sender's process; the lease of an earlier process of the same name may
     *     still run
     * @param actingVersion the version that the sender applies under a lease, or 0
     * @param preparedVersion the newest version that the sender has received completely and loaded
     * @param loadError why the sender can't load the pending version, or empty
     */
    record LeaseRequest(long nonce, long instanceId, long actingVersion, long preparedVersion, String loadError)
            implements RulesMessage {}

    /**
     * The leader's answer to a {@link LeaseRequest}.
     *
     * @param pendingVersion the version that waits for confirmations, or 0
     * @param granted whether the sender of the request has a lease on the active version
     */
    record LeaseAnswer(long nonce, long term, long activeVersion, long pendingVersion, boolean granted)
            implements RulesMessage {}

    /**
     * The answer of a voter that does not lead.
     *
     * @param leader the leader's name, or empty if none is known
     */
    record NotLeader(long nonce, String leader) implements RulesMessage {}

    /** Tells a gateway that the versions changed, so that it renews its lease at once. */
    record VersionsChanged(long activeVersion, long pendingVersion) implements RulesMessage {}

    /** Asks a voter for one piece of a version's text. */
    record FetchPiece(long nonce, long version, int pieceIndex) implements RulesMessage {}

    /** The answer to a {@link FetchPiece}; {@code pieceCount} is 0 if the version is unknown. */
    record TextPiece(long nonce, long version, int pieceIndex, int pieceCount, String text) implements RulesMessage {}

    /** One piece of a proposed text; the leader proposes the text once it has every piece. */
    record ProposalPiece(
            long id, long base, String author, String reason, long wallMs, int pieceIndex, int pieceCount, String text)
            implements RulesMessage {}

    /**
     * An operator's request to the leader.
     *
     * @param action {@code withdraw} a version, {@code forget} a gateway, {@code add-voter} or {@code remove-voter}
     * @param version the version of {@code withdraw}
     * @param name the gateway or voter of the other actions
     */
    record AdminRequest(long id, String action, long version, String name, String author, String reason)
            implements RulesMessage {}

    /** Sent by a starting voter: asks which generation of its files the receiver has heard of. */
    record GenerationQuery(long nonce) implements RulesMessage {}

    /** The answer: the highest generation that was heard of the sender's files, or 0 for none. */
    record GenerationAnswer(long nonce, long generation) implements RulesMessage {}

    /**
     * The answer to a {@link ProposalPiece} or an {@link AdminRequest}.
     *
     * @param nextPiece the index of the piece that is wanted next, or -1 if the request is finished
     * @param version the resulting version of a finished request
     * @param error why a finished request was refused, or empty
     */
    record RequestAnswer(long id, int nextPiece, long version, String error) implements RulesMessage {}
}
