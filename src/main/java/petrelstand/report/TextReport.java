package petrelstand.report;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Locale;
import petrelstand.accounts.Book;
import petrelstand.accounts.Cause;
import petrelstand.store.AccountsRecord.GroupPhases;
import petrelstand.store.AccountsRecord.MinuteRecord;
import petrelstand.store.AccountsRecord.NameTable;

/** The report as text for a terminal, and as JSON for a program. */
public final class TextReport {
    private static final int MOST_ROWS = 30;
    private static final int MOST_WORST = 10;

    private TextReport() {}

    /** As text, the heaviest rows first. */
    public static String text(Report report, NameTable names, List<MinuteRecord> minutes) {
        Words words = new Words(names);
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                "gateway %s, %d seconds, %s ms held and waited; %s ms of it without a name%n",
                names.gateway(), report.seconds().size(), Words.ms(report.totalUs()), Words.ms(report.unnamedUs())));
        for (Cause.Kind kind : Cause.Kind.values()) {
            text.append(String.format(
                    "  %-8s %16s ms %6s %%%n",
                    kind.name().toLowerCase(Locale.ROOT),
                    Words.ms(report.us(kind)),
                    Words.percent(report.us(kind), report.totalUs())));
        }
        text.append(String.format(
                "%nwho waited for whom (%d of %d rows)%n%-11s %-34s %-34s %14s %7s%n",
                Math.min(MOST_ROWS, report.rows().size()), report.rows().size(), "node", "waiter", "cause", "ms", "%"));
        for (Report.Row row : report.rows().stream().limit(MOST_ROWS).toList()) {
            text.append(String.format(
                    "%-11s %-34s %-34s %14s %7s%n",
                    Words.node(row.cell().node()),
                    words.waiter(row.cell().volume(), row.cell().requestClass()),
                    words.cause(row.cell().cause()),
                    Words.ms(row.us()),
                    Words.percent(row.us(), report.totalUs())));
        }
        text.append(String.format(
                "%nworst seconds%n%-21s %9s %14s %-34s %7s%n", "second", "requests", "ms", "main cause", "%"));
        for (Report.At at : report.worst(MOST_WORST)) {
            text.append(String.format(
                    "%-21s %9d %14s %-34s %7s%n",
                    Words.time(at.second()),
                    at.requests(),
                    Words.ms(at.waitUs()),
                    words.cause(at.main()),
                    Words.percent(at.mainUs(), at.waitUs())));
        }
        if (!minutes.isEmpty()) {
            text.append(String.format(
                    "%nphases by minute, ms%n%-21s %-26s %-11s %9s %9s %9s %9s%n",
                    "minute", "group", "phase", "count", "p50", "p90", "p99"));
            for (MinuteRecord minute : minutes) {
                for (GroupPhases group : minute.groups()) {
                    for (Book.Phase phase : Book.Phase.values()) {
                        Book.Percentiles p = group.phases().get(phase.ordinal());
                        text.append(String.format(
                                "%-21s %-26s %-11s %9d %9s %9s %9s%n",
                                Words.time(minute.fromSecond()),
                                words.group(group.group()),
                                phase.name().toLowerCase(Locale.ROOT),
                                p.count(),
                                Words.ms(p.p50()),
                                Words.ms(p.p90()),
                                Words.ms(p.p99())));
                    }
                }
            }
        }
        return text.toString();
    }

    /** As JSON, all rows. */
    public static JsonObject json(Report report, NameTable names, List<MinuteRecord> minutes) {
        Words words = new Words(names);
        JsonObject json = new JsonObject();
        json.addProperty("gateway", names.gateway());
        json.addProperty("seconds", report.seconds().size());
        json.addProperty("wait_ms", report.totalUs() / 1000.0);
        json.addProperty("without_a_name_ms", report.unnamedUs() / 1000.0);
        JsonArray rows = new JsonArray();
        for (Report.Row row : report.rows()) {
            JsonObject one = new JsonObject();
            one.addProperty("node", Words.node(row.cell().node()));
            one.addProperty("volume", Words.volume(row.cell().volume()));
            one.addProperty("class", words.requestClass(row.cell().requestClass()));
            cause(one, row.cell().cause(), words);
            one.addProperty("ms", row.us() / 1000.0);
            one.addProperty("share", report.totalUs() == 0 ? 0 : (double) row.us() / report.totalUs());
            rows.add(one);
        }
        json.add("who_waited_for_whom", rows);
        JsonArray worst = new JsonArray();
        for (Report.At at : report.worst(MOST_WORST)) {
            JsonObject one = new JsonObject();
            one.addProperty("second", at.second());
            one.addProperty("requests", at.requests());
            one.addProperty("wait_ms", at.waitUs() / 1000.0);
            if (at.main() != null) {
                cause(one, at.main(), words);
                one.addProperty("cause_ms", at.mainUs() / 1000.0);
            }
            worst.add(one);
        }
        json.add("worst_seconds", worst);
        JsonArray phases = new JsonArray();
        for (MinuteRecord minute : minutes) {
            for (GroupPhases group : minute.groups()) {
                for (Book.Phase phase : Book.Phase.values()) {
                    Book.Percentiles p = group.phases().get(phase.ordinal());
                    JsonObject one = new JsonObject();
                    one.addProperty("minute", minute.fromSecond());
                    one.addProperty("group", words.group(group.group()));
                    one.addProperty("phase", phase.name().toLowerCase(Locale.ROOT));
                    one.addProperty("count", p.count());
                    one.addProperty("p50_ms", p.p50() / 1000.0);
                    one.addProperty("p90_ms", p.p90() / 1000.0);
                    one.addProperty("p99_ms", p.p99() / 1000.0);
                    one.addProperty("max_ms", p.max() / 1000.0);
                    phases.add(one);
                }
            }
        }
        json.add("phases", phases);
        return json;
    }

    private static void cause(JsonObject to, Cause cause, Words words) {
        to.addProperty("cause", cause.kind().name().toLowerCase(Locale.ROOT));
        if (cause.kind() == Cause.Kind.WORK) {
            to.addProperty("cause_volume", Words.volume(cause.volume()));
            to.addProperty("cause_class", words.requestClass(cause.requestClass()));
        }
    }
}
