package petrelstand.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.accounts.Book;
import petrelstand.accounts.Cause;
import petrelstand.accounts.Ledger;
import petrelstand.report.Report.Query;
import petrelstand.store.AccountsRecord.NameTable;

/** Sums, filters and the page. */
class ReportTest {
    private static final NameTable NAMES = new NameTable("n<1>", List.of("tile-read", "bulk-export"), List.of("basic"));
    private static final Query ALL = new Query(0, Long.MAX_VALUE, null, null, -1);
    private static final Cause TEAM = Cause.work(0xb0, 1);
    private final List<Book.Second> recorded = List.of(
            new Book.Second(100, 5, 1_000, List.of(entry(1, 0xa1, TEAM, 700, 0), entry(2, 0xa2, Cause.NODE, 300, 0))),
            new Book.Second(101, 6, 5_000, List.of(entry(1, 0xa1, TEAM, 4_000, 500))),
            new Book.Second(101, 1, 200, List.of(entry(1, 0xa2, Cause.UNSEEN, 200, 0))));

    private static Ledger.Entry entry(long node, long volume, Cause cause, long us, long overUs) {
        return new Ledger.Entry(new Ledger.Cell(node, volume, 0, cause), us, overUs);
    }

    @Test
    void sumsAreWhatWasWaitedAndWhatHasNoNameIsSaid() {
        Report report = Report.of(recorded, ALL);
        assertEquals(6_200, report.totalUs());
        // 500 may belong to what was pushed out, and another 1,000 of second 101 have no cell at all.
        assertEquals(1_500, report.unnamedUs());
        assertEquals(4_200, report.us(Cause.Kind.WORK));
        assertEquals(
                report.totalUs() - report.unnamedUs(),
                report.rows().stream().mapToLong(Report.Row::us).sum());
        assertEquals(TEAM, report.rows().get(0).cell().cause());
        Report.At worst = report.worst(1).get(0);
        assertEquals(101, worst.second());
        assertEquals(7, worst.requests());
        assertEquals(5_200, worst.waitUs());
        assertEquals(TEAM, worst.main());
        assertEquals(3_500, worst.mainUs());
        assertEquals(4_200, report.us(new Report.Waiter(0xa1, 0), TEAM));
    }

    @Test
    void filtersNarrow() {
        assertEquals(
                1_000, Report.of(recorded, new Query(0, 100, null, null, -1)).totalUs());
        assertEquals(300, Report.of(recorded, new Query(0, 200, 2L, null, -1)).totalUs());
        assertEquals(
                500, Report.of(recorded, new Query(0, 200, null, 0xa2L, -1)).totalUs());
        assertEquals(0, Report.of(recorded, new Query(0, 200, null, null, 1)).totalUs());
        assertEquals(0, Report.of(List.of(), ALL).totalUs());
    }

    @Test
    void textJsonAndPageNameTheCause() {
        Report report = Report.of(recorded, ALL);
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
        String page = HtmlReport.page(report, NAMES, List.of());
        assertTrue(page.contains("n&lt;1&gt;") && !page.contains("n<1>"));
        assertTrue(page.contains("00000000000000b0 bulk-export") && page.contains("<svg"));
        // One file: nothing is fetched and nothing runs.
        assertFalse(page.matches("(?s).*(https?:|<script|src=|@import|url\\().*"), page);
        assertTrue(HtmlReport.page(Report.of(List.of(), ALL), NAMES, List.of()).endsWith("</html>\n"));
    }
}
