package petrelstand.members;

import java.util.List;
import petrelstand.members.Message.Envelope;
import petrelstand.members.Message.Gossip;
import petrelstand.members.Message.JoinRequest;
import petrelstand.members.Message.JoinResponse;

/** This process's claim on its name: one process at a time has it, and the other takes no part meanwhile. */
final class NameClaim {
    /** A first start that nobody answers goes on alone after so many retries. */
    static final int ALONE_RETRIES = 5;

    private final MembershipView view;
    private final Dissemination dissemination;
    private final Outbox outbox;
    private final Membership.Callbacks actions;
    private boolean heldByAnother;
    private int retries;

    NameClaim(MembershipView view, Dissemination dissemination, Outbox outbox, Membership.Callbacks actions) {
        this.view = view;
        this.dissemination = dissemination;
        this.outbox = outbox;
        this.actions = actions;
    }

    /** This process begins to ask whether the name is free. */
    void restart() {
        retries = 0;
    }

    /** The name is this process's. */
    void won() {
        heldByAnother = false;
    }

    /** Whether this process may take the name unasked: there is nobody to ask, or nobody answers. */
    boolean mayTakeUnanswered(boolean nobodyToAsk) {
        return !heldByAnother && (nobodyToAsk || retries++ >= ALONE_RETRIES);
    }

    /** Another process has the name: this one is no member until that one is gone. */
    void stepBack(long nowUs, Member holder) {
        if (!heldByAnother) {
            heldByAnother = true;
            actions.incrementCounter("fleet.stepped_back");
            actions.logMessage("name: " + view.self().name() + " is held by another process at " + holder.address()
                    + "; this one takes no part until that one is gone");
        }
        retries = 0;
        if (!view.joining()) {
            dissemination.forget(view.self().name());
            view.becomes(nowUs, MemberState.JOINING, "the name is held at " + holder.address());
        }
    }

    /** A process under this one's name hears who has it; who has the lower incarnation steps back. */
    void answerNamesake(Envelope from) {
        if (view.joining()) {
            return;
        }
        Member self = view.self();
        if (from.message() instanceof JoinRequest join) {
            boolean moved = from.senderAddress().equals(self.address());
            outbox.send(from.senderAddress(), new JoinResponse(join.nonce(), moved, self, List.of()));
        } else {
            outbox.send(from.senderAddress(), new Gossip(List.of(self)));
        }
        actions.incrementCounter("fleet.refused.name");
    }
}
