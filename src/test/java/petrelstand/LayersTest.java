package petrelstand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The decisions and the core know no wire, no socket and no clock. */
class LayersTest {
    private static final Path ROOT = Path.of("src/main/java/petrelstand");
    private static final Pattern FORBIDDEN = Pattern.compile(
            "java\\.net|java\\.nio|java\\.io\\.|java\\.time|"
                    + "org\\.eclipse|com\\.google|nanoTime|currentTimeMillis|System\\.(in|out|err)|new Thread|"
                    + "petrelstand\\.(http|net|rsync|config|discovery|sim|store|cli|logging|lab|fleet|consensus|cbor|operation)\\b");

    private static List<String> linesMatching(String layer, Pattern forbidden) throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(ROOT.resolve(layer))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                for (String line : Files.readAllLines(file)) {
                    if (forbidden.matcher(line).find()) {
                        found.add(file.getFileName() + ": " + line.strip());
                    }
                }
            }
        }
        return found;
    }

    @Test
    void decisionAndCoreUseNoIoOrClock() throws IOException {
        assertEquals(List.of(), linesMatching("decision", FORBIDDEN));
        assertEquals(List.of(), linesMatching("core", FORBIDDEN));
    }

    /** What old knowledge is worth is decided without a file, a clock or a wire; character sets are no I/O. */
    @Test
    void stateUsesNoIoOrClock() throws IOException {
        assertEquals(
                List.of(),
                linesMatching("state", FORBIDDEN).stream()
                        .filter(line -> !line.contains("java.nio.charset"))
                        .toList());
        assertEquals(List.of(), linesMatching("state", Pattern.compile("petrelstand\\.core")));
    }

    /** Whom a wait is laid on is decided without a file, a clock or a wire. */
    @Test
    void accountsUseNoIoOrClock() throws IOException {
        assertEquals(List.of(), linesMatching("accounts", FORBIDDEN));
    }

    /** Who is there is decided without a socket, a clock or a thread, and without anything else of the gateway. */
    @Test
    void membersUseNoIoOrClockOrOtherPackage() throws IOException {
        assertEquals(List.of(), linesMatching("members", FORBIDDEN));
        assertEquals(List.of(), linesMatching("members", Pattern.compile("import petrelstand\\.(?!members)")));
    }

    /** When gateways may act on which rules is decided without a socket, a clock, a thread or the consensus library. */
    @Test
    void agreementUsesNoIoOrClockOrOtherPackage() throws IOException {
        assertEquals(List.of(), linesMatching("agreement", FORBIDDEN));
        assertEquals(List.of(), linesMatching("agreement", Pattern.compile("import petrelstand\\.(?!agreement)|microraft")));
    }

    /**
     * What each part of a process's life means, and which settings hold when, is decided by times and settings alone.
     */
    @Test
    void lifecycleAndRetuningUseNoIoOrClock() throws IOException {
        for (String layer : List.of("lifecycle", "retuning")) {
            assertEquals(List.of(), linesMatching(layer, FORBIDDEN), layer);
            assertEquals(
                    List.of(), linesMatching(layer, Pattern.compile("import petrelstand\\.(?!decision|lifecycle)")), layer);
        }
    }

    /** Curves through measured costs are fitted from the points alone; the package's own name has the lab in it. */
    @Test
    void fittingUsesNoIoOrOtherPackage() throws IOException {
        Pattern otherThanItself = Pattern.compile("import petrelstand\\.(?!lab\\.capacity\\.fit)");
        assertEquals(List.of(), linesMatching("lab/capacity/fit", otherThanItself));
        assertEquals(
                List.of(),
                linesMatching("lab/capacity/fit", FORBIDDEN).stream()
                        .filter(line -> !line.contains("petrelstand.lab.capacity.fit"))
                        .toList());
    }

    /** Only the command line and the gateway's own wiring know the store, and nothing that serves knows the lab. */
    @Test
    void servingPackagesDoNotUseLabOrCommandLine() throws IOException {
        for (String layer : List.of(
                "decision",
                "core",
                "accounts",
                "state",
                "store",
                "net",
                "http",
                "rsync",
                "discovery",
                "config",
                "logging",
                "sim",
                "members",
                "fleet",
                "agreement",
                "consensus",
                "cbor",
                "lifecycle",
                "retuning",
                "operation")) {
            assertEquals(List.of(), linesMatching(layer, Pattern.compile("petrelstand\\.(lab|cli)\\b|picocli")), layer);
        }
    }

    @Test
    void decisionDoesNotUseCore() throws IOException {
        assertEquals(List.of(), linesMatching("decision", Pattern.compile("petrelstand\\.core")));
    }

    @Test
    void scanFindsForbiddenLines() throws IOException {
        assertTrue(linesMatching("net", FORBIDDEN).size() > 3);
    }
}
