package petrelstand.report;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import io.prometheus.metrics.model.snapshots.Quantile;
import io.prometheus.metrics.model.snapshots.Quantiles;
import io.prometheus.metrics.model.snapshots.SummarySnapshot;
import io.prometheus.metrics.model.snapshots.SummarySnapshot.SummaryDataPointSnapshot;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Supplier;
import petrelstand.accounts.Book;
import petrelstand.accounts.Cause;
import petrelstand.core.RequestCounts;
import petrelstand.decision.Scheduling.Settings;

/**
 * The accounts as metrics in the Prometheus text form, by its Java client's model and writer. Labels are classes,
 * plans, phases and kinds of cause, all of which the settings bound; no volume and no node is a label.
 */
public final class MetricsPage {
    private static final int MOST_NAMED = 16;
    private static final double US = 1e6;

    private final Supplier<Settings> settings;
    private final Book book;
    private final RequestCounts figures;

    MetricsPage(Supplier<Settings> settings, Book book, RequestCounts figures) {
        this.figures = figures;
        this.settings = settings;
        this.book = book;
    }

    private String className(int place) {
        return settings.get().classes().get(place).name();
    }

    private String planName(int place) {
        return settings.get().plans().get(place).name();
    }

    /** The page, made on the loop: a few hundred lines at most. */
    public String text() {
        CounterSnapshot.Builder waits = CounterSnapshot.builder()
                .name("petrelstand_wait_seconds")
                .help("Time that requests were held and waited, by class and kind of cause");
        CounterSnapshot.Builder ended = CounterSnapshot.builder()
                .name("petrelstand_requests")
                .help("Requests that are over, by class, plan and whether they were served");
        int classes = Math.min(MOST_NAMED, settings.get().classes().size());
        int plans = Math.min(MOST_NAMED, settings.get().plans().size());
        for (int kind = 0; kind < classes; kind++) {
            for (Cause.Kind cause : Cause.Kind.values()) {
                waits.dataPoint(CounterDataPointSnapshot.builder()
                        .labels(Labels.of(
                                "class", className(kind), "cause", cause.name().toLowerCase(Locale.ROOT)))
                        .value(book.waitUs(kind, cause) / US)
                        .build());
            }
            for (int plan = 0; plan < plans; plan++) {
                for (boolean served : new boolean[] {true, false}) {
                    ended.dataPoint(CounterDataPointSnapshot.builder()
                            .labels(Labels.of(
                                    "class",
                                    className(kind),
                                    "plan",
                                    planName(plan),
                                    "served",
                                    Boolean.toString(served)))
                            .value(book.ended(kind, plan, served))
                            .build());
                }
            }
        }
        MetricSnapshots all =
                new MetricSnapshots(waits.build(), ended.build(), phases(classes, plans), ends(), tries());
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, all);
        } catch (IOException e) {
            throw new UncheckedIOException("an array in memory takes all that is written to it", e);
        }
        return text.toString(StandardCharsets.UTF_8);
    }

    /** The same counts as the operators' address gives. */
    private CounterSnapshot ends() {
        CounterSnapshot.Builder ends = CounterSnapshot.builder()
                .name("petrelstand_ends")
                .help("Requests that are over, by class and how they ended");
        for (String kind : figures.classNames()) {
            for (RequestCounts.RequestResult end : RequestCounts.RequestResult.values()) {
                ends.dataPoint(CounterDataPointSnapshot.builder()
                        .labels(Labels.of("class", kind, "how", end.name().toLowerCase(Locale.ROOT)))
                        .value(figures.count(kind, end))
                        .build());
            }
        }
        return ends.build();
    }

    private CounterSnapshot tries() {
        return CounterSnapshot.builder()
                .name("petrelstand_upstream_tries")
                .help("Attempts written whole to storage nodes")
                .dataPoint(CounterDataPointSnapshot.builder()
                        .value(figures.attempts())
                        .build())
                .build();
    }

    /** Percentiles of the last whole minute, or of the one that runs while there is no other. */
    private SummarySnapshot phases(int classes, int plans) {
        SummarySnapshot.Builder phases = SummarySnapshot.builder()
                .name("petrelstand_phase_seconds")
                .help("Time of a request's phases in the last whole minute, by class and plan");
        Book.Minute minute = book.last() != null ? book.last() : book.running();
        if (minute != null) {
            for (Book.Group group : minute.groups()) {
                if (group.requestClass() < 0 || group.requestClass() >= classes || group.plan() >= plans) {
                    continue;
                }
                for (Book.Phase phase : Book.Phase.values()) {
                    Book.Percentiles p = minute.percentiles(group, phase);
                    phases.dataPoint(SummaryDataPointSnapshot.builder()
                            .labels(Labels.of(
                                    "class",
                                    className(group.requestClass()),
                                    "plan",
                                    planName(group.plan()),
                                    "phase",
                                    phase.name().toLowerCase(Locale.ROOT)))
                            .count(p.count())
                            .quantiles(Quantiles.of(
                                    new Quantile(0.5, p.p50() / US),
                                    new Quantile(0.9, p.p90() / US),
                                    new Quantile(0.99, p.p99() / US)))
                            .build());
                }
            }
        }
        return phases.build();
    }
}
