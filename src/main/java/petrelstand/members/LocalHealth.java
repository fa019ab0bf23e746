package petrelstand.members;

/** Detects that this process itself is cut off, so that it does not suspect others for its own fault. */
final class LocalHealth {
    private final MembershipTiming timing;
    private final MembershipView view;
    private long lastHeardUs;

    LocalHealth(long nowUs, MembershipTiming timing, MembershipView view) {
        this.lastHeardUs = nowUs;
        this.timing = timing;
        this.view = view;
    }

    /** Records that some member was heard. */
    void recordHeard(long nowUs) {
        lastHeardUs = nowUs;
    }

    /** Excludes the time of a stall of this process from the measured silence. */
    void discountStall(long nowUs, long stallUs) {
        lastHeardUs = Math.min(nowUs, lastHeardUs + stallUs);
    }

    /** Whether this process has heard no other member for a while. */
    boolean isIsolated(long nowUs) {
        return view.presentPeerCount() > 0 && nowUs - lastHeardUs >= timing.isolationThresholdUs();
    }

    /** Whether no member has been heard for as long as a silent member takes to fail. */
    boolean isIsolatedPastFailTimeout(long nowUs) {
        return nowUs - lastHeardUs >= timing.suspectAfterUs() + timing.failAfterUs();
    }
}
