package petrelstand.report;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import petrelstand.accounts.Accounts;
import petrelstand.accounts.Book;
import petrelstand.accounts.Cause;
import petrelstand.accounts.Ledger;
import petrelstand.core.Broker;
import petrelstand.core.Counters;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.store.AccountsLog;
import petrelstand.store.AccountsRecord;

/** The accounts as JSON: what {@code GET /accounts} answers. Made on the loop, so it names the heaviest only. */
public final class AccountsPage {
    private static final int MOST_ENTRIES = 50;
    private static final int MOST_SECONDS = 10;
    private static final int MOST_CAUSES = 8;
    private static final long LAST_WRITE_MS = 300;

    /** As they are now: a class keeps its place, and others may come. */
    private final Supplier<Settings> settings;

    private final Broker broker;
    private final Accounts accounts;
    private final Book book;
    private AccountsLog records;

    /** Switches accounts on before nodes of so many cores; from here on the broker tells them all. */
    public static AccountsPage watch(Broker broker, int nodeCores) {
        Book book = new Book();
        Accounts accounts = new Accounts(nodeCores, broker.settings().rules().warmUpMs(), book);
        broker.setObserver(accounts);
        return new AccountsPage(broker, accounts, book);
    }

    /** Records in a folder from now on; what is logged and counted is on the loop. */
    public void record(Path folder, String gateway, Counters counters, Consumer<Runnable> loop, Consumer<String> log) {
        records = AccountsLog.onDisk(
                folder,
                new AccountsRecord.Names(
                        gateway,
                        settings.get().classes().stream().map(c -> c.name()).toList(),
                        settings.get().plans().stream().map(p -> p.name()).toList()),
                counters,
                loop,
                log);
        book.keep(records);
    }

    /** The end: what runs is recorded as over; goes on once it is written, or soon at the latest. */
    public void close(Consumer<Runnable> loop, Runnable then) {
        if (records == null) {
            then.run();
            return;
        }
        book.close();
        Thread thread = new Thread(
                () -> {
                    try {
                        records.close(LAST_WRITE_MS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    loop.accept(then);
                },
                "accounts-end");
        thread.setDaemon(true);
        thread.start();
    }

    /** The same accounts as metrics. */
    public MetricsPage metrics() {
        return new MetricsPage(settings, book, broker.requestCounts());
    }

    AccountsPage(Broker broker, Accounts accounts, Book book) {
        this.broker = broker;
        this.settings = broker::settings;
        this.accounts = accounts;
        this.book = book;
    }

    /** The minute that runs, the one before it, and the worst of the last seconds with their causes. */
    public String json(long nowUs) {
        JsonObject page = new JsonObject();
        page.addProperty("now_ms", nowUs / 1000);
        page.addProperty("unlinked_repeats", accounts.unlinkedRepeats());
        page.add("running_minute", minute(book.running()));
        page.add("last_minute", minute(book.last()));
        JsonArray worst = new JsonArray();
        book.seconds(nowUs).stream()
                .sorted(Comparator.comparingLong(Book.Second::waitUs).reversed())
                .limit(MOST_SECONDS)
                .forEach(second -> worst.add(second(second)));
        page.add("worst_seconds", worst);
        return page + "\n";
    }

    private JsonObject minute(Book.Minute minute) {
        JsonObject json = new JsonObject();
        if (minute == null) {
            return json;
        }
        json.addProperty("from_ms", minute.fromUs() / 1000);
        json.addProperty("requests", minute.requests());
        json.addProperty("served", minute.served());
        Ledger ledger = minute.ledger();
        json.addProperty("wait_ms", ledger.totalUs() / 1000.0);
        JsonObject kinds = new JsonObject();
        for (Cause.Kind kind : Cause.Kind.values()) {
            kinds.addProperty(kind.name().toLowerCase(java.util.Locale.ROOT) + "_ms", ledger.us(kind) / 1000.0);
        }
        json.add("by_kind", kinds);
        JsonArray who = new JsonArray();
        List<Ledger.Entry> entries = ledger.entries();
        entries.stream().limit(MOST_ENTRIES).forEach(entry -> who.add(entry(entry)));
        json.add("who_waited_for_whom", who);
        json.addProperty("cells_left_out", Math.max(0, entries.size() - MOST_ENTRIES));
        json.addProperty("cells_pushed_out", ledger.pushedOut());
        JsonArray phases = new JsonArray();
        for (Book.Group group : minute.groups()) {
            JsonObject of = new JsonObject();
            if (group.node() >= 0) {
                of.addProperty("node", String.format("%08x", group.node()));
            } else if (group.requestClass() >= 0) {
                of.addProperty(
                        "class",
                        settings.get().classes().get(group.requestClass()).name());
                of.addProperty("plan", settings.get().plans().get(group.plan()).name());
            } else {
                of.addProperty("others", true);
            }
            for (Book.Phase phase : Book.Phase.values()) {
                Book.Percentiles p = minute.percentiles(group, phase);
                JsonObject one = new JsonObject();
                one.addProperty("count", p.count());
                one.addProperty("p50_ms", p.p50() / 1000.0);
                one.addProperty("p90_ms", p.p90() / 1000.0);
                one.addProperty("p99_ms", p.p99() / 1000.0);
                one.addProperty("max_ms", p.max() / 1000.0);
                of.add(phase.name().toLowerCase(java.util.Locale.ROOT), one);
            }
            phases.add(of);
        }
        json.add("phases", phases);
        return json;
    }

    private JsonObject second(Book.Second second) {
        JsonObject json = new JsonObject();
        json.addProperty("second", second.second());
        json.addProperty("requests", second.requests());
        json.addProperty("wait_ms", second.waitUs() / 1000.0);
        JsonArray causes = new JsonArray();
        second.causes().stream().limit(MOST_CAUSES).forEach(entry -> causes.add(entry(entry)));
        json.add("causes", causes);
        return json;
    }

    private JsonObject entry(Ledger.Entry entry) {
        JsonObject json = new JsonObject();
        Ledger.Cell cell = entry.cell();
        json.addProperty("node", String.format("%08x", cell.node()));
        json.addProperty("volume", String.format("%016x", cell.volume()));
        json.addProperty(
                "class", settings.get().classes().get(cell.requestClass()).name());
        json.addProperty("cause", cell.cause().kind().name().toLowerCase(java.util.Locale.ROOT));
        if (cell.cause().kind() == Cause.Kind.WORK) {
            json.addProperty("cause_volume", String.format("%016x", cell.cause().volume()));
            json.addProperty(
                    "cause_class",
                    settings.get().classes().get(cell.cause().requestClass()).name());
        }
        json.addProperty("ms", entry.us() / 1000.0);
        json.addProperty("over_by_at_most_ms", entry.overUs() / 1000.0);
        return json;
    }
}
