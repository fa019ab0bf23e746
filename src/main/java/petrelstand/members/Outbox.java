package petrelstand.members;

import petrelstand.members.Message.Envelope;

/** Sends messages within a budget; what is held back counts as lost, and the protocol tells it again. */
final class Outbox {
    /** Messages a second that this process sends at most, over a second and in the long run. */
    static final double MAX_MESSAGES_PER_SECOND = 150;
    /** Of that, what comparisons leave for joins, pings and their answers. */
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

    /** So much time has gone by. */
    void refill(long elapsedUs) {
        budget = Math.min(MAX_MESSAGES_PER_SECOND, budget + elapsedUs / MICROS_PER_SECOND * MAX_MESSAGES_PER_SECOND);
    }

    /** Whether a comparison may send on. */
    boolean hasBulkBudget() {
        return budget >= RESERVED_FOR_ANSWERS;
    }

    /** Within the budget; pings go first by being sent first in a tick. */
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
