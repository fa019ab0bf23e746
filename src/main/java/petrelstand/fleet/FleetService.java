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
import petrelstand.core.LoopMonitor;
import petrelstand.core.Timers;
import petrelstand.members.FleetVisibility;
import petrelstand.members.Member;
import petrelstand.members.MemberState;
import petrelstand.members.Membership;
import petrelstand.members.MembershipTiming;
import petrelstand.members.Message.Envelope;
import petrelstand.members.ViewChange;
import petrelstand.store.DiskFolder;
import petrelstand.store.IncarnationFile;

/**
 * Runs {@link Membership} in a gateway: on its event loop, clock and timers, over UDP, with the stored incarnation, the
 * history file and the members page. All methods must be called on the event loop, except {@link #open} before the loop
 * runs and {@link #viewVersion} from any thread.
 */
public final class FleetService implements Membership.Callbacks {
    /** Maximum time to wait for the folder that stores the incarnation. */
    static final long FOLDER_TIMEOUT_MS = 1_000;

    private static final long MICROS_PER_MILLI = 1000;
    /** Iterations of the loop after a stall whose messages are recorded in the history. */
    private static final int ITERATIONS_RECORDED_AFTER_STALL = 5;

    /** Creates the membership protocol; tests supply defective ones. */
    public interface MembershipFactory {
        Membership create(
                long nowUs,
                String fleet,
                Member self,
                List<String> seeds,
                int fleetSize,
                MembershipTiming timing,
                long seed,
                Membership.Callbacks callbacks);
    }

    private static MembershipFactory membershipFactory = Membership::new;
    private static LongSupplier wallClockMs = System::currentTimeMillis;

    private final FleetConfig config;
    private final String name;
    private final long seed;
    private final Timers timers;
    private final LongSupplier nowUs;
    private final LoopMonitor loopMonitor;
    private final Executor loop;
    private final Counters counters;
    private final Consumer<String> log;
    private DatagramTransport transport;
    private HistoryWriter history;
    private Membership membership;
    private long incarnation;
    private DiskFolder folder;
    private Runnable onLeft;
    private volatile long viewVersion;
    private long bytesSent;
    /** Number of the iteration from which on messages are no longer recorded. */
    private long messagesRecordedUntil;

    /**
     * Creates the service; {@link #open} and {@link #start} set it running.
     *
     * @param gatewayName this gateway's name in the fleet if the settings give none
     * @param seed seed of the protocol's random decisions
     * @param loopMonitor counts the loop's iterations and reports its stalls
     * @param loop executes tasks on the event loop
     */
    public FleetService(
            FleetConfig config,
            String gatewayName,
            long seed,
            Timers timers,
            LongSupplier nowUs,
            LoopMonitor loopMonitor,
            Executor loop,
            Counters counters,
            Consumer<String> log) {
        this.config = config;
        this.name = config.memberName() == null ? gatewayName : config.memberName();
        this.seed = seed;
        this.timers = timers;
        this.nowUs = nowUs;
        this.loopMonitor = loopMonitor;
        this.loop = loop;
        this.counters = counters;
        this.log = line -> log.accept("fleet: " + line);
    }

    /** Replaces the membership protocol and the wall clock of services started later, for the laboratory and tests. */
    public static void overrideForTesting(MembershipFactory factory, LongSupplier clockMs) {
        membershipFactory = factory;
        wallClockMs = clockMs;
    }

    /**
     * Binds the UDP address and reads the stored incarnation. A folder that fails or is slow is logged and ignored.
     *
     * @throws IOException if the address cannot be bound or the history file cannot be opened
     */
    public void open() throws IOException {
        try {
            transport = new DatagramTransport(
                    config.listenAddress(), config.keys(), loop, this::receive, this::incrementCounter);
        } catch (IOException e) {
            throw new IOException(
                    "cannot listen on " + config.listenAddress() + " for the fleet: " + e.getMessage(), e);
        }
        incarnation = wallClockMs.getAsLong() * MICROS_PER_MILLI;
        if (config.incarnationFolder() != null) {
            FutureTask<Long> keptIncarnation = new FutureTask<>(() -> {
                folder = new DiskFolder(config.incarnationFolder());
                return IncarnationFile.reserve(folder, incarnation, log);
            });
            Thread thread = new Thread(keptIncarnation, "fleet-folder");
            thread.setDaemon(true);
            thread.start();
            try {
                incarnation = keptIncarnation.get(FOLDER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                log.accept("the folder did not respond within " + FOLDER_TIMEOUT_MS
                        + " ms; continuing without storing the incarnation");
            } catch (ExecutionException e) {
                log.accept("cannot store the incarnation, continuing without it: "
                        + e.getCause().getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (config.historyFile() != null) {
            history = new HistoryWriter(config.historyFile(), log);
        }
    }

    /** Starts receiving messages and joins the fleet. */
    public void start() {
        String build = FleetService.class.getPackage().getImplementationVersion();
        Member self = new Member(
                name,
                new SecureRandom().nextLong(),
                incarnation,
                config.advertisedAddress(),
                MemberState.JOINING,
                "",
                wallClockMs.getAsLong(),
                build == null ? "unpacked" : build,
                config.abilities());
        membership = membershipFactory.create(
                nowUs.getAsLong(),
                config.fleetName(),
                self,
                config.seedAddresses(),
                config.expectedSize(),
                config.timing(),
                seed,
                this);
        log.accept("joining " + config.fleetName() + " as " + name + ", incarnation " + incarnation + ", listening on "
                + config.listenAddress());
        recordEvent("started", memberJson(self));
        transport.start();
        loopMonitor.addStallListener(this::loopStalled);
        tick();
    }

    private void loopStalled(long stallEndUs, long durationUs) {
        messagesRecordedUntil = loopMonitor.iterations() + ITERATIONS_RECORDED_AFTER_STALL;
        membership.detectStall(stallEndUs);
    }

    private void tick() {
        membership.tick(nowUs.getAsLong());
        if (membership.hasLeft()) {
            finishLeaving();
        } else {
            timers.schedule(nowUs.getAsLong() + MembershipTiming.TICK_INTERVAL_US, this::tick);
        }
    }

    private void receive(Envelope envelope) {
        if (membership != null) {
            counters.increment("fleet.taken");
            recordMessage(
                    "received",
                    envelope.senderName(),
                    envelope.message().getClass().getSimpleName());
            membership.receive(nowUs.getAsLong(), envelope);
        }
    }

    /** Starts a graceful leave, which goes on while this gateway drains. */
    public void leave() {
        if (membership != null) {
            membership.leave(nowUs.getAsLong());
        }
    }

    /** Runs an action once the leave is complete, or at once if there is nothing to wait for. */
    public void afterLeaving(Runnable action) {
        if (membership == null || membership.hasLeft()) {
            action.run();
        } else {
            onLeft = action;
        }
    }

    private void finishLeaving() {
        recordEvent("ended", new JsonObject());
        if (history != null) {
            try {
                history.flush();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (onLeft != null) {
            onLeft.run();
        }
    }

    /** Applies changed settings; only the keys can change without a restart. */
    public void reload(FleetConfig changed) {
        transport.setKeys(changed.keys());
        boolean needsRestart = !changed.listenAddress().equals(config.listenAddress())
                || !changed.seedAddresses().equals(config.seedAddresses())
                || !changed.fleetName().equals(config.fleetName())
                || changed.expectedSize() != config.expectedSize();
        log.accept("reloaded the keys, " + changed.keys().size() + " valid"
                + (needsRestart ? "; other changes to [fleet] need a restart" : ""));
    }

    /**
     * Sets the handler of rules messages, which is called on the receiving thread; must be called after {@link #open}.
     */
    public void setRulesHandler(Consumer<byte[]> handler) {
        transport.setRulesHandler(handler);
    }

    /** Sends a rules message, which may get lost. */
    public void sendRulesMessage(String address, byte[] content) {
        counters.increment("rules.sent");
        recordMessage("sent", address, "rules");
        bytesSent += transport.send(address, DatagramAuthenticator.RULES_MAGIC, content);
    }

    /** Address of a member, including one that counts as gone, or null if it is unknown. */
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

    /** Appends an event to the history file, if there is one. */
    public void recordEvent(String event, JsonObject line) {
        if (history != null) {
            if (!line.has("process")) {
                line.addProperty("process", name);
            }
            line.addProperty("turn", loopMonitor.iterations());
            history.append(event, line);
        }
    }

    /**
     * Appends a message to the history file if it belongs to one of the first iterations after a stall of the loop.
     *
     * @param event {@code received} or {@code sent}
     * @param peer name of the sender, or address of the recipient
     * @param message kind of the message
     */
    public void recordMessage(String event, String peer, String message) {
        if (history != null && loopMonitor.iterations() < messagesRecordedUntil) {
            JsonObject line = new JsonObject();
            line.addProperty("peer", peer);
            line.addProperty("message", message);
            recordEvent(event, line);
        }
    }

    /** Version of the view; may be called from any thread. */
    public long viewVersion() {
        return viewVersion;
    }

    /** The membership protocol; null before {@link #start}. */
    public Membership membership() {
        return membership;
    }

    // ---- Callbacks of the protocol ----

    @Override
    public void send(String address, Envelope message) {
        counters.increment("fleet.sent");
        recordMessage("sent", address, message.message().getClass().getSimpleName());
        bytesSent += transport.send(address, message);
    }

    @Override
    public void onViewChanged(ViewChange change) {
        viewVersion = change.viewVersion();
        Member member = change.member();
        String newState = member.state().name().toLowerCase(java.util.Locale.ROOT);
        log.accept((member.name().equals(name) ? "this gateway" : "member " + member.name()) + ": " + newState + ", "
                + member.address() + ", " + change.cause() + "; view " + change.viewVersion());
        JsonObject line = memberJson(member);
        line.addProperty("version", change.viewVersion());
        line.addProperty(
                "from",
                change.previousState() == null ? "" : change.previousState().name());
        line.addProperty("cause", change.cause());
        recordEvent("view", line);
    }

    private JsonObject memberJson(Member member) {
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
    public void onVisibilityChanged(FleetVisibility visibility) {
        counters.increment("fleet.standing");
        log.accept("sees " + visibility.visibleMembers() + " of " + visibility.agreedSize() + ": "
                + visibility.reach().name().toLowerCase(java.util.Locale.ROOT));
        JsonObject line = new JsonObject();
        line.addProperty("reach", visibility.reach().name());
        line.addProperty("seen", visibility.visibleMembers());
        line.addProperty("of", visibility.agreedSize());
        line.addProperty("digest", membership == null ? "" : Long.toHexString(membership.digest()));
        recordEvent("standing", line);
    }

    @Override
    public void onStall(long durationUs) {
        JsonObject line = new JsonObject();
        line.addProperty("us", durationUs);
        recordEvent("stalled", line);
    }

    @Override
    public void incrementCounter(String counterName) {
        counters.increment(counterName);
    }

    @Override
    public void logMessage(String line) {
        log.accept(line);
        JsonObject fields = new JsonObject();
        fields.addProperty("line", line);
        recordEvent("said", fields);
    }

    // ---- Members page and metrics ----

    /** The view as JSON, the body of {@code GET /members}. */
    public String membersJson() {
        JsonObject page = new JsonObject();
        long now = nowUs.getAsLong();
        page.addProperty("fleet", config.fleetName());
        page.addProperty("name", name);
        page.addProperty("version", membership.viewVersion());
        page.addProperty("digest", String.format("%016x", membership.digest()));
        JsonArray buckets = new JsonArray();
        membership.digestBuckets().forEach(bucket -> buckets.add(String.format("%016x", bucket)));
        page.add("parts", buckets);
        FleetVisibility visibility = membership.visibility();
        JsonObject visibilityJson = new JsonObject();
        visibilityJson.addProperty("reach", visibility.reach().name().toLowerCase(java.util.Locale.ROOT));
        visibilityJson.addProperty("seen", visibility.visibleMembers());
        visibilityJson.addProperty("of", visibility.agreedSize());
        visibilityJson.addProperty("for_ms", (now - visibility.sinceUs()) / 1000);
        page.add("standing", visibilityJson);
        JsonArray members = new JsonArray();
        for (Membership.MemberStatus status : membership.members()) {
            Member member = status.member();
            JsonObject memberJson = new JsonObject();
            memberJson.addProperty("name", member.name());
            memberJson.addProperty("state", member.state().name().toLowerCase(java.util.Locale.ROOT));
            memberJson.addProperty("address", member.address());
            memberJson.addProperty("incarnation", member.incarnation());
            memberJson.addProperty("life", String.format("%016x", member.bootId()));
            memberJson.addProperty("for_ms", (now - status.stateSinceUs()) / 1000);
            memberJson.addProperty("cause", status.cause());
            memberJson.addProperty("watched_here", status.watched());
            if (status.watched()) {
                memberJson.addProperty("silent_ms", (now - status.lastHeardUs()) / 1000);
                memberJson.addProperty("through_others", status.heardThroughRelay());
            }
            memberJson.addProperty("program", member.programVersion());
            memberJson.addProperty("started_ms", member.startMs());
            JsonArray abilities = new JsonArray();
            member.abilities().forEach(abilities::add);
            memberJson.add("can", abilities);
            members.add(memberJson);
        }
        page.add("members", members);
        return page.toString();
    }

    /** Number of known members in each state, by its name in lower case. */
    public Map<String, Double> memberCountsByState() {
        Map<String, Double> counts = new java.util.TreeMap<>();
        for (MemberState state : MemberState.values()) {
            counts.put(state.name().toLowerCase(java.util.Locale.ROOT), 0.0);
        }
        membership
                .members()
                .forEach(status -> counts.merge(
                        status.member().state().name().toLowerCase(java.util.Locale.ROOT), 1.0, Double::sum));
        return counts;
    }

    /** Total bytes of the datagrams sent. */
    public long bytesSent() {
        return bytesSent;
    }

    /** The gateway's counters, those of the fleet among them. */
    public Counters counters() {
        return counters;
    }
}
