package petrelstand.accounts;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.IntCountsHistogram;
import petrelstand.accounts.Accounts.Account;
import petrelstand.accounts.Accounts.Share;

/**
 * The accounts of the last minutes, in bounded memory: a {@link Ledger} and histograms by phase for the minute that
 * runs and the last whole one, and a small ledger for each of the last {@link #SECONDS} seconds. A keeper may hear of
 * each second and minute that is over. Times are microseconds of the loop's clock, which never goes back.
 */
public final class Book implements Accounts.Sink {
    /** Cells of a minute's ledger, causes of a second's. */
    static final int MOST_CELLS = 1024;

    static final int MOST_CAUSES = 32;
    /** Seconds that are kept. */
    public static final int SECONDS = 120;
    /** Groups of requests (class and plan, and nodes) that have histograms of their own; the rest share one. */
    static final int MOST_GROUPS = 48;
    /** The longest time a histogram tells apart, and its two digits: a figure is right to 1 %. */
    private static final long LONGEST_US = 60_000_000;

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
    public record Group(int requestClass, int plan, long node) {
        /** All that found no room for a group of their own. */
        public static final Group OTHERS = new Group(-1, -1, -1);

        static Group of(int requestClass, int plan) {
            return new Group(requestClass, plan, -1);
        }

        static Group at(long node) {
            return new Group(-1, -1, node);
        }
    }

    /** Percentiles of a phase, in microseconds. */
    public record Percentiles(long count, long p50, long p90, long p99, long max) {}

    /** One second: its requests, the time they were held and waited, and its heaviest causes. */
    public record Second(long second, long requests, long waitUs, List<Ledger.Entry> causes) {}

    /** Hears of what is over; nothing more will be booked there. */
    public interface Keeper {
        void over(Second second);

        void over(Minute minute);
    }

    /** A minute, whole or running. */
    public static final class Minute {
        private final long fromUs;
        private final Ledger ledger = new Ledger(MOST_CELLS);
        private final Map<Group, IntCountsHistogram[]> phases = new LinkedHashMap<>();
        private long requests;
        private long served;

        Minute(long fromUs) {
            this.fromUs = fromUs;
        }

        public long fromUs() {
            return fromUs;
        }

        public Ledger ledger() {
            return ledger;
        }

        public long requests() {
            return requests;
        }

        public long served() {
            return served;
        }

        public List<Group> groups() {
            return List.copyOf(phases.keySet());
        }

        public Percentiles percentiles(Group group, Phase phase) {
            IntCountsHistogram of = phases.get(group)[phase.ordinal()];
            return new Percentiles(
                    of.getTotalCount(),
                    of.getValueAtPercentile(50),
                    of.getValueAtPercentile(90),
                    of.getValueAtPercentile(99),
                    of.getMaxValue());
        }

        private void count(Group wanted, Account account) {
            Group group = phases.containsKey(wanted) || phases.size() < MOST_GROUPS ? wanted : Group.OTHERS;
            IntCountsHistogram[] of = phases.computeIfAbsent(group, g -> {
                IntCountsHistogram[] made = new IntCountsHistogram[Phase.values().length];
                for (int i = 0; i < made.length; i++) {
                    made[i] = new IntCountsHistogram(LONGEST_US, 2);
                }
                return made;
            });
            long[] us = {
                account.heldUs(), account.connectingUs(), account.waitedUs(), account.servedUs(), account.totalUs()
            };
            for (int i = 0; i < us.length; i++) {
                of[i].recordValue(Math.min(LONGEST_US, Math.max(0, us[i])));
            }
        }
    }

    private static final class Running {
        private final long second;
        private final Ledger causes = new Ledger(MOST_CAUSES);
        private long requests;

        Running(long second) {
            this.second = second;
        }

        Second over() {
            return new Second(second, requests, causes.totalUs(), causes.entries());
        }
    }

    /** Classes and plans that totals are kept apart for; the last place is for all beyond. */
    static final int MOST_CLASSES = 17;

    static final int MOST_PLANS = 17;
    private final long[][] waitUs = new long[MOST_CLASSES][Cause.Kind.values().length];
    private final long[][][] ended = new long[MOST_CLASSES][MOST_PLANS][2];
    private final Running[] seconds = new Running[SECONDS];
    private Keeper keeper;
    private Running newest;
    private Minute running;
    private Minute last;

    /** Tells a keeper from now on. */
    public void keep(Keeper by) {
        keeper = by;
    }

    /** What runs is over as well: the gateway ends. */
    public void close() {
        if (keeper != null && newest != null) {
            keeper.over(newest.over());
            keeper.over(running);
        }
    }

    @Override
    public void over(Account account) {
        long atUs = account.endedAtUs();
        if (running == null || atUs >= running.fromUs + MINUTE_US) {
            last = running;
            if (keeper != null && last != null) {
                keeper.over(last);
            }
            running = new Minute(atUs - atUs % MINUTE_US);
        }
        running.requests++;
        running.served += account.served() ? 1 : 0;
        running.count(Group.of(account.requestClass(), account.plan()), account);
        int kind = place(account.requestClass(), MOST_CLASSES);
        ended[kind][place(account.plan(), MOST_PLANS)][account.served() ? 1 : 0]++;
        account.shares().forEach(share -> waitUs[kind][share.cause().kind().ordinal()] += share.us());
        long second = atUs / 1_000_000;
        int place = (int) (second % SECONDS);
        if (seconds[place] == null || seconds[place].second != second) {
            if (keeper != null && newest != null) {
                keeper.over(newest.over());
            }
            newest = new Running(second);
            seconds[place] = newest;
        }
        seconds[place].requests++;
        long lastNode = -1;
        for (Share share : account.shares()) {
            running.ledger.add(
                    new Ledger.Cell(share.node(), account.volume(), account.requestClass(), share.cause()), share.us());
            seconds[place].causes.add(
                    new Ledger.Cell(share.node(), account.volume(), account.requestClass(), share.cause()), share.us());
            if (share.node() != lastNode) {
                lastNode = share.node();
                running.count(Group.at(lastNode), account);
            }
        }
    }

    private static int place(int of, int most) {
        return of >= 0 && of < most - 1 ? of : most - 1;
    }

    /**
     * Time that requests of a class (by place; beyond the sixteenth all together) were held and waited since the start.
     */
    public long waitUs(int requestClass, Cause.Kind kind) {
        return waitUs[place(requestClass, MOST_CLASSES)][kind.ordinal()];
    }

    /** Requests of a class and plan that are over since the start. */
    public long ended(int requestClass, int plan, boolean served) {
        return ended[place(requestClass, MOST_CLASSES)][place(plan, MOST_PLANS)][served ? 1 : 0];
    }

    /** The minute that runs, or null where nothing has ended yet. */
    public Minute running() {
        return running;
    }

    /** The minute before it, or null. */
    public Minute last() {
        return last;
    }

    /** The seconds that are kept, up to a time, the oldest first; those without an end of a request are left out. */
    public List<Second> seconds(long nowUs) {
        List<Second> kept = new ArrayList<>();
        long now = nowUs / 1_000_000;
        for (long second = now - SECONDS + 1; second <= now; second++) {
            Running of = second < 0 ? null : seconds[(int) (second % SECONDS)];
            if (of != null && of.second == second) {
                kept.add(of.over());
            }
        }
        return kept;
    }
}
