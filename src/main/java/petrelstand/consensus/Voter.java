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
 * A voter: MicroRaft's node with the rule book as its state, and the leader's half of the leases. All of it runs on one
 * executor, a thread of its own or an event queue in virtual time; nothing here waits but the store.
 */
public final class Voter implements LeaseGrantor.Actions {
    private static final int SNAPSHOT_AFTER = 500;
    private static final int MOST_PENDING = 256;
    private static final int MOST_OFFERS = 8;
    /**
     * A leader that ends has so long to hand on; shorter than the time in which a gateway that ends takes what comes.
     */
    public static final long LEADERSHIP_TRANSFER_MS = 300;
    /** A new voter is sent the log or a snapshot for so long before it counts. */
    private static final long LISTENS_MS = 2_000;

    /** What the process does for a voter. */
    public interface Callbacks {
        /** Sends to a voter; it may get lost. */
        void sendRaftMessage(String to, RaftMessage message);

        /** Sends to a gateway or, where the name is an address, to whoever asked from there. */
        void sendRulesMessage(String to, RulesMessage talk);

        /** The voter's world changed: what was applied, who leads. */
        void stateChanged();

        void log(String line);
    }

    /** Offers whose pieces come one by one. */
    private static final class Offer {
        String[] pieces = new String[0];
        boolean proposing;
    }

    private final String name;
    private final RaftNodeExecutor executor;
    private final LongSupplier nowUs;
    private final Callbacks carrier;
    private final Function<String, Rules> loader;
    private final RuleRegistry registry = new RuleRegistry();
    private final LeaseGrantor grantor;
    private final RaftNode node;
    private final Map<Long, Offer> offers = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Offer> eldest) {
            return size() > MOST_OFFERS;
        }
    };
    private String leader = "";
    private long term;
    private long joined;
    /** Commands of this voter's that are not in the log of a majority yet. */
    private int outstanding;

    /** Makes the leader's half of the leases; the usual one, but for tests that plant a defect. */
    public interface GrantorFactory {
        LeaseGrantor create(LeaseTiming promise, RuleRegistry book, LeaseGrantor.Actions actions);
    }

    /**
     * A voter.
     *
     * @param voters those of the very first start, the same at all; one that is none of them is added later by an order
     * @param files its store, or null for one that keeps nothing (tests)
     */
    public Voter(
            String name,
            List<String> voters,
            LeaseTiming promise,
            RaftFiles files,
            GrantorFactory maker,
            RaftNodeExecutor executor,
            LongSupplier nowUs,
            long seed,
            Function<String, Rules> loader,
            Callbacks carrier) {
        this.name = name;
        this.executor = executor;
        this.nowUs = nowUs;
        this.carrier = carrier;
        this.loader = loader;
        this.grantor = maker.create(promise, registry, this);
        List<RaftEndpoint> members = new ArrayList<>();
        voters.forEach(voter -> members.add(new VoterEndpoint(voter)));
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(WireCodec.GROUP)
                .setConfig(RaftConfig.newBuilder()
                        .setLeaderElectionTimeoutMillis(500)
                        .setLeaderHeartbeatPeriodSecs(1)
                        .setLeaderHeartbeatTimeoutSecs(2)
                        .setAppendEntriesRequestBatchSize(1)
                        .setMaxPendingLogEntryCount(MOST_PENDING)
                        .setCommitCountToTakeSnapshot(SNAPSHOT_AFTER)
                        .setTransferSnapshotsFromFollowersEnabled(false)
                        .build())
                .setExecutor(executor)
                .setTransport(new Post())
                .setStateMachine(new Machine())
                .setRandom(new Random(seed))
                .setClock(new LoopClock(nowUs))
                .setModelFactory(WireCodec.MODEL)
                .setRaftNodeReportListener(this::reported)
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

    /** Takes no further part. */
    public void stop() {
        node.terminate();
    }

    /**
     * Ends in order: a leader hands on to another voter first, or ends without where that takes too long; on the
     * executor.
     */
    public void leave() {
        VoterEndpoint self = new VoterEndpoint(name);
        if (grantor.isLeader()) {
            node.getCommittedMembers().getVotingMembers().stream()
                    .filter(other -> !other.equals(self))
                    .findFirst()
                    .ifPresent(other ->
                            node.transferLeadership(other).whenComplete((done, fault) -> executor.execute(this::stop)));
            executor.schedule(this::stop, LEADERSHIP_TRANSFER_MS, TimeUnit.MILLISECONDS);
        } else {
            stop();
        }
    }

    /** What is due by now; on the executor. */
    public void tick() {
        grantor.tick(nowUs.getAsLong());
        if (outstanding > 0 && grantor.isLeader()) {
            node.query(ASK, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                    .exceptionally(fault -> null);
        }
    }

    /** A voters' message, on the executor; one of another epoch is passed over. */
    public void receiveRaftMessage(RaftMessage message, long ofEpoch) {
        if (registry.newest() == 0) {
            // It was just added, and learns from the first that writes to it.
            joined = Math.max(joined, ofEpoch);
        }
        if (ofEpoch == epoch()) {
            node.handle(message);
        }
    }

    /** The epoch that it votes in. */
    public long epoch() {
        return registry.newest() == 0 ? joined : RuleRegistry.epoch(registry.newest());
    }

    // ---- MicroRaft's side ----

    private final class Post implements Transport {
        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            carrier.sendRaftMessage(String.valueOf(to.getId()), message);
        }

        @Override
        public boolean isReachable(RaftEndpoint to) {
            return true;
        }
    }

    /** Something for a query to carry: the answer is that it was asked. */
    private static final Object ASK = new Object();

    private final class Machine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            if (operation instanceof RegistryCommand command) {
                RuleRegistry.Result result = registry.apply(command);
                executor.execute(Voter.this::tick);
                carrier.stateChanged();
                return result;
            }
            return null;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            WireCodec.chunks(registry.snapshot()).forEach(chunks);
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            try {
                registry.restore(WireCodec.whole(chunks));
                carrier.stateChanged();
            } catch (IOException e) {
                throw new IllegalStateException("a snapshot that can't be read: " + e.getMessage(), e);
            }
        }

        @Override
        public Object getNewTermOperation() {
            return new RegistryCommand.NewTerm();
        }
    }

    private void reported(RaftNodeReport report) {
        term = report.getTerm().getTerm();
        RaftEndpoint leads = report.getTerm().getLeaderEndpoint();
        String now = leads == null ? "" : String.valueOf(leads.getId());
        if (report.getRole() == RaftRole.LEADER) {
            grantor.isLeader(nowUs.getAsLong(), term);
        } else {
            grantor.becomeFollower();
        }
        if (!now.equals(leader)) {
            leader = now;
            carrier.log(now.isEmpty() ? "no leader is known, term " + term : now + " leads in term " + term);
        }
        carrier.stateChanged();
    }

    // ---- The grantor's side ----

    @Override
    public void send(String to, RulesMessage talk) {
        carrier.sendRulesMessage(to, talk);
    }

    @Override
    public void commit(RegistryCommand command) {
        replicate(command, (done, fault) -> {});
    }

    @Override
    public void confirmLeadership(long round) {
        node.query(ASK, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete((answer, fault) -> executor.execute(() -> {
                    if (fault == null) {
                        grantor.leadershipConfirmed(nowUs.getAsLong(), round);
                    } else {
                        grantor.leadershipUnconfirmed(round);
                    }
                }));
    }

    @Override
    public void log(String line) {
        carrier.log(line);
    }

    // ---- What gateways and the command line ask; on the executor ----

    /** Something that a gateway asks, or whoever listens at {@code from}. */
    public void receiveRequest(String from, RulesMessage talk) {
        long now = nowUs.getAsLong();
        if (talk instanceof RulesMessage.LeaseRequest renew) {
            if (grantor.isLeader()) {
                grantor.renew(now, from, renew);
            } else {
                carrier.sendRulesMessage(from, new RulesMessage.NotLeader(renew.nonce(), leader));
            }
        } else if (talk instanceof RulesMessage.FetchPiece fetch) {
            RuleRegistry.Version version = registry.versions().get(fetch.version());
            List<String> pieces = version == null ? List.of() : RegistryCommand.splitIntoPieces(version.text());
            boolean has = fetch.pieceIndex() >= 0 && fetch.pieceIndex() < pieces.size();
            carrier.sendRulesMessage(
                    from,
                    new RulesMessage.TextPiece(
                            fetch.nonce(),
                            fetch.version(),
                            fetch.pieceIndex(),
                            pieces.size(),
                            has ? pieces.get(fetch.pieceIndex()) : ""));
        } else if (talk instanceof RulesMessage.ProposalPiece offer) {
            if (leads(from, offer.id())) {
                offered(from, offer);
            }
        } else if (talk instanceof RulesMessage.AdminRequest order) {
            if (leads(from, order.id())) {
                if (order.action().endsWith("-voter")) {
                    changeVoters(from, order);
                    return;
                }
                RegistryCommand command = switch (order.action()) {
                    case "withdraw" -> new RegistryCommand.Withdraw(order.version(), order.author(), order.reason());
                    case "forget" -> new RegistryCommand.ForgetGateway(order.name());
                    default -> null;
                };
                if (command == null) {
                    carrier.sendRulesMessage(
                            from,
                            new RulesMessage.RequestAnswer(
                                    order.id(), -1, 0, "no order is called '" + order.action() + "'"));
                } else {
                    answer(from, order.id(), command);
                }
            }
        }
    }

    /**
     * Adds or removes a voter, one at a time. One that is added first only listens, so that a majority never counts on
     * an empty folder, and votes from {@link #LISTENS_MS} on; where the leader changes meanwhile it is to be added
     * again.
     */
    private void changeVoters(String from, RulesMessage.AdminRequest order) {
        VoterEndpoint voter = new VoterEndpoint(order.name());
        boolean there = node.getCommittedMembers().getVotingMembers().contains(voter);
        if (order.action().equals("add-voter") && !there) {
            boolean listens = node.getCommittedMembers().getMembers().contains(voter);
            change(
                    from,
                    order,
                    voter,
                    listens ? MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER : MembershipChangeMode.ADD_LEARNER);
        } else if (order.action().equals("remove-voter")
                && node.getCommittedMembers().getMembers().contains(voter)) {
            if (node.getCommittedMembers().getVotingMembers().size() < 2 && there) {
                carrier.sendRulesMessage(
                        from, new RulesMessage.RequestAnswer(order.id(), -1, 0, "it is the only voter"));
                return;
            }
            change(from, order, voter, MembershipChangeMode.REMOVE_MEMBER);
        } else {
            carrier.sendRulesMessage(from, new RulesMessage.RequestAnswer(order.id(), -1, registry.newest(), ""));
        }
    }

    private void change(String from, RulesMessage.AdminRequest order, VoterEndpoint voter, MembershipChangeMode mode) {
        node.changeMembership(voter, mode, node.getCommittedMembers().getLogIndex())
                .whenComplete((done, fault) -> executor.execute(() -> {
                    if (fault != null) {
                        return;
                    }
                    carrier.log("voters are now " + voters()
                            + (mode == MembershipChangeMode.ADD_LEARNER ? "; " + voter + " listens first" : ""));
                    if (mode == MembershipChangeMode.ADD_LEARNER) {
                        executor.schedule(
                                () -> {
                                    if (grantor.isLeader()) {
                                        change(from, order, voter, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER);
                                    }
                                },
                                LISTENS_MS,
                                TimeUnit.MILLISECONDS);
                    } else {
                        carrier.sendRulesMessage(
                                from, new RulesMessage.RequestAnswer(order.id(), -1, registry.newest(), ""));
                    }
                }));
    }

    /** The names that vote, as of the last change that a majority has. */
    public List<String> voters() {
        return node.getCommittedMembers().getVotingMembers().stream()
                .map(e -> String.valueOf(e.getId()))
                .sorted()
                .toList();
    }

    private boolean leads(String from, long id) {
        if (!grantor.isLeader()) {
            carrier.sendRulesMessage(from, new RulesMessage.NotLeader(id, leader));
        }
        return grantor.isLeader();
    }

    private void offered(String from, RulesMessage.ProposalPiece piece) {
        if (piece.pieceCount() < 1
                || piece.pieceCount() > RegistryCommand.MAX_PIECES
                || piece.pieceIndex() < 0
                || piece.pieceIndex() >= piece.pieceCount()) {
            carrier.sendRulesMessage(
                    from,
                    new RulesMessage.RequestAnswer(
                            piece.id(),
                            -1,
                            0,
                            "a text of more than " + RegistryCommand.MAX_TEXT_CHARS + " characters"));
            return;
        }
        Offer offer = offers.computeIfAbsent(piece.id(), id -> new Offer());
        if (offer.pieces.length != piece.pieceCount()) {
            offer.pieces = new String[piece.pieceCount()];
        }
        offer.pieces[piece.pieceIndex()] = piece.text();
        for (int i = 0; i < piece.pieceCount(); i++) {
            if (offer.pieces[i] == null) {
                carrier.sendRulesMessage(from, new RulesMessage.RequestAnswer(piece.id(), i, 0, ""));
                return;
            }
        }
        if (offer.proposing) {
            return;
        }
        String text = String.join("", offer.pieces);
        List<RegistryCommand.PlanLimit> figures = new ArrayList<>();
        try {
            loader.apply(text)
                    .limits()
                    .forEach((plan, limit) ->
                            figures.add(new RegistryCommand.PlanLimit(plan, limit.units(), limit.floor())));
        } catch (IllegalArgumentException e) {
            offers.remove(piece.id());
            carrier.sendRulesMessage(
                    from, new RulesMessage.RequestAnswer(piece.id(), -1, 0, cut(String.valueOf(e.getMessage()))));
            return;
        }
        offer.proposing = true;
        for (int i = 0; i < offer.pieces.length; i++) {
            commit(new RegistryCommand.AddPiece(piece.id(), i, offer.pieces.length, offer.pieces[i]));
        }
        answer(
                from,
                piece.id(),
                new RegistryCommand.Propose(
                        piece.id(),
                        piece.base(),
                        piece.author(),
                        piece.reason(),
                        piece.wallMs(),
                        offer.pieces.length,
                        figures));
    }

    /** Puts a command into the log; {@code then} is told how that went, on the executor. */
    private void replicate(RegistryCommand command, BiConsumer<Ordered<RuleRegistry.Result>, Throwable> then) {
        outstanding++;
        node.<RuleRegistry.Result>replicate(command)
                .whenComplete((done, fault) -> executor.execute(() -> {
                    outstanding--;
                    then.accept(done, fault);
                }));
    }

    /** Answers once the command is in the log of a majority; where that can't be told, the asker asks again. */
    private void answer(String to, long id, RegistryCommand command) {
        replicate(command, (done, fault) -> {
            offers.remove(id);
            if (fault == null) {
                RuleRegistry.Result result = done.getResult();
                carrier.sendRulesMessage(
                        to, new RulesMessage.RequestAnswer(id, -1, result.version(), cut(result.error())));
                grantor.tick(nowUs.getAsLong());
            }
        });
    }

    private static String cut(String line) {
        return line.substring(0, Math.min(line.length(), RulesMessage.MAX_LINE_CHARS));
    }

    // ---- What is shown; on the executor ----

    public RuleRegistry registry() {
        return registry;
    }

    public LeaseGrantor grantor() {
        return grantor;
    }

    public String leader() {
        return leader;
    }

    public long term() {
        return term;
    }

    public String name() {
        return name;
    }

    /** The loop's clock as MicroRaft asks for it; it decides when a leader was last heard, never what time it is. */
    private static final class LoopClock extends Clock {
        private final LongSupplier nowUs;

        LoopClock(LongSupplier nowUs) {
            this.nowUs = nowUs;
        }

        @Override
        public java.time.ZoneId getZone() {
            return java.time.ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(java.time.ZoneId zone) {
            return this;
        }

        @Override
        public long millis() {
            return nowUs.getAsLong() / 1000;
        }

        @Override
        public java.time.Instant instant() {
            return java.time.Instant.ofEpochMilli(millis());
        }
    }
}
