package petrelstand.members;

import java.util.List;
import petrelstand.members.Message.Envelope;
import petrelstand.members.Message.Gossip;
import petrelstand.members.Message.JoinRequest;
import petrelstand.members.Message.JoinResponse;

/** Ensures that one process at a time uses this process's name: of two, one stays out until the other is gone. */
final class NameOwnership {
    /** Retries without an answer after which a process that found no owner of its name becomes a member alone. */
    static final int MAX_UNANSWERED_RETRIES = 5;

    private final MembershipView view;
    private final Dissemination dissemination;
    private final Outbox outbox;
    private final Membership.Callbacks callbacks;
    private boolean heldByAnother;
    private int retries;

    NameOwnership(MembershipView view, Dissemination dissemination, Outbox outbox, Membership.Callbacks callbacks) {
        this.view = view;
        this.dissemination = dissemination;
        this.outbox = outbox;
        this.callbacks = callbacks;
    }

    /** Starts asking for the name again. */
    void restart() {
        retries = 0;
    }

    /** Records that this process owns the name. */
    void markAcquired() {
        heldByAnother = false;
    }

    /** Whether this process may take the name without an answer; counts one unanswered retry. */
    boolean mayTakeNameUnanswered(boolean noAddresses) {
        return !heldByAnother && (noAddresses || retries++ >= MAX_UNANSWERED_RETRIES);
    }

    /** Gives up the name to another process: this one is no member until that one is gone. */
    void yieldName(long nowUs, Member holder) {
        if (!heldByAnother) {
            heldByAnother = true;
            callbacks.incrementCounter("fleet.stepped_back");
            callbacks.logMessage("name: " + view.self().name() + " is in use by another process at " + holder.address()
                    + "; this process stays out of the fleet until that one is gone");
        }
        retries = 0;
        if (!view.isJoining()) {
            dissemination.remove(view.self().name());
            view.changeOwnState(nowUs, MemberState.JOINING, "the name is in use at " + holder.address());
        }
    }

    /** Tells another process with this one's name who owns it; the one with the lower incarnation gives it up. */
    void answerNameConflict(Envelope envelope) {
        if (view.isJoining()) {
            return;
        }
        Member self = view.self();
        if (envelope.message() instanceof JoinRequest request) {
            boolean sameAddress = envelope.senderAddress().equals(self.address());
            outbox.send(envelope.senderAddress(), new JoinResponse(request.nonce(), sameAddress, self, List.of()));
        } else {
            outbox.send(envelope.senderAddress(), new Gossip(List.of(self)));
        }
        callbacks.incrementCounter("fleet.refused.name");
    }
}
