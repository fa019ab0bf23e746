package petrelstand.members;

/**
 * Tracks how much of the fleet is visible, against its configured size or the most members seen less those that left.
 */
final class FleetVisibilityTracker {
    private final int fixedSize;
    private final Membership.Callbacks callbacks;
    private int maxVisible = 1;
    private FleetVisibility current;

    /**
     * Creates a tracker.
     *
     * @param fixedSize the configured size of the fleet, or 0 to derive it
     */
    FleetVisibilityTracker(long nowUs, int fixedSize, Membership.Callbacks callbacks) {
        this.fixedSize = fixedSize;
        this.callbacks = callbacks;
        this.current = new FleetVisibility(FleetVisibility.Reach.NOBODY, 0, agreedSize(), nowUs);
    }

    FleetVisibility current() {
        return current;
    }

    private int agreedSize() {
        return fixedSize > 0 ? fixedSize : maxVisible;
    }

    /** Sets the number of visible members, including this process, and reports a change. */
    void update(long nowUs, int visibleMembers) {
        maxVisible = Math.max(maxVisible, visibleMembers);
        FleetVisibility.Reach reach = FleetVisibility.reachOf(visibleMembers, agreedSize());
        if (reach != current.reach()
                || visibleMembers != current.visibleMembers()
                || agreedSize() != current.agreedSize()) {
            long sinceUs = reach == current.reach() ? current.sinceUs() : nowUs;
            current = new FleetVisibility(reach, visibleMembers, agreedSize(), sinceUs);
            callbacks.onVisibilityChanged(current);
        }
    }

    /** Reduces the derived size after a member has left gracefully. */
    void recordLeft() {
        maxVisible = Math.max(1, maxVisible - 1);
    }
}
