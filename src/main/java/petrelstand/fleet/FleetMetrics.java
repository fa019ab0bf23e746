package petrelstand.fleet;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot.GaugeDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import petrelstand.members.FleetVisibility;

/**
 * Renders the fleet metrics in the Prometheus text format. Members are not labels, which bounds the number of series.
 */
public final class FleetMetrics {
    private static final String COUNTER_PREFIX = "fleet.";

    private FleetMetrics() {}

    /** Returns the metrics page; must be called on the event loop. */
    public static String prometheusText(FleetService fleet) {
        GaugeSnapshot.Builder members = GaugeSnapshot.builder()
                .name("petrelstand_fleet_members")
                .help("Members that this gateway knows, by state");
        fleet.memberCountsByState()
                .forEach((state, count) -> members.dataPoint(GaugeDataPointSnapshot.builder()
                        .labels(Labels.of("state", state))
                        .value(count)
                        .build()));
        FleetVisibility visibility = fleet.membership().visibility();
        GaugeSnapshot.Builder reach = GaugeSnapshot.builder()
                .name("petrelstand_fleet_reach")
                .help("1 for the part of the agreed size that this gateway sees");
        for (FleetVisibility.Reach level : FleetVisibility.Reach.values()) {
            reach.dataPoint(GaugeDataPointSnapshot.builder()
                    .labels(Labels.of("reach", level.name().toLowerCase(Locale.ROOT)))
                    .value(level == visibility.reach() ? 1 : 0)
                    .build());
        }
        CounterSnapshot.Builder events = CounterSnapshot.builder()
                .name("petrelstand_fleet_events")
                .help("Messages and events of membership, by kind");
        fleet.counters()
                .toLines()
                .lines()
                .filter(line -> line.startsWith(COUNTER_PREFIX))
                .forEach(line -> {
                    int space = line.indexOf(' ');
                    events.dataPoint(CounterDataPointSnapshot.builder()
                            .labels(Labels.of("kind", line.substring(COUNTER_PREFIX.length(), space)))
                            .value(Double.parseDouble(line.substring(space + 1)))
                            .build());
                });
        CounterSnapshot bytes = CounterSnapshot.builder()
                .name("petrelstand_fleet_sent_bytes")
                .help("Bytes of datagrams sent to other members")
                .dataPoint(CounterDataPointSnapshot.builder()
                        .value(fleet.bytesSent())
                        .build())
                .build();
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create()
                    .write(text, new MetricSnapshots(members.build(), reach.build(), events.build(), bytes));
        } catch (IOException e) {
            throw new UncheckedIOException("writing the metrics page into memory failed", e);
        }
        return text.toString(StandardCharsets.UTF_8);
    }
}
