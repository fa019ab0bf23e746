package petrelstand.decision;

import java.util.ArrayDeque;

/** Sum of the amounts that were added within the last span of time; an amount of exactly that age still counts. */
final class SlidingSum {
    private record Entry(double atMs, double amount) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private final double spanMs;
    private double sum;

    SlidingSum(double spanMs) {
        this.spanMs = spanMs;
    }

    void add(double nowMs, double amount) {
        entries.addLast(new Entry(nowMs, amount));
        sum += amount;
        prune(nowMs);
    }

    /** Counts an amount that was added earlier from now on instead. */
    void postpone(double addedMs, double nowMs, double amount) {
        sum -= entries.removeFirstOccurrence(new Entry(addedMs, amount)) ? amount : 0;
        add(nowMs, amount);
    }

    double sum(double nowMs) {
        prune(nowMs);
        return sum;
    }

    /** Drops expired amounts; needed on each addition too, or a sum that is never read would grow without bound. */
    private void prune(double nowMs) {
        while (!entries.isEmpty() && entries.peekFirst().atMs() < nowMs - spanMs) {
            sum -= entries.pollFirst().amount();
        }
        if (entries.isEmpty()) {
            sum = 0;
        }
    }

    /** Returns the number of amounts kept. */
    int size() {
        return entries.size();
    }
}
