package petrelstand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What deploy/check-docs reports on a small tree, of which single pages or files are changed. */
class DocsCheckTest {
    private static final String LAMP = """
            package petrelstand.light;

            /** Mentions formerName in a comment only. */
            public class Lamp {
                static final int MAX_WATTS = 60;
                // formerMember
                void ignite(int seconds) { log("spokenOnly"); }
                class Wick { int remaining; }
            }
            """;
    private static final String LAMP_TEST = """
            package petrelstand.light;

            class LampTest {
                @Test
                void theLampIsLitWithinASecond() {}
            }
            """;

    @TempDir
    Path root;

    @BeforeEach
    void createTree() throws IOException {
        write("src/main/java/petrelstand/light/Lamp.java", LAMP);
        write("src/test/java/petrelstand/light/LampTest.java", LAMP_TEST);
        write("lab/evening.ini", "");
        write("deploy/balancer.toml", """
                policy = ["src/main/java/petrelstand/light/Lamp.java"]
                node = [
                    "src/main/java/petrelstand/light",
                ]
                """);
        write("README.md", "See [the guide](docs/design/guide.md#lamps).\n");
        write("DEVELOPERS.md", "Nothing.\n");
        write("docs/design/guide.md", "Nothing.\n");
    }

    private void write(String path, String text) throws IOException {
        Path file = root.resolve(path);
        Files.createDirectories(file.getParent());
        Files.writeString(file, text);
    }

    /**
     * Runs the script on the tree; returns the lines that it printed, after it has ended with the status that fits
     * them.
     */
    private List<String> check() throws IOException, InterruptedException {
        Process process = new ProcessBuilder("sh", "deploy/check-docs", root.toString())
                .redirectErrorStream(true)
                .start();
        String text = new String(process.getInputStream().readAllBytes());
        int status = process.waitFor();
        List<String> lines = text.lines().toList();
        if (lines.isEmpty()) {
            assertEquals(0, status);
        } else {
            assertNotEquals(0, status, text);
        }
        return lines;
    }

    /** Asserts that each span, alone on a page, is reported by its page, line and text. */
    private void assertReported(String... spans) throws IOException, InterruptedException {
        write("docs/design/guide.md", "First line.\n`" + String.join("`\n`", spans) + "`\n");
        List<String> lines = check();
        List<String> starts =
                lines.stream().map(line -> line.replaceAll("`: .*", "`")).toList();
        String[] expected = new String[spans.length];
        Arrays.setAll(expected, i -> "docs/design/guide.md:" + (i + 2) + ": `" + spans[i] + "`");
        assertEquals(List.of(expected), starts, String.join("\n", lines));
    }

    @Test
    void namesThatExistPass() throws Exception {
        write("docs/design/guide.md", """
                `Lamp`, `Lamp.java`, `light.Lamp`, `petrelstand.light.Lamp#ignite`, `Lamp.ignite(int, ...)`,
                `Lamp.Wick.remaining`, `Wick`, `MAX_WATTS`, `Lamp.MAX_WATTS`, `Lamp.MAX_*`, `ignite`, `spokenOnly`,
                `LampTest.theLampIsLit...`, `theLampIsLitWithinASecond`, `theLampIsLit...`,
                `lab/evening.ini`, `lab/*.ini`, `petrelstand lab lab/evening.ini --wait`, `deploy/petrelstand.ini`,
                `Content-Length`, `DRAINING`, `java.util.List`, `GET /counters`, `/ready`, `other/file`,
                [back](../../README.md), [out](https://example.org/x)
                """);
        assertEquals(List.of(), check());
    }

    @Test
    void aTypeThatIsGoneIsReported() throws Exception {
        assertReported("Lantern", "Lantern.ignite", "dark.Lamp", "Lantern.java");
    }

    @Test
    void aMemberThatIsGoneIsReported() throws Exception {
        assertReported(
                "Lamp.extinguish",
                "Lamp#extinguish(int)",
                "Lamp.Wick.length",
                "Lamp.MIN_WATTS",
                "MIN_WATTS",
                "Lamp.MIN_*");
    }

    @Test
    void aConstantOutsideOfACodeSpanIsReported() throws Exception {
        write("docs/design/guide.md", "Takes MAX_WATTS (`Lamp`), MAX_*, MIN_WATTS\nand MIN_*, 2.\n");
        assertEquals(
                List.of(
                        "docs/design/guide.md:1: `MIN_WATTS`: there is no MIN_WATTS in the Java source",
                        "docs/design/guide.md:2: `MIN_*`: there is no MIN_... in the Java source"),
                check());
    }

    @Test
    void aMemberNamedOnlyInACommentOrAStringIsReported() throws Exception {
        assertReported("Lamp.formerName", "Lamp.formerMember", "Lamp.spokenOnly", "formerName", "formerMember");
    }

    @Test
    void aTestThatIsGoneIsReported() throws Exception {
        assertReported("LampTest.theLampIsDark", "LampTest.theLampIsDark...", "theLampIsDark", "theLampIsDark...");
    }

    @Test
    void aNameThatGoesOnIsNotTakenForAShorterOne() throws Exception {
        assertReported("LampTest.theLampIsLit", "theLampIsLit", "Lam");
    }

    @Test
    void aFileThatIsGoneIsReported() throws Exception {
        assertReported(
                "lab/night.ini", "src/main/java/petrelstand/light/Wick.java", "lab/*.toml", "run lab/night.ini now");
    }

    @Test
    void aSpanOverTwoLinesIsRead() throws Exception {
        write("docs/design/guide.md", "A span `with two\nwords`, then `Lantern` and\nmore.\n");
        assertEquals(List.of("docs/design/guide.md:2: `Lantern`: there is no type Lantern"), check());
    }

    @Test
    void aLinkToAFileThatIsGoneIsReported() throws Exception {
        Files.delete(root.resolve("docs/design/guide.md"));
        assertEquals(
                List.of("README.md:1: `docs/design/guide.md#lamps`: there is no file docs/design/guide.md"), check());
    }

    @Test
    void aPathOfTheBuildFileThatIsGoneIsReported() throws Exception {
        write("deploy/balancer.toml", """
                policy = ["src/main/java/petrelstand/light/Lamp.java", "src/main/java/petrelstand/light/Wick.java"]
                node = [
                    "src/main/java/petrelstand/dark",
                ]
                packages = ["src/main/java/petrelstand/unread"]
                """);
        assertEquals(
                List.of(
                        "deploy/balancer.toml:1: `policy`: there is no file src/main/java/petrelstand/light/Wick.java",
                        "deploy/balancer.toml:3: `node`: there is no file src/main/java/petrelstand/dark"),
                check());
    }

    @Test
    void eachPageIsRead() throws Exception {
        for (String page : List.of("DEVELOPERS.md", "README.md", "docs/GUIDE.md", "docs/design/guide.md")) {
            write(page, "`Lantern`\n");
        }
        assertEquals(
                List.of("DEVELOPERS.md", "README.md", "docs/GUIDE.md", "docs/design/guide.md"),
                check().stream().map(line -> line.replaceAll(":.*", "")).toList());
    }
}
