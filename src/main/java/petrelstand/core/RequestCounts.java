package petrelstand.core;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What became of requests, by class, and attempts written whole to nodes, since the process began: each counted once,
 * where it happens. Classes come from the settings, which bound them; one that is dropped keeps its counts.
 */
public final class RequestCounts {
    /** How a request ended. */
    public enum RequestResult {
        SERVED,
        REFUSED,
        FAILED,
        GONE
    }

    /** One class's counts. */
    private static final class Row {
        private final long[] ends = new long[RequestResult.values().length];
    }

    private final Map<String, Row> rows = new LinkedHashMap<>();
    private long attempts;

    /** A class that requests can have from here on. */
    void addClass(String requestClass) {
        rows.computeIfAbsent(requestClass, name -> new Row());
    }

    void recordResult(String requestClass, RequestResult how) {
        Row row = rows.get(requestClass);
        if (row != null) {
            row.ends[how.ordinal()]++;
        }
    }

    void recordAttempt() {
        attempts++;
    }

    /** Requests of a class that ended so; 0 for a class that was never known. */
    public long count(String requestClass, RequestResult how) {
        Row row = rows.get(requestClass);
        return row == null ? 0 : row.ends[how.ordinal()];
    }

    /** The classes, in the order in which they came to be known. */
    public Iterable<String> classNames() {
        return rows.keySet();
    }

    /** Attempts whose last byte was written to a node. */
    public long attempts() {
        return attempts;
    }
}
