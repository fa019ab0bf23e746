package petrelstand.lab;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import petrelstand.accounts.Cause;
import petrelstand.accounts.LatencyAttributor;
import petrelstand.config.IniFile;
import petrelstand.core.Attempt;
import petrelstand.core.Broker;
import petrelstand.core.ClientHandler;
import petrelstand.core.Counters;
import petrelstand.core.Demand;
import petrelstand.core.Node;
import petrelstand.core.NodeTransport;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.NodeListKind;

/**
 * Is the right one blamed? Reads come to a few nodes through one gateway with its accounts on; for ten seconds one
 * known thing goes wrong at one node, and the waits of the reads there are compared with the same day without it.
 * Virtual time; each trial depends on its seed alone.
 */
public final class WaitTrial {
    /** What goes wrong: an export team's surge through this gateway, and things that are not its fault. */
    public enum Trouble {
        NONE,
        SMALL_SURGE,
        SURGE,
        LARGE_SURGE,
        PAUSES,
        SLOW,
        UNSEEN
    }

    /** The waits of the reads at the troubled node in the measured span, us, by kind of cause; the team's is apart. */
    public static final class Waits {
        private final Map<Cause.Kind, Long> byKind = new EnumMap<>(Cause.Kind.class);
        private long team;
        private long all;
        private int reads;

        /** All time held and waited. */
        public long allUs() {
            return all;
        }

        /** What was laid on the export team. */
        public long teamUs() {
            return team;
        }

        /** What was laid on causes of a kind; on other work than the team's for WORK. */
        public long us(Cause.Kind kind) {
            return byKind.getOrDefault(kind, 0L);
        }

        public int reads() {
            return reads;
        }
    }

    private static final long TEAM = 0xb0;
    private static final int NODES = 4;
    private static final long START_US = 1_764_600_000_000_000L;
    private static final long FROM_US = START_US + 20_000_000;
    private static final long UNTIL_US = FROM_US + 10_000_000;
    private static final long END_US = UNTIL_US + 4_000_000;
    private static final long NETWORK_US = 300;
    private static final Scenario WORLD = Scenario.of(new IniFile(
            java.nio.file.Path.of("waits.ini"),
            "[world]\nnodes = 4\ngateways = 1\nvolumes = 20\nload = 0.5\n[restart]\nages = 1 s\n"));

    private final Trouble trouble;
    private final Timers timers = new Timers();
    private final LabNode[] nodes = new LabNode[NODES];
    private final Map<Long, LabNode> byNumber = new HashMap<>();
    private final Waits waits = new Waits();
    private final Map<Long, Boolean> measured = new HashMap<>();
    private final SplittableRandom reads;
    private final SplittableRandom exports;
    private final SplittableRandom others;
    private final Broker broker;
    private long nowUs = START_US;

    private WaitTrial(long seed, Trouble trouble) {
        this.trouble = trouble;
        SplittableRandom random = new SplittableRandom(seed);
        this.reads = random.split();
        this.exports = random.split();
        this.others = random.split();
        for (int i = 0; i < NODES; i++) {
            nodes[i] = new LabNode(i, WORLD.cores(), WORLD.queue(), random.nextDouble(0.8, 1.2), timers, nowUs);
            byNumber.put(nodes[i].listed().number(), nodes[i]);
        }
        this.broker =
                new Broker(WORLD.settings(0), seed, () -> nowUs, timers, new Server(), new Counters(), line -> {});
        LatencyAttributor accounts = new LatencyAttributor(WORLD.cores(), LabNode.WARM_MS, this::over);
        broker.setObserver(accounts);
        broker.updateNodes(
                NodeListKind.FULL,
                java.util.Arrays.stream(nodes).map(LabNode::listed).toList());
    }

    /** Plays one day. */
    public static Waits play(long seed, Trouble trouble) {
        return new WaitTrial(seed, trouble).play();
    }

    private Waits play() {
        every(reads, 14, START_US, END_US, () -> ask(0, 0xa0 + reads.nextInt(10), 0, reads.nextInt(1, 3), reads));
        for (int i = 1; i < NODES; i++) {
            int shard = i;
            every(
                    reads,
                    14,
                    START_US,
                    END_US,
                    () -> ask(0, 0xa0 + reads.nextInt(10), shard, reads.nextInt(1, 3), reads));
        }
        // The team's usual work is there on every day, at the troubled node too: it is there to be blamed.
        every(exports, 1, START_US, END_US, () -> ask(2, TEAM, 0, exports.nextInt(2, 6), exports));
        switch (trouble) {
            case SMALL_SURGE -> surge(8);
            case SURGE -> surge(16);
            case LARGE_SURGE -> surge(32);
            case UNSEEN ->
                every(
                        others,
                        16,
                        FROM_US,
                        UNTIL_US,
                        () -> nodes[0].accept(nowUs, others.nextInt(3, 6) * WORLD.unitMs(), false, how -> {}));
            case SLOW -> {
                timers.schedule(FROM_US, () -> nodes[0].slow(nowUs, 3));
                timers.schedule(UNTIL_US, () -> nodes[0].slow(nowUs, 1));
            }
            case PAUSES -> {
                for (long at = FROM_US; at < UNTIL_US; at += 1_000_000) {
                    timers.schedule(at, () -> nodes[0].pause(nowUs, true));
                    timers.schedule(at + 250_000, () -> nodes[0].pause(nowUs, false));
                }
            }
            default -> {}
        }
        while (timers.nextDueUs() <= END_US + 8_000_000) {
            nowUs = Math.max(nowUs, timers.nextDueUs());
            timers.runDue(nowUs);
        }
        return waits;
    }

    /** Exports a second, of 4 units in the mean, where a node serves some 74 units a second. */
    private void surge(double perSecond) {
        every(others, perSecond, FROM_US, UNTIL_US, () -> ask(2, TEAM, 0, others.nextInt(3, 6), others));
    }

    private void every(SplittableRandom random, double perSecond, long fromUs, long untilUs, Runnable what) {
        long at = fromUs + 1 + (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e6);
        if (at < untilUs) {
            timers.schedule(at, () -> {
                what.run();
                every(random, perSecond, at, untilUs, what);
            });
        }
    }

    private void ask(int kind, long volume, int shard, double units, SplittableRandom random) {
        double work = units * WORLD.unitMs() * random.nextDouble(0.85, 1.15);
        boolean counts = kind == 0 && shard == 0 && nowUs >= FROM_US && nowUs < UNTIL_US + 2_000_000;
        broker.submit(
                new Demand(kind, 1, random.nextLong(), volume, units, shard, 1, false, false, (long)
                        (WORLD.settings(0).classes().get(kind).deadlineMs() * 1000)),
                work,
                new ClientHandler() {
                    @Override
                    public boolean served(Object answer) {
                        return true;
                    }

                    @Override
                    public void refused(long retryAfterUs) {}

                    @Override
                    public void failed(Attempt last) {}
                },
                exchange -> measured.put(exchange.id(), counts));
    }

    private void over(LatencyAttributor.RequestLatency account) {
        if (!Boolean.TRUE.equals(measured.remove(account.request()))) {
            return;
        }
        waits.reads++;
        waits.all += account.heldUs() + account.waitedUs();
        for (LatencyAttributor.WaitShare share : account.shares()) {
            if (share.cause().volume() == TEAM && share.cause().kind() == Cause.Kind.WORK) {
                waits.team += share.us();
            } else {
                waits.byKind.merge(share.cause().kind(), share.us(), Long::sum);
            }
        }
    }

    private final class Server implements NodeTransport {
        @Override
        public void start(Attempt attempt) {
            LabNode node = byNumber.get(attempt.node().number());
            double work = (double) attempt.exchange().message();
            long arrivesUs = nowUs + NETWORK_US;
            timers.schedule(arrivesUs, () -> {
                attempt.requestWritten();
                node.accept(
                        arrivesUs,
                        work,
                        false,
                        how -> timers.schedule(nowUs + NETWORK_US, () -> attempt.end(how, "body", Map.of())));
            });
        }

        @Override
        public void abandon(Attempt attempt) {}

        @Override
        public void probe(Node node, long timeoutUs, ProbeCallback result) {}

        @Override
        public void discardConnections(Node node) {}
    }

    /** The table of what was added to the reads' waits, and on whom it was laid, over seeds. */
    public static String table(long from, long to) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%-12s %12s %8s %8s %8s %8s %8s%n",
                "trouble",
                "added ms",
                "team",
                "others",
                "node",
                "unseen",
                "window"));
        for (Trouble trouble : Trouble.values()) {
            long[] sums = new long[2 + Cause.Kind.values().length];
            for (long seed = from; seed <= to; seed++) {
                Waits without = play(seed, Trouble.NONE);
                Waits with = trouble == Trouble.NONE ? without : play(seed, trouble);
                long sign = trouble == Trouble.NONE ? 0 : 1;
                sums[0] += with.all - sign * without.all;
                sums[1] += with.team - sign * without.team;
                for (Cause.Kind kind : Cause.Kind.values()) {
                    sums[2 + kind.ordinal()] += with.us(kind) - sign * without.us(kind);
                }
            }
            double all = Math.max(1, sums[0]);
            text.append(String.format(
                    Locale.ROOT,
                    "%-12s %12.0f %7.1f%% %7.1f%% %7.1f%% %7.1f%% %7.1f%%%n",
                    trouble.name().toLowerCase(Locale.ROOT),
                    sums[0] / 1000.0,
                    100 * sums[1] / all,
                    100 * sums[2 + Cause.Kind.WORK.ordinal()] / all,
                    100 * sums[2 + Cause.Kind.NODE.ordinal()] / all,
                    100 * sums[2 + Cause.Kind.UNSEEN.ordinal()] / all,
                    100 * sums[2 + Cause.Kind.WINDOW.ordinal()] / all));
        }
        return text.toString();
    }
}
