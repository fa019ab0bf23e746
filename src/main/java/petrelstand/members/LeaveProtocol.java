package petrelstand.members;

import java.util.List;
import petrelstand.members.Message.Gossip;

/**
 * Graceful leave: announces that this process will leave, keeps answering for a while, then announces that it has left.
 */
final class LeaveProtocol {
    /** How long a leaving member keeps answering. */
    static final long LINGER_US = 200_000;

    private static final int FINAL_GOSSIP_ROUNDS = 2;
    private static final long NEVER = Long.MAX_VALUE;

    private final MembershipView view;
    private final Dissemination dissemination;
    private final Outbox outbox;
    private long lingerEndsUs = NEVER;
    private boolean finished;

    LeaveProtocol(MembershipView view, Dissemination dissemination, Outbox outbox) {
        this.view = view;
        this.dissemination = dissemination;
        this.outbox = outbox;
    }

    /** Whether this process has been asked to leave. */
    boolean hasBegun() {
        return lingerEndsUs != NEVER;
    }

    boolean isDue(long nowUs) {
        return nowUs >= lingerEndsUs;
    }

    boolean isFinished() {
        return finished;
    }

    void begin(long nowUs) {
        if (hasBegun()) {
            return;
        }
        boolean isMember = view.self().state() == MemberState.ALIVE;
        lingerEndsUs = nowUs + (isMember ? LINGER_US : 0);
        if (isMember) {
            view.changeOwnState(nowUs, MemberState.LEAVING, "shutting down");
            dissemination.enqueue(view.self());
            dissemination.sendRound(nowUs);
        }
    }

    /** Announces that this process has left: by gossip, and directly to the members that watch it. */
    void finish(long nowUs) {
        if (view.self().state() == MemberState.LEAVING) {
            view.changeOwnState(nowUs, MemberState.LEFT, "shut down");
            dissemination.enqueue(view.self());
            for (int i = 0; i < FINAL_GOSSIP_ROUNDS; i++) {
                dissemination.sendRound(nowUs);
            }
            for (Peer peer : view.rings().watchers()) {
                outbox.send(peer.address(), new Gossip(List.of(view.self())));
            }
        }
        finished = true;
    }
}
