package petrelstand.core;

import java.util.Map;
import java.util.TreeMap;

/** Named event counters, from 0 at the start of the process. */
public final class Counters {
    private final Map<String, long[]> counts = new TreeMap<>();

    public void increment(String name) {
        counts.computeIfAbsent(name, n -> new long[1])[0]++;
    }

    /** The count under a name; 0 for a name that was never counted. */
    public long get(String name) {
        long[] count = counts.get(name);
        return count == null ? 0 : count[0];
    }

    /** All counters as lines "name value", sorted by name. */
    public String toLines() {
        StringBuilder text = new StringBuilder();
        counts.forEach(
                (name, count) -> text.append(name).append(' ').append(count[0]).append('\n'));
        return text.toString();
    }

    /** All counters as one line "name=value name=value", sorted by name. */
    public String toLine() {
        return toLines().strip().replace(' ', '=').replace('\n', ' ');
    }
}
