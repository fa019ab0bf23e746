package petrelstand.members;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import petrelstand.members.Message.Envelope;

/**
 * Who is there and who has failed, as one gateway sees it. A member is watched by its predecessors on several rings
 * ({@link WatchRings}), on which all members stand in an order of their own; who falls silent to a watcher, directly
 * and through others ({@link FailureDetector}), is suspected, and fails where two agree and it does not refute in time
 * ({@link Suspicion}). What changes is told on as news ({@link Dissemination}, {@link AntiEntropy}).
 *
 * <p>Deterministic: messages and time in, messages and changes out. One thread at a time; times are microseconds of a
 * clock that never goes back. {@link #tick} is to be called every {@link MembershipTiming#TICK_INTERVAL_US}; one that
 * comes late says that this process stood still. The design and the ways weighed are in docs/design/members.md.
 */
public class Membership {
    /** Members known, those that are gone among them. */
    public static final int MAX_MEMBERS = MembershipView.MAX_MEMBERS;
    /** Lives whose messages are taken: those that answered a nonce of this process. */
    static final int MAX_VERIFIED_PROCESSES = VerifiedProcesses.MAX_ENTRIES;
    /** Questions out at a time. */
    static final int MAX_PENDING_REQUESTS = PendingRequests.MAX_ENTRIES;
    /** Messages a second that this process sends at most, over a second and in the long run. */
    static final double MAX_MESSAGES_PER_SECOND = Outbox.MAX_MESSAGES_PER_SECOND;

    /** What the process does for this module. */
    public interface Callbacks {
        /** Sends a message; it may get lost, and nothing is told of that. */
        void send(String address, Envelope message);

        /** The view has changed. */
        void onViewChanged(ViewChange change);

        /** What this gateway sees of the fleet has changed. */
        void onVisibilityChanged(FleetVisibility visibility);

        /** This process did not run for so long, without having been asked to. */
        void onStall(long durationUs);

        /** Something happened that is counted; names are few and fixed. */
        void incrementCounter(String name);

        /** Something that an operator should read. */
        void logMessage(String line);
    }

    /** One line of the view. */
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
     * A process that wants to be a member.
     *
     * @param self as it is to be known; its state is taken as {@link MemberState#JOINING}
     * @param seeds addresses to join by; may be down, wrong, or this process's own
     * @param size the agreed number of members, or 0: the most that were seen, less those that left in order
     * @param seed of all chance in here
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

    // ---- What others ask of this module ----

    /** This process as it is known. */
    public Member self() {
        return view.self();
    }

    /** Grows with each change of the view; of this process alone. */
    public long viewVersion() {
        return view.version();
    }

    /** The same wherever the same members are held to be there, in the same state and incarnation. */
    public long digest() {
        return view.digest().value();
    }

    /** The digest's parts: where two gateways' differ, their views differ in members of that part. */
    public List<Long> digestBuckets() {
        return view.digest().bucketValues();
    }

    /** How much of the fleet is seen. */
    public FleetVisibility visibility() {
        return view.visibility();
    }

    /** The view, this process first, then by name; members that nobody was heard of while cut off show as failed. */
    public List<MemberStatus> members() {
        return view.memberStatuses(lastTickUs);
    }

    /** Addresses of the members that are there and reached, by name; this process is not among them. */
    public Map<String, String> reachableAddresses() {
        return view.reachableAddresses();
    }

    /** Where a member is or was reached; null where it is not known. This process's own is its own. */
    public String addressOf(String name) {
        if (name.equals(view.self().name())) {
            return view.self().address();
        }
        Peer peer = view.peer(name);
        return peer == null ? null : peer.address();
    }

    /** Tells that this process will end; {@link #hasLeft} says when all is told. */
    public void leave(long nowUs) {
        leaveProtocol.begin(nowUs);
    }

    /** Whether this process has left, as it was asked to. */
    public boolean hasLeft() {
        return leaveProtocol.isFinished();
    }

    /** A message that came; who sent it has shown that it has the fleet's key. */
    public void receive(long nowUs, Envelope envelope) {
        if (!leaveProtocol.isFinished()) {
            receiver.receive(nowUs, envelope);
        }
    }

    // ---- Time ----

    /** To be called every {@link MembershipTiming#TICK_INTERVAL_US}. */
    public void tick(long nowUs) {
        long elapsedUs = nowUs - lastTickUs;
        outbox.refill(elapsedUs);
        lastTickUs = nowUs;
        if (leaveProtocol.isFinished()) {
            return;
        }
        handleStall(nowUs, elapsedUs - MembershipTiming.TICK_INTERVAL_US);
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

    /** Whether this process stood still for so long that others may have given it up. */
    boolean requiresRejoin(long stallUs) {
        return stallUs >= timing.rejoinThresholdUs();
    }

    /** This process stood still: nobody was silent meanwhile. Harm: who fell silent then is found so later. */
    private void discountStall(long nowUs, long stallUs) {
        for (Peer peer : view.peers()) {
            peer.lastHeardUs = Math.min(nowUs, peer.lastHeardUs + stallUs);
            if (peer.member.state() == MemberState.SUSPECT) {
                peer.stateSinceUs = Math.min(nowUs, peer.stateSinceUs + stallUs);
            }
        }
        health.discountStall(nowUs, stallUs);
    }

    /** Others may have given this process up, and all that it knows is old: nobody is there until it has joined. */
    private void rejoin(long nowUs, long stallUs) {
        long stallMs = stallUs / 1000;
        callbacks.incrementCounter("fleet.away");
        callbacks.onStall(stallUs);
        callbacks.logMessage("away: this process stood still for " + stallMs + " ms; joining anew");
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

    // ---- Rules that the tests replace to plant a defect ----

    /** Raises this process's incarnation above one that was claimed. */
    void raiseIncarnation(long above) {
        view.raiseIncarnation(above);
    }

    /** Whether a claim replaces another on the same name: a later incarnation, or of one life the later state. */
    boolean supersedes(Member update, Member known) {
        if (update.incarnation() != known.incarnation()) {
            return update.incarnation() > known.incarnation();
        }
        return update.isSameProcess(known)
                ? update.state().compareTo(known.state()) > 0
                : update.bootId() > known.bootId();
    }

    /** Lives, questions, members and rumours kept, for the test that each is bounded. */
    List<Integer> tableSizes() {
        return List.of(verified.size(), pending.size(), view.peers().size(), dissemination.queueSize());
    }
}
