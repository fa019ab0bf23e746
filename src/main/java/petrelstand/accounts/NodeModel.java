package petrelstand.accounts;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Replays the gateway's requests at one node, as if the node served nothing else, at its baseline speed, on a fixed
 * number of cores and in order of arrival. It tells how long earlier requests delay a request, and whose they were.
 * Times are microseconds and never go back.
 */
final class NodeModel {
    /** Limit of queued requests; further ones are not modelled, and their wait is unseen. */
    static final int MAX_QUEUED = 512;
    /** How long finished jobs are kept. */
    static final long WORK_KEPT_US = 10_000_000;

    /** Limit of started jobs kept. */
    static final int MAX_WORK_KEPT = 1024;
    /** Limit of owners that share a wait; the rest count as {@link Cause#OTHERS}. */
    static final int MAX_OWNERS = 16;

    /** An attempt at the node. */
    static final class Job {
        private final Cause owner;
        private final long arrivedUs;
        private final long workUs;
        /** When the model started it, or -1. */
        private long startedUs = -1;

        /** When the model ended it, or -1. */
        private long endedUs = -1;

        private boolean queued;
        /** The core time it waited for in the model, by owner; only the proportions count. */
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

    /** The core time used by an owner's requests in a period, in microseconds. */
    record CoreTime(Cause owner, long us) {}

    private final Job[] cores;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    /** Finished and running jobs, in the order of their start. */
    private final ArrayDeque<Job> startedJobs = new ArrayDeque<>();

    private long nowUs;
    private long longestWorkUs;

    NodeModel(int cores) {
        this.cores = new Job[cores];
    }

    int size() {
        return queue.size() + startedJobs.size();
    }

    /** Advances to a time and tells whether the model is idle then: no job runs or is queued. */
    boolean advanceAndCheckIdle(long atUs) {
        advance(atUs);
        for (Job job : cores) {
            if (job != null) {
                return false;
            }
        }
        return queue.isEmpty();
    }

    /** Adds a request whose last byte reaches the node at {@code atUs}; it is queued unless the queue is full. */
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

    /** Advances the model to a time: ends the jobs that are due and starts queued ones. */
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
                        || startedJobs.peekFirst().endedUs >= 0
                                && startedJobs.peekFirst().endedUs < nowUs - WORK_KEPT_US)) {
            startedJobs.removeFirst();
        }
    }

    /**
     * Ends a job that the node reports as over, however far the model is with it. With {@code ran} false the node never
     * ran it, so its work is removed.
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

    /** The time a job waited in the model's queue, up to now if it is still queued. */
    long waitUs(Job job) {
        return Math.max(0, (job.startedUs >= 0 ? job.startedUs : nowUs) - job.arrivedUs);
    }

    /**
     * The core time used in a period by all jobs but {@code excluded}, by the owner responsible for it. Core time that
     * a job used in the period only because it had waited itself is charged to the owners it waited for; so a read that
     * an export delayed is not blamed for the export.
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
            long undelayed =
                    Math.min(overlap, overlap(fromUs, toUs, job.arrivedUs, job.arrivedUs + endUs - job.startedUs));
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

    /** The owners with the most core time; the rest is summed under {@link Cause#OTHERS}. */
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

    /** Ends all jobs, since the node restarted and lost them. */
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
