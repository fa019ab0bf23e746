package petrelstand;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The checks of {@code make lint}, by the project's own build file, on a project of one file that breaks them. */
class LintTest {
    @TempDir
    Path project;

    private record Result(int status, String text) {}

    private Result check(String goal, String source) throws IOException, InterruptedException {
        Files.copy(Path.of("pom.xml"), project.resolve("pom.xml"));
        Path config = Files.createDirectories(project.resolve("config"));
        Files.copy(Path.of("config/checkstyle.xml"), config.resolve("checkstyle.xml"));
        Path sources = Files.createDirectories(project.resolve("src/main/java/p"));
        Files.writeString(sources.resolve("Sample.java"), source);
        Process maven = new ProcessBuilder("mvn", "-q", "-B", goal)
                .directory(project.toFile())
                .redirectErrorStream(true)
                .start();
        String text = new String(maven.getInputStream().readAllBytes());
        return new Result(maven.waitFor(), text);
    }

    @Test
    void unformattedFileFails() throws Exception {
        Result result = check("spotless:check", """
                package p;

                /** A sample. */
                public class Sample
                {
                  int sum( int a,int b ) { return a+b; }
                }
                """);
        assertNotEquals(0, result.status());
        assertTrue(result.text().contains("Sample.java") && result.text().contains("format violations"), result.text());
    }

    @Test
    void checkstyleReportsEachViolation() throws Exception {
        Result result = check("checkstyle:check", """
                package p;

                import java.util.*;
                import java.util.List;

                public class Sample {
                    final static int LIMIT = 1;

                    int read(String text) {
                        if (text == "") return 0;
                        try {
                            return Integer.parseInt(text); } catch (NumberFormatException e) {
                        }
                        int a = 1; int b = 2;
                        return a + b;
                    }
                }
                """);
        assertNotEquals(0, result.status());
        for (String item : new String[] {
            "AvoidStarImport",
            "UnusedImports",
            "MissingJavadocType",
            "ModifierOrder",
            "NeedBraces",
            "StringLiteralEquality",
            "EmptyCatchBlock",
            "OneStatementPerLine"
        }) {
            assertTrue(result.text().contains(item), item + " is not in:\n" + result.text());
        }
    }
}
