package petrelstand.http;

import petrelstand.lifecycle.MemoryLimits;

/**
 * Bytes of bodies that a gateway's connections may keep: of requests being read, of those in work, of answers being
 * read and of answers being written. Each kind has its bound, and all together have one whatever the mixture.
 */
public record Budgets(Budget requests, Budget inWork, Budget answersRead, Budget answersWritten) {
    /** What a plan allows. */
    public static Budgets of(MemoryLimits plan) {
        Budget all = new Budget(plan.bodyBytes());
        return new Budgets(
                new Budget(plan.requestReadBytes(), all),
                new Budget(plan.bodyBytes(), all),
                new Budget(plan.answerReadBytes(), all),
                new Budget(plan.answerWriteBytes(), all));
    }
}
