package petrelstand.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.config.IniFile;
import petrelstand.lab.check.HistoryCheck;
import petrelstand.lab.check.Verdict;
import petrelstand.lab.check.Verdict.Outcome;
import petrelstand.lab.faults.FaultScenario;
import petrelstand.lab.faults.FaultTrial;

/**
 * Real processes of the program with faults between them. A machine that is too slow to tell makes a trial
 * inconclusive: it is played once more, and the class fails where most end so.
 */
class FaultTrialTest {
    private static int played;
    private static int inconclusive;

    @TempDir
    Path folder;

    private Verdict play(String name, String scenario, String program, String argument) throws Exception {
        Verdict verdict = null;
        for (int attempt = 1; attempt <= 2; attempt++) {
            Path trial = folder.resolve(name + attempt);
            try (FaultTrial one = new FaultTrial(
                    trial,
                    FaultScenario.of(new IniFile(Path.of(name + ".ini"), scenario)),
                    attempt,
                    program,
                    List.of(argument))) {
                one.play();
            }
            verdict = HistoryCheck.check(trial);
            played++;
            System.out.println("fault trial " + name + ": " + verdict);
            if (verdict.outcome() != Outcome.INCONCLUSIVE) {
                return verdict;
            }
            inconclusive++;
        }
        return verdict;
    }

    private void holds(String name, String scenario) throws Exception {
        Verdict verdict = play(name, scenario, "petrelstand.Main", "serve");
        assertTrue(verdict.outcome() != Outcome.FAILED, verdict.toString());
    }

    @AfterAll
    static void theMachineWasNotTooSlowForMost() {
        System.out.println("fault trials: " + played + " played, " + inconclusive + " inconclusive");
        assertTrue(2 * inconclusive <= played, inconclusive + " of " + played + " were inconclusive");
    }

    private static String fault(String kind, int who, int atS, double forS, int amount) {
        return "[fault " + kind + " " + who + " " + atS + "]\nkind = " + kind + "\nwho = " + who + "\nat = " + atS
                + " s\nfor = " + forS + " s\namount = " + amount + "\n";
    }

    private static final String FIVE = "[trial]\nprocesses = 5\nload = 10\n";

    @Test
    void oneOfFiveIsKilledAndStartsAgainThenTwoAreKilledForGood() throws Exception {
        holds(
                "killed",
                FIVE
                        + fault("kill", 3, 1, 5, 0)
                        + fault("kill", 1, 14, 0, 0)
                        + fault("kill", 4, 14, 0, 0)
                        + fault("term", 2, 19, 0, 0));
    }

    @Test
    void oneIsStoppedTheFleetIsCutALinkFailsOneWayAndAPeerIsSlow() throws Exception {
        holds(
                "cut",
                FIVE
                        + fault("stop", 1, 1, 4, 0)
                        + fault("cut", 2, 10, 5, 0)
                        + fault("mute", 4, 20, 4, 0)
                        + fault("slow", 0, 29, 3, 200)
                        + fault("stop", 3, 33, 0.9, 0));
    }

    @Test
    void anOldFolderTheSameNameTwiceAnotherKeyAndEveryoneAtOnce() throws Exception {
        StringBuilder all = new StringBuilder(FIVE
                + fault("copy", 2, 1, 1, 0)
                + fault("clock", 4, 2, 1, 60)
                + fault("namesake", 1, 8, 5, 0)
                + fault("stranger", 0, 9, 4, 0));
        for (int i = 0; i < 5; i++) {
            all.append(fault("kill", i, 15, 0.5, 0));
        }
        holds("names", all.toString());
    }

    @Test
    void anEmptyFolderOneThatFailsOneThatHangsAndLinksThatTrickleHoldAndReorder() throws Exception {
        holds(
                "wire",
                FIVE
                        + fault("empty", 3, 1, 0.5, 0)
                        + fault("folder", 1, 2, 0.5, 0)
                        + fault("folder", 2, 3, 0.5, 1)
                        + fault("trickle", 4, 10, 3, 8)
                        + fault("hold", 0, 15, 2.5, 0)
                        + fault("reorder", 0, 19, 3, 200)
                        + fault("repeat", 0, 19, 3, 40)
                        + fault("loss", 0, 23, 3, 10));
    }

    @Test
    void plantedDefectsInRealProcessesAreFound() throws Exception {
        String three = "[trial]\nprocesses = 3\nload = 0\n";
        Object[][] defects = {
            {"never-fails", three + fault("kill", 2, 1, 0, 0), "g2 to be"},
            {"not-raised", "[trial]\nprocesses = 4\nload = 0\n" + fault("cut", 2, 1, 5, 0), "did not hold"},
            {"not-away", three + fault("stop", 1, 1, 5, 0), "acted as a member after"}
        };
        for (Object[] defect : defects) {
            Verdict verdict = play(
                    (String) defect[0], (String) defect[1], "petrelstand.members.DefectiveGateway", (String) defect[0]);
            assertTrue(
                    verdict.outcome() == Outcome.INCONCLUSIVE
                            || verdict.outcome() == Outcome.FAILED
                                    && verdict.rule().contains((String) defect[2]),
                    defect[0] + ": " + verdict);
        }
    }

    @Test
    void theScenariosInTheRepositoryAreRead() throws Exception {
        int read = 0;
        try (java.nio.file.DirectoryStream<Path> files = Files.newDirectoryStream(Path.of("lab/faults"), "*.ini")) {
            for (Path file : files) {
                assertTrue(FaultScenario.read(file).processes() >= 2, file.toString());
                read++;
            }
        }
        assertTrue(read >= 1);
    }

    // ---- The checker alone, on histories written here ----

    private Verdict check(String trial, String... histories) throws Exception {
        Path dir = Files.createTempDirectory(folder, "check");
        Files.writeString(
                dir.resolve("trial.jsonl"),
                "{\"event\":\"trial\",\"mono_us\":0,\"processes\":2,\"detect_us\":2000000,"
                        + "\"silence_us\":2000000,\"one_view_us\":5000000}\n{\"event\":\"start\",\"mono_us\":1,\"process\":\"g0\",\"number\":0}\n"
                        + "{\"event\":\"start\",\"mono_us\":1,\"process\":\"g1\",\"number\":1}\n" + trial);
        for (int i = 0; i < histories.length; i++) {
            Files.writeString(
                    dir.resolve("history-g" + i + ".jsonl"),
                    "{\"event\":\"started\",\"mono_us\":2,\"process\":\"g"
                            + i + "\",\"boot\":\"b" + i + "\"}\n" + view(i, i, "", "ALIVE", 1, 500)
                            + view(i, 1 - i, "", "ALIVE", 1, 600)
                            + histories[i]);
        }
        return HistoryCheck.check(dir);
    }

    private static String view(int process, int member, String from, String state, long incarnation, long ms) {
        return "{\"event\":\"view\",\"mono_us\":" + ms * 1000 + ",\"process\":\"g" + process + "\",\"member\":\"g"
                + member
                + "\",\"boot\":\"b" + member + "\",\"incarnation\":" + incarnation + ",\"state\":\"" + state
                + "\",\"from\":\"" + from + "\",\"cause\":\"\"}\n";
    }

    private static String end(long lateUs) {
        return "{\"event\":\"end\",\"mono_us\":60000000,\"calm_us\":1000,\"late_us\":" + lateUs + "}\n";
    }

    @Test
    void theCheckerTellsEachBreachWithItsLinesAndSaysNothingOfASlowMachine() throws Exception {
        assertEquals("passed", check(end(0), "", "").toString());
        String false1 = view(0, 1, "ALIVE", "FAILED", 1, 20_000) + view(0, 1, "FAILED", "ALIVE", 2, 20_500);
        assertEquals(
                "g0 held g1 to be failed while it ran",
                check(end(0), false1, "").rule());
        assertEquals(1, check(end(0), false1, "").excerpt().size());
        assertEquals(Outcome.INCONCLUSIVE, check(end(700_000), false1, "").outcome());
        assertEquals(
                Outcome.INCONCLUSIVE,
                check(end(0), false1 + "{\"event\":\"stalled\",\"mono_us\":30000000,\"us\":900000}\n", "")
                        .outcome());
        assertTrue(check(end(0), view(0, 1, "ALIVE", "SUSPECT", 1, 900), "")
                .rule()
                .startsWith("g0 did not hold g1 to be there"));
        assertTrue(check(end(0), view(0, 1, "ALIVE", "ALIVE", 0, 9_000), "")
                .rule()
                .startsWith("the incarnation of g1 fell"));
        String killed = "{\"event\":\"kill\",\"mono_us\":20000000,\"process\":\"g1\",\"number\":1}\n";
        assertEquals(
                "passed",
                check(killed + end(0), view(0, 1, "ALIVE", "FAILED", 1, 22_500), "")
                        .toString());
        assertTrue(check(killed + end(0), view(0, 1, "ALIVE", "FAILED", 1, 23_500), "")
                .rule()
                .startsWith("g0 did not hold g1 to be gone within 3000 ms"));
        assertTrue(check(
                        killed + end(0),
                        view(0, 1, "ALIVE", "FAILED", 1, 22_000)
                                + view(0, 1, "FAILED", "ALIVE", 2, 30_000)
                                + view(0, 1, "ALIVE", "FAILED", 2, 32_000),
                        "")
                .rule()
                .startsWith("g0 took g1 back"));
        String load = "{\"event\":\"load\",\"process\":\"g0\",\"from_us\":30000000,\"asked\":100,\"served\":90}\n";
        assertTrue(check(load + end(0), "", "").rule().startsWith("gateways that were not struck served 90 of 100"));
    }
}
