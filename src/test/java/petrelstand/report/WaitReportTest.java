package petrelstand.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.accounts.Cause;
import petrelstand.accounts.LatencyHistory;
import petrelstand.accounts.TopWaits;
import petrelstand.report.WaitReport.Query;
import petrelstand.store.AccountsRecord.NameTable;

/** Guards against wrong sums and filters, unescaped names and external resources in the HTML page. */
class WaitReportTest {
    private static final NameTable NAMES = new NameTable("n<1>", List.of("tile-read", "bulk-export"), List.of("basic"));
    private static final Query ALL = new Query(0, Long.MAX_VALUE, null, null, -1);
    private static final Cause TEAM = Cause.work(0xb0, 1);
    private final List<LatencyHistory.SecondStats> recorded = List.of(
            new LatencyHistory.SecondStats(
                    100, 5, 1_000, List.of(entry(1, 0xa1, TEAM, 700, 0), entry(2, 0xa2, Cause.NODE, 300, 0))),
            new LatencyHistory.SecondStats(101, 6, 5_000, List.of(entry(1, 0xa1, TEAM, 4_000, 500))),
            new LatencyHistory.SecondStats(101, 1, 200, List.of(entry(1, 0xa2, Cause.UNSEEN, 200, 0))));

    private static TopWaits.Entry entry(long node, long volume, Cause cause, long us, long overUs) {
        return new TopWaits.Entry(new TopWaits.WaitKey(node, volume, 0, cause), us, overUs);
    }

    @Test
    void sumsMatchWaitAndUnattributedTimeIsReported() {
        WaitReport report = WaitReport.summarize(recorded, ALL);
        assertEquals(6_200, report.totalWaitUs());
        // 500 may belong to evicted keys, and another 1,000 of second 101 have no entry.
        assertEquals(1_500, report.unattributedUs());
        assertEquals(4_200, report.waitUs(Cause.Kind.WORK));
        assertEquals(
                report.totalWaitUs() - report.unattributedUs(),
                report.rows().stream().mapToLong(WaitReport.Row::waitUs).sum());
        assertEquals(TEAM, report.rows().get(0).key().cause());
        WaitReport.SecondSummary worst = report.worstSeconds(1).get(0);
        assertEquals(101, worst.second());
        assertEquals(7, worst.requests());
        assertEquals(5_200, worst.waitUs());
        assertEquals(TEAM, worst.mainCause());
        assertEquals(3_500, worst.mainCauseUs());
        assertEquals(4_200, report.waitUs(new WaitReport.Waiter(0xa1, 0), TEAM));
    }

    @Test
    void queryFiltersByTimeNodeVolumeAndClass() {
        assertEquals(
                1_000,
                WaitReport.summarize(recorded, new Query(0, 100, null, null, -1))
                        .totalWaitUs());
        assertEquals(
                300,
                WaitReport.summarize(recorded, new Query(0, 200, 2L, null, -1)).totalWaitUs());
        assertEquals(
                500,
                WaitReport.summarize(recorded, new Query(0, 200, null, 0xa2L, -1))
                        .totalWaitUs());
        assertEquals(
                0,
                WaitReport.summarize(recorded, new Query(0, 200, null, null, 1)).totalWaitUs());
        assertEquals(0, WaitReport.summarize(List.of(), ALL).totalWaitUs());
    }

    @Test
    void textJsonAndHtmlNameTheCause() {
        WaitReport report = WaitReport.summarize(recorded, ALL);
        String text = TextReport.text(report, NAMES, List.of());
        assertTrue(text.contains("s-00000001  00000000000000a1 tile-read         00000000000000b0 bulk-export"), text);
        assertEquals(
                "work",
                TextReport.json(report, NAMES, List.of())
                        .getAsJsonArray("who_waited_for_whom")
                        .get(0)
                        .getAsJsonObject()
                        .get("cause")
                        .getAsString());
        String page = HtmlReport.render(report, NAMES, List.of());
        assertTrue(page.contains("n&lt;1&gt;") && !page.contains("n<1>"));
        assertTrue(page.contains("00000000000000b0 bulk-export") && page.contains("<svg"));
        // The page loads no external resource and runs no script.
        assertFalse(page.matches("(?s).*(https?:|<script|src=|@import|url\\().*"), page);
        assertTrue(HtmlReport.render(WaitReport.summarize(List.of(), ALL), NAMES, List.of())
                .endsWith("</html>\n"));
    }
}
