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

/** What deploy/test makes of KNOWN-RED.txt, with a stand-in for Maven that fails the tests named in a file. */
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
    Path world;

    @BeforeEach
    void lay() throws IOException {
        Files.createDirectories(world.resolve("deploy"));
        Files.copy(Path.of("deploy/test"), world.resolve("deploy/test"));
        Path maven =
                Files.writeString(Files.createDirectories(world.resolve("bin")).resolve("mvn"), MAVEN);
        assertTrue(maven.toFile().setExecutable(true));
        Path sources = Files.createDirectories(world.resolve("src/test/java/p/q"));
        Files.writeString(sources.resolve("ATest.java"), "void one() {}\nvoid two() {}\n");
        Files.writeString(sources.resolve("BTest.java"), "void three() {}\nboolean four(int all) {}\n");
        Files.writeString(world.resolve("failing"), "");
        Files.writeString(world.resolve("unrun"), "");
    }

    private record Result(int status, String text) {}

    /** Runs the script with these tests failing and these lines listed. */
    private Result run(List<String> failing, List<String> lines) throws IOException, InterruptedException {
        Files.write(world.resolve("failing"), failing);
        if (!lines.isEmpty()) {
            Files.write(world.resolve("KNOWN-RED.txt"), lines);
        }
        ProcessBuilder builder = new ProcessBuilder("sh", "deploy/test")
                .directory(world.toFile())
                .redirectErrorStream(true);
        builder.environment().put("PATH", world.resolve("bin") + ":" + System.getenv("PATH"));
        builder.environment().put("KNOWN_RED_WORLD", world.toString());
        Process process = builder.start();
        String text = new String(process.getInputStream().readAllBytes());
        return new Result(process.waitFor(), text);
    }

    private static String line(String test) {
        return test + " | the node's clock | issue 7";
    }

    @Test
    void withoutAListAllTestsDecide() throws Exception {
        assertEquals(new Result(0, ""), run(List.of(), List.of()));
        assertEquals(1, run(TESTS.subList(0, 1), List.of()).status());
        assertTrue(Files.readString(world.resolve("calls")).startsWith("-B verify\n"));
    }

    @Test
    void aListedTestThatFailsIsPassedOverAndPrinted() throws Exception {
        Result result = run(TESTS.subList(0, 1), List.of("# a note", "", line(TESTS.get(0))));
        assertEquals(new Result(0, "KNOWN-RED: fails as listed, passed over: " + line(TESTS.get(0)) + "\n"), result);
    }

    @Test
    void aListedTestThatPassesIsPrintedAsReadyToBeTakenOff() throws Exception {
        Result result = run(List.of(TESTS.get(3)), List.of(line(TESTS.get(1)), line(TESTS.get(3))));
        assertEquals(
                new Result(
                        0,
                        "KNOWN-RED: passes now, ready to be taken off: " + TESTS.get(1)
                                + "\nKNOWN-RED: fails as listed, passed over: " + line(TESTS.get(3)) + "\n"),
                result);
    }

    @Test
    void anUnlistedFailureFails() throws Exception {
        assertEquals(1, run(TESTS.subList(0, 2), List.of(line(TESTS.get(0)))).status());
    }

    @Test
    void whatIsNoGoodListFailsBeforeAnyTestRuns() throws Exception {
        List<List<String>> wrong = List.of(
                TESTS.stream().map(KnownRedTest::line).toList(),
                List.of(line("p.q.ATest#five")),
                List.of(line("p.q.CTest#one")),
                List.of(line("ATest")),
                List.of(line(TESTS.get(0)), line(TESTS.get(0))),
                List.of(TESTS.get(0)),
                List.of(TESTS.get(0) + " | cause"),
                List.of(TESTS.get(0) + " |  | issue 7"));
        List<String> why = List.of(
                "more than three lines",
                "there is no test 'p.q.ATest#five'",
                "there is no test 'p.q.CTest#one'",
                "no package.Class#method",
                "twice",
                "needs its cause",
                "needs its cause",
                "needs its cause");
        for (int i = 0; i < wrong.size(); i++) {
            Result result = run(List.of(), wrong.get(i));
            assertEquals(1, result.status(), wrong.get(i).toString());
            assertTrue(result.text().startsWith("KNOWN-RED: ") && result.text().contains(why.get(i)), result.text());
        }
        assertTrue(Files.notExists(world.resolve("calls")));
    }

    @Test
    void aListedTestThatDidNotRunFails() throws Exception {
        Files.write(world.resolve("unrun"), TESTS.subList(0, 1));
        Result result = run(List.of(), List.of(line(TESTS.get(0))));
        assertEquals(new Result(1, "KNOWN-RED: p.q.ATest#one did not run\n"), result);
    }
}
