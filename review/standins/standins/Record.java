package standins;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: one line for each event, with the seconds since the start of the case. */
public final class Record implements AutoCloseable {
    private final PrintWriter writer;
    private final long startNs = System.nanoTime();

    public Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Seconds since the start of the case. */
    public double seconds() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    /** Writes a line to the record. */
    public synchronized void line(String format, Object... arguments) {
        writer.println(String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, arguments));
    }

    /** Writes a line to the record and to standard output. */
    public synchronized void tell(String format, Object... arguments) {
        line(format, arguments);
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
