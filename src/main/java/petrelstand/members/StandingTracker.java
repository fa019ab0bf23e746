package petrelstand.members;

/** How much of the agreed size of the fleet is seen; the agreed size is set, or the most seen less those that left. */
final class StandingTracker {
    private final int fixedSize;
    private final Membership.Actions actions;
    private int mostSeen = 1;
    private Standing standing;

    /** A tracker; a size of 0 is found out. */
    StandingTracker(long nowUs, int size, Membership.Actions actions) {
        this.fixedSize = size;
        this.actions = actions;
        this.standing = new Standing(Standing.Reach.NOBODY, 0, agreedSize(), nowUs);
    }

    Standing standing() {
        return standing;
    }

    private int agreedSize() {
        return fixedSize > 0 ? fixedSize : mostSeen;
    }

    /** So many members are seen now, this process among them. */
    void seen(long nowUs, int seen) {
        mostSeen = Math.max(mostSeen, seen);
        Standing.Reach reach = Standing.reach(seen, agreedSize());
        if (reach != standing.reach() || seen != standing.seen() || agreedSize() != standing.of()) {
            long sinceUs = reach == standing.reach() ? standing.sinceUs() : nowUs;
            standing = new Standing(reach, seen, agreedSize(), sinceUs);
            actions.standing(standing);
        }
    }

    /** A member has left in order: the fleet is agreed to be smaller by it. */
    void left() {
        mostSeen = Math.max(1, mostSeen - 1);
    }
}
