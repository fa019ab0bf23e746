package petrelstand.members;

/**
 * How much of the fleet this gateway sees, as one value that other parts act on.
 *
 * @param reach of the agreed size
 * @param seen members that are there, this one among them; 0 while it is joining
 * @param of the agreed size
 * @param sinceUs when the reach became what it is
 */
public record FleetVisibility(Reach reach, int visibleMembers, int agreedSize, long sinceUs) {
    /** Parts of the agreed size. */
    public enum Reach {
        WHOLE,
        MAJORITY,
        MINORITY,
        NOBODY
    }

    static Reach reach(int seen, int of) {
        if (seen >= of && seen > 0) {
            return Reach.WHOLE;
        }
        return 2 * seen > of ? Reach.MAJORITY : seen > 1 ? Reach.MINORITY : Reach.NOBODY;
    }
}
