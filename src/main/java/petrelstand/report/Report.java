package petrelstand.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelstand.accounts.Book;
import petrelstand.accounts.Cause;
import petrelstand.accounts.Ledger;

/**
 * Who waited for whom in a stretch of recorded seconds, narrowed to what was asked for: sums by node, waiter and cause,
 * by second and kind of cause, and the worst seconds with the main cause of each. Plain figures; no I/O.
 */
public final class Report {
    /** What is asked for; null or negative for all. Seconds are Unix time, the last one counted in. */
    public record Query(long fromSecond, long toSecond, Long node, Long volume, int requestClass) {
        boolean takes(long second, Ledger.Cell cell) {
            return second >= fromSecond
                    && second <= toSecond
                    && (node == null || cell.node() == node)
                    && (volume == null || cell.volume() == volume)
                    && (requestClass < 0 || cell.requestClass() == requestClass);
        }

        boolean narrowed() {
            return node != null || volume != null || requestClass >= 0;
        }
    }

    /** A row of the table. */
    public record Row(Ledger.Cell cell, long us, long overUs) {}

    /** A second: all that was waited, by kind of cause in the order of {@link Cause.Kind}, and the main cause. */
    public record At(long second, long requests, long waitUs, long[] byKind, Cause main, long mainUs) {}

    private final List<Row> rows;
    private final List<At> seconds;
    private final long totalUs;
    private final long unnamedUs;
    private final Map<Cause.Kind, Long> byKind = new TreeMap<>();

    private Report(List<Row> rows, List<At> seconds, long totalUs, long unnamedUs) {
        this.rows = rows;
        this.seconds = seconds;
        this.totalUs = totalUs;
        this.unnamedUs = unnamedUs;
    }

    /** Sums seconds that were recorded. */
    public static Report of(List<Book.Second> recorded, Query query) {
        Map<Ledger.Cell, long[]> sums = new HashMap<>();
        Map<Long, At> seconds = new TreeMap<>();
        long total = 0;
        long unnamed = 0;
        for (Book.Second second : recorded) {
            if (second.second() < query.fromSecond() || second.second() > query.toSecond()) {
                continue;
            }
            long[] kinds = new long[Cause.Kind.values().length];
            Map<Cause, Long> causes = new LinkedHashMap<>();
            long wait = 0;
            for (Ledger.Entry entry : second.causes()) {
                Ledger.Cell cell = entry.cell();
                if (!query.takes(second.second(), cell)) {
                    continue;
                }
                // What a cell may owe to those that it pushed out is nobody's, so that the sum is what was waited.
                long surely = entry.us() - entry.overUs();
                long[] sum = sums.computeIfAbsent(cell, c -> new long[2]);
                sum[0] += surely;
                sum[1] += entry.overUs();
                kinds[cell.cause().kind().ordinal()] += surely;
                causes.merge(cell.cause(), surely, Long::sum);
                wait += surely;
            }
            if (!query.narrowed()) {
                unnamed += second.waitUs() - wait;
                wait = second.waitUs();
            }
            total += wait;
            var main = causes.entrySet().stream().max(Map.Entry.comparingByValue());
            long waited = wait;
            // A restarted gateway may have recorded a part of the same second: both count.
            seconds.merge(
                    second.second(),
                    new At(
                            second.second(),
                            second.requests(),
                            waited,
                            kinds,
                            main.map(Map.Entry::getKey).orElse(null),
                            main.map(Map.Entry::getValue).orElse(0L)),
                    Report::join);
        }
        List<Row> rows = new ArrayList<>();
        sums.forEach((cell, sum) -> rows.add(new Row(cell, sum[0], sum[1])));
        rows.sort(Comparator.comparingLong(Row::us)
                .reversed()
                .thenComparing(row -> row.cell().toString()));
        Report report = new Report(rows, List.copyOf(seconds.values()), total, unnamed);
        rows.forEach(row -> report.byKind.merge(row.cell().cause().kind(), row.us(), Long::sum));
        return report;
    }

    private static At join(At a, At b) {
        long[] kinds = a.byKind.clone();
        for (int i = 0; i < kinds.length; i++) {
            kinds[i] += b.byKind[i];
        }
        boolean first = a.mainUs >= b.mainUs;
        return new At(
                a.second,
                a.requests + b.requests,
                a.waitUs + b.waitUs,
                kinds,
                first ? a.main : b.main,
                Math.max(a.mainUs, b.mainUs));
    }

    /** The table, the longest first. */
    public List<Row> rows() {
        return rows;
    }

    /** The seconds in their order. */
    public List<At> seconds() {
        return seconds;
    }

    /** All time held and waited in what was asked for. */
    public long totalUs() {
        return totalUs;
    }

    /** Time that was recorded without a name: cells that heavier ones pushed out. */
    public long unnamedUs() {
        return unnamedUs;
    }

    public long us(Cause.Kind kind) {
        return byKind.getOrDefault(kind, 0L);
    }

    /** The seconds with the longest waits, the worst first. */
    public List<At> worst(int most) {
        return seconds.stream()
                .filter(at -> at.waitUs > 0)
                .sorted(Comparator.comparingLong(At::waitUs).reversed())
                .limit(most)
                .toList();
    }

    /** Sums by who waited, the longest first, keyed by volume and class; at most so many. */
    public List<Map.Entry<Waiter, Long>> waiters(int most) {
        Map<Waiter, Long> sums = new HashMap<>();
        rows.forEach(
                row -> sums.merge(new Waiter(row.cell().volume(), row.cell().requestClass()), row.us(), Long::sum));
        return heaviest(sums, most);
    }

    /** Sums by cause, the longest first; at most so many. */
    public List<Map.Entry<Cause, Long>> causes(int most) {
        Map<Cause, Long> sums = new HashMap<>();
        rows.forEach(row -> sums.merge(row.cell().cause(), row.us(), Long::sum));
        return heaviest(sums, most);
    }

    private static <K> List<Map.Entry<K, Long>> heaviest(Map<K, Long> sums, int most) {
        return sums.entrySet().stream()
                .sorted(Map.Entry.<K, Long>comparingByValue()
                        .reversed()
                        .thenComparing(entry -> entry.getKey().toString()))
                .limit(most)
                .toList();
    }

    /** Who waited for what, whatever the node. */
    public long us(Waiter waiter, Cause cause) {
        return rows.stream()
                .filter(row -> row.cell().volume() == waiter.volume()
                        && row.cell().requestClass() == waiter.requestClass()
                        && row.cell().cause().equals(cause))
                .mapToLong(Row::us)
                .sum();
    }

    /** A volume's requests of a class. */
    public record Waiter(long volume, int requestClass) {}
}
