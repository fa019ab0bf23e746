package petrelstand.agreement;

import java.util.HashMap;
import java.util.Map;

/**
 * Whether a voter that starts may vote: its folder may be an old copy, and then it would forget votes that it gave.
 * Every message of a voter carries how often its store was written; the others remember the highest. It votes once so
 * many of them have answered that any majority with one of its votes in it has, or once the patience is over, with
 * whoever answered; never where one of them has heard it further on. Deterministic.
 */
public final class StaleFolderCheck {
    /** What is to be done. */
    public enum Verdict {
        WAIT,
        VOTE,
        REFUSE
    }

    private final int voters;
    private final long generation;
    private final long untilUs;
    private final Map<String, Long> recordAnswer = new HashMap<>();

    /**
     * A voter that starts.
     *
     * @param voters all, this one among them
     * @param generation how often its folder says that it was written
     * @param patienceUs how long it waits for the others
     */
    public StaleFolderCheck(long nowUs, int voters, long generation, long patienceUs) {
        this.voters = voters;
        this.generation = generation;
        this.untilUs = nowUs + patienceUs;
    }

    /** Another voter has heard this one with a generation, 0 where never. */
    public void recordAnswer(String voter, long of) {
        recordAnswer.merge(voter, of, Math::max);
    }

    /** The others whose answers are enough: all but those that a majority can do without. */
    public int requiredAnswers() {
        return voters - (voters / 2 + 1) + 1;
    }

    public Verdict verdict(long nowUs) {
        if (recordAnswer.values().stream().anyMatch(of -> of > generation)) {
            return Verdict.REFUSE;
        }
        return recordAnswer.size() >= Math.min(requiredAnswers(), voters - 1) || nowUs >= untilUs
                ? Verdict.VOTE
                : Verdict.WAIT;
    }

    /** The highest generation that another has heard, and how many have answered. */
    public long highestGeneration() {
        return recordAnswer.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    public int answerCount() {
        return recordAnswer.size();
    }
}
