package petrelstand.accounts;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.IntCountsHistogram;
import petrelstand.accounts.LatencyAttributor.RequestLatency;
import petrelstand.accounts.LatencyAttributor.WaitShare;

/**
 * The recent latency statistics in bounded memory: {@link TopWaits} and phase histograms of the current and the last
 * minute, and a smaller {@link TopWaits} for each of the last {@link #SECONDS_KEPT} seconds. A {@link Listener}
 * receives each finished second and minute. Times are microseconds of the event loop's clock, which never goes back.
 */
public final class LatencyHistory implements LatencyAttributor.Sink {
    /** Entries in the top waits of a minute. */
    static final int MAX_MINUTE_ENTRIES = 1024;

    /** Entries in the top waits of a second. */
    static final int MAX_SECOND_ENTRIES = 32;
    /** Number of past seconds that are kept. */
    public static final int SECONDS_KEPT = 120;
    /** Limit of request groups with histograms of their own; all further ones share one group. */
    static final int MAX_GROUPS = 48;
    /** Longest time a histogram records; longer ones are recorded as this. */
    private static final long MAX_RECORDED_US = 60_000_000;

    /** Significant decimal digits of a histogram's values, a precision of 1 %. */
    private static final int HISTOGRAM_DIGITS = 2;

    private static final long MINUTE_US = 60_000_000;

    /** The phases of a request, and their total. */
    public enum Phase {
        HELD,
        CONNECTING,
        WAITED,
        SERVED,
        TOTAL
    }

    /**
     * The requests that share histograms: those of a class and plan (then {@code node} is -1), those of a node (then
     * the others are -1), or {@link #OTHERS}. Class and plan are indexes into the settings' lists.
     */
    public record RequestGroup(int requestClass, int plan, long node) {
        /** All requests beyond the limit of groups. */
        public static final RequestGroup OTHERS = new RequestGroup(-1, -1, -1);

        static RequestGroup forClass(int requestClass, int plan) {
            return new RequestGroup(requestClass, plan, -1);
        }

        static RequestGroup forNode(long node) {
            return new RequestGroup(-1, -1, node);
        }
    }

    /** The number of recorded times of a phase, their percentiles and their maximum, in microseconds. */
    public record Percentiles(long count, long p50Us, long p90Us, long p99Us, long maxUs) {}

    /** The requests that ended in a second, the time they were held and waited, and the largest waits, descending. */
    public record SecondStats(long second, long requests, long waitUs, List<TopWaits.Entry> topWaits) {}

    /** Receives each finished period; its statistics don't change any more. */
    public interface Listener {
        void periodFinished(SecondStats second);

        void periodFinished(MinuteStats minute);
    }

    /** The statistics of a minute, finished or current. */
    public static final class MinuteStats {
        private final long fromUs;
        private final TopWaits topWaits = new TopWaits(MAX_MINUTE_ENTRIES);
        private final Map<RequestGroup, IntCountsHistogram[]> histograms = new LinkedHashMap<>();
        private long requests;
        private long served;

        MinuteStats(long fromUs) {
            this.fromUs = fromUs;
        }

        /** The start of the minute. */
        public long fromUs() {
            return fromUs;
        }

        public TopWaits topWaits() {
            return topWaits;
        }

        /** The number of requests that ended in the minute. */
        public long requests() {
            return requests;
        }

        /** The number of requests among them that were served. */
        public long served() {
            return served;
        }

        /** The groups with histograms, in the order of their first request. */
        public List<RequestGroup> groups() {
            return List.copyOf(histograms.keySet());
        }

        /** The percentiles of a phase of one of {@link #groups}. */
        public Percentiles percentiles(RequestGroup group, Phase phase) {
            IntCountsHistogram histogram = histograms.get(group)[phase.ordinal()];
            return new Percentiles(
                    histogram.getTotalCount(),
                    histogram.getValueAtPercentile(50),
                    histogram.getValueAtPercentile(90),
                    histogram.getValueAtPercentile(99),
                    histogram.getMaxValue());
        }

        private void recordPhases(RequestGroup preferredGroup, RequestLatency latency) {
            RequestGroup group = histograms.containsKey(preferredGroup) || histograms.size() < MAX_GROUPS
                    ? preferredGroup
                    : RequestGroup.OTHERS;
            IntCountsHistogram[] groupHistograms = histograms.computeIfAbsent(group, g -> {
                IntCountsHistogram[] created = new IntCountsHistogram[Phase.values().length];
                for (int i = 0; i < created.length; i++) {
                    created[i] = new IntCountsHistogram(MAX_RECORDED_US, HISTOGRAM_DIGITS);
                }
                return created;
            });
            long[] phaseTimesUs = {
                latency.heldUs(), latency.connectingUs(), latency.waitedUs(), latency.servedUs(), latency.totalUs()
            };
            for (int i = 0; i < phaseTimesUs.length; i++) {
                groupHistograms[i].recordValue(Math.min(MAX_RECORDED_US, Math.max(0, phaseTimesUs[i])));
            }
        }
    }

    private static final class SecondAccumulator {
        private final long second;
        private final TopWaits topWaits = new TopWaits(MAX_SECOND_ENTRIES);
        private long requests;

        SecondAccumulator(long second) {
            this.second = second;
        }

        SecondStats toStats() {
            return new SecondStats(second, requests, topWaits.totalWaitUs(), topWaits.entries());
        }
    }

    /** Classes with totals of their own; the last index sums all further classes. */
    static final int MAX_CLASSES = 17;

    /** Plans with totals of their own; the last index sums all further plans. */
    static final int MAX_PLANS = 17;

    private final long[][] totalWaitUs = new long[MAX_CLASSES][Cause.Kind.values().length];
    private final long[][][] finishedRequests = new long[MAX_CLASSES][MAX_PLANS][2];
    private final SecondAccumulator[] seconds = new SecondAccumulator[SECONDS_KEPT];
    private Listener listener;
    private SecondAccumulator newestSecond;
    private MinuteStats currentMinute;
    private MinuteStats lastMinute;

    /** Sets the listener for all periods that finish from now on. */
    public void setListener(Listener listener) {
        this.listener = listener;
    }

    /** Reports the current second and minute as finished; to be called when the gateway stops. */
    public void close() {
        if (listener != null && newestSecond != null) {
            listener.periodFinished(newestSecond.toStats());
            listener.periodFinished(currentMinute);
        }
    }

    @Override
    public void requestFinished(RequestLatency latency) {
        long atUs = latency.endedAtUs();
        if (currentMinute == null || atUs >= currentMinute.fromUs + MINUTE_US) {
            lastMinute = currentMinute;
            if (listener != null && lastMinute != null) {
                listener.periodFinished(lastMinute);
            }
            currentMinute = new MinuteStats(atUs - atUs % MINUTE_US);
        }
        currentMinute.requests++;
        currentMinute.served += latency.served() ? 1 : 0;
        currentMinute.recordPhases(RequestGroup.forClass(latency.requestClass(), latency.plan()), latency);
        int classIndex = boundedIndex(latency.requestClass(), MAX_CLASSES);
        finishedRequests[classIndex][boundedIndex(latency.plan(), MAX_PLANS)][latency.served() ? 1 : 0]++;
        latency.shares()
                .forEach(share -> totalWaitUs[classIndex][share.cause().kind().ordinal()] += share.us());
        long second = atUs / 1_000_000;
        int secondIndex = (int) (second % SECONDS_KEPT);
        if (seconds[secondIndex] == null || seconds[secondIndex].second != second) {
            if (listener != null && newestSecond != null) {
                listener.periodFinished(newestSecond.toStats());
            }
            newestSecond = new SecondAccumulator(second);
            seconds[secondIndex] = newestSecond;
        }
        seconds[secondIndex].requests++;
        long lastNode = -1;
        for (WaitShare share : latency.shares()) {
            currentMinute.topWaits.add(
                    new TopWaits.WaitKey(share.node(), latency.volume(), latency.requestClass(), share.cause()),
                    share.us());
            seconds[secondIndex].topWaits.add(
                    new TopWaits.WaitKey(share.node(), latency.volume(), latency.requestClass(), share.cause()),
                    share.us());
            if (share.node() != lastNode) {
                lastNode = share.node();
                currentMinute.recordPhases(RequestGroup.forNode(lastNode), latency);
            }
        }
    }

    private static int boundedIndex(int index, int size) {
        return index >= 0 && index < size - 1 ? index : size - 1;
    }

    /**
     * The microseconds that requests of a class were held and waited for a kind of cause since the start. All classes
     * from the seventeenth on share one total.
     */
    public long totalWaitUs(int requestClass, Cause.Kind kind) {
        return totalWaitUs[boundedIndex(requestClass, MAX_CLASSES)][kind.ordinal()];
    }

    /** The number of requests of a class and plan that ended since the start, served or not. */
    public long finishedRequests(int requestClass, int plan, boolean served) {
        return finishedRequests[boundedIndex(requestClass, MAX_CLASSES)][boundedIndex(plan, MAX_PLANS)][served ? 1 : 0];
    }

    /** The current minute, or null if no request has ended yet. */
    public MinuteStats currentMinute() {
        return currentMinute;
    }

    /** The minute before the current one in which a request ended, or null if there is none. */
    public MinuteStats lastMinute() {
        return lastMinute;
    }

    /** The seconds kept up to {@code nowUs}, oldest first, without those in which no request ended. */
    public List<SecondStats> seconds(long nowUs) {
        List<SecondStats> kept = new ArrayList<>();
        long now = nowUs / 1_000_000;
        for (long second = now - SECONDS_KEPT + 1; second <= now; second++) {
            SecondAccumulator accumulator = second < 0 ? null : seconds[(int) (second % SECONDS_KEPT)];
            if (accumulator != null && accumulator.second == second) {
                kept.add(accumulator.toStats());
            }
        }
        return kept;
    }
}
