package petrelstand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs deploy/test with lists of known failures and a fake Maven, in which the tests named in a file fail. */
class KnownRedTest {
    private static final String MAVEN = """
            #!/bin/sh
            # Writes down its arguments; tests listed in the file 'failing' fail, and leave a report.
            echo "$*" >> "$KNOWN_RED_WORLD/calls"
            case $* in
                *surefire:test*)
                    name=$(echo "$*" | sed 's/.*-Dtest=\\([^ ]*\\).*/\\1/')
                    mkdir -p target/surefire-reports
                    grep -qxF "$name" "$KNOWN_RED_WORLD/unrun" && exit 1
                    echo "<testcase name=\\"${name#*#}\\"" > "target/surefire-reports/TEST-${name%%#*}.xml"
                    ! grep -qxF "$name" "$KNOWN_RED_WORLD/failing" ;;
                *)
                    for name in $(cat "$KNOWN_RED_WORLD/failing"); do
                        file=$(echo "$*" | sed -n 's/.*excludesFile=\\([^ ]*\\).*/\\1/p')
                        [ -n "$file" ] && grep -qxF "$(echo "$name" | tr . /)" "$file" || exit 1
                    done ;;
            esac
            """;
    private static final List<String> TESTS =
            List.of("p.q.ATest#one", "p.q.ATest#two", "p.q.BTest#three", "p.q.BTest#four");

    @TempDir
    Path project;

    @BeforeEach
    void createProject() throws IOException {
        Files.createDirectories(project.resolve("deploy"));
        Files.copy(Path.of("deploy/test"), project.resolve("deploy/test"));
        Path maven = Files.writeString(
                Files.createDirectories(project.resolve("bin")).resolve("mvn"), MAVEN);
        assertTrue(maven.toFile().setExecutable(true));
        Path sources = Files.createDirectories(project.resolve("src/test/java/p/q"));
        Files.writeString(sources.resolve("ATest.java"), "void one() {}\nvoid two() {}\n");
        Files.writeString(sources.resolve("BTest.java"), "void three() {}\nboolean four(int all) {}\n");
        Files.writeString(project.resolve("failing"), "");
        Files.writeString(project.resolve("unrun"), "");
    }

    private record Result(int status, String text) {}

    /** Runs the script with failing tests and the lines of KNOWN-RED.txt. */
    private Result run(List<String> failing, List<String> lines) throws IOException, InterruptedException {
        Files.write(project.resolve("failing"), failing);
        if (!lines.isEmpty()) {
            Files.write(project.resolve("KNOWN-RED.txt"), lines);
        }
        ProcessBuilder builder = new ProcessBuilder("sh", "deploy/test")
                .directory(project.toFile())
                .redirectErrorStream(true);
        builder.environment().put("PATH", project.resolve("bin") + ":" + System.getenv("PATH"));
        builder.environment().put("KNOWN_RED_WORLD", project.toString());
        Process process = builder.start();
        String text = new String(process.getInputStream().readAllBytes());
        return new Result(process.waitFor(), text);
    }

    private static String line(String test) {
        return test + " | make test, seed 3 | the node's clock went back | issue 7";
    }

    @Test
    void everyFailureCountsWithoutList() throws Exception {
        assertEquals(new Result(0, ""), run(List.of(), List.of()));
        assertEquals(1, run(TESTS.subList(0, 1), List.of()).status());
        assertTrue(Files.readString(project.resolve("calls")).startsWith("-B verify\n"));
    }

    @Test
    void listedFailureIsPrintedAndIgnored() throws Exception {
        Result result = run(TESTS.subList(0, 1), List.of("# a note", "", line(TESTS.get(0))));
        assertEquals(new Result(0, "KNOWN-RED: fails as listed, passed over: " + line(TESTS.get(0)) + "\n"), result);
    }

    @Test
    void listedTestThatPassesIsPrinted() throws Exception {
        Result result = run(List.of(TESTS.get(3)), List.of(line(TESTS.get(1)), line(TESTS.get(3))));
        assertEquals(
                new Result(
                        0,
                        "KNOWN-RED: passes now, ready to be taken off: " + TESTS.get(1)
                                + "\nKNOWN-RED: fails as listed, passed over: " + line(TESTS.get(3)) + "\n"),
                result);
    }

    /** Guards against entries beyond a fixed number that are run with the rest or not at all. */
    @Test
    void everyListedTestRunsApart() throws Exception {
        Result result = run(TESTS, TESTS.stream().map(KnownRedTest::line).toList());
        assertEquals(0, result.status(), result.text());
        assertEquals(
                TESTS.stream()
                        .map(test -> "KNOWN-RED: fails as listed, passed over: " + line(test))
                        .toList(),
                result.text().lines().toList());
    }

    @Test
    void unlistedFailureFails() throws Exception {
        assertEquals(1, run(TESTS.subList(0, 2), List.of(line(TESTS.get(0)))).status());
    }

    @Test
    void invalidListFailsBeforeAnyTestRuns() throws Exception {
        List<List<String>> invalidLists = List.of(
                List.of(line("p.q.ATest#five")),
                List.of(line("p.q.CTest#one")),
                List.of(line("ATest")),
                List.of(line(TESTS.get(0)), line(TESTS.get(0))),
                List.of(TESTS.get(0)),
                List.of(TESTS.get(0) + " | make test"),
                List.of(TESTS.get(0) + " | make test | the clock went back"),
                List.of(TESTS.get(0) + " |  | the clock went back | issue 7"),
                List.of(TESTS.get(0) + " | make test |  | issue 7"),
                List.of(TESTS.get(0) + " | make test | the clock went back | "),
                List.of(line(TESTS.get(0)) + " | one field more"),
                TESTS.stream().map(test -> test + " | a cause | issue 7").toList());
        List<String> reasons = List.of(
                "there is no test 'p.q.ATest#five'",
                "there is no test 'p.q.CTest#one'",
                "no package.Class#method",
                "twice",
                "needs its command and seed",
                "needs its command and seed",
                "needs its command and seed",
                "needs its command and seed",
                "needs its command and seed",
                "needs its command and seed",
                "needs its command and seed",
                "needs its command and seed");
        assertEquals(invalidLists.size(), reasons.size());
        for (int i = 0; i < invalidLists.size(); i++) {
            Result result = run(List.of(), invalidLists.get(i));
            assertEquals(1, result.status(), invalidLists.get(i).toString());
            assertTrue(
                    result.text().startsWith("KNOWN-RED: ") && result.text().contains(reasons.get(i)), result.text());
        }
        assertTrue(Files.notExists(project.resolve("calls")));
    }

    @Test
    void listedTestThatDidNotRunFails() throws Exception {
        Files.write(project.resolve("unrun"), TESTS.subList(0, 1));
        Result result = run(List.of(), List.of(line(TESTS.get(0))));
        assertEquals(new Result(1, "KNOWN-RED: p.q.ATest#one did not run\n"), result);
    }
}
