package petrelstand.fleet;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import petrelstand.config.FleetConfig;
import petrelstand.core.Counters;
import petrelstand.core.Timers;
import petrelstand.members.Change;
import petrelstand.members.Member;
import petrelstand.members.MemberState;
import petrelstand.members.Membership;
import petrelstand.members.Message.Envelope;
import petrelstand.members.Standing;
import petrelstand.members.Timing;
import petrelstand.store.DiskFolder;
import petrelstand.store.Incarnations;

/**
 * A gateway as a member of its fleet: the module of {@code members} on the gateway's loop, clock and timers, with the
 * datagrams, the kept incarnation, the history and the pages round it. All methods but {@link #open} are for the loop's
 * thread.
 */
public final class Fleet implements Membership.Actions {
    /** A folder that has not answered by then is done without. */
    static final long OPEN_MS = 1_000;

    private static final long WALL_US = 1000;

    /** Makes the module; the usual one, but for tests that plant a defect in theirs. */
    public interface Maker {
        Membership make(
                long nowUs,
                String fleet,
                Member self,
                List<String> seeds,
                int size,
                Timing timing,
                long seed,
                Membership.Actions actions);
    }

    private static Maker maker = Membership::new;
    private static LongSupplier wallMs = System::currentTimeMillis;

    private final FleetConfig config;
    private final String name;
    private final long seed;
    private final Timers timers;
    private final LongSupplier nowUs;
    private final Executor loop;
    private final Counters counters;
    private final Consumer<String> log;
    private Link link;
    private History history;
    private Membership module;
    private long incarnation;
    private DiskFolder folder;
    private Runnable atLeft;
    private volatile long version;
    private long bytesOut;

    /** A member as the operator's file says; its name is the gateway's where the file gives none. */
    public Fleet(
            FleetConfig config,
            String gateway,
            long seed,
            Timers timers,
            LongSupplier nowUs,
            Executor loop,
            Counters counters,
            Consumer<String> log) {
        this.config = config;
        this.name = config.name() == null ? gateway : config.name();
        this.seed = seed;
        this.timers = timers;
        this.nowUs = nowUs;
        this.loop = loop;
        this.counters = counters;
        this.log = line -> log.accept("fleet: " + line);
    }

    /** For the laboratory and tests, before a start: another module, and a wall clock that is off. */
    public static void in(Maker module, LongSupplier wall) {
        maker = module;
        wallMs = wall;
    }

    /**
     * Binds its address, which ends the start where it is taken, and reads the kept incarnation, before the loop runs.
     */
    public void open() throws IOException {
        try {
            link = new Link(config.listen(), config.keys(), loop, this::receive, this::count);
        } catch (IOException e) {
            throw new IOException("cannot listen on " + config.listen() + " for the fleet: " + e.getMessage(), e);
        }
        incarnation = wallMs.getAsLong() * WALL_US;
        if (config.folder() != null) {
            FutureTask<Long> kept = new FutureTask<>(() -> {
                folder = new DiskFolder(config.folder());
                return Incarnations.begin(folder, incarnation, log);
            });
            Thread thread = new Thread(kept, "fleet-folder");
            thread.setDaemon(true);
            thread.start();
            try {
                incarnation = kept.get(OPEN_MS, TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                log.accept("the folder did not answer in " + OPEN_MS + " ms; the incarnation is not kept");
            } catch (ExecutionException e) {
                log.accept("the incarnation is not kept: " + e.getCause().getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (config.history() != null) {
            history = new History(config.history(), log);
        }
    }

    /** Becomes a member. */
    public void start() {
        String build = Fleet.class.getPackage().getImplementationVersion();
        Member self = new Member(
                name,
                new SecureRandom().nextLong(),
                incarnation,
                config.advertise(),
                MemberState.JOINING,
                "",
                wallMs.getAsLong(),
                build == null ? "unpacked" : build,
                config.abilities());
        module = maker.make(
                nowUs.getAsLong(), config.fleet(), self, config.seeds(), config.size(), config.timing(), seed, this);
        log.accept("joining " + config.fleet() + " as " + name + ", incarnation " + incarnation + ", on "
                + config.listen());
        note("started", about(self));
        link.start();
        tick();
    }

    private void tick() {
        module.tick(nowUs.getAsLong());
        if (module.ended()) {
            left();
        } else {
            timers.schedule(nowUs.getAsLong() + Timing.TICK_US, this::tick);
        }
    }

    private void receive(Envelope envelope) {
        if (module != null) {
            counters.increment("fleet.taken");
            module.receive(nowUs.getAsLong(), envelope);
        }
    }

    /** Tells the others that this gateway ends, in a quarter of a second, while it drains. */
    public void leave() {
        if (module != null) {
            module.leave(nowUs.getAsLong());
        }
    }

    /** Goes on once the others are told. */
    public void afterLeaving(Runnable then) {
        if (module == null || module.ended()) {
            then.run();
        } else {
            atLeft = then;
        }
    }

    private void left() {
        note("ended", new JsonObject());
        if (history != null) {
            try {
                history.flush();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (atLeft != null) {
            atLeft.run();
        }
    }

    /** Takes what may change while it runs: the keys. */
    public void reload(FleetConfig changed) {
        link.keys(changed.keys());
        boolean other = !changed.listen().equals(config.listen())
                || !changed.seeds().equals(config.seeds())
                || !changed.fleet().equals(config.fleet())
                || changed.size() != config.size();
        log.accept("the keys were read anew, " + changed.keys().size() + " are good"
                + (other ? "; only a restart takes the rest of [fleet]" : ""));
    }

    /** Takes what comes about rules from now on, on the link's thread; after {@link #open}. */
    public void rules(Consumer<byte[]> to) {
        link.rules(to);
    }

    /** Sends a content about rules, on the loop; it may get lost. */
    public void sendRules(String address, byte[] content) {
        counters.increment("rules.sent");
        bytesOut += link.send(address, Seal.RULES, content);
    }

    /** Where a member is reached, also one that is held to be gone: it may be there all the same; null if unknown. */
    public String addressOf(String member) {
        return module == null ? null : module.addressOf(member);
    }

    /** This gateway's name in the fleet. */
    public String name() {
        return name;
    }

    public FleetConfig config() {
        return config;
    }

    /** Adds a line to the history, where one is kept. */
    public void note(String event, JsonObject line) {
        if (history != null) {
            if (!line.has("process")) {
                line.addProperty("process", name);
            }
            history.add(event, line);
        }
    }

    /** The view's version, from any thread. */
    public long version() {
        return version;
    }

    public Membership module() {
        return module;
    }

    // ---- What the module asks for ----

    @Override
    public void send(String address, Envelope message) {
        counters.increment("fleet.sent");
        bytesOut += link.send(address, message);
    }

    @Override
    public void changed(Change change) {
        version = change.version();
        Member member = change.member();
        String to = member.state().name().toLowerCase(java.util.Locale.ROOT);
        log.accept((member.name().equals(name) ? "this gateway" : "member " + member.name()) + ": " + to + ", "
                + member.address() + ", " + change.cause() + "; view " + change.version());
        JsonObject line = about(member);
        line.addProperty("version", change.version());
        line.addProperty("from", change.from() == null ? "" : change.from().name());
        line.addProperty("cause", change.cause());
        note("view", line);
    }

    private JsonObject about(Member member) {
        JsonObject line = new JsonObject();
        line.addProperty("process", name);
        line.addProperty("member", member.name());
        line.addProperty("boot", Long.toHexString(member.boot()));
        line.addProperty("incarnation", member.incarnation());
        line.addProperty("state", member.state().name());
        line.addProperty("address", member.address());
        return line;
    }

    @Override
    public void standing(Standing standing) {
        counters.increment("fleet.standing");
        log.accept("sees " + standing.seen() + " of " + standing.of() + ": "
                + standing.reach().name().toLowerCase(java.util.Locale.ROOT));
        JsonObject line = new JsonObject();
        line.addProperty("reach", standing.reach().name());
        line.addProperty("seen", standing.seen());
        line.addProperty("of", standing.of());
        line.addProperty("digest", module == null ? "" : Long.toHexString(module.digest()));
        note("standing", line);
    }

    @Override
    public void stalled(long us) {
        JsonObject line = new JsonObject();
        line.addProperty("us", us);
        note("stalled", line);
    }

    @Override
    public void count(String what) {
        counters.increment(what);
    }

    @Override
    public void say(String line) {
        log.accept(line);
        JsonObject said = new JsonObject();
        said.addProperty("line", line);
        note("said", said);
    }

    // ---- Pages ----

    /** The view as JSON, for {@code GET /members}. */
    public String page() {
        JsonObject page = new JsonObject();
        long now = nowUs.getAsLong();
        page.addProperty("fleet", config.fleet());
        page.addProperty("name", name);
        page.addProperty("version", module.version());
        page.addProperty("digest", String.format("%016x", module.digest()));
        JsonArray parts = new JsonArray();
        module.parts().forEach(part -> parts.add(String.format("%016x", part)));
        page.add("parts", parts);
        Standing standing = module.standing();
        JsonObject reach = new JsonObject();
        reach.addProperty("reach", standing.reach().name().toLowerCase(java.util.Locale.ROOT));
        reach.addProperty("seen", standing.seen());
        reach.addProperty("of", standing.of());
        reach.addProperty("for_ms", (now - standing.sinceUs()) / 1000);
        page.add("standing", reach);
        JsonArray members = new JsonArray();
        for (Membership.Line line : module.view()) {
            Member member = line.member();
            JsonObject one = new JsonObject();
            one.addProperty("name", member.name());
            one.addProperty("state", member.state().name().toLowerCase(java.util.Locale.ROOT));
            one.addProperty("address", member.address());
            one.addProperty("incarnation", member.incarnation());
            one.addProperty("life", String.format("%016x", member.boot()));
            one.addProperty("for_ms", (now - line.sinceUs()) / 1000);
            one.addProperty("cause", line.cause());
            one.addProperty("watched_here", line.watched());
            if (line.watched()) {
                one.addProperty("silent_ms", (now - line.heardUs()) / 1000);
                one.addProperty("through_others", line.relayed());
            }
            one.addProperty("program", member.version());
            one.addProperty("started_ms", member.startMs());
            JsonArray can = new JsonArray();
            member.abilities().forEach(can::add);
            one.add("can", can);
            members.add(one);
        }
        page.add("members", members);
        return page.toString();
    }

    /** Figures for metrics: members by state, the standing, and bytes sent. */
    public Map<String, Double> figures() {
        Map<String, Double> figures = new java.util.TreeMap<>();
        for (MemberState state : MemberState.values()) {
            figures.put(state.name().toLowerCase(java.util.Locale.ROOT), 0.0);
        }
        module.view()
                .forEach(line -> figures.merge(
                        line.member().state().name().toLowerCase(java.util.Locale.ROOT), 1.0, Double::sum));
        return figures;
    }

    /** Bytes of datagrams sent. */
    public long bytesOut() {
        return bytesOut;
    }

    /** The counters' names that begin with {@code fleet.}, for metrics. */
    public Counters counters() {
        return counters;
    }
}
