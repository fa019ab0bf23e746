package petrelstand.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A life's incarnation is above that of the life before, whatever the wall clock says and whenever the power goes. */
class IncarnationsTest {
    @Test
    void aCutAtAnyStepNeverLetsALaterLifeBeginLower() throws Exception {
        int tried = 0;
        int steps = 0;
        for (int cut = 0; cut <= steps; cut++) {
            SimFolder folder = new SimFolder();
            Incarnations.begin(folder, 1_000, line -> {});
            int before = folder.steps();
            folder.cutBefore = before + cut;
            long used = 1_000 + Incarnations.RESERVED;
            try {
                // The clock went back: only the file can tell.
                used = Incarnations.begin(folder, 10, line -> {}) + Incarnations.RESERVED;
                steps = Math.max(steps, folder.steps() - before);
            } catch (SimFolder.Cut e) {
                steps = cut + 1;
            }
            for (int subset = 0; subset < folder.outcomes(); subset++) {
                for (int loss = 0; loss < SimFolder.LOSSES; loss++) {
                    List<String> lines = new ArrayList<>();
                    long next = Incarnations.begin(folder.after(subset, loss), 10, lines::add);
                    assertTrue(next > used && lines.isEmpty(), "cut " + cut + ": " + next + " after " + used + lines);
                    tried++;
                }
            }
        }
        assertTrue(tried > 30, "" + tried);
    }

    @Test
    void aDamagedFileIsSetAsideAndASecondProcessIsRefused() throws Exception {
        SimFolder folder = new SimFolder();
        folder.create(Incarnations.FILE, "petrelstand incarnation 77 00000000\n".getBytes(StandardCharsets.US_ASCII));
        List<String> lines = new ArrayList<>();
        assertEquals(500, Incarnations.begin(folder, 500, lines::add));
        assertTrue(lines.get(0).startsWith("incarnation is set aside: "), lines.toString());
        assertTrue(folder.list(10).contains("incarnation.damaged"));
        folder.taken = true;
        assertThrows(IOException.class, () -> Incarnations.begin(folder, 500, lines::add));
    }
}
