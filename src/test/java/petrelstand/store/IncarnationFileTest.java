package petrelstand.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against reusing incarnations after a crash at any step or when the wall clock goes back. */
class IncarnationFileTest {
    @Test
    void incarnationsIncreaseAfterACrashAtAnyStep() throws Exception {
        int tried = 0;
        int steps = 0;
        for (int crashStep = 0; crashStep <= steps; crashStep++) {
            SimFolder folder = new SimFolder();
            IncarnationFile.reserve(folder, 1_000, line -> {});
            int stepsBefore = folder.steps();
            folder.failBeforeStep = stepsBefore + crashStep;
            long highestUsed = 1_000 + IncarnationFile.RESERVED_COUNT;
            try {
                // The clock went back, so only the file can tell.
                highestUsed = IncarnationFile.reserve(folder, 10, line -> {}) + IncarnationFile.RESERVED_COUNT;
                steps = Math.max(steps, folder.steps() - stepsBefore);
            } catch (SimFolder.PowerLoss e) {
                steps = crashStep + 1;
            }
            for (int subset = 0; subset < folder.crashOutcomes(); subset++) {
                for (int loss = 0; loss < SimFolder.LOSS_MODES; loss++) {
                    List<String> lines = new ArrayList<>();
                    long next = IncarnationFile.reserve(folder.afterCrash(subset, loss), 10, lines::add);
                    assertTrue(
                            next > highestUsed && lines.isEmpty(),
                            "crash before step " + crashStep + ": " + next + " after " + highestUsed + lines);
                    tried++;
                }
            }
        }
        assertTrue(tried > 30, "" + tried);
    }

    @Test
    void renamesADamagedFileAndRejectsASecondProcess() throws Exception {
        SimFolder folder = new SimFolder();
        folder.create(
                IncarnationFile.FILE_NAME, "petrelstand incarnation 77 00000000\n".getBytes(StandardCharsets.US_ASCII));
        List<String> lines = new ArrayList<>();
        assertEquals(500, IncarnationFile.reserve(folder, 500, lines::add));
        assertTrue(
                lines.get(0).startsWith("incarnation is damaged, renamed it to incarnation.damaged: "),
                lines.toString());
        assertTrue(folder.list(10).contains("incarnation.damaged"));
        folder.lockedByOther = true;
        assertThrows(IOException.class, () -> IncarnationFile.reserve(folder, 500, lines::add));
    }
}
