package petrelstand.core;

import java.util.Map;
import java.util.TreeMap;

/** Counts by name of what is taken, sent and answered, and of what went wrong. */
public final class Counters {
    private final Map<String, long[]> counts = new TreeMap<>();

    public void increment(String name) {
        counts.computeIfAbsent(name, n -> new long[1])[0]++;
    }

    public long get(String name) {
        long[] count = counts.get(name);
        return count == null ? 0 : count[0];
    }

    /** All counts, one "name value" a line, in order of name. */
    public String toLines() {
        StringBuilder text = new StringBuilder();
        counts.forEach(
                (name, count) -> text.append(name).append(' ').append(count[0]).append('\n'));
        return text.toString();
    }

    /** All counts on one line. */
    public String toLine() {
        return toLines().strip().replace(' ', '=').replace('\n', ' ');
    }
}
