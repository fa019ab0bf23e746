package petrelstand.members;

/** Whether this process itself is the one in trouble: it doubts itself before it accuses others. */
final class LocalHealth {
    private final MembershipTiming timing;
    private final MembershipView view;
    private long heardAnyUs;

    LocalHealth(long nowUs, MembershipTiming timing, MembershipView view) {
        this.heardAnyUs = nowUs;
        this.timing = timing;
        this.view = view;
    }

    /** Somebody is heard. */
    void heardAny(long nowUs) {
        heardAnyUs = nowUs;
    }

    /** This process stood still for a time in which it could hear nobody. */
    void excuse(long nowUs, long stoodUs) {
        heardAnyUs = Math.min(nowUs, heardAnyUs + stoodUs);
    }

    /** Whether this process hears nobody. */
    boolean isolated(long nowUs) {
        return view.others() > 0 && nowUs - heardAnyUs >= timing.isolatedUs();
    }

    /** Whether nobody was heard for as long as a silent member takes to fail. */
    boolean isolatedForGood(long nowUs) {
        return nowUs - heardAnyUs >= timing.suspectAfterUs() + timing.failAfterUs();
    }
}
