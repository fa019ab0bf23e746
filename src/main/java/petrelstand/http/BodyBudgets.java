package petrelstand.http;

import petrelstand.lifecycle.MemoryLimits;

/**
 * Bytes of bodies that a gateway's connections may keep: of requests being read, of those in work, of answers being
 * read and of answers being written. Each kind has its bound, and all together have one whatever the mixture.
 */
public record BodyBudgets(
        ByteBudget incomingRequests,
        ByteBudget activeRequests,
        ByteBudget incomingAnswers,
        ByteBudget outgoingAnswers) {
    /** What a plan allows. */
    public static BodyBudgets of(MemoryLimits plan) {
        ByteBudget all = new ByteBudget(plan.bodyBytes());
        return new BodyBudgets(
                new ByteBudget(plan.requestReadBytes(), all),
                new ByteBudget(plan.bodyBytes(), all),
                new ByteBudget(plan.answerReadBytes(), all),
                new ByteBudget(plan.answerWriteBytes(), all));
    }
}
