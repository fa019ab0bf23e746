package petrelstand.http;

import petrelstand.lifecycle.MemoryPlan;

/**
 * Bytes of bodies that a gateway's connections may keep: of requests being read, of those in work, of answers being
 * read and of answers being written. Each kind has its bound, and all together have one whatever the mixture.
 */
public record Budgets(Budget requests, Budget inWork, Budget answersRead, Budget answersWritten) {
    /** What a plan allows. */
    public static Budgets of(MemoryPlan plan) {
        Budget all = new Budget(plan.bodyBytes());
        return new Budgets(
                new Budget(plan.requestBytes(), all),
                new Budget(plan.bodyBytes(), all),
                new Budget(plan.answerBytes(), all),
                new Budget(plan.writtenBytes(), all));
    }
}
