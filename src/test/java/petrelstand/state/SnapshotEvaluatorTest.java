package petrelstand.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import petrelstand.config.SettingsReader;
import petrelstand.decision.Policy;
import petrelstand.decision.Scheduling.LearnedNode;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.LearnedVolume;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.testing.BrokerFixture;

/** What old knowledge is worth: never more than stated, whatever the file says. */
class SnapshotEvaluatorTest {
    private static final double NOW = 1_764_600_000_000.0;
    private static final double[] ODD = {
        0,
        -1,
        1,
        Double.NaN,
        Double.POSITIVE_INFINITY,
        Double.NEGATIVE_INFINITY,
        1e300,
        -1e300,
        Double.MIN_VALUE,
        Double.MAX_VALUE,
        0.5,
        7,
        250,
        1e9,
        NOW,
        NOW + 1
    };
    private final Settings settings = SettingsReader.parse(BrokerFixture.SETTINGS.replace("balancers=1", "balancers=4"));
    private final Settings limited = SettingsReader.parse(
            BrokerFixture.SETTINGS.replace("balancers=1", "balancers=4") + "plans.0.limit=60\nplans.0.burst=40\n");
    private final SnapshotEvaluator trust = new SnapshotEvaluator("n1", settings);

    private Snapshot snapshot(double ageMs, boolean clean, LearnedState learned) {
        return new Snapshot("n1", Snapshot.fingerprint(settings), 5, (long) (NOW - ageMs), clean, learned);
    }

    private static LearnedNode node(double served, double window, double latencyMs, double silentMs) {
        return new LearnedNode(1, 0, 100, served, window, latencyMs, 0, silentMs);
    }

    private SnapshotEvaluator.Evaluation weigh(double ageMs, LearnedNode node) {
        return trust.evaluate(snapshot(ageMs, false, new LearnedState(0, 100, 200, List.of(node), List.of())), NOW);
    }

    @Test
    void eachFigureFadesWithItsOwnHalfLifeTowardWhatAGatewayStartsWith() {
        LearnedNode fresh = weigh(0, node(200, 8, 300, 0)).learned().nodes().get(0);
        assertEquals(SnapshotEvaluator.MAX_NODE_SLOTS, fresh.measuredSlots());
        assertEquals(2, fresh.servedUnits() / fresh.measuredSlots(), 1e-9);
        assertEquals(8, fresh.window());
        assertEquals(300, fresh.latencyMs());
        LearnedNode old = weigh(20_000, node(200, 8, 300, 0)).learned().nodes().get(0);
        assertEquals(Policy.INITIAL_WINDOW + (8 - Policy.INITIAL_WINDOW) / 2, old.window(), 1e-9);
        assertEquals((300 + 100) / 2.0, old.latencyMs(), 1e-9);
        LearnedNode older =
                weigh(60_000, node(200, 8, 300, 0)).learned().nodes().get(0);
        assertEquals(SnapshotEvaluator.MAX_NODE_SLOTS / 2, older.measuredSlots(), 1e-9);
        assertEquals(2, older.servedUnits() / older.measuredSlots(), 1e-9);
    }

    @Test
    void silenceIsBelievedForTwoHalfLivesAndThenDropped() {
        assertEquals(1, weigh(19_000, node(200, 8, 300, 900)).silentNodes());
        assertEquals(0, weigh(21_000, node(200, 8, 300, 900)).silentNodes());
    }

    @Test
    void whatIsTooOldOrOfAnotherOrFromTheFutureCountsForNothingAndSaysWhy() {
        LearnedState learned = new LearnedState(0, 1, 1, List.of(node(1, 1, 1, 0)), List.of());
        assertTrue(trust.evaluate(snapshot(SnapshotEvaluator.MAX_AGE_MS + 1, true, learned), NOW)
                .rejectionReason()
                .contains("older than"));
        assertTrue(trust.evaluate(snapshot(-1, true, learned), NOW).rejectionReason().contains("future"));
        assertTrue(trust.evaluate(new Snapshot("n2", Snapshot.fingerprint(settings), 1, (long) NOW, true, learned), NOW)
                .rejectionReason()
                .contains("another gateway, 'n2'"));
        SnapshotEvaluator.Evaluation changed =
                trust.evaluate(new Snapshot("n1", Snapshot.fingerprint(limited), 1, (long) NOW, true, learned), NOW);
        assertTrue(changed.rejectionReason().contains("settings have changed"));
        assertEquals(LearnedState.empty(NOW), changed.learned());
        assertNull(trust.evaluate(snapshot(0, true, learned), NOW).rejectionReason());
    }

    @Test
    void aNodeThatStartedAfterTheFileAndOneThatIsThereTwiceAreDropped() {
        LearnedNode late = new LearnedNode(2, NOW - 10, 1, 1, 1, 50, 0, 0);
        SnapshotEvaluator.Evaluation verdict = trust.evaluate(
                snapshot(
                        100,
                        true,
                        new LearnedState(0, 0, 0, List.of(node(1, 1, 1, 0), node(2, 2, 2, 0), late), List.of())),
                NOW);
        assertEquals(1, verdict.learned().nodes().size());
        assertEquals(2, verdict.droppedEntries());
    }

    /** After a crash nobody knows what was spent meanwhile; after an orderly end nothing was. */
    @Test
    void aLimitsSpentUnitsNeverLookSmallerThanTheyMayBe() {
        SnapshotEvaluator of = new SnapshotEvaluator("n1", limited);
        LearnedVolume volume = new LearnedVolume(9, 0, 2, 0.5, 12, 3, 4);
        for (boolean clean : new boolean[] {true, false}) {
            LearnedVolume kept = of.evaluate(
                            new Snapshot(
                                    "n1",
                                    Snapshot.fingerprint(limited),
                                    1,
                                    (long) NOW - 500,
                                    clean,
                                    new LearnedState(0, 0, 0, List.of(), List.of(volume))),
                            NOW)
                    .learned()
                    .volumes()
                    .get(0);
            assertEquals(clean ? 12 + 60 / 2 * 0.5 : 0, kept.limitLevel(), 1e-9);
        }
        LearnedVolume below = of.evaluate(
                        new Snapshot(
                                "n1",
                                Snapshot.fingerprint(limited),
                                1,
                                (long) NOW - 500,
                                false,
                                new LearnedState(
                                        0, 0, 0, List.of(), List.of(new LearnedVolume(9, 0, 2, 0.5, -3, 3, 4)))),
                        NOW)
                .learned()
                .volumes()
                .get(0);
        assertEquals(-3, below.limitLevel());
    }

    @Test
    void whatAColdNodeWasSentIsKeptWholeWhateverItsAge() {
        Settings cold = SettingsReader.parse(BrokerFixture.SETTINGS + "rules.cold_from=0.26\nrules.warm_up_ms=18000\n"
                + "rules.fall_ms=1500\nrules.overload_factor=2\nextra.cold_bears=20\n");
        LearnedNode sent = new LearnedNode(1, NOW - 3000, 0, 0, 3, 50, 17, 0);
        SnapshotEvaluator.Evaluation verdict = new SnapshotEvaluator("n1", cold)
                .evaluate(
                        new Snapshot(
                                "n1",
                                Snapshot.fingerprint(cold),
                                1,
                                (long) NOW - 1400,
                                false,
                                new LearnedState(0, 0, 0, List.of(sent), List.of())),
                        NOW);
        assertEquals(17, verdict.learned().nodes().get(0).coldSentUnits());
    }

    /** Any file, any age: what comes out is finite, bounded, and rests on little. */
    @Property(tries = 2000)
    void whateverTheFileSaysIsBounded(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 40) int lines,
            @ForAll @DoubleRange(min = -1e6, max = 2e6) double ageMs,
            @ForAll boolean clean) {
        Random random = new Random(seed);
        List<LearnedNode> nodes = new ArrayList<>();
        List<LearnedVolume> volumes = new ArrayList<>();
        for (int i = 0; i < lines; i++) {
            nodes.add(new LearnedNode(
                    random.nextInt(50),
                    odd(random),
                    odd(random),
                    odd(random),
                    odd(random),
                    odd(random),
                    odd(random),
                    odd(random)));
            volumes.add(new LearnedVolume(
                    random.nextInt(50),
                    random.nextInt(5) - 2,
                    random.nextInt(9) - 2,
                    odd(random),
                    odd(random),
                    odd(random),
                    odd(random)));
        }
        SnapshotEvaluator.Evaluation verdict = trust.evaluate(
                snapshot(ageMs, clean, new LearnedState(odd(random), odd(random), odd(random), nodes, volumes)), NOW);
        LearnedState learned = verdict.learned();
        assertTrue(learned.measuredSlots() >= 0 && learned.measuredSlots() <= SnapshotEvaluator.MAX_POOL_SLOTS);
        double mostRate = SnapshotEvaluator.MAX_REQUESTS_PER_SLOT * settings.mostUnits();
        assertTrue(learned.servedUnits() >= 0 && learned.servedUnits() <= SnapshotEvaluator.MAX_POOL_SLOTS * mostRate);
        for (LearnedNode node : learned.nodes()) {
            assertTrue(node.measuredSlots() >= 0 && node.measuredSlots() <= SnapshotEvaluator.MAX_NODE_SLOTS, node.toString());
            assertTrue(
                    node.servedUnits() >= 0 && node.servedUnits() <= node.measuredSlots() * mostRate * (1 + 1e-9),
                    node.toString());
            assertTrue(node.window() >= 0.9999 && node.window() <= Policy.MAX_WINDOW, node.toString());
            assertTrue(node.latencyMs() > 0 && node.latencyMs() <= 1500, node.toString());
            assertTrue(node.silentMs() >= 0 && node.silentMs() <= SnapshotEvaluator.MAX_AGE_MS, node.toString());
            assertTrue(Double.isFinite(node.coldSentUnits()) && node.coldSentUnits() >= 0, node.toString());
        }
        for (LearnedVolume volume : learned.volumes()) {
            assertTrue(
                    volume.hostCount() >= 1
                            && volume.hostCount() <= settings.hosts()
                            && volume.localFraction() * volume.hostCount() > 0.999
                            && volume.localFraction() <= 1,
                    volume.toString());
            assertTrue(
                    Double.isFinite(volume.limitLevel())
                            && Double.isFinite(volume.reserveLevel())
                            && Double.isFinite(volume.shareLevel()),
                    volume.toString());
        }
        assertEquals(
                lines * 2,
                learned.nodes().size()
                        + learned.volumes().size()
                        + (verdict.rejectionReason() == null ? verdict.droppedEntries() : lines * 2));
    }

    private static double odd(Random random) {
        return random.nextInt(3) == 0 ? ODD[random.nextInt(ODD.length)] : random.nextDouble() * 400;
    }
}
