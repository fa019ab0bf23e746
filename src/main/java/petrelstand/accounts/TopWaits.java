package petrelstand.accounts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Who waited for whom, in bounded memory: cells of node, waiter and cause, the heaviest kept by the space-saving method
 * (Metwally, Agrawal, El Abbadi: "Efficient computation of frequent and top-k elements in data streams", 2005), and the
 * rest summed in others. A cell's figure is never too small, and too large by at most its own {@code overUs}, which is
 * at most the total divided by the number of cells. {@link #totalWaitUs} and the sums by kind of cause are exact.
 */
public final class TopWaits {
    /** A waiter, and what it waited for, at a node. */
    public record WaitKey(long node, long volume, int requestClass, Cause cause) {}

    /** A cell's time, and how much of it may belong to cells that were pushed out for it. */
    public record Entry(WaitKey key, long waitUs, long maxErrorUs) {}

    private static final class Counter {
        private final WaitKey key;
        private long waitUs;
        private final long maxErrorUs;
        private int heapIndex;

        Counter(WaitKey key, long waitUs, long maxErrorUs) {
            this.key = key;
            this.waitUs = waitUs;
            this.maxErrorUs = maxErrorUs;
        }
    }

    private final int capacity;
    private final Map<WaitKey, Counter> counts = new HashMap<>();
    /** A heap by time, the least first. */
    private final List<Counter> heap = new ArrayList<>();

    private final long[] byKind = new long[Cause.Kind.values().length];
    private long totalWaitUs;
    private long evictions;

    /** A ledger of so many cells. */
    public TopWaits(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("a ledger needs a cell");
        }
        this.capacity = capacity;
    }

    /** Books time, 0 or more. */
    public void add(WaitKey key, long waitUs) {
        if (waitUs < 0) {
            throw new IllegalArgumentException("negative time: " + waitUs);
        }
        if (waitUs == 0) {
            return;
        }
        totalWaitUs += waitUs;
        byKind[key.cause().kind().ordinal()] += waitUs;
        Counter counter = counts.get(key);
        if (counter != null) {
            counter.waitUs += waitUs;
            siftDown(counter.heapIndex);
        } else if (heap.size() < capacity) {
            put(new Counter(key, waitUs, 0), heap.size());
            siftUp(heap.size() - 1);
        } else {
            Counter lightest = heap.get(0);
            counts.remove(lightest.key);
            evictions++;
            put(new Counter(key, lightest.waitUs + waitUs, lightest.waitUs), 0);
            siftDown(0);
        }
    }

    private void put(Counter counter, int index) {
        counter.heapIndex = index;
        if (index == heap.size()) {
            heap.add(counter);
        } else {
            heap.set(index, counter);
        }
        counts.put(counter.key, counter);
    }

    private void swap(int a, int b) {
        Counter first = heap.get(a);
        Counter second = heap.get(b);
        heap.set(a, second);
        heap.set(b, first);
        second.heapIndex = a;
        first.heapIndex = b;
    }

    private void siftUp(int from) {
        for (int index = from; index > 0 && heap.get(index).waitUs < heap.get((index - 1) / 2).waitUs; index = (index - 1) / 2) {
            swap(index, (index - 1) / 2);
        }
    }

    private void siftDown(int from) {
        for (int index = from; ; ) {
            int smallest = index;
            for (int child = 2 * index + 1; child <= 2 * index + 2 && child < heap.size(); child++) {
                smallest = heap.get(child).waitUs < heap.get(smallest).waitUs ? child : smallest;
            }
            if (smallest == index) {
                return;
            }
            swap(index, smallest);
            index = smallest;
        }
    }

    /** All time booked, exact. */
    public long totalWaitUs() {
        return totalWaitUs;
    }

    /** The time of all causes of a kind, exact. */
    public long waitUs(Cause.Kind kind) {
        return byKind[kind.ordinal()];
    }

    /** Cells that were pushed out for heavier ones. */
    public long evictions() {
        return evictions;
    }

    public int size() {
        return heap.size();
    }

    /** The cells, the heaviest first. */
    public List<Entry> entries() {
        return heap.stream()
                .map(count -> new Entry(count.key, count.waitUs, count.maxErrorUs))
                .sorted((a, b) -> a.waitUs != b.waitUs
                        ? Long.compare(b.waitUs, a.waitUs)
                        : a.key.toString().compareTo(b.key.toString()))
                .toList();
    }
}
