package petrelstand.decision;

import java.util.ArrayDeque;

/** Sum of the amounts added within the last span of time, its far edge counted in. */
final class SlidingSum {
    private record Item(double atMs, double amount) {}

    private final ArrayDeque<Item> items = new ArrayDeque<>();
    private final double spanMs;
    private double sum;

    SlidingSum(double spanMs) {
        this.spanMs = spanMs;
    }

    void add(double nowMs, double amount) {
        items.addLast(new Item(nowMs, amount));
        sum += amount;
        prune(nowMs);
    }

    double sum(double nowMs) {
        prune(nowMs);
        return sum;
    }

    /** At each addition too: a sum that nobody asks for would grow for ever. */
    private void prune(double nowMs) {
        while (!items.isEmpty() && items.peekFirst().atMs() < nowMs - spanMs) {
            sum -= items.pollFirst().amount();
        }
        if (items.isEmpty()) {
            sum = 0;
        }
    }

    int size() {
        return items.size();
    }
}
