package petrelstand.agreement;

import java.util.List;

/** What the voters' log holds: each is applied by {@link RuleBook} in the same order everywhere. */
public sealed interface Command {
    /** Characters of a text in one piece: a log entry and a message hold one. */
    int PIECE = 400;
    /** The longest text of a version. */
    int MOST_TEXT = 32 * 1024;

    int MOST_PIECES = (MOST_TEXT + PIECE - 1) / PIECE;
    /** Bounds on words that come with a proposal. */
    int MOST_WHO = 64, MOST_WHY = 200, MOST_FIGURES = 8, MOST_NAME = 40;

    /** The first entry of a leader's term. */
    record Term() implements Command {}

    /** A piece of a text that is to be proposed. */
    record Part(long proposal, int piece, int of, String text) implements Command {}

    /** What a proposal says of a plan, for checks that no parser is needed for. */
    record Figure(String plan, long units, long floor) {}

    /** The text of the pieces becomes the next version, if the newest one is the base. */
    record Propose(long proposal, long base, String who, String why, long wallMs, int pieces, List<Figure> figures)
            implements Command {
        public Propose {
            figures = List.copyOf(figures);
        }
    }

    /**
     * The version that waits is acted on from here on.
     *
     * @param allOf the print of all known names where every one of them had confirmed it, else 0
     */
    record Activate(long version, long allOf) implements Command {}

    /** The version that waits is given up. */
    record Withdraw(long version, String who, String why) implements Command {}

    /** A gateway that may act on rules from here on. */
    record Register(String name) implements Command {}

    /** A gateway that is gone for good: its floor is no longer kept free. */
    record Forget(String name) implements Command {}

    /** The pieces of a text. */
    static List<String> pieces(String text) {
        List<String> pieces = new java.util.ArrayList<>();
        for (int i = 0; i == 0 || i < text.length(); i += PIECE) {
            pieces.add(text.substring(i, Math.min(text.length(), i + PIECE)));
        }
        return pieces;
    }
}
