package petrelstand.members;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import petrelstand.members.Message.Envelope;
import petrelstand.members.Message.JoinRequest;
import petrelstand.members.Message.JoinResponse;
import petrelstand.members.PendingRequests.PendingRequest;
import petrelstand.members.PendingRequests.Purpose;

/** Joins this process to the fleet, answers join requests, and keeps retrying seeds and failed members afterwards. */
final class JoinProtocol {
    /** Members sent to a joining process. */
    static final int MAX_SAMPLE_MEMBERS = 6;

    /** Seeds or formerly known addresses tried per retry. */
    private static final int ADDRESSES_PER_RETRY = 2;

    private final MembershipTiming timing;
    private final SplittableRandom random;
    private final MembershipComponents components;
    private final MembershipView view;
    private final LongConsumer raiseIncarnation;
    private final Membership.Callbacks callbacks;
    private final Set<String> seeds;
    /** Addresses of the members known before this process was paused. */
    private final Set<String> formerAddresses = new LinkedHashSet<>();

    private long nextRetryUs;
    private int nextAddressIndex;

    JoinProtocol(
            Collection<String> seeds,
            MembershipTiming timing,
            SplittableRandom random,
            MembershipComponents components,
            LongConsumer raiseIncarnation,
            Membership.Callbacks callbacks) {
        this.seeds = new LinkedHashSet<>(seeds);
        this.seeds.remove(components.view().self().address());
        this.timing = timing;
        this.random = random;
        this.components = components;
        this.view = components.view();
        this.raiseIncarnation = raiseIncarnation;
        this.callbacks = callbacks;
    }

    /** Remembers addresses at which members may still be reachable. */
    void rememberFormerAddresses(Collection<String> addresses) {
        formerAddresses.clear();
        formerAddresses.addAll(addresses);
    }

    /** Starts joining again at the next tick. */
    void restart(long nowUs) {
        components.nameOwnership().restart();
        nextRetryUs = nowUs;
    }

    /** Retries when the retry interval is over. */
    void tick(long nowUs) {
        if (nowUs >= nextRetryUs) {
            retry(nowUs);
            nextRetryUs = nowUs + (long) (timing.retryIntervalUs() * (0.75 + 0.5 * random.nextDouble()));
        }
    }

    /**
     * Sends join requests while joining; afterwards challenges seeds that are no members and one member that is gone.
     */
    private void retry(long nowUs) {
        view.removeExpiredTombstones(nowUs);
        boolean joining = view.isJoining();
        List<String> targets = retryTargets(joining);
        for (String address : targets) {
            if (joining) {
                long nonce = components.pending().add(Purpose.JOIN, "", address, 0);
                components.outbox().send(address, new JoinRequest(nonce, view.self()));
            } else {
                components.prober().challengeAddress(address);
            }
        }
        if (joining
                && !components.leaveProtocol().hasBegun()
                && components.nameOwnership().mayTakeNameUnanswered(targets.isEmpty())) {
            becomeMember(nowUs, "no other gateway answered");
        }
    }

    private List<String> retryTargets(boolean joining) {
        Set<String> knownAddresses = new LinkedHashSet<>(seeds);
        if (joining) {
            knownAddresses.addAll(formerAddresses);
        }
        Set<String> presentAddresses = new HashSet<>();
        List<String> goneAddresses = new ArrayList<>();
        for (Peer peer : view.peers()) {
            (peer.isPresent() && !peer.unreachable && !joining ? presentAddresses : goneAddresses).add(peer.address());
        }
        List<String> candidates = new ArrayList<>(knownAddresses);
        candidates.removeAll(presentAddresses);
        goneAddresses.removeAll(candidates);
        goneAddresses.remove(view.self().address());
        Collections.sort(goneAddresses);
        List<String> targets = new ArrayList<>();
        for (int i = 0; i < ADDRESSES_PER_RETRY && !candidates.isEmpty(); i++) {
            targets.add(candidates.remove(Math.floorMod(nextAddressIndex++, candidates.size())));
        }
        if (!goneAddresses.isEmpty()) {
            targets.add(goneAddresses.get(random.nextInt(goneAddresses.size())));
        }
        return targets;
    }

    /** Handles another process's request to join under its name. */
    void handleJoinRequest(Envelope envelope, JoinRequest request) {
        Member joiner = request.joiner();
        if (!joiner.name().equals(envelope.senderName()) || joiner.bootId() != envelope.senderBootId()) {
            callbacks.incrementCounter("fleet.refused.claim");
            return;
        }
        Peer peer = view.peer(joiner.name());
        Member holder = peer == null ? null : peer.member;
        boolean nameTaken = peer != null && isOwnedByAnotherProcess(peer, joiner);
        components
                .outbox()
                .send(envelope.senderAddress(), new JoinResponse(request.nonce(), !nameTaken, holder, sampleMembers()));
        if (nameTaken) {
            callbacks.incrementCounter("fleet.refused.name");
        }
    }

    /** Whether a name is in use by another process; a new process at the same address is a restart. */
    private static boolean isOwnedByAnotherProcess(Peer holder, Member joiner) {
        return holder.isPresent()
                && !holder.unreachable
                && holder.member.bootId() != joiner.bootId()
                && !holder.address().equals(joiner.address());
    }

    /** A random sample of the present members. */
    private List<Member> sampleMembers() {
        List<Peer> candidates = new ArrayList<>(view.rings().members());
        List<Member> sample = new ArrayList<>();
        while (sample.size() < MAX_SAMPLE_MEMBERS && !candidates.isEmpty()) {
            Peer peer = candidates.remove(random.nextInt(candidates.size()));
            if (!peer.unreachable) {
                sample.add(peer.member);
            }
        }
        return sample.subList(0, Message.countFitting(sample, 0));
    }

    /** Handles the response to this process's join request. */
    void handleJoinResponse(long nowUs, Envelope envelope, JoinResponse response) {
        PendingRequest request = components.pending().remove(response.nonce());
        if (request == null || request.purpose() != Purpose.JOIN) {
            callbacks.incrementCounter("fleet.refused.late");
            return;
        }
        components.verified().addIfAbsent(envelope.senderBootId(), envelope.sequence());
        components.health().recordHeard(nowUs);
        if (!view.isJoining() || components.leaveProtocol().hasBegun()) {
            return;
        }
        Member holder = response.nameHolder();
        if (!response.accepted() && holder != null) {
            components.nameOwnership().yieldName(nowUs, holder);
            return;
        }
        if (holder != null && isFormerProcess(holder)) {
            raiseIncarnation.accept(holder.incarnation());
        }
        becomeMember(nowUs, "admitted by " + envelope.senderName());
        response.sampleMembers()
                .forEach(member -> components.updateProcessor().process(nowUs, member, envelope.senderName()));
        fetchView(envelope, response.sampleMembers());
    }

    /** Whether an update is on this process's name but not on this process as an alive member. */
    private boolean isFormerProcess(Member holder) {
        Member self = view.self();
        boolean differs = holder.bootId() != self.bootId() || holder.state() != MemberState.ALIVE;
        return holder.name().equals(self.name()) && differs;
    }

    /** Fetches the view from a random member, so that a fleet starting all at once does not overload its seeds. */
    private void fetchView(Envelope envelope, List<Member> sample) {
        if (sample.isEmpty()) {
            components.antiEntropy().requestComparison(envelope.senderAddress());
        } else {
            Member member = sample.get(random.nextInt(sample.size()));
            components.prober().challenge(member.name(), member.address());
        }
    }

    private void becomeMember(long nowUs, String cause) {
        components.nameOwnership().markAcquired();
        view.changeOwnState(nowUs, MemberState.ALIVE, cause);
        components.health().recordHeard(nowUs);
        view.resetObservations(nowUs);
        components.detector().clear();
        formerAddresses.clear();
        components.dissemination().enqueue(view.self());
        view.updateVisibility(nowUs);
    }
}
