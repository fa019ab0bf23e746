package petrelstand.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.agreement.LeaseHolder;
import petrelstand.agreement.LeaseTiming;
import petrelstand.agreement.RulesMessage;
import petrelstand.config.RulesText;
import petrelstand.core.LoopMonitor;
import petrelstand.members.FleetVisibility;
import petrelstand.members.Member;
import petrelstand.members.MemberState;
import petrelstand.members.Membership;
import petrelstand.members.MembershipTiming;
import petrelstand.members.Message;
import petrelstand.members.Message.Envelope;
import petrelstand.members.ViewChange;

/**
 * Guards against a gateway that acts as a member, or on an expired lease, before it notices that it was suspended.
 * Plays every order of what the first iteration after a stall may handle.
 */
class StallOrderTest {
    private static final long SECOND_US = 1_000_000;
    /** The stalls that are played: below and at the membership's threshold for a rejoin, and above the lease's time. */
    private static final List<Long> STALLS_US = List.of(200_000L, 1_500_000L, 8 * SECOND_US, 60 * SECOND_US);

    private static final String RULES = "[fleet]\ngateways = 2\n[limit basic]\nunits = 10\nfloor = 1\n";

    /** What the first iteration after a stall may handle. */
    private enum Input {
        DATAGRAM,
        RULES_TICK,
        FLEET_TICK,
        REQUEST,
        LEASE_ANSWER
    }

    /** A gateway's membership and lease holder on one virtual loop, which records what they do. */
    private static final class VirtualGateway implements Membership.Callbacks, LeaseHolder.Actions {
        final LoopMonitor monitor = new LoopMonitor();
        final List<String> acts = new ArrayList<>();
        final List<Envelope> sent = new ArrayList<>();
        final Membership membership;
        final LeaseHolder holder;
        final Member peer = member("b", 2, MemberState.ALIVE);
        final Member other = member("c", 3, MemberState.ALIVE);
        long nowUs = SECOND_US;
        long openLeaseNonce;
        long nonceBeforeStall;
        long sequence;

        VirtualGateway(boolean noticesStalls) {
            membership = new Membership(
                    nowUs, "f", member("a", 1, MemberState.JOINING), List.of(), 0, MembershipTiming.DEFAULT, 7, this);
            holder = new LeaseHolder(
                    nowUs, 9, List.of("b"), LeaseTiming.DEFAULT, 7, text -> RulesText.parse("rules", text, null), this);
            holder.restore(nowUs, 1, RULES);
            if (noticesStalls) {
                monitor.addStallListener((atUs, durationUs) -> membership.detectStall(atUs));
            }
            run(SECOND_US);
            verify(peer);
            verify(other);
            run(SECOND_US);
            receive(peer, new Message.Gossip(List.of(member("c", 3, MemberState.LEAVING))));
            holder.tick(nowUs);
            answerLeaseRequest(openLeaseNonce);
            assertEquals(LeaseHolder.Mode.LEASED, holder.effectiveRules(nowUs).mode());
            assertEquals(MemberState.ALIVE, membership.self().state());
            requestLease();
        }

        private static Member member(String name, long bootId, MemberState state) {
            return new Member(name, bootId, 10 * bootId, name + ":1", state, "", 0, "v", List.of());
        }

        private void run(long durationUs) {
            for (long untilUs = nowUs + durationUs; nowUs < untilUs; ) {
                nowUs += MembershipTiming.TICK_INTERVAL_US;
                monitor.beginIteration(nowUs, nowUs);
                membership.tick(nowUs);
                holder.tick(nowUs);
            }
        }

        /** Answers the challenge by which a process is verified. */
        private void verify(Member member) {
            receive(member, new Message.Ping(5, 0, List.of()));
            Message.Ping challenge = (Message.Ping) sent.get(sent.size() - 1).message();
            receive(member, new Message.Ack(challenge.nonce(), 0, "", 0, List.of(member)));
        }

        /** Leaves a lease request open, whose answer may arrive during the stall. */
        private void requestLease() {
            long answered = openLeaseNonce;
            for (int i = 0; openLeaseNonce == answered; i++) {
                assertTrue(i < 100, "no lease request");
                run(MembershipTiming.TICK_INTERVAL_US);
                receive(peer, new Message.Gossip(List.of()));
            }
        }

        private void receive(Member from, Message message) {
            membership.receive(
                    nowUs,
                    new Envelope(
                            "f", from.name(), from.bootId(), from.incarnation(), from.address(), ++sequence, message));
        }

        private void answerLeaseRequest(long nonce) {
            holder.receive(nowUs, "b", new RulesMessage.LeaseAnswer(nonce, 1, 1, 0, true));
        }

        /** Suspends the process and plays its next iteration. */
        void resumeAfter(long stallUs, List<Input> order) {
            acts.clear();
            sent.clear();
            nonceBeforeStall = openLeaseNonce;
            long dueUs = nowUs + MembershipTiming.TICK_INTERVAL_US;
            nowUs = dueUs + stallUs;
            monitor.beginIteration(nowUs, dueUs);
            order.forEach(this::handle);
        }

        private void handle(Input input) {
            switch (input) {
                case DATAGRAM -> receive(peer, new Message.Ping(77, 0, List.of()));
                case RULES_TICK -> holder.tick(nowUs);
                case FLEET_TICK -> membership.tick(nowUs);
                case REQUEST ->
                    acts.add("request " + holder.effectiveRules(nowUs).mode());
                case LEASE_ANSWER -> answerLeaseRequest(nonceBeforeStall);
            }
        }

        /** The names of other members whose state the messages of the iteration spread. */
        List<String> membersSpread() {
            return sent.stream()
                    .flatMap(envelope -> updates(envelope.message()).stream())
                    .map(Member::name)
                    .filter(name -> !name.equals("a"))
                    .toList();
        }

        private static List<Member> updates(Message message) {
            return message instanceof Message.Ack ack
                    ? ack.updates()
                    : message instanceof Message.Ping ping
                            ? ping.updates()
                            : message instanceof Message.Gossip gossip ? gossip.updates() : List.of();
        }

        @Override
        public void send(String address, Envelope message) {
            sent.add(message);
            acts.add("sent " + message.message().getClass().getSimpleName());
        }

        @Override
        public void onViewChanged(ViewChange change) {
            acts.add(change.member().name() + " " + change.member().state());
        }

        @Override
        public void onVisibilityChanged(FleetVisibility visibility) {}

        @Override
        public void onStall(long durationUs) {
            acts.add("stalled");
        }

        @Override
        public void incrementCounter(String name) {}

        @Override
        public void logMessage(String line) {}

        @Override
        public void send(String voter, RulesMessage message) {
            if (message instanceof RulesMessage.LeaseRequest request) {
                openLeaseNonce = request.nonce();
            }
            acts.add("sent " + message.getClass().getSimpleName());
        }

        @Override
        public void effectiveRulesChanged(long changedAtUs, LeaseHolder.EffectiveRules effective, String reason) {
            acts.add("rules " + effective.mode());
        }

        @Override
        public void storeVersion(long version, String text) {}

        @Override
        public void count(String counter) {}

        @Override
        public void log(String line) {}
    }

    private static List<List<Input>> allOrders(List<Input> inputs) {
        if (inputs.isEmpty()) {
            return List.of(List.of());
        }
        List<List<Input>> orders = new ArrayList<>();
        for (Input first : inputs) {
            List<Input> rest = new ArrayList<>(inputs);
            rest.remove(first);
            for (List<Input> order : allOrders(rest)) {
                List<Input> whole = new ArrayList<>(List.of(first));
                whole.addAll(order);
                orders.add(whole);
            }
        }
        return orders;
    }

    private static final List<List<Input>> ORDERS = allOrders(Arrays.asList(Input.values()));

    private static VirtualGateway resumed(boolean noticesStalls, long stallUs, List<Input> order) {
        VirtualGateway gateway = new VirtualGateway(noticesStalls);
        gateway.resumeAfter(stallUs, order);
        return gateway;
    }

    @Test
    void stallIsNoticedBeforeAnythingElseInEveryOrder() {
        assertEquals(120, ORDERS.size());
        for (long stallUs : STALLS_US) {
            boolean rejoins = stallUs >= 1_500_000;
            boolean leaseExpired = stallUs > LeaseTiming.DEFAULT.leaseUs();
            for (List<Input> order : ORDERS) {
                VirtualGateway gateway = resumed(true, stallUs, order);
                String played = stallUs + " us, " + order + ": " + gateway.acts;
                assertEquals("stalled", gateway.acts.get(0), played);
                assertEquals(rejoins, gateway.acts.contains("a JOINING"), played);
                assertEquals(rejoins, gateway.acts.get(1).equals("a JOINING"), played);
                assertEquals(1, gateway.acts.stream().filter("stalled"::equals).count(), played);
                assertTrue(
                        gateway.acts.stream().noneMatch(act -> act.matches("[bc] (SUSPECT|FAILED)")),
                        "a stall counts as the silence of others: " + played);
                assertTrue(gateway.acts.contains("request " + (leaseExpired ? "FALLBACK" : "LEASED")), played);
                if (rejoins) {
                    assertEquals(List.of(), gateway.membersSpread(), played);
                }
            }
        }
    }

    /** The orders must contain the failure, or the test above would prove nothing. */
    @Test
    void withoutNoticeSomeOrdersActAsAMemberFirst() {
        for (long stallUs : STALLS_US.subList(1, 4)) {
            long actedFirst = 0;
            long spreadOldView = 0;
            for (List<Input> order : ORDERS) {
                VirtualGateway gateway = resumed(false, stallUs, order);
                actedFirst += gateway.acts.get(0).equals("stalled") ? 0 : 1;
                spreadOldView += gateway.membersSpread().isEmpty() ? 0 : 1;
            }
            System.out.println("stall of " + stallUs / 1000 + " ms not noticed first: " + actedFirst + " of "
                    + ORDERS.size() + " orders act as a member first, " + spreadOldView + " spread the old view");
            assertNotEquals(0, actedFirst);
            assertNotEquals(0, spreadOldView);
        }
    }
}
