package petrelstand.members;

import java.util.List;
import petrelstand.members.Message.Envelope;
import petrelstand.members.Message.Gossip;
import petrelstand.members.Message.JoinRequest;
import petrelstand.members.Message.JoinResponse;

/** This process's claim on its name: one process at a time has it, and the other takes no part meanwhile. */
final class NameOwnership {
    /** A first start that nobody answers goes on alone after so many retries. */
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

    /** This process begins to ask whether the name is free. */
    void restart() {
        retries = 0;
    }

    /** The name is this process's. */
    void markAcquired() {
        heldByAnother = false;
    }

    /** Whether this process may take the name unasked: there is nobody to ask, or nobody answers. */
    boolean mayTakeNameUnanswered(boolean noAddresses) {
        return !heldByAnother && (noAddresses || retries++ >= MAX_UNANSWERED_RETRIES);
    }

    /** Another process has the name: this one is no member until that one is gone. */
    void yieldName(long nowUs, Member holder) {
        if (!heldByAnother) {
            heldByAnother = true;
            callbacks.incrementCounter("fleet.stepped_back");
            callbacks.logMessage("name: " + view.self().name() + " is held by another process at " + holder.address()
                    + "; this one takes no part until that one is gone");
        }
        retries = 0;
        if (!view.isJoining()) {
            dissemination.remove(view.self().name());
            view.changeOwnState(nowUs, MemberState.JOINING, "the name is held at " + holder.address());
        }
    }

    /** A process under this one's name hears who has it; who has the lower incarnation steps back. */
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
