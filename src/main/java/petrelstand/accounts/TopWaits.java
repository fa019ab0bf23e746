package petrelstand.accounts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The largest waits by node, waiter and cause, in bounded memory. It uses the space-saving algorithm (Metwally,
 * Agrawal, El Abbadi: "Efficient computation of frequent and top-k elements in data streams", 2005): an entry's wait is
 * never too small, and too large by at most its {@code maxErrorUs}, which is at most the total divided by the capacity.
 * {@link #totalWaitUs} and the sums by kind of cause are exact.
 */
public final class TopWaits {
    /** The node, the waiting volume and request class, and the cause of the wait. */
    public record WaitKey(long node, long volume, int requestClass, Cause cause) {}

    /** The wait of a key, and how much of it at most belongs to keys that were evicted for it. */
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
    private final Map<WaitKey, Counter> counters = new HashMap<>();
    /** A binary min-heap by wait. */
    private final List<Counter> heap = new ArrayList<>();

    private final long[] byKind = new long[Cause.Kind.values().length];
    private long totalWaitUs;
    private long evictions;

    /**
     * Creates an empty summary.
     *
     * @param capacity the number of keys kept, at least 1
     */
    public TopWaits(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity of the top waits must be at least 1, but is " + capacity);
        }
        this.capacity = capacity;
    }

    /** Adds a wait of 0 or more microseconds; a new key evicts the smallest one once the capacity is reached. */
    public void add(WaitKey key, long waitUs) {
        if (waitUs < 0) {
            throw new IllegalArgumentException("wait must not be negative, but is " + waitUs + " us");
        }
        if (waitUs == 0) {
            return;
        }
        totalWaitUs += waitUs;
        byKind[key.cause().kind().ordinal()] += waitUs;
        Counter counter = counters.get(key);
        if (counter != null) {
            counter.waitUs += waitUs;
            siftDown(counter.heapIndex);
        } else if (heap.size() < capacity) {
            put(new Counter(key, waitUs, 0), heap.size());
            siftUp(heap.size() - 1);
        } else {
            Counter lightest = heap.get(0);
            counters.remove(lightest.key);
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
        counters.put(counter.key, counter);
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
        for (int index = from;
                index > 0 && heap.get(index).waitUs < heap.get((index - 1) / 2).waitUs;
                index = (index - 1) / 2) {
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

    /** The exact sum of all waits added. */
    public long totalWaitUs() {
        return totalWaitUs;
    }

    /** The exact sum of the waits for causes of a kind. */
    public long waitUs(Cause.Kind kind) {
        return byKind[kind.ordinal()];
    }

    /** The number of keys evicted so far. */
    public long evictions() {
        return evictions;
    }

    public int size() {
        return heap.size();
    }

    /** The entries, largest wait first. */
    public List<Entry> entries() {
        return heap.stream()
                .map(counter -> new Entry(counter.key, counter.waitUs, counter.maxErrorUs))
                .sorted((a, b) -> a.waitUs != b.waitUs
                        ? Long.compare(b.waitUs, a.waitUs)
                        : a.key.toString().compareTo(b.key.toString()))
                .toList();
    }
}
