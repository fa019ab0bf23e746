package petrelstand.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import petrelstand.core.Attempt;
import petrelstand.core.Broker;
import petrelstand.core.ClientHandler;
import petrelstand.core.Counters;
import petrelstand.core.Demand;
import petrelstand.core.Exchange;
import petrelstand.core.Node;
import petrelstand.core.NodeTransport;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.state.Snapshot;
import petrelstand.state.SnapshotEvaluator;

/**
 * One day in virtual time: the real core and decision module of several gateways before nodes that the laboratory
 * plays. It depends on the scenario, the seed and the way of the restart alone; no clock, no thread, no socket.
 */
final class Day {
    /**
     * How the gateways that the scenario names get through their restart. ALL_KEPT is the measure: nobody reaches such
     * a gateway while the others are down, and it forgets nothing. NEVER_STOPPED serves on in that time, so its nodes
     * are fuller afterwards.
     */
    enum Way {
        NEVER_STOPPED,
        ALL_KEPT,
        NOTHING_KEPT,
        STATE_KEPT
    }

    /** What a day came to, for requests that first reached a restarted gateway in a span after the restart. */
    static final class Tally {
        double due;
        double earned;
        int asked;
        int lateRefusals;
        final Histogram tileReads = new Histogram(10_000_000, 3);

        double share() {
            return due == 0 ? 1 : earned / due;
        }
    }

    static final class Outcome {
        /** The first 5 s and the first 30 s; on a day without a restart, the whole day as {@code longer}. */
        final Tally first = new Tally();

        final Tally longer = new Tally();
        /** The day by spans of {@link #SPAN_US}; empty on a day with a restart. */
        final List<Tally> spans = new ArrayList<>();

        int fallen;
        /** How near each node that was cold came to falling over: 1 falls. */
        double[] nearestToFall;

        int requests;
        int remembered;
    }

    static final long FIRST_US = 5_000_000;
    static final long LONGER_US = 30_000_000;
    static final long SPAN_US = 5_000_000;
    /** Virtual days begin at some Unix time, as real ones do: the module takes 0 for long ago. */
    private static final long EPOCH_US = 1_764_600_000_000_000L;

    private static final long NETWORK_US = 300;
    private static final long LIST_AT_START_US = 100_000;

    private final Scenario scenario;
    private final Way way;
    private final long restartUs;
    private final long untilUs;
    private final Timers timers = new Timers();
    /** The node of each shard, and all that there ever were. */
    private final List<LabNode> nodes = new ArrayList<>();

    private final List<LabNode> ever = new ArrayList<>();
    private final Map<String, LabNode> byName = new HashMap<>();
    private final List<Node> listed = new ArrayList<>();
    private final Host[] hosts;
    private final Workload workload;
    /** What is still due to a volume for a second; those of the seconds before the last few are dropped. */
    private final Map<Long, double[]> dues = new java.util.LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, double[]> eldest) {
            return size() > scenario.volumes() * 15;
        }
    };

    private final Outcome outcome = new Outcome();
    private long nowUs = EPOCH_US;

    Day(Scenario scenario, long seed, long ageUs, Way way) {
        this.scenario = scenario;
        this.way = way;
        this.restartUs = scenario.restart() == null
                ? EPOCH_US
                : EPOCH_US + scenario.restart().captureUs() + ageUs;
        this.untilUs = scenario.restart() == null ? EPOCH_US + scenario.lengthUs() : restartUs + LONGER_US;
        if (scenario.restart() == null) {
            for (long at = EPOCH_US; at < untilUs; at += SPAN_US) {
                outcome.spans.add(new Tally());
            }
        }
        java.util.SplittableRandom random = new java.util.SplittableRandom(seed * 31 + 7);
        for (int i = 0; i < scenario.nodes(); i++) {
            LabNode node =
                    new LabNode(i, scenario.cores(), scenario.queue(), random.nextDouble(0.75, 1.25), timers, nowUs);
            nodes.add(node);
            ever.add(node);
            byName.put(node.name, node);
            listed.add(node.listed());
        }
        scenario.faults().forEach(this::plan);
        this.workload = new Workload(scenario, seed, untilUs - EPOCH_US);
        this.hosts = new Host[scenario.gateways()];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = new Host(i, seed);
            hosts[i].begin(null);
        }
        if (scenario.restart() != null && way != Way.NEVER_STOPPED) {
            planRestart(seed);
        }
    }

    private void planRestart(long seed) {
        for (int i = 0; i < scenario.restart().gateways(); i++) {
            Host[] host = {hosts[i]};
            int index = i;
            Snapshot[] kept = new Snapshot[1];
            timers.schedule(EPOCH_US + scenario.restart().captureUs(), () -> kept[0] = host[0].snapshot());
            timers.schedule(
                    Math.max(
                            restartUs - scenario.restart().downUs(),
                            EPOCH_US + scenario.restart().captureUs() + 1),
                    () -> host[0].leave(way != Way.ALL_KEPT));
            timers.schedule(restartUs, () -> {
                if (way == Way.ALL_KEPT) {
                    host[0].away = false;
                    return;
                }
                hosts[index] = new Host(index, seed + 1);
                hosts[index].begin(way == Way.STATE_KEPT ? kept[0] : null);
            });
        }
    }

    /** Plays the day to its end. */
    Outcome play() {
        Workload.Ask ask = workload.next();
        while (nowUs < untilUs + 6_000_000) {
            long askUs = EPOCH_US + ask.atUs();
            long next = Math.min(timers.nextDueUs(), askUs);
            nowUs = Math.max(nowUs, next);
            if (askUs <= nowUs) {
                if (askUs < untilUs) {
                    come(ask);
                }
                ask = workload.next();
            } else {
                timers.runDue(nowUs);
            }
        }
        outcome.fallen = (int) ever.stream().filter(LabNode::fallen).count();
        outcome.nearestToFall = ever.stream()
                .mapToDouble(LabNode::nearestToFall)
                .filter(part -> part > 0)
                .toArray();
        return outcome;
    }

    // ---- Troubles ----

    private void plan(Scenario.Fault fault) {
        long from = EPOCH_US + fault.fromUs();
        long until = (fault.untilAfterRestart() ? restartUs : EPOCH_US) + fault.untilUs();
        for (int i = fault.first(); i < fault.first() + fault.count(); i++) {
            int place = i;
            if (fault.kind() == Scenario.Kind.KILLED) {
                timers.schedule(from, () -> hosts[place].leave(true));
                timers.schedule(until, () -> {
                    hosts[place] = new Host(place, nowUs);
                    hosts[place].begin(null);
                });
                continue;
            }
            LabNode node = nodes.get(i);
            switch (fault.kind()) {
                case SLOW -> {
                    timers.schedule(from, () -> node.slow(nowUs, fault.size()));
                    timers.schedule(until, () -> node.slow(nowUs, 1));
                }
                case NEIGHBOUR -> {
                    timers.schedule(from, () -> node.share(nowUs, fault.size()));
                    timers.schedule(until, () -> node.share(nowUs, 0));
                }
                case PAUSES -> timers.schedule(from, () -> pause(node, fault, until));
                case SILENT -> {
                    timers.schedule(from, () -> node.vanish(nowUs));
                    timers.schedule(until, () -> {
                        node.comeBack(nowUs);
                        listed.set(place, node.listed());
                        tell(List.of(node.listed()));
                    });
                }
                case ERRORS -> {
                    timers.schedule(from, () -> node.err(fault.size()));
                    timers.schedule(until, () -> node.err(0));
                }
                case REPLACED -> {
                    timers.schedule(from, () -> tell(List.of(node.listed().withState(NodeState.DRAINING))));
                    timers.schedule(until, () -> replace(place));
                }
                case KILLED -> throw new IllegalStateException();
            }
        }
    }

    private void pause(LabNode node, Scenario.Fault fault, long until) {
        if (nowUs >= until) {
            return;
        }
        node.pause(nowUs, true);
        timers.schedule(nowUs + (long) (fault.size() * 1000), () -> node.pause(nowUs, false));
        timers.schedule(nowUs + 2_000_000, () -> pause(node, fault, until));
    }

    /** A new node takes the shard; the old one's machine is gone. */
    private void replace(int place) {
        LabNode old = nodes.get(place);
        old.vanish(nowUs);
        LabNode node = new LabNode(
                ever.size(), place, scenario.cores(), scenario.queue(), old.usualSpeed(), timers, nowUs, nowUs);
        nodes.set(place, node);
        ever.add(node);
        byName.put(node.name, node);
        listed.set(place, node.listed());
        tell(List.of(old.listed().asGone(), node.listed()));
    }

    /** Changes reach each gateway after the list's delay, one gateway after another. */
    private void tell(List<Node> changes) {
        for (int i = 0; i < hosts.length; i++) {
            int index = i;
            timers.schedule(nowUs + scenario.listDelayUs() + i * scenario.listSpreadUs(), () -> {
                if (!hosts[index].dead) {
                    hosts[index].broker.updateNodes(NodeListKind.CHANGES, changes);
                }
            });
        }
    }

    // ---- Gateways ----

    private final class Host implements NodeTransport {
        private final int index;
        private final Settings settings;
        private final Broker broker;
        /** Clients do not reach it. */
        private boolean away;
        /** Killed: nothing that it began comes to anything. */
        private boolean dead;

        Host(int index, long seed) {
            this.index = index;
            this.settings = scenario.settings(index);
            this.broker =
                    new Broker(settings, seed * 101 + index, () -> nowUs, timers, this, new Counters(), line -> {});
        }

        void begin(Snapshot kept) {
            if (kept != null) {
                SnapshotEvaluator.Evaluation verdict =
                        new SnapshotEvaluator("g" + index, settings).evaluate(kept, nowUs / 1000.0);
                outcome.remembered += verdict.learned().nodes().size();
                broker.restoreLearnedState(verdict.learned());
            }
            broker.updateNodes(NodeListKind.CACHED, List.copyOf(listed));
            timers.schedule(nowUs + LIST_AT_START_US, () -> {
                if (!dead) {
                    broker.updateNodes(NodeListKind.FULL, List.copyOf(listed));
                }
            });
        }

        Snapshot snapshot() {
            return new Snapshot(
                    "g" + index,
                    Snapshot.fingerprint(settings),
                    1,
                    nowUs / 1000,
                    scenario.restart().clean(),
                    broker.learnedState());
        }

        void leave(boolean killed) {
            away = true;
            dead = killed;
        }

        @Override
        public void start(Attempt attempt) {
            if (dead) {
                return;
            }
            LabNode node = byName.get(attempt.node().name());
            Try of = (Try) attempt.exchange().message();
            long arrivesUs = nowUs + NETWORK_US;
            timers.schedule(
                    arrivesUs,
                    () -> node.accept(
                            arrivesUs,
                            of.ask.workMs(),
                            of.ask.kind() == 1,
                            how -> timers.schedule(nowUs + NETWORK_US, () -> {
                                if (!dead) {
                                    attempt.end(how, "body", Map.of());
                                }
                            })));
        }

        @Override
        public void abandon(Attempt attempt) {}

        @Override
        public void probe(Node node, long timeoutUs, ProbeCallback result) {}

        @Override
        public void discardConnections(Node node) {}
    }

    // ---- Clients ----

    /** A request of a client, with its one repeat. */
    private final class Try implements ClientHandler {
        private final Workload.Ask ask;
        private final long firstUs;
        private final double[] due;
        private boolean repeated;
        private long takenUs;

        Try(Workload.Ask ask, double[] due) {
            this.ask = ask;
            this.firstUs = nowUs;
            this.due = due;
        }

        private RequestClass kind() {
            return hosts[ask.gateway()].settings.classes().get(ask.kind());
        }

        /** Takes the best of what is still due to the volume for that second, and the class's worth of it. */
        private double take(boolean late) {
            double left = ask.units();
            double worth = 0;
            double[] steps = {1, 0.3, 0.05};
            for (int i = late ? 2 : 0; i < steps.length; i++) {
                double units = i == 2 ? left : Math.max(0, Math.min(left, due[i]));
                due[i] -= units;
                worth += units * steps[i];
                left -= units;
            }
            return worth * kind().worth() * (late ? kind().lateWorth() : 1);
        }

        /** What it would earn in time if all came in the order of their arrival; the due's second half counts it. */
        private double wanted() {
            double left = ask.units();
            double worth = 0;
            double[] steps = {1, 0.3, 0.05};
            for (int i = 0; i < steps.length; i++) {
                double units = i == 2 ? left : Math.max(0, Math.min(left, due[3 + i]));
                if (i < 2) {
                    due[3 + i] -= units;
                }
                worth += units * steps[i];
                left -= units;
            }
            return worth * kind().worth();
        }

        void go() {
            Host host = hosts[ask.gateway()];
            takenUs = nowUs;
            long leftUs = (long) (kind().deadlineMs() * 1000) - (nowUs - firstUs);
            if (host.away || leftUs <= 1000) {
                return;
            }
            host.broker.submit(
                    new Demand(
                            ask.kind(),
                            ask.plan(),
                            ask.key(),
                            ask.volume(),
                            ask.units(),
                            ask.shard(),
                            ask.setSize(),
                            repeated,
                            ask.kind() == 1,
                            leftUs),
                    this,
                    this,
                    exchange -> {});
        }

        private void tally(java.util.function.Consumer<Tally> of) {
            if (scenario.restart() == null) {
                of.accept(outcome.longer);
                of.accept(outcome.spans.get((int) ((firstUs - EPOCH_US) / SPAN_US)));
            } else if (counts(ask.gateway(), firstUs)) {
                if (firstUs < restartUs + FIRST_US) {
                    of.accept(outcome.first);
                }
                of.accept(outcome.longer);
            }
        }

        @Override
        public boolean served(Object answer) {
            double ms = (nowUs - firstUs) / 1000.0;
            double earned = take(ms > kind().aimMs());
            tally(tally -> {
                tally.earned += earned;
                if (ask.kind() == 0) {
                    tally.tileReads.recordValue(Math.min(9_999_999, nowUs - firstUs));
                }
            });
            return true;
        }

        @Override
        public void refused(long retryAfterUs) {
            unserved();
            if (scenario.retries() && !repeated) {
                repeated = true;
                timers.schedule(nowUs + Math.max(100_000, retryAfterUs), this::go);
            }
        }

        @Override
        public void failed(Attempt last) {
            unserved();
        }

        private void unserved() {
            if (nowUs - takenUs > kind().deadlineMs() * 500) {
                tally(tally -> tally.lateRefusals++);
            }
        }

        @Override
        public void exchangeClosed(Exchange exchange) {}
    }

    /** Requests of the gateways that restart, from the restart on; all of a day without one. */
    private boolean counts(int gateway, long firstUs) {
        return scenario.restart() == null
                || gateway < scenario.restart().gateways() && firstUs >= restartUs && firstUs < untilUs;
    }

    private void come(Workload.Ask ask) {
        outcome.requests++;
        long second = ask.atUs() / 1_000_000;
        double plan = scenario.volumeUnits() * (ask.plan() == 0 ? 1 : 1.5);
        // What is due to the volume in that second over all gateways: its reserve, and as much again of its share.
        double[] due = dues.computeIfAbsent(ask.volume() * 1_000_000 + second, key -> new double[] {
            plan * (ask.plan() == 0 ? 0.5 : 0.8), plan, Double.MAX_VALUE, plan * (ask.plan() == 0 ? 0.5 : 0.8), plan
        });
        Try of = new Try(ask, due);
        if (counts(ask.gateway(), nowUs)) {
            double worth = of.wanted();
            of.tally(tally -> {
                tally.due += worth;
                tally.asked++;
            });
        }
        of.go();
    }
}
