package petrelstand.operation;

import java.util.function.IntSupplier;
import petrelstand.core.Broker;
import petrelstand.core.Counters;
import petrelstand.core.RequestCounts;
import petrelstand.core.RequestCounts.RequestResult;

/** The telemetry page: a metric per line, {@code name:value|c} for a counter and {@code name:value|g} for a gauge. */
public final class Telemetry {
    private static final String PREFIX = "relay.";

    private final Broker broker;
    private final Counters counters;
    private final IntSupplier unfinishedAnswers;

    /** Creates the page of a broker; {@code unfinishedAnswers} counts the answers that are not completely written. */
    public Telemetry(Broker broker, Counters counters, IntSupplier unfinishedAnswers) {
        this.broker = broker;
        this.counters = counters;
        this.unfinishedAnswers = unfinishedAnswers;
    }

    /** Returns the page with the current values. */
    public String render() {
        RequestCounts requestCounts = broker.requestCounts();
        StringBuilder text = new StringBuilder();
        for (String className : requestCounts.classNames()) {
            count(text, "passed." + className, requestCounts.count(className, RequestResult.SERVED));
            count(text, "dropped." + className, requestCounts.count(className, RequestResult.REFUSED));
            count(text, "bad_gateway." + className, requestCounts.count(className, RequestResult.FAILED));
        }
        count(text, "upstream_tries", requestCounts.attempts());
        gauge(text, "in_progress", broker.requestsInProgress() + unfinishedAnswers.getAsInt());
        gauge(text, "known_storage_nodes", broker.listedNodeCount());
        gauge(text, "skipped_storage_nodes", broker.avoidedNodeCount());
        count(text, "loads", counters.get("reloads"));
        count(text, "load_errors", counters.get("reloads.failed"));
        return text.toString();
    }

    private static void count(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(':').append(value).append("|c\n");
    }

    private static void gauge(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(':').append(value).append("|g\n");
    }
}
