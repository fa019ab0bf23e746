package petrelstand.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelstand.accounts.LatencyHistory;
import petrelstand.accounts.Cause;
import petrelstand.accounts.TopWaits;

/**
 * Who waited for whom in a stretch of recorded seconds, narrowed to what was asked for: sums by node, waiter and cause,
 * by second and kind of cause, and the worst seconds with the main cause of each. Plain figures; no I/O.
 */
public final class WaitReport {
    /** What is asked for; null or negative for all. Seconds are Unix time, the last one counted in. */
    public record Query(long fromSecond, long toSecond, Long node, Long volume, int requestClass) {
        boolean matches(long second, TopWaits.WaitKey key) {
            return second >= fromSecond
                    && second <= toSecond
                    && (node == null || key.node() == node)
                    && (volume == null || key.volume() == volume)
                    && (requestClass < 0 || key.requestClass() == requestClass);
        }

        boolean isFiltered() {
            return node != null || volume != null || requestClass >= 0;
        }
    }

    /** A row of the table. */
    public record Row(TopWaits.WaitKey key, long waitUs, long maxErrorUs) {}

    /** A second: all that was waited, by kind of cause in the order of {@link Cause.Kind}, and the main cause. */
    public record SecondSummary(long second, long requests, long waitUs, long[] byKind, Cause mainCause, long mainCauseUs) {}

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

    /** Sums seconds that were recorded. */
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
                // What a cell may owe to those that it pushed out is nobody's, so that the sum is what was waited.
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
            long finalWaitUs = waitUs;
            // A restarted gateway may have recorded a part of the same second: both count.
            seconds.merge(
                    second.second(),
                    new SecondSummary(
                            second.second(),
                            second.requests(),
                            finalWaitUs,
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

    /** The table, the longest first. */
    public List<Row> rows() {
        return rows;
    }

    /** The seconds in their order. */
    public List<SecondSummary> seconds() {
        return seconds;
    }

    /** All time held and waited in what was asked for. */
    public long totalWaitUs() {
        return totalWaitUs;
    }

    /** Time that was recorded without a name: cells that heavier ones pushed out. */
    public long unattributedUs() {
        return unattributedUs;
    }

    public long waitUs(Cause.Kind kind) {
        return byKind.getOrDefault(kind, 0L);
    }

    /** The seconds with the longest waits, the worst first. */
    public List<SecondSummary> worstSeconds(int limit) {
        return seconds.stream()
                .filter(second -> second.waitUs > 0)
                .sorted(Comparator.comparingLong(SecondSummary::waitUs).reversed())
                .limit(limit)
                .toList();
    }

    /** Sums by who waited, the longest first, keyed by volume and class; at most so many. */
    public List<Map.Entry<Waiter, Long>> topWaiters(int limit) {
        Map<Waiter, Long> sums = new HashMap<>();
        rows.forEach(
                row -> sums.merge(new Waiter(row.key().volume(), row.key().requestClass()), row.waitUs(), Long::sum));
        return heaviest(sums, limit);
    }

    /** Sums by cause, the longest first; at most so many. */
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

    /** Who waited for what, whatever the node. */
    public long waitUs(Waiter waiter, Cause cause) {
        return rows.stream()
                .filter(row -> row.key().volume() == waiter.volume()
                        && row.key().requestClass() == waiter.requestClass()
                        && row.key().cause().equals(cause))
                .mapToLong(Row::waitUs)
                .sum();
    }

    /** A volume's requests of a class. */
    public record Waiter(long volume, int requestClass) {}
}
