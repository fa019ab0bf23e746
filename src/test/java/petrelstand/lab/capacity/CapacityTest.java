package petrelstand.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import petrelstand.lab.capacity.fit.Bound;
import petrelstand.lab.faults.FleetSim;
import petrelstand.lab.rules.RulesSim;
import petrelstand.members.Member;
import petrelstand.members.Membership;
import petrelstand.members.MembershipTiming;
import petrelstand.members.Message;
import petrelstand.members.Message.Envelope;

/**
 * The short form of {@code petrelstand lab capacity}: what a member costs at rest, in virtual time. One seed gives one
 * course, so messages and bytes are the same in every run; CPU time is not looked at here.
 */
class CapacityTest {
    private record Key(Group group, Cost cost) {}

    /** Growth by a logarithm shows as an exponent of 0.3 at most between these sizes. */
    private static final double LOGARITHM = 0.3;
    /** Growth in proportion, and nothing beyond it. */
    private static final double PROPORTION = 1.05;

    /** Measured at 100: 21.8 messages and 1,955 bytes a second each way; a tenth above that fails. */
    private static final Map<Key, Bound> MEMBERS = Map.of(
            new Key(Group.GATEWAY, Cost.MESSAGES_OUT), new Bound("messages out of a gateway", LOGARITHM, 24),
            new Key(Group.GATEWAY, Cost.MESSAGES_IN), new Bound("messages into a gateway", LOGARITHM, 24),
            new Key(Group.GATEWAY, Cost.BYTES_OUT), new Bound("bytes out of a gateway", LOGARITHM, 2_150),
            new Key(Group.GATEWAY, Cost.BYTES_IN), new Bound("bytes into a gateway", LOGARITHM, 2_150));

    /** Measured at 100: 45.1 and 37.4 bytes a second at a holder, 19,166 and 17,650 at the leader. */
    private static final Map<Key, Bound> RULES = Map.of(
            new Key(Group.HOLDER, Cost.BYTES_OUT), new Bound("bytes out of a holder", LOGARITHM, 50),
            new Key(Group.HOLDER, Cost.BYTES_IN), new Bound("bytes into a holder", LOGARITHM, 42),
            new Key(Group.LEADER, Cost.MESSAGES_IN), new Bound("messages into the leader", PROPORTION, 605),
            new Key(Group.LEADER, Cost.BYTES_OUT), new Bound("bytes out of the leader", PROPORTION, 21_100),
            new Key(Group.LEADER, Cost.BYTES_IN), new Bound("bytes into the leader", PROPORTION, 19_500));

    private static CapacityPlan plan(String role) {
        return CapacityPlan.of(role, "25,50,100", "rest", 1, false);
    }

    private static List<String> broken(Map<Key, Bound> bounds, List<Sample> samples) {
        List<String> lines = new ArrayList<>();
        int found = 0;
        for (Curve curve : Curve.of(samples)) {
            Bound bound = bounds.get(new Key(curve.group(), curve.cost()));
            if (bound != null) {
                found++;
                lines.addAll(bound.broken(curve.points()));
            }
        }
        assertEquals(bounds.size(), found, "each bound has its curve");
        return lines;
    }

    @Test
    void whatAMemberCostsAtRestKeepsItsBounds() {
        assertEquals(List.of(), broken(MEMBERS, new Experiment(plan("members")).play()));
    }

    @Test
    void whatHoldersAndTheLeaderCostAtRestKeepTheirBounds() {
        assertEquals(List.of(), broken(RULES, new Experiment(plan("rules")).play()));
    }

    /** A gateway that tells all others each second that it is there, in one more message each. */
    private static final class AllToAll extends Membership {
        private static final long EACH_US = 1_000_000;
        private final Callbacks act;
        private long nextUs;

        AllToAll(long nowUs, Member self, Collection<String> seeds, long seed, Callbacks act) {
            super(nowUs, "lab", self, seeds, 0, MembershipTiming.DEFAULT, seed, act);
            this.act = act;
        }

        @Override
        public void tick(long nowUs) {
            super.tick(nowUs);
            if (nowUs >= nextUs) {
                nextUs = nowUs + EACH_US;
                members().forEach(line -> tell(line.member().address()));
            }
        }

        private void tell(String address) {
            Member self = self();
            act.send(
                    address,
                    new Envelope(
                            "lab",
                            self.name(),
                            self.bootId(),
                            self.incarnation(),
                            self.address(),
                            0,
                            new Message.Gossip(List.of())));
        }
    }

    @Test
    void aMessageOfAllToAllBreaksTheBounds() {
        FleetSim.Maker planted = (now, self, seeds, seed, act) -> new AllToAll(now, self, seeds, seed, act);
        List<String> broken = broken(MEMBERS, new Experiment(plan("members"), planted, RulesSim.USUAL).play());
        assertTrue(
                broken.stream().anyMatch(line -> line.startsWith("messages out of a gateway: exponent")),
                broken.toString());
        assertTrue(broken.stream().anyMatch(line -> line.startsWith("bytes into a gateway: ")), broken.toString());
    }

    @Test
    void aWrongArgumentIsNamedInOneLine() {
        assertEquals("ROLE must be one of members, rules, not 'nodes'", refusal("nodes", "50", "all"));
        assertEquals("--sizes must be from 10 to 1024, not 9", refusal("rules", "50,9", "all"));
        assertEquals("--sizes must be from 10 to 1024, not 1025", refusal("rules", "1025", "all"));
        assertEquals("--sizes has 50 twice", refusal("members", "50,100,50", "all"));
        assertEquals("--sizes must be numbers with commas, not '50,'", refusal("members", "50,", "all"));
        assertEquals("--events has rest twice", refusal("members", "50", "rest,rest"));
        assertTrue(refusal("members", "50", "changes").startsWith("--events must be all or some of start,rest,"));
    }

    private static String refusal(String role, String sizes, String events) {
        return assertThrows(IllegalArgumentException.class, () -> CapacityPlan.of(role, sizes, events, 1, false))
                .getMessage();
    }

    @Test
    void theReportHasEachPointInItsTableItsJsonAndItsPage() {
        List<Sample> samples = List.of(
                new Sample(Event.REST, Group.GATEWAY, Cost.BYTES_OUT, Axis.GATEWAYS, 50, 1_000),
                new Sample(Event.REST, Group.GATEWAY, Cost.BYTES_OUT, Axis.GATEWAYS, 100, 2_000));
        CapacityReport report = new CapacityReport(plan("members"), samples, 1.5);
        assertTrue(report.table().contains("50:1000 100:2000"), report.table());
        JsonObject json = JsonParser.parseString(report.json()).getAsJsonObject();
        JsonObject curve = json.getAsJsonArray("curves").get(0).getAsJsonObject();
        assertEquals(2, curve.getAsJsonArray("points").size());
        assertEquals(1, curve.get("exponent").getAsDouble(), 1e-9);
        String html = new CapacityPage(report).html();
        assertTrue(html.contains("<svg") && html.contains("exponent 1.000"), html);
        assertFalse(html.contains("http") || html.contains("<script") || html.contains("NaN"), html);
    }
}
