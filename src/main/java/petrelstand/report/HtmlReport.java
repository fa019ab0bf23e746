package petrelstand.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import petrelstand.accounts.Book;
import petrelstand.accounts.Cause;
import petrelstand.store.AccountsRecord.GroupPhases;
import petrelstand.store.AccountsRecord.MinuteRecord;
import petrelstand.store.AccountsRecord.NameTable;

/**
 * The report as one HTML file that needs no network and no script: plots are SVG in the page, coloured by its style
 * sheet, so that they follow the reader's light or dark, and wide ones scroll on a phone.
 */
public final class HtmlReport {
    private static final int MOST_COLUMNS = 240;
    private static final int MOST_WAITERS = 20;
    private static final int MOST_CAUSES = 12;
    private static final int MOST_ROWS = 100;
    private static final int MOST_GROUPS = 16;
    private static final int HEIGHT = 180;
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

    /** The page. */
    public static String page(Report report, NameTable names, List<MinuteRecord> minutes) {
        Words words = new Words(names);
        StringBuilder html = new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
                + "<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\"><title>Who waited for whom, "
                + escape(names.gateway()) + "</title><style>" + STYLE
                + "</style><h1>Who waited for whom</h1><p>Gateway "
                + escape(names.gateway()));
        if (!report.seconds().isEmpty()) {
            html.append(", ")
                    .append(Words.time(report.seconds().get(0).second()))
                    .append(" to ")
                    .append(Words.time(
                            report.seconds().get(report.seconds().size() - 1).second()));
        }
        html.append(". ")
                .append(Words.ms(report.totalUs()))
                .append(" ms were held and waited, ")
                .append(Words.ms(report.unnamedUs()))
                .append(" ms of it is recorded without a name.</p>");
        kinds(html, report);
        bySecond(html, report);
        worst(html, report, words);
        heat(html, report, words);
        phases(html, minutes, words);
        rows(html, report, words);
        return html.append("</html>\n").toString();
    }

    static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private static String name(Cause.Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    private static void kinds(StringBuilder html, Report report) {
        html.append("<div class=\"wide\"><table><tr><th>cause</th><th class=\"n\">ms</th><th class=\"n\">%</th></tr>");
        for (Cause.Kind kind : Cause.Kind.values()) {
            cells(html, name(kind), Words.ms(report.us(kind)), Words.percent(report.us(kind), report.totalUs()));
        }
        html.append("</table></div>");
    }

    /** A row: the first cells are texts, the last two numbers. */
    private static void cells(StringBuilder html, String... cells) {
        html.append("<tr>");
        for (int i = 0; i < cells.length; i++) {
            html.append(i >= cells.length - 2 ? "<td class=\"n\">" : "<td>")
                    .append(escape(cells[i]))
                    .append("</td>");
        }
        html.append("</tr>");
    }

    /** Bars by second, or by as many seconds as make the columns fit, stacked by kind of cause. */
    private static void bySecond(StringBuilder html, Report report) {
        List<Report.At> seconds = report.seconds();
        if (seconds.isEmpty()) {
            return;
        }
        long first = seconds.get(0).second();
        long span = seconds.get(seconds.size() - 1).second() - first + 1;
        long step = (span + MOST_COLUMNS - 1) / MOST_COLUMNS;
        int columns = (int) ((span + step - 1) / step);
        long[][] sums = new long[columns][Cause.Kind.values().length];
        long most = 1;
        for (Report.At at : seconds) {
            int column = (int) ((at.second() - first) / step);
            long sum = 0;
            for (int kind = 0; kind < sums[column].length; kind++) {
                sums[column][kind] += at.byKind()[kind];
                sum += sums[column][kind];
            }
            most = Math.max(most, sum);
        }
        int wide = Math.max(2, 900 / columns);
        html.append("<h2>Wait by ")
                .append(step == 1 ? "second" : step + " seconds")
                .append("</h2><p class=\"key\">");
        for (Cause.Kind kind : Cause.Kind.values()) {
            html.append("<span style=\"background:var(--")
                    .append(name(kind))
                    .append(")\"></span>")
                    .append(name(kind));
        }
        html.append("</p><figure class=\"wide\"><svg width=\"")
                .append(columns * wide + 70)
                .append("\" height=\"")
                .append(HEIGHT + 30)
                .append("\" role=\"img\" aria-label=\"wait by second, stacked by cause\">");
        html.append("<text x=\"0\" y=\"12\">")
                .append(Words.ms(most))
                .append(" ms</text><line class=\"axis\" x1=\"65\" x2=\"")
                .append(columns * wide + 65)
                .append("\" y1=\"")
                .append(HEIGHT)
                .append("\" y2=\"")
                .append(HEIGHT)
                .append("\"/>");
        for (int column = 0; column < columns; column++) {
            double top = HEIGHT;
            for (int kind = 0; kind < sums[column].length; kind++) {
                double high = (HEIGHT - 4.0) * sums[column][kind] / most;
                if (high >= 0.05) {
                    top -= high;
                    html.append(String.format(
                            Locale.ROOT,
                            "<rect class=\"%s\" x=\"%d\" y=\"%.1f\" width=\"%d\" height=\"%.1f\">"
                                    + "<title>%s: %s ms %s</title></rect>",
                            name(Cause.Kind.values()[kind]),
                            65 + column * wide,
                            top,
                            Math.max(1, wide - 1),
                            high,
                            Words.time(first + column * step),
                            Words.ms(sums[column][kind]),
                            name(Cause.Kind.values()[kind])));
                }
            }
        }
        html.append("<text x=\"65\" y=\"")
                .append(HEIGHT + 16)
                .append("\">")
                .append(Words.time(first))
                .append("</text></svg></figure>");
    }

    private static void worst(StringBuilder html, Report report, Words words) {
        html.append(
                "<h2>Worst seconds</h2><div class=\"wide\"><table><tr><th>second</th><th>requests</th><th>main cause"
                        + "</th><th class=\"n\">wait ms</th><th class=\"n\">% by it</th></tr>");
        for (Report.At at : report.worst(10)) {
            cells(
                    html,
                    Words.time(at.second()),
                    Long.toString(at.requests()),
                    words.cause(at.main()),
                    Words.ms(at.waitUs()),
                    Words.percent(at.mainUs(), at.waitUs()));
        }
        html.append("</table></div>");
    }

    /** Waiters against causes, the heaviest of each. */
    private static void heat(StringBuilder html, Report report, Words words) {
        List<Map.Entry<Report.Waiter, Long>> waiters = report.waiters(MOST_WAITERS);
        List<Map.Entry<Cause, Long>> causes = report.causes(MOST_CAUSES);
        if (waiters.isEmpty()) {
            return;
        }
        long most = 1;
        List<long[]> sums = new ArrayList<>();
        for (Map.Entry<Report.Waiter, Long> waiter : waiters) {
            long[] row = new long[causes.size()];
            for (int i = 0; i < row.length; i++) {
                row[i] = report.us(waiter.getKey(), causes.get(i).getKey());
                most = Math.max(most, row[i]);
            }
            sums.add(row);
        }
        html.append("<h2>Waiter against cause, ms</h2><div class=\"wide\"><table><tr><th>waiter</th>");
        causes.forEach(cause -> html.append("<th class=\"n\">")
                .append(escape(words.cause(cause.getKey())).replace(" ", "<br>"))
                .append("</th>"));
        html.append("</tr>");
        for (int i = 0; i < waiters.size(); i++) {
            Report.Waiter waiter = waiters.get(i).getKey();
            html.append("<tr><td>")
                    .append(escape(words.waiter(waiter.volume(), waiter.requestClass())))
                    .append("</td>");
            for (long us : sums.get(i)) {
                // The root makes small parts seen beside large ones.
                html.append(String.format(
                        Locale.ROOT,
                        "<td class=\"n\" style=\"background:rgba(var(--heat),%.2f)\">%s</td>",
                        0.7 * Math.sqrt((double) us / most),
                        us == 0 ? "" : Words.ms(us)));
            }
            html.append("</tr>");
        }
        html.append("</table></div>");
    }

    /** Percentiles by phase of the groups that waited longest, of all minutes: the longest minute of each. */
    private static void phases(StringBuilder html, List<MinuteRecord> minutes, Words words) {
        Map<Book.Group, GroupPhases> worst = new java.util.LinkedHashMap<>();
        for (MinuteRecord minute : minutes) {
            for (GroupPhases group : minute.groups()) {
                worst.merge(group.group(), group, (a, b) -> total(a).p99() >= total(b).p99() ? a : b);
            }
        }
        if (worst.isEmpty()) {
            return;
        }
        html.append(
                "<h2>Phases, in each group's slowest minute</h2><div class=\"wide\"><table><tr><th>group</th><th>phase"
                        + "</th><th></th><th class=\"n\">p50 ms</th><th class=\"n\">p99 ms</th></tr>");
        long most = Math.max(
                1,
                worst.values().stream()
                        .mapToLong(group -> total(group).p99())
                        .max()
                        .orElse(1));
        worst.values().stream()
                .sorted((a, b) -> Long.compare(total(b).p99(), total(a).p99()))
                .limit(MOST_GROUPS)
                .forEach(group -> {
                    for (Book.Phase phase : Book.Phase.values()) {
                        Book.Percentiles p = group.phases().get(phase.ordinal());
                        html.append(String.format(
                                Locale.ROOT,
                                "<tr><td>%s</td><td>%s</td><td><svg width=\"200\" "
                                        + "height=\"14\" role=\"img\"><rect class=\"unseen\" x=\"0\" y=\"4\" width=\"%.1f\" height=\"6\"/>"
                                        + "<rect class=\"work\" x=\"0\" y=\"2\" width=\"%.1f\" height=\"10\"/></svg></td><td class=\"n\">"
                                        + "%s</td><td class=\"n\">%s</td></tr>",
                                phase.ordinal() == 0 ? escape(words.group(group.group())) : "",
                                phase.name().toLowerCase(Locale.ROOT),
                                200.0 * Math.min(p.p99(), most) / most,
                                200.0 * Math.min(p.p50(), most) / most,
                                Words.ms(p.p50()),
                                Words.ms(p.p99())));
                    }
                });
        html.append("</table></div><p>The thick bar is the median, the thin one the 99th percentile.</p>");
    }

    private static Book.Percentiles total(GroupPhases group) {
        return group.phases().get(Book.Phase.TOTAL.ordinal());
    }

    private static void rows(StringBuilder html, Report report, Words words) {
        html.append("<h2>By node</h2><p>The ")
                .append(Math.min(MOST_ROWS, report.rows().size()))
                .append(" heaviest of ")
                .append(report.rows().size())
                .append(" rows.</p><div class=\"wide\"><table><tr><th>node</th><th>waiter</th>"
                        + "<th>cause</th><th class=\"n\">ms</th><th class=\"n\">%</th></tr>");
        for (Report.Row row : report.rows().stream().limit(MOST_ROWS).toList()) {
            cells(
                    html,
                    Words.node(row.cell().node()),
                    words.waiter(row.cell().volume(), row.cell().requestClass()),
                    words.cause(row.cell().cause()),
                    Words.ms(row.us()),
                    Words.percent(row.us(), report.totalUs()));
        }
        html.append("</table></div>");
    }
}
