package petrelstand.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.config.IniFile;
import petrelstand.lab.check.HistoryCheck;
import petrelstand.lab.check.RulesCheck;
import petrelstand.lab.check.Verdict.Outcome;
import petrelstand.lab.faults.FaultScenario;
import petrelstand.lab.faults.FaultTrial;

/** Real processes that agree on rules which change all the time, with faults between them. */
class RulesTrialTest {
    private static final String FIVE = "[trial]\nprocesses = 5\nload = 10\nvoters = 3\nchange = 700 ms\n";

    @TempDir
    Path folder;
    /** Where the last trial's histories lie. */
    private Path trial;

    private RulesCheck.Found play(String name, String scenario, String program, String argument) throws Exception {
        RulesCheck.Found found = null;
        for (int attempt = 1; attempt <= 2; attempt++) {
            trial = folder.resolve(name + attempt);
            try (FaultTrial one = new FaultTrial(
                    trial,
                    FaultScenario.of(new IniFile(Path.of(name + ".ini"), scenario)),
                    attempt,
                    program,
                    List.of(argument))) {
                one.play();
            }
            found = RulesCheck.check(trial);
            System.out.println("rules trial " + name + ": " + found.verdict() + ", " + found.agreed() + " changes, "
                    + found.contradictionsUs().size() + " contradictions");
            if (found.verdict().outcome() != Outcome.INCONCLUSIVE) {
                assertTrue(
                        program.contains("Defective")
                                || HistoryCheck.check(trial).outcome() != Outcome.FAILED,
                        "members: " + HistoryCheck.check(trial));
                return found;
            }
        }
        return found;
    }

    private static String fault(String kind, int who, int atS, double forS) {
        return "[fault " + kind + " " + who + " " + atS + "]\nkind = " + kind + "\nwho = " + who + "\nat = " + atS
                + " s\nfor = " + forS + " s\n";
    }

    @Test
    void aVoterIsKilledOneIsStoppedTheFleetIsCutAndAnOldFolderDoesNotVote() throws Exception {
        RulesCheck.Found found = play(
                "rules",
                FIVE + "length = 56 s\n" + fault("kill", 0, 2, 3) + fault("stop", 1, 11, 8) + fault("cut", 2, 25, 6)
                        + fault("copy", 2, 37, 0.5),
                "petrelstand.Main",
                "serve");
        assertTrue(found.verdict().outcome() != Outcome.FAILED, found.verdict().toString());
        assertTrue(
                found.verdict().outcome() == Outcome.INCONCLUSIVE || found.agreed() >= 15, found.agreed() + " changes");
        // The folder of the first moments was put back: that voter says so and does not vote.
        assertTrue(
                found.verdict().outcome() == Outcome.INCONCLUSIVE
                        || Files.readString(trial.resolve("log-2.txt"))
                                .contains("this gateway does not vote: its folder is an old copy"),
                "it voted");
    }

    @Test
    void aLeaseThatIsNeverOverIsFound() throws Exception {
        RulesCheck.Found found = play(
                "never-over",
                "[trial]\nprocesses = 4\nload = 2\nvoters = 3\nchange = 700 ms\n" + "promise = 2 s\nlength = 26 s\n"
                        + fault("cut", 1, 3, 12),
                "petrelstand.DefectiveRules",
                "never-over");
        assertTrue(
                found.verdict().outcome() == Outcome.INCONCLUSIVE
                        || found.verdict().outcome() == Outcome.FAILED
                                && found.verdict()
                                        .rule()
                                        .matches(
                                                ".*(contradicted each other for|acted on version \\d+ until) \\d+ ms.*"),
                found.verdict().toString());
    }

    // ---- The checker alone ----

    private RulesCheck.Found check(String trial, String... histories) throws Exception {
        Path dir = Files.createTempDirectory(folder, "check");
        Files.writeString(
                dir.resolve("trial.jsonl"),
                "{\"event\":\"trial\",\"mono_us\":0,\"voters\":3,\"promise_us\":5000000}\n"
                        + "{\"event\":\"start\",\"mono_us\":1,\"process\":\"g0\"}\n{\"event\":\"start\",\"mono_us\":1,\"process\":\"g1\"}\n"
                        + trial + "{\"event\":\"end\",\"mono_us\":60000000,\"calm_us\":1000,\"late_us\":0}\n");
        for (int i = 0; i < histories.length; i++) {
            Files.writeString(dir.resolve("history-g" + i + ".jsonl"), histories[i]);
        }
        return RulesCheck.check(dir);
    }

    private static String acts(int process, long version, String mode, long ms) {
        return "{\"event\":\"rules\",\"mono_us\":" + ms * 1000 + ",\"process\":\"g" + process + "\",\"version\":"
                + version + ",\"mode\":\"" + mode + "\",\"limits\":{\"basic\":" + version * 10 + "}}\n";
    }

    @Test
    void theCheckerTellsEachBreachWithItsLines() throws Exception {
        assertEquals(
                "passed",
                check(
                                "",
                                acts(0, 1, "LEASED", 1000) + acts(0, 2, "LEASED", 20_000),
                                acts(1, 1, "LEASED", 1000) + acts(1, 2, "LEASED", 24_900))
                        .verdict()
                        .toString());
        RulesCheck.Found long1 = check(
                "",
                acts(0, 1, "LEASED", 1000) + acts(0, 2, "LEASED", 20_000),
                acts(1, 1, "LEASED", 1000) + acts(1, 1, "FALLBACK", 25_100));
        assertTrue(
                long1.verdict().rule().startsWith("g0 and g1 contradicted each other for 5100 ms"),
                long1.verdict().rule());
        assertEquals(2, long1.verdict().excerpt().size());
        String stopped = "{\"event\":\"stop\",\"mono_us\":21000000,\"process\":\"g1\"}\n"
                + "{\"event\":\"cont\",\"mono_us\":40000000,\"process\":\"g1\"}\n";
        assertEquals(
                "passed",
                check(
                                stopped,
                                acts(0, 1, "LEASED", 1000) + acts(0, 2, "LEASED", 20_000),
                                acts(1, 1, "LEASED", 1000) + acts(1, 1, "FALLBACK", 40_010))
                        .verdict()
                        .toString());
        assertTrue(check(
                        stopped,
                        acts(0, 1, "LEASED", 1000) + acts(0, 2, "LEASED", 20_000),
                        acts(1, 1, "LEASED", 1000) + acts(1, 2, "LEASED", 41_000))
                .verdict()
                .rule()
                .startsWith("g1 acted on version 1 until 21000 ms after g0 acted on version 2"));
        assertTrue(check("", acts(0, 2, "LEASED", 1000) + acts(0, 1, "LEASED", 2000), "")
                .verdict()
                .rule()
                .startsWith("g0 went back from version 2 to 1"));
        String agreed = "{\"event\":\"agreed\",\"mono_us\":2000000,\"change\":1,\"version\":1}\n";
        assertTrue(check(agreed + agreed.replace("\"change\":1", "\"change\":2"), "", "")
                .verdict()
                .rule()
                .startsWith("two changes were acknowledged as version 1"));
        assertTrue(check(agreed, acts(0, 1, "LEASED", 1000), acts(1, 1, "FALLBACK", 1000))
                .verdict()
                .rule()
                .startsWith("g1 did not act on version 1"));
        StringBuilder load = new StringBuilder();
        for (int second = 10; second < 30; second++) {
            load.append("{\"event\":\"load\",\"process\":\"g0\",\"from_us\":")
                    .append(second)
                    .append("000000,\"asked\":40,\"served\":30}\n");
        }
        assertTrue(check(load.toString(), acts(0, 1, "LEASED", 1000), acts(1, 1, "LEASED", 1000))
                .verdict()
                .rule()
                .contains("300 units were admitted in 10 s, and the highest limit was 10 a second"));
    }
}
