package petrelstand.lab.check;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonSyntaxException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** The lines of a trial's folder, as every checker reads them. */
final class Lines {
    /** One line: its text with file and number, and its time on the machine's monotonic clock, µs. */
    record Line(String text, JsonObject json, long us) {
        String get(String key) {
            return json.has(key) ? json.get(key).getAsString() : "";
        }

        long number(String key) {
            return json.has(key) ? json.get(key).getAsLong() : 0;
        }
    }

    private Lines() {}

    /** A file's lines; what a process left half written when it was killed is passed over. */
    static List<Line> read(Path file) throws IOException {
        List<Line> lines = new ArrayList<>();
        List<String> texts = Files.readAllLines(file);
        for (int i = 0; i < texts.size(); i++) {
            try {
                JsonObject json = JsonParser.parseString(texts.get(i)).getAsJsonObject();
                lines.add(new Line(
                        file.getFileName() + ":" + (i + 1) + " " + texts.get(i),
                        json,
                        json.has("mono_us") ? json.get("mono_us").getAsLong() : 0));
            } catch (JsonSyntaxException | IllegalStateException e) {
                // The next life of the process begins a new line.
            }
        }
        return lines;
    }

    /** The histories in a folder, by process. */
    static Map<String, List<Line>> histories(Path folder) throws IOException {
        Map<String, List<Line>> histories = new TreeMap<>();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.sorted().toList()) {
                String name = file.getFileName().toString();
                if (name.startsWith("history-") && name.endsWith(".jsonl")) {
                    histories.put(name.substring("history-".length(), name.length() - ".jsonl".length()), read(file));
                }
            }
        }
        return histories;
    }

    /** The first line of an event, without which a trial did not end. */
    static Line one(List<Line> trial, String event) throws IOException {
        return trial.stream()
                .filter(l -> l.get("event").equals(event))
                .findFirst()
                .orElseThrow(() -> new IOException("the trial has no line '" + event + "': it did not end"));
    }
}
