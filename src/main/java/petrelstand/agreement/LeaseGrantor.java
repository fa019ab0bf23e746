package petrelstand.agreement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import petrelstand.agreement.RulesMessage.LeaseAnswer;
import petrelstand.agreement.RulesMessage.LeaseRequest;

/**
 * The leader's side of the leases: grants gateways leases on the active version, and decides when the pending version
 * may be activated. A lease is granted only after a majority has confirmed this voter's leadership later than the
 * request came in, so a replaced leader grants none. A new leader knows no leases and waits until those of its
 * predecessor have expired. The pending version is activated once every gateway whose lease may still run has confirmed
 * it. Deterministic; not thread-safe. Times are in µs and never go back.
 */
public class LeaseGrantor {
    /** Bound on the gateway processes that are tracked, and on the requests that wait for a confirmation. */
    static final int MAX_GATEWAYS = 2048;
    /** Interval of the notices to gateways that are behind. */
    static final long HINT_INTERVAL_US = 200_000;
    /** Time after which an activation that had no effect is tried again. */
    private static final long ACTIVATION_RETRY_US = 5 * HINT_INTERVAL_US;

    /** What the grantor needs from its voter. */
    public interface Actions {
        /** Sends a message to a gateway; it may be lost. */
        void send(String name, RulesMessage message);

        /** Appends a command to the log; this may fail without notice. */
        void commit(RegistryCommand command);

        /**
         * Asks a majority whether this voter leads. The answer is a call of {@link #leadershipConfirmed} or
         * {@link #leadershipUnconfirmed} with the same round.
         */
        void confirmLeadership(long round);

        /** Logs a line for the operator. */
        void log(String line);
    }

    /** What the leader knows of one gateway process that has asked for a lease. */
    public static final class GatewayState {
        final String name;
        final long instanceId;
        long leaseUntilUs = Long.MIN_VALUE;
        long lastHeardUs;
        long preparedVersion;
        long actingVersion;
        /** The highest version that it reported to apply; reports may arrive out of order. */
        long highestActedVersion;

        long actingSinceUs;
        String loadError = "";
        long lastHintUs = Long.MIN_VALUE / 2;

        GatewayState(String name, long instanceId) {
            this.name = name;
            this.instanceId = instanceId;
        }

        public String name() {
            return name;
        }

        /** The version that it last reported to apply under a lease, or 0. */
        public long actingVersion() {
            return actingVersion;
        }

        /** When that report first arrived here. */
        public long actingSinceUs() {
            return actingSinceUs;
        }

        /** The newest version that it has confirmed to have loaded. */
        public long preparedVersion() {
            return preparedVersion;
        }

        /** Why it can't load the pending version, or empty. */
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

    private record ReceivedRequest(String name, LeaseRequest request, long receivedUs) {}

    private final LeaseTiming timing;
    private final RuleRegistry registry;
    private final Actions actions;
    private final Map<String, GatewayState> gateways = new TreeMap<>();
    private final Map<String, Long> registeringSinceUs = new HashMap<>();
    /** Requests that came in after the current confirmation round began; the next round answers them. */
    private List<ReceivedRequest> nextRoundRequests = new ArrayList<>();

    private List<ReceivedRequest> currentRoundRequests = new ArrayList<>();
    private boolean isLeader;
    private long term;
    private long electedUs;
    private long round;
    private long activatingVersion;
    private long activatingSinceUs;
    /** Combination of the active and the pending version that the gateways were last notified of. */
    private long hintedVersions = -1;
    /** The active version at the last tick, and since when it is active. */
    private long activeAtLastTick = -1;

    private long activeSinceUs;
    private String lastBlockedLine = "";
    private long lastTickUs = Long.MIN_VALUE / 2;

    public LeaseGrantor(LeaseTiming timing, RuleRegistry registry, Actions actions) {
        this.timing = timing;
        this.registry = registry;
        this.actions = actions;
    }

    public boolean isLeader() {
        return isLeader;
    }

    /** The gateway processes that have asked for a lease in this leader's term. */
    public List<GatewayState> gateways() {
        return List.copyOf(gateways.values());
    }

    /** Called when this voter has been elected, at {@code nowUs} or before. */
    public void becomeLeader(long nowUs, long newTerm) {
        if (!isLeader || newTerm != term) {
            clearState();
            isLeader = true;
            term = newTerm;
            electedUs = nowUs;
        }
    }

    /** Called when this voter does not lead any more. */
    public void becomeFollower() {
        isLeader = false;
        clearState();
    }

    private void clearState() {
        gateways.clear();
        registeringSinceUs.clear();
        nextRoundRequests.clear();
        currentRoundRequests = new ArrayList<>();
        activatingVersion = 0;
        hintedVersions = -1;
        activeAtLastTick = -1;
        round++;
    }

    /** Handles a gateway's lease request; it is answered once a majority has confirmed the leadership. */
    public void renew(long nowUs, String name, LeaseRequest request) {
        String key = name + " " + request.instanceId();
        GatewayState gateway = gateways.get(key);
        if (gateway == null) {
            if (gateways.size() >= MAX_GATEWAYS) {
                return;
            }
            gateway = new GatewayState(name, request.instanceId());
            gateways.put(key, gateway);
        }
        gateway.lastHeardUs = nowUs;
        gateway.preparedVersion = Math.max(gateway.preparedVersion, request.preparedVersion());
        if (gateway.actingVersion != request.actingVersion()) {
            gateway.actingVersion = request.actingVersion();
            gateway.actingSinceUs = nowUs;
        }
        gateway.highestActedVersion = Math.max(gateway.highestActedVersion, request.actingVersion());
        gateway.loadError = request.loadError();
        if (!registry.gatewayNames().contains(name)
                && nowUs - registeringSinceUs.getOrDefault(name, nowUs - HINT_INTERVAL_US) >= HINT_INTERVAL_US) {
            registeringSinceUs.put(name, nowUs);
            actions.commit(new RegistryCommand.RegisterGateway(name));
        }
        if (nextRoundRequests.size() < MAX_GATEWAYS) {
            nextRoundRequests.add(new ReceivedRequest(name, request, nowUs));
        }
        beginRound();
        tick(nowUs);
    }

    private void beginRound() {
        if (currentRoundRequests.isEmpty() && !nextRoundRequests.isEmpty()) {
            currentRoundRequests = nextRoundRequests;
            nextRoundRequests = new ArrayList<>();
            actions.confirmLeadership(++round);
        }
    }

    /** Called when a majority has confirmed the leadership, later than the round began. */
    public void leadershipConfirmed(long nowUs, long confirmedRound) {
        if (!isLeader || confirmedRound != round) {
            return;
        }
        List<ReceivedRequest> confirmedRequests = currentRoundRequests;
        currentRoundRequests = new ArrayList<>();
        for (ReceivedRequest request : confirmedRequests) {
            answer(nowUs, request);
        }
        beginRound();
        tick(nowUs);
    }

    /** Called when no majority confirmed the leadership: the requests of the round get no lease. */
    public void leadershipUnconfirmed(long unconfirmedRound) {
        if (unconfirmedRound == round) {
            currentRoundRequests = new ArrayList<>();
            beginRound();
        }
    }

    private void answer(long nowUs, ReceivedRequest received) {
        GatewayState gateway = gateways.get(received.name + " " + received.request.instanceId());
        boolean confirmedPending =
                registry.pending() == 0 || gateway.preparedVersion >= registry.pending() || isActivationBlocked();
        boolean granted = registry.active() > 0 && registry.gatewayNames().contains(received.name) && confirmedPending;
        if (granted) {
            // The gateway counts its lease from sending the request, so the lease expires no later than this.
            gateway.leaseUntilUs = Math.max(gateway.leaseUntilUs, leaseEndUs(nowUs, received.receivedUs));
        }
        actions.send(
                received.name,
                new LeaseAnswer(received.request.nonce(), term, registry.active(), registry.pending(), granted));
    }

    /** The time, by this voter's clock, when a lease has expired whose request arrived at {@code receivedUs}. */
    protected long leaseEndUs(long nowUs, long receivedUs) {
        return receivedUs + timing.expiredAfterUs();
    }

    /**
     * Whether a gateway can't load the pending version. All gateways keep their leases on the active version until that
     * gateway is gone or the pending version is withdrawn.
     */
    private boolean isActivationBlocked() {
        return blockingGateway().isPresent();
    }

    /** A gateway that was heard lately and can't load the pending version. */
    private Optional<GatewayState> blockingGateway() {
        return gateways.values().stream()
                .filter(gateway -> !gateway.loadError.isEmpty()
                        && gateway.preparedVersion < registry.pending()
                        && lastTickUs < gateway.lastHeardUs + timing.expiredAfterUs())
                .findFirst();
    }

    /** Notifies gateways that are behind, and activates the pending version when that is due. */
    public void tick(long nowUs) {
        lastTickUs = nowUs;
        if (!isLeader) {
            return;
        }
        gateways.values()
                .removeIf(gateway ->
                        nowUs > Math.max(gateway.leaseUntilUs, gateway.lastHeardUs) + 2 * timing.expiredAfterUs());
        long currentVersions = registry.active() * 31 + registry.pending();
        for (GatewayState gateway : gateways.values()) {
            boolean behind =
                    gateway.highestActedVersion < registry.active() || gateway.preparedVersion < registry.pending();
            if (currentVersions != hintedVersions || behind && nowUs - gateway.lastHintUs >= HINT_INTERVAL_US) {
                gateway.lastHintUs = nowUs;
                actions.send(gateway.name, new RulesMessage.VersionsChanged(registry.active(), registry.pending()));
            }
        }
        hintedVersions = currentVersions;
        if (registry.active() != activeAtLastTick) {
            activeAtLastTick = registry.active();
            activeSinceUs = nowUs;
        }
        if (registry.pending() == 0) {
            return;
        }
        Optional<GatewayState> blocking = blockingGateway();
        if (blocking.isPresent()) {
            String line = "version " + registry.pending() + " stays pending: gateway " + blocking.get().name
                    + " can't load it: " + blocking.get().loadError;
            if (!line.equals(lastBlockedLine)) {
                lastBlockedLine = line;
                actions.log(line);
            }
            return;
        }
        boolean attemptDue =
                activatingVersion != registry.pending() || nowUs - activatingSinceUs >= ACTIVATION_RETRY_US;
        if (attemptDue && mayActivate(nowUs)) {
            activatingVersion = registry.pending();
            activatingSinceUs = nowUs;
            Set<String> confirmedNames = new HashSet<>();
            gateways.values().stream()
                    .filter(gateway -> nowUs < gateway.leaseUntilUs && gateway.preparedVersion >= registry.pending())
                    .forEach(gateway -> confirmedNames.add(gateway.name));
            actions.commit(new RegistryCommand.Activate(
                    registry.pending(),
                    confirmedNames.containsAll(registry.gatewayNames()) ? registry.gatewayNamesHash() : 0));
        }
    }

    /**
     * Whether every gateway whose lease may still run has confirmed the pending version and applies the active one.
     * Without the second condition two gateways that are late in turn could conflict over several versions without a
     * break.
     */
    protected boolean mayActivate(long nowUs) {
        if (nowUs < electedUs + timing.expiredAfterUs()) {
            return false;
        }
        boolean formerLeasesExpired = nowUs >= activeSinceUs + timing.expiredAfterUs();
        for (GatewayState gateway : gateways.values()) {
            if (nowUs < gateway.leaseUntilUs
                    && (gateway.preparedVersion < registry.pending()
                            || gateway.highestActedVersion < registry.active() && !formerLeasesExpired)) {
                return false;
            }
        }
        return true;
    }

    /** The sizes of the gateway, request and registration tables, for the test of their bounds. */
    List<Integer> tableSizes() {
        return List.of(
                gateways.size(), nextRoundRequests.size() + currentRoundRequests.size(), registeringSinceUs.size());
    }
}
