package petrelstand.agreement;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a starting voter may vote. Its folder may be an old copy that lacks votes it has given. Each message
 * of a voter carries the generation of its files, a count of its writes, and the others remember the highest one. The
 * voter votes once enough others have answered that every majority which includes it is represented, or once the
 * timeout is over; it never votes if one of the others has heard of a later generation. Deterministic; not thread-safe.
 */
public final class StaleFolderCheck {
    /** The decision so far. */
    public enum Verdict {
        WAIT,
        VOTE,
        REFUSE
    }

    private final int voters;
    private final long generation;
    private final long deadlineUs;
    private final Map<String, Long> heardGenerations = new HashMap<>();

    /**
     * Begins the check.
     *
     * @param voters the number of voters, with this one
     * @param generation the generation of this voter's files
     * @param timeoutUs how long to wait for the others
     */
    public StaleFolderCheck(long nowUs, int voters, long generation, long timeoutUs) {
        this.voters = voters;
        this.generation = generation;
        this.deadlineUs = nowUs + timeoutUs;
    }

    /** Records the generation that another voter has heard of this one's files, or 0 for none. */
    public void recordAnswer(String voter, long heardGeneration) {
        heardGenerations.merge(voter, heardGeneration, Math::max);
    }

    /** The number of other voters whose answers suffice: one more than a majority can do without. */
    public int requiredAnswers() {
        return voters - (voters / 2 + 1) + 1;
    }

    public Verdict verdict(long nowUs) {
        if (heardGenerations.values().stream().anyMatch(heard -> heard > generation)) {
            return Verdict.REFUSE;
        }
        return heardGenerations.size() >= Math.min(requiredAnswers(), voters - 1) || nowUs >= deadlineUs
                ? Verdict.VOTE
                : Verdict.WAIT;
    }

    /** The highest generation that another voter has heard of, or 0. */
    public long highestGeneration() {
        return heardGenerations.values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
    }

    /** The number of other voters that have answered. */
    public int answerCount() {
        return heardGenerations.size();
    }
}
