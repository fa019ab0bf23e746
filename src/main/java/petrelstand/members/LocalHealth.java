package petrelstand.members;

/** Whether this process itself is the one in trouble: it doubts itself before it accuses others. */
final class LocalHealth {
    private final MembershipTiming timing;
    private final MembershipView view;
    private long lastHeardUs;

    LocalHealth(long nowUs, MembershipTiming timing, MembershipView view) {
        this.lastHeardUs = nowUs;
        this.timing = timing;
        this.view = view;
    }

    /** Somebody is heard. */
    void recordHeard(long nowUs) {
        lastHeardUs = nowUs;
    }

    /** This process stood still for a time in which it could hear nobody. */
    void discountStall(long nowUs, long stallUs) {
        lastHeardUs = Math.min(nowUs, lastHeardUs + stallUs);
    }

    /** Whether this process hears nobody. */
    boolean isIsolated(long nowUs) {
        return view.presentPeerCount() > 0 && nowUs - lastHeardUs >= timing.isolationThresholdUs();
    }

    /** Whether nobody was heard for as long as a silent member takes to fail. */
    boolean isIsolatedPastFailTimeout(long nowUs) {
        return nowUs - lastHeardUs >= timing.suspectAfterUs() + timing.failAfterUs();
    }
}
