package petrelstand.agreement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelstand.agreement.RulesMessage.LeaseAnswer;
import petrelstand.agreement.RulesMessage.LeaseRequest;

/**
 * The leader's half of the leases: who may act on which version, and when the version that waits may be acted on. A
 * lease is given only after a majority has confirmed, later than it was asked for, that this voter leads; so a leader
 * that was replaced gives none. A new leader knows no leases: it waits until those of the one before have surely run
 * out. The version that waits becomes the one that is acted on once everyone whose lease may still run has confirmed
 * it. Deterministic: one thread at a time, messages and time (µs, never back) in, messages and decisions out.
 */
public class LeaseGrantor {
    /** Gateways with leases, and renewals that wait for one confirmation. */
    static final int MAX_GATEWAYS = 2048;
    /** Hints to those that have not confirmed come again after this time. */
    static final long HINT_INTERVAL_US = 200_000;

    /** What the voter does for this module. */
    public interface Actions {
        /** Sends to a gateway; it may get lost. */
        void send(String name, RulesMessage talk);

        /** Puts a command into the log; it may fail without a word. */
        void commit(RegistryCommand command);

        /**
         * Asks a majority whether this voter leads; {@link #leadershipConfirmed} or {@link #leadershipUnconfirmed}
         * answers.
         */
        void confirmLeadership(long round);

        /** Something that an operator should read. */
        void log(String line);
    }

    /** A process that was given a lease, or asked for one. */
    public static final class GatewayState {
        final String name;
        final long instanceId;
        long leaseUntilUs = Long.MIN_VALUE;
        long lastHeardUs;
        long preparedVersion;
        long actingVersion;
        /** The highest that it said it acted on: it never goes back, but what it says may come in another order. */
        long highestActedVersion;

        long actingSinceUs;
        String loadError = "";
        long lastHintUs = Long.MIN_VALUE / 2;

        GatewayState(String name, long life) {
            this.name = name;
            this.instanceId = life;
        }

        public String name() {
            return name;
        }

        /** The version that it said it acts on, and since when that is known here. */
        public long actingVersion() {
            return actingVersion;
        }

        public long actingSinceUs() {
            return actingSinceUs;
        }

        public long preparedVersion() {
            return preparedVersion;
        }

        public String loadError() {
            return loadError;
        }

        /** Until when its lease may run, by this voter's clock. */
        public long leaseUntilUs() {
            return leaseUntilUs;
        }

        public long lastHeardUs() {
            return lastHeardUs;
        }
    }

    private record Waiting(String name, LeaseRequest renew, long receivedUs) {}

    private final LeaseTiming timing;
    private final RuleRegistry registry;
    private final Actions actions;
    private final Map<String, GatewayState> gateways = new TreeMap<>();
    private final Map<String, Long> registering = new HashMap<>();
    private List<Waiting> waiting = new ArrayList<>();
    private List<Waiting> asked = new ArrayList<>();
    private boolean isLeader;
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

    public LeaseGrantor(LeaseTiming promise, RuleRegistry book, Actions act) {
        this.timing = promise;
        this.registry = book;
        this.actions = act;
    }

    public boolean isLeader() {
        return isLeader;
    }

    /** The processes that have asked this leader in its term. */
    public List<GatewayState> gateways() {
        return List.copyOf(gateways.values());
    }

    /** This voter was elected, at this time or before. */
    public void isLeader(long nowUs, long inTerm) {
        if (!isLeader || inTerm != term) {
            clearState();
            isLeader = true;
            term = inTerm;
            electedUs = nowUs;
        }
    }

    /** This voter does not lead any more. */
    public void becomeFollower() {
        isLeader = false;
        clearState();
    }

    private void clearState() {
        gateways.clear();
        registering.clear();
        waiting.clear();
        asked = new ArrayList<>();
        activating = 0;
        hinted = -1;
        activeSeen = -1;
        round++;
    }

    /** A gateway asks. */
    public void renew(long nowUs, String name, LeaseRequest renew) {
        String key = name + " " + renew.instanceId();
        GatewayState holder = gateways.get(key);
        if (holder == null) {
            if (gateways.size() >= MAX_GATEWAYS) {
                return;
            }
            holder = new GatewayState(name, renew.instanceId());
            gateways.put(key, holder);
        }
        holder.lastHeardUs = nowUs;
        holder.preparedVersion = Math.max(holder.preparedVersion, renew.preparedVersion());
        if (holder.actingVersion != renew.actingVersion()) {
            holder.actingVersion = renew.actingVersion();
            holder.actingSinceUs = nowUs;
        }
        holder.highestActedVersion = Math.max(holder.highestActedVersion, renew.actingVersion());
        holder.loadError = renew.loadError();
        if (!registry.gatewayNames().contains(name)
                && nowUs - registering.getOrDefault(name, nowUs - HINT_INTERVAL_US) >= HINT_INTERVAL_US) {
            registering.put(name, nowUs);
            actions.commit(new RegistryCommand.RegisterGateway(name));
        }
        if (waiting.size() < MAX_GATEWAYS) {
            waiting.add(new Waiting(name, renew, nowUs));
        }
        ask();
        tick(nowUs);
    }

    private void ask() {
        if (asked.isEmpty() && !waiting.isEmpty()) {
            asked = waiting;
            waiting = new ArrayList<>();
            actions.confirmLeadership(++round);
        }
    }

    /** A majority holds this voter to be the leader, later than the round was asked for. */
    public void leadershipConfirmed(long nowUs, long of) {
        if (!isLeader || of != round) {
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
    public void leadershipUnconfirmed(long of) {
        if (of == round) {
            asked = new ArrayList<>();
            ask();
        }
    }

    private void answer(long nowUs, Waiting one) {
        GatewayState holder = gateways.get(one.name + " " + one.renew.instanceId());
        boolean confirmedIt = registry.pending() == 0 || holder.preparedVersion >= registry.pending() || blocked();
        boolean lease = registry.active() > 0 && registry.gatewayNames().contains(one.name) && confirmedIt;
        if (lease) {
            // It asked before this voter heard of it, and may have been given nothing longer than a lease from then on.
            holder.leaseUntilUs = Math.max(holder.leaseUntilUs, leaseEndUs(nowUs, one.receivedUs));
        }
        actions.send(one.name, new LeaseAnswer(one.renew.nonce(), term, registry.active(), registry.pending(), lease));
    }

    /** When a lease that was asked for before a time has surely run out. */
    protected long leaseEndUs(long nowUs, long receivedUs) {
        return receivedUs + timing.expiredAfterUs();
    }

    /**
     * A member that can't load the version that waits: it stays as it is until that one is gone or this is withdrawn.
     */
    private boolean blocked() {
        return registry.pending() != 0
                && gateways.values().stream()
                        .anyMatch(h -> !h.loadError.isEmpty()
                                && h.preparedVersion < registry.pending()
                                && tickedUs < h.lastHeardUs + timing.expiredAfterUs());
    }

    private long tickedUs = Long.MIN_VALUE / 2;

    /** What is due by now. */
    public void tick(long nowUs) {
        tickedUs = nowUs;
        if (!isLeader) {
            return;
        }
        gateways.values().removeIf(h -> nowUs > Math.max(h.leaseUntilUs, h.lastHeardUs) + 2 * timing.expiredAfterUs());
        long state = registry.active() * 31 + registry.pending();
        for (GatewayState holder : gateways.values()) {
            boolean behind =
                    holder.highestActedVersion < registry.active() || holder.preparedVersion < registry.pending();
            if (state != hinted || behind && nowUs - holder.lastHintUs >= HINT_INTERVAL_US) {
                holder.lastHintUs = nowUs;
                actions.send(holder.name, new RulesMessage.VersionsChanged(registry.active(), registry.pending()));
            }
        }
        hinted = state;
        if (registry.active() != activeSeen) {
            activeSeen = registry.active();
            activeSinceUs = nowUs;
        }
        if (registry.pending() == 0) {
            return;
        }
        if (blocked()) {
            GatewayState by = gateways.values().stream()
                    .filter(h -> !h.loadError.isEmpty())
                    .findFirst()
                    .orElseThrow();
            String line = "version " + registry.pending() + " waits: " + by.name + " can't load it: " + by.loadError;
            if (!line.equals(saidBlocked)) {
                saidBlocked = line;
                actions.log(line);
            }
            return;
        }
        boolean mine = activating != registry.pending() || nowUs - activatingUs >= 5 * HINT_INTERVAL_US;
        if (mine && mayActivate(nowUs)) {
            activating = registry.pending();
            activatingUs = nowUs;
            java.util.Set<String> confirmed = new java.util.HashSet<>();
            gateways.values().stream()
                    .filter(h -> nowUs < h.leaseUntilUs && h.preparedVersion >= registry.pending())
                    .forEach(h -> confirmed.add(h.name));
            actions.commit(new RegistryCommand.Activate(
                    registry.pending(),
                    confirmed.containsAll(registry.gatewayNames()) ? registry.gatewayNamesHash() : 0));
        }
    }

    /**
     * Whether everyone whose lease may still run has confirmed the version that waits, and acts on the one that it is
     * to replace: else two that take turns in being late would contradict each other from version to version without
     * end.
     */
    protected boolean mayActivate(long nowUs) {
        if (nowUs < electedUs + timing.expiredAfterUs()) {
            return false;
        }
        boolean formerOver = nowUs >= activeSinceUs + timing.expiredAfterUs();
        for (GatewayState holder : gateways.values()) {
            if (nowUs < holder.leaseUntilUs
                    && (holder.preparedVersion < registry.pending()
                            || holder.highestActedVersion < registry.active() && !formerOver)) {
                return false;
            }
        }
        return true;
    }

    /** Holders and renewals kept, for the test that each is bounded. */
    List<Integer> tableSizes() {
        return List.of(gateways.size(), waiting.size() + asked.size(), registering.size());
    }
}
