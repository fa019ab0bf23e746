package petrelstand.members;

/** How much of the agreed size of the fleet is seen; the agreed size is set, or the most seen less those that left. */
final class StandingTracker {
    private final int fixedSize;
    private final Membership.Callbacks actions;
    private int mostSeen = 1;
    private FleetVisibility standing;

    /** A tracker; a size of 0 is found out. */
    StandingTracker(long nowUs, int size, Membership.Callbacks actions) {
        this.fixedSize = size;
        this.actions = actions;
        this.standing = new FleetVisibility(FleetVisibility.Reach.NOBODY, 0, agreedSize(), nowUs);
    }

    FleetVisibility standing() {
        return standing;
    }

    private int agreedSize() {
        return fixedSize > 0 ? fixedSize : mostSeen;
    }

    /** So many members are seen now, this process among them. */
    void seen(long nowUs, int seen) {
        mostSeen = Math.max(mostSeen, seen);
        FleetVisibility.Reach reach = FleetVisibility.reach(seen, agreedSize());
        if (reach != standing.reach() || seen != standing.visibleMembers() || agreedSize() != standing.agreedSize()) {
            long sinceUs = reach == standing.reach() ? standing.sinceUs() : nowUs;
            standing = new FleetVisibility(reach, seen, agreedSize(), sinceUs);
            actions.onVisibilityChanged(standing);
        }
    }

    /** A member has left in order: the fleet is agreed to be smaller by it. */
    void left() {
        mostSeen = Math.max(1, mostSeen - 1);
    }
}
