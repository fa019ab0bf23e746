package petrelstand.lab.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import petrelstand.fleet.AuthenticatedCodec;
import petrelstand.lab.Probe;
import petrelstand.lab.VirtualTime;
import petrelstand.members.FleetVisibility;
import petrelstand.members.Member;
import petrelstand.members.MemberState;
import petrelstand.members.Membership;
import petrelstand.members.MembershipTiming;
import petrelstand.members.Message.Envelope;
import petrelstand.members.ViewChange;

/**
 * A fleet in virtual time: the same {@link Membership} as in the gateway, with links that lose, delay, repeat and
 * reorder, and processes that stop, die and start again. One seed gives one course.
 */
public final class FleetSim {
    /** Makes the module of a process; tests plant defects here. */
    public interface Maker {
        Membership make(long nowUs, Member self, List<String> seeds, long seed, Membership.Callbacks actions);
    }

    /** What a process saw change, for the checks and measurements. */
    public record Seen(int process, long boot, ViewChange change) {}

    private static final String FLEET = "lab";
    private static final long LEAST_DELAY_US = 150;

    private final class Process implements Membership.Callbacks {
        final int number;
        Membership module;
        long life;
        boolean up;
        boolean stopped;
        final ArrayDeque<Envelope> waiting = new ArrayDeque<>();

        Process(int number) {
            this.number = number;
        }

        void start() {
            up = true;
            stopped = false;
            long of = ++life;
            waiting.clear();
            long boot = random.nextLong();
            Member self = new Member(
                    name(number),
                    boot,
                    1_000_000 + time.nowUs(),
                    address(number),
                    MemberState.JOINING,
                    "",
                    time.nowUs() / 1000,
                    "lab",
                    List.of());
            probe.entered(number);
            module = maker.make(time.nowUs(), self, seeds, random.nextLong(), this);
            probe.left(number);
            at(time.nowUs() + random.nextLong(MembershipTiming.TICK_INTERVAL_US), () -> tick(of));
        }

        private void tick(long of) {
            if (of != life || !up) {
                return;
            }
            if (!stopped) {
                drain();
                probe.entered(number);
                module.tick(time.nowUs());
                probe.left(number);
                if (module.hasLeft()) {
                    up = false;
                    return;
                }
            }
            at(time.nowUs() + MembershipTiming.TICK_INTERVAL_US, () -> tick(of));
        }

        /** Continues a stopped process as the gateway's loop does: the stall is noticed, then the input is handled. */
        void resume(long of) {
            if (of != life || !up) {
                return;
            }
            stopped = false;
            probe.entered(number);
            module.detectStall(time.nowUs());
            probe.left(number);
            drain();
        }

        private void drain() {
            while (!waiting.isEmpty()) {
                take(waiting.poll());
            }
        }

        private void take(Envelope message) {
            probe.entered(number);
            module.receive(time.nowUs(), message);
            probe.left(number);
        }

        @Override
        public void send(String address, Envelope message) {
            sent++;
            byte[] datagram = form == null ? NO_DATAGRAM : form.encode(message);
            probe.left(number);
            probe.sent(number, datagram.length);
            carry(number, addresses.getOrDefault(address, -1), message, datagram);
            probe.entered(number);
        }

        @Override
        public void onViewChanged(ViewChange change) {
            seen.add(new Seen(number, module.self().bootId(), change));
        }

        @Override
        public void onVisibilityChanged(FleetVisibility standing) {}

        @Override
        public void onStall(long us) {}

        @Override
        public void incrementCounter(String what) {
            counts.merge(what, 1L, Long::sum);
        }

        @Override
        public void logMessage(String line) {}
    }

    private static final byte[] NO_DATAGRAM = {};

    private final Maker maker;
    private final Probe probe;
    /** Makes datagrams of messages, or null where the messages themselves are handed over. */
    private final AuthenticatedCodec form;

    private final SplittableRandom random;
    private final List<String> seeds = new ArrayList<>();
    private final Map<String, Integer> addresses = new HashMap<>();
    private final List<Process> processes = new ArrayList<>();
    private final VirtualTime time = new VirtualTime();
    private final Links links;
    private final List<Seen> seen = new ArrayList<>();
    private final Map<String, Long> counts = new TreeMap<>();
    private long sent;
    private double loss;

    /** A fleet whose processes all start within the first half second. */
    public FleetSim(int size, long seed, Maker maker) {
        this(size, seed, maker, Probe.NONE, null);
    }

    /** The same, observed; every message goes through its wire form, as between real processes. */
    public FleetSim(int size, long seed, Maker maker, Probe probe) {
        this(size, seed, maker, probe, new AuthenticatedCodec());
    }

    private FleetSim(int size, long seed, Maker maker, Probe probe, AuthenticatedCodec form) {
        this.maker = maker;
        this.probe = probe;
        this.form = form;
        this.random = new SplittableRandom(seed);
        this.links = new Links(size, seed + 1);
        for (int i = 0; i < size; i++) {
            addresses.put(address(i), i);
            if (i < 3) {
                seeds.add(address(i));
            }
            processes.add(new Process(i));
        }
        for (Process process : processes) {
            at(random.nextLong(500_000), process::start);
        }
    }

    /** The module as the gateway has it. */
    public static Maker usual(MembershipTiming timing) {
        return (now, self, seeds, seed, actions) -> new Membership(now, FLEET, self, seeds, 0, timing, seed, actions);
    }

    static String name(int number) {
        return String.format("g%03d", number);
    }

    private static String address(int number) {
        return "10.0." + number / 200 + "." + number % 200 + ":7946";
    }

    private void at(long us, Runnable action) {
        time.at(us, action);
    }

    /** Plays on to a time. */
    public void run(long untilUs) {
        time.run(untilUs);
    }

    public long nowUs() {
        return time.nowUs();
    }

    /** Messages sent by all so far. */
    public long sent() {
        return sent;
    }

    public Map<String, Long> counts() {
        return counts;
    }

    public List<Seen> seen() {
        return Collections.unmodifiableList(seen);
    }

    /** Forgets what was seen so far, which grows with the square of the fleet. */
    public void forgetSeen() {
        seen.clear();
    }

    /** The module of a process that runs, else null. */
    public Membership module(int number) {
        Process process = processes.get(number);
        return process.up && !process.stopped ? process.module : null;
    }

    /** A part of all messages is lost from now on. */
    public void loss(double part) {
        loss = part;
    }

    private void carry(int from, int to, Envelope message, byte[] datagram) {
        if (to < 0 || loss > 0 && random.nextDouble() < loss) {
            return;
        }
        for (long later : links.delays(from, to, time.nowUs())) {
            double queued = -Math.log(1 - random.nextDouble()) * 200;
            at(time.nowUs() + later + LEAST_DELAY_US + (long) queued, () -> deliver(to, message, datagram));
        }
    }

    private void deliver(int to, Envelope message, byte[] datagram) {
        Process process = processes.get(to);
        if (!process.up) {
            return;
        }
        probe.received(to, datagram.length);
        Envelope arrival = form == null ? message : opened(to, datagram);
        if (process.stopped) {
            if (process.waiting.size() < 200) {
                process.waiting.add(arrival);
            }
        } else {
            process.take(arrival);
        }
    }

    private Envelope opened(int process, byte[] datagram) {
        probe.entered(process);
        try {
            return form.decode(datagram);
        } catch (IOException e) {
            throw new UncheckedIOException("a datagram that this fleet made can't be read", e);
        } finally {
            probe.left(process);
        }
    }

    /** Sets a plan's faults up, each at its time. */
    public void arm(FleetPlan plan) {
        for (FleetPlan.Fault fault : plan.faults()) {
            at(fault.atUs(), () -> strike(fault));
        }
    }

    /** Starts a fault now. */
    public void strike(FleetPlan.Fault fault) {
        Process process = processes.get(Math.min(fault.who(), processes.size() - 1));
        switch (fault.kind()) {
            case KILL -> {
                process.up = false;
                again(process, fault);
            }
            case TERM -> {
                if (process.up && !process.stopped) {
                    probe.entered(process.number);
                    process.module.leave(time.nowUs());
                    probe.left(process.number);
                    again(process, fault);
                }
            }
            case STOP -> {
                long life = process.life;
                process.stopped = true;
                at(time.nowUs() + fault.lengthUs(), () -> process.resume(life));
            }
            default -> {
                if (fault.kind().ofLinks()) {
                    links.begin(fault, time.nowUs() + fault.lengthUs());
                }
            }
        }
    }

    private void again(Process process, FleetPlan.Fault fault) {
        if (fault.lengthUs() > 0) {
            long life = process.life;
            at(time.nowUs() + Math.max(fault.lengthUs(), 300_000), () -> {
                if (process.life == life) {
                    process.start();
                }
            });
        }
    }

    /** The processes that run. */
    public List<Integer> running() {
        return java.util.stream.IntStream.range(0, processes.size())
                .filter(i -> module(i) != null)
                .boxed()
                .toList();
    }

    /** Whether all that run hold the same members to be there, and just those that run. */
    public boolean agreed() {
        List<Integer> running = running();
        long digest = 0;
        for (int i = 0; i < running.size(); i++) {
            Membership module = module(running.get(i));
            if (module.self().state() != MemberState.ALIVE
                    || module.visibility().visibleMembers() != running.size()
                    || i > 0 && module.digest() != digest) {
                return false;
            }
            digest = module.digest();
        }
        return true;
    }

    /** Plays on until a condition holds, looked at every 10 ms; the time it took, or -1 where it did not by then. */
    public long until(Predicate<FleetSim> condition, long mostUs) {
        long from = time.nowUs();
        while (time.nowUs() - from <= mostUs) {
            if (condition.test(this)) {
                return time.nowUs() - from;
            }
            run(time.nowUs() + 10_000);
        }
        return -1;
    }

    private static final int MOST_SHOWN = 5;

    /** How long after the last fault all must hold one view. */
    public static final long ONE_VIEW_US = 5_000_000;

    /** Plays a plan whole; says what did not hold, or nothing. */
    public static String play(FleetPlan plan, Maker maker) {
        FleetSim fleet = new FleetSim(plan.size(), plan.seed(), maker);
        fleet.arm(plan);
        fleet.run(Math.max(plan.calmUs(), 2_000_000));
        if (fleet.until(FleetSim::agreed, ONE_VIEW_US) < 0) {
            return "no one view " + ONE_VIEW_US / 1_000_000 + " s after the last fault: " + fleet.differences();
        }
        fleet.run(plan.lengthUs());
        if (!fleet.agreed()) {
            return "one view was reached and lost again: " + fleet.differences();
        }
        return fleet.returned();
    }

    /** Takes out one fault after another as long as the plan still fails. */
    public static FleetPlan shrink(FleetPlan plan, Maker maker) {
        for (int i = 0; i < plan.faults().size(); i++) {
            FleetPlan fewer = plan.without(i);
            if (!play(fewer, maker).isEmpty()) {
                return shrink(fewer, maker);
            }
        }
        return plan;
    }

    private String differences() {
        StringBuilder text = new StringBuilder();
        List<Integer> running = running();
        int shown = 0;
        for (int i : running) {
            Membership module = module(i);
            if (module.visibility().visibleMembers() != running.size() && shown++ < MOST_SHOWN) {
                text.append(text.isEmpty() ? "" : ", ")
                        .append(name(i))
                        .append(' ')
                        .append(module.self().state())
                        .append(" sees ")
                        .append(module.visibility().visibleMembers());
            }
        }
        return shown + " of " + running.size() + " do not see all: " + text;
    }

    /** A life that somebody held to be gone for good, and later to be there again without a later incarnation. */
    private String returned() {
        Map<String, Long> gone = new HashMap<>();
        for (Seen one : seen) {
            Member member = one.change().member();
            String key = one.process() + " " + one.boot() + " " + member.name() + " " + member.bootId();
            boolean quiet = one.change().cause().equals("nobody is heard here")
                    || one.change().cause().equals("heard again")
                    || one.change().cause().startsWith("stood still");
            if (one.change().member().bootId() == one.boot() || quiet) {
                continue;
            }
            if (!member.state().isPresent()) {
                gone.put(key, member.incarnation());
            } else if (gone.containsKey(key) && member.incarnation() <= gone.get(key)) {
                return FleetSim.name(one.process()) + " took " + member.name() + " back on an old claim: "
                        + one.change().cause();
            }
        }
        return "";
    }
}
