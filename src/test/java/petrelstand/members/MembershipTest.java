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

/** Membership in virtual time: each promise with the fault that would break it, and defects that must be found. */
class MembershipTest {
    private static final long S = 1_000_000;

    private static FleetSim fleet(int size, long seed) {
        FleetSim fleet = new FleetSim(size, seed, FleetSim.usual(MembershipTiming.DEFAULT));
        assertTrue(fleet.until(f -> f.running().size() == size && f.agreed(), 10 * S) >= 0, "joined, seed " + seed);
        fleet.run(fleet.nowUs() + 3 * S);
        return fleet;
    }

    private static Fault fault(Kind kind, int who, double seconds, int amount) {
        return new Fault(kind, who, 0, (long) (seconds * S), amount);
    }

    private static List<Seen> failures(FleetSim fleet, int from, Predicate<Seen> where) {
        return fleet.seen().subList(from, fleet.seen().size()).stream()
                .filter(s -> s.change().member().state() == MemberState.FAILED)
                .filter(where)
                .toList();
    }

    @Test
    void aCrashIsKnownByAllWithinThreeSeconds() {
        List<Long> times = new ArrayList<>();
        for (int seed = 1; seed <= 20; seed++) {
            FleetSim fleet = fleet(seed <= 3 ? 100 : 3 + seed, seed);
            fleet.strike(fault(Kind.KILL, 2, 0, 0));
            times.add(fleet.until(FleetSim::agreed, 10 * S));
        }
        assertTrue(times.stream().allMatch(t -> t >= 0 && t <= 3 * S), times.toString());
    }

    @Test
    void aStallOfASecondOrLossOfATenthNeverLeadsToFailed() {
        for (int seed = 1; seed <= 6; seed++) {
            FleetSim fleet = fleet(12, seed);
            int from = fleet.seen().size();
            fleet.loss(0.1);
            for (int i = 0; i < 12; i++) {
                fleet.strike(fault(Kind.STOP, i, 1, 0));
                fleet.run(fleet.nowUs() + 3 * S);
            }
            assertEquals(List.of(), failures(fleet, from, s -> true), "seed " + seed);
            // The stalls were long enough to be suspected: the promise was tried.
            assertTrue(
                    fleet.counts().getOrDefault("fleet.stalls", 0L) >= 12,
                    fleet.counts().toString());
        }
    }

    @Test
    void whoWasStoppedLearnsThatItWasAwayBeforeItIsAMemberAgain() {
        FleetSim fleet = fleet(5, 1);
        int from = fleet.seen().size();
        fleet.strike(fault(Kind.STOP, 2, 10, 0));
        fleet.run(fleet.nowUs() + 10 * S);
        assertEquals(4, failures(fleet, from, s -> true).size());
        assertTrue(fleet.until(FleetSim::agreed, 5 * S) >= 0);
        Seen first = fleet.seen().subList(from, fleet.seen().size()).stream()
                .filter(s -> s.process() == 2)
                .findFirst()
                .orElseThrow();
        assertEquals(MemberState.JOINING, first.change().member().state());
        assertTrue(first.change().cause().startsWith("stood still for"), first.toString());
    }

    @Test
    void aFleetCutInTwoKnowsItsStandingAndIsOneAgainWithinFiveSeconds() {
        for (int seed = 1; seed <= 5; seed++) {
            FleetSim fleet = fleet(5 * seed, seed);
            fleet.strike(fault(Kind.CUT, 2 * seed, 12, 0));
            fleet.run(fleet.nowUs() + 11 * S);
            assertEquals(Reach.MINORITY, fleet.module(0).visibility().reach());
            assertEquals(2 * seed, fleet.module(0).visibility().visibleMembers());
            assertEquals(Reach.MAJORITY, fleet.module(5 * seed - 1).visibility().reach());
            fleet.run(fleet.nowUs() + S);
            long sent = fleet.sent();
            long healed = fleet.until(FleetSim::agreed, 5 * S);
            assertTrue(healed >= 0, "seed " + seed);
            // No storm: within each gateway's bound while it heals.
            assertTrue(fleet.sent() - sent <= (healed / 1e6 + 1) * Membership.MOST_SENT * 5 * seed);
            assertEquals(Reach.WHOLE, fleet.module(0).visibility().reach());
        }
    }

    @Test
    void aLinkThatIsDownOneWayOrBothLeadsToNoFailureWhereOthersReach() {
        for (int seed = 1; seed <= 4; seed++) {
            FleetSim fleet = fleet(5, seed);
            int from = fleet.seen().size();
            fleet.strike(fault(Kind.PAIR, 1, 8, 0));
            fleet.run(fleet.nowUs() + 8 * S);
            assertEquals(List.of(), failures(fleet, from, s -> true), "pair, seed " + seed);
            // One that hears nobody accuses nobody: what it can't see stays with itself.
            fleet.strike(fault(Kind.DEAF, 3, 6, 0));
            fleet.run(fleet.nowUs() + 6 * S - 1);
            assertEquals(List.of(), failures(fleet, from, s -> s.process() != 3), "deaf, seed " + seed);
            assertEquals(Reach.NOBODY, fleet.module(3).visibility().reach());
            assertTrue(fleet.until(FleetSim::agreed, 5 * S) >= 0);
        }
    }

    @Test
    void leavingIsToldNotDetected() {
        FleetSim fleet = fleet(7, 3);
        int from = fleet.seen().size();
        fleet.strike(fault(Kind.TERM, 4, 0, 0));
        assertTrue(fleet.until(f -> f.running().size() == 6 && f.agreed(), S) >= 0);
        assertEquals(List.of(), failures(fleet, from, s -> true));
        assertEquals(Reach.WHOLE, fleet.module(0).visibility().reach());
        assertEquals(6, fleet.module(0).visibility().agreedSize());
    }

    @Test
    void restartsOneAfterTheOtherAndAllAtOnceEndInOneView() {
        FleetSim fleet = fleet(6, 5);
        for (int i = 0; i < 6; i++) {
            fleet.strike(fault(i % 2 == 0 ? Kind.KILL : Kind.TERM, i, 0.5, 0));
            fleet.run(fleet.nowUs() + 2 * S);
        }
        assertTrue(fleet.until(FleetSim::agreed, 5 * S) >= 0);
        for (int i = 0; i < 6; i++) {
            fleet.strike(fault(Kind.KILL, i, 0.4, 0));
        }
        fleet.run(fleet.nowUs() + S);
        assertTrue(fleet.until(f -> f.running().size() == 6 && f.agreed(), 8 * S) >= 0);
    }

    @Test
    void twoHundredThatStartAtOnceHoldOneViewWithinFiveSecondsAndFailNobody() {
        FleetSim fleet = new FleetSim(200, 1, FleetSim.usual(MembershipTiming.DEFAULT));
        fleet.run(500_000);
        long took = fleet.until(FleetSim::agreed, 5_000_000);
        assertTrue(took >= 0, "no one view");
        assertTrue(
                fleet.counts().getOrDefault("fleet.failed", 0L) == 0,
                fleet.counts().toString());
    }

    @Test
    void everyPlaceOfOneFaultAmongThreeEndsInOneView() {
        FleetSearch.Result result = FleetSearch.run(1, FleetSim.usual(MembershipTiming.DEFAULT));
        assertEquals("", result.fault(), result.toString());
        assertTrue(result.played() > 500);
        assertFalse(FleetSearch.run(1, with("never-fails")).fault().isEmpty());
    }

    /**
     * Found by the search of two faults: the suspect was heard of as "reached again", and stayed a suspect for ever.
     */
    @Test
    void whoEndsWhileTheOtherTwoHearNobodyIsFoundOnceTheyDo() {
        FleetPlan plan = new FleetPlan(
                3,
                1,
                13_825_000,
                List.of(new Fault(Kind.KILL, 0, 4_000_000, 0, 0), new Fault(Kind.PAIR, 1, 4_825_000, 3_000_000, 0)));
        assertEquals("", FleetSim.play(plan, FleetSim.usual(MembershipTiming.DEFAULT)));
    }

    @Test
    void drawnFaultsEndInOneViewWithinFiveSeconds() {
        for (int seed = 1; seed <= 60; seed++) {
            assertEquals(
                    "",
                    FleetSim.play(FleetPlan.draw(3 + seed % 13, seed), FleetSim.usual(MembershipTiming.DEFAULT)),
                    "seed " + seed);
        }
    }

    // ---- One module, messages by hand ----

    /** A module, what it sent and what changed. */
    private static final class Probe implements Membership.Callbacks {
        final List<Envelope> sent = new ArrayList<>();
        final List<String> lines = new ArrayList<>();
        final java.util.Map<String, Integer> counts = new java.util.TreeMap<>();
        final Membership module;
        long nowUs = S;

        Probe(Member self, List<String> seeds) {
            module = new Membership(nowUs, "f", self, seeds, 0, MembershipTiming.DEFAULT, 7, this);
        }

        void run(double seconds) {
            long until = nowUs + (long) (seconds * S);
            while (nowUs < until) {
                nowUs += MembershipTiming.TICK_INTERVAL_US;
                module.tick(nowUs);
            }
        }

        @Override
        public void send(String address, Envelope message) {
            sent.add(message);
        }

        @Override
        public void onViewChanged(ViewChange change) {}

        @Override
        public void onVisibilityChanged(FleetVisibility standing) {}

        @Override
        public void onStall(long us) {}

        @Override
        public void incrementCounter(String what) {
            counts.merge(what, 1, Integer::sum);
        }

        @Override
        public void logMessage(String line) {
            lines.add(line);
        }
    }

    private static Member member(String name, long boot, long incarnation, String address, MemberState state) {
        return new Member(name, boot, incarnation, address, state, "", 0, "v", List.of());
    }

    /** Lets another life prove itself: answers what the module asked of it. */
    private static void prove(Probe probe, Member other) {
        probe.module.receive(probe.nowUs, of("f", other, 1, new Ping(5, 0, List.of())));
        Ping asked = (Ping) probe.sent.stream()
                .map(Envelope::message)
                .filter(m -> m instanceof Ping)
                .reduce((a, b) -> b)
                .orElseThrow();
        probe.module.receive(probe.nowUs, of("f", other, 2, new Message.Ack(asked.nonce(), 0, "", 0, List.of(other))));
    }

    private static Envelope of(String fleet, Member from, long sequence, Message message) {
        return new Envelope(fleet, from.name(), from.bootId(), from.incarnation(), from.address(), sequence, message);
    }

    @Test
    void nothingIsTakenOfAForeignFleetARepeatOrALifeThatDoesNotAnswer() {
        Probe probe = new Probe(member("a", 1, 10, "a:1", MemberState.JOINING), List.of());
        probe.run(1);
        Member b = member("b", 2, 20, "b:1", MemberState.ALIVE);
        probe.module.receive(probe.nowUs, of("other", b, 1, new Gossip(List.of(b))));
        probe.module.receive(probe.nowUs, of("f", b, 1, new Gossip(List.of(b))));
        assertEquals(List.of(), List.copyOf(probe.module.reachableAddresses().keySet()));
        prove(probe, b);
        assertEquals(List.of("b"), List.copyOf(probe.module.reachableAddresses().keySet()));
        probe.module.receive(probe.nowUs, of("f", b, 2, new Gossip(List.of(b.as(MemberState.LEFT, "")))));
        assertEquals(1, probe.counts.get("fleet.refused.repeat"));
        probe.module.receive(probe.nowUs, of("f", b, 3, new Gossip(List.of(b.as(MemberState.LEFT, "")))));
        assertEquals(List.of(), List.copyOf(probe.module.reachableAddresses().keySet()));
        // What it said before it left never brings it back, nor does anybody who still holds it to be there.
        Member c = member("c", 3, 30, "c:1", MemberState.ALIVE);
        prove(probe, c);
        probe.module.receive(probe.nowUs, of("f", c, 9, new Gossip(List.of(b))));
        probe.module.receive(probe.nowUs, of("f", b, 2, new Ping(4, 0, List.of(b))));
        assertEquals(List.of("c"), List.copyOf(probe.module.reachableAddresses().keySet()));
        assertEquals(1, probe.counts.get("fleet.refused.fleet"));
    }

    @Test
    void ofTwoProcessesUnderOneNameOneStepsBackUntilTheOtherIsGone() {
        Probe probe = new Probe(member("a", 1, 10, "a:1", MemberState.JOINING), List.of());
        probe.run(1);
        Member b = member("b", 2, 20, "b:1", MemberState.ALIVE);
        prove(probe, b);
        Member twin = member("b", 7, 99, "elsewhere:1", MemberState.JOINING);
        probe.sent.clear();
        probe.module.receive(probe.nowUs, of("f", twin, 1, new JoinRequest(3, twin)));
        Message.JoinResponse answer = (Message.JoinResponse) probe.sent.get(0).message();
        assertFalse(answer.welcome());
        assertEquals(2, answer.holder().bootId());
        // A new life at the same address is a restart.
        Member again = member("b", 8, 5, "b:1", MemberState.JOINING);
        probe.module.receive(probe.nowUs, of("f", again, 1, new JoinRequest(4, again)));
        answer = (Message.JoinResponse) probe.sent.get(1).message();
        assertTrue(answer.welcome());
        assertEquals(20, answer.holder().incarnation());
        // This process hears that its own name is held elsewhere, by a later incarnation.
        probe.module.receive(
                probe.nowUs, of("f", b, 5, new Gossip(List.of(member("a", 77, 500, "x:1", MemberState.ALIVE)))));
        assertEquals(MemberState.JOINING, probe.module.self().state());
        assertTrue(probe.lines.get(0).startsWith("name: a is held by another process at x:1"), probe.lines.toString());
        probe.run(20);
        assertEquals(MemberState.JOINING, probe.module.self().state());
    }

    @Test
    void aFloodOfNamesAndQuestionsLeavesEveryTableBounded() {
        Probe probe = new Probe(member("a", 1, 10, "a:1", MemberState.JOINING), List.of());
        probe.run(1);
        Member b = member("b", 2, 20, "b:1", MemberState.ALIVE);
        prove(probe, b);
        for (int i = 0; i < 5_000; i++) {
            Member one = member("n" + i, 100 + i, 5, "n:" + i, MemberState.ALIVE);
            probe.module.receive(probe.nowUs, of("f", b, 10 + i, new Gossip(List.of(one))));
            probe.module.receive(probe.nowUs, of("f", one, 1, new Ping(i, 0, List.of())));
            if (i % 100 == 0) {
                probe.run(0.05);
            }
        }
        List<Integer> kept = probe.module.kept();
        assertTrue(
                kept.get(0) <= Membership.MOST_PROVEN
                        && kept.get(1) <= Membership.MOST_ASKED
                        && kept.get(2) == Membership.MAX_MEMBERS
                        && kept.get(3) <= 2 * Membership.MAX_MEMBERS,
                kept.toString());
        assertTrue(probe.counts.get("fleet.refused.room") > 3_000);
        // What it sends is bounded too, whatever comes.
        assertTrue(probe.sent.size() < (probe.nowUs / 1e6 + 1) * Membership.MOST_SENT, "" + probe.sent.size());
    }

    // ---- Planted defects ----

    private static FleetSim.Maker with(String defect) {
        return (now, self, seeds, seed, act) ->
                DefectiveGateway.maker(defect).create(now, "lab", self, seeds, 0, MembershipTiming.DEFAULT, seed, act);
    }

    @Test
    void plantedDefectsAreFound() {
        int found = 0;
        for (String planted : List.of("stale-taken", "not-raised", "never-fails")) {
            FleetSim.Maker defect = with(planted);
            for (int seed = 1; seed <= 60; seed++) {
                FleetPlan plan = FleetPlan.draw(3 + seed % 13, seed);
                if (!FleetSim.play(plan, defect).isEmpty()) {
                    found++;
                    FleetPlan least = FleetSim.shrink(plan, defect);
                    assertTrue(least.faults().size() <= plan.faults().size());
                    break;
                }
            }
        }
        assertEquals(3, found);
    }
}
