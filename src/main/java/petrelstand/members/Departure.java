package petrelstand.members;

import java.util.List;
import petrelstand.members.Message.Gossip;

/** How this process leaves in order: it tells that it will, answers on for a while, and tells that it has. */
final class Departure {
    /** Time that a leaving member goes on answering. */
    static final long LEAVE_US = 200_000;

    private static final int LAST_ROUNDS = 2;
    private static final long NEVER = Long.MAX_VALUE;

    private final MembershipView view;
    private final Dissemination dissemination;
    private final Outbox outbox;
    private long leftAtUs = NEVER;
    private boolean ended;

    Departure(MembershipView view, Dissemination dissemination, Outbox outbox) {
        this.view = view;
        this.dissemination = dissemination;
        this.outbox = outbox;
    }

    /** Whether this process was asked to leave. */
    boolean begun() {
        return leftAtUs != NEVER;
    }

    boolean due(long nowUs) {
        return nowUs >= leftAtUs;
    }

    boolean ended() {
        return ended;
    }

    void begin(long nowUs) {
        if (begun()) {
            return;
        }
        boolean member = view.self().state() == MemberState.ALIVE;
        leftAtUs = nowUs + (member ? LEAVE_US : 0);
        if (member) {
            view.becomes(nowUs, MemberState.LEAVING, "it ends in order");
            dissemination.spread(view.self());
            dissemination.tellRound(nowUs);
        }
    }

    /** Tells those drawn, and those that watch this process, that it has left. */
    void end(long nowUs) {
        if (view.self().state() == MemberState.LEAVING) {
            view.becomes(nowUs, MemberState.LEFT, "ended in order");
            dissemination.spread(view.self());
            for (int i = 0; i < LAST_ROUNDS; i++) {
                dissemination.tellRound(nowUs);
            }
            for (Peer peer : view.rings().watchers()) {
                outbox.send(peer.address(), new Gossip(List.of(view.self())));
            }
        }
        ended = true;
    }
}
