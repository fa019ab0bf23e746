package petrelstand.members;

/**
 * Sliding window over one sender's sequence numbers that detects replayed messages: the highest number and the 63
 * below.
 */
final class ReplayWindow {
    private long highest;
    private long seenBitmap = 1;

    ReplayWindow(long first) {
        highest = first;
    }

    /** Returns whether a number is new and marks it as seen. Numbers below the window count as seen. */
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
