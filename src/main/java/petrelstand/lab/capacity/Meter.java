package petrelstand.lab.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import petrelstand.lab.Probe;

/** Counts messages, bytes and thread CPU time of each member. One thread, the one that plays the simulation. */
final class Meter implements Probe {
    /** What one member did since the last {@link #clear}. */
    static final class Counts {
        long messagesOut;
        long messagesIn;
        long bytesOut;
        long bytesIn;
        long cpuNs;
        /** Bytes out and in of the second under way, and of the worst second. */
        private long bytesThisSecond;

        long worstSecond;
    }

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int NOBODY = -1;
    private static final int READINGS = 2_000;

    private final Counts[] counts;
    private final long readingNs;
    private int running = NOBODY;
    private long sinceNs;

    Meter(int members) {
        counts = new Counts[members];
        readingNs = readingNs();
        clear();
    }

    /** The CPU time that one reading of the clock takes itself, which each measured stretch has once. */
    private static long readingNs() {
        long from = THREADS.getCurrentThreadCpuTime();
        long last = from;
        for (int i = 0; i < READINGS; i++) {
            last = THREADS.getCurrentThreadCpuTime();
        }
        return (last - from) / READINGS;
    }

    void clear() {
        for (int i = 0; i < counts.length; i++) {
            counts[i] = new Counts();
        }
    }

    Counts of(int member) {
        return counts[member];
    }

    /** A second of virtual time is over. */
    void second() {
        for (Counts one : counts) {
            one.worstSecond = Math.max(one.worstSecond, one.bytesThisSecond);
            one.bytesThisSecond = 0;
        }
    }

    @Override
    public void entered(int process) {
        running = process;
        sinceNs = THREADS.getCurrentThreadCpuTime();
    }

    @Override
    public void left(int process) {
        if (running == process) {
            counts[process].cpuNs += Math.max(0, THREADS.getCurrentThreadCpuTime() - sinceNs - readingNs);
        }
        running = NOBODY;
    }

    @Override
    public void sent(int process, int bytes) {
        counts[process].messagesOut++;
        counts[process].bytesOut += bytes;
        counts[process].bytesThisSecond += bytes;
    }

    @Override
    public void received(int process, int bytes) {
        counts[process].messagesIn++;
        counts[process].bytesIn += bytes;
        counts[process].bytesThisSecond += bytes;
    }
}
