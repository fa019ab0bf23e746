package petrelstand.members;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import petrelstand.members.Message.Envelope;

/**
 * One gateway's view of which gateways are up and which have failed, kept by a SWIM-like protocol. Each member is
 * watched by its predecessors on several rings ({@link WatchRings}). A member that is silent to a watcher, directly and
 * through relays ({@link FailureDetector}), becomes suspect; it fails if it does not refute the suspicion in time
 * ({@link Suspicion}). Changes spread by gossip ({@link Dissemination}) and comparison of digests
 * ({@link AntiEntropy}).
 *
 * <p>The class does no I/O and is deterministic: messages and time go in, messages and changes come out. It is not
 * thread-safe. Times are microseconds of a monotonic clock. {@link #tick} must be called every
 * {@link MembershipTiming#TICK_INTERVAL_US}; a late call means that this process was stalled. A surrounding process
 * that notices a stall before its next tick calls {@link #detectStall} before anything else. The design is described in
 * docs/design/members.md.
 */
public class Membership {
    /** Maximum number of known members, including tombstones. */
    public static final int MAX_MEMBERS = MembershipView.MAX_MEMBERS;
    /** Maximum number of processes remembered as verified. */
    static final int MAX_VERIFIED_PROCESSES = VerifiedProcesses.MAX_ENTRIES;
    /** Maximum number of requests awaiting an answer. */
    static final int MAX_PENDING_REQUESTS = PendingRequests.MAX_ENTRIES;
    /** Maximum message rate, both as a burst and in the long run. */
    static final double MAX_MESSAGES_PER_SECOND = Outbox.MAX_MESSAGES_PER_SECOND;

    /** What the surrounding process does for this class. */
    public interface Callbacks {
        /** Sends a message, which may get lost without notice. */
        void send(String address, Envelope message);

        /** Called when the view has changed. */
        void onViewChanged(ViewChange change);

        /** Called when the visible part of the fleet has changed. */
        void onVisibilityChanged(FleetVisibility visibility);

        /** Called after this process did not run for the given time, in microseconds. */
        void onStall(long durationUs);

        /** Adds 1 to a counter; the set of names is small and fixed. */
        void incrementCounter(String name);

        /** Logs a line for the operator. */
        void logMessage(String line);
    }

    /**
     * A member as this gateway sees it.
     *
     * @param stateSinceUs when it entered its state
     * @param cause why it entered its state, for people to read
     * @param lastHeardUs when it was last heard
     * @param heardThroughRelay whether it was last heard through a relay only
     * @param watched whether this process probes it
     */
    public record MemberStatus(
            Member member,
            long stateSinceUs,
            String cause,
            long lastHeardUs,
            boolean heardThroughRelay,
            boolean watched) {}

    private final MembershipTiming timing;
    private final Callbacks callbacks;
    private final MembershipView view;
    private final VerifiedProcesses verified = new VerifiedProcesses();
    private final PendingRequests pending;
    private final Outbox outbox;
    private final Dissemination dissemination;
    private final Suspicion suspicion;
    private final FailureDetector detector;
    private final LocalHealth health;
    private final LeaveProtocol leaveProtocol;
    private final JoinProtocol joinProtocol;
    private final MessageReceiver receiver;
    private long lastTickUs;

    /**
     * Creates a process that starts joining at its first tick.
     *
     * @param nowUs current time
     * @param fleet name of the fleet; messages of other fleets are refused
     * @param self this process as others shall know it; its state is set to {@link MemberState#JOINING}
     * @param seeds addresses to join by; may be down, wrong, or this process's own
     * @param fleetSize agreed number of members, or 0 to use the most seen so far, less those that left gracefully
     * @param seed seed of all random decisions
     */
    public Membership(
            long nowUs,
            String fleet,
            Member self,
            Collection<String> seeds,
            int fleetSize,
            MembershipTiming timing,
            long seed,
            Callbacks callbacks) {
        Objects.requireNonNull(fleet);
        this.timing = timing;
        this.callbacks = callbacks;
        this.lastTickUs = nowUs;
        SplittableRandom random = new SplittableRandom(seed);
        WatchRings rings = new WatchRings(fleet, self.name());
        view = new MembershipView(
                nowUs, self.withState(MemberState.JOINING, ""), fleetSize, rings, verified, callbacks);
        outbox = new Outbox(fleet, view, callbacks);
        pending = new PendingRequests(random);
        dissemination = new Dissemination(view, verified, outbox, random);
        Prober prober = new Prober(view, pending, dissemination, outbox);
        suspicion = new Suspicion(timing, view, dissemination, callbacks);
        detector = new FailureDetector(timing, view, prober, suspicion, random);
        health = new LocalHealth(nowUs, timing, view);
        leaveProtocol = new LeaveProtocol(view, dissemination, outbox);
        AntiEntropy antiEntropy = new AntiEntropy(nowUs, view, outbox, callbacks);
        NameOwnership nameOwnership = new NameOwnership(view, dissemination, outbox, callbacks);
        UpdateProcessor updateProcessor = new UpdateProcessor(
                view,
                dissemination,
                suspicion,
                detector,
                nameOwnership,
                (update, known) -> supersedes(update, known),
                above -> raiseIncarnation(above),
                callbacks);
        MembershipComponents components = new MembershipComponents(
                view,
                verified,
                pending,
                prober,
                outbox,
                dissemination,
                detector,
                health,
                leaveProtocol,
                antiEntropy,
                nameOwnership,
                updateProcessor);
        joinProtocol = new JoinProtocol(seeds, timing, random, components, above -> raiseIncarnation(above), callbacks);
        receiver = new MessageReceiver(fleet, components, joinProtocol, callbacks);
    }

    // ---- Queries and messages ----

    /** This process as others know it. */
    public Member self() {
        return view.self();
    }

    /** Version of the view, raised with each change; comparable within this process only. */
    public long viewVersion() {
        return view.version();
    }

    /** Digest of the present members with their states and incarnations; equal views have equal digests. */
    public long digest() {
        return view.digest().value();
    }

    /** The buckets of the digest; two views differ in members of those buckets that differ. */
    public List<Long> digestBuckets() {
        return view.digest().bucketValues();
    }

    /** How much of the fleet this gateway sees. */
    public FleetVisibility visibility() {
        return view.visibility();
    }

    /**
     * All known members, this process first, the others by name; members unreachable during isolation show as failed.
     */
    public List<MemberStatus> members() {
        return view.memberStatuses(lastTickUs);
    }

    /** Addresses of the other present and reachable members, by name. */
    public Map<String, String> reachableAddresses() {
        return view.reachableAddresses();
    }

    /** Address at which a member is or was reachable, or null if the name is unknown. */
    public String addressOf(String name) {
        if (name.equals(view.self().name())) {
            return view.self().address();
        }
        Peer peer = view.peer(name);
        return peer == null ? null : peer.address();
    }

    /** Starts a graceful leave; {@link #hasLeft} tells when it is complete. */
    public void leave(long nowUs) {
        leaveProtocol.begin(nowUs);
    }

    /** Whether the leave that {@link #leave} started is complete. */
    public boolean hasLeft() {
        return leaveProtocol.isFinished();
    }

    /** Handles a received message whose sender was authenticated as having the fleet's key. */
    public void receive(long nowUs, Envelope envelope) {
        if (!leaveProtocol.isFinished()) {
            receiver.receive(nowUs, envelope);
        }
    }

    // ---- Time ----

    /**
     * Handles the time since the last call of this method as a stall if it was much longer than a tick's interval. Must
     * be called after a stall before messages are received, so that none is handled with an outdated view.
     */
    public void detectStall(long nowUs) {
        long elapsedUs = nowUs - lastTickUs;
        outbox.refill(elapsedUs);
        lastTickUs = nowUs;
        if (!leaveProtocol.isFinished()) {
            handleStall(nowUs, elapsedUs - MembershipTiming.TICK_INTERVAL_US);
        }
    }

    /** Advances the protocol; must be called every {@link MembershipTiming#TICK_INTERVAL_US}. */
    public void tick(long nowUs) {
        detectStall(nowUs);
        if (leaveProtocol.isFinished()) {
            return;
        }
        if (leaveProtocol.isDue(nowUs)) {
            leaveProtocol.finish(nowUs);
            return;
        }
        joinProtocol.tick(nowUs);
        if (!view.isJoining()) {
            detectFailures(nowUs);
        }
        dissemination.tick(nowUs);
    }

    private void detectFailures(long nowUs) {
        boolean isolated = health.isIsolated(nowUs);
        detector.tick(nowUs, isolated);
        suspicion.failExpiredSuspects(nowUs, isolated);
        if (isolated && health.isIsolatedPastFailTimeout(nowUs)) {
            view.peers().stream()
                    .filter(peer -> peer.isPresent() && !peer.unreachable)
                    .forEach(peer -> view.markUnreachable(nowUs, peer));
            view.updateVisibility(nowUs);
        }
    }

    private void handleStall(long nowUs, long stallUs) {
        if (requiresRejoin(stallUs)) {
            rejoin(nowUs, stallUs);
        } else if (stallUs >= timing.stallThresholdUs()) {
            callbacks.incrementCounter("fleet.stalls");
            callbacks.onStall(stallUs);
            discountStall(nowUs, stallUs);
        }
    }

    /** Whether a stall was so long that other members may hold this process to be failed. */
    boolean requiresRejoin(long stallUs) {
        return stallUs >= timing.rejoinThresholdUs();
    }

    /** Excludes a stall of this process from the measured silence of others, which delays detection by as much. */
    private void discountStall(long nowUs, long stallUs) {
        for (Peer peer : view.peers()) {
            peer.lastHeardUs = Math.min(nowUs, peer.lastHeardUs + stallUs);
            if (peer.member.state() == MemberState.SUSPECT) {
                peer.stateSinceUs = Math.min(nowUs, peer.stateSinceUs + stallUs);
            }
        }
        health.discountStall(nowUs, stallUs);
    }

    /** Discards the view, which is outdated after a long stall, and joins again. */
    private void rejoin(long nowUs, long stallUs) {
        long stallMs = stallUs / 1000;
        callbacks.incrementCounter("fleet.away");
        callbacks.onStall(stallUs);
        callbacks.logMessage("this process was paused for " + stallMs + " ms; rejoining the fleet");
        joinProtocol.rememberFormerAddresses(view.removePresentPeers());
        detector.clear();
        dissemination.clear();
        pending.clear();
        if (!leaveProtocol.hasBegun()) {
            view.changeOwnState(nowUs, MemberState.JOINING, "stood still for " + stallMs + " ms");
            joinProtocol.restart(nowUs);
        }
        health.recordHeard(nowUs);
        view.updateVisibility(nowUs);
    }

    // ---- Rules that tests override to plant a defect ----

    /** Raises this process's incarnation above the given one. */
    void raiseIncarnation(long above) {
        view.raiseIncarnation(above);
    }

    /**
     * Whether an update replaces the known state of the same name: the higher incarnation wins, then the later state of
     * the same process, or the higher boot ID of different processes.
     */
    boolean supersedes(Member update, Member known) {
        if (update.incarnation() != known.incarnation()) {
            return update.incarnation() > known.incarnation();
        }
        return update.isSameProcess(known)
                ? update.state().compareTo(known.state()) > 0
                : update.bootId() > known.bootId();
    }

    /** Numbers of verified processes, pending requests, known members and queued updates, for tests of their bounds. */
    List<Integer> tableSizes() {
        return List.of(verified.size(), pending.size(), view.peers().size(), dissemination.queueSize());
    }
}
