package petrelstand.report;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Locale;
import petrelstand.accounts.Cause;
import petrelstand.accounts.LatencyHistory;
import petrelstand.store.AccountsRecord.GroupPhases;
import petrelstand.store.AccountsRecord.MinuteRecord;
import petrelstand.store.AccountsRecord.NameTable;

/** Renders a report as text for a terminal or as JSON. */
public final class TextReport {
    private static final int MAX_ROWS = 30;
    private static final int MAX_WORST_SECONDS = 10;

    private TextReport() {}

    /** The report as text, with the largest waits only. */
    public static String text(WaitReport report, NameTable names, List<MinuteRecord> minutes) {
        ReportLabels labels = new ReportLabels(names);
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                "gateway %s, %d seconds, %s ms held and waited; %s ms of it without a recorded cause%n",
                names.gateway(),
                report.seconds().size(),
                ReportLabels.formatMs(report.totalWaitUs()),
                ReportLabels.formatMs(report.unattributedUs())));
        for (Cause.Kind kind : Cause.Kind.values()) {
            text.append(String.format(
                    "  %-8s %16s ms %6s %%%n",
                    kind.name().toLowerCase(Locale.ROOT),
                    ReportLabels.formatMs(report.waitUs(kind)),
                    ReportLabels.formatPercent(report.waitUs(kind), report.totalWaitUs())));
        }
        text.append(String.format(
                "%nwho waited for whom (%d of %d rows)%n%-11s %-34s %-34s %14s %7s%n",
                Math.min(MAX_ROWS, report.rows().size()), report.rows().size(), "node", "waiter", "cause", "ms", "%"));
        for (WaitReport.Row row : report.rows().stream().limit(MAX_ROWS).toList()) {
            text.append(String.format(
                    "%-11s %-34s %-34s %14s %7s%n",
                    ReportLabels.node(row.key().node()),
                    labels.waiter(row.key().volume(), row.key().requestClass()),
                    labels.cause(row.key().cause()),
                    ReportLabels.formatMs(row.waitUs()),
                    ReportLabels.formatPercent(row.waitUs(), report.totalWaitUs())));
        }
        text.append(String.format(
                "%nworst seconds%n%-21s %9s %14s %-34s %7s%n", "second", "requests", "ms", "main cause", "%"));
        for (WaitReport.SecondSummary second : report.worstSeconds(MAX_WORST_SECONDS)) {
            text.append(String.format(
                    "%-21s %9d %14s %-34s %7s%n",
                    ReportLabels.formatTime(second.second()),
                    second.requests(),
                    ReportLabels.formatMs(second.waitUs()),
                    labels.cause(second.mainCause()),
                    ReportLabels.formatPercent(second.mainCauseUs(), second.waitUs())));
        }
        if (!minutes.isEmpty()) {
            text.append(String.format(
                    "%nphases by minute, ms%n%-21s %-26s %-11s %9s %9s %9s %9s%n",
                    "minute", "group", "phase", "count", "p50", "p90", "p99"));
            for (MinuteRecord minute : minutes) {
                for (GroupPhases group : minute.groups()) {
                    for (LatencyHistory.Phase phase : LatencyHistory.Phase.values()) {
                        LatencyHistory.Percentiles percentiles = group.phases().get(phase.ordinal());
                        text.append(String.format(
                                "%-21s %-26s %-11s %9d %9s %9s %9s%n",
                                ReportLabels.formatTime(minute.fromSecond()),
                                labels.group(group.group()),
                                phase.name().toLowerCase(Locale.ROOT),
                                percentiles.count(),
                                ReportLabels.formatMs(percentiles.p50Us()),
                                ReportLabels.formatMs(percentiles.p90Us()),
                                ReportLabels.formatMs(percentiles.p99Us())));
                    }
                }
            }
        }
        return text.toString();
    }

    /** The report as JSON, with all rows. */
    public static JsonObject json(WaitReport report, NameTable names, List<MinuteRecord> minutes) {
        ReportLabels labels = new ReportLabels(names);
        JsonObject json = new JsonObject();
        json.addProperty("gateway", names.gateway());
        json.addProperty("seconds", report.seconds().size());
        json.addProperty("wait_ms", report.totalWaitUs() / 1000.0);
        json.addProperty("without_a_name_ms", report.unattributedUs() / 1000.0);
        JsonArray rows = new JsonArray();
        for (WaitReport.Row row : report.rows()) {
            JsonObject rowJson = new JsonObject();
            rowJson.addProperty("node", ReportLabels.node(row.key().node()));
            rowJson.addProperty("volume", ReportLabels.volume(row.key().volume()));
            rowJson.addProperty("class", labels.requestClass(row.key().requestClass()));
            addCause(rowJson, row.key().cause(), labels);
            rowJson.addProperty("ms", row.waitUs() / 1000.0);
            rowJson.addProperty("share", report.totalWaitUs() == 0 ? 0 : (double) row.waitUs() / report.totalWaitUs());
            rows.add(rowJson);
        }
        json.add("who_waited_for_whom", rows);
        JsonArray worst = new JsonArray();
        for (WaitReport.SecondSummary second : report.worstSeconds(MAX_WORST_SECONDS)) {
            JsonObject secondJson = new JsonObject();
            secondJson.addProperty("second", second.second());
            secondJson.addProperty("requests", second.requests());
            secondJson.addProperty("wait_ms", second.waitUs() / 1000.0);
            if (second.mainCause() != null) {
                addCause(secondJson, second.mainCause(), labels);
                secondJson.addProperty("cause_ms", second.mainCauseUs() / 1000.0);
            }
            worst.add(secondJson);
        }
        json.add("worst_seconds", worst);
        JsonArray phases = new JsonArray();
        for (MinuteRecord minute : minutes) {
            for (GroupPhases group : minute.groups()) {
                for (LatencyHistory.Phase phase : LatencyHistory.Phase.values()) {
                    LatencyHistory.Percentiles percentiles = group.phases().get(phase.ordinal());
                    JsonObject phaseJson = new JsonObject();
                    phaseJson.addProperty("minute", minute.fromSecond());
                    phaseJson.addProperty("group", labels.group(group.group()));
                    phaseJson.addProperty("phase", phase.name().toLowerCase(Locale.ROOT));
                    phaseJson.addProperty("count", percentiles.count());
                    phaseJson.addProperty("p50_ms", percentiles.p50Us() / 1000.0);
                    phaseJson.addProperty("p90_ms", percentiles.p90Us() / 1000.0);
                    phaseJson.addProperty("p99_ms", percentiles.p99Us() / 1000.0);
                    phaseJson.addProperty("max_ms", percentiles.maxUs() / 1000.0);
                    phases.add(phaseJson);
                }
            }
        }
        json.add("phases", phases);
        return json;
    }

    private static void addCause(JsonObject json, Cause cause, ReportLabels labels) {
        json.addProperty("cause", cause.kind().name().toLowerCase(Locale.ROOT));
        if (cause.kind() == Cause.Kind.WORK) {
            json.addProperty("cause_volume", ReportLabels.volume(cause.volume()));
            json.addProperty("cause_class", labels.requestClass(cause.requestClass()));
        }
    }
}
