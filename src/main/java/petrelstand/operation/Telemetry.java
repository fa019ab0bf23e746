package petrelstand.operation;

import java.util.function.IntSupplier;
import petrelstand.core.Broker;
import petrelstand.core.Counters;
import petrelstand.core.RequestCounts;
import petrelstand.core.RequestCounts.RequestResult;

/** The figures as a text, one a line: {@code name:value|c} for what counts up, {@code |g} for what is now. */
public final class Telemetry {
    private static final String PREFIX = "relay.";

    private final Broker broker;
    private final Counters counters;
    private final IntSupplier writing;

    /** Figures of a broker; {@code writing} tells how many answers are not wholly written. */
    public Telemetry(Broker broker, Counters counters, IntSupplier writing) {
        this.broker = broker;
        this.counters = counters;
        this.writing = writing;
    }

    /** The page as of this turn. */
    public String render() {
        RequestCounts figures = broker.requestCounts();
        StringBuilder text = new StringBuilder();
        for (String kind : figures.classNames()) {
            count(text, "passed." + kind, figures.count(kind, RequestResult.SERVED));
            count(text, "dropped." + kind, figures.count(kind, RequestResult.REFUSED));
            count(text, "bad_gateway." + kind, figures.count(kind, RequestResult.FAILED));
        }
        count(text, "upstream_tries", figures.attempts());
        gauge(text, "in_progress", broker.requestsInProgress() + writing.getAsInt());
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
