package petrelstand.lab;

import java.util.List;
import java.util.Locale;
import java.util.stream.DoubleStream;
import java.util.stream.LongStream;

/**
 * A scenario without a restart of its own over seeds: what many gateways together made of the day, and how near they
 * came to pushing a cold node over. Days run side by side; each depends on its seed alone.
 */
public final class FleetTrial {
    private final Scenario scenario;
    private final long from;
    private final List<Day.Outcome> days;

    /** Plays the days of the seeds from the one to the other, both counted in. */
    public FleetTrial(Scenario scenario, long from, long to) {
        this.scenario = scenario;
        this.from = from;
        this.days = LongStream.rangeClosed(from, to)
                .parallel()
                .mapToObj(seed -> new Day(scenario, seed, 0, Day.Way.NEVER_STOPPED).play())
                .toList();
    }

    /** Nodes that fell over, in all days together. */
    public int fallen() {
        return days.stream().mapToInt(day -> day.fallen).sum();
    }

    /**
     * The work that a cold node was sent in the rule's time, as a part of what makes it fall over: at so many percent
     * of all cold nodes it was at most this.
     */
    public double nearestToFall(double percent) {
        return at(percent, days.stream().flatMapToDouble(day -> DoubleStream.of(day.nearestToFall)));
    }

    private static double at(double percent, DoubleStream parts) {
        double[] sorted = parts.sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[(int) Math.ceil(percent / 100 * sorted.length) - 1];
    }

    /** Worth earned in time over worth due, all days together. */
    public double share() {
        return days.stream().mapToDouble(day -> day.longer.earned).sum()
                / days.stream().mapToDouble(day -> day.longer.due).sum();
    }

    /** The same of one span of {@link Day#SPAN_US}. */
    public double share(int span) {
        return days.stream().mapToDouble(day -> day.spans.get(span).earned).sum()
                / days.stream().mapToDouble(day -> day.spans.get(span).due).sum();
    }

    /** A line a day: worth by spans of 5 s, and cold nodes; then all days together. */
    public String table() {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%s: %d nodes, %d gateways, seeds %d-%d%n",
                scenario.name(),
                scenario.nodes(),
                scenario.gateways(),
                from,
                from + days.size() - 1));
        text.append(String.format(
                Locale.ROOT,
                "%-6s %8s %6s %6s %6s %6s  worth by 5 s%n",
                "seed",
                "worth",
                "cold",
                "fallen",
                "p95",
                "most"));
        for (int i = 0; i < days.size(); i++) {
            Day.Outcome day = days.get(i);
            text.append(String.format(
                    Locale.ROOT,
                    "%-6d %8.4f %6d %6d %6.2f %6.2f ",
                    from + i,
                    day.longer.share(),
                    day.nearestToFall.length,
                    day.fallen,
                    at(95, DoubleStream.of(day.nearestToFall)),
                    at(100, DoubleStream.of(day.nearestToFall))));
            day.spans.forEach(span -> text.append(String.format(Locale.ROOT, " %.2f", span.share())));
            text.append(String.format("%n"));
        }
        return text.append(String.format(
                        Locale.ROOT,
                        "all    %8.4f %6s %6d %6.2f %6.2f%n",
                        share(),
                        "",
                        fallen(),
                        nearestToFall(95),
                        nearestToFall(100)))
                .toString();
    }
}
