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
import petrelstand.members.FleetVisibility;
import petrelstand.members.Member;
import petrelstand.members.MemberState;
import petrelstand.members.Membership;
import petrelstand.members.MembershipTiming;
import petrelstand.members.Message.Envelope;
import petrelstand.members.ViewChange;
import petrelstand.store.DiskFolder;
import petrelstand.store.Incarnations;

/**
 * A gateway as a member of its fleet: the module of {@code members} on the gateway's loop, clock and timers, with the
 * datagrams, the kept incarnation, the history and the pages round it. All methods but {@link #open} are for the loop's
 * thread.
 */
public final class FleetService implements Membership.Callbacks {
    /** A folder that has not answered by then is done without. */
    static final long OPEN_MS = 1_000;

    private static final long WALL_US = 1000;

    /** Makes the module; the usual one, but for tests that plant a defect in theirs. */
    public interface MembershipFactory {
        Membership create(
                long nowUs,
                String fleet,
                Member self,
                List<String> seeds,
                int size,
                MembershipTiming timing,
                long seed,
                Membership.Callbacks actions);
    }

    private static MembershipFactory maker = Membership::new;
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
    private Membership membership;
    private long incarnation;
    private DiskFolder folder;
    private Runnable atLeft;
    private volatile long viewVersion;
    private long bytesSent;

    /** A member as the operator's file says; its name is the gateway's where the file gives none. */
    public FleetService(
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
    public static void overrideForTesting(MembershipFactory module, LongSupplier wall) {
        maker = module;
        wallMs = wall;
    }

    /**
     * Binds its address, which ends the start where it is taken, and reads the kept incarnation, before the loop runs.
     */
    public void open() throws IOException {
        try {
            link = new Link(config.listen(), config.keys(), loop, this::receive, this::incrementCounter);
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
        String build = FleetService.class.getPackage().getImplementationVersion();
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
        membership = maker.create(
                nowUs.getAsLong(), config.fleet(), self, config.seeds(), config.size(), config.timing(), seed, this);
        log.accept("joining " + config.fleet() + " as " + name + ", incarnation " + incarnation + ", on "
                + config.listen());
        recordEvent("started", about(self));
        link.start();
        tick();
    }

    private void tick() {
        membership.tick(nowUs.getAsLong());
        if (membership.hasLeft()) {
            left();
        } else {
            timers.schedule(nowUs.getAsLong() + MembershipTiming.TICK_INTERVAL_US, this::tick);
        }
    }

    private void receive(Envelope envelope) {
        if (membership != null) {
            counters.increment("fleet.taken");
            membership.receive(nowUs.getAsLong(), envelope);
        }
    }

    /** Tells the others that this gateway ends, in a quarter of a second, while it drains. */
    public void leave() {
        if (membership != null) {
            membership.leave(nowUs.getAsLong());
        }
    }

    /** Goes on once the others are told. */
    public void afterLeaving(Runnable then) {
        if (membership == null || membership.hasLeft()) {
            then.run();
        } else {
            atLeft = then;
        }
    }

    private void left() {
        recordEvent("ended", new JsonObject());
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
    public void setRulesHandler(Consumer<byte[]> to) {
        link.rules(to);
    }

    /** Sends a content about rules, on the loop; it may get lost. */
    public void sendRulesMessage(String address, byte[] content) {
        counters.increment("rules.sent");
        bytesSent += link.send(address, Seal.RULES, content);
    }

    /** Where a member is reached, also one that is held to be gone: it may be there all the same; null if unknown. */
    public String addressOf(String member) {
        return membership == null ? null : membership.addressOf(member);
    }

    /** This gateway's name in the fleet. */
    public String name() {
        return name;
    }

    public FleetConfig config() {
        return config;
    }

    /** Adds a line to the history, where one is kept. */
    public void recordEvent(String event, JsonObject line) {
        if (history != null) {
            if (!line.has("process")) {
                line.addProperty("process", name);
            }
            history.add(event, line);
        }
    }

    /** The view's version, from any thread. */
    public long viewVersion() {
        return viewVersion;
    }

    public Membership membership() {
        return membership;
    }

    // ---- What the module asks for ----

    @Override
    public void send(String address, Envelope message) {
        counters.increment("fleet.sent");
        bytesSent += link.send(address, message);
    }

    @Override
    public void onViewChanged(ViewChange change) {
        viewVersion = change.viewVersion();
        Member member = change.member();
        String to = member.state().name().toLowerCase(java.util.Locale.ROOT);
        log.accept((member.name().equals(name) ? "this gateway" : "member " + member.name()) + ": " + to + ", "
                + member.address() + ", " + change.cause() + "; view " + change.viewVersion());
        JsonObject line = about(member);
        line.addProperty("version", change.viewVersion());
        line.addProperty(
                "from",
                change.previousState() == null ? "" : change.previousState().name());
        line.addProperty("cause", change.cause());
        recordEvent("view", line);
    }

    private JsonObject about(Member member) {
        JsonObject line = new JsonObject();
        line.addProperty("process", name);
        line.addProperty("member", member.name());
        line.addProperty("boot", Long.toHexString(member.bootId()));
        line.addProperty("incarnation", member.incarnation());
        line.addProperty("state", member.state().name());
        line.addProperty("address", member.address());
        return line;
    }

    @Override
    public void onVisibilityChanged(FleetVisibility standing) {
        counters.increment("fleet.standing");
        log.accept("sees " + standing.visibleMembers() + " of " + standing.agreedSize() + ": "
                + standing.reach().name().toLowerCase(java.util.Locale.ROOT));
        JsonObject line = new JsonObject();
        line.addProperty("reach", standing.reach().name());
        line.addProperty("seen", standing.visibleMembers());
        line.addProperty("of", standing.agreedSize());
        line.addProperty("digest", membership == null ? "" : Long.toHexString(membership.digest()));
        recordEvent("standing", line);
    }

    @Override
    public void onStall(long us) {
        JsonObject line = new JsonObject();
        line.addProperty("us", us);
        recordEvent("stalled", line);
    }

    @Override
    public void incrementCounter(String what) {
        counters.increment(what);
    }

    @Override
    public void logMessage(String line) {
        log.accept(line);
        JsonObject said = new JsonObject();
        said.addProperty("line", line);
        recordEvent("said", said);
    }

    // ---- Pages ----

    /** The view as JSON, for {@code GET /members}. */
    public String membersJson() {
        JsonObject page = new JsonObject();
        long now = nowUs.getAsLong();
        page.addProperty("fleet", config.fleet());
        page.addProperty("name", name);
        page.addProperty("version", membership.viewVersion());
        page.addProperty("digest", String.format("%016x", membership.digest()));
        JsonArray parts = new JsonArray();
        membership.digestBuckets().forEach(part -> parts.add(String.format("%016x", part)));
        page.add("parts", parts);
        FleetVisibility standing = membership.visibility();
        JsonObject reach = new JsonObject();
        reach.addProperty("reach", standing.reach().name().toLowerCase(java.util.Locale.ROOT));
        reach.addProperty("seen", standing.visibleMembers());
        reach.addProperty("of", standing.agreedSize());
        reach.addProperty("for_ms", (now - standing.sinceUs()) / 1000);
        page.add("standing", reach);
        JsonArray members = new JsonArray();
        for (Membership.MemberStatus line : membership.members()) {
            Member member = line.member();
            JsonObject one = new JsonObject();
            one.addProperty("name", member.name());
            one.addProperty("state", member.state().name().toLowerCase(java.util.Locale.ROOT));
            one.addProperty("address", member.address());
            one.addProperty("incarnation", member.incarnation());
            one.addProperty("life", String.format("%016x", member.bootId()));
            one.addProperty("for_ms", (now - line.stateSinceUs()) / 1000);
            one.addProperty("cause", line.cause());
            one.addProperty("watched_here", line.watched());
            if (line.watched()) {
                one.addProperty("silent_ms", (now - line.lastHeardUs()) / 1000);
                one.addProperty("through_others", line.heardThroughRelay());
            }
            one.addProperty("program", member.programVersion());
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
    public Map<String, Double> memberCountsByState() {
        Map<String, Double> figures = new java.util.TreeMap<>();
        for (MemberState state : MemberState.values()) {
            figures.put(state.name().toLowerCase(java.util.Locale.ROOT), 0.0);
        }
        membership
                .members()
                .forEach(line -> figures.merge(
                        line.member().state().name().toLowerCase(java.util.Locale.ROOT), 1.0, Double::sum));
        return figures;
    }

    /** Bytes of datagrams sent. */
    public long bytesSent() {
        return bytesSent;
    }

    /** The counters' names that begin with {@code fleet.}, for metrics. */
    public Counters counters() {
        return counters;
    }
}
