package petrelstand.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import petrelstand.accounts.Cause;
import petrelstand.accounts.LatencyHistory;
import petrelstand.store.AccountsRecord.GroupPhases;
import petrelstand.store.AccountsRecord.MinuteRecord;
import petrelstand.store.AccountsRecord.NameTable;

/**
 * Renders a report as one HTML file without scripts or external resources. Charts are inline SVG, coloured by the style
 * sheet so that they follow the light or dark mode; wide ones scroll.
 */
public final class HtmlReport {
    private static final int MAX_COLUMNS = 240;
    private static final int MAX_WORST_SECONDS = 10;
    private static final int MAX_WAITERS = 20;
    private static final int MAX_CAUSES = 12;
    private static final int MAX_ROWS = 100;
    private static final int MAX_GROUPS = 16;
    private static final int CHART_HEIGHT = 180;
    private static final String STYLE = """
            :root{color-scheme:light dark;--ink:#1c2530;--dim:#5d6b7a;--paper:#fff;--line:#d6dde4;--work:#c2571a;
            --node:#7b3fa0;--window:#2f7d4f;--unseen:#8a97a5;--others:#b59a2a;--heat:194,87,26}
            @media(prefers-color-scheme:dark){:root{--ink:#e4e9ee;--dim:#9aa8b6;--paper:#14191f;--line:#2f3944;
            --work:#f08a4b;--node:#bd8be0;--window:#6cc08f;--unseen:#7d8a98;--others:#d9c25c;--heat:240,138,75}}
            body{margin:0 auto;padding:1rem;max-width:70rem;background:var(--paper);color:var(--ink);
            font:16px/1.45 system-ui,sans-serif}h1{font-size:1.4rem}h2{font-size:1.1rem;margin-top:2rem}
            .wide{overflow-x:auto}table{border-collapse:collapse;font-variant-numeric:tabular-nums;font-size:.85rem}
            th,td{padding:.2rem .6rem;border-bottom:1px solid var(--line);text-align:left;white-space:nowrap}
            td.n,th.n{text-align:right}code{font-size:.85em}p,figcaption{color:var(--dim)}svg{display:block}
            svg text{fill:var(--dim);font:11px system-ui,sans-serif}.axis{stroke:var(--line)}
            .work{fill:var(--work)}.node{fill:var(--node)}.window{fill:var(--window)}.unseen{fill:var(--unseen)}
            .others{fill:var(--others)}.key span{display:inline-block;width:.8em;height:.8em;margin:0 .3em 0 1em}
            figure{margin:0}
            """;

    private HtmlReport() {}

    /** Renders the whole page. */
    public static String render(WaitReport report, NameTable names, List<MinuteRecord> minutes) {
        ReportLabels labels = new ReportLabels(names);
        StringBuilder html = new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
                + "<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\"><title>Who waited for whom, "
                + escape(names.gateway()) + "</title><style>" + STYLE
                + "</style><h1>Who waited for whom</h1><p>Gateway "
                + escape(names.gateway()));
        if (!report.seconds().isEmpty()) {
            html.append(", ")
                    .append(ReportLabels.formatTime(report.seconds().get(0).second()))
                    .append(" to ")
                    .append(ReportLabels.formatTime(
                            report.seconds().get(report.seconds().size() - 1).second()));
        }
        html.append(". ")
                .append(ReportLabels.formatMs(report.totalWaitUs()))
                .append(" ms were held and waited, ")
                .append(ReportLabels.formatMs(report.unattributedUs()))
                .append(" ms of it has no recorded cause.</p>");
        appendKinds(html, report);
        appendWaitBySecond(html, report);
        appendWorstSeconds(html, report, labels);
        appendHeatMap(html, report, labels);
        appendPhases(html, minutes, labels);
        appendRows(html, report, labels);
        return html.append("</html>\n").toString();
    }

    static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private static String kindLabel(Cause.Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    private static void appendKinds(StringBuilder html, WaitReport report) {
        html.append("<div class=\"wide\"><table><tr><th>cause</th><th class=\"n\">ms</th><th class=\"n\">%</th></tr>");
        for (Cause.Kind kind : Cause.Kind.values()) {
            appendRow(
                    html,
                    kindLabel(kind),
                    ReportLabels.formatMs(report.waitUs(kind)),
                    ReportLabels.formatPercent(report.waitUs(kind), report.totalWaitUs()));
        }
        html.append("</table></div>");
    }

    /** Appends a table row whose last two cells are numbers, aligned to the right. */
    private static void appendRow(StringBuilder html, String... cells) {
        html.append("<tr>");
        for (int i = 0; i < cells.length; i++) {
            html.append(i >= cells.length - 2 ? "<td class=\"n\">" : "<td>")
                    .append(escape(cells[i]))
                    .append("</td>");
        }
        html.append("</tr>");
    }

    /** Appends a bar chart of the waits, stacked by kind of cause; a bar spans several seconds if there are many. */
    private static void appendWaitBySecond(StringBuilder html, WaitReport report) {
        List<WaitReport.SecondSummary> seconds = report.seconds();
        if (seconds.isEmpty()) {
            return;
        }
        long firstSecond = seconds.get(0).second();
        long spanSeconds = seconds.get(seconds.size() - 1).second() - firstSecond + 1;
        long secondsPerColumn = (spanSeconds + MAX_COLUMNS - 1) / MAX_COLUMNS;
        int columns = (int) ((spanSeconds + secondsPerColumn - 1) / secondsPerColumn);
        long[][] sums = new long[columns][Cause.Kind.values().length];
        long maxUs = 1;
        for (WaitReport.SecondSummary second : seconds) {
            int column = (int) ((second.second() - firstSecond) / secondsPerColumn);
            long sum = 0;
            for (int kind = 0; kind < sums[column].length; kind++) {
                sums[column][kind] += second.byKind()[kind];
                sum += sums[column][kind];
            }
            maxUs = Math.max(maxUs, sum);
        }
        int columnWidth = Math.max(2, 900 / columns);
        html.append("<h2>Wait by ")
                .append(secondsPerColumn == 1 ? "second" : secondsPerColumn + " seconds")
                .append("</h2><p class=\"key\">");
        for (Cause.Kind kind : Cause.Kind.values()) {
            html.append("<span style=\"background:var(--")
                    .append(kindLabel(kind))
                    .append(")\"></span>")
                    .append(kindLabel(kind));
        }
        html.append("</p><figure class=\"wide\"><svg width=\"")
                .append(columns * columnWidth + 70)
                .append("\" height=\"")
                .append(CHART_HEIGHT + 30)
                .append("\" role=\"img\" aria-label=\"wait by second, stacked by cause\">");
        html.append("<text x=\"0\" y=\"12\">")
                .append(ReportLabels.formatMs(maxUs))
                .append(" ms</text><line class=\"axis\" x1=\"65\" x2=\"")
                .append(columns * columnWidth + 65)
                .append("\" y1=\"")
                .append(CHART_HEIGHT)
                .append("\" y2=\"")
                .append(CHART_HEIGHT)
                .append("\"/>");
        for (int column = 0; column < columns; column++) {
            double top = CHART_HEIGHT;
            for (int kind = 0; kind < sums[column].length; kind++) {
                double barHeight = (CHART_HEIGHT - 4.0) * sums[column][kind] / maxUs;
                if (barHeight >= 0.05) {
                    top -= barHeight;
                    html.append(String.format(
                            Locale.ROOT,
                            "<rect class=\"%s\" x=\"%d\" y=\"%.1f\" width=\"%d\" height=\"%.1f\">"
                                    + "<title>%s: %s ms %s</title></rect>",
                            kindLabel(Cause.Kind.values()[kind]),
                            65 + column * columnWidth,
                            top,
                            Math.max(1, columnWidth - 1),
                            barHeight,
                            ReportLabels.formatTime(firstSecond + column * secondsPerColumn),
                            ReportLabels.formatMs(sums[column][kind]),
                            kindLabel(Cause.Kind.values()[kind])));
                }
            }
        }
        html.append("<text x=\"65\" y=\"")
                .append(CHART_HEIGHT + 16)
                .append("\">")
                .append(ReportLabels.formatTime(firstSecond))
                .append("</text></svg></figure>");
    }

    private static void appendWorstSeconds(StringBuilder html, WaitReport report, ReportLabels labels) {
        html.append(
                "<h2>Worst seconds</h2><div class=\"wide\"><table><tr><th>second</th><th>requests</th><th>main cause"
                        + "</th><th class=\"n\">wait ms</th><th class=\"n\">% by it</th></tr>");
        for (WaitReport.SecondSummary second : report.worstSeconds(MAX_WORST_SECONDS)) {
            appendRow(
                    html,
                    ReportLabels.formatTime(second.second()),
                    Long.toString(second.requests()),
                    labels.cause(second.mainCause()),
                    ReportLabels.formatMs(second.waitUs()),
                    ReportLabels.formatPercent(second.mainCauseUs(), second.waitUs()));
        }
        html.append("</table></div>");
    }

    /** Appends a table of the top waiters against the top causes. */
    private static void appendHeatMap(StringBuilder html, WaitReport report, ReportLabels labels) {
        List<Map.Entry<WaitReport.Waiter, Long>> waiters = report.topWaiters(MAX_WAITERS);
        List<Map.Entry<Cause, Long>> causes = report.topCauses(MAX_CAUSES);
        if (waiters.isEmpty()) {
            return;
        }
        long maxUs = 1;
        List<long[]> sums = new ArrayList<>();
        for (Map.Entry<WaitReport.Waiter, Long> waiter : waiters) {
            long[] row = new long[causes.size()];
            for (int i = 0; i < row.length; i++) {
                row[i] = report.waitUs(waiter.getKey(), causes.get(i).getKey());
                maxUs = Math.max(maxUs, row[i]);
            }
            sums.add(row);
        }
        html.append("<h2>Waiter against cause, ms</h2><div class=\"wide\"><table><tr><th>waiter</th>");
        causes.forEach(cause -> html.append("<th class=\"n\">")
                .append(escape(labels.cause(cause.getKey())).replace(" ", "<br>"))
                .append("</th>"));
        html.append("</tr>");
        for (int i = 0; i < waiters.size(); i++) {
            WaitReport.Waiter waiter = waiters.get(i).getKey();
            html.append("<tr><td>")
                    .append(escape(labels.waiter(waiter.volume(), waiter.requestClass())))
                    .append("</td>");
            for (long us : sums.get(i)) {
                // The square root keeps small waits visible beside large ones.
                html.append(String.format(
                        Locale.ROOT,
                        "<td class=\"n\" style=\"background:rgba(var(--heat),%.2f)\">%s</td>",
                        0.7 * Math.sqrt((double) us / maxUs),
                        us == 0 ? "" : ReportLabels.formatMs(us)));
            }
            html.append("</tr>");
        }
        html.append("</table></div>");
    }

    /** Appends the percentiles of the slowest groups by phase, each in its slowest minute. */
    private static void appendPhases(StringBuilder html, List<MinuteRecord> minutes, ReportLabels labels) {
        Map<LatencyHistory.RequestGroup, GroupPhases> slowestMinutes = new java.util.LinkedHashMap<>();
        for (MinuteRecord minute : minutes) {
            for (GroupPhases group : minute.groups()) {
                slowestMinutes.merge(
                        group.group(),
                        group,
                        (a, b) -> totalPercentiles(a).p99Us()
                                        >= totalPercentiles(b).p99Us()
                                ? a
                                : b);
            }
        }
        if (slowestMinutes.isEmpty()) {
            return;
        }
        html.append(
                "<h2>Phases, in each group's slowest minute</h2><div class=\"wide\"><table><tr><th>group</th><th>phase"
                        + "</th><th></th><th class=\"n\">p50 ms</th><th class=\"n\">p99 ms</th></tr>");
        long maxUs = Math.max(
                1,
                slowestMinutes.values().stream()
                        .mapToLong(group -> totalPercentiles(group).p99Us())
                        .max()
                        .orElse(1));
        slowestMinutes.values().stream()
                .sorted((a, b) -> Long.compare(
                        totalPercentiles(b).p99Us(), totalPercentiles(a).p99Us()))
                .limit(MAX_GROUPS)
                .forEach(group -> {
                    for (LatencyHistory.Phase phase : LatencyHistory.Phase.values()) {
                        LatencyHistory.Percentiles percentiles = group.phases().get(phase.ordinal());
                        html.append(String.format(
                                Locale.ROOT,
                                "<tr><td>%s</td><td>%s</td><td><svg width=\"200\" "
                                        + "height=\"14\" role=\"img\"><rect class=\"unseen\" x=\"0\" y=\"4\" width=\"%.1f\" height=\"6\"/>"
                                        + "<rect class=\"work\" x=\"0\" y=\"2\" width=\"%.1f\" height=\"10\"/></svg></td><td class=\"n\">"
                                        + "%s</td><td class=\"n\">%s</td></tr>",
                                phase.ordinal() == 0 ? escape(labels.group(group.group())) : "",
                                phase.name().toLowerCase(Locale.ROOT),
                                200.0 * Math.min(percentiles.p99Us(), maxUs) / maxUs,
                                200.0 * Math.min(percentiles.p50Us(), maxUs) / maxUs,
                                ReportLabels.formatMs(percentiles.p50Us()),
                                ReportLabels.formatMs(percentiles.p99Us())));
                    }
                });
        html.append("</table></div><p>The thick bar is the median, the thin one the 99th percentile.</p>");
    }

    private static LatencyHistory.Percentiles totalPercentiles(GroupPhases group) {
        return group.phases().get(LatencyHistory.Phase.TOTAL.ordinal());
    }

    private static void appendRows(StringBuilder html, WaitReport report, ReportLabels labels) {
        html.append("<h2>By node</h2><p>The ")
                .append(Math.min(MAX_ROWS, report.rows().size()))
                .append(" heaviest of ")
                .append(report.rows().size())
                .append(" rows.</p><div class=\"wide\"><table><tr><th>node</th><th>waiter</th>"
                        + "<th>cause</th><th class=\"n\">ms</th><th class=\"n\">%</th></tr>");
        for (WaitReport.Row row : report.rows().stream().limit(MAX_ROWS).toList()) {
            appendRow(
                    html,
                    ReportLabels.node(row.key().node()),
                    labels.waiter(row.key().volume(), row.key().requestClass()),
                    labels.cause(row.key().cause()),
                    ReportLabels.formatMs(row.waitUs()),
                    ReportLabels.formatPercent(row.waitUs(), report.totalWaitUs()));
        }
        html.append("</table></div>");
    }
}
