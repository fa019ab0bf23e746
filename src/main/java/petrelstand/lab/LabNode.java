package petrelstand.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import petrelstand.core.Node;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;

/**
 * A storage node in virtual time: a few cores that serve in turn of arrival, a queue that turns away when it is full,
 * and its troubles. It may pause, run slower, share its machine, or fall silent and come back cold; a cold one that is
 * sent too much falls over and stays down.
 */
final class LabNode {
    static final double COLD_SHARE = 0.26;
    static final double WARM_MS = 18_000;
    static final double FALL_MS = 1_500;
    static final double FALL_MULTIPLE = 2;
    /** Part of a write's work that is put off, and how often that is done in one go. */
    static final double PUT_OFF = 0.33;

    static final long FLUSH_US = 2_500_000;
    private static final long WARM_STEP_US = 250_000;

    /** A request at the node; work in core milliseconds at usual speed. */
    private static final class Job {
        private double leftMs;
        private final Consumer<Outcome> answer;

        Job(double workMs, Consumer<Outcome> answer) {
            this.leftMs = workMs;
            this.answer = answer;
        }
    }

    private record Sent(long atUs, double workMs) {}

    final String name;
    private final int shard;
    private final int cores;
    private final int queueLimit;
    private final double usualSpeed;
    private final Timers timers;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private final ArrayDeque<Sent> coldSent = new ArrayDeque<>();
    private double slowness = 1;
    private double taken;
    private boolean paused;
    private boolean silent;
    private boolean fallen;
    private double errors;
    private double errorsDue;
    private double nearestToFall;
    private long startedUs;
    private long advancedUs;
    private double putOffMs;
    private Timers.Timer next;

    LabNode(int number, int cores, int queueLimit, double usualSpeed, Timers timers, long nowUs) {
        this(number, number, cores, queueLimit, usualSpeed, timers, nowUs, 0);
    }

    /** A node with a number of its own, and with a start time (0: long ago) from which it is cold. */
    LabNode(
            int number,
            int shard,
            int cores,
            int queueLimit,
            double usualSpeed,
            Timers timers,
            long nowUs,
            long startedUs) {
        this.name = String.format("s-%08x", 0x1000 + number * 7919);
        this.shard = shard;
        this.startedUs = startedUs;
        this.cores = cores;
        this.queueLimit = queueLimit;
        this.usualSpeed = usualSpeed;
        this.timers = timers;
        this.advancedUs = nowUs;
        // Nodes do not flush in step.
        timers.schedule(nowUs + FLUSH_US * (1 + number % 7) / 7, () -> flush(nowUs + FLUSH_US * (1 + number % 7) / 7));
    }

    /** The node as discovery lists it. */
    Node listed() {
        return new Node(
                name,
                "127.0.0.1:1",
                new NodeEntry(
                        Node.numberOf(name),
                        0,
                        shard,
                        fallen ? NodeState.GONE : NodeState.READY,
                        1,
                        startedUs / 1000.0));
    }

    boolean fallen() {
        return fallen;
    }

    /** The most work sent in the rule's time while cold, as a part of what makes it fall over. */
    double nearestToFall() {
        return nearestToFall;
    }

    double usualSpeed() {
        return usualSpeed;
    }

    private double warmth(long nowUs) {
        return startedUs == 0 ? 1 : Math.min(1, COLD_SHARE + (1 - COLD_SHARE) * (nowUs - startedUs) / 1000.0 / WARM_MS);
    }

    /** What each request in work gets: a cold node does less in all, its cores shared by what runs. */
    private double speed(long nowUs) {
        double shared = Math.min(1, cores * warmth(nowUs) / Math.max(1, running.size()));
        return paused || silent || fallen ? 0 : usualSpeed / slowness * (1 - taken) * shared;
    }

    /** A request's last byte has come. */
    void accept(long nowUs, double workMs, boolean write, Consumer<Outcome> answer) {
        if (silent || fallen) {
            return;
        }
        advance(nowUs);
        if (warmth(nowUs) < 1) {
            coldSent.addLast(new Sent(nowUs, workMs));
            while (coldSent.peekFirst().atUs < nowUs - FALL_MS * 1000) {
                coldSent.removeFirst();
            }
            double sent = coldSent.stream().mapToDouble(Sent::workMs).sum();
            double part =
                    sent / (FALL_MULTIPLE * cores * warmth(nowUs) * FALL_MS * usualSpeed / slowness * (1 - taken));
            nearestToFall = Math.max(nearestToFall, part);
            if (part > 1) {
                fall();
                return;
            }
        }
        errorsDue += errors;
        if (errorsDue >= 1) {
            errorsDue--;
            answer.accept(Outcome.ERROR);
            return;
        }
        if (queue.size() >= queueLimit) {
            answer.accept(Outcome.REJECTED);
            return;
        }
        putOffMs += write ? workMs * PUT_OFF : 0;
        queue.addLast(new Job(write ? workMs * (1 - PUT_OFF) : workMs, answer));
        plan(nowUs);
    }

    private void fall() {
        fallen = true;
        queue.clear();
        running.clear();
    }

    private void flush(long nowUs) {
        advance(nowUs);
        if (putOffMs > 0 && !silent) {
            queue.addFirst(new Job(putOffMs, outcome -> {}));
            putOffMs = 0;
        }
        plan(nowUs);
        timers.schedule(nowUs + FLUSH_US, () -> flush(nowUs + FLUSH_US));
    }

    /** Does the work since the last look; a change of speed in between must have been looked at. */
    private void advance(long nowUs) {
        double speed = speed(advancedUs);
        double doneMs = (nowUs - advancedUs) / 1000.0 * speed;
        running.forEach(job -> job.leftMs -= doneMs);
        advancedUs = nowUs;
    }

    /** Ends what is done, begins what has a core, and sets the timer for the next end. */
    private void plan(long nowUs) {
        List<Job> done = running.stream().filter(job -> job.leftMs <= 1e-6).toList();
        running.removeAll(done);
        while (running.size() < cores && !queue.isEmpty()) {
            running.add(queue.removeFirst());
        }
        if (next != null) {
            next.cancel();
            next = null;
        }
        double speed = speed(nowUs);
        if (!running.isEmpty() && speed > 0) {
            double leastMs =
                    running.stream().mapToDouble(job -> job.leftMs).min().orElseThrow();
            long atUs = nowUs + Math.max(1, (long) Math.ceil(leastMs / speed * 1000));
            // While it warms its speed changes, so it is looked at often.
            long lookUs = warmth(nowUs) < 1 ? Math.min(atUs, nowUs + WARM_STEP_US) : atUs;
            next = timers.schedule(lookUs, () -> {
                next = null;
                advance(lookUs);
                plan(lookUs);
            });
        }
        done.forEach(job -> job.answer.accept(Outcome.SERVED));
    }

    private void change(long nowUs, Runnable how) {
        advance(nowUs);
        how.run();
        plan(nowUs);
    }

    void slow(long nowUs, double factor) {
        change(nowUs, () -> slowness = factor);
    }

    void share(long nowUs, double part) {
        change(nowUs, () -> taken = part);
    }

    void pause(long nowUs, boolean on) {
        change(nowUs, () -> paused = on);
    }

    /** From now on this share of requests, evenly spread, ends at once in an error. */
    void err(double share) {
        errors = share;
    }

    /** The machine goes silent: what it holds is lost, and nobody hears of it. */
    void vanish(long nowUs) {
        change(nowUs, () -> {
            silent = true;
            queue.clear();
            running.clear();
            putOffMs = 0;
        });
    }

    /** It is back, cold. */
    void comeBack(long nowUs) {
        change(nowUs, () -> {
            silent = false;
            startedUs = nowUs;
        });
    }
}
