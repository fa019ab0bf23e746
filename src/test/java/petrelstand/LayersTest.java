package petrelstand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks which packages may use I/O, clocks, libraries and each other. */
class LayersTest {
    private static final Path ROOT = Path.of("src/main/java/petrelstand");
    private static final Pattern FORBIDDEN = Pattern.compile(
            "java\\.net|java\\.nio|java\\.io\\.|java\\.time|"
                    + "org\\.eclipse|com\\.google|nanoTime|currentTimeMillis|System\\.(in|out|err)|new Thread|"
                    + "petrelstand\\.(http|net|rsync|config|discovery|sim|store|cli|logging|lab|fleet|consensus|cbor|operation)\\b");
    /** Libraries that the rules name; each must still be used somewhere. */
    private static final List<String> LIBRARIES = List.of("org.eclipse", "com.google", "microraft", "picocli");
    /** Matches the names of this project in the text of a rule: a path, then one name or a group of alternatives. */
    private static final Pattern PROJECT_NAMES =
            Pattern.compile("petrelstand\\\\\\.((?:\\w+\\\\\\.)*)(?:\\((?:\\?!)?([^)]+)\\)|(\\w+))");

    /** Returns the lines of a package that match a rule; fails if the package or a name in the rule does not exist. */
    private static List<String> linesMatching(String layer, Pattern rule) throws IOException {
        assertEquals(List.of(), missingNames(rule), "names in the rule " + rule + " that do not exist");
        List<Path> sources = sources(ROOT.resolve(layer));
        assertFalse(sources.isEmpty(), "no sources in " + layer);
        List<String> matching = new ArrayList<>();
        for (Path source : sources) {
            for (String line : Files.readAllLines(source)) {
                if (rule.matcher(line).find()) {
                    matching.add(source.getFileName() + ": " + line.strip());
                }
            }
        }
        return matching;
    }

    private static List<Path> sources(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }

    /** Returns the packages and types of this project that a rule names and that do not exist. */
    private static List<String> missingNames(Pattern rule) {
        List<String> missing = new ArrayList<>();
        Matcher names = PROJECT_NAMES.matcher(rule.pattern());
        while (names.find()) {
            String alternatives = names.group(2) == null ? names.group(3) : names.group(2);
            for (String name : alternatives.split("\\|")) {
                String path = (names.group(1) + name).replace("\\.", "/");
                if (Files.notExists(ROOT.resolve(path)) && Files.notExists(ROOT.resolve(path + ".java"))) {
                    missing.add(path.replace('/', '.'));
                }
            }
        }
        return missing;
    }

    @Test
    void decisionAndCoreUseNoIoOrClock() throws IOException {
        assertEquals(List.of(), linesMatching("decision", FORBIDDEN));
        assertEquals(List.of(), linesMatching("core", FORBIDDEN));
    }

    /** Character sets are allowed, since they are no I/O. */
    @Test
    void stateUsesNoIoOrClock() throws IOException {
        assertEquals(
                List.of(),
                linesMatching("state", FORBIDDEN).stream()
                        .filter(line -> !line.contains("java.nio.charset"))
                        .toList());
        assertEquals(List.of(), linesMatching("state", Pattern.compile("petrelstand\\.core")));
    }

    @Test
    void accountsUseNoIoOrClock() throws IOException {
        assertEquals(List.of(), linesMatching("accounts", FORBIDDEN));
    }

    @Test
    void membersUseNoIoOrClockOrOtherPackage() throws IOException {
        assertEquals(List.of(), linesMatching("members", FORBIDDEN));
        assertEquals(List.of(), linesMatching("members", Pattern.compile("import petrelstand\\.(?!members)")));
    }

    @Test
    void agreementUsesNoIoOrClockOrOtherPackage() throws IOException {
        assertEquals(List.of(), linesMatching("agreement", FORBIDDEN));
        assertEquals(
                List.of(), linesMatching("agreement", Pattern.compile("import petrelstand\\.(?!agreement)|microraft")));
    }

    @Test
    void lifecycleAndRetuningUseNoIoOrClock() throws IOException {
        for (String layer : List.of("lifecycle", "retuning")) {
            assertEquals(List.of(), linesMatching(layer, FORBIDDEN), layer);
            assertEquals(
                    List.of(),
                    linesMatching(layer, Pattern.compile("import petrelstand\\.(?!decision|lifecycle)")),
                    layer);
        }
    }

    /** The package's own name is allowed, though it contains that of the lab. */
    @Test
    void fittingUsesNoIoOrOtherPackage() throws IOException {
        Pattern otherPackages = Pattern.compile("import petrelstand\\.(?!lab\\.capacity\\.fit)");
        assertEquals(List.of(), linesMatching("lab/capacity/fit", otherPackages));
        assertEquals(
                List.of(),
                linesMatching("lab/capacity/fit", FORBIDDEN).stream()
                        .filter(line -> !line.contains("petrelstand.lab.capacity.fit"))
                        .toList());
    }

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

    /** Guards against rules that match nothing because what they name was renamed or removed. */
    @Test
    void rulesThatNameMissingPackagesOrTypesFail() {
        for (String rule : List.of(
                "petrelstand\\.gone",
                "petrelstand\\.(core|gone)\\b",
                "import petrelstand\\.(?!gone|core)",
                "import petrelstand\\.(?!lab\\.capacity\\.gone)",
                "petrelstand\\.core\\.(Broker|Gone)")) {
            AssertionError error =
                    assertThrows(AssertionError.class, () -> linesMatching("net", Pattern.compile(rule)), rule);
            assertTrue(error.getMessage().contains("that do not exist"), error.getMessage());
        }
        assertThrows(IOException.class, () -> linesMatching("gone", FORBIDDEN));
    }

    @Test
    void namesOfExistingPackagesAndTypesAreFound() {
        assertEquals(List.of(), missingNames(Pattern.compile("petrelstand\\.core\\.(Broker|Node)|petrelstand\\.Main")));
        assertEquals(List.of("core.Gone"), missingNames(Pattern.compile("petrelstand\\.core\\.(Broker|Gone)")));
    }

    @Test
    void librariesInTheRulesAreUsed() throws IOException {
        List<String> unused = new ArrayList<>(LIBRARIES);
        for (Path source : sources(ROOT)) {
            for (String line : Files.readAllLines(source)) {
                unused.removeIf(library -> line.startsWith("import ") && line.contains(library + "."));
            }
        }
        assertEquals(List.of(), unused);
    }

    /** The classes that {@link ServeProcessTest} expects not to be loaded must exist, or it would check nothing. */
    @Test
    void optionalClassesOfServeProcessTestExist() {
        assertEquals(List.of(), missingNames(ServeProcessTest.OPTIONAL_CLASSES));
    }
}
