package petrelstand.members;

import petrelstand.members.Message.Envelope;

/** Sends messages within a rate limit (token bucket). A message over the limit is dropped; the protocol repeats it. */
final class Outbox {
    /** Maximum message rate, both as a burst and in the long run. */
    static final double MAX_MESSAGES_PER_SECOND = 150;
    /** Part of the budget that view comparisons leave for joins, pings and their answers. */
    static final double RESERVED_FOR_ANSWERS = MAX_MESSAGES_PER_SECOND / 2;

    private static final double MICROS_PER_SECOND = 1e6;

    private final String fleet;
    private final MembershipView view;
    private final Membership.Callbacks callbacks;
    private double budget = MAX_MESSAGES_PER_SECOND;
    private long sequence;

    Outbox(String fleet, MembershipView view, Membership.Callbacks callbacks) {
        this.fleet = fleet;
        this.view = view;
        this.callbacks = callbacks;
    }

    /** Refills the budget for the elapsed time. */
    void refill(long elapsedUs) {
        budget = Math.min(MAX_MESSAGES_PER_SECOND, budget + elapsedUs / MICROS_PER_SECOND * MAX_MESSAGES_PER_SECOND);
    }

    /** Whether there is budget for view comparisons. */
    boolean hasBulkBudget() {
        return budget >= RESERVED_FOR_ANSWERS;
    }

    /** Sends a message, or drops and counts it if the budget is used up. */
    void send(String address, Message message) {
        if (budget < 1) {
            callbacks.incrementCounter("fleet.held_back");
            return;
        }
        budget -= 1;
        Member self = view.self();
        Envelope envelope = new Envelope(
                fleet, self.name(), self.bootId(), self.incarnation(), self.address(), ++sequence, message);
        callbacks.send(address, envelope);
    }
}
