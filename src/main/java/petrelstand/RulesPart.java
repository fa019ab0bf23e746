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
import petrelstand.store.VersionedTextFile;
import petrelstand.store.FileFormatException;

/**
 * The agreed rules' part of a gateway, put together: the holder on the loop, where decisions are made, and a voter,
 * where this gateway is one, on a thread of its own with its folder. Loaded only where the operator's file has
 * {@code [rules]}.
 */
final class RulesPart implements LeaseHolder.Actions, Voter.Callbacks, RaftNodeExecutor {
    private static final long TICK_INTERVAL_US = 50_000;
    /** Parcels that wait for the loop or the voter; more are lost, as datagrams are. */
    private static final int MAX_QUEUED_MESSAGES = 512;

    private static final int MAX_TRACKED_VOTERS = 64;
    private static final String ADMIN_SENDER = "asker";
    private static final String FORWARDED_ADMIN_SENDER = "asker passed on";

    /** A voter that starts waits so long for the others to say how far they have heard it. */
    private static final long GENERATION_TIMEOUT_US = 10_000_000;

    /** Makes the holder; the usual one, but for tests that plant a defect. */
    interface LeaseHolderFactory {
        LeaseHolder create(
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
    private final Runnable onRulesChanged;
    private final Consumer<String> log;
    private final long seed;
    private final List<String> planNames;
    private final boolean votingConfigured;
    private final AtomicInteger queuedMessages = new AtomicInteger();
    private ScheduledThreadPoolExecutor voterThread;
    private RaftFiles raftFiles;
    private RulesFileProposer proposer;
    private String proposedText;
    private VersionedTextFile keptRules;
    private LeaseHolder holder;
    private volatile Voter voter;
    private volatile RulesStatus.VoterStatus voterStatus;
    private boolean leaving;
    /** How far each other voter's store was heard to be. */
    private final Map<String, Long> generations = new HashMap<>();

    private StaleFolderCheck staleFolderCheck;
    /**
     * The epoch that this gateway's folder has versions of, -1 for none, and whether a later one was heard to have
     * begun.
     */
    private long votedEpoch = -1;

    private boolean superseded;
    /** Ready to vote, and begins when a leader that was ordered to add it sends it something. */
    private boolean awaitsAddition;

    private long generationNonce;

    private static LeaseHolderFactory holderFactory = (now, life, config, seed, loader, act) ->
            new LeaseHolder(now, life, config.voters(), config.leaseTiming(), seed, loader, act);

    /** For tests, before a start: a holder with a planted defect. */
    static void setHolderFactory(LeaseHolderFactory factory) {
        holderFactory = factory;
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
            Runnable onRulesChanged,
            Consumer<String> log) {
        this.config = config;
        this.fleet = fleet;
        this.broker = broker;
        this.timers = timers;
        this.nowUs = nowUs;
        this.loop = loop;
        this.counters = counters;
        this.onRulesChanged = onRulesChanged;
        this.log = line -> log.accept("rules: " + line);
        this.seed = gateway.seed();
        this.planNames =
                gateway.settings().plans().stream().map(plan -> plan.name()).toList();
        this.votingConfigured = config.voters().contains(fleet.name()) || config.mayVote();
    }

    private Rules parseRules(String text) {
        return RulesText.parse("rules", text, planNames);
    }

    /** Takes the folder; a voter without one, or with one that can't be trusted, does not vote, and says so. */
    void open() throws IOException {
        voterThread = new ScheduledThreadPoolExecutor(1, task -> {
            Thread created = new Thread(task, "rules");
            created.setDaemon(true);
            return created;
        });
        voterThread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        if (config.stateFolder() == null) {
            if (votingConfigured) {
                throw new IOException("[rules] folder is missing: a voter that forgets its votes may vote twice");
            }
            return;
        }
        try {
            DiskFolder folder = new DiskFolder(config.stateFolder());
            raftFiles = new RaftFiles(folder, log);
            long newestVersion = raftFiles.restoredState() == null
                    ? 0
                    : new QuorumRecovery(raftFiles).registry().newest();
            votedEpoch = newestVersion == 0 ? -1 : RuleRegistry.epoch(newestVersion);
            keptRules = new VersionedTextFile(folder, log);
        } catch (FileFormatException e) {
            log.accept("this gateway does not vote: " + config.stateFolder() + ": " + e.getMessage());
            raftFiles = null;
        } catch (IOException e) {
            log.accept((votingConfigured ? "this gateway does not vote: " : "nothing is kept: ") + config.stateFolder() + ": "
                    + e.getMessage());
            raftFiles = null;
        }
    }

    /** Begins to ask for leases, on the loop; a voter begins to vote. */
    void start(HttpFront front) {
        long startUs = nowUs.getAsLong();
        long instanceNonce = new java.security.SecureRandom().nextLong();
        holder = holderFactory.create(startUs, instanceNonce, config, seed, this::parseRules, this);
        if (config.rulesFileName() != null) {
            proposer = new RulesFileProposer(fleet.name(), "the file " + config.rulesFileName(), holder, seed, new FileProposalActions());
            proposedText = config.rulesText();
        }
        if (keptRules != null && keptRules.text() != null) {
            holder.restore(startUs, keptRules.version(), keptRules.text());
        }
        broker.setAdmissionControl(admissionControl());
        fleet.setRulesHandler(this::datagramReceived);
        if (votingConfigured && raftFiles != null) {
            generationNonce = instanceNonce;
            staleFolderCheck = new StaleFolderCheck(startUs, config.voters().size(), raftFiles.generation(), GENERATION_TIMEOUT_US);
            checkFolder();
        }
        if (config.servesPage()) {
            front.addPage("/rules", () -> RulesStatus.toJson(fleet.name(), nowUs.getAsLong(), holder, voterStatus));
        }
        tick();
    }

    /** Asks the other voters how far they have heard this one, until it may vote or must not. */
    private void checkFolder() {
        switch (leaving || superseded ? StaleFolderCheck.Verdict.REFUSE : staleFolderCheck.verdict(nowUs.getAsLong())) {
            case VOTE -> {
                if (staleFolderCheck.answerCount() < staleFolderCheck.requiredAnswers()) {
                    log.accept("votes though only " + staleFolderCheck.answerCount() + " other voters answered in "
                            + GENERATION_TIMEOUT_US / 1_000_000 + " s: where its folder is an old copy, that is not known");
                }
                // One that is none of the first voters and was not added yet would only call elections that it can't
                // win.
                awaitsAddition = !config.voters().contains(fleet.name()) && raftFiles.restoredState() == null;
                if (!awaitsAddition) {
                    execute(this::startVoter);
                }
            }
            case REFUSE -> {
                if (!leaving && !superseded) {
                    log.accept("this gateway does not vote: its folder is an old copy, written " + raftFiles.generation()
                            + " times where others have heard of " + staleFolderCheck.highestGeneration());
                }
            }
            default -> {
                for (String name : config.voters()) {
                    if (!name.equals(fleet.name())) {
                        sendEnvelope(name, holderEpoch(), null, new RulesMessage.GenerationQuery(generationNonce));
                    }
                }
                timers.schedule(nowUs.getAsLong() + 2 * TICK_INTERVAL_US, this::checkFolder);
            }
        }
    }

    private petrelstand.core.AdmissionControl admissionControl() {
        PlanLimiter limits = new PlanLimiter(holder, planNames, broker.settings().mostUnits());
        return (demand, now) -> limits.takeOrDelayUs(now, demand.planIndex(), demand.units());
    }

    private void startVoter() {
        voter = new Voter(
                fleet.name(),
                config.voters(),
                config.leaseTiming(),
                raftFiles,
                LeaseGrantor::new,
                this,
                this::monotonicUs,
                seed,
                this::parseRules,
                this);
        voter.start();
        voterThread.scheduleWithFixedDelay(this::tickVoter, TICK_INTERVAL_US, TICK_INTERVAL_US, TimeUnit.MICROSECONDS);
    }

    private void tickVoter() {
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
        if (!leaving) {
            holder.tick(nowUs.getAsLong());
            if (proposer != null) {
                proposer.tick(nowUs.getAsLong());
            }
            timers.schedule(nowUs.getAsLong() + TICK_INTERVAL_US, this::tick);
        }
    }

    /** What an operator wrote into the file goes to whoever leads, as what comes from outside does. */
    private final class FileProposalActions implements RulesFileProposer.Actions {
        @Override
        public void send(String leader, RulesMessage message) {
            handleAdminRequest(new Envelope(fleet.config().fleetName(), ADMIN_SENDER, fleet.config().advertisedAddress(), 0, 0, null, message));
        }

        @Override
        public void log(String line) {
            log.accept(line);
        }
    }

    /** The operator's file, or one that it names, has changed: other rules in it are proposed, not acted on. */
    void reload(RulesConfig changed) {
        if (changed == null || changed.rulesText() == null || proposer == null) {
            log.accept("only a restart switches a part on or off");
        } else if (!changed.rulesText().equals(proposedText)) {
            proposedText = changed.rulesText();
            proposer.fileChanged(nowUs.getAsLong(), proposedText, System.currentTimeMillis());
        }
    }

    /** SIGTERM: asks for no lease any more; a leader's successor is found by the others. */
    void leave() {
        leaving = true;
        execute(() -> {
            if (voter != null) {
                voter.leave();
            }
        });
        schedule(voterThread::shutdown, 2 * Voter.LEADERSHIP_TRANSFER_MS, TimeUnit.MILLISECONDS);
    }

    // ---- What comes and goes ----

    /** On the link's thread. */
    private void datagramReceived(byte[] content) {
        if (queuedMessages.incrementAndGet() > MAX_QUEUED_MESSAGES) {
            queuedMessages.decrementAndGet();
            return;
        }
        loop.execute(() -> {
            queuedMessages.decrementAndGet();
            try {
                handleEnvelope(WireCodec.decode(content));
            } catch (IOException | RuntimeException e) {
                counters.increment("rules.refused.malformed");
            }
        });
    }

    private void handleEnvelope(Envelope envelope) {
        if (!envelope.fleet().equals(fleet.config().fleetName())) {
            counters.increment("rules.refused.fleet");
            return;
        }
        counters.increment("rules.taken");
        RulesMessage message = envelope.rulesMessage();
        noteEpoch(envelope.epoch());
        if (envelope.generation() > 0 && (generations.size() < MAX_TRACKED_VOTERS || generations.containsKey(envelope.sender()))) {
            generations.merge(envelope.sender(), envelope.generation(), Math::max);
        }
        if (message instanceof RulesMessage.GenerationQuery query) {
            sendEnvelope(
                    envelope.sender(),
                    holderEpoch(),
                    null,
                    new RulesMessage.GenerationAnswer(query.nonce(), generations.getOrDefault(envelope.sender(), 0L)));
        } else if (message instanceof RulesMessage.GenerationAnswer answer) {
            if (staleFolderCheck != null && answer.nonce() == generationNonce) {
                staleFolderCheck.recordAnswer(envelope.sender(), answer.generation());
            }
        } else if (envelope.raftMessage() != null) {
            if (awaitsAddition) {
                awaitsAddition = false;
                execute(this::startVoter);
            }
            runOnVoter(() -> voter.receiveRaftMessage(envelope.raftMessage(), envelope.epoch()));
        } else if (message instanceof RulesMessage.RequestAnswer requestAnswer) {
            if (proposer != null) {
                proposer.receive(nowUs.getAsLong(), requestAnswer);
            }
        } else if (message instanceof RulesMessage.ProposalPiece || message instanceof RulesMessage.AdminRequest) {
            handleAdminRequest(envelope);
        } else if (message instanceof RulesMessage.LeaseRequest || message instanceof RulesMessage.FetchPiece) {
            runOnVoter(() -> voter.receiveRequest(envelope.sender(), message));
        } else {
            holder.receive(nowUs.getAsLong(), envelope.sender(), message);
        }
    }

    /** Who has voted in an epoch that the operator ended takes no further part: its majority is not the fleet's. */
    private void noteEpoch(long epoch) {
        RulesStatus.VoterStatus status = voterStatus;
        if (status != null && status.registry().newest() > 0) {
            votedEpoch = Math.max(votedEpoch, RuleRegistry.epoch(status.registry().newest()));
        }
        if (votedEpoch >= 0 && epoch > votedEpoch && !superseded) {
            superseded = true;
            log.accept("this gateway does not vote: epoch " + epoch + " has begun, and its folder is of epoch "
                    + votedEpoch);
            Voter stoppedVoter = voter;
            voter = null;
            if (stoppedVoter != null) {
                execute(stoppedVoter::stop);
            }
        }
    }

    /** The command line asks whom it knows; who does not lead passes it on to who does, once. */
    private void handleAdminRequest(Envelope envelope) {
        RulesStatus.VoterStatus status = voterStatus;
        boolean isLeader = status != null && status.isLeader();
        String leader = status != null && !status.leader().isEmpty() ? status.leader() : holder.leader();
        String address = leader.isEmpty() ? null : fleet.addressOf(leader);
        if (isLeader) {
            runOnVoter(() -> voter.receiveRequest("@" + envelope.senderAddress(), envelope.rulesMessage()));
        } else if (envelope.sender().equals(ADMIN_SENDER) && address != null && !leader.equals(fleet.name())) {
            fleet.sendRulesMessage(
                    address,
                    WireCodec.encode(new Envelope(
                            envelope.fleet(), FORWARDED_ADMIN_SENDER, envelope.senderAddress(), 0, 0, null, envelope.rulesMessage())));
        }
    }

    private void runOnVoter(Runnable task) {
        if (voter == null) {
            return;
        }
        if (voterThread.getQueue().size() > MAX_QUEUED_MESSAGES) {
            counters.increment("rules.refused.full");
            return;
        }
        execute(() -> {
            if (voter != null) {
                task.run();
            }
        });
    }

    private void sendEnvelope(String recipient, long epoch, RaftMessage raftMessage, RulesMessage rulesMessage) {
        // What is asked before it votes tells nothing of a store that may be an old copy.
        long generation = raftFiles == null || voter == null ? 0 : raftFiles.generation();
        loop.execute(() -> {
            String address = recipient.startsWith("@") ? recipient.substring(1) : fleet.addressOf(recipient);
            Envelope envelope = new Envelope(
                    fleet.config().fleetName(), fleet.name(), fleet.config().advertisedAddress(), generation, epoch, raftMessage, rulesMessage);
            if (recipient.equals(fleet.name())) {
                handleEnvelope(envelope);
            } else if (address != null) {
                fleet.sendRulesMessage(address, WireCodec.encode(envelope));
            }
        });
    }

    /** The epoch of what this gateway heard to be acted on; for the loop. */
    private long holderEpoch() {
        return RuleRegistry.epoch(holder.knownVersions()[0]);
    }

    /** On the voter's thread. */
    private long voterEpoch() {
        Voter current = voter;
        return current == null ? 0 : current.epoch();
    }

    @Override
    public void sendRaftMessage(String recipient, RaftMessage message) {
        sendEnvelope(recipient, voterEpoch(), message, null);
    }

    @Override
    public void sendRulesMessage(String recipient, RulesMessage message) {
        sendEnvelope(recipient, voterEpoch(), null, message);
    }

    @Override
    public void send(String voterName, RulesMessage message) {
        sendEnvelope(voterName, holderEpoch(), null, message);
    }

    // ---- The voter's executor ----

    @Override
    public void execute(Runnable task) {
        schedule(task, 0, TimeUnit.MILLISECONDS);
    }

    private void runLoggingErrors(Runnable task) {
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
            voterThread.schedule(() -> runLoggingErrors(task), delay, unit);
        } catch (RejectedExecutionException e) {
            // This gateway ends: nobody waits for it any more.
        }
    }

    @Override
    public void stateChanged() {
        if (voter != null) {
            voterStatus = RulesStatus.VoterStatus.of(voter, monotonicUs());
        }
    }

    // ---- What the holder says, on the loop ----

    @Override
    public void effectiveRulesChanged(long changedAtUs, LeaseHolder.EffectiveRules effective, String reason) {
        log.accept(
                switch (effective.mode()) {
                    case LEASED -> "acts on version " + effective.version() + ": " + reason;
                    case FALLBACK -> "FALLBACK: acts on the floors of version " + effective.version() + ": " + reason;
                    case NONE -> "acts on no version: " + reason;
                });
        counters.increment("rules.acts." + effective.mode().name().toLowerCase(java.util.Locale.ROOT));
        JsonObject event = new JsonObject();
        event.addProperty("version", effective.version());
        event.addProperty("mode", effective.mode().name());
        event.addProperty("why", reason);
        JsonObject limits = new JsonObject();
        effective.rules().limits().forEach((plan, limit) -> limits.addProperty(plan, limit.units()));
        event.add("limits", limits);
        event.addProperty("gateways", effective.rules().gateways());
        fleet.recordEvent("rules", event);
        onRulesChanged.run();
    }

    @Override
    public void storeVersion(long version, String text) {
        if (keptRules != null) {
            execute(() -> keptRules.save(version, text));
        }
    }

    @Override
    public void count(String counter) {
        counters.increment(counter);
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }

    // ---- What the rest of the gateway asks ----

    /** The rsync front's settings as far as the rules allow them now. */
    RsyncConfig applyRules(RsyncConfig configured) {
        if (holder == null) {
            return configured;
        }
        Rules rules = holder.effectiveRules(nowUs.getAsLong()).rules();
        boolean rsyncEnabled = rules.switches().getOrDefault("rsync", true);
        Set<String> closedModules = new HashSet<>();
        rules.modules().forEach((name, module) -> {
            if (!module.open()) {
                closedModules.add(name);
            }
        });
        List<Node> nodes = new ArrayList<>();
        for (Node node : configured.nodes()) {
            Rules.Node nodeRule = rules.nodes().get(node.name());
            nodes.add(nodeRule != null && nodeRule.removed() ? node.asGone() : node);
        }
        return new RsyncConfig(
                configured.listenAddress(),
                configured.idleTimeoutUs(),
                configured.maxTransfers(),
                configured.modules().stream()
                        .filter(module -> rsyncEnabled && !closedModules.contains(module.name()))
                        .toList(),
                nodes);
    }
}
