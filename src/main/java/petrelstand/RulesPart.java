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
import petrelstand.store.FileFormatException;
import petrelstand.store.VersionedTextFile;

/**
 * Runs the agreed rules in a gateway: the lease holder on the event loop and, if this gateway votes, the voter with its
 * folder on a thread of its own. Loaded only if the operator's file has a section {@code [rules]}.
 */
final class RulesPart implements LeaseHolder.Actions, Voter.Callbacks, RaftNodeExecutor {
    private static final long TICK_INTERVAL_US = 50_000;
    /** Messages that wait for the loop or the voter; further ones are dropped. */
    private static final int MAX_QUEUED_MESSAGES = 512;

    private static final int MAX_TRACKED_VOTERS = 64;
    /** Sender of a request from the command line or from the operator's file. */
    private static final String ADMIN_SENDER = "asker";
    /** Sender of such a request that was forwarded to the leader; it is not forwarded again. */
    private static final String FORWARDED_ADMIN_SENDER = "asker passed on";

    /** How long a starting voter waits for the folder generations that the other voters know. */
    private static final long GENERATION_TIMEOUT_US = 10_000_000;

    /** Creates the lease holder; tests replace it to plant a defect. */
    interface LeaseHolderFactory {
        LeaseHolder create(
                long nowUs,
                long instanceNonce,
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
    /** The highest folder generation received from each other voter. */
    private final Map<String, Long> generations = new HashMap<>();

    private StaleFolderCheck staleFolderCheck;
    /** The epoch of the versions in this gateway's folder; -1 if it has none. */
    private long votedEpoch = -1;

    /** Whether a message of a later epoch has arrived. */
    private boolean superseded;
    /** Whether this gateway is ready to vote but waits for a Raft message from a leader that adds it. */
    private boolean awaitsAddition;

    private long generationNonce;

    private static LeaseHolderFactory holderFactory = (nowUs, instanceNonce, config, seed, loader, actions) ->
            new LeaseHolder(nowUs, instanceNonce, config.voters(), config.leaseTiming(), seed, loader, actions);

    /** Replaces the lease holder's factory, before the start; for tests. */
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

    /**
     * Opens the folder. With one that can't be read this gateway does not vote, which is logged.
     *
     * @throws IOException if this gateway is to vote and no folder is configured
     */
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
            log.accept((votingConfigured ? "this gateway does not vote: " : "the rules are not kept for a restart: ")
                    + config.stateFolder() + ": " + e.getMessage());
            raftFiles = null;
        }
    }

    /** Starts requesting leases and, if this gateway votes, the check of its folder before it votes. On the loop. */
    void start(HttpFront front) {
        long startUs = nowUs.getAsLong();
        long instanceNonce = new java.security.SecureRandom().nextLong();
        holder = holderFactory.create(startUs, instanceNonce, config, seed, this::parseRules, this);
        if (config.rulesFileName() != null) {
            proposer = new RulesFileProposer(
                    fleet.name(), "the file " + config.rulesFileName(), holder, seed, new FileProposalActions());
            proposedText = config.rulesText();
        }
        if (keptRules != null && keptRules.text() != null) {
            holder.restore(startUs, keptRules.version(), keptRules.text());
        }
        broker.setAdmissionControl(admissionControl());
        fleet.setRulesHandler(this::datagramReceived);
        if (votingConfigured && raftFiles != null) {
            generationNonce = instanceNonce;
            staleFolderCheck = new StaleFolderCheck(
                    startUs, config.voters().size(), raftFiles.generation(), GENERATION_TIMEOUT_US);
            checkFolder();
        }
        if (config.servesPage()) {
            front.addPage("/rules", () -> RulesStatus.toJson(fleet.name(), nowUs.getAsLong(), holder, voterStatus));
        }
        tick();
    }

    /**
     * Asks the other voters which generation of this gateway's folder they know, until it may vote or must not because
     * the folder is an old copy.
     */
    private void checkFolder() {
        switch (leaving || superseded ? StaleFolderCheck.Verdict.REFUSE : staleFolderCheck.verdict(nowUs.getAsLong())) {
            case VOTE -> {
                if (staleFolderCheck.answerCount() < staleFolderCheck.requiredAnswers()) {
                    log.accept("only " + staleFolderCheck.answerCount() + " other voters answered in "
                            + GENERATION_TIMEOUT_US / 1_000_000
                            + " s; this gateway votes without knowing whether its folder is an old copy");
                }
                // A gateway that is not an initial voter and was not added yet would call elections it can't win.
                awaitsAddition = !config.voters().contains(fleet.name()) && raftFiles.restoredState() == null;
                if (!awaitsAddition) {
                    execute(this::startVoter);
                }
            }
            case REFUSE -> {
                if (!leaving && !superseded) {
                    log.accept(
                            "this gateway does not vote: its folder is an old copy, written " + raftFiles.generation()
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
        PlanLimiter limits =
                new PlanLimiter(holder, planNames, broker.settings().mostUnits());
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
            log.accept("the voter's tick failed, it goes on with the next one: " + e);
        }
    }

    /** The voter's clock, in µs; safe to read from any thread. */
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

    /** Sends proposals from the operator's file to the leader, like requests of the command line. */
    private final class FileProposalActions implements RulesFileProposer.Actions {
        @Override
        public void send(String leader, RulesMessage message) {
            handleAdminRequest(new Envelope(
                    fleet.config().fleetName(), ADMIN_SENDER, fleet.config().advertisedAddress(), 0, 0, null, message));
        }

        @Override
        public void log(String line) {
            log.accept(line);
        }
    }

    /** Proposes changed rules of the operator's file; they take effect only once the voters have agreed. */
    void reload(RulesConfig changed) {
        if (changed == null || changed.rulesText() == null || proposer == null) {
            log.accept("the [rules] section is not reloaded: only a restart switches a section on or off");
        } else if (!changed.rulesText().equals(proposedText)) {
            proposedText = changed.rulesText();
            proposer.fileChanged(nowUs.getAsLong(), proposedText, System.currentTimeMillis());
        }
    }

    /** Stops requesting leases; a voter that leads hands over its leadership (SIGTERM). */
    void leave() {
        leaving = true;
        execute(() -> {
            if (voter != null) {
                voter.leave();
            }
        });
        schedule(voterThread::shutdown, 2 * Voter.LEADERSHIP_TRANSFER_MS, TimeUnit.MILLISECONDS);
    }

    // ---- Messages ----

    /** Queues a received message for the loop; called on the thread that receives datagrams. */
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
        fleet.recordMessage(
                "received",
                envelope.sender(),
                message == null ? "raft" : message.getClass().getSimpleName());
        noteEpoch(envelope.epoch());
        if (envelope.generation() > 0
                && (generations.size() < MAX_TRACKED_VOTERS || generations.containsKey(envelope.sender()))) {
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

    /** Stops the voter when a message shows that an operator has begun a later epoch than its folder's. */
    private void noteEpoch(long epoch) {
        RulesStatus.VoterStatus status = voterStatus;
        if (status != null && status.registry().newest() > 0) {
            votedEpoch =
                    Math.max(votedEpoch, RuleRegistry.epoch(status.registry().newest()));
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

    /** Handles a request of an operator here if this gateway leads, or else forwards it to the leader, once. */
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
                            envelope.fleet(),
                            FORWARDED_ADMIN_SENDER,
                            envelope.senderAddress(),
                            0,
                            0,
                            null,
                            envelope.rulesMessage())));
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
        // Before it votes, this gateway does not announce the generation of a folder that may be an old copy.
        long generation = raftFiles == null || voter == null ? 0 : raftFiles.generation();
        loop.execute(() -> {
            String address = recipient.startsWith("@") ? recipient.substring(1) : fleet.addressOf(recipient);
            Envelope envelope = new Envelope(
                    fleet.config().fleetName(),
                    fleet.name(),
                    fleet.config().advertisedAddress(),
                    generation,
                    epoch,
                    raftMessage,
                    rulesMessage);
            if (recipient.equals(fleet.name())) {
                handleEnvelope(envelope);
            } else if (address != null) {
                fleet.sendRulesMessage(address, WireCodec.encode(envelope));
            }
        });
    }

    /** The epoch of the newest version that the lease holder knows; on the loop. */
    private long holderEpoch() {
        return RuleRegistry.epoch(holder.knownVersions()[0]);
    }

    /** The epoch of the voter; on its thread. */
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
            log.accept("a task of the voter failed and is dropped: " + e);
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
            // The executor was shut down because the gateway ends.
        }
    }

    @Override
    public void stateChanged() {
        if (voter != null) {
            voterStatus = RulesStatus.VoterStatus.of(voter, monotonicUs());
        }
    }

    // ---- Callbacks of the lease holder, on the loop ----

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

    // ---- Effective rules ----

    /** Returns the rsync configuration without modules closed by the effective rules and with removed nodes as gone. */
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
