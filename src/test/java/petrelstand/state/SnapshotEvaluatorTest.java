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

/** Guards against restoring a snapshot that is not this gateway's, or values out of bounds. */
class SnapshotEvaluatorTest {
    private static final double NOW_MS = 1_764_600_000_000.0;
    private static final double[] UNUSUAL_VALUES = {
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
        NOW_MS,
        NOW_MS + 1
    };
    private final Settings settings =
            SettingsReader.parse(BrokerFixture.SETTINGS.replace("balancers=1", "balancers=4"));
    private final Settings limited = SettingsReader.parse(
            BrokerFixture.SETTINGS.replace("balancers=1", "balancers=4") + "plans.0.limit=60\nplans.0.burst=40\n");
    private final SnapshotEvaluator evaluator = new SnapshotEvaluator("n1", settings);

    private Snapshot snapshot(double ageMs, boolean cleanShutdown, LearnedState learned) {
        return new Snapshot("n1", Snapshot.fingerprint(settings), 5, (long) (NOW_MS - ageMs), cleanShutdown, learned);
    }

    private static LearnedNode node(double served, double window, double latencyMs, double silentMs) {
        return new LearnedNode(1, 0, 100, served, window, latencyMs, 0, silentMs);
    }

    private SnapshotEvaluator.Evaluation evaluate(double ageMs, LearnedNode node) {
        return evaluator.evaluate(
                snapshot(ageMs, false, new LearnedState(0, 100, 200, List.of(node), List.of())), NOW_MS);
    }

    @Test
    void eachValueDecaysWithItsOwnHalfLife() {
        LearnedNode fresh = evaluate(0, node(200, 8, 300, 0)).learned().nodes().get(0);
        assertEquals(SnapshotEvaluator.MAX_NODE_SLOTS, fresh.measuredSlots());
        assertEquals(2, fresh.servedUnits() / fresh.measuredSlots(), 1e-9);
        assertEquals(8, fresh.window());
        assertEquals(300, fresh.latencyMs());
        LearnedNode afterTwentySeconds =
                evaluate(20_000, node(200, 8, 300, 0)).learned().nodes().get(0);
        assertEquals(Policy.INITIAL_WINDOW + (8 - Policy.INITIAL_WINDOW) / 2, afterTwentySeconds.window(), 1e-9);
        assertEquals((300 + 100) / 2.0, afterTwentySeconds.latencyMs(), 1e-9);
        LearnedNode afterAMinute =
                evaluate(60_000, node(200, 8, 300, 0)).learned().nodes().get(0);
        assertEquals(SnapshotEvaluator.MAX_NODE_SLOTS / 2, afterAMinute.measuredSlots(), 1e-9);
        assertEquals(2, afterAMinute.servedUnits() / afterAMinute.measuredSlots(), 1e-9);
    }

    @Test
    void silenceIsDroppedAfterTwoHalfLives() {
        assertEquals(1, evaluate(19_000, node(200, 8, 300, 900)).silentNodes());
        assertEquals(0, evaluate(21_000, node(200, 8, 300, 900)).silentNodes());
    }

    @Test
    void rejectsOldForeignAndFutureSnapshotsWithAReason() {
        LearnedState learned = new LearnedState(0, 1, 1, List.of(node(1, 1, 1, 0)), List.of());
        assertTrue(evaluator
                .evaluate(snapshot(SnapshotEvaluator.MAX_AGE_MS + 1, true, learned), NOW_MS)
                .rejectionReason()
                .contains("older than"));
        assertTrue(evaluator
                .evaluate(snapshot(-1, true, learned), NOW_MS)
                .rejectionReason()
                .contains("future"));
        assertTrue(evaluator
                .evaluate(new Snapshot("n2", Snapshot.fingerprint(settings), 1, (long) NOW_MS, true, learned), NOW_MS)
                .rejectionReason()
                .contains("another gateway, 'n2'"));
        SnapshotEvaluator.Evaluation changedSettings = evaluator.evaluate(
                new Snapshot("n1", Snapshot.fingerprint(limited), 1, (long) NOW_MS, true, learned), NOW_MS);
        assertTrue(changedSettings.rejectionReason().contains("settings have changed"));
        assertEquals(LearnedState.empty(NOW_MS), changedSettings.learned());
        assertNull(evaluator.evaluate(snapshot(0, true, learned), NOW_MS).rejectionReason());
    }

    @Test
    void dropsDuplicateNodesAndNodesStartedAfterTheSnapshot() {
        LearnedNode startedLater = new LearnedNode(2, NOW_MS - 10, 1, 1, 1, 50, 0, 0);
        SnapshotEvaluator.Evaluation evaluation = evaluator.evaluate(
                snapshot(
                        100,
                        true,
                        new LearnedState(
                                0, 0, 0, List.of(node(1, 1, 1, 0), node(2, 2, 2, 0), startedLater), List.of())),
                NOW_MS);
        assertEquals(1, evaluation.learned().nodes().size());
        assertEquals(2, evaluation.droppedEntries());
    }

    /** After a crash the whole limit may have been used since the snapshot; after a clean shutdown nothing was. */
    @Test
    void usedUnitsOfALimitAreNeverUnderestimated() {
        SnapshotEvaluator limitedEvaluator = new SnapshotEvaluator("n1", limited);
        LearnedVolume volume = new LearnedVolume(9, 0, 2, 0.5, 12, 3, 4);
        for (boolean cleanShutdown : new boolean[] {true, false}) {
            LearnedVolume restored = limitedEvaluator
                    .evaluate(
                            new Snapshot(
                                    "n1",
                                    Snapshot.fingerprint(limited),
                                    1,
                                    (long) NOW_MS - 500,
                                    cleanShutdown,
                                    new LearnedState(0, 0, 0, List.of(), List.of(volume))),
                            NOW_MS)
                    .learned()
                    .volumes()
                    .get(0);
            assertEquals(cleanShutdown ? 12 + 60 / 2 * 0.5 : 0, restored.limitLevel(), 1e-9);
        }
        LearnedVolume belowZero = limitedEvaluator
                .evaluate(
                        new Snapshot(
                                "n1",
                                Snapshot.fingerprint(limited),
                                1,
                                (long) NOW_MS - 500,
                                false,
                                new LearnedState(
                                        0, 0, 0, List.of(), List.of(new LearnedVolume(9, 0, 2, 0.5, -3, 3, 4)))),
                        NOW_MS)
                .learned()
                .volumes()
                .get(0);
        assertEquals(-3, belowZero.limitLevel());
    }

    @Test
    void unitsSentToAColdNodeDoNotDecay() {
        Settings coldSettings =
                SettingsReader.parse(BrokerFixture.SETTINGS + "rules.cold_from=0.26\nrules.warm_up_ms=18000\n"
                        + "rules.fall_ms=1500\nrules.overload_factor=2\nextra.cold_bears=20\n");
        LearnedNode sent = new LearnedNode(1, NOW_MS - 3000, 0, 0, 3, 50, 17, 0);
        SnapshotEvaluator.Evaluation evaluation = new SnapshotEvaluator("n1", coldSettings)
                .evaluate(
                        new Snapshot(
                                "n1",
                                Snapshot.fingerprint(coldSettings),
                                1,
                                (long) NOW_MS - 1400,
                                false,
                                new LearnedState(0, 0, 0, List.of(sent), List.of())),
                        NOW_MS);
        assertEquals(17, evaluation.learned().nodes().get(0).coldSentUnits());
    }

    @Property(tries = 2000)
    void restoredStateIsBoundedForAnyFileAndAge(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 40) int entries,
            @ForAll @DoubleRange(min = -1e6, max = 2e6) double ageMs,
            @ForAll boolean cleanShutdown) {
        Random random = new Random(seed);
        List<LearnedNode> nodes = new ArrayList<>();
        List<LearnedVolume> volumes = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            nodes.add(new LearnedNode(
                    random.nextInt(50),
                    unusualValue(random),
                    unusualValue(random),
                    unusualValue(random),
                    unusualValue(random),
                    unusualValue(random),
                    unusualValue(random),
                    unusualValue(random)));
            volumes.add(new LearnedVolume(
                    random.nextInt(50),
                    random.nextInt(5) - 2,
                    random.nextInt(9) - 2,
                    unusualValue(random),
                    unusualValue(random),
                    unusualValue(random),
                    unusualValue(random)));
        }
        SnapshotEvaluator.Evaluation evaluation = evaluator.evaluate(
                snapshot(
                        ageMs,
                        cleanShutdown,
                        new LearnedState(
                                unusualValue(random), unusualValue(random), unusualValue(random), nodes, volumes)),
                NOW_MS);
        LearnedState learned = evaluation.learned();
        assertTrue(learned.measuredSlots() >= 0 && learned.measuredSlots() <= SnapshotEvaluator.MAX_POOL_SLOTS);
        double maxRate = SnapshotEvaluator.MAX_REQUESTS_PER_SLOT * settings.mostUnits();
        assertTrue(learned.servedUnits() >= 0 && learned.servedUnits() <= SnapshotEvaluator.MAX_POOL_SLOTS * maxRate);
        for (LearnedNode node : learned.nodes()) {
            assertTrue(
                    node.measuredSlots() >= 0 && node.measuredSlots() <= SnapshotEvaluator.MAX_NODE_SLOTS,
                    node.toString());
            assertTrue(
                    node.servedUnits() >= 0 && node.servedUnits() <= node.measuredSlots() * maxRate * (1 + 1e-9),
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
                entries * 2,
                learned.nodes().size()
                        + learned.volumes().size()
                        + (evaluation.rejectionReason() == null ? evaluation.droppedEntries() : entries * 2));
    }

    private static double unusualValue(Random random) {
        return random.nextInt(3) == 0
                ? UNUSUAL_VALUES[random.nextInt(UNUSUAL_VALUES.length)]
                : random.nextDouble() * 400;
    }
}
