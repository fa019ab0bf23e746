package petrelstand.accounts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.accounts.LatencyAttributor.RequestLatency;
import petrelstand.accounts.LatencyAttributor.WaitShare;
import petrelstand.accounts.LatencyHistory.Phase;
import petrelstand.accounts.LatencyHistory.RequestGroup;

/** Guards against wrong statistics of minutes and seconds, and against their growth with the number of nodes. */
class LatencyHistoryTest {
    private final LatencyHistory history = new LatencyHistory();

    private void end(long atMs, long volume, int plan, long node, long waitedMs, Cause cause) {
        history.requestFinished(new RequestLatency(
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
                List.of(new WaitShare(node, cause, waitedMs * 1000))));
    }

    @Test
    void minutesRollOverAndSecondsListTheirCauses() {
        end(59_000, 1, 0, 7, 100, Cause.NODE);
        end(59_500, 1, 0, 7, 300, Cause.work(9, 2));
        assertNull(history.lastMinute());
        end(60_001, 1, 1, 7, 50, Cause.UNSEEN);
        assertEquals(400_000, history.lastMinute().topWaits().totalWaitUs());
        assertEquals(2, history.lastMinute().requests());
        assertEquals(60_000_000, history.currentMinute().fromUs());
        assertEquals(
                300_000,
                history.lastMinute()
                        .percentiles(RequestGroup.forClass(0, 0), Phase.WAITED)
                        .maxUs(),
                3_000);
        assertEquals(
                110_000,
                history.lastMinute()
                        .percentiles(RequestGroup.forNode(7), Phase.TOTAL)
                        .p50Us(),
                1_100);
        List<LatencyHistory.SecondStats> seconds = history.seconds(60_500_000);
        assertEquals(
                List.of(59L, 60L),
                seconds.stream().map(LatencyHistory.SecondStats::second).toList());
        assertEquals(Cause.work(9, 2), seconds.get(0).topWaits().get(0).key().cause());
        assertEquals(400_000, seconds.get(0).waitUs());
        assertEquals(List.of(), history.seconds(600_000_000));
    }

    @Test
    void nodesBeyondTheLimitShareOneGroup() {
        for (int i = 0; i < 10_000; i++) {
            end(1_000 + i, i, 0, i, 1, Cause.NODE);
        }
        assertTrue(history.currentMinute().groups().size() <= LatencyHistory.MAX_GROUPS + 1);
        assertEquals(
                10_000,
                history.currentMinute()
                        .percentiles(RequestGroup.forClass(0, 0), Phase.TOTAL)
                        .count());
        assertTrue(history.currentMinute()
                        .percentiles(RequestGroup.OTHERS, Phase.TOTAL)
                        .count()
                > 9_000);
        assertEquals(
                LatencyHistory.MAX_MINUTE_ENTRIES,
                history.currentMinute().topWaits().size());
        assertEquals(10_000_000, history.currentMinute().topWaits().totalWaitUs());
    }
}
