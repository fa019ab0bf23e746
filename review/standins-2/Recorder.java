import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run into the case's record, with the time in ms since the start. */
final class Recorder {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the start of the case, on the monotonic clock. */
    double now() {
        return (System.nanoTime() - startNs) / 1e6;
    }

    synchronized void line(String text) {
        out.printf("%9.1f  %s%n", now(), text);
        out.flush();
    }

    /** A line for the record and for standard output. */
    void result(String text) {
        line(text);
        System.out.println(text);
    }
}
