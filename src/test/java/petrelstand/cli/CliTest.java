package petrelstand.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParser;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.decision.Scheduling.LearnedNode;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.LearnedVolume;
import petrelstand.state.Snapshot;
import petrelstand.state.SnapshotFiles;
import petrelstand.store.DiskFolder;
import petrelstand.store.SnapshotStore;
import picocli.CommandLine;

/** The command line as a user calls it. */
class CliTest {
    @TempDir
    Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... arguments) {
        out.getBuffer().setLength(0);
        err.getBuffer().setLength(0);
        CommandLine line = Cli.line(() -> {}, () -> {}, () -> {}, (config, operator) -> {});
        return line.setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(err, true))
                .execute(arguments);
    }

    private void write(int times) throws Exception {
        try (SnapshotStore store = new SnapshotStore(new DiskFolder(folder))) {
            store.open();
            for (int i = 0; i < times; i++) {
                store.write(new Snapshot(
                        "n1",
                        5,
                        0,
                        1_764_600_000_000L,
                        true,
                        new LearnedState(
                                1,
                                1,
                                1,
                                List.of(new LearnedNode(0x5be2a07cL, 0, 10, 20, 4, 55, 0, 0)),
                                List.of(new LearnedVolume(0xa1, 0, 1, 1, 0, 3, 4)))));
            }
        }
    }

    @Test
    void helpAndVersionAreThereAndAMissingCommandIsSaid() {
        assertEquals(0, run("--help"));
        for (String command : List.of("serve", "wirehost", "state", "lab")) {
            assertTrue(out.toString().contains(command), out.toString());
        }
        assertEquals(0, run("--version"));
        assertTrue(out.toString().startsWith("petrelstand "));
        assertEquals(2, run());
        assertEquals(2, run("state"));
        assertEquals(2, run("state", "inspct"));
        assertEquals(2, run("lab", "run", "x.ini", "--seeds", "all"));
        assertTrue(err.toString().startsWith("--seeds must be A-B, not 'all'"), err.toString());
    }

    @Test
    void aWrongArgumentOfTheCapacityCommandIsOneLineAndNothingIsPlayed() {
        Path json = folder.resolve("capacity.json");
        for (String sizes : List.of("5,50", "50,2000", "50,50", "fifty")) {
            assertEquals(2, run("lab", "capacity", "members", "--sizes", sizes, "--json", json.toString()));
            assertTrue(err.toString().startsWith("--sizes "), err.toString());
            assertEquals(1, err.toString().lines().count(), err.toString());
        }
        assertEquals(2, run("lab", "capacity", "nodes", "--sizes", "50", "--json", json.toString()));
        assertTrue(err.toString().startsWith("ROLE "), err.toString());
        assertEquals(1, err.toString().lines().count(), err.toString());
        assertTrue(Files.notExists(json));
    }

    @Test
    void inspectPrintsTheNewestAndItsJsonIsRead() throws Exception {
        write(2);
        assertEquals(0, run("state", "inspect", folder.toString()));
        assertTrue(
                out.toString().contains("generation 2 of gateway n1, taken 2025-12-01T14:40:00Z at an orderly end"),
                out.toString());
        assertTrue(out.toString().contains("5be2a07c"), out.toString());
        assertEquals(
                0,
                run(
                        "state",
                        "inspect",
                        "--json",
                        folder.resolve(SnapshotFiles.fileName(1)).toString()));
        assertEquals(
                1,
                JsonParser.parseString(out.toString())
                        .getAsJsonObject()
                        .get("generation")
                        .getAsInt());
    }

    @Test
    void verifyNamesFileOffsetAndFault() throws Exception {
        assertEquals(1, run("state", "verify", folder.toString()));
        assertTrue(err.toString().contains("holds no snapshot"));
        write(2);
        assertEquals(0, run("state", "verify", folder.toString()));
        Path newest = folder.resolve(SnapshotFiles.fileName(2));
        byte[] bytes = Files.readAllBytes(newest);
        bytes[40] ^= 1;
        Files.write(newest, bytes);
        assertEquals(1, run("state", "verify", folder.toString()));
        assertTrue(
                err.toString().startsWith(newest + ": offset " + (bytes.length - 4) + ": the checksum is"),
                err.toString());
        assertEquals(1, err.toString().lines().count());
        // The one before it is what inspect shows then.
        assertEquals(0, run("state", "inspect", folder.toString()));
        assertTrue(out.toString().contains("generation 1 of"));
        Files.copy(folder.resolve(SnapshotFiles.fileName(1)), folder.resolve(SnapshotFiles.fileName(9)));
        assertEquals(1, run("state", "verify", folder.toString()));
        assertTrue(
                err.toString().contains(SnapshotFiles.fileName(9) + ": offset 16: it says it is generation 1"),
                err.toString());
    }

    /** Guards against a second line that adds nothing to the error about a file. */
    @Test
    void accountsReportTellsOneErrorForAFileThatIsNoRecord() throws Exception {
        Path file = Files.writeString(folder.resolve("notes.txt"), "no record");
        assertEquals(1, run("accounts", "report", file.toString()));
        assertEquals(1, err.toString().lines().count(), err.toString());
        assertTrue(err.toString().startsWith(file + ": "), err.toString());
        Path empty = Files.createDirectory(folder.resolve("empty"));
        assertEquals(1, run("accounts", "report", empty.toString()));
        assertEquals("there is no record to report on", err.toString().strip());
    }
}
