package petrelstand.accounts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.accounts.Accounts.Account;
import petrelstand.accounts.Accounts.Share;
import petrelstand.accounts.Book.Group;
import petrelstand.accounts.Book.Phase;

/** The last minutes and seconds, and that they stay as large as they are. */
class BookTest {
    private final Book book = new Book();

    private void end(long atMs, long volume, int plan, long node, long waitedMs, Cause cause) {
        book.over(new Account(
                1,
                volume,
                plan,
                0,
                true,
                1,
                0,
                0,
                waitedMs * 1000,
                10_000,
                0,
                atMs * 1000,
                List.of(new Share(node, cause, waitedMs * 1000))));
    }

    @Test
    void minutesFollowEachOtherAndSecondsNameTheirCauses() {
        end(59_000, 1, 0, 7, 100, Cause.NODE);
        end(59_500, 1, 0, 7, 300, Cause.work(9, 2));
        assertNull(book.last());
        end(60_001, 1, 1, 7, 50, Cause.UNSEEN);
        assertEquals(400_000, book.last().ledger().totalUs());
        assertEquals(2, book.last().requests());
        assertEquals(60_000_000, book.running().fromUs());
        assertEquals(
                300_000, book.last().percentiles(Group.of(0, 0), Phase.WAITED).max(), 3_000);
        assertEquals(110_000, book.last().percentiles(Group.at(7), Phase.TOTAL).p50(), 1_100);
        List<Book.Second> seconds = book.seconds(60_500_000);
        assertEquals(
                List.of(59L, 60L), seconds.stream().map(Book.Second::second).toList());
        assertEquals(Cause.work(9, 2), seconds.get(0).causes().get(0).cell().cause());
        assertEquals(400_000, seconds.get(0).waitUs());
        assertEquals(List.of(), book.seconds(600_000_000));
    }

    @Test
    void aFloodOfNodesSharesOneGroup() {
        for (int i = 0; i < 10_000; i++) {
            end(1_000 + i, i, 0, i, 1, Cause.NODE);
        }
        assertTrue(book.running().groups().size() <= Book.MOST_GROUPS + 1);
        assertEquals(
                10_000, book.running().percentiles(Group.of(0, 0), Phase.TOTAL).count());
        assertTrue(book.running().percentiles(Group.OTHERS, Phase.TOTAL).count() > 9_000);
        assertEquals(Book.MOST_CELLS, book.running().ledger().size());
        assertEquals(10_000_000, book.running().ledger().totalUs());
    }
}
