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
import petrelstand.accounts.Cause;
import petrelstand.accounts.LatencyHistory;
import petrelstand.core.RequestCounts;
import petrelstand.decision.Scheduling.Settings;

/**
 * The latency statistics as metrics in the Prometheus text format. To bound the number of series, labels are only
 * classes, plans, phases, results and kinds of cause, never volumes or nodes.
 */
public final class MetricsPage {
    /** Limit of classes and of plans with series of their own. */
    private static final int MAX_NAMES = 16;

    private static final double US_PER_SECOND = 1e6;

    private final Supplier<Settings> settings;
    private final LatencyHistory history;
    private final RequestCounts requestCounts;

    MetricsPage(Supplier<Settings> settings, LatencyHistory history, RequestCounts requestCounts) {
        this.requestCounts = requestCounts;
        this.settings = settings;
        this.history = history;
    }

    private String className(int index) {
        return settings.get().classes().get(index).name();
    }

    private String planName(int index) {
        return settings.get().plans().get(index).name();
    }

    /** The metrics as text; to be called on the event loop. */
    public String text() {
        CounterSnapshot.Builder waits = CounterSnapshot.builder()
                .name("petrelstand_wait_seconds")
                .help("Time that requests were held and waited, by class and kind of cause");
        CounterSnapshot.Builder ended = CounterSnapshot.builder()
                .name("petrelstand_requests")
                .help("Requests that are over, by class, plan and whether they were served");
        int classes = Math.min(MAX_NAMES, settings.get().classes().size());
        int plans = Math.min(MAX_NAMES, settings.get().plans().size());
        for (int classIndex = 0; classIndex < classes; classIndex++) {
            for (Cause.Kind cause : Cause.Kind.values()) {
                waits.dataPoint(CounterDataPointSnapshot.builder()
                        .labels(Labels.of(
                                "class",
                                className(classIndex),
                                "cause",
                                cause.name().toLowerCase(Locale.ROOT)))
                        .value(history.totalWaitUs(classIndex, cause) / US_PER_SECOND)
                        .build());
            }
            for (int planIndex = 0; planIndex < plans; planIndex++) {
                for (boolean served : new boolean[] {true, false}) {
                    ended.dataPoint(CounterDataPointSnapshot.builder()
                            .labels(Labels.of(
                                    "class",
                                    className(classIndex),
                                    "plan",
                                    planName(planIndex),
                                    "served",
                                    Boolean.toString(served)))
                            .value(history.finishedRequests(classIndex, planIndex, served))
                            .build());
                }
            }
        }
        MetricSnapshots snapshots = new MetricSnapshots(
                waits.build(), ended.build(), phaseTimes(classes, plans), resultCounts(), attemptCount());
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, snapshots);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the metrics to a buffer in memory", e);
        }
        return text.toString(StandardCharsets.UTF_8);
    }

    /** The requests by class and result, as the operators' address counts them. */
    private CounterSnapshot resultCounts() {
        CounterSnapshot.Builder builder = CounterSnapshot.builder()
                .name("petrelstand_ends")
                .help("Requests that are over, by class and how they ended");
        for (String className : requestCounts.classNames()) {
            for (RequestCounts.RequestResult result : RequestCounts.RequestResult.values()) {
                builder.dataPoint(CounterDataPointSnapshot.builder()
                        .labels(Labels.of(
                                "class", className, "how", result.name().toLowerCase(Locale.ROOT)))
                        .value(requestCounts.count(className, result))
                        .build());
            }
        }
        return builder.build();
    }

    private CounterSnapshot attemptCount() {
        return CounterSnapshot.builder()
                .name("petrelstand_upstream_tries")
                .help("Attempts written whole to storage nodes")
                .dataPoint(CounterDataPointSnapshot.builder()
                        .value(requestCounts.attempts())
                        .build())
                .build();
    }

    /** Percentiles of the last minute, or of the current one if there is no last one. */
    private SummarySnapshot phaseTimes(int classes, int plans) {
        SummarySnapshot.Builder builder = SummarySnapshot.builder()
                .name("petrelstand_phase_seconds")
                .help("Time of a request's phases in the last whole minute, by class and plan");
        LatencyHistory.MinuteStats minute =
                history.lastMinute() != null ? history.lastMinute() : history.currentMinute();
        if (minute != null) {
            for (LatencyHistory.RequestGroup group : minute.groups()) {
                if (group.requestClass() < 0 || group.requestClass() >= classes || group.plan() >= plans) {
                    continue;
                }
                for (LatencyHistory.Phase phase : LatencyHistory.Phase.values()) {
                    LatencyHistory.Percentiles percentiles = minute.percentiles(group, phase);
                    builder.dataPoint(SummaryDataPointSnapshot.builder()
                            .labels(Labels.of(
                                    "class",
                                    className(group.requestClass()),
                                    "plan",
                                    planName(group.plan()),
                                    "phase",
                                    phase.name().toLowerCase(Locale.ROOT)))
                            .count(percentiles.count())
                            .quantiles(Quantiles.of(
                                    new Quantile(0.5, percentiles.p50Us() / US_PER_SECOND),
                                    new Quantile(0.9, percentiles.p90Us() / US_PER_SECOND),
                                    new Quantile(0.99, percentiles.p99Us() / US_PER_SECOND)))
                            .build());
                }
            }
        }
        return builder.build();
    }
}
