package petrelstand.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import petrelstand.decision.Host.Ask;
import petrelstand.decision.Host.Site;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.Outcome;

/** The rule on limits where requests reach their nodes later than they are sent, and where the share changes. */
class LimitTest {
    private static final double START_MS = 10_000;
    private static final double LIMIT = 16;
    /** The burst that {@link Site} gives its plan. */
    private static final double BURST = 32;

    private static final int NODES = 16;
    private static final double UNITS = 4;

    private final Host host = host();
    private int asked;

    private static Host host() {
        Site site = new Site();
        site.limit = LIMIT;
        Host host = new Host(START_MS, site.settings());
        NodeEntry[] nodes = new NodeEntry[NODES];
        for (int shard = 0; shard < NODES; shard++) {
            nodes[shard] = Host.node(shard + 1, shard);
        }
        host.list(nodes);
        return host;
    }

    /** Asks at one node after another until nothing more is sent; tells the units sent. */
    private double sendAll(boolean streamed) {
        double units = 0;
        for (int i = 0; i < NODES; i++) {
            long id = host.request(new Ask().units(UNITS).shard(asked++ % NODES));
            if (host.sentFor(id) == 0) {
                return units;
            }
            units += UNITS;
            if (streamed) {
                host.policy.streamStarted(host.now, id, 0);
            }
            host.policy.requestWritten(host.now, id);
            if (!streamed) {
                host.end(host.last(), Outcome.SERVED);
            }
        }
        return units;
    }

    @Test
    void whatHasArrivedLeavesTheWholeBurst() {
        host.runTo(START_MS + 4_000);
        assertEquals(BURST, sendAll(false));
    }

    /** Bodies in pieces may all end in one moment, with all that the limit allows meanwhile right behind. */
    @Test
    void bodiesThatAreUnderWayKeepTheirRoomInTheLimit() {
        host.runTo(START_MS + 4_000);
        double underWay = sendAll(true);
        assertEquals(BURST / 2, underWay, "at most half is on its way");
        host.runTo(START_MS + 4_900);
        assertTrue(
                underWay + host.policy.learnedState(host.now).volumes().get(0).limitLevel() <= BURST + 1e-9);
        host.sent.forEach(sent -> host.end(sent, Outcome.SERVED));
        assertEquals(BURST - underWay, sendAll(false));
    }

    @Test
    void aConnectionThatFailedKeepsTheRoomUntilTheNextAttemptIsWritten() {
        host.runTo(START_MS + 4_000);
        long first = host.request(new Ask().units(UNITS));
        host.end(host.last(), Outcome.NOT_CONNECTED);
        host.runTo(START_MS + 4_300);
        assertEquals(2, host.sentFor(first));
        assertEquals(
                BURST - UNITS,
                host.policy.learnedState(host.now).volumes().get(0).limitLevel(),
                1e-9);
        host.policy.requestWritten(host.now, first);
        host.runTo(START_MS + 4_400);
        assertEquals(
                BURST - UNITS + LIMIT / 10,
                host.policy.learnedState(host.now).volumes().get(0).limitLevel(),
                1e-9);
    }

    /** A volume of several gateways that a new one first hears of fills by this one's part, not by the whole. */
    @Test
    void aNewGatewayFillsByItsOwnPart() {
        host.runTo(START_MS + 500);
        long tooEarly = host.request(new Ask().units(UNITS).setSize(4));
        assertEquals("refuse", host.answer(tooEarly));
        host.runTo(START_MS + 1_000);
        assertEquals(1, host.sentFor(host.request(new Ask().units(UNITS).setSize(4))));
    }

    @Test
    void halfAShareIsHalfOfRateAndBurst() {
        host.policy.setBudgetShare(host.now, 0.5);
        host.runTo(START_MS + 8_000);
        assertEquals(BURST / 2, sendAll(false));
        host.runTo(START_MS + 8_500);
        assertEquals(LIMIT / 4, sendAll(false));
    }

    /** What another process spent while it had its share is not known: a volume met after that begins empty. */
    @Test
    void aVolumeMetAfterAChangeOfShareBeginsEmpty() {
        host.policy.setBudgetShare(host.now, 0);
        long refused = host.request(new Ask().units(UNITS).volume(2));
        assertEquals("refuse", host.answer(refused));
        host.runTo(START_MS + 4_000);
        host.policy.setBudgetShare(host.now, 1);
        host.runTo(START_MS + 4_250);
        assertEquals(UNITS, sendAll(false));
    }
}
