package petrelstand.accounts;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.IntCountsHistogram;
import petrelstand.accounts.LatencyAttributor.RequestLatency;
import petrelstand.accounts.LatencyAttributor.WaitShare;

/**
 * The accounts of the last minutes, in bounded memory: a {@link TopWaits} and histograms by phase for the minute that
 * runs and the last whole one, and a small ledger for each of the last {@link #SECONDS_KEPT} seconds. A keeper may hear of
 * each second and minute that is over. Times are microseconds of the loop's clock, which never goes back.
 */
public final class LatencyHistory implements LatencyAttributor.Sink {
    /** Cells of a minute's ledger, causes of a second's. */
    static final int MAX_MINUTE_ENTRIES = 1024;

    static final int MAX_SECOND_ENTRIES = 32;
    /** Seconds that are kept. */
    public static final int SECONDS_KEPT = 120;
    /** Groups of requests (class and plan, and nodes) that have histograms of their own; the rest share one. */
    static final int MAX_GROUPS = 48;
    /** The longest time a histogram tells apart, and its two digits: a figure is right to 1 %. */
    private static final long MAX_RECORDED_US = 60_000_000;

    private static final long MINUTE_US = 60_000_000;

    /** The phases of a request. */
    public enum Phase {
        HELD,
        CONNECTING,
        WAITED,
        SERVED,
        TOTAL
    }

    /** What requests are counted together: those of a class and plan, or those of a node; or the rest. */
    public record RequestGroup(int requestClass, int plan, long node) {
        /** All that found no room for a group of their own. */
        public static final RequestGroup OTHERS = new RequestGroup(-1, -1, -1);

        static RequestGroup forClass(int requestClass, int plan) {
            return new RequestGroup(requestClass, plan, -1);
        }

        static RequestGroup forNode(long node) {
            return new RequestGroup(-1, -1, node);
        }
    }

    /** Percentiles of a phase, in microseconds. */
    public record Percentiles(long count, long p50Us, long p90Us, long p99Us, long maxUs) {}

    /** One second: its requests, the time they were held and waited, and its heaviest causes. */
    public record SecondStats(long second, long requests, long waitUs, List<TopWaits.Entry> topWaits) {}

    /** Hears of what is over; nothing more will be booked there. */
    public interface Listener {
        void periodFinished(SecondStats second);

        void periodFinished(MinuteStats minute);
    }

    /** A minute, whole or running. */
    public static final class MinuteStats {
        private final long fromUs;
        private final TopWaits topWaits = new TopWaits(MAX_MINUTE_ENTRIES);
        private final Map<RequestGroup, IntCountsHistogram[]> histograms = new LinkedHashMap<>();
        private long requests;
        private long served;

        MinuteStats(long fromUs) {
            this.fromUs = fromUs;
        }

        public long fromUs() {
            return fromUs;
        }

        public TopWaits topWaits() {
            return topWaits;
        }

        public long requests() {
            return requests;
        }

        public long served() {
            return served;
        }

        public List<RequestGroup> groups() {
            return List.copyOf(histograms.keySet());
        }

        public Percentiles percentiles(RequestGroup group, Phase phase) {
            IntCountsHistogram histogram = histograms.get(group)[phase.ordinal()];
            return new Percentiles(
                    histogram.getTotalCount(),
                    histogram.getValueAtPercentile(50),
                    histogram.getValueAtPercentile(90),
                    histogram.getValueAtPercentile(99),
                    histogram.getMaxValue());
        }

        private void recordPhases(RequestGroup preferredGroup, RequestLatency account) {
            RequestGroup group = histograms.containsKey(preferredGroup) || histograms.size() < MAX_GROUPS ? preferredGroup : RequestGroup.OTHERS;
            IntCountsHistogram[] groupHistograms = histograms.computeIfAbsent(group, g -> {
                IntCountsHistogram[] created = new IntCountsHistogram[Phase.values().length];
                for (int i = 0; i < created.length; i++) {
                    created[i] = new IntCountsHistogram(MAX_RECORDED_US, 2);
                }
                return created;
            });
            long[] phaseTimesUs = {
                account.heldUs(), account.connectingUs(), account.waitedUs(), account.servedUs(), account.totalUs()
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

    /** Classes and plans that totals are kept apart for; the last place is for all beyond. */
    static final int MAX_CLASSES = 17;

    static final int MAX_PLANS = 17;
    private final long[][] totalWaitUs = new long[MAX_CLASSES][Cause.Kind.values().length];
    private final long[][][] finishedRequests = new long[MAX_CLASSES][MAX_PLANS][2];
    private final SecondAccumulator[] seconds = new SecondAccumulator[SECONDS_KEPT];
    private Listener listener;
    private SecondAccumulator newestSecond;
    private MinuteStats currentMinute;
    private MinuteStats lastMinute;

    /** Tells a keeper from now on. */
    public void setListener(Listener listener) {
        listener = listener;
    }

    /** What runs is over as well: the gateway ends. */
    public void close() {
        if (listener != null && newestSecond != null) {
            listener.periodFinished(newestSecond.toStats());
            listener.periodFinished(currentMinute);
        }
    }

    @Override
    public void requestFinished(RequestLatency account) {
        long atUs = account.endedAtUs();
        if (currentMinute == null || atUs >= currentMinute.fromUs + MINUTE_US) {
            lastMinute = currentMinute;
            if (listener != null && lastMinute != null) {
                listener.periodFinished(lastMinute);
            }
            currentMinute = new MinuteStats(atUs - atUs % MINUTE_US);
        }
        currentMinute.requests++;
        currentMinute.served += account.served() ? 1 : 0;
        currentMinute.recordPhases(RequestGroup.forClass(account.requestClass(), account.plan()), account);
        int classIndex = boundedIndex(account.requestClass(), MAX_CLASSES);
        finishedRequests[classIndex][boundedIndex(account.plan(), MAX_PLANS)][account.served() ? 1 : 0]++;
        account.shares().forEach(share -> totalWaitUs[classIndex][share.cause().kind().ordinal()] += share.us());
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
        for (WaitShare share : account.shares()) {
            currentMinute.topWaits.add(
                    new TopWaits.WaitKey(share.node(), account.volume(), account.requestClass(), share.cause()), share.us());
            seconds[secondIndex].topWaits.add(
                    new TopWaits.WaitKey(share.node(), account.volume(), account.requestClass(), share.cause()), share.us());
            if (share.node() != lastNode) {
                lastNode = share.node();
                currentMinute.recordPhases(RequestGroup.forNode(lastNode), account);
            }
        }
    }

    private static int boundedIndex(int index, int size) {
        return index >= 0 && index < size - 1 ? index : size - 1;
    }

    /**
     * Time that requests of a class (by place; beyond the sixteenth all together) were held and waited since the start.
     */
    public long totalWaitUs(int requestClass, Cause.Kind kind) {
        return totalWaitUs[boundedIndex(requestClass, MAX_CLASSES)][kind.ordinal()];
    }

    /** Requests of a class and plan that are over since the start. */
    public long finishedRequests(int requestClass, int plan, boolean served) {
        return finishedRequests[boundedIndex(requestClass, MAX_CLASSES)][boundedIndex(plan, MAX_PLANS)][served ? 1 : 0];
    }

    /** The minute that runs, or null where nothing has ended yet. */
    public MinuteStats currentMinute() {
        return currentMinute;
    }

    /** The minute before it, or null. */
    public MinuteStats lastMinute() {
        return lastMinute;
    }

    /** The seconds that are kept, up to a time, the oldest first; those without an end of a request are left out. */
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
