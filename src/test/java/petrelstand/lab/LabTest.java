package petrelstand.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.config.IniFile;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.Outcome;

/** The laboratory's nodes, its repeatability, and killed writers. */
class LabTest {
    private final Timers timers = new Timers();
    private final List<String> ends = new ArrayList<>();
    private long nowUs = 1_000_000;

    private LabNode node() {
        return new LabNode(0, 1, 2, 1, timers, nowUs);
    }

    private void run(long ms) {
        long until = nowUs + ms * 1000;
        while (timers.nextDueUs() <= until) {
            nowUs = Math.max(nowUs, timers.nextDueUs());
            timers.runDue(nowUs);
        }
        nowUs = until;
    }

    private Consumer<Outcome> told(String name) {
        return how -> ends.add(name + " " + how + " " + nowUs / 1000);
    }

    @Test
    void aNodeServesInTurnAndTurnsAwayWhenItsQueueIsFull() {
        LabNode node = node();
        for (String name : List.of("a", "b", "c", "d")) {
            node.accept(nowUs, 10, false, told(name));
        }
        run(100);
        assertEquals(List.of("d REJECTED 1000", "a SERVED 1010", "b SERVED 1020", "c SERVED 1030"), ends);
    }

    @Test
    void slownessAPauseAndANeighbourStretchWorkInHand() {
        LabNode node = node();
        node.accept(nowUs, 100, false, told("a"));
        run(20);
        node.slow(nowUs, 2);
        run(40);
        node.pause(nowUs, true);
        run(50);
        node.pause(nowUs, false);
        node.slow(nowUs, 1);
        node.share(nowUs, 0.5);
        run(200);
        // 20 ms done, then 40 ms at half speed, a pause of 50 ms, and 60 ms of work left at half speed.
        assertEquals(List.of("a SERVED 1230"), ends);
    }

    @Test
    void aSilentNodeSaysNothingAndComesBackColdAndFallsWhenSentTooMuch() {
        LabNode node = node();
        node.accept(nowUs, 10, false, told("a"));
        node.vanish(nowUs);
        node.accept(nowUs, 10, false, told("b"));
        run(1000);
        node.comeBack(nowUs);
        assertEquals(2000.0, node.listed().entry().upSinceMs());
        node.accept(nowUs, 10, false, told("c"));
        run(100);
        assertEquals(1, ends.size());
        assertTrue(ends.get(0).startsWith("c SERVED 203"), ends.toString());
        for (int i = 0; i < 100; i++) {
            node.accept(nowUs, 10, false, how -> {});
        }
        assertTrue(node.fallen());
    }

    private static Scenario scenario() {
        return Scenario.of(new IniFile(Path.of("t.ini"), """
                [world]
                nodes = 4
                gateways = 2
                volumes = 20
                [restart]
                capture = 3 s
                ages = 1 s
                down = 300 ms
                [fault slow]
                kind = slow
                size = 5
                """));
    }

    @Test
    void aDayIsTheSameEachTimeAndTheRequestsTheSameWhateverTheGatewaysDo() {
        Day.Outcome first = new Day(scenario(), 3, 1_000_000, Day.Way.STATE_KEPT).play();
        Day.Outcome again = new Day(scenario(), 3, 1_000_000, Day.Way.STATE_KEPT).play();
        Day.Outcome without = new Day(scenario(), 3, 1_000_000, Day.Way.NOTHING_KEPT).play();
        assertEquals(first.first.earned, again.first.earned);
        assertEquals(first.longer.lateRefusals, again.longer.lateRefusals);
        assertEquals(first.first.due, without.first.due);
        assertEquals(first.requests, without.requests);
        assertTrue(first.remembered >= 4 && without.remembered == 0);
        assertTrue(first.longer.share() > 0.3 && first.longer.share() <= 1.0001, "share " + first.longer.share());
    }

    @Test
    void aBadScenarioIsOneLineThatNamesThePlace() {
        IniFile bad = new IniFile(Path.of("t.ini"), "[world]\nnodes = 4\n[restart]\nages = 1 s, 5\n");
        String message = assertThrows(IllegalArgumentException.class, () -> Scenario.of(bad))
                .getMessage();
        assertTrue(message.startsWith("t.ini:4: [restart] ages"), message);
    }

    @Test
    void theScenariosInTheRepositoryAreRead() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("lab"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".ini")).toList()) {
                Scenario.read(file);
            }
        }
    }

    /** Real processes, killed outright; the command of the laboratory does it a thousand times. */
    @Test
    void killedWritersLeaveTheLastSnapshotOrTheNext(@TempDir Path folder) throws Exception {
        KillWrites.Result result = KillWrites.run(folder, 24, 7, 4);
        assertEquals(List.of(), result.faults());
        assertEquals(0, result.corrupt() + result.overTrusted());
        assertTrue(result.written() > 24, "writers wrote " + result.written());
    }
}
