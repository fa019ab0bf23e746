package petrelstand.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftRole;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.NopRaftStore;
import io.microraft.report.RaftNodeReport;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import petrelstand.agreement.LeaseGrantor;
import petrelstand.agreement.LeaseTiming;
import petrelstand.agreement.RegistryCommand;
import petrelstand.agreement.RuleRegistry;
import petrelstand.agreement.Rules;
import petrelstand.agreement.RulesMessage;

/**
 * A voter: a MicroRaft node with a {@link RuleRegistry} as its state machine, and the leader's side of the leases. All
 * methods run on one executor, which is a dedicated thread or the event queue of a simulation; only the store blocks.
 */
public final class Voter implements LeaseGrantor.Actions {
    private static final int COMMITS_PER_SNAPSHOT = 500;
    private static final int MAX_PENDING_ENTRIES = 256;
    private static final int MAX_PROPOSALS = 8;
    /** Time that a stopping leader has to transfer its leadership; a stopping gateway receives messages for longer. */
    public static final long LEADERSHIP_TRANSFER_MS = 300;
    /** Time for which a new voter receives the log as a learner before it votes. */
    private static final long LEARNER_MS = 2_000;

    /** What a voter needs from its process. */
    public interface Callbacks {
        /** Sends a consensus message to a voter; it may be lost. */
        void sendRaftMessage(String voter, RaftMessage message);

        /** Sends a message to a gateway, or to an address if {@code recipient} is "@" and an address; may be lost. */
        void sendRulesMessage(String recipient, RulesMessage message);

        /** Called when the registry or the leader may have changed. */
        void stateChanged();

        void log(String line);
    }

    /** A proposal whose pieces are being received. */
    private static final class Proposal {
        String[] pieces = new String[0];
        boolean submitted;
    }

    private final String name;
    private final RaftNodeExecutor executor;
    private final LongSupplier nowUs;
    private final Callbacks callbacks;
    private final Function<String, Rules> loader;
    private final RuleRegistry registry = new RuleRegistry();
    private final LeaseGrantor grantor;
    private final RaftNode node;
    private final Map<Long, Proposal> proposals = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Proposal> eldest) {
            return size() > MAX_PROPOSALS;
        }
    };
    private String leader = "";
    private long term;
    /** The epoch of a new voter that has no versions yet: the highest one of the messages it received. */
    private long joinedEpoch;

    /** Number of commands of this voter that are not committed yet. */
    private int uncommittedCommands;

    /** Creates the leader's side of the leases; tests inject defective ones. */
    public interface GrantorFactory {
        LeaseGrantor create(LeaseTiming timing, RuleRegistry registry, LeaseGrantor.Actions actions);
    }

    /**
     * Creates a voter from its stored state or, without one, for its first start.
     *
     * @param voters the initial voters, the same list at each of them; other voters are added by an operator's request
     * @param files the store, or null to keep nothing (tests)
     * @param nowUs a monotonic clock in µs
     * @param loader parses a rules text; throws an IllegalArgumentException with a one-line message
     */
    public Voter(
            String name,
            List<String> voters,
            LeaseTiming timing,
            RaftFiles files,
            GrantorFactory grantorFactory,
            RaftNodeExecutor executor,
            LongSupplier nowUs,
            long seed,
            Function<String, Rules> loader,
            Callbacks callbacks) {
        this.name = name;
        this.executor = executor;
        this.nowUs = nowUs;
        this.callbacks = callbacks;
        this.loader = loader;
        this.grantor = grantorFactory.create(timing, registry, this);
        List<RaftEndpoint> members = new ArrayList<>();
        voters.forEach(voter -> members.add(new VoterEndpoint(voter)));
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(WireCodec.GROUP)
                .setConfig(RaftConfig.newBuilder()
                        .setLeaderElectionTimeoutMillis(500)
                        .setLeaderHeartbeatPeriodSecs(1)
                        .setLeaderHeartbeatTimeoutSecs(2)
                        .setAppendEntriesRequestBatchSize(1)
                        .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
                        .setCommitCountToTakeSnapshot(COMMITS_PER_SNAPSHOT)
                        .setTransferSnapshotsFromFollowersEnabled(false)
                        .build())
                .setExecutor(executor)
                .setTransport(new CallbackTransport())
                .setStateMachine(new RegistryStateMachine())
                .setRandom(new Random(seed))
                .setClock(new MonotonicClock(nowUs))
                .setModelFactory(WireCodec.MODEL)
                .setRaftNodeReportListener(this::handleReport)
                .setStore(files == null ? new NopRaftStore() : files);
        if (files != null && files.restoredState() != null) {
            builder.setRestoredState(files.restoredState());
        } else {
            builder.setLocalEndpoint(new VoterEndpoint(name)).setInitialGroupMembers(members);
        }
        this.node = builder.build();
    }

    public void start() {
        node.start();
    }

    /** Stops at once. */
    public void stop() {
        node.terminate();
    }

    /** Stops; a leader first tries to transfer its leadership for up to {@link #LEADERSHIP_TRANSFER_MS}. */
    public void leave() {
        VoterEndpoint self = new VoterEndpoint(name);
        if (grantor.isLeader()) {
            node.getCommittedMembers().getVotingMembers().stream()
                    .filter(other -> !other.equals(self))
                    .findFirst()
                    .ifPresent(other -> node.transferLeadership(other)
                            .whenComplete((transferred, failure) -> executor.execute(this::stop)));
            executor.schedule(this::stop, LEADERSHIP_TRANSFER_MS, TimeUnit.MILLISECONDS);
        } else {
            stop();
        }
    }

    /** Does what is due in the lease grantor and for uncommitted commands; to be called regularly. */
    public void tick() {
        grantor.tick(nowUs.getAsLong());
        if (uncommittedCommands > 0 && grantor.isLeader()) {
            node.query(EMPTY_QUERY, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                    .exceptionally(failure -> null);
        }
    }

    /** Handles a consensus message; one of another epoch is ignored. */
    public void receiveRaftMessage(RaftMessage message, long senderEpoch) {
        if (registry.newest() == 0) {
            // A voter that was just added takes the epoch from the messages that it receives.
            joinedEpoch = Math.max(joinedEpoch, senderEpoch);
        }
        if (senderEpoch == epoch()) {
            node.handle(message);
        }
    }

    /** The epoch that this voter votes in. */
    public long epoch() {
        return registry.newest() == 0 ? joinedEpoch : RuleRegistry.epoch(registry.newest());
    }

    // ---- Called by MicroRaft ----

    private final class CallbackTransport implements Transport {
        @Override
        public void send(RaftEndpoint target, RaftMessage message) {
            callbacks.sendRaftMessage(String.valueOf(target.getId()), message);
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return true;
        }
    }

    /** A query without content: only its confirmation by a majority matters. */
    private static final Object EMPTY_QUERY = new Object();

    private final class RegistryStateMachine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            if (operation instanceof RegistryCommand command) {
                RuleRegistry.Result result = registry.apply(command);
                executor.execute(Voter.this::tick);
                callbacks.stateChanged();
                return result;
            }
            return null;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            WireCodec.encodeSnapshot(registry.snapshot()).forEach(chunks);
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            try {
                registry.restore(WireCodec.decodeSnapshot(chunks));
                callbacks.stateChanged();
            } catch (IOException e) {
                throw new IllegalStateException("a snapshot from the leader can't be decoded: " + e.getMessage(), e);
            }
        }

        @Override
        public Object getNewTermOperation() {
            return new RegistryCommand.NewTerm();
        }
    }

    private void handleReport(RaftNodeReport report) {
        term = report.getTerm().getTerm();
        RaftEndpoint leaderEndpoint = report.getTerm().getLeaderEndpoint();
        String newLeader = leaderEndpoint == null ? "" : String.valueOf(leaderEndpoint.getId());
        if (report.getRole() == RaftRole.LEADER) {
            grantor.becomeLeader(nowUs.getAsLong(), term);
        } else {
            grantor.becomeFollower();
        }
        if (!newLeader.equals(leader)) {
            leader = newLeader;
            callbacks.log(
                    newLeader.isEmpty() ? "no leader is known, term " + term : newLeader + " leads in term " + term);
        }
        callbacks.stateChanged();
    }

    // ---- Called by the grantor ----

    @Override
    public void send(String gateway, RulesMessage message) {
        callbacks.sendRulesMessage(gateway, message);
    }

    @Override
    public void commit(RegistryCommand command) {
        replicate(command, (committed, failure) -> {});
    }

    @Override
    public void confirmLeadership(long round) {
        node.query(EMPTY_QUERY, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete((result, failure) -> executor.execute(() -> {
                    if (failure == null) {
                        grantor.leadershipConfirmed(nowUs.getAsLong(), round);
                    } else {
                        grantor.leadershipUnconfirmed(round);
                    }
                }));
    }

    @Override
    public void log(String line) {
        callbacks.log(line);
    }

    // ---- Requests of gateways and operator tools ----

    /**
     * Handles a request of a gateway or an operator tool.
     *
     * @param sender a gateway's name, or "@" and an address to which the answer goes
     */
    public void receiveRequest(String sender, RulesMessage message) {
        long now = nowUs.getAsLong();
        if (message instanceof RulesMessage.LeaseRequest leaseRequest) {
            if (grantor.isLeader()) {
                grantor.renew(now, sender, leaseRequest);
            } else {
                callbacks.sendRulesMessage(sender, new RulesMessage.NotLeader(leaseRequest.nonce(), leader));
            }
        } else if (message instanceof RulesMessage.FetchPiece fetch) {
            RuleRegistry.Version version = registry.versions().get(fetch.version());
            List<String> pieces = version == null ? List.of() : RegistryCommand.splitIntoPieces(version.text());
            boolean found = fetch.pieceIndex() >= 0 && fetch.pieceIndex() < pieces.size();
            callbacks.sendRulesMessage(
                    sender,
                    new RulesMessage.TextPiece(
                            fetch.nonce(),
                            fetch.version(),
                            fetch.pieceIndex(),
                            pieces.size(),
                            found ? pieces.get(fetch.pieceIndex()) : ""));
        } else if (message instanceof RulesMessage.ProposalPiece piece) {
            if (checkLeader(sender, piece.id())) {
                receiveProposalPiece(sender, piece);
            }
        } else if (message instanceof RulesMessage.AdminRequest request) {
            if (checkLeader(sender, request.id())) {
                if (request.action().endsWith("-voter")) {
                    changeVoters(sender, request);
                    return;
                }
                RegistryCommand command = switch (request.action()) {
                    case "withdraw" ->
                        new RegistryCommand.Withdraw(request.version(), request.author(), request.reason());
                    case "forget" -> new RegistryCommand.ForgetGateway(request.name());
                    default -> null;
                };
                if (command == null) {
                    callbacks.sendRulesMessage(
                            sender,
                            new RulesMessage.RequestAnswer(
                                    request.id(), -1, 0, "unknown request '" + request.action() + "'"));
                } else {
                    replicateAndAnswer(sender, request.id(), command);
                }
            }
        }
    }

    /**
     * Adds or removes one voter. A new voter first receives the log as a learner for {@link #LEARNER_MS}, so that no
     * majority depends on a voter without the log. If the leader changes meanwhile, the request has to be repeated.
     */
    private void changeVoters(String sender, RulesMessage.AdminRequest request) {
        VoterEndpoint voter = new VoterEndpoint(request.name());
        boolean isVoter = node.getCommittedMembers().getVotingMembers().contains(voter);
        if (request.action().equals("add-voter") && !isVoter) {
            boolean isLearner = node.getCommittedMembers().getMembers().contains(voter);
            changeMembership(
                    sender,
                    request,
                    voter,
                    isLearner ? MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER : MembershipChangeMode.ADD_LEARNER);
        } else if (request.action().equals("remove-voter")
                && node.getCommittedMembers().getMembers().contains(voter)) {
            if (node.getCommittedMembers().getVotingMembers().size() < 2 && isVoter) {
                callbacks.sendRulesMessage(
                        sender, new RulesMessage.RequestAnswer(request.id(), -1, 0, "the only voter can't be removed"));
                return;
            }
            changeMembership(sender, request, voter, MembershipChangeMode.REMOVE_MEMBER);
        } else {
            callbacks.sendRulesMessage(sender, new RulesMessage.RequestAnswer(request.id(), -1, registry.newest(), ""));
        }
    }

    private void changeMembership(
            String sender, RulesMessage.AdminRequest request, VoterEndpoint voter, MembershipChangeMode mode) {
        node.changeMembership(voter, mode, node.getCommittedMembers().getLogIndex())
                .whenComplete((changed, failure) -> executor.execute(() -> {
                    if (failure != null) {
                        return;
                    }
                    callbacks.log("voters are now " + voters()
                            + (mode == MembershipChangeMode.ADD_LEARNER ? "; " + voter + " is a learner first" : ""));
                    if (mode == MembershipChangeMode.ADD_LEARNER) {
                        executor.schedule(
                                () -> {
                                    if (grantor.isLeader()) {
                                        changeMembership(
                                                sender,
                                                request,
                                                voter,
                                                MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER);
                                    }
                                },
                                LEARNER_MS,
                                TimeUnit.MILLISECONDS);
                    } else {
                        callbacks.sendRulesMessage(
                                sender, new RulesMessage.RequestAnswer(request.id(), -1, registry.newest(), ""));
                    }
                }));
    }

    /** The names of the voters as of the last committed change, sorted. */
    public List<String> voters() {
        return node.getCommittedMembers().getVotingMembers().stream()
                .map(endpoint -> String.valueOf(endpoint.getId()))
                .sorted()
                .toList();
    }

    /** Whether this voter leads; if not, the sender gets the leader's name. */
    private boolean checkLeader(String sender, long id) {
        if (!grantor.isLeader()) {
            callbacks.sendRulesMessage(sender, new RulesMessage.NotLeader(id, leader));
        }
        return grantor.isLeader();
    }

    private void receiveProposalPiece(String sender, RulesMessage.ProposalPiece piece) {
        if (piece.pieceCount() < 1
                || piece.pieceCount() > RegistryCommand.MAX_PIECES
                || piece.pieceIndex() < 0
                || piece.pieceIndex() >= piece.pieceCount()) {
            callbacks.sendRulesMessage(
                    sender,
                    new RulesMessage.RequestAnswer(
                            piece.id(),
                            -1,
                            0,
                            "the rules text is longer than " + RegistryCommand.MAX_TEXT_CHARS
                                    + " characters, or a piece has a wrong index"));
            return;
        }
        Proposal proposal = proposals.computeIfAbsent(piece.id(), id -> new Proposal());
        if (proposal.pieces.length != piece.pieceCount()) {
            proposal.pieces = new String[piece.pieceCount()];
        }
        proposal.pieces[piece.pieceIndex()] = piece.text();
        for (int i = 0; i < piece.pieceCount(); i++) {
            if (proposal.pieces[i] == null) {
                callbacks.sendRulesMessage(sender, new RulesMessage.RequestAnswer(piece.id(), i, 0, ""));
                return;
            }
        }
        if (proposal.submitted) {
            return;
        }
        String text = String.join("", proposal.pieces);
        List<RegistryCommand.PlanLimit> limits = new ArrayList<>();
        try {
            loader.apply(text)
                    .limits()
                    .forEach((plan, limit) ->
                            limits.add(new RegistryCommand.PlanLimit(plan, limit.units(), limit.floor())));
        } catch (IllegalArgumentException e) {
            proposals.remove(piece.id());
            callbacks.sendRulesMessage(
                    sender,
                    new RulesMessage.RequestAnswer(piece.id(), -1, 0, truncate(String.valueOf(e.getMessage()))));
            return;
        }
        proposal.submitted = true;
        for (int i = 0; i < proposal.pieces.length; i++) {
            commit(new RegistryCommand.AddPiece(piece.id(), i, proposal.pieces.length, proposal.pieces[i]));
        }
        replicateAndAnswer(
                sender,
                piece.id(),
                new RegistryCommand.Propose(
                        piece.id(),
                        piece.base(),
                        piece.author(),
                        piece.reason(),
                        piece.wallMs(),
                        proposal.pieces.length,
                        limits));
    }

    /** Appends a command to the log; {@code whenDone} gets the result or the failure, on the executor. */
    private void replicate(RegistryCommand command, BiConsumer<Ordered<RuleRegistry.Result>, Throwable> whenDone) {
        uncommittedCommands++;
        node.<RuleRegistry.Result>replicate(command)
                .whenComplete((committed, failure) -> executor.execute(() -> {
                    uncommittedCommands--;
                    whenDone.accept(committed, failure);
                }));
    }

    /** Answers once the command is committed; if that is unknown, there is no answer and the sender asks again. */
    private void replicateAndAnswer(String recipient, long id, RegistryCommand command) {
        replicate(command, (committed, failure) -> {
            proposals.remove(id);
            if (failure == null) {
                RuleRegistry.Result result = committed.getResult();
                callbacks.sendRulesMessage(
                        recipient, new RulesMessage.RequestAnswer(id, -1, result.version(), truncate(result.error())));
                grantor.tick(nowUs.getAsLong());
            }
        });
    }

    private static String truncate(String line) {
        return line.substring(0, Math.min(line.length(), RulesMessage.MAX_LINE_CHARS));
    }

    // ---- State ----

    public RuleRegistry registry() {
        return registry;
    }

    public LeaseGrantor grantor() {
        return grantor;
    }

    /** The name of the leader, or empty if none is known. */
    public String leader() {
        return leader;
    }

    public long term() {
        return term;
    }

    public String name() {
        return name;
    }

    /** Presents the monotonic clock to MicroRaft, which only compares its times. */
    private static final class MonotonicClock extends Clock {
        private final LongSupplier nowUs;

        MonotonicClock(LongSupplier nowUs) {
            this.nowUs = nowUs;
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public long millis() {
            return nowUs.getAsLong() / 1000;
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(millis());
        }
    }
}
