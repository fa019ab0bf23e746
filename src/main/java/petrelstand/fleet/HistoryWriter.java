package petrelstand.fleet;

import com.google.gson.JsonObject;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Appends events to a history file, one JSON object per line with monotonic and wall clock time, for checking a fleet
 * afterwards. A thread of its own writes the file. When a slow disk fills the queue, events are dropped, and the next
 * line tells how many. Successive processes of a gateway append to the same file.
 */
final class HistoryWriter {
    private static final int MAX_QUEUED_LINES = 4096;

    private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();

    /** Opens the file for appending and starts the writing thread. The log adds the fleet's prefix to each line. */
    HistoryWriter(Path file, Consumer<String> log) throws IOException {
        BufferedWriter writer = Files.newBufferedWriter(
                file, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        Thread thread = new Thread(
                () -> {
                    try (writer) {
                        while (true) {
                            writer.write(queue.take());
                            if (queue.isEmpty()) {
                                writer.flush();
                            }
                        }
                    } catch (IOException e) {
                        log.accept("cannot write the history file, no more events are recorded: "
                                + e.getClass().getSimpleName());
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "fleet-history");
        thread.setDaemon(true);
        thread.start();
    }

    /** Queues an event with its fields; called on the event loop, never blocks. */
    void append(String event, JsonObject fields) {
        JsonObject line = new JsonObject();
        line.addProperty("event", event);
        line.addProperty("mono_us", System.nanoTime() / 1000);
        line.addProperty("wall_ms", System.currentTimeMillis());
        fields.entrySet().forEach(entry -> line.add(entry.getKey(), entry.getValue()));
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
            line.addProperty("dropped", droppedLines);
        }
        if (!queue.offer(line + "\n")) {
            dropped.addAndGet(droppedLines + 1);
        }
    }

    /** Waits up to 100 ms until the queue is empty, for use at shutdown. */
    void flush() throws InterruptedException {
        for (int i = 0; i < 50 && !queue.isEmpty(); i++) {
            Thread.sleep(2);
        }
    }
}
