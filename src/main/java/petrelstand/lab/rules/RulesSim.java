package petrelstand.lab.rules;

import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import petrelstand.agreement.LeaseGrantor;
import petrelstand.agreement.LeaseHolder;
import petrelstand.agreement.LeaseTiming;
import petrelstand.agreement.RuleRegistry;
import petrelstand.agreement.Rules;
import petrelstand.agreement.RulesMessage;
import petrelstand.config.RulesText;
import petrelstand.consensus.Envelope;
import petrelstand.consensus.QuorumRecovery;
import petrelstand.consensus.RaftFiles;
import petrelstand.consensus.Voter;
import petrelstand.consensus.WireCodec;
import petrelstand.lab.Probe;
import petrelstand.lab.VirtualTime;
import petrelstand.lab.faults.FleetPlan;
import petrelstand.lab.faults.Links;
import petrelstand.store.FileFormatException;

/**
 * Gateways with agreed rules in virtual time: the same holders, grantors and voters as in the program, MicroRaft among
 * them, every message through its wire form. Clocks drift, links lose, delay, repeat and reorder, processes stop, die
 * and start again with the folder as it was. One seed gives one course. Checked as it goes: see {@link #fault}.
 */
public final class RulesSim {
    /** Makes the modules of a process; tests plant defects here. */
    public interface Maker {
        LeaseHolder holder(
                long nowUs,
                long life,
                List<String> voters,
                LeaseTiming promise,
                long seed,
                LeaseHolder.Actions actions);

        LeaseGrantor grantor(LeaseTiming promise, RuleRegistry book, LeaseGrantor.Actions actions);
    }

    /** The modules as the gateway has them. */
    public static final Maker USUAL = new Maker() {
        @Override
        public LeaseHolder holder(
                long nowUs,
                long life,
                List<String> voters,
                LeaseTiming promise,
                long seed,
                LeaseHolder.Actions actions) {
            return new LeaseHolder(nowUs, life, voters, promise, seed, RulesSim::load, actions);
        }

        @Override
        public LeaseGrantor grantor(LeaseTiming promise, RuleRegistry book, LeaseGrantor.Actions actions) {
            return new LeaseGrantor(promise, book, actions);
        }
    };

    private static final long TICK_US = 50_000;
    private static final long LEAST_DELAY_US = 150;
    private static final int MOST_WAITING = 200;
    /** A process ends so long after it was told to. */
    private static final long ENDS_US = 600_000;

    /** What a text of these days rules: they hold one limit, its units the version's own number. */
    public static Rules load(String text) {
        return RulesText.parse("rules", text, null);
    }

    private final class Process implements RaftNodeExecutor, LeaseHolder.Actions, Voter.Callbacks {
        final int number;
        final String name;
        final double rate;
        final MemoryFolder folder = new MemoryFolder();
        LeaseHolder holder;
        Voter voter;
        RaftFiles files;
        long life;
        boolean up;
        boolean stopped;
        long offsetUs;
        String kept;
        long keptVersion;
        final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

        Process(int number, double rate) {
            this.number = number;
            this.name = name(number);
            this.rate = rate;
        }

        /** This process's own clock: another start, and a rate that drifts. */
        long clock() {
            return offsetUs + (long) (time.nowUs() * rate);
        }

        void start() {
            up = true;
            stopped = false;
            long of = ++life;
            waiting.clear();
            offsetUs = random.nextLong(1_000_000_000_000L);
            probe.entered(number);
            holder = maker.holder(clock(), random.nextLong(), voters, promise, random.nextLong(), this);
            if (kept != null) {
                holder.restore(clock(), keptVersion, kept);
            }
            voter = null;
            if (number < mayVote) {
                try {
                    files = new RaftFiles(folder.opened(), line -> {});
                    if (voters.contains(name) || files.restoredState() != null) {
                        vote();
                    }
                } catch (IOException | FileFormatException e) {
                    breaks(name + " could not read its own folder: " + e.getMessage());
                }
            }
            probe.left(number);
            at(time.nowUs() + random.nextLong(TICK_US), () -> tick(of));
        }

        private void vote() {
            voter = new Voter(
                    name,
                    voters,
                    promise,
                    files,
                    maker::grantor,
                    this,
                    this::clock,
                    random.nextLong(),
                    RulesSim::load,
                    this);
            voter.start();
        }

        void end() {
            up = false;
            acting[number] = null;
            compare(number);
            life++;
        }

        private void tick(long of) {
            if (of != life || !up) {
                return;
            }
            if (!stopped) {
                probe.entered(number);
                holder.tick(clock());
                if (voter != null) {
                    voter.tick();
                }
                probe.left(number);
                look(this);
            }
            at(time.nowUs() + TICK_US, () -> tick(of));
        }

        /** Runs something of this life now, or once it goes on. */
        private void run(long of, Runnable task) {
            if (of != life || !up) {
                return;
            }
            if (stopped) {
                if (waiting.size() < MOST_WAITING) {
                    waiting.add(task);
                }
            } else {
                probe.entered(number);
                task.run();
                probe.left(number);
                look(this);
            }
        }

        void goOn() {
            stopped = false;
            // Who goes on has its clock before it has anything else: first it decides something.
            look(this);
            while (!waiting.isEmpty() && !stopped) {
                probe.entered(number);
                waiting.poll().run();
                probe.left(number);
            }
            look(this);
        }

        @Override
        public void execute(Runnable task) {
            long of = life;
            at(time.nowUs(), () -> run(of, task));
        }

        @Override
        public void submit(Runnable task) {
            execute(task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            long of = life;
            at(time.nowUs() + (long) (unit.toMicros(delay) / rate), () -> run(of, task));
        }

        @Override
        public void sendRaftMessage(String to, RaftMessage message) {
            carry(this, to, new Envelope("lab", name, name, files.generation(), voter.epoch(), message, null));
        }

        @Override
        public void sendRulesMessage(String to, RulesMessage talk) {
            carry(this, to, new Envelope("lab", name, name, files.generation(), voter.epoch(), null, talk));
        }

        @Override
        public void send(String to, RulesMessage talk) {
            carry(this, to, new Envelope("lab", name, name, 0, 0, null, talk));
        }

        @Override
        public void stateChanged() {}

        @Override
        public void effectiveRulesChanged(long at, LeaseHolder.EffectiveRules acting, String why) {}

        @Override
        public void storeVersion(long version, String text) {
            kept = text;
            keptVersion = version;
        }

        @Override
        public void count(String what) {
            counts.merge(what, 1L, Long::sum);
        }

        @Override
        public void log(String line) {}

        void receive(String from, Envelope parcel) {
            if (parcel.raftMessage() != null) {
                if (voter == null && files != null) {
                    vote();
                }
                if (voter != null) {
                    voter.receiveRaftMessage(parcel.raftMessage(), parcel.epoch());
                }
            } else if (parcel.rulesMessage() instanceof RulesMessage.LeaseRequest
                    || parcel.rulesMessage() instanceof RulesMessage.FetchPiece
                    || parcel.rulesMessage() instanceof RulesMessage.ProposalPiece
                    || parcel.rulesMessage() instanceof RulesMessage.AdminRequest) {
                if (voter != null) {
                    voter.receiveRequest(from, parcel.rulesMessage());
                }
            } else {
                holder.receive(clock(), from, parcel.rulesMessage());
            }
        }
    }

    private final Maker maker;
    private final Probe probe;
    private final LeaseTiming promise;
    private final SplittableRandom random;
    private final List<String> voters = new ArrayList<>();
    private final int mayVote;
    private final Map<String, Process> processes = new TreeMap<>();
    private final List<Process> byNumber = new ArrayList<>();
    private final VirtualTime time = new VirtualTime();
    private final Links links;
    private final Map<String, Long> counts = new TreeMap<>();
    private final LeaseHolder.EffectiveRules[] acting;
    private String broken = "";
    // Proposals of the day's own operator.
    private long proposal;
    private long base;
    private long proposedUs;
    private final java.util.Set<Long> ordersDone = new java.util.HashSet<>();
    private final TreeMap<Long, Long> proposedAtUs = new TreeMap<>();
    private final TreeMap<Long, Long> acknowledged = new TreeMap<>();
    private final Map<Long, Long> actedByAllUs = new TreeMap<>();
    // Contradictions: by pair of processes, since when; and the longest.
    private final Map<Integer, Long> contradictsSinceUs = new HashMap<>();
    private long longestUs;
    private final List<Long> contradictions = new ArrayList<>();
    private long firstActedVersion;

    /** Gateways of which the first {@code voting} vote; clocks drift by up to the promise's rate, either way. */
    public RulesSim(int size, int voting, LeaseTiming promise, long seed, Maker maker) {
        this(size, voting, voting, promise, seed, maker);
    }

    /** The same, and some after the first may be made voters by an order. */
    public RulesSim(int size, int voting, int mayVote, LeaseTiming promise, long seed, Maker maker) {
        this(size, voting, mayVote, promise, seed, maker, Probe.NONE);
    }

    /** The same, observed. */
    public RulesSim(int size, int voting, int mayVote, LeaseTiming promise, long seed, Maker maker, Probe probe) {
        this.maker = maker;
        this.probe = probe;
        this.mayVote = mayVote;
        this.promise = promise;
        this.random = new SplittableRandom(seed);
        this.links = new Links(size, seed + 1);
        this.acting = new LeaseHolder.EffectiveRules[size];
        for (int i = 0; i < voting; i++) {
            voters.add(name(i));
        }
        for (int i = 0; i < size; i++) {
            // Two clocks, one slow and one fast, may differ by the whole of the drift.
            double rate = 1 + (random.nextDouble() * 2 - 1) * promise.drift() * 0.999;
            Process process = new Process(i, i < 2 ? 1 + (i * 2 - 1) * promise.drift() * 0.999 : rate);
            processes.put(process.name, process);
            byNumber.add(process);
            at(random.nextLong(300_000), process::start);
        }
    }

    static String name(int number) {
        return String.format("g%03d", number);
    }

    private void at(long us, Runnable action) {
        time.at(us, action);
    }

    /** Plays on to a time, or until a promise is broken. */
    public void run(long untilUs) {
        time.run(untilUs);
    }

    public long nowUs() {
        return time.nowUs();
    }

    private void carry(Process from, String to, Envelope parcel) {
        Process there = processes.get(to);
        if (to.equals("operator")) {
            at(time.nowUs() + LEAST_DELAY_US, () -> answered(parcel.rulesMessage()));
        }
        if (there == null) {
            return;
        }
        byte[] bytes = WireCodec.encode(parcel);
        probe.left(from.number);
        transport(from, there, parcel, bytes);
        probe.entered(from.number);
    }

    private void transport(Process from, Process there, Envelope parcel, byte[] bytes) {
        probe.sent(from.number, bytes.length);
        counts.merge("messages", 1L, Long::sum);
        counts.merge("bytes", (long) bytes.length, Long::sum);
        counts.merge("longest", (long) bytes.length, Math::max);
        if (from == there) {
            long of = there.life;
            at(time.nowUs() + 1, () -> there.run(of, () -> there.receive(from.name, parcel)));
            return;
        }
        for (long later : links.delays(from.number, there.number, time.nowUs())) {
            long queued = (long) (-Math.log(1 - random.nextDouble()) * 200);
            at(time.nowUs() + later + LEAST_DELAY_US + queued, () -> {
                if (there.up) {
                    probe.received(there.number, bytes.length);
                }
                Envelope come = opened(there, bytes);
                if (come != null) {
                    there.run(there.life, () -> there.receive(from.name, come));
                }
            });
        }
    }

    /** The parcel of some bytes that reached a process; null where they can't be read, which breaks the day. */
    private Envelope opened(Process there, byte[] bytes) {
        probe.entered(there.number);
        try {
            return WireCodec.decode(bytes);
        } catch (IOException e) {
            breaks("a parcel could not be read back: " + e.getMessage());
            return null;
        } finally {
            probe.left(there.number);
        }
    }

    // ---- Faults ----

    /** Sets a plan's faults up, each at its time. */
    public void arm(FleetPlan plan) {
        for (FleetPlan.Fault fault : plan.faults()) {
            at(fault.atUs(), () -> strike(fault));
        }
    }

    private void strike(FleetPlan.Fault fault) {
        Process process = byNumber.get(Math.min(fault.who(), byNumber.size() - 1));
        switch (fault.kind()) {
            case KILL, TERM -> {
                if (fault.kind() == FleetPlan.Kind.TERM && process.up && !process.stopped && process.voter != null) {
                    Voter leaving = process.voter;
                    long of = process.life;
                    probe.entered(process.number);
                    leaving.leave();
                    probe.left(process.number);
                    at(time.nowUs() + ENDS_US, () -> {
                        if (process.life == of) {
                            process.end();
                        }
                    });
                } else {
                    process.end();
                }
                if (fault.lengthUs() > 0) {
                    at(time.nowUs() + Math.max(fault.lengthUs(), ENDS_US + 1), () -> {
                        if (!process.up) {
                            process.start();
                        }
                    });
                }
            }
            case STOP -> {
                long life = process.life;
                if (process.up && !process.stopped) {
                    process.stopped = true;
                    acting[process.number] = null;
                    compare(process.number);
                    at(time.nowUs() + fault.lengthUs(), () -> {
                        if (process.life == life && process.stopped) {
                            process.goOn();
                        }
                    });
                }
            }
            default -> {
                if (fault.kind().ofLinks()) {
                    links.begin(fault, time.nowUs() + fault.lengthUs());
                }
            }
        }
    }

    // ---- The operator ----

    /** Proposes a new version whenever the one before is settled, from now on, a pause after it. */
    public void proposeEvery(long pauseUs) {
        at(time.nowUs(), () -> propose(pauseUs));
    }

    /** Proposes a new version at each of some moments, and again until it is taken. */
    public void proposeAt(long... moments) {
        for (long moment : moments) {
            at(moment, () -> {
                proposal = 0;
                propose(0);
            });
        }
    }

    /** Gives an order from a moment on, until it is answered. */
    public void orderAt(long moment, String verb, String name) {
        long id = random.nextLong() | 1;
        // Of a version the newest that was acknowledged.
        at(moment, () -> order(id, verb, base, name));
    }

    private void order(long id, String verb, long version, String name) {
        if (!ordersDone.contains(id)) {
            for (Process there : byNumber.subList(0, mayVote)) {
                at(
                        time.nowUs() + LEAST_DELAY_US,
                        () -> there.run(
                                there.life,
                                () -> there.receive(
                                        "operator",
                                        new Envelope(
                                                "lab",
                                                "operator",
                                                "operator",
                                                0,
                                                0,
                                                null,
                                                new RulesMessage.AdminRequest(
                                                        id, verb, version, name, "operator", "day")))));
            }
            at(time.nowUs() + 1_000_000, () -> order(id, verb, version, name));
        }
    }

    /** Orders that were answered. */
    public int ordersDone() {
        return ordersDone.size();
    }

    /** A process that is down has its folder made the beginning of a new epoch, and starts again. */
    public void recover(int number, int drawn) throws IOException, FileFormatException {
        Process process = byNumber.get(number);
        base = new QuorumRecovery(new RaftFiles(process.folder.opened(), line -> {}))
                .write("operator", "day", time.nowUs() / 1000, drawn);
        proposal = 0;
        process.start();
    }

    /** The newest version that was acknowledged, or that a recovery made. */
    public long newest() {
        return base;
    }

    /** How many processes act under a lease on a version. */
    public int leasedOn(long version) {
        return (int) byNumber.stream()
                .filter(p -> p.up && !p.stopped)
                .map(p -> p.holder.effectiveRules(p.clock()))
                .filter(a -> a.mode() == LeaseHolder.Mode.LEASED && a.version() == version)
                .count();
    }

    /** The process that leads, or -1. */
    public int leaderNow() {
        return byNumber.stream()
                .filter(p -> p.up
                        && !p.stopped
                        && p.voter != null
                        && p.voter.grantor().isLeader())
                .mapToInt(p -> p.number)
                .max()
                .orElse(-1);
    }

    /** Who votes, as the process that leads holds it; empty where none does. */
    public List<String> votersNow() {
        return byNumber.stream()
                .filter(p -> p.up && p.voter != null && p.voter.grantor().isLeader())
                .findFirst()
                .map(p -> p.voter.voters())
                .orElse(List.of());
    }

    private void propose(long pauseUs) {
        boolean settled = proposal == 0;
        if (settled || time.nowUs() - proposedUs > 2_000_000) {
            if (settled) {
                proposal = random.nextLong() | 1;
                proposedUs = time.nowUs();
            }
            // Asked of every voter: whoever leads takes it.
            String text = "[fleet]\ngateways = 2\n[limit basic]\nunits = "
                    + (base + 1) % RuleRegistry.VERSIONS_PER_EPOCH + "\nfloor = 0\n";
            RulesMessage.ProposalPiece offer =
                    new RulesMessage.ProposalPiece(proposal, base, "operator", "day", proposedUs / 1000, 0, 1, text);
            for (Process there : byNumber.subList(0, mayVote)) {
                at(
                        time.nowUs() + LEAST_DELAY_US,
                        () -> there.run(
                                there.life,
                                () -> there.receive(
                                        "operator", new Envelope("lab", "operator", "operator", 0, 0, null, offer))));
            }
        }
        if (pauseUs > 0) {
            at(time.nowUs() + pauseUs, () -> propose(pauseUs));
        } else if (proposal != 0) {
            at(time.nowUs() + 700_000, () -> {
                if (proposal != 0) {
                    propose(0);
                }
            });
        }
    }

    private void answered(RulesMessage talk) {
        if (talk instanceof RulesMessage.RequestAnswer taken && taken.id() != proposal && taken.nextPiece() < 0) {
            ordersDone.add(taken.id());
        }
        if (!(talk instanceof RulesMessage.RequestAnswer taken) || taken.id() != proposal || taken.nextPiece() >= 0) {
            return;
        }
        if (taken.error().isEmpty()) {
            acknowledged.put(taken.version(), time.nowUs());
            proposedAtUs.put(taken.version(), proposedUs);
            base = taken.version();
        } else if (taken.error().startsWith("it is based on")) {
            base = taken.version();
        }
        proposal = 0;
    }

    // ---- What is checked ----

    /** The first fault ends the day. */
    private void breaks(String fault) {
        broken = broken.isEmpty() ? fault : broken;
        time.end();
    }

    /** What a process acts on now, as a decision at this moment would find it. */
    private void look(Process process) {
        if (!process.up || process.stopped) {
            return;
        }
        LeaseHolder.EffectiveRules now = process.holder.effectiveRules(process.clock());
        LeaseHolder.EffectiveRules before = acting[process.number];
        if (now.equals(before)) {
            return;
        }
        acting[process.number] = now;
        if (now.mode() == LeaseHolder.Mode.LEASED) {
            if (now.version() > firstActedVersion) {
                firstActedVersion = now.version();
                unconfirmed(process, now.version());
            }
        }
        compare(process.number);
        everyone(now.version());
    }

    /** At the first act on a version nobody that has not confirmed it may still act on the one before. */
    private void unconfirmed(Process first, long version) {
        for (Process other : byNumber) {
            if (other == first || !other.up) {
                continue;
            }
            LeaseHolder.EffectiveRules there = other.holder.effectiveRules(other.clock());
            boolean old = there.mode() == LeaseHolder.Mode.LEASED && there.version() < version;
            if (old && other.holder.preparedVersion() < version) {
                breaks(first.name + " acted on version " + version + " while " + other.name + " acted on version "
                        + there.version() + " and had not confirmed it");
            }
        }
    }

    private void compare(int number) {
        for (Process other : byNumber) {
            int pair = Math.min(number, other.number) * byNumber.size() + Math.max(number, other.number);
            LeaseHolder.EffectiveRules a = acting[number];
            LeaseHolder.EffectiveRules b = acting[other.number];
            boolean contradicts = other.number != number
                    && a != null
                    && b != null
                    && a.mode() == LeaseHolder.Mode.LEASED
                    && b.mode() == LeaseHolder.Mode.LEASED
                    && a.version() != b.version()
                    && !a.rules().conflictsWith(b.rules()).isEmpty();
            Long since = contradictsSinceUs.get(pair);
            if (contradicts && since == null) {
                contradictsSinceUs.put(pair, time.nowUs());
                at(time.nowUs() + promise.maxConflictUs(), () -> still(pair, time.nowUs()));
            } else if (!contradicts && since != null) {
                contradictsSinceUs.remove(pair);
                contradictions.add(time.nowUs() - since);
                longestUs = Math.max(longestUs, time.nowUs() - since);
            }
        }
    }

    /** A contradiction that began a promise's time ago: a stopped process does not act, so it is looked at anew. */
    private void still(int pair, long at) {
        Long since = contradictsSinceUs.get(pair);
        if (since != null && at - since >= promise.maxConflictUs()) {
            breaks(name(pair / byNumber.size()) + " and " + name(pair % byNumber.size()) + " contradict each other for "
                    + (at - since) / 1000 + " ms: versions " + acting[pair / byNumber.size()].version() + " and "
                    + acting[pair % byNumber.size()].version());
        }
    }

    private void everyone(long version) {
        if (actedByAllUs.containsKey(version)) {
            return;
        }
        for (Process process : byNumber) {
            LeaseHolder.EffectiveRules there = acting[process.number];
            if (process.up
                    && !process.stopped
                    && (there == null || there.mode() != LeaseHolder.Mode.LEASED || there.version() != version)) {
                return;
            }
        }
        actedByAllUs.put(version, time.nowUs());
    }

    /** The promise that was broken, in one line, or nothing. */
    public String fault() {
        if (!broken.isEmpty()) {
            return broken;
        }
        // One line of history: what any two voters hold of a version is the same, and what was acknowledged is there.
        Map<Long, String> agreed = new HashMap<>();
        for (Process process : byNumber) {
            if (process.voter == null || !process.up) {
                continue;
            }
            for (RuleRegistry.Version version :
                    process.voter.registry().versions().values()) {
                String told = version.base() + " " + version.wallMs() + " " + version.text();
                String other = agreed.putIfAbsent(version.number(), told);
                if (other != null && !other.equals(told)) {
                    return "two voters hold another version " + version.number();
                }
            }
        }
        long newest = byNumber.stream()
                .filter(p -> p.up && p.voter != null)
                .mapToLong(p -> p.voter.registry().newest())
                .max()
                .orElse(Long.MAX_VALUE);
        if (!acknowledged.isEmpty() && newest < acknowledged.lastKey()) {
            return "version " + acknowledged.lastKey() + " was acknowledged and is lost";
        }
        return "";
    }

    /** How long each acknowledged version took from the proposal until all that run act on it, µs. */
    public List<Long> tookUs() {
        List<Long> took = new ArrayList<>();
        proposedAtUs.forEach((version, at) -> {
            if (actedByAllUs.containsKey(version)) {
                took.add(actedByAllUs.get(version) - at);
            }
        });
        return took;
    }

    /** Contradictions that ended, µs, and the longest. */
    public List<Long> contradictionsUs() {
        return contradictions;
    }

    public long longestUs() {
        return longestUs;
    }

    /** Versions that were acknowledged. */
    public int acknowledged() {
        return acknowledged.size();
    }

    public Map<String, Long> counts() {
        return counts;
    }

    /** Whether all that run act under a lease on the newest version. */
    public boolean settled() {
        for (Process process : byNumber) {
            LeaseHolder.EffectiveRules there =
                    process.up && !process.stopped ? process.holder.effectiveRules(process.clock()) : null;
            if (process.up && (there == null || there.mode() != LeaseHolder.Mode.LEASED || there.version() < base)) {
                return false;
            }
        }
        return true;
    }
}
