package petrelstand.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import petrelstand.config.IniFile;

/** Many gateways of the real core and module, where what each does is harmless alone. */
class FleetTest {
    private static final String TWO_WAVES = """
            [fault first]
            kind = replaced
            first = 0
            nodes = 18
            from = 2 s
            until = 3.5 s
            [fault second]
            kind = replaced
            first = 18
            nodes = 18
            from = 5 s
            until = 7 s
            """;

    private static FleetTrial play(String troubles) {
        return play(14, 3, troubles);
    }

    private static FleetTrial play(int gateways, int seeds, String troubles) {
        return new FleetTrial(
                Scenario.of(new IniFile(Path.of("fleet.ini"), """
                [world]
                nodes = 60
                gateways = %d
                volumes = 360
                unit_ms = 60
                load = 0.5
                surges = 0.3
                aim_times = 2.2
                work_spread = 0.7
                cold_bears = 6
                length = 15 s
                list_delay = 800 ms
                """.formatted(gateways) + troubles)), 1, seeds);
    }

    /**
     * Guards against even parts of what a cold node bears that are less than a request each: gateways that took turns
     * earned 0.48 in the third span, with 36 nodes almost idle.
     */
    @Test
    void replacedNodesAreUsedWhileTheyWarmAndNoneFalls() {
        FleetTrial trial = play(TWO_WAVES);
        assertEquals(0, trial.fallen());
        assertTrue(trial.nearestToFall(100) < 1, "nearest to fall: " + trial.nearestToFall(100));
        assertTrue(trial.share(2) > 0.7, "worth from 10 to 15 s: " + trial.share(2));
    }

    /**
     * What all gateways together send to a cold node in the rule's time stays under the budget N itself, whose excess
     * of 2 x root of N + 2 is left to chance: with few and with many gateways, the change told to one after another,
     * and a third of them restarted in between with a list held over from before.
     */
    @Test
    void theSumOfAllGatewaysStaysWithinAColdNodesBudgetHoweverManyTheyAre() {
        for (int gateways : new int[] {5, 20, 30, 100}) {
            FleetTrial trial = play(gateways, 2, "list_spread = 20 ms\n" + TWO_WAVES + """
                    [fault restarts]
                    kind = killed
                    first = 0
                    gateways = %d
                    from = 3.8 s
                    until = 4.9 s
                    """.formatted(gateways / 3));
            assertEquals(0, trial.fallen(), gateways + " gateways");
            assertTrue(trial.nearestToFall(100) < 1, gateways + " gateways: " + trial.nearestToFall(100));
        }
    }
}
