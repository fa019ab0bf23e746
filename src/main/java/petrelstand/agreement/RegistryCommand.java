package petrelstand.agreement;

import java.util.ArrayList;
import java.util.List;

/** A command in the voters' log. Each voter applies the commands to its {@link RuleRegistry} in log order. */
public sealed interface RegistryCommand {
    /** Length in characters of the pieces that a rules text is split into; a log entry and a message hold one piece. */
    int PIECE_CHARS = 400;
    /** Maximum length in characters of the rules text of a version. */
    int MAX_TEXT_CHARS = 32 * 1024;

    int MAX_PIECES = (MAX_TEXT_CHARS + PIECE_CHARS - 1) / PIECE_CHARS;
    /** Bounds on the other fields of a proposal. */
    int MAX_AUTHOR_CHARS = 64, MAX_REASON_CHARS = 200, MAX_LIMITS = 8, MAX_NAME_CHARS = 40;

    /** The entry that a new leader appends at the start of its term; it changes nothing. */
    record NewTerm() implements RegistryCommand {}

    /** Stores one piece of the text of a later {@link Propose}. */
    record AddPiece(long proposalId, int pieceIndex, int pieceCount, String text) implements RegistryCommand {}

    /**
     * The limit that a proposal sets for a plan, so that the registry can check it without parsing the text.
     *
     * @param units units a second that all gateways together admit
     * @param floor units a second that gateways without a lease may go on admitting together
     */
    record PlanLimit(String plan, long units, long floor) {}

    /**
     * Makes the stored pieces the next version, if {@code base} is the newest version and none is pending.
     *
     * @param wallMs wall-clock time of the proposal; it is displayed and identifies a repeated proposal
     */
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
     * Makes the pending version the active one.
     *
     * @param confirmedNamesHash {@link RuleRegistry#gatewayNamesHash} if every registered gateway had confirmed the
     *     version, else 0
     */
    record Activate(long version, long confirmedNamesHash) implements RegistryCommand {}

    /** Gives up the pending version. */
    record Withdraw(long version, String author, String reason) implements RegistryCommand {}

    /** Registers a gateway; only registered gateways get leases. */
    record RegisterGateway(String name) implements RegistryCommand {}

    /** Removes a gateway that won't return; its confirmation is no longer needed to lower a reserved floor. */
    record ForgetGateway(String name) implements RegistryCommand {}

    /** Splits a rules text into pieces of at most {@link #PIECE_CHARS}; an empty text is one empty piece. */
    static List<String> splitIntoPieces(String text) {
        List<String> pieces = new ArrayList<>();
        for (int i = 0; i == 0 || i < text.length(); i += PIECE_CHARS) {
            pieces.add(text.substring(i, Math.min(text.length(), i + PIECE_CHARS)));
        }
        return pieces;
    }
}
