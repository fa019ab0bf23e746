package petrelstand;

import com.google.gson.JsonObject;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import petrelstand.agreement.LeaseGrantor;
import petrelstand.agreement.LeaseHolder;
import petrelstand.agreement.PlanLimiter;
import petrelstand.agreement.RuleRegistry;
import petrelstand.agreement.Rules;
import petrelstand.agreement.RulesFileProposer;
import petrelstand.agreement.RulesMessage;
import petrelstand.agreement.StaleFolderCheck;
import petrelstand.config.GatewayConfig;
import petrelstand.config.RsyncConfig;
import petrelstand.config.RulesConfig;
import petrelstand.config.RulesText;
import petrelstand.consensus.Envelope;
import petrelstand.consensus.QuorumRecovery;
import petrelstand.consensus.RaftFiles;
import petrelstand.consensus.RulesStatus;
import petrelstand.consensus.Voter;
import petrelstand.consensus.WireCodec;
import petrelstand.core.Broker;
import petrelstand.core.Counters;
import petrelstand.core.Node;
import petrelstand.core.Timers;
import petrelstand.fleet.FleetService;
import petrelstand.http.HttpFront;
import petrelstand.store.DiskFolder;
import petrelstand.store.KeptText;
import petrelstand.store.StateFault;

/**
 * The agreed rules' part of a gateway, put together: the holder on the loop, where decisions are made, and a voter,
 * where this gateway is one, on a thread of its own with its folder. Loaded only where the operator's file has
 * {@code [rules]}.
 */
final class RulesPart implements LeaseHolder.Actions, Voter.Callbacks, RaftNodeExecutor {
    private static final long TICK_US = 50_000;
    /** Parcels that wait for the loop or the voter; more are lost, as datagrams are. */
    private static final int MOST_WAITING = 512;

    private static final int MOST_VOTERS = 64;
    private static final String ASKER = "asker";
    private static final String PASSED_ON = "asker passed on";

    /** A voter that starts waits so long for the others to say how far they have heard it. */
    private static final long COPY_PATIENCE_US = 10_000_000;

    /** Makes the holder; the usual one, but for tests that plant a defect. */
    interface Maker {
        LeaseHolder holder(
                long nowUs,
                long life,
                RulesConfig config,
                long seed,
                Function<String, Rules> loader,
                LeaseHolder.Actions actions);
    }

    private final RulesConfig config;
    private final FleetService fleet;
    private final Broker broker;
    private final Timers timers;
    private final LongSupplier nowUs;
    private final Executor loop;
    private final Counters counters;
    private final Runnable ruled;
    private final Consumer<String> log;
    private final long seed;
    private final List<String> plans;
    private final boolean votes;
    private final AtomicInteger waiting = new AtomicInteger();
    private ScheduledThreadPoolExecutor thread;
    private RaftFiles files;
    private RulesFileProposer proposer;
    private String proposed;
    private KeptText kept;
    private LeaseHolder holder;
    private volatile Voter voter;
    private volatile RulesStatus.VoterStatus shown;
    private boolean left;
    /** How far each other voter's store was heard to be. */
    private final Map<String, Long> generations = new HashMap<>();

    private StaleFolderCheck copy;
    /**
     * The epoch that this gateway's folder has versions of, -1 for none, and whether a later one was heard to have
     * begun.
     */
    private long votedEpoch = -1;

    private boolean superseded;
    /** Ready to vote, and begins when a leader that was ordered to add it sends it something. */
    private boolean awaitsLeader;

    private long copyNonce;

    private static Maker maker = (now, life, config, seed, loader, act) ->
            new LeaseHolder(now, life, config.voters(), config.promise(), seed, loader, act);

    /** For tests, before a start: a holder with a planted defect. */
    static void in(Maker holders) {
        maker = holders;
    }

    RulesPart(
            RulesConfig config,
            GatewayConfig gateway,
            FleetService fleet,
            Broker broker,
            Timers timers,
            LongSupplier nowUs,
            Executor loop,
            Counters counters,
            Runnable ruled,
            Consumer<String> log) {
        this.config = config;
        this.fleet = fleet;
        this.broker = broker;
        this.timers = timers;
        this.nowUs = nowUs;
        this.loop = loop;
        this.counters = counters;
        this.ruled = ruled;
        this.log = line -> log.accept("rules: " + line);
        this.seed = gateway.seed();
        this.plans =
                gateway.settings().plans().stream().map(plan -> plan.name()).toList();
        this.votes = config.voters().contains(fleet.name()) || config.mayVote();
    }

    private Rules load(String text) {
        return RulesText.load("rules", text, plans);
    }

    /** Takes the folder; a voter without one, or with one that can't be trusted, does not vote, and says so. */
    void open() throws IOException {
        thread = new ScheduledThreadPoolExecutor(1, task -> {
            Thread made = new Thread(task, "rules");
            made.setDaemon(true);
            return made;
        });
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        if (config.folder() == null) {
            if (votes) {
                throw new IOException("[rules] folder is missing: a voter that forgets its votes may vote twice");
            }
            return;
        }
        try {
            DiskFolder folder = new DiskFolder(config.folder());
            files = new RaftFiles(folder, log);
            long newest = files.restoredState() == null
                    ? 0
                    : new QuorumRecovery(files).registry().newest();
            votedEpoch = newest == 0 ? -1 : RuleRegistry.epoch(newest);
            kept = new KeptText(folder, log);
        } catch (StateFault e) {
            log.accept("this gateway does not vote: " + config.folder() + ": " + e.getMessage());
            files = null;
        } catch (IOException e) {
            log.accept((votes ? "this gateway does not vote: " : "nothing is kept: ") + config.folder() + ": "
                    + e.getMessage());
            files = null;
        }
    }

    /** Begins to ask for leases, on the loop; a voter begins to vote. */
    void start(HttpFront front) {
        long now = nowUs.getAsLong();
        long life = new java.security.SecureRandom().nextLong();
        holder = maker.holder(now, life, config, seed, this::load, this);
        if (config.file() != null) {
            proposer = new RulesFileProposer(fleet.name(), "the file " + config.file(), holder, seed, new FromFile());
            proposed = config.text();
        }
        if (kept != null && kept.text() != null) {
            holder.restore(now, kept.version(), kept.text());
        }
        broker.setAdmissionControl(gate());
        fleet.setRulesHandler(this::arrived);
        if (votes && files != null) {
            copyNonce = life;
            copy = new StaleFolderCheck(now, config.voters().size(), files.generation(), COPY_PATIENCE_US);
            recall();
        }
        if (config.page()) {
            front.addPage("/rules", () -> RulesStatus.toJson(fleet.name(), nowUs.getAsLong(), holder, shown));
        }
        tick();
    }

    /** Asks the other voters how far they have heard this one, until it may vote or must not. */
    private void recall() {
        switch (left || superseded ? StaleFolderCheck.Verdict.REFUSE : copy.verdict(nowUs.getAsLong())) {
            case VOTE -> {
                if (copy.answerCount() < copy.requiredAnswers()) {
                    log.accept("votes though only " + copy.answerCount() + " other voters answered in "
                            + COPY_PATIENCE_US / 1_000_000 + " s: where its folder is an old copy, that is not known");
                }
                // One that is none of the first voters and was not added yet would only call elections that it can't
                // win.
                awaitsLeader = !config.voters().contains(fleet.name()) && files.restoredState() == null;
                if (!awaitsLeader) {
                    execute(this::vote);
                }
            }
            case REFUSE -> {
                if (!left && !superseded) {
                    log.accept("this gateway does not vote: its folder is an old copy, written " + files.generation()
                            + " times where others have heard of " + copy.highestGeneration());
                }
            }
            default -> {
                for (String name : config.voters()) {
                    if (!name.equals(fleet.name())) {
                        post(name, heardEpoch(), null, new RulesMessage.GenerationQuery(copyNonce));
                    }
                }
                timers.schedule(nowUs.getAsLong() + 2 * TICK_US, this::recall);
            }
        }
    }

    private petrelstand.core.AdmissionControl gate() {
        PlanLimiter limits = new PlanLimiter(holder, plans, broker.settings().mostUnits());
        return (demand, now) -> limits.takeOrDelayUs(now, demand.planIndex(), demand.units());
    }

    private void vote() {
        voter = new Voter(
                fleet.name(),
                config.voters(),
                config.promise(),
                files,
                LeaseGrantor::new,
                this,
                this::monotonicUs,
                seed,
                this::load,
                this);
        voter.start();
        thread.scheduleWithFixedDelay(this::turn, TICK_US, TICK_US, TimeUnit.MICROSECONDS);
    }

    private void turn() {
        try {
            if (voter != null) {
                voter.tick();
                stateChanged();
            }
        } catch (RuntimeException e) {
            log.accept("the voter's turn failed: " + e);
        }
    }

    /** The voter's own clock: monotonic, and read by its own thread. */
    private long monotonicUs() {
        return System.nanoTime() / 1000;
    }

    private void tick() {
        if (!left) {
            holder.tick(nowUs.getAsLong());
            if (proposer != null) {
                proposer.tick(nowUs.getAsLong());
            }
            timers.schedule(nowUs.getAsLong() + TICK_US, this::tick);
        }
    }

    /** What an operator wrote into the file goes to whoever leads, as what comes from outside does. */
    private final class FromFile implements RulesFileProposer.Actions {
        @Override
        public void send(String leader, RulesMessage talk) {
            asked(new Envelope(fleet.config().fleet(), ASKER, fleet.config().advertise(), 0, 0, null, talk));
        }

        @Override
        public void log(String line) {
            log.accept(line);
        }
    }

    /** The operator's file, or one that it names, has changed: other rules in it are proposed, not acted on. */
    void reload(RulesConfig changed) {
        if (changed == null || changed.text() == null || proposer == null) {
            log.accept("only a restart switches a part on or off");
        } else if (!changed.text().equals(proposed)) {
            proposed = changed.text();
            proposer.fileChanged(nowUs.getAsLong(), proposed, System.currentTimeMillis());
        }
    }

    /** SIGTERM: asks for no lease any more; a leader's successor is found by the others. */
    void leave() {
        left = true;
        execute(() -> {
            if (voter != null) {
                voter.leave();
            }
        });
        schedule(thread::shutdown, 2 * Voter.LEADERSHIP_TRANSFER_MS, TimeUnit.MILLISECONDS);
    }

    // ---- What comes and goes ----

    /** On the link's thread. */
    private void arrived(byte[] content) {
        if (waiting.incrementAndGet() > MOST_WAITING) {
            waiting.decrementAndGet();
            return;
        }
        loop.execute(() -> {
            waiting.decrementAndGet();
            try {
                take(WireCodec.decode(content));
            } catch (IOException | RuntimeException e) {
                counters.increment("rules.refused.malformed");
            }
        });
    }

    private void take(Envelope parcel) {
        if (!parcel.fleet().equals(fleet.config().fleet())) {
            counters.increment("rules.refused.fleet");
            return;
        }
        counters.increment("rules.taken");
        RulesMessage talk = parcel.rulesMessage();
        laterEpoch(parcel.epoch());
        if (parcel.generation() > 0 && (generations.size() < MOST_VOTERS || generations.containsKey(parcel.sender()))) {
            generations.merge(parcel.sender(), parcel.generation(), Math::max);
        }
        if (talk instanceof RulesMessage.GenerationQuery asked) {
            post(
                    parcel.sender(),
                    heardEpoch(),
                    null,
                    new RulesMessage.GenerationAnswer(asked.nonce(), generations.getOrDefault(parcel.sender(), 0L)));
        } else if (talk instanceof RulesMessage.GenerationAnswer answer) {
            if (copy != null && answer.nonce() == copyNonce) {
                copy.recordAnswer(parcel.sender(), answer.generation());
            }
        } else if (parcel.raftMessage() != null) {
            if (awaitsLeader) {
                awaitsLeader = false;
                execute(this::vote);
            }
            toVoter(() -> voter.receiveRaftMessage(parcel.raftMessage(), parcel.epoch()));
        } else if (talk instanceof RulesMessage.RequestAnswer taken) {
            if (proposer != null) {
                proposer.receive(nowUs.getAsLong(), taken);
            }
        } else if (talk instanceof RulesMessage.ProposalPiece || talk instanceof RulesMessage.AdminRequest) {
            asked(parcel);
        } else if (talk instanceof RulesMessage.LeaseRequest || talk instanceof RulesMessage.FetchPiece) {
            toVoter(() -> voter.receiveRequest(parcel.sender(), talk));
        } else {
            holder.receive(nowUs.getAsLong(), parcel.sender(), talk);
        }
    }

    /** Who has voted in an epoch that the operator ended takes no further part: its majority is not the fleet's. */
    private void laterEpoch(long heard) {
        RulesStatus.VoterStatus now = shown;
        if (now != null && now.registry().newest() > 0) {
            votedEpoch = Math.max(votedEpoch, RuleRegistry.epoch(now.registry().newest()));
        }
        if (votedEpoch >= 0 && heard > votedEpoch && !superseded) {
            superseded = true;
            log.accept("this gateway does not vote: epoch " + heard + " has begun, and its folder is of epoch "
                    + votedEpoch);
            Voter voting = voter;
            voter = null;
            if (voting != null) {
                execute(voting::stop);
            }
        }
    }

    /** The command line asks whom it knows; who does not lead passes it on to who does, once. */
    private void asked(Envelope parcel) {
        RulesStatus.VoterStatus now = shown;
        boolean leads = now != null && now.isLeader();
        String leader = now != null && !now.leader().isEmpty() ? now.leader() : holder.leader();
        String address = leader.isEmpty() ? null : fleet.addressOf(leader);
        if (leads) {
            toVoter(() -> voter.receiveRequest("@" + parcel.senderAddress(), parcel.rulesMessage()));
        } else if (parcel.sender().equals(ASKER) && address != null && !leader.equals(fleet.name())) {
            fleet.sendRulesMessage(
                    address,
                    WireCodec.encode(new Envelope(
                            parcel.fleet(), PASSED_ON, parcel.senderAddress(), 0, 0, null, parcel.rulesMessage())));
        }
    }

    private void toVoter(Runnable task) {
        if (voter == null) {
            return;
        }
        if (thread.getQueue().size() > MOST_WAITING) {
            counters.increment("rules.refused.full");
            return;
        }
        execute(() -> {
            if (voter != null) {
                task.run();
            }
        });
    }

    private void post(String to, long epoch, RaftMessage raft, RulesMessage talk) {
        // What is asked before it votes tells nothing of a store that may be an old copy.
        long generation = files == null || voter == null ? 0 : files.generation();
        loop.execute(() -> {
            String address = to.startsWith("@") ? to.substring(1) : fleet.addressOf(to);
            Envelope parcel = new Envelope(
                    fleet.config().fleet(), fleet.name(), fleet.config().advertise(), generation, epoch, raft, talk);
            if (to.equals(fleet.name())) {
                take(parcel);
            } else if (address != null) {
                fleet.sendRulesMessage(address, WireCodec.encode(parcel));
            }
        });
    }

    /** The epoch of what this gateway heard to be acted on; for the loop. */
    private long heardEpoch() {
        return RuleRegistry.epoch(holder.knownVersions()[0]);
    }

    /** On the voter's thread. */
    private long ownEpoch() {
        Voter now = voter;
        return now == null ? 0 : now.epoch();
    }

    @Override
    public void sendRaftMessage(String to, RaftMessage message) {
        post(to, ownEpoch(), message, null);
    }

    @Override
    public void sendRulesMessage(String to, RulesMessage talk) {
        post(to, ownEpoch(), null, talk);
    }

    @Override
    public void send(String voterName, RulesMessage talk) {
        post(voterName, heardEpoch(), null, talk);
    }

    // ---- The voter's executor ----

    @Override
    public void execute(Runnable task) {
        schedule(task, 0, TimeUnit.MILLISECONDS);
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.accept("the voter failed at something: " + e);
        }
    }

    @Override
    public void submit(Runnable task) {
        execute(() -> {
            if (voter != null) {
                task.run();
            }
        });
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        try {
            thread.schedule(() -> guarded(task), delay, unit);
        } catch (RejectedExecutionException e) {
            // This gateway ends: nobody waits for it any more.
        }
    }

    @Override
    public void stateChanged() {
        if (voter != null) {
            shown = RulesStatus.VoterStatus.of(voter, monotonicUs());
        }
    }

    // ---- What the holder says, on the loop ----

    @Override
    public void effectiveRulesChanged(long at, LeaseHolder.EffectiveRules acting, String why) {
        log.accept(
                switch (acting.mode()) {
                    case LEASED -> "acts on version " + acting.version() + ": " + why;
                    case FALLBACK -> "FALLBACK: acts on the floors of version " + acting.version() + ": " + why;
                    case NONE -> "acts on no version: " + why;
                });
        counters.increment("rules.acts." + acting.mode().name().toLowerCase(java.util.Locale.ROOT));
        JsonObject line = new JsonObject();
        line.addProperty("version", acting.version());
        line.addProperty("mode", acting.mode().name());
        line.addProperty("why", why);
        JsonObject limits = new JsonObject();
        acting.rules().limits().forEach((plan, limit) -> limits.addProperty(plan, limit.units()));
        line.add("limits", limits);
        line.addProperty("gateways", acting.rules().gateways());
        fleet.recordEvent("rules", line);
        ruled.run();
    }

    @Override
    public void storeVersion(long version, String text) {
        if (kept != null) {
            execute(() -> kept.keep(version, text));
        }
    }

    @Override
    public void count(String what) {
        counters.increment(what);
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }

    // ---- What the rest of the gateway asks ----

    /** The rsync front's settings as far as the rules allow them now. */
    RsyncConfig allowed(RsyncConfig file) {
        if (holder == null) {
            return file;
        }
        Rules rules = holder.effectiveRules(nowUs.getAsLong()).rules();
        boolean on = rules.switches().getOrDefault("rsync", true);
        Set<String> closed = new HashSet<>();
        rules.modules().forEach((name, module) -> {
            if (!module.open()) {
                closed.add(name);
            }
        });
        List<Node> nodes = new ArrayList<>();
        for (Node node : file.nodes()) {
            Rules.Node ruledNode = rules.nodes().get(node.name());
            nodes.add(ruledNode != null && ruledNode.removed() ? node.asGone() : node);
        }
        return new RsyncConfig(
                file.listen(),
                file.idleUs(),
                file.mostTransfers(),
                file.modules().stream()
                        .filter(module -> on && !closed.contains(module.name()))
                        .toList(),
                nodes);
    }
}
