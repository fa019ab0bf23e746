package petrelstand.members;

import petrelstand.members.Message.Envelope;

/** Sends messages within a budget; what is held back counts as lost, and the protocol tells it again. */
final class Outbox {
    /** Messages a second that this process sends at most, over a second and in the long run. */
    static final double MOST_SENT = 150;
    /** Of that, what comparisons leave for joins, pings and their answers. */
    static final double KEPT_FOR_ANSWERS = MOST_SENT / 2;

    private static final double MICROS_A_SECOND = 1e6;

    private final String fleet;
    private final MembershipView view;
    private final Membership.Callbacks actions;
    private double budget = MOST_SENT;
    private long sequence;

    Outbox(String fleet, MembershipView view, Membership.Callbacks actions) {
        this.fleet = fleet;
        this.view = view;
        this.actions = actions;
    }

    /** So much time has gone by. */
    void refill(long elapsedUs) {
        budget = Math.min(MOST_SENT, budget + elapsedUs / MICROS_A_SECOND * MOST_SENT);
    }

    /** Whether a comparison may send on. */
    boolean hasSpare() {
        return budget >= KEPT_FOR_ANSWERS;
    }

    /** Within the budget; pings go first by being sent first in a tick. */
    void send(String address, Message message) {
        if (budget < 1) {
            actions.incrementCounter("fleet.held_back");
            return;
        }
        budget -= 1;
        Member self = view.self();
        Envelope envelope = new Envelope(
                fleet, self.name(), self.bootId(), self.incarnation(), self.address(), ++sequence, message);
        actions.send(address, envelope);
    }
}
