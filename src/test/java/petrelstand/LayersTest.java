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

    private static List<String> found(String layer, Pattern forbidden) throws IOException {
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
    void decisionAndCoreAreFreeOfTheWorld() throws IOException {
        assertEquals(List.of(), found("decision", FORBIDDEN));
        assertEquals(List.of(), found("core", FORBIDDEN));
    }

    /** What old knowledge is worth is decided without a file, a clock or a wire; character sets are no I/O. */
    @Test
    void stateIsFreeOfTheWorld() throws IOException {
        assertEquals(
                List.of(),
                found("state", FORBIDDEN).stream()
                        .filter(line -> !line.contains("java.nio.charset"))
                        .toList());
        assertEquals(List.of(), found("state", Pattern.compile("petrelstand\\.core")));
    }

    /** Whom a wait is laid on is decided without a file, a clock or a wire. */
    @Test
    void accountsAreFreeOfTheWorld() throws IOException {
        assertEquals(List.of(), found("accounts", FORBIDDEN));
    }

    /** Who is there is decided without a socket, a clock or a thread, and without anything else of the gateway. */
    @Test
    void membersAreFreeOfTheWorld() throws IOException {
        assertEquals(List.of(), found("members", FORBIDDEN));
        assertEquals(List.of(), found("members", Pattern.compile("import petrelstand\\.(?!members)")));
    }

    /** When gateways may act on which rules is decided without a socket, a clock, a thread or the consensus library. */
    @Test
    void agreementIsFreeOfTheWorld() throws IOException {
        assertEquals(List.of(), found("agreement", FORBIDDEN));
        assertEquals(List.of(), found("agreement", Pattern.compile("import petrelstand\\.(?!agreement)|microraft")));
    }

    /**
     * What each part of a process's life means, and which settings hold when, is decided by times and settings alone.
     */
    @Test
    void lifecycleAndRetuningAreFreeOfTheWorld() throws IOException {
        for (String layer : List.of("lifecycle", "retuning")) {
            assertEquals(List.of(), found(layer, FORBIDDEN), layer);
            assertEquals(
                    List.of(), found(layer, Pattern.compile("import petrelstand\\.(?!decision|lifecycle)")), layer);
        }
    }

    /** Curves through measured costs are fitted from the points alone; the package's own name has the lab in it. */
    @Test
    void fittingIsFreeOfTheWorld() throws IOException {
        Pattern otherThanItself = Pattern.compile("import petrelstand\\.(?!lab\\.capacity\\.fit)");
        assertEquals(List.of(), found("lab/capacity/fit", otherThanItself));
        assertEquals(
                List.of(),
                found("lab/capacity/fit", FORBIDDEN).stream()
                        .filter(line -> !line.contains("petrelstand.lab.capacity.fit"))
                        .toList());
    }

    /** Only the command line and the gateway's own wiring know the store, and nothing that serves knows the lab. */
    @Test
    void theLaboratoryAndTheCommandLineAreKnownToNobodyThatServes() throws IOException {
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
            assertEquals(List.of(), found(layer, Pattern.compile("petrelstand\\.(lab|cli)\\b|picocli")), layer);
        }
    }

    @Test
    void decisionDoesNotKnowTheCore() throws IOException {
        assertEquals(List.of(), found("decision", Pattern.compile("petrelstand\\.core")));
    }

    @Test
    void theScanFindsWhatItIsFor() throws IOException {
        assertTrue(found("net", FORBIDDEN).size() > 3);
    }
}
