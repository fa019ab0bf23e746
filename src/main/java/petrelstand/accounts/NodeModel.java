package petrelstand.accounts;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A replay of our own requests at one node, as if it served nothing else at its usual speed: some cores, in turn of
 * arrival. It says what our own work ahead explains of a wait, and whose work that was. Time never goes back; times are
 * microseconds.
 */
final class NodeModel {
    /** Requests that wait in the model at most; more are not modelled, and wait for what is unseen. */
    static final int MAX_QUEUED = 512;
    /** How long the work done is remembered. */
    static final long WORK_KEPT_US = 10_000_000;

    static final int MAX_WORK_KEPT = 1024;
    /** Owners that a wait is shared among at most. */
    static final int MAX_OWNERS = 16;

    /** One attempt at the node. */
    static final class Job {
        private final Cause owner;
        private final long arrivedUs;
        private final long workUs;
        /** When the model began and ended it; -1 where it has not. */
        private long startedUs = -1;

        private long endedUs = -1;
        private boolean queued;
        /** Whose work made it wait in the model; in core microseconds, and in proportion only. */
        private List<CoreTime> waitedFor = List.of();

        private Job(Cause owner, long arrivedUs, long workUs) {
            this.owner = owner;
            this.arrivedUs = arrivedUs;
            this.workUs = workUs;
        }

        long arrivedUs() {
            return arrivedUs;
        }

        boolean hasStarted() {
            return startedUs >= 0;
        }
    }

    /** Work that an owner's requests did in a stretch of time, in core microseconds. */
    record CoreTime(Cause owner, long us) {}

    private final Job[] cores;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    /** Work done and in hand, the oldest first. */
    private final ArrayDeque<Job> startedJobs = new ArrayDeque<>();

    private long nowUs;
    private long longestWorkUs;

    NodeModel(int cores) {
        this.cores = new Job[cores];
    }

    int size() {
        return queue.size() + startedJobs.size();
    }

    /** True where nothing of ours is there. */
    boolean advanceAndCheckIdle(long atUs) {
        advance(atUs);
        for (Job job : cores) {
            if (job != null) {
                return false;
            }
        }
        return queue.isEmpty();
    }

    /** A request's last byte has come to the node. */
    Job arrive(long atUs, Cause owner, long workUs) {
        advance(atUs);
        Job job = new Job(owner, nowUs, Math.max(1, workUs));
        if (queue.size() < MAX_QUEUED) {
            job.queued = true;
            queue.addLast(job);
            startQueuedJobs(nowUs);
        }
        return job;
    }

    /** Runs the model up to a time. */
    private void advance(long toUs) {
        while (true) {
            int nextCore = -1;
            for (int i = 0; i < cores.length; i++) {
                if (cores[i] != null && (nextCore < 0 || plannedEndUs(cores[i]) < plannedEndUs(cores[nextCore]))) {
                    nextCore = i;
                }
            }
            if (nextCore < 0 || plannedEndUs(cores[nextCore]) > toUs) {
                break;
            }
            long atUs = plannedEndUs(cores[nextCore]);
            cores[nextCore].endedUs = atUs;
            cores[nextCore] = null;
            startQueuedJobs(atUs);
        }
        nowUs = Math.max(nowUs, toUs);
        dropOldJobs();
    }

    private static long plannedEndUs(Job job) {
        return job.startedUs + job.workUs;
    }

    private void startQueuedJobs(long atUs) {
        for (int i = 0; i < cores.length && !queue.isEmpty(); i++) {
            if (cores[i] == null) {
                Job job = queue.removeFirst();
                job.queued = false;
                job.startedUs = atUs;
                longestWorkUs = Math.max(longestWorkUs, job.workUs);
                if (atUs > job.arrivedUs) {
                    nowUs = Math.max(nowUs, atUs);
                    job.waitedFor = coreTimeBetween(job.arrivedUs, atUs, job);
                }
                cores[i] = job;
                startedJobs.addLast(job);
            }
        }
    }

    private void dropOldJobs() {
        while (!startedJobs.isEmpty()
                && (startedJobs.size() > MAX_WORK_KEPT
                        || startedJobs.peekFirst().endedUs >= 0 && startedJobs.peekFirst().endedUs < nowUs - WORK_KEPT_US)) {
            startedJobs.removeFirst();
        }
    }

    /**
     * The node has told the end of a request. One that never ran did no work: what the model did for it is taken out.
     * One that ran is over, however far the model is with it.
     */
    void ended(Job job, long atUs, boolean ran) {
        advance(atUs);
        if (job.queued) {
            queue.remove(job);
            job.queued = false;
        }
        if (job.startedUs < 0) {
            job.startedUs = nowUs;
            job.endedUs = nowUs;
        }
        for (int i = 0; i < cores.length; i++) {
            if (cores[i] == job) {
                cores[i] = null;
                job.endedUs = nowUs;
            }
        }
        if (!ran) {
            startedJobs.remove(job);
            job.endedUs = job.startedUs;
        }
        startQueuedJobs(nowUs);
    }

    /** How long the model made a request wait, up to now where it still does. */
    long waitUs(Job job) {
        return Math.max(0, (job.startedUs >= 0 ? job.startedUs : nowUs) - job.arrivedUs);
    }

    /**
     * The work that filled the cores in a stretch of time, but for one request's own, by whose fault it stood there,
     * the sum being the core time that was filled. A request that would have been done by then, had it not waited
     * itself, stands there by the fault of those for whom it waited; so a read that an export delayed is not blamed for
     * the export.
     */
    List<CoreTime> coreTimeBetween(long fromUs, long toUs, Job excluded) {
        Map<Cause, Long> byOwner = new LinkedHashMap<>();
        for (Iterator<Job> newestFirst = startedJobs.descendingIterator(); newestFirst.hasNext(); ) {
            Job job = newestFirst.next();
            if (job.startedUs < fromUs - longestWorkUs) {
                break;
            }
            long endUs = job.endedUs >= 0 ? job.endedUs : Math.max(job.startedUs, nowUs);
            long overlap = overlap(fromUs, toUs, job.startedUs, endUs);
            if (job == excluded || overlap == 0) {
                continue;
            }
            long undelayed = Math.min(overlap, overlap(fromUs, toUs, job.arrivedUs, job.arrivedUs + endUs - job.startedUs));
            long delayed = job.waitedFor.isEmpty() ? 0 : overlap - undelayed;
            if (overlap > delayed) {
                byOwner.merge(job.owner, overlap - delayed, Long::sum);
            }
            if (delayed > 0) {
                long[] parts = ProportionalSplit.split(
                        delayed, job.waitedFor.stream().mapToLong(CoreTime::us).toArray());
                for (int i = 0; i < parts.length; i++) {
                    byOwner.merge(job.waitedFor.get(i).owner(), parts[i], Long::sum);
                }
            }
        }
        return largest(byOwner);
    }

    private static long overlap(long fromUs, long toUs, long otherFromUs, long otherToUs) {
        return Math.max(0, Math.min(toUs, otherToUs) - Math.max(fromUs, otherFromUs));
    }

    /** The heaviest few; what the rest did goes to {@link Cause#OTHERS}, so that the sum stays. */
    private static List<CoreTime> largest(Map<Cause, Long> byOwner) {
        List<CoreTime> coreTimes = new ArrayList<>();
        byOwner.forEach((owner, us) -> {
            if (us > 0) {
                coreTimes.add(new CoreTime(owner, us));
            }
        });
        if (coreTimes.size() <= MAX_OWNERS) {
            return coreTimes;
        }
        coreTimes.sort((a, b) -> Long.compare(b.us, a.us));
        long rest = coreTimes.subList(MAX_OWNERS, coreTimes.size()).stream()
                .mapToLong(CoreTime::us)
                .sum();
        List<CoreTime> kept = new ArrayList<>(coreTimes.subList(0, MAX_OWNERS));
        kept.add(new CoreTime(Cause.OTHERS, rest));
        return kept;
    }

    /** The node began anew: what it had is gone. */
    void restart(long atUs) {
        advance(atUs);
        queue.forEach(job -> {
            job.queued = false;
            job.startedUs = nowUs;
            job.endedUs = nowUs;
        });
        queue.clear();
        for (int i = 0; i < cores.length; i++) {
            if (cores[i] != null) {
                cores[i].endedUs = nowUs;
                cores[i] = null;
            }
        }
    }
}
