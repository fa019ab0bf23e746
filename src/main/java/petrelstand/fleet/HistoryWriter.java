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
 * What a process saw and did, one JSON object a line with the monotonic and the wall time, for whoever checks a fleet
 * afterwards. Written by a thread of its own; lines that a slow disk leaves no room for are dropped and counted in the
 * next one. A file is appended to: several lives of one gateway follow each other in it.
 */
final class HistoryWriter {
    private static final int MAX_QUEUED_LINES = 4096;

    private final ArrayBlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();

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
                        log.accept("fleet: the history is not written: "
                                + e.getClass().getSimpleName());
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "fleet-history");
        thread.setDaemon(true);
        thread.start();
    }

    /** Adds a line; on the loop, never waits. */
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

    /** Waits a little until all is written; for the end. */
    void flush() throws InterruptedException {
        for (int i = 0; i < 50 && !queue.isEmpty(); i++) {
            Thread.sleep(2);
        }
    }
}
