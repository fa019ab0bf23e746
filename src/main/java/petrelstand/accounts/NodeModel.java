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
    static final int MOST_QUEUED = 512;
    /** How long the work done is remembered. */
    static final long REMEMBERED_US = 10_000_000;

    static final int MOST_REMEMBERED = 1024;
    /** Owners that a wait is shared among at most. */
    static final int MOST_OWNERS = 16;

    /** One attempt at the node. */
    static final class Job {
        private final Cause owner;
        private final long arrivedUs;
        private final long workUs;
        /** When the model began and ended it; -1 where it has not. */
        private long beganUs = -1;

        private long endedUs = -1;
        private boolean queued;
        /** Whose work made it wait in the model; in core microseconds, and in proportion only. */
        private List<Done> blame = List.of();

        private Job(Cause owner, long arrivedUs, long workUs) {
            this.owner = owner;
            this.arrivedUs = arrivedUs;
            this.workUs = workUs;
        }

        long arrivedUs() {
            return arrivedUs;
        }

        boolean begun() {
            return beganUs >= 0;
        }
    }

    /** Work that an owner's requests did in a stretch of time, in core microseconds. */
    record Done(Cause owner, long us) {}

    private final Job[] cores;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    /** Work done and in hand, the oldest first. */
    private final ArrayDeque<Job> work = new ArrayDeque<>();

    private long nowUs;
    private long longestUs;

    NodeModel(int cores) {
        this.cores = new Job[cores];
    }

    int size() {
        return queue.size() + work.size();
    }

    /** True where nothing of ours is there. */
    boolean idle(long atUs) {
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
        if (queue.size() < MOST_QUEUED) {
            job.queued = true;
            queue.addLast(job);
            fill(nowUs);
        }
        return job;
    }

    /** Runs the model up to a time. */
    private void advance(long toUs) {
        while (true) {
            int first = -1;
            for (int i = 0; i < cores.length; i++) {
                if (cores[i] != null && (first < 0 || end(cores[i]) < end(cores[first]))) {
                    first = i;
                }
            }
            if (first < 0 || end(cores[first]) > toUs) {
                break;
            }
            long atUs = end(cores[first]);
            cores[first].endedUs = atUs;
            cores[first] = null;
            fill(atUs);
        }
        nowUs = Math.max(nowUs, toUs);
        forget();
    }

    private static long end(Job job) {
        return job.beganUs + job.workUs;
    }

    private void fill(long atUs) {
        for (int i = 0; i < cores.length && !queue.isEmpty(); i++) {
            if (cores[i] == null) {
                Job job = queue.removeFirst();
                job.queued = false;
                job.beganUs = atUs;
                longestUs = Math.max(longestUs, job.workUs);
                if (atUs > job.arrivedUs) {
                    nowUs = Math.max(nowUs, atUs);
                    job.blame = doneIn(job.arrivedUs, atUs, job);
                }
                cores[i] = job;
                work.addLast(job);
            }
        }
    }

    private void forget() {
        while (!work.isEmpty()
                && (work.size() > MOST_REMEMBERED
                        || work.peekFirst().endedUs >= 0 && work.peekFirst().endedUs < nowUs - REMEMBERED_US)) {
            work.removeFirst();
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
        if (job.beganUs < 0) {
            job.beganUs = nowUs;
            job.endedUs = nowUs;
        }
        for (int i = 0; i < cores.length; i++) {
            if (cores[i] == job) {
                cores[i] = null;
                job.endedUs = nowUs;
            }
        }
        if (!ran) {
            work.remove(job);
            job.endedUs = job.beganUs;
        }
        fill(nowUs);
    }

    /** How long the model made a request wait, up to now where it still does. */
    long waitUs(Job job) {
        return Math.max(0, (job.beganUs >= 0 ? job.beganUs : nowUs) - job.arrivedUs);
    }

    /**
     * The work that filled the cores in a stretch of time, but for one request's own, by whose fault it stood there,
     * the sum being the core time that was filled. A request that would have been done by then, had it not waited
     * itself, stands there by the fault of those for whom it waited; so a read that an export delayed is not blamed for
     * the export.
     */
    List<Done> doneIn(long fromUs, long toUs, Job but) {
        Map<Cause, Long> done = new LinkedHashMap<>();
        for (Iterator<Job> all = work.descendingIterator(); all.hasNext(); ) {
            Job job = all.next();
            if (job.beganUs < fromUs - longestUs) {
                break;
            }
            long endUs = job.endedUs >= 0 ? job.endedUs : Math.max(job.beganUs, nowUs);
            long overlap = overlap(fromUs, toUs, job.beganUs, endUs);
            if (job == but || overlap == 0) {
                continue;
            }
            long anyway = Math.min(overlap, overlap(fromUs, toUs, job.arrivedUs, job.arrivedUs + endUs - job.beganUs));
            long delayed = job.blame.isEmpty() ? 0 : overlap - anyway;
            if (overlap > delayed) {
                done.merge(job.owner, overlap - delayed, Long::sum);
            }
            if (delayed > 0) {
                long[] parts = Split.exact(
                        delayed, job.blame.stream().mapToLong(Done::us).toArray());
                for (int i = 0; i < parts.length; i++) {
                    done.merge(job.blame.get(i).owner(), parts[i], Long::sum);
                }
            }
        }
        return most(done);
    }

    private static long overlap(long fromUs, long toUs, long otherFromUs, long otherToUs) {
        return Math.max(0, Math.min(toUs, otherToUs) - Math.max(fromUs, otherFromUs));
    }

    /** The heaviest few; what the rest did goes to {@link Cause#OTHERS}, so that the sum stays. */
    private static List<Done> most(Map<Cause, Long> done) {
        List<Done> all = new ArrayList<>();
        done.forEach((owner, us) -> {
            if (us > 0) {
                all.add(new Done(owner, us));
            }
        });
        if (all.size() <= MOST_OWNERS) {
            return all;
        }
        all.sort((a, b) -> Long.compare(b.us, a.us));
        long rest = all.subList(MOST_OWNERS, all.size()).stream()
                .mapToLong(Done::us)
                .sum();
        List<Done> kept = new ArrayList<>(all.subList(0, MOST_OWNERS));
        kept.add(new Done(Cause.OTHERS, rest));
        return kept;
    }

    /** The node began anew: what it had is gone. */
    void restart(long atUs) {
        advance(atUs);
        queue.forEach(job -> {
            job.queued = false;
            job.beganUs = nowUs;
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
