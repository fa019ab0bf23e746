package petrelstand.report;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import petrelstand.accounts.Cause;
import petrelstand.accounts.LatencyAttributor;
import petrelstand.accounts.LatencyHistory;
import petrelstand.accounts.TopWaits;
import petrelstand.core.Broker;
import petrelstand.core.Counters;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.store.AccountsLog;
import petrelstand.store.AccountsRecord;

/**
 * The latency statistics as JSON, as {@code GET /accounts} answers them. The page is built on the event loop, so it
 * lists only the largest waits.
 */
public final class AccountsPage {
    private static final int MAX_ENTRIES = 50;
    private static final int MAX_SECONDS = 10;
    private static final int MAX_CAUSES = 8;
    /** Longest wait for the last records to be written when the gateway stops. */
    private static final long FINAL_WRITE_TIMEOUT_MS = 300;

    /** The current settings. A class keeps its index when they change; others may be added. */
    private final Supplier<Settings> settings;

    private final Broker broker;
    private final LatencyAttributor attributor;
    private final LatencyHistory history;
    private AccountsLog accountsLog;

    /** Observes a broker from now on; {@code nodeCores} is the number of cores of each node. */
    public static AccountsPage observe(Broker broker, int nodeCores) {
        LatencyHistory history = new LatencyHistory();
        LatencyAttributor attributor =
                new LatencyAttributor(nodeCores, broker.settings().rules().warmUpMs(), history);
        broker.setObserver(attributor);
        return new AccountsPage(broker, attributor, history);
    }

    /** Records the statistics in a folder from now on. Logging and counting happen on {@code loop}. */
    public void startRecording(
            Path folder, String gateway, Counters counters, Consumer<Runnable> loop, Consumer<String> log) {
        accountsLog = AccountsLog.onDisk(
                folder,
                new AccountsRecord.NameTable(
                        gateway,
                        settings.get().classes().stream().map(c -> c.name()).toList(),
                        settings.get().plans().stream().map(p -> p.name()).toList()),
                counters,
                loop,
                log);
        history.setListener(accountsLog);
    }

    /**
     * Records the current second and minute as finished, then runs {@code afterClose} on {@code loop} once they are
     * written or the time for it has passed.
     */
    public void close(Consumer<Runnable> loop, Runnable afterClose) {
        if (accountsLog == null) {
            afterClose.run();
            return;
        }
        history.close();
        Thread thread = new Thread(
                () -> {
                    try {
                        accountsLog.close(FINAL_WRITE_TIMEOUT_MS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    loop.accept(afterClose);
                },
                "accounts-end");
        thread.setDaemon(true);
        thread.start();
    }

    /** The same statistics as metrics. */
    public MetricsPage metrics() {
        return new MetricsPage(settings, history, broker.requestCounts());
    }

    AccountsPage(Broker broker, LatencyAttributor attributor, LatencyHistory history) {
        this.broker = broker;
        this.settings = broker::settings;
        this.attributor = attributor;
        this.history = history;
    }

    /** The JSON text with the current and the last minute, and the worst of the recent seconds with their causes. */
    public String json(long nowUs) {
        JsonObject page = new JsonObject();
        page.addProperty("now_ms", nowUs / 1000);
        page.addProperty("unlinked_repeats", attributor.unlinkedRetries());
        page.add("running_minute", minuteJson(history.currentMinute()));
        page.add("last_minute", minuteJson(history.lastMinute()));
        JsonArray worst = new JsonArray();
        history.seconds(nowUs).stream()
                .sorted(Comparator.comparingLong(LatencyHistory.SecondStats::waitUs)
                        .reversed())
                .limit(MAX_SECONDS)
                .forEach(second -> worst.add(secondJson(second)));
        page.add("worst_seconds", worst);
        return page + "\n";
    }

    private JsonObject minuteJson(LatencyHistory.MinuteStats minute) {
        JsonObject json = new JsonObject();
        if (minute == null) {
            return json;
        }
        json.addProperty("from_ms", minute.fromUs() / 1000);
        json.addProperty("requests", minute.requests());
        json.addProperty("served", minute.served());
        TopWaits topWaits = minute.topWaits();
        json.addProperty("wait_ms", topWaits.totalWaitUs() / 1000.0);
        JsonObject kinds = new JsonObject();
        for (Cause.Kind kind : Cause.Kind.values()) {
            kinds.addProperty(kind.name().toLowerCase(java.util.Locale.ROOT) + "_ms", topWaits.waitUs(kind) / 1000.0);
        }
        json.add("by_kind", kinds);
        JsonArray waits = new JsonArray();
        List<TopWaits.Entry> entries = topWaits.entries();
        entries.stream().limit(MAX_ENTRIES).forEach(entry -> waits.add(entryJson(entry)));
        json.add("who_waited_for_whom", waits);
        json.addProperty("cells_left_out", Math.max(0, entries.size() - MAX_ENTRIES));
        json.addProperty("cells_pushed_out", topWaits.evictions());
        JsonArray phases = new JsonArray();
        for (LatencyHistory.RequestGroup group : minute.groups()) {
            JsonObject groupJson = new JsonObject();
            if (group.node() >= 0) {
                groupJson.addProperty("node", String.format("%08x", group.node()));
            } else if (group.requestClass() >= 0) {
                groupJson.addProperty(
                        "class",
                        settings.get().classes().get(group.requestClass()).name());
                groupJson.addProperty(
                        "plan", settings.get().plans().get(group.plan()).name());
            } else {
                groupJson.addProperty("others", true);
            }
            for (LatencyHistory.Phase phase : LatencyHistory.Phase.values()) {
                LatencyHistory.Percentiles percentiles = minute.percentiles(group, phase);
                JsonObject phaseJson = new JsonObject();
                phaseJson.addProperty("count", percentiles.count());
                phaseJson.addProperty("p50_ms", percentiles.p50Us() / 1000.0);
                phaseJson.addProperty("p90_ms", percentiles.p90Us() / 1000.0);
                phaseJson.addProperty("p99_ms", percentiles.p99Us() / 1000.0);
                phaseJson.addProperty("max_ms", percentiles.maxUs() / 1000.0);
                groupJson.add(phase.name().toLowerCase(java.util.Locale.ROOT), phaseJson);
            }
            phases.add(groupJson);
        }
        json.add("phases", phases);
        return json;
    }

    private JsonObject secondJson(LatencyHistory.SecondStats second) {
        JsonObject json = new JsonObject();
        json.addProperty("second", second.second());
        json.addProperty("requests", second.requests());
        json.addProperty("wait_ms", second.waitUs() / 1000.0);
        JsonArray causes = new JsonArray();
        second.topWaits().stream().limit(MAX_CAUSES).forEach(entry -> causes.add(entryJson(entry)));
        json.add("causes", causes);
        return json;
    }

    private JsonObject entryJson(TopWaits.Entry entry) {
        JsonObject json = new JsonObject();
        TopWaits.WaitKey key = entry.key();
        json.addProperty("node", String.format("%08x", key.node()));
        json.addProperty("volume", String.format("%016x", key.volume()));
        json.addProperty(
                "class", settings.get().classes().get(key.requestClass()).name());
        json.addProperty("cause", key.cause().kind().name().toLowerCase(java.util.Locale.ROOT));
        if (key.cause().kind() == Cause.Kind.WORK) {
            json.addProperty("cause_volume", String.format("%016x", key.cause().volume()));
            json.addProperty(
                    "cause_class",
                    settings.get().classes().get(key.cause().requestClass()).name());
        }
        json.addProperty("ms", entry.waitUs() / 1000.0);
        json.addProperty("over_by_at_most_ms", entry.maxErrorUs() / 1000.0);
        return json;
    }
}
