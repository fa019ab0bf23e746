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
import petrelstand.agreement.Command;
import petrelstand.agreement.Grantor;
import petrelstand.agreement.Promise;
import petrelstand.agreement.RuleBook;
import petrelstand.agreement.Rules;
import petrelstand.agreement.Talk;

/**
 * A voter: MicroRaft's node with the rule book as its state, and the leader's half of the leases. All of it runs on one
 * executor, a thread of its own or an event queue in virtual time; nothing here waits but the store.
 */
public final class Voter implements Grantor.Actions {
    private static final int SNAPSHOT_AFTER = 500;
    private static final int MOST_PENDING = 256;
    private static final int MOST_OFFERS = 8;
    /**
     * A leader that ends has so long to hand on; shorter than the time in which a gateway that ends takes what comes.
     */
    public static final long HAND_ON_MS = 300;
    /** A new voter is sent the log or a snapshot for so long before it counts. */
    private static final long LISTENS_MS = 2_000;

    /** What the process does for a voter. */
    public interface Carrier {
        /** Sends to a voter; it may get lost. */
        void send(String to, RaftMessage message);

        /** Sends to a gateway or, where the name is an address, to whoever asked from there. */
        void talk(String to, Talk talk);

        /** The voter's world changed: what was applied, who leads. */
        void changed();

        void say(String line);
    }

    /** Offers whose pieces come one by one. */
    private static final class Offer {
        String[] pieces = new String[0];
        boolean proposing;
    }

    private final String name;
    private final RaftNodeExecutor executor;
    private final LongSupplier nowUs;
    private final Carrier carrier;
    private final Function<String, Rules> loader;
    private final RuleBook book = new RuleBook();
    private final Grantor grantor;
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
    public interface Maker {
        Grantor make(Promise promise, RuleBook book, Grantor.Actions actions);
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
            Promise promise,
            RaftFiles files,
            Maker maker,
            RaftNodeExecutor executor,
            LongSupplier nowUs,
            long seed,
            Function<String, Rules> loader,
            Carrier carrier) {
        this.name = name;
        this.executor = executor;
        this.nowUs = nowUs;
        this.carrier = carrier;
        this.loader = loader;
        this.grantor = maker.make(promise, book, this);
        List<RaftEndpoint> members = new ArrayList<>();
        voters.forEach(voter -> members.add(new Name(voter)));
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(Wire.GROUP)
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
                .setModelFactory(Wire.MODEL)
                .setRaftNodeReportListener(this::reported)
                .setStore(files == null ? new NopRaftStore() : files);
        if (files != null && files.restored() != null) {
            builder.setRestoredState(files.restored());
        } else {
            builder.setLocalEndpoint(new Name(name)).setInitialGroupMembers(members);
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
        Name self = new Name(name);
        if (grantor.leads()) {
            node.getCommittedMembers().getVotingMembers().stream()
                    .filter(other -> !other.equals(self))
                    .findFirst()
                    .ifPresent(other ->
                            node.transferLeadership(other).whenComplete((done, fault) -> executor.execute(this::stop)));
            executor.schedule(this::stop, HAND_ON_MS, TimeUnit.MILLISECONDS);
        } else {
            stop();
        }
    }

    /** What is due by now; on the executor. */
    public void tick() {
        grantor.tick(nowUs.getAsLong());
        if (outstanding > 0 && grantor.leads()) {
            node.query(ASK, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                    .exceptionally(fault -> null);
        }
    }

    /** A voters' message, on the executor; one of another epoch is passed over. */
    public void receive(RaftMessage message, long ofEpoch) {
        if (book.newest() == 0) {
            // It was just added, and learns from the first that writes to it.
            joined = Math.max(joined, ofEpoch);
        }
        if (ofEpoch == epoch()) {
            node.handle(message);
        }
    }

    /** The epoch that it votes in. */
    public long epoch() {
        return book.newest() == 0 ? joined : RuleBook.epoch(book.newest());
    }

    // ---- MicroRaft's side ----

    private final class Post implements Transport {
        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            carrier.send(String.valueOf(to.getId()), message);
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
            if (operation instanceof Command command) {
                RuleBook.Result result = book.apply(command);
                executor.execute(Voter.this::tick);
                carrier.changed();
                return result;
            }
            return null;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            Wire.chunks(book.whole()).forEach(chunks);
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            try {
                book.become(Wire.whole(chunks));
                carrier.changed();
            } catch (IOException e) {
                throw new IllegalStateException("a snapshot that can't be read: " + e.getMessage(), e);
            }
        }

        @Override
        public Object getNewTermOperation() {
            return new Command.Term();
        }
    }

    private void reported(RaftNodeReport report) {
        term = report.getTerm().getTerm();
        RaftEndpoint leads = report.getTerm().getLeaderEndpoint();
        String now = leads == null ? "" : String.valueOf(leads.getId());
        if (report.getRole() == RaftRole.LEADER) {
            grantor.leads(nowUs.getAsLong(), term);
        } else {
            grantor.follows();
        }
        if (!now.equals(leader)) {
            leader = now;
            carrier.say(now.isEmpty() ? "no leader is known, term " + term : now + " leads in term " + term);
        }
        carrier.changed();
    }

    // ---- The grantor's side ----

    @Override
    public void send(String to, Talk talk) {
        carrier.talk(to, talk);
    }

    @Override
    public void commit(Command command) {
        replicate(command, (done, fault) -> {});
    }

    @Override
    public void confirm(long round) {
        node.query(ASK, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete((answer, fault) -> executor.execute(() -> {
                    if (fault == null) {
                        grantor.confirmed(nowUs.getAsLong(), round);
                    } else {
                        grantor.unconfirmed(round);
                    }
                }));
    }

    @Override
    public void say(String line) {
        carrier.say(line);
    }

    // ---- What gateways and the command line ask; on the executor ----

    /** Something that a gateway asks, or whoever listens at {@code from}. */
    public void hear(String from, Talk talk) {
        long now = nowUs.getAsLong();
        if (talk instanceof Talk.Renew renew) {
            if (grantor.leads()) {
                grantor.renew(now, from, renew);
            } else {
                carrier.talk(from, new Talk.Elsewhere(renew.nonce(), leader));
            }
        } else if (talk instanceof Talk.Fetch fetch) {
            RuleBook.Version version = book.versions().get(fetch.version());
            List<String> pieces = version == null ? List.of() : Command.pieces(version.text());
            boolean has = fetch.piece() >= 0 && fetch.piece() < pieces.size();
            carrier.talk(
                    from,
                    new Talk.Piece(
                            fetch.nonce(),
                            fetch.version(),
                            fetch.piece(),
                            pieces.size(),
                            has ? pieces.get(fetch.piece()) : ""));
        } else if (talk instanceof Talk.Offer offer) {
            if (leads(from, offer.id())) {
                offered(from, offer);
            }
        } else if (talk instanceof Talk.Order order) {
            if (leads(from, order.id())) {
                if (order.verb().endsWith("-voter")) {
                    changeVoters(from, order);
                    return;
                }
                Command command = switch (order.verb()) {
                    case "withdraw" -> new Command.Withdraw(order.version(), order.who(), order.why());
                    case "forget" -> new Command.Forget(order.name());
                    default -> null;
                };
                if (command == null) {
                    carrier.talk(from, new Talk.Taken(order.id(), -1, 0, "no order is called '" + order.verb() + "'"));
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
    private void changeVoters(String from, Talk.Order order) {
        Name voter = new Name(order.name());
        boolean there = node.getCommittedMembers().getVotingMembers().contains(voter);
        if (order.verb().equals("add-voter") && !there) {
            boolean listens = node.getCommittedMembers().getMembers().contains(voter);
            change(
                    from,
                    order,
                    voter,
                    listens ? MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER : MembershipChangeMode.ADD_LEARNER);
        } else if (order.verb().equals("remove-voter")
                && node.getCommittedMembers().getMembers().contains(voter)) {
            if (node.getCommittedMembers().getVotingMembers().size() < 2 && there) {
                carrier.talk(from, new Talk.Taken(order.id(), -1, 0, "it is the only voter"));
                return;
            }
            change(from, order, voter, MembershipChangeMode.REMOVE_MEMBER);
        } else {
            carrier.talk(from, new Talk.Taken(order.id(), -1, book.newest(), ""));
        }
    }

    private void change(String from, Talk.Order order, Name voter, MembershipChangeMode mode) {
        node.changeMembership(voter, mode, node.getCommittedMembers().getLogIndex())
                .whenComplete((done, fault) -> executor.execute(() -> {
                    if (fault != null) {
                        return;
                    }
                    carrier.say("voters are now " + voters()
                            + (mode == MembershipChangeMode.ADD_LEARNER ? "; " + voter + " listens first" : ""));
                    if (mode == MembershipChangeMode.ADD_LEARNER) {
                        executor.schedule(
                                () -> {
                                    if (grantor.leads()) {
                                        change(from, order, voter, MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER);
                                    }
                                },
                                LISTENS_MS,
                                TimeUnit.MILLISECONDS);
                    } else {
                        carrier.talk(from, new Talk.Taken(order.id(), -1, book.newest(), ""));
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
        if (!grantor.leads()) {
            carrier.talk(from, new Talk.Elsewhere(id, leader));
        }
        return grantor.leads();
    }

    private void offered(String from, Talk.Offer piece) {
        if (piece.of() < 1 || piece.of() > Command.MOST_PIECES || piece.piece() < 0 || piece.piece() >= piece.of()) {
            carrier.talk(
                    from,
                    new Talk.Taken(piece.id(), -1, 0, "a text of more than " + Command.MOST_TEXT + " characters"));
            return;
        }
        Offer offer = offers.computeIfAbsent(piece.id(), id -> new Offer());
        if (offer.pieces.length != piece.of()) {
            offer.pieces = new String[piece.of()];
        }
        offer.pieces[piece.piece()] = piece.text();
        for (int i = 0; i < piece.of(); i++) {
            if (offer.pieces[i] == null) {
                carrier.talk(from, new Talk.Taken(piece.id(), i, 0, ""));
                return;
            }
        }
        if (offer.proposing) {
            return;
        }
        String text = String.join("", offer.pieces);
        List<Command.Figure> figures = new ArrayList<>();
        try {
            loader.apply(text)
                    .limits()
                    .forEach((plan, limit) -> figures.add(new Command.Figure(plan, limit.units(), limit.floor())));
        } catch (IllegalArgumentException e) {
            offers.remove(piece.id());
            carrier.talk(from, new Talk.Taken(piece.id(), -1, 0, cut(String.valueOf(e.getMessage()))));
            return;
        }
        offer.proposing = true;
        for (int i = 0; i < offer.pieces.length; i++) {
            commit(new Command.Part(piece.id(), i, offer.pieces.length, offer.pieces[i]));
        }
        answer(
                from,
                piece.id(),
                new Command.Propose(
                        piece.id(),
                        piece.base(),
                        piece.who(),
                        piece.why(),
                        piece.wallMs(),
                        offer.pieces.length,
                        figures));
    }

    /** Puts a command into the log; {@code then} is told how that went, on the executor. */
    private void replicate(Command command, BiConsumer<Ordered<RuleBook.Result>, Throwable> then) {
        outstanding++;
        node.<RuleBook.Result>replicate(command)
                .whenComplete((done, fault) -> executor.execute(() -> {
                    outstanding--;
                    then.accept(done, fault);
                }));
    }

    /** Answers once the command is in the log of a majority; where that can't be told, the asker asks again. */
    private void answer(String to, long id, Command command) {
        replicate(command, (done, fault) -> {
            offers.remove(id);
            if (fault == null) {
                RuleBook.Result result = done.getResult();
                carrier.talk(to, new Talk.Taken(id, -1, result.version(), cut(result.fault())));
                grantor.tick(nowUs.getAsLong());
            }
        });
    }

    private static String cut(String line) {
        return line.substring(0, Math.min(line.length(), Talk.MOST_LINE));
    }

    // ---- What is shown; on the executor ----

    public RuleBook book() {
        return book;
    }

    public Grantor grantor() {
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
