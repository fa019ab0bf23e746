package petrelstand.http;

import petrelstand.lifecycle.MemoryLimits;

/**
 * Budgets for the bytes of message bodies: of requests being read, of requests in progress, of answers being read and
 * of answers being written. Each has its own limit, and all of them share a total. The long heads of requests have a
 * budget of their own.
 */
public record BodyBudgets(
        ByteBudget incomingRequests,
        ByteBudget activeRequests,
        ByteBudget incomingAnswers,
        ByteBudget outgoingAnswers,
        ByteBudget longRequestHeads) {
    /** Creates the budgets of a memory plan. */
    public static BodyBudgets of(MemoryLimits plan) {
        ByteBudget total = new ByteBudget(plan.bodyBytes());
        return new BodyBudgets(
                new ByteBudget(plan.requestReadBytes(), total),
                new ByteBudget(plan.bodyBytes(), total),
                new ByteBudget(plan.answerReadBytes(), total),
                new ByteBudget(plan.answerWriteBytes(), total),
                new ByteBudget(plan.longHeadBytes()));
    }
}
