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
    public static final int MAX_MEMBERS = MembershipView.MOST_MEMBERS;
    /** Lives whose messages are taken: those that answered a nonce of this process. */
    static final int MOST_PROVEN = ProvenLives.MOST;
    /** Questions out at a time. */
    static final int MOST_ASKED = PendingQuestions.MOST;
    /** Messages a second that this process sends at most, over a second and in the long run. */
    static final double MOST_SENT = Outbox.MOST_SENT;

    /** What the process does for this module. */
    public interface Callbacks {
        /** Sends a message; it may get lost, and nothing is told of that. */
        void send(String address, Envelope message);

        /** The view has changed. */
        void onViewChanged(ViewChange change);

        /** What this gateway sees of the fleet has changed. */
        void onVisibilityChanged(FleetVisibility standing);

        /** This process did not run for so long, without having been asked to. */
        void onStall(long us);

        /** Something happened that is counted; names are few and fixed. */
        void incrementCounter(String what);

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
    private final Callbacks actions;
    private final MembershipView members;
    private final ProvenLives proven = new ProvenLives();
    private final PendingQuestions pending;
    private final Outbox outbox;
    private final Dissemination dissemination;
    private final Suspicion suspicion;
    private final FailureDetector detector;
    private final LocalHealth health;
    private final Departure departure;
    private final JoinProtocol join;
    private final Receiver receiver;
    private long tickedUs;

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
            int size,
            MembershipTiming timing,
            long seed,
            Callbacks actions) {
        Objects.requireNonNull(fleet);
        this.timing = timing;
        this.actions = actions;
        this.tickedUs = nowUs;
        SplittableRandom random = new SplittableRandom(seed);
        WatchRings rings = new WatchRings(fleet, self.name());
        members = new MembershipView(nowUs, self.as(MemberState.JOINING, ""), size, rings, proven, actions);
        outbox = new Outbox(fleet, members, actions);
        pending = new PendingQuestions(random);
        dissemination = new Dissemination(members, proven, outbox, random);
        Prober prober = new Prober(members, pending, dissemination, outbox);
        suspicion = new Suspicion(timing, members, dissemination, actions);
        detector = new FailureDetector(timing, members, prober, suspicion, random);
        health = new LocalHealth(nowUs, timing, members);
        departure = new Departure(members, dissemination, outbox);
        AntiEntropy antiEntropy = new AntiEntropy(nowUs, members, outbox, actions);
        NameClaim nameClaim = new NameClaim(members, dissemination, outbox, actions);
        ClaimIntake claims = new ClaimIntake(
                members,
                dissemination,
                suspicion,
                detector,
                nameClaim,
                (claim, known) -> supersedes(claim, known),
                above -> raise(above),
                actions);
        Parts parts = new Parts(
                members,
                proven,
                pending,
                prober,
                outbox,
                dissemination,
                detector,
                health,
                departure,
                antiEntropy,
                nameClaim,
                claims);
        join = new JoinProtocol(seeds, timing, random, parts, above -> raise(above), actions);
        receiver = new Receiver(fleet, parts, join, actions);
    }

    // ---- What others ask of this module ----

    /** This process as it is known. */
    public Member self() {
        return members.self();
    }

    /** Grows with each change of the view; of this process alone. */
    public long viewVersion() {
        return members.version();
    }

    /** The same wherever the same members are held to be there, in the same state and incarnation. */
    public long digest() {
        return members.digest().value();
    }

    /** The digest's parts: where two gateways' differ, their views differ in members of that part. */
    public List<Long> digestBuckets() {
        return members.digest().parts();
    }

    /** How much of the fleet is seen. */
    public FleetVisibility visibility() {
        return members.standing();
    }

    /** The view, this process first, then by name; members that nobody was heard of while cut off show as failed. */
    public List<MemberStatus> members() {
        return members.lines(tickedUs);
    }

    /** Addresses of the members that are there and reached, by name; this process is not among them. */
    public Map<String, String> reachableAddresses() {
        return members.reached();
    }

    /** Where a member is or was reached; null where it is not known. This process's own is its own. */
    public String addressOf(String name) {
        if (name.equals(members.self().name())) {
            return members.self().address();
        }
        Peer peer = members.peer(name);
        return peer == null ? null : peer.address();
    }

    /** Tells that this process will end; {@link #hasLeft} says when all is told. */
    public void leave(long nowUs) {
        departure.begin(nowUs);
    }

    /** Whether this process has left, as it was asked to. */
    public boolean hasLeft() {
        return departure.ended();
    }

    /** A message that came; who sent it has shown that it has the fleet's key. */
    public void receive(long nowUs, Envelope from) {
        if (!departure.ended()) {
            receiver.receive(nowUs, from);
        }
    }

    // ---- Time ----

    /** To be called every {@link MembershipTiming#TICK_INTERVAL_US}. */
    public void tick(long nowUs) {
        long elapsedUs = nowUs - tickedUs;
        outbox.refill(elapsedUs);
        tickedUs = nowUs;
        if (departure.ended()) {
            return;
        }
        noteStall(nowUs, elapsedUs - MembershipTiming.TICK_INTERVAL_US);
        if (departure.due(nowUs)) {
            departure.end(nowUs);
            return;
        }
        join.tick(nowUs);
        if (!members.joining()) {
            detectFailures(nowUs);
        }
        dissemination.tick(nowUs);
    }

    private void detectFailures(long nowUs) {
        boolean isolated = health.isolated(nowUs);
        detector.tick(nowUs, isolated);
        suspicion.decide(nowUs, isolated);
        if (isolated && health.isolatedForGood(nowUs)) {
            members.peers().stream()
                    .filter(peer -> peer.present() && !peer.unreached)
                    .forEach(peer -> members.markUnreached(nowUs, peer));
            members.updateStanding(nowUs);
        }
    }

    private void noteStall(long nowUs, long stoodUs) {
        if (wasAway(stoodUs)) {
            rejoin(nowUs, stoodUs);
        } else if (stoodUs >= timing.stallUs()) {
            actions.incrementCounter("fleet.stalls");
            actions.onStall(stoodUs);
            excuse(nowUs, stoodUs);
        }
    }

    /** Whether this process stood still for so long that others may have given it up. */
    boolean wasAway(long stoodUs) {
        return stoodUs >= timing.awayUs();
    }

    /** This process stood still: nobody was silent meanwhile. Harm: who fell silent then is found so later. */
    private void excuse(long nowUs, long stoodUs) {
        for (Peer peer : members.peers()) {
            peer.heardUs = Math.min(nowUs, peer.heardUs + stoodUs);
            if (peer.member.state() == MemberState.SUSPECT) {
                peer.sinceUs = Math.min(nowUs, peer.sinceUs + stoodUs);
            }
        }
        health.excuse(nowUs, stoodUs);
    }

    /** Others may have given this process up, and all that it knows is old: nobody is there until it has joined. */
    private void rejoin(long nowUs, long stoodUs) {
        long stoodMs = stoodUs / 1000;
        actions.incrementCounter("fleet.away");
        actions.onStall(stoodUs);
        actions.logMessage("away: this process stood still for " + stoodMs + " ms; joining anew");
        join.rememberFormer(members.forgetPresent());
        detector.clear();
        dissemination.clear();
        pending.clear();
        if (!departure.begun()) {
            members.becomes(nowUs, MemberState.JOINING, "stood still for " + stoodMs + " ms");
            join.restart(nowUs);
        }
        health.heardAny(nowUs);
        members.updateStanding(nowUs);
    }

    // ---- Rules that the tests replace to plant a defect ----

    /** Raises this process's incarnation above one that was claimed. */
    void raise(long above) {
        members.raiseIncarnation(above);
    }

    /** Whether a claim replaces another on the same name: a later incarnation, or of one life the later state. */
    boolean supersedes(Member claim, Member known) {
        if (claim.incarnation() != known.incarnation()) {
            return claim.incarnation() > known.incarnation();
        }
        return claim.sameLife(known) ? claim.state().compareTo(known.state()) > 0 : claim.bootId() > known.bootId();
    }

    /** Lives, questions, members and rumours kept, for the test that each is bounded. */
    List<Integer> kept() {
        return List.of(proven.size(), pending.size(), members.peers().size(), dissemination.size());
    }
}
