package petrelstand.lab;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;
import petrelstand.lab.Day.Way;

/**
 * A scenario over seeds: each day is played four times with the same requests and troubles, by gateways that never
 * stopped, that forgot nothing, that kept nothing and that kept their state. Days run side by side; each depends on its
 * seed alone, so the result is the same on any machine.
 */
public final class Experiment {
    /** Sums over seeds of one way at one age. */
    private static final class Row {
        private final List<Double> first = new ArrayList<>();
        private final List<Double> longer = new ArrayList<>();
        private int asked;
        private int askedLonger;
        private int late;
        private int lateLonger;
        private int fallen;
        private int remembered;
        private final Histogram tileReads = new Histogram(10_000_000, 3);

        void add(Day.Outcome day) {
            first.add(day.first.share());
            longer.add(day.longer.share());
            asked += day.first.asked;
            askedLonger += day.longer.asked;
            late += day.first.lateRefusals;
            lateLonger += day.longer.lateRefusals;
            fallen += day.fallen;
            remembered += day.remembered;
            tileReads.add(day.first.tileReads);
        }

        static double mean(List<Double> values) {
            return values.stream().mapToDouble(v -> v).average().orElse(0);
        }

        static double spread(List<Double> values) {
            double mean = mean(values);
            return Math.sqrt(
                    values.stream().mapToDouble(v -> (v - mean) * (v - mean)).sum()
                            / Math.max(1, values.size() - 1)
                            / Math.max(1, values.size()));
        }
    }

    private final Scenario scenario;
    private final long from;
    private final long to;
    private final Map<Long, Map<Way, Row>> rows = new java.util.LinkedHashMap<>();
    private long requests;

    /** Seeds from the one to the other, both counted in. */
    public Experiment(Scenario scenario, long from, long to) {
        this.scenario = scenario;
        this.from = from;
        this.to = to;
    }

    /** Plays all days. */
    public Experiment play() {
        for (long age : scenario.restart().agesUs()) {
            Map<Way, Row> byWay = new EnumMap<>(Way.class);
            rows.put(age, byWay);
            for (Way way : Way.values()) {
                Row row = new Row();
                byWay.put(way, row);
                List<Day.Outcome> days = LongStream.rangeClosed(from, to)
                        .parallel()
                        .mapToObj(seed -> new Day(scenario, seed, age, way).play())
                        .toList();
                days.forEach(row::add);
                requests += days.stream().mapToLong(day -> day.requests).sum();
            }
        }
        return this;
    }

    /** Requests played, in all days together. */
    public long requests() {
        return requests;
    }

    /** The part of the loss to a gateway that forgot nothing which keeping state gives back. */
    private static double recovered(Map<Way, Row> rows) {
        double none = Row.mean(rows.get(Way.NOTHING_KEPT).first);
        double lost = Row.mean(rows.get(Way.ALL_KEPT).first) - none;
        return (Row.mean(rows.get(Way.STATE_KEPT).first) - none) / lost;
    }

    /** The table: shares of the worth that was due, with their standard errors. */
    public String table() {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                "%s: %d nodes, %d gateways (%d restart), seeds %d-%d, %d requests%n",
                scenario.name(),
                scenario.nodes(),
                scenario.gateways(),
                scenario.restart().gateways(),
                from,
                to,
                requests));
        text.append(String.format(
                Locale.ROOT,
                "%-8s %-14s %17s %17s %10s %10s %9s %7s %9s%n",
                "file's",
                "",
                "worth, first 5 s",
                "worth, 30 s",
                "late in 5s",
                "late in 30",
                "tile p99",
                "nodes",
                "loss of"));
        text.append(String.format(
                Locale.ROOT,
                "%-8s %-14s %17s %17s %10s %10s %9s %7s %9s%n",
                "age s",
                "way",
                "share +- error",
                "share +- error",
                "per 1000",
                "per 1000",
                "ms",
                "fallen",
                "5 s back"));
        rows.forEach((age, byWay) -> byWay.forEach((way, row) -> text.append(String.format(
                Locale.ROOT,
                "%-8s %-14s   %.4f +- %.4f   %.4f +- %.4f %10.1f %10.1f %9.0f %7d %9s%n",
                age / 1e6,
                way.name().toLowerCase(Locale.ROOT),
                Row.mean(row.first),
                Row.spread(row.first),
                Row.mean(row.longer),
                Row.spread(row.longer),
                1000.0 * row.late / Math.max(1, row.asked),
                1000.0 * row.lateLonger / Math.max(1, row.askedLonger),
                row.tileReads.getValueAtPercentile(99) / 1000.0,
                row.fallen,
                way == Way.STATE_KEPT ? String.format(Locale.ROOT, "%.0f %%", 100 * recovered(byWay)) : ""))));
        return text.toString();
    }

    /** The same as JSON. */
    public JsonObject json() {
        JsonObject json = new JsonObject();
        json.addProperty("scenario", scenario.name());
        json.addProperty("first_seed", from);
        json.addProperty("last_seed", to);
        json.addProperty("requests", requests);
        JsonArray all = new JsonArray();
        rows.forEach((age, byWay) -> byWay.forEach((way, row) -> {
            JsonObject one = new JsonObject();
            one.addProperty("age_s", age / 1e6);
            one.addProperty("way", way.name().toLowerCase(Locale.ROOT));
            one.addProperty("worth_5s", Row.mean(row.first));
            one.addProperty("worth_5s_error", Row.spread(row.first));
            one.addProperty("worth_30s", Row.mean(row.longer));
            one.addProperty("worth_30s_error", Row.spread(row.longer));
            one.addProperty("asked_5s", row.asked);
            one.addProperty("late_5s", row.late);
            one.addProperty("late_30s", row.lateLonger);
            one.addProperty("tile_p50_ms", row.tileReads.getValueAtPercentile(50) / 1000.0);
            one.addProperty("tile_p99_ms", row.tileReads.getValueAtPercentile(99) / 1000.0);
            one.addProperty("fallen", row.fallen);
            one.addProperty("remembered_nodes", row.remembered);
            all.add(one);
        }));
        json.add("rows", all);
        return json;
    }
}
