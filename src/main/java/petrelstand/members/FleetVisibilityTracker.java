package petrelstand.members;

/** How much of the agreed size of the fleet is seen; the agreed size is set, or the most seen less those that left. */
final class FleetVisibilityTracker {
    private final int fixedSize;
    private final Membership.Callbacks callbacks;
    private int maxVisible = 1;
    private FleetVisibility current;

    /** A tracker; a size of 0 is found out. */
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

    /** So many members are seen now, this process among them. */
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

    /** A member has left in order: the fleet is agreed to be smaller by it. */
    void recordLeft() {
        maxVisible = Math.max(1, maxVisible - 1);
    }
}
