package petrelstand.agreement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelstand.agreement.Talk.Grant;
import petrelstand.agreement.Talk.Renew;

/**
 * The leader's half of the leases: who may act on which version, and when the version that waits may be acted on. A
 * lease is given only after a majority has confirmed, later than it was asked for, that this voter leads; so a leader
 * that was replaced gives none. A new leader knows no leases: it waits until those of the one before have surely run
 * out. The version that waits becomes the one that is acted on once everyone whose lease may still run has confirmed
 * it. Deterministic: one thread at a time, messages and time (µs, never back) in, messages and decisions out.
 */
public class Grantor {
    /** Gateways with leases, and renewals that wait for one confirmation. */
    static final int MOST_HOLDERS = 2048;
    /** Hints to those that have not confirmed come again after this time. */
    static final long HINT_US = 200_000;

    /** What the voter does for this module. */
    public interface Actions {
        /** Sends to a gateway; it may get lost. */
        void send(String name, Talk talk);

        /** Puts a command into the log; it may fail without a word. */
        void commit(Command command);

        /** Asks a majority whether this voter leads; {@link #confirmed} or {@link #unconfirmed} answers. */
        void confirm(long round);

        /** Something that an operator should read. */
        void say(String line);
    }

    /** A process that was given a lease, or asked for one. */
    public static final class Holder {
        final String name;
        final long life;
        long untilUs = Long.MIN_VALUE;
        long heardUs;
        long prepared;
        long acting;
        /** The highest that it said it acted on: it never goes back, but what it says may come in another order. */
        long acted;

        long actingSinceUs;
        String refuses = "";
        long hintedUs = Long.MIN_VALUE / 2;

        Holder(String name, long life) {
            this.name = name;
            this.life = life;
        }

        public String name() {
            return name;
        }

        /** The version that it said it acts on, and since when that is known here. */
        public long acting() {
            return acting;
        }

        public long actingSinceUs() {
            return actingSinceUs;
        }

        public long prepared() {
            return prepared;
        }

        public String refuses() {
            return refuses;
        }

        /** Until when its lease may run, by this voter's clock. */
        public long untilUs() {
            return untilUs;
        }

        public long heardUs() {
            return heardUs;
        }
    }

    private record Waiting(String name, Renew renew, long receivedUs) {}

    private final Promise promise;
    private final RuleBook book;
    private final Actions act;
    private final Map<String, Holder> holders = new TreeMap<>();
    private final Map<String, Long> registering = new HashMap<>();
    private List<Waiting> waiting = new ArrayList<>();
    private List<Waiting> asked = new ArrayList<>();
    private boolean leads;
    private long term;
    private long electedUs;
    private long round;
    private long activating;
    private long activatingUs;
    private long hinted = -1;
    /** The version that is acted on as of the last tick, and since when. */
    private long activeSeen = -1;

    private long activeSinceUs;
    private String saidBlocked = "";

    public Grantor(Promise promise, RuleBook book, Actions act) {
        this.promise = promise;
        this.book = book;
        this.act = act;
    }

    public boolean leads() {
        return leads;
    }

    /** The processes that have asked this leader in its term. */
    public List<Holder> holders() {
        return List.copyOf(holders.values());
    }

    /** This voter was elected, at this time or before. */
    public void leads(long nowUs, long inTerm) {
        if (!leads || inTerm != term) {
            forgetAll();
            leads = true;
            term = inTerm;
            electedUs = nowUs;
        }
    }

    /** This voter does not lead any more. */
    public void follows() {
        leads = false;
        forgetAll();
    }

    private void forgetAll() {
        holders.clear();
        registering.clear();
        waiting.clear();
        asked = new ArrayList<>();
        activating = 0;
        hinted = -1;
        activeSeen = -1;
        round++;
    }

    /** A gateway asks. */
    public void renew(long nowUs, String name, Renew renew) {
        String key = name + " " + renew.life();
        Holder holder = holders.get(key);
        if (holder == null) {
            if (holders.size() >= MOST_HOLDERS) {
                return;
            }
            holder = new Holder(name, renew.life());
            holders.put(key, holder);
        }
        holder.heardUs = nowUs;
        holder.prepared = Math.max(holder.prepared, renew.prepared());
        if (holder.acting != renew.acting()) {
            holder.acting = renew.acting();
            holder.actingSinceUs = nowUs;
        }
        holder.acted = Math.max(holder.acted, renew.acting());
        holder.refuses = renew.refuses();
        if (!book.names().contains(name) && nowUs - registering.getOrDefault(name, nowUs - HINT_US) >= HINT_US) {
            registering.put(name, nowUs);
            act.commit(new Command.Register(name));
        }
        if (waiting.size() < MOST_HOLDERS) {
            waiting.add(new Waiting(name, renew, nowUs));
        }
        ask();
        tick(nowUs);
    }

    private void ask() {
        if (asked.isEmpty() && !waiting.isEmpty()) {
            asked = waiting;
            waiting = new ArrayList<>();
            act.confirm(++round);
        }
    }

    /** A majority holds this voter to be the leader, later than the round was asked for. */
    public void confirmed(long nowUs, long of) {
        if (!leads || of != round) {
            return;
        }
        List<Waiting> answered = asked;
        asked = new ArrayList<>();
        for (Waiting one : answered) {
            answer(nowUs, one);
        }
        ask();
        tick(nowUs);
    }

    /** No majority could be asked: nobody gets a lease. */
    public void unconfirmed(long of) {
        if (of == round) {
            asked = new ArrayList<>();
            ask();
        }
    }

    private void answer(long nowUs, Waiting one) {
        Holder holder = holders.get(one.name + " " + one.renew.life());
        boolean confirmedIt = book.waiting() == 0 || holder.prepared >= book.waiting() || blocked();
        boolean lease = book.active() > 0 && book.names().contains(one.name) && confirmedIt;
        if (lease) {
            // It asked before this voter heard of it, and may have been given nothing longer than a lease from then on.
            holder.untilUs = Math.max(holder.untilUs, leaseEnd(nowUs, one.receivedUs));
        }
        act.send(one.name, new Grant(one.renew.nonce(), term, book.active(), book.waiting(), lease));
    }

    /** When a lease that was asked for before a time has surely run out. */
    protected long leaseEnd(long nowUs, long receivedUs) {
        return receivedUs + promise.surelyOverUs();
    }

    /**
     * A member that can't load the version that waits: it stays as it is until that one is gone or this is withdrawn.
     */
    private boolean blocked() {
        return book.waiting() != 0
                && holders.values().stream()
                        .anyMatch(h -> !h.refuses.isEmpty()
                                && h.prepared < book.waiting()
                                && tickedUs < h.heardUs + promise.surelyOverUs());
    }

    private long tickedUs = Long.MIN_VALUE / 2;

    /** What is due by now. */
    public void tick(long nowUs) {
        tickedUs = nowUs;
        if (!leads) {
            return;
        }
        holders.values().removeIf(h -> nowUs > Math.max(h.untilUs, h.heardUs) + 2 * promise.surelyOverUs());
        long state = book.active() * 31 + book.waiting();
        for (Holder holder : holders.values()) {
            boolean behind = holder.acted < book.active() || holder.prepared < book.waiting();
            if (state != hinted || behind && nowUs - holder.hintedUs >= HINT_US) {
                holder.hintedUs = nowUs;
                act.send(holder.name, new Talk.Hint(book.active(), book.waiting()));
            }
        }
        hinted = state;
        if (book.active() != activeSeen) {
            activeSeen = book.active();
            activeSinceUs = nowUs;
        }
        if (book.waiting() == 0) {
            return;
        }
        if (blocked()) {
            Holder by = holders.values().stream()
                    .filter(h -> !h.refuses.isEmpty())
                    .findFirst()
                    .orElseThrow();
            String line = "version " + book.waiting() + " waits: " + by.name + " can't load it: " + by.refuses;
            if (!line.equals(saidBlocked)) {
                saidBlocked = line;
                act.say(line);
            }
            return;
        }
        boolean mine = activating != book.waiting() || nowUs - activatingUs >= 5 * HINT_US;
        if (mine && mayActivate(nowUs)) {
            activating = book.waiting();
            activatingUs = nowUs;
            java.util.Set<String> confirmed = new java.util.HashSet<>();
            holders.values().stream()
                    .filter(h -> nowUs < h.untilUs && h.prepared >= book.waiting())
                    .forEach(h -> confirmed.add(h.name));
            act.commit(
                    new Command.Activate(book.waiting(), confirmed.containsAll(book.names()) ? book.namesPrint() : 0));
        }
    }

    /**
     * Whether everyone whose lease may still run has confirmed the version that waits, and acts on the one that it is
     * to replace: else two that take turns in being late would contradict each other from version to version without
     * end.
     */
    protected boolean mayActivate(long nowUs) {
        if (nowUs < electedUs + promise.surelyOverUs()) {
            return false;
        }
        boolean formerOver = nowUs >= activeSinceUs + promise.surelyOverUs();
        for (Holder holder : holders.values()) {
            if (nowUs < holder.untilUs
                    && (holder.prepared < book.waiting() || holder.acted < book.active() && !formerOver)) {
                return false;
            }
        }
        return true;
    }

    /** Holders and renewals kept, for the test that each is bounded. */
    List<Integer> kept() {
        return List.of(holders.size(), waiting.size() + asked.size(), registering.size());
    }
}
