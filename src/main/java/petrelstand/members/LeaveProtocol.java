package petrelstand.members;

import java.util.List;
import petrelstand.members.Message.Gossip;

/** How this process leaves in order: it tells that it will, answers on for a while, and tells that it has. */
final class LeaveProtocol {
    /** Time that a leaving member goes on answering. */
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

    /** Whether this process was asked to leave. */
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
            view.changeOwnState(nowUs, MemberState.LEAVING, "it ends in order");
            dissemination.enqueue(view.self());
            dissemination.sendRound(nowUs);
        }
    }

    /** Tells those drawn, and those that watch this process, that it has left. */
    void finish(long nowUs) {
        if (view.self().state() == MemberState.LEAVING) {
            view.changeOwnState(nowUs, MemberState.LEFT, "ended in order");
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
