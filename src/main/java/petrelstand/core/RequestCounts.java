package petrelstand.core;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts, since the start of the process, the final results of requests by class, and the attempts that were written
 * completely to a node. The settings define the classes; a class that they drop keeps its counts.
 */
public final class RequestCounts {
    /** The final result of a request; GONE: the client left before an answer. */
    public enum RequestResult {
        SERVED,
        REFUSED,
        FAILED,
        GONE
    }

    private static final class ClassCounts {
        private final long[] byResult = new long[RequestResult.values().length];
    }

    private final Map<String, ClassCounts> classes = new LinkedHashMap<>();
    private long attempts;

    /** Adds a class with counts of 0, if it is new. */
    void addClass(String requestClass) {
        classes.computeIfAbsent(requestClass, name -> new ClassCounts());
    }

    /** Counts a result; ignored for a class that was never added. */
    void recordResult(String requestClass, RequestResult result) {
        ClassCounts counts = classes.get(requestClass);
        if (counts != null) {
            counts.byResult[result.ordinal()]++;
        }
    }

    void recordAttempt() {
        attempts++;
    }

    /** The number of requests of a class with a result; 0 for a class that was never added. */
    public long count(String requestClass, RequestResult result) {
        ClassCounts counts = classes.get(requestClass);
        return counts == null ? 0 : counts.byResult[result.ordinal()];
    }

    /** The classes in the order in which they were added. */
    public Iterable<String> classNames() {
        return classes.keySet();
    }

    /** The number of attempts whose last byte was written to a node. */
    public long attempts() {
        return attempts;
    }
}
