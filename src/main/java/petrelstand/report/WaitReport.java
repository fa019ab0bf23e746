package petrelstand.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelstand.accounts.Cause;
import petrelstand.accounts.LatencyHistory;
import petrelstand.accounts.TopWaits;

/**
 * Sums the waits of recorded seconds that match a {@link Query}: by node, waiter and cause, by second and kind of
 * cause, and the worst seconds with their main causes. It does no I/O. Times are microseconds, seconds are Unix time.
 */
public final class WaitReport {
    /**
     * The filter of a report. {@code toSecond} is inclusive; a null node or volume, or a negative class, matches all.
     */
    public record Query(long fromSecond, long toSecond, Long node, Long volume, int requestClass) {
        boolean matches(long second, TopWaits.WaitKey key) {
            return second >= fromSecond
                    && second <= toSecond
                    && (node == null || key.node() == node)
                    && (volume == null || key.volume() == volume)
                    && (requestClass < 0 || key.requestClass() == requestClass);
        }

        /** True if the query selects by key: by node, volume or class. */
        boolean isFiltered() {
            return node != null || volume != null || requestClass >= 0;
        }
    }

    /** The summed wait of a key; up to {@code maxErrorUs} more may belong to it. */
    public record Row(TopWaits.WaitKey key, long waitUs, long maxErrorUs) {}

    /**
     * The waits of a second.
     *
     * @param byKind the waits by ordinal of {@link Cause.Kind}
     * @param mainCause the cause with the largest wait, or null without any
     */
    public record SecondSummary(
            long second, long requests, long waitUs, long[] byKind, Cause mainCause, long mainCauseUs) {}

    private final List<Row> rows;
    private final List<SecondSummary> seconds;
    private final long totalWaitUs;
    private final long unattributedUs;
    private final Map<Cause.Kind, Long> byKind = new TreeMap<>();

    private WaitReport(List<Row> rows, List<SecondSummary> seconds, long totalWaitUs, long unattributedUs) {
        this.rows = rows;
        this.seconds = seconds;
        this.totalWaitUs = totalWaitUs;
        this.unattributedUs = unattributedUs;
    }

    /** Sums the recorded seconds that match a query. */
    public static WaitReport summarize(List<LatencyHistory.SecondStats> recorded, Query query) {
        Map<TopWaits.WaitKey, long[]> sums = new HashMap<>();
        Map<Long, SecondSummary> seconds = new TreeMap<>();
        long totalWaitUs = 0;
        long unattributedUs = 0;
        for (LatencyHistory.SecondStats second : recorded) {
            if (second.second() < query.fromSecond() || second.second() > query.toSecond()) {
                continue;
            }
            long[] kindSums = new long[Cause.Kind.values().length];
            Map<Cause, Long> causes = new LinkedHashMap<>();
            long waitUs = 0;
            for (TopWaits.Entry entry : second.topWaits()) {
                TopWaits.WaitKey key = entry.key();
                if (!query.matches(second.second(), key)) {
                    continue;
                }
                // The possible error of an entry stays unattributed, so that the sum is the time waited.
                long certainUs = entry.waitUs() - entry.maxErrorUs();
                long[] sum = sums.computeIfAbsent(key, c -> new long[2]);
                sum[0] += certainUs;
                sum[1] += entry.maxErrorUs();
                kindSums[key.cause().kind().ordinal()] += certainUs;
                causes.merge(key.cause(), certainUs, Long::sum);
                waitUs += certainUs;
            }
            if (!query.isFiltered()) {
                unattributedUs += second.waitUs() - waitUs;
                waitUs = second.waitUs();
            }
            totalWaitUs += waitUs;
            var mainCause = causes.entrySet().stream().max(Map.Entry.comparingByValue());
            long totalOfSecondUs = waitUs;
            // A gateway that restarts may record the same second twice.
            seconds.merge(
                    second.second(),
                    new SecondSummary(
                            second.second(),
                            second.requests(),
                            totalOfSecondUs,
                            kindSums,
                            mainCause.map(Map.Entry::getKey).orElse(null),
                            mainCause.map(Map.Entry::getValue).orElse(0L)),
                    WaitReport::merge);
        }
        List<Row> rows = new ArrayList<>();
        sums.forEach((key, sum) -> rows.add(new Row(key, sum[0], sum[1])));
        rows.sort(Comparator.comparingLong(Row::waitUs)
                .reversed()
                .thenComparing(row -> row.key().toString()));
        WaitReport report = new WaitReport(rows, List.copyOf(seconds.values()), totalWaitUs, unattributedUs);
        rows.forEach(row -> report.byKind.merge(row.key().cause().kind(), row.waitUs(), Long::sum));
        return report;
    }

    private static SecondSummary merge(SecondSummary a, SecondSummary b) {
        long[] kinds = a.byKind.clone();
        for (int i = 0; i < kinds.length; i++) {
            kinds[i] += b.byKind[i];
        }
        boolean firstIsMain = a.mainCauseUs >= b.mainCauseUs;
        return new SecondSummary(
                a.second,
                a.requests + b.requests,
                a.waitUs + b.waitUs,
                kinds,
                firstIsMain ? a.mainCause : b.mainCause,
                Math.max(a.mainCauseUs, b.mainCauseUs));
    }

    /** The rows, longest wait first. */
    public List<Row> rows() {
        return rows;
    }

    /** The seconds in ascending order. */
    public List<SecondSummary> seconds() {
        return seconds;
    }

    /** The time held and waited in all that matches the query. */
    public long totalWaitUs() {
        return totalWaitUs;
    }

    /** The part of the total without a recorded cause, since its entries were evicted; 0 if filtered by key. */
    public long unattributedUs() {
        return unattributedUs;
    }

    public long waitUs(Cause.Kind kind) {
        return byKind.getOrDefault(kind, 0L);
    }

    /** The seconds with the longest waits, longest first. */
    public List<SecondSummary> worstSeconds(int limit) {
        return seconds.stream()
                .filter(second -> second.waitUs > 0)
                .sorted(Comparator.comparingLong(SecondSummary::waitUs).reversed())
                .limit(limit)
                .toList();
    }

    /** The waiters with the longest waits, longest first. */
    public List<Map.Entry<Waiter, Long>> topWaiters(int limit) {
        Map<Waiter, Long> sums = new HashMap<>();
        rows.forEach(
                row -> sums.merge(new Waiter(row.key().volume(), row.key().requestClass()), row.waitUs(), Long::sum));
        return heaviest(sums, limit);
    }

    /** The causes of the longest waits, longest first. */
    public List<Map.Entry<Cause, Long>> topCauses(int limit) {
        Map<Cause, Long> sums = new HashMap<>();
        rows.forEach(row -> sums.merge(row.key().cause(), row.waitUs(), Long::sum));
        return heaviest(sums, limit);
    }

    private static <K> List<Map.Entry<K, Long>> heaviest(Map<K, Long> sums, int limit) {
        return sums.entrySet().stream()
                .sorted(Map.Entry.<K, Long>comparingByValue()
                        .reversed()
                        .thenComparing(entry -> entry.getKey().toString()))
                .limit(limit)
                .toList();
    }

    /** The wait of a waiter for a cause at all nodes. */
    public long waitUs(Waiter waiter, Cause cause) {
        return rows.stream()
                .filter(row -> row.key().volume() == waiter.volume()
                        && row.key().requestClass() == waiter.requestClass()
                        && row.key().cause().equals(cause))
                .mapToLong(Row::waitUs)
                .sum();
    }

    /** The requests of a volume in a class. */
    public record Waiter(long volume, int requestClass) {}
}
