package petrelstand.accounts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Who waited for whom, in bounded memory: cells of node, waiter and cause, the heaviest kept by the space-saving method
 * (Metwally, Agrawal, El Abbadi: "Efficient computation of frequent and top-k elements in data streams", 2005), and the
 * rest summed in others. A cell's figure is never too small, and too large by at most its own {@code overUs}, which is
 * at most the total divided by the number of cells. {@link #totalUs} and the sums by kind of cause are exact.
 */
public final class Ledger {
    /** A waiter, and what it waited for, at a node. */
    public record Cell(long node, long volume, int requestClass, Cause cause) {}

    /** A cell's time, and how much of it may belong to cells that were pushed out for it. */
    public record Entry(Cell cell, long us, long overUs) {}

    private static final class Count {
        private final Cell cell;
        private long us;
        private final long overUs;
        private int place;

        Count(Cell cell, long us, long overUs) {
            this.cell = cell;
            this.us = us;
            this.overUs = overUs;
        }
    }

    private final int most;
    private final Map<Cell, Count> counts = new HashMap<>();
    /** A heap by time, the least first. */
    private final List<Count> heap = new ArrayList<>();

    private final long[] byKind = new long[Cause.Kind.values().length];
    private long totalUs;
    private long pushedOut;

    /** A ledger of so many cells. */
    public Ledger(int most) {
        if (most < 1) {
            throw new IllegalArgumentException("a ledger needs a cell");
        }
        this.most = most;
    }

    /** Books time, 0 or more. */
    public void add(Cell cell, long us) {
        if (us < 0) {
            throw new IllegalArgumentException("negative time: " + us);
        }
        if (us == 0) {
            return;
        }
        totalUs += us;
        byKind[cell.cause().kind().ordinal()] += us;
        Count count = counts.get(cell);
        if (count != null) {
            count.us += us;
            down(count.place);
        } else if (heap.size() < most) {
            put(new Count(cell, us, 0), heap.size());
            up(heap.size() - 1);
        } else {
            Count least = heap.get(0);
            counts.remove(least.cell);
            pushedOut++;
            put(new Count(cell, least.us + us, least.us), 0);
            down(0);
        }
    }

    private void put(Count count, int place) {
        count.place = place;
        if (place == heap.size()) {
            heap.add(count);
        } else {
            heap.set(place, count);
        }
        counts.put(count.cell, count);
    }

    private void swap(int a, int b) {
        Count first = heap.get(a);
        Count second = heap.get(b);
        heap.set(a, second);
        heap.set(b, first);
        second.place = a;
        first.place = b;
    }

    private void up(int from) {
        for (int at = from; at > 0 && heap.get(at).us < heap.get((at - 1) / 2).us; at = (at - 1) / 2) {
            swap(at, (at - 1) / 2);
        }
    }

    private void down(int from) {
        for (int at = from; ; ) {
            int least = at;
            for (int child = 2 * at + 1; child <= 2 * at + 2 && child < heap.size(); child++) {
                least = heap.get(child).us < heap.get(least).us ? child : least;
            }
            if (least == at) {
                return;
            }
            swap(at, least);
            at = least;
        }
    }

    /** All time booked, exact. */
    public long totalUs() {
        return totalUs;
    }

    /** The time of all causes of a kind, exact. */
    public long us(Cause.Kind kind) {
        return byKind[kind.ordinal()];
    }

    /** Cells that were pushed out for heavier ones. */
    public long pushedOut() {
        return pushedOut;
    }

    public int size() {
        return heap.size();
    }

    /** The cells, the heaviest first. */
    public List<Entry> entries() {
        return heap.stream()
                .map(count -> new Entry(count.cell, count.us, count.overUs))
                .sorted((a, b) -> a.us != b.us
                        ? Long.compare(b.us, a.us)
                        : a.cell.toString().compareTo(b.cell.toString()))
                .toList();
    }
}
