package petrelstand.lab.check;

import java.util.List;

/**
 * What the histories of a trial show.
 *
 * @param outcome passed, failed, or inconclusive where the machine was too slow to tell
 * @param rule what was broken, or why nothing can be said; empty where all holds
 * @param excerpt the lines that prove it, the fewest
 * @param detectUs for each member that ended: how long after it each of the others held it to be gone, µs
 */
public record Verdict(Outcome outcome, String rule, List<String> excerpt, List<Long> detectUs) {
    /** The three ends of a trial. */
    public enum Outcome {
        PASSED,
        FAILED,
        INCONCLUSIVE
    }

    @Override
    public String toString() {
        return outcome.name().toLowerCase(java.util.Locale.ROOT)
                + (rule.isEmpty() ? "" : ": " + rule)
                + (excerpt.isEmpty() ? "" : "\n  " + String.join("\n  ", excerpt));
    }
}
