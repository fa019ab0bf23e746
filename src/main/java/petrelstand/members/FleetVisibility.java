package petrelstand.members;

/**
 * How much of the fleet this gateway sees.
 *
 * @param reach the visible part of the agreed size
 * @param visibleMembers present and reachable members including this one; 0 while it is joining
 * @param agreedSize configured size of the fleet, or the most members seen less those that left
 * @param sinceUs when the reach last changed
 */
public record FleetVisibility(Reach reach, int visibleMembers, int agreedSize, long sinceUs) {
    /** Visible part of the agreed size. */
    public enum Reach {
        WHOLE,
        MAJORITY,
        /** At most half of the agreed size, but at least one other member. */
        MINORITY,
        /** No other member, or this gateway is joining. */
        NOBODY
    }

    static Reach reachOf(int visibleMembers, int agreedSize) {
        if (visibleMembers >= agreedSize && visibleMembers > 0) {
            return Reach.WHOLE;
        }
        return 2 * visibleMembers > agreedSize ? Reach.MAJORITY : visibleMembers > 1 ? Reach.MINORITY : Reach.NOBODY;
    }
}
