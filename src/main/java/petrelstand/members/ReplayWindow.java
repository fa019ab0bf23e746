package petrelstand.members;

/** Tells a life's new messages from those seen before: the highest number and the 64 below it. */
final class ReplayWindow {
    private long highest;
    private long seenBitmap = 1;

    ReplayWindow(long first) {
        highest = first;
    }

    /** Whether the number is new; it is not from then on. What lies below the window counts as seen. */
    boolean accept(long sequence) {
        if (sequence > highest) {
            long advance = sequence - highest;
            seenBitmap = advance >= Long.SIZE ? 1 : seenBitmap << advance | 1;
            highest = sequence;
            return true;
        }
        long age = highest - sequence;
        if (age >= Long.SIZE || age < 0 || (seenBitmap >>> age & 1) != 0) {
            return false;
        }
        seenBitmap |= 1L << age;
        return true;
    }
}
