package petrelstand.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the log of ids that the processes of one gateway share. */
class TxnIdLogTest {
    @TempDir
    Path folder;

    private static List<String> readNew(TxnIdLog log) {
        List<String> entries = new ArrayList<>();
        log.readNew((idHash, untilUs) -> entries.add(idHash + ":" + untilUs));
        return entries;
    }

    @Test
    void readerGetsWhatWasWrittenBeforeAndAfterItOpened() throws IOException {
        Path file = folder.resolve("log");
        try (TxnIdLog writer = TxnIdLog.create(file)) {
            writer.append(-7, 100);
            TxnIdLog reader = TxnIdLog.open(file);
            assertEquals(List.of("-7:100"), readNew(reader));
            assertEquals(List.of(), readNew(reader));
            writer.append(-7, 0);
            writer.append(8, 200);
            assertEquals(List.of("-7:0", "8:200"), readNew(reader));
        }
        assertFalse(Files.exists(file), "the file of a process that ended");
    }

    /** Guards against entries of two times that are mixed, where the writer has come round. */
    @Test
    void readerThatIsBehindGetsTheNewestEntries() throws IOException {
        Path file = folder.resolve("log");
        try (TxnIdLog writer = TxnIdLog.create(file)) {
            TxnIdLog reader = TxnIdLog.open(file);
            int written = 3 * TxnIdLog.CAPACITY + 5;
            for (int i = 0; i < written; i++) {
                writer.append(i, 10L * i);
            }
            List<String> entries = readNew(reader);
            assertEquals((written - 1) + ":" + 10L * (written - 1), entries.get(entries.size() - 1));
            for (int i = 0; i < entries.size(); i++) {
                long id = written - entries.size() + i;
                assertEquals(id + ":" + 10 * id, entries.get(i));
            }
            assertEquals(TxnIdLog.CAPACITY - 1, entries.size(), "all but the one that is written next");
        }
    }

    @Test
    void readerGetsWhatAKilledProcessHasWritten() throws IOException {
        Path file = folder.resolve("log");
        TxnIdLog writer = TxnIdLog.create(file);
        TxnIdLog reader = TxnIdLog.open(file);
        writer.append(1, 2);
        Files.delete(file);
        assertEquals(List.of("1:2"), readNew(reader));
    }

    @Test
    void filesThatAreNotWholeLogsAreRefused() throws IOException {
        assertThrows(IOException.class, () -> TxnIdLog.open(folder.resolve("missing")));
        Path file = Files.write(folder.resolve("short"), new byte[100]);
        assertThrows(IOException.class, () -> TxnIdLog.open(file));
        try (TxnIdLog writer = TxnIdLog.create(folder.resolve("log"))) {
            writer.append(1, 2);
            byte[] content = Files.readAllBytes(folder.resolve("log"));
            content[0] ^= 1;
            Path other = Files.write(folder.resolve("other"), content);
            assertThrows(IOException.class, () -> TxnIdLog.open(other));
        }
    }
}
