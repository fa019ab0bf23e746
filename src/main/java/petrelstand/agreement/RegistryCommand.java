package petrelstand.agreement;

import java.util.List;

/** What the voters' log holds: each is applied by {@link RuleRegistry} in the same order everywhere. */
public sealed interface RegistryCommand {
    /** Characters of a text in one piece: a log entry and a message hold one. */
    int PIECE_CHARS = 400;
    /** The longest text of a version. */
    int MAX_TEXT_CHARS = 32 * 1024;

    int MAX_PIECES = (MAX_TEXT_CHARS + PIECE_CHARS - 1) / PIECE_CHARS;
    /** Bounds on words that come with a proposal. */
    int MAX_AUTHOR_CHARS = 64, MAX_REASON_CHARS = 200, MAX_LIMITS = 8, MAX_NAME_CHARS = 40;

    /** The first entry of a leader's term. */
    record NewTerm() implements RegistryCommand {}

    /** A piece of a text that is to be proposed. */
    record AddPiece(long proposalId, int pieceIndex, int pieceCount, String text) implements RegistryCommand {}

    /** What a proposal says of a plan, for checks that no parser is needed for. */
    record PlanLimit(String plan, long units, long floor) {}

    /** The text of the pieces becomes the next version, if the newest one is the base. */
    record Propose(
            long proposalId,
            long base,
            String author,
            String reason,
            long wallMs,
            int pieceCount,
            List<PlanLimit> limits)
            implements RegistryCommand {
        public Propose {
            limits = List.copyOf(limits);
        }
    }

    /**
     * The version that waits is acted on from here on.
     *
     * @param allOf the print of all known names where every one of them had confirmed it, else 0
     */
    record Activate(long version, long confirmedNamesHash) implements RegistryCommand {}

    /** The version that waits is given up. */
    record Withdraw(long version, String author, String reason) implements RegistryCommand {}

    /** A gateway that may act on rules from here on. */
    record RegisterGateway(String name) implements RegistryCommand {}

    /** A gateway that is gone for good: its floor is no longer kept free. */
    record ForgetGateway(String name) implements RegistryCommand {}

    /** The pieces of a text. */
    static List<String> splitIntoPieces(String text) {
        List<String> pieces = new java.util.ArrayList<>();
        for (int i = 0; i == 0 || i < text.length(); i += PIECE_CHARS) {
            pieces.add(text.substring(i, Math.min(text.length(), i + PIECE_CHARS)));
        }
        return pieces;
    }
}
