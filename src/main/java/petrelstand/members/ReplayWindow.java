package petrelstand.members;

/** Tells a life's new messages from those seen before: the highest number and the 64 below it. */
final class ReplayWindow {
    private long top;
    private long seen = 1;

    ReplayWindow(long first) {
        top = first;
    }

    /** Whether the number is new; it is not from then on. What lies below the window counts as seen. */
    boolean fresh(long number) {
        if (number > top) {
            long step = number - top;
            seen = step >= Long.SIZE ? 1 : seen << step | 1;
            top = number;
            return true;
        }
        long below = top - number;
        if (below >= Long.SIZE || below < 0 || (seen >>> below & 1) != 0) {
            return false;
        }
        seen |= 1L << below;
        return true;
    }
}
