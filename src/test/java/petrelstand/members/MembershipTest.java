package petrelstand.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import petrelstand.lab.faults.FleetPlan;
import petrelstand.lab.faults.FleetPlan.Fault;
import petrelstand.lab.faults.FleetPlan.Kind;
import petrelstand.lab.faults.FleetSearch;
import petrelstand.lab.faults.FleetSim;
import petrelstand.lab.faults.FleetSim.Seen;
import petrelstand.members.FleetVisibility.Reach;
import petrelstand.members.Message.Envelope;
import petrelstand.members.Message.Gossip;
import petrelstand.members.Message.JoinRequest;
import petrelstand.members.Message.Ping;

/** Tests the membership protocol in virtual time under faults, and that planted defects are detected. */
class MembershipTest {
    private static final long SECOND_US = 1_000_000;

    private static FleetSim startFleet(int size, long seed) {
        FleetSim fleet = new FleetSim(size, seed, FleetSim.usual(MembershipTiming.DEFAULT));
        assertTrue(
                fleet.until(f -> f.running().size() == size && f.agreed(), 10 * SECOND_US) >= 0,
                "joined, seed " + seed);
        fleet.run(fleet.nowUs() + 3 * SECOND_US);
        return fleet;
    }

    private static Fault fault(Kind kind, int who, double seconds, int amount) {
        return new Fault(kind, who, 0, (long) (seconds * SECOND_US), amount);
    }

    private static List<Seen> failures(FleetSim fleet, int from, Predicate<Seen> condition) {
        return fleet.seen().subList(from, fleet.seen().size()).stream()
                .filter(s -> s.change().member().state() == MemberState.FAILED)
                .filter(condition)
                .toList();
    }

    @Test
    void allMembersLearnOfACrashWithinThreeSeconds() {
        List<Long> times = new ArrayList<>();
        for (int seed = 1; seed <= 20; seed++) {
            FleetSim fleet = startFleet(seed <= 3 ? 100 : 3 + seed, seed);
            fleet.strike(fault(Kind.KILL, 2, 0, 0));
            times.add(fleet.until(FleetSim::agreed, 10 * SECOND_US));
        }
        assertTrue(times.stream().allMatch(t -> t >= 0 && t <= 3 * SECOND_US), times.toString());
    }

    @Test
    void shortStallsAndPacketLossCauseNoFailures() {
        for (int seed = 1; seed <= 6; seed++) {
            FleetSim fleet = startFleet(12, seed);
            int from = fleet.seen().size();
            fleet.loss(0.1);
            for (int i = 0; i < 12; i++) {
                fleet.strike(fault(Kind.STOP, i, 1, 0));
                fleet.run(fleet.nowUs() + 3 * SECOND_US);
            }
            assertEquals(List.of(), failures(fleet, from, s -> true), "seed " + seed);
            // The processes noticed the stalls, so they were long enough to test the protection.
            assertTrue(
                    fleet.counts().getOrDefault("fleet.stalls", 0L) >= 12,
                    fleet.counts().toString());
        }
    }

    @Test
    void pausedProcessRejoinsBeforeItIsAMemberAgain() {
        FleetSim fleet = startFleet(5, 1);
        int from = fleet.seen().size();
        fleet.strike(fault(Kind.STOP, 2, 10, 0));
        fleet.run(fleet.nowUs() + 10 * SECOND_US);
        assertEquals(4, failures(fleet, from, s -> true).size());
        assertTrue(fleet.until(FleetSim::agreed, 5 * SECOND_US) >= 0);
        Seen first = fleet.seen().subList(from, fleet.seen().size()).stream()
                .filter(s -> s.process() == 2)
                .findFirst()
                .orElseThrow();
        assertEquals(MemberState.JOINING, first.change().member().state());
        assertTrue(first.change().cause().startsWith("stood still for"), first.toString());
    }

    @Test
    void partitionIsVisibleAndHealsWithinFiveSeconds() {
        for (int seed = 1; seed <= 5; seed++) {
            FleetSim fleet = startFleet(5 * seed, seed);
            fleet.strike(fault(Kind.CUT, 2 * seed, 12, 0));
            fleet.run(fleet.nowUs() + 11 * SECOND_US);
            assertEquals(Reach.MINORITY, fleet.module(0).visibility().reach());
            assertEquals(2 * seed, fleet.module(0).visibility().visibleMembers());
            assertEquals(Reach.MAJORITY, fleet.module(5 * seed - 1).visibility().reach());
            fleet.run(fleet.nowUs() + SECOND_US);
            long sent = fleet.sent();
            long healed = fleet.until(FleetSim::agreed, 5 * SECOND_US);
            assertTrue(healed >= 0, "seed " + seed);
            // Healing stays within each gateway's message rate.
            assertTrue(fleet.sent() - sent <= (healed / 1e6 + 1) * Membership.MAX_MESSAGES_PER_SECOND * 5 * seed);
            assertEquals(Reach.WHOLE, fleet.module(0).visibility().reach());
        }
    }

    @Test
    void brokenLinksCauseNoFailureIfOthersReachTheMember() {
        for (int seed = 1; seed <= 4; seed++) {
            FleetSim fleet = startFleet(5, seed);
            int from = fleet.seen().size();
            fleet.strike(fault(Kind.PAIR, 1, 8, 0));
            fleet.run(fleet.nowUs() + 8 * SECOND_US);
            assertEquals(List.of(), failures(fleet, from, s -> true), "pair, seed " + seed);
            // A member that receives nothing suspects nobody.
            fleet.strike(fault(Kind.DEAF, 3, 6, 0));
            fleet.run(fleet.nowUs() + 6 * SECOND_US - 1);
            assertEquals(List.of(), failures(fleet, from, s -> s.process() != 3), "deaf, seed " + seed);
            assertEquals(Reach.NOBODY, fleet.module(3).visibility().reach());
            assertTrue(fleet.until(FleetSim::agreed, 5 * SECOND_US) >= 0);
        }
    }

    @Test
    void gracefulLeaveIsAnnouncedAndNobodyFails() {
        FleetSim fleet = startFleet(7, 3);
        int from = fleet.seen().size();
        fleet.strike(fault(Kind.TERM, 4, 0, 0));
        assertTrue(fleet.until(f -> f.running().size() == 6 && f.agreed(), SECOND_US) >= 0);
        assertEquals(List.of(), failures(fleet, from, s -> true));
        assertEquals(Reach.WHOLE, fleet.module(0).visibility().reach());
        assertEquals(6, fleet.module(0).visibility().agreedSize());
    }

    @Test
    void rollingAndSimultaneousRestartsConverge() {
        FleetSim fleet = startFleet(6, 5);
        for (int i = 0; i < 6; i++) {
            fleet.strike(fault(i % 2 == 0 ? Kind.KILL : Kind.TERM, i, 0.5, 0));
            fleet.run(fleet.nowUs() + 2 * SECOND_US);
        }
        assertTrue(fleet.until(FleetSim::agreed, 5 * SECOND_US) >= 0);
        for (int i = 0; i < 6; i++) {
            fleet.strike(fault(Kind.KILL, i, 0.4, 0));
        }
        fleet.run(fleet.nowUs() + SECOND_US);
        assertTrue(fleet.until(f -> f.running().size() == 6 && f.agreed(), 8 * SECOND_US) >= 0);
    }

    @Test
    void twoHundredStartsAtOnceConvergeWithoutFailures() {
        FleetSim fleet = new FleetSim(200, 1, FleetSim.usual(MembershipTiming.DEFAULT));
        fleet.run(500_000);
        long took = fleet.until(FleetSim::agreed, 5_000_000);
        assertTrue(took >= 0, "the views did not converge");
        assertTrue(
                fleet.counts().getOrDefault("fleet.failed", 0L) == 0,
                fleet.counts().toString());
    }

    @Test
    void everySingleFaultAmongThreeMembersConverges() {
        FleetSearch.Result result = FleetSearch.run(1, FleetSim.usual(MembershipTiming.DEFAULT));
        assertEquals("", result.fault(), result.toString());
        assertTrue(result.played() > 500);
        assertFalse(FleetSearch.run(1, withDefect("never-fails")).fault().isEmpty());
    }

    /** Guards against a member that crashes while the others are isolated and then stays suspect for ever. */
    @Test
    void crashDuringIsolationOfTheOthersIsDetected() {
        FleetPlan plan = new FleetPlan(
                3,
                1,
                13_825_000,
                List.of(new Fault(Kind.KILL, 0, 4_000_000, 0, 0), new Fault(Kind.PAIR, 1, 4_825_000, 3_000_000, 0)));
        assertEquals("", FleetSim.play(plan, FleetSim.usual(MembershipTiming.DEFAULT)));
    }

    @Test
    void randomFaultsConvergeWithinFiveSeconds() {
        for (int seed = 1; seed <= 60; seed++) {
            assertEquals(
                    "",
                    FleetSim.play(FleetPlan.draw(3 + seed % 13, seed), FleetSim.usual(MembershipTiming.DEFAULT)),
                    "seed " + seed);
        }
    }

    // ---- A single process that receives hand-made messages ----

    /** One membership process, the messages it sent, its log lines and its counters. */
    private static final class TestProcess implements Membership.Callbacks {
        final List<Envelope> sent = new ArrayList<>();
        final List<String> lines = new ArrayList<>();
        final java.util.Map<String, Integer> counts = new java.util.TreeMap<>();
        final Membership membership;
        long nowUs = SECOND_US;

        TestProcess(Member self, List<String> seeds) {
            membership = new Membership(nowUs, "f", self, seeds, 0, MembershipTiming.DEFAULT, 7, this);
        }

        void run(double seconds) {
            long until = nowUs + (long) (seconds * SECOND_US);
            while (nowUs < until) {
                nowUs += MembershipTiming.TICK_INTERVAL_US;
                membership.tick(nowUs);
            }
        }

        @Override
        public void send(String address, Envelope message) {
            sent.add(message);
        }

        @Override
        public void onViewChanged(ViewChange change) {}

        @Override
        public void onVisibilityChanged(FleetVisibility visibility) {}

        @Override
        public void onStall(long durationUs) {}

        @Override
        public void incrementCounter(String name) {
            counts.merge(name, 1, Integer::sum);
        }

        @Override
        public void logMessage(String line) {
            lines.add(line);
        }
    }

    private static Member member(String name, long boot, long incarnation, String address, MemberState state) {
        return new Member(name, boot, incarnation, address, state, "", 0, "v", List.of());
    }

    /** Makes another process verified: answers the ping by which the tested process challenges it. */
    private static void verify(TestProcess process, Member other) {
        process.membership.receive(process.nowUs, envelope("f", other, 1, new Ping(5, 0, List.of())));
        Ping challenge = (Ping) process.sent.stream()
                .map(Envelope::message)
                .filter(m -> m instanceof Ping)
                .reduce((a, b) -> b)
                .orElseThrow();
        process.membership.receive(
                process.nowUs, envelope("f", other, 2, new Message.Ack(challenge.nonce(), 0, "", 0, List.of(other))));
    }

    private static Envelope envelope(String fleet, Member from, long sequence, Message message) {
        return new Envelope(fleet, from.name(), from.bootId(), from.incarnation(), from.address(), sequence, message);
    }

    @Test
    void refusesForeignReplayedAndUnverifiedMessages() {
        TestProcess process = new TestProcess(member("a", 1, 10, "a:1", MemberState.JOINING), List.of());
        process.run(1);
        Member b = member("b", 2, 20, "b:1", MemberState.ALIVE);
        process.membership.receive(process.nowUs, envelope("other", b, 1, new Gossip(List.of(b))));
        process.membership.receive(process.nowUs, envelope("f", b, 1, new Gossip(List.of(b))));
        assertEquals(
                List.of(), List.copyOf(process.membership.reachableAddresses().keySet()));
        verify(process, b);
        assertEquals(
                List.of("b"),
                List.copyOf(process.membership.reachableAddresses().keySet()));
        process.membership.receive(
                process.nowUs, envelope("f", b, 2, new Gossip(List.of(b.withState(MemberState.LEFT, "")))));
        assertEquals(1, process.counts.get("fleet.refused.repeat"));
        process.membership.receive(
                process.nowUs, envelope("f", b, 3, new Gossip(List.of(b.withState(MemberState.LEFT, "")))));
        assertEquals(
                List.of(), List.copyOf(process.membership.reachableAddresses().keySet()));
        // Neither its earlier messages nor members with an outdated view bring it back.
        Member c = member("c", 3, 30, "c:1", MemberState.ALIVE);
        verify(process, c);
        process.membership.receive(process.nowUs, envelope("f", c, 9, new Gossip(List.of(b))));
        process.membership.receive(process.nowUs, envelope("f", b, 2, new Ping(4, 0, List.of(b))));
        assertEquals(
                List.of("c"),
                List.copyOf(process.membership.reachableAddresses().keySet()));
        assertEquals(1, process.counts.get("fleet.refused.fleet"));
    }

    @Test
    void nameConflictKeepsOneProcessOutOfTheFleet() {
        TestProcess process = new TestProcess(member("a", 1, 10, "a:1", MemberState.JOINING), List.of());
        process.run(1);
        Member b = member("b", 2, 20, "b:1", MemberState.ALIVE);
        verify(process, b);
        Member twin = member("b", 7, 99, "elsewhere:1", MemberState.JOINING);
        process.sent.clear();
        process.membership.receive(process.nowUs, envelope("f", twin, 1, new JoinRequest(3, twin)));
        Message.JoinResponse response =
                (Message.JoinResponse) process.sent.get(0).message();
        assertFalse(response.accepted());
        assertEquals(2, response.nameHolder().bootId());
        // A new process at the same address is a restart.
        Member restarted = member("b", 8, 5, "b:1", MemberState.JOINING);
        process.membership.receive(process.nowUs, envelope("f", restarted, 1, new JoinRequest(4, restarted)));
        response = (Message.JoinResponse) process.sent.get(1).message();
        assertTrue(response.accepted());
        assertEquals(20, response.nameHolder().incarnation());
        // An update tells that the tested process's name is in use elsewhere, with a higher incarnation.
        process.membership.receive(
                process.nowUs,
                envelope("f", b, 5, new Gossip(List.of(member("a", 77, 500, "x:1", MemberState.ALIVE)))));
        assertEquals(MemberState.JOINING, process.membership.self().state());
        assertTrue(
                process.lines.get(0).startsWith("name: a is in use by another process at x:1"),
                process.lines.toString());
        process.run(20);
        assertEquals(MemberState.JOINING, process.membership.self().state());
    }

    @Test
    void floodOfNamesAndPingsLeavesTablesBounded() {
        TestProcess process = new TestProcess(member("a", 1, 10, "a:1", MemberState.JOINING), List.of());
        process.run(1);
        Member b = member("b", 2, 20, "b:1", MemberState.ALIVE);
        verify(process, b);
        for (int i = 0; i < 5_000; i++) {
            Member sender = member("n" + i, 100 + i, 5, "n:" + i, MemberState.ALIVE);
            process.membership.receive(process.nowUs, envelope("f", b, 10 + i, new Gossip(List.of(sender))));
            process.membership.receive(process.nowUs, envelope("f", sender, 1, new Ping(i, 0, List.of())));
            if (i % 100 == 0) {
                process.run(0.05);
            }
        }
        List<Integer> sizes = process.membership.tableSizes();
        assertTrue(
                sizes.get(0) <= Membership.MAX_VERIFIED_PROCESSES
                        && sizes.get(1) <= Membership.MAX_PENDING_REQUESTS
                        && sizes.get(2) == Membership.MAX_MEMBERS
                        && sizes.get(3) <= 2 * Membership.MAX_MEMBERS,
                sizes.toString());
        assertTrue(process.counts.get("fleet.refused.room") > 3_000);
        // The messages sent are bounded as well.
        assertTrue(
                process.sent.size() < (process.nowUs / 1e6 + 1) * Membership.MAX_MESSAGES_PER_SECOND,
                "" + process.sent.size());
    }

    // ---- Planted defects ----

    private static FleetSim.Maker withDefect(String defect) {
        return (now, self, seeds, seed, act) -> DefectiveGateway.factory(defect)
                .create(now, "lab", self, seeds, 0, MembershipTiming.DEFAULT, seed, act);
    }

    @Test
    void plantedDefectsAreFound() {
        int found = 0;
        for (String planted : List.of("stale-taken", "not-raised", "never-fails")) {
            FleetSim.Maker defect = withDefect(planted);
            for (int seed = 1; seed <= 60; seed++) {
                FleetPlan plan = FleetPlan.draw(3 + seed % 13, seed);
                if (!FleetSim.play(plan, defect).isEmpty()) {
                    found++;
                    FleetPlan shrunk = FleetSim.shrink(plan, defect);
                    assertTrue(shrunk.faults().size() <= plan.faults().size());
                    break;
                }
            }
        }
        assertEquals(3, found);
    }
}
