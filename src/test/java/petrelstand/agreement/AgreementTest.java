package petrelstand.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.lab.faults.FleetPlan;
import petrelstand.lab.rules.RulesSearch;
import petrelstand.lab.rules.RulesSim;

/** When gateways may act on which version: in virtual time, over faults, with mistakes planted that must be found. */
class AgreementTest {
    static RulesSim play(int size, int voting, LeaseTiming promise, long seed, RulesSim.Maker maker) {
        RulesSim sim = new RulesSim(size, voting, promise, seed, maker);
        FleetPlan plan = FleetPlan.draw(size, seed);
        sim.arm(plan);
        sim.run(5_000_000);
        sim.proposeEvery(500_000);
        sim.run(plan.lengthUs() + 5_000_000);
        return sim;
    }

    @Test
    void drawnFaultsBreakNoPromise() {
        int changes = 0;
        for (int seed = 1; seed <= 60; seed++) {
            RulesSim sim = play(
                    3 + seed % 6,
                    seed % 2 == 0 ? 3 : 3 + 2 * (seed % 3 / 2),
                    LeaseTiming.DEFAULT,
                    seed,
                    RulesSim.USUAL);
            assertEquals("", sim.fault(), "seed " + seed);
            assertTrue(sim.longestUs() < LeaseTiming.DEFAULT.maxConflictUs(), "seed " + seed);
            changes += sim.acknowledged();
        }
        assertTrue(changes > 1_000, changes + " changes");
    }

    @Test
    void withAllThereAChangeIsActedOnByAllWithin300MsAndNothingWaitsForOneThatIsSilentLongerThanThePromise() {
        RulesSim calm = new RulesSim(5, 3, LeaseTiming.DEFAULT, 1, RulesSim.USUAL);
        calm.run(6_000_000);
        calm.proposeEvery(500_000);
        calm.run(20_000_000);
        assertTrue(
                calm.tookUs().size() > 20 && calm.tookUs().stream().allMatch(us -> us < 300_000), "" + calm.tookUs());
        assertTrue(calm.counts().get("longest") <= 1376, "" + calm.counts());
        RulesSim silent = new RulesSim(5, 3, LeaseTiming.DEFAULT, 2, RulesSim.USUAL);
        silent.arm(new FleetPlan(5, 2, 0, List.of(new FleetPlan.Fault(FleetPlan.Kind.KILL, 4, 10_100_000, 0, 0))));
        silent.run(6_000_000);
        silent.proposeEvery(500_000);
        silent.run(30_000_000);
        assertTrue(silent.tookUs().stream().allMatch(us -> us < 5_500_000), "" + silent.tookUs());
        assertTrue(silent.tookUs().stream().anyMatch(us -> us > 3_000_000), "it waited for nobody");
    }

    @Test
    void everyFaultRoundAChangeAmongThreeBreaksNoPromise() {
        RulesSearch.Result result = RulesSearch.run(1, 1, RulesSim.USUAL);
        assertEquals("", result.fault(), result.toString());
        assertTrue(result.played() > 200 && result.longestUs() > 0, result.toString());
    }

    /** One voter after another is replaced, while faults go on, until none of the first ones votes. */
    @Test
    void votersAreAddedAndRemovedWhileFaultsGoOn() {
        int whole = 0;
        for (int seed = 1; seed <= 25; seed++) {
            RulesSim sim = new RulesSim(8, 3, 6, LeaseTiming.DEFAULT, seed, RulesSim.USUAL);
            sim.arm(FleetPlan.draw(8, seed));
            sim.run(4_000_000);
            sim.proposeEvery(500_000);
            for (int i = 0; i < 3; i++) {
                sim.orderAt(5_000_000 + 8_000_000 * i, "add-voter", "g00" + (3 + i));
                sim.orderAt(9_000_000 + 8_000_000 * i, "remove-voter", "g00" + i);
            }
            sim.run(60_000_000);
            assertEquals("", sim.fault(), "seed " + seed);
            assertTrue(sim.longestUs() < LeaseTiming.DEFAULT.maxConflictUs(), "seed " + seed);
            whole += sim.ordersDone() == 6 && sim.votersNow().equals(List.of("g003", "g004", "g005")) ? 1 : 0;
        }
        // A plan that ends a majority for good leaves orders without an answer.
        System.out.println("voters replaced whole in " + whole + " of 25 seeds");
        assertTrue(whole >= 15, whole + " of 25");
    }

    /** Two of three voters are lost for ever; the third one's folder begins a new epoch, and others are added to it. */
    @Test
    void aMajorityThatIsLostForEverIsRecoveredByTheOperator() throws Exception {
        RulesSim sim = new RulesSim(6, 3, 5, LeaseTiming.DEFAULT, 3, RulesSim.USUAL);
        sim.arm(new FleetPlan(
                6,
                3,
                0,
                List.of(
                        new FleetPlan.Fault(FleetPlan.Kind.KILL, 0, 10_000_000, 0, 0),
                        new FleetPlan.Fault(FleetPlan.Kind.KILL, 1, 10_000_000, 0, 0),
                        new FleetPlan.Fault(FleetPlan.Kind.KILL, 2, 25_000_000, 0, 0))));
        sim.run(5_000_000);
        sim.proposeEvery(500_000);
        sim.run(24_000_000);
        int before = sim.acknowledged();
        assertTrue(before > 5 && !sim.settled(), before + " changes; without a majority all act on floors");
        sim.run(26_000_000);
        sim.recover(2, 42);
        sim.orderAt(35_000_000, "add-voter", "g003");
        sim.orderAt(40_000_000, "add-voter", "g004");
        sim.run(60_000_000);
        assertEquals("", sim.fault());
        assertTrue(sim.acknowledged() > before + 10 && sim.settled(), sim.acknowledged() + " after " + before);
        assertEquals(List.of("g002", "g003", "g004"), sim.votersNow());
        assertTrue(sim.newest() > 1042 * RuleRegistry.VERSIONS_PER_EPOCH, "" + sim.newest());
    }

    /**
     * One gateway's program does not know what version 3 rules: it waits, leases on version 2 go on, until it is
     * withdrawn.
     */
    @Test
    void aVersionThatAMemberCantLoadWaitsAndNobodyLosesItsLease() {
        int[] made = new int[1];
        RulesSim sim = new RulesSim(5, 3, LeaseTiming.DEFAULT, 1, new Planted() {
            @Override
            public LeaseHolder holder(
                    long nowUs,
                    long life,
                    List<String> voters,
                    LeaseTiming promise,
                    long seed,
                    LeaseHolder.Actions actions) {
                boolean older = made[0]++ == 2;
                return new LeaseHolder(
                        nowUs,
                        life,
                        voters,
                        promise,
                        seed,
                        text -> {
                            if (older && text.contains("units = 3\n")) {
                                throw new IllegalArgumentException("rules:9: [quota a] is no section of this file");
                            }
                            return RulesSim.load(text);
                        },
                        actions);
            }
        });
        sim.proposeAt(6_000_000, 8_000_000, 10_000_000);
        sim.run(9_500_000);
        assertEquals(2, sim.newest());
        assertTrue(sim.settled());
        sim.run(30_000_000);
        assertEquals(3, sim.newest());
        assertEquals(5, sim.leasedOn(2), "all go on under leases");
        sim.orderAt(30_000_000, "withdraw", "");
        sim.proposeAt(33_000_000);
        sim.run(40_000_000);
        assertEquals(4, sim.newest());
        assertEquals(5, sim.leasedOn(4));
        assertEquals("", sim.fault());
    }

    /** A leader that ends in order hands on: changes go on within half a second, not after an election. */
    @Test
    void aLeaderThatEndsHandsOn() {
        for (int seed = 1; seed <= 5; seed++) {
            RulesSim sim = new RulesSim(5, 3, LeaseTiming.DEFAULT, seed, RulesSim.USUAL);
            sim.run(8_000_000);
            int leader = sim.leaderNow();
            sim.arm(new FleetPlan(
                    5, seed, 0, List.of(new FleetPlan.Fault(FleetPlan.Kind.TERM, leader, 8_000_001, 0, 0))));
            sim.run(8_500_000);
            assertTrue(sim.leaderNow() >= 0 && sim.leaderNow() != leader, "seed " + seed);
        }
    }

    // ---- Planted mistakes ----

    /** The lease is counted from the answer, which may have been under way for any time. */
    private static final RulesSim.Maker FROM_ANSWER = new Planted() {
        @Override
        public LeaseHolder holder(
                long nowUs,
                long life,
                List<String> voters,
                LeaseTiming promise,
                long seed,
                LeaseHolder.Actions actions) {
            return new LeaseHolder(nowUs, life, voters, promise, seed, RulesSim::load, actions) {
                @Override
                protected long leaseEndUs(long now, long askedUs) {
                    return now + promise.leaseUs();
                }
            };
        }
    };

    /** The leader takes a lease to be over as soon as its own clock says so. */
    private static final RulesSim.Maker NO_DRIFT = new Planted() {
        @Override
        public LeaseGrantor grantor(LeaseTiming promise, RuleRegistry book, LeaseGrantor.Actions actions) {
            return new LeaseGrantor(promise, book, actions) {
                @Override
                protected long leaseEndUs(long nowUs, long receivedUs) {
                    return receivedUs + promise.leaseUs();
                }
            };
        }
    };

    /** A majority's confirmation is enough. */
    private static final RulesSim.Maker MAJORITY = new Planted() {
        @Override
        public LeaseGrantor grantor(LeaseTiming promise, RuleRegistry book, LeaseGrantor.Actions actions) {
            return new LeaseGrantor(promise, book, actions) {
                @Override
                protected boolean mayActivate(long nowUs) {
                    long confirmed = gateways().stream()
                            .filter(h -> h.preparedVersion() >= book.pending())
                            .count();
                    return 2 * confirmed > gateways().size();
                }
            };
        }
    };

    /** The lease is not looked at when something is decided, only at each renewal. */
    private static final RulesSim.Maker NOT_LOOKED_AT = new Planted() {
        @Override
        public LeaseHolder holder(
                long nowUs,
                long life,
                List<String> voters,
                LeaseTiming promise,
                long seed,
                LeaseHolder.Actions actions) {
            return new LeaseHolder(nowUs, life, voters, promise, seed, RulesSim::load, actions) {
                @Override
                protected boolean isLeaseValid(long now) {
                    return super.isLeaseValid(Long.MIN_VALUE / 4) || lastAnswerUs() > 0 && knownVersions()[0] > 0;
                }
            };
        }
    };

    private static class Planted implements RulesSim.Maker {
        @Override
        public LeaseHolder holder(
                long nowUs,
                long life,
                List<String> voters,
                LeaseTiming promise,
                long seed,
                LeaseHolder.Actions actions) {
            return RulesSim.USUAL.holder(nowUs, life, voters, promise, seed, actions);
        }

        @Override
        public LeaseGrantor grantor(LeaseTiming promise, RuleRegistry book, LeaseGrantor.Actions actions) {
            return RulesSim.USUAL.grantor(promise, book, actions);
        }
    }

    @Test
    void plantedMistakesAreFound() {
        List<RulesSim.Maker> planted = List.of(FROM_ANSWER, NO_DRIFT, MAJORITY, NOT_LOOKED_AT);
        List<Integer> found = new ArrayList<>();
        for (int i = 0; i < planted.size(); i++) {
            // Clocks that differ more make the forgotten drift show sooner.
            LeaseTiming promise = i == 1 ? new LeaseTiming(3_000_000, 0.1) : LeaseTiming.DEFAULT;
            for (int seed = 1; seed <= 400 && found.size() == i; seed++) {
                if (!play(5, 3, promise, seed, planted.get(i)).fault().isEmpty()) {
                    found.add(seed);
                }
            }
        }
        System.out.println("planted mistakes found at seeds " + found);
        assertEquals(planted.size(), found.size(), "found at seeds " + found);
    }

    // ---- A file of rules ----

    /** A holder that knows a version, what its proposer said and sent. */
    private static final class FromFile implements LeaseHolder.Actions, RulesFileProposer.Actions {
        final List<String> lines = new ArrayList<>();
        final List<RulesMessage.ProposalPiece> offers = new ArrayList<>();
        final LeaseHolder holder = new LeaseHolder(0, 1, List.of("v"), LeaseTiming.DEFAULT, 1, RulesSim::load, this);
        final RulesFileProposer proposer = new RulesFileProposer("g", "the file", holder, 1, this);
        long nowUs;
        private long nonce;

        /** The leader says that a version is acted on, and gives its text. */
        void agreed(long version, String text) {
            holder.tick(nowUs += 2_000_000);
            holder.receive(nowUs, "v", new RulesMessage.LeaseAnswer(nonce, 1, version, 0, true));
            holder.receive(nowUs, "v", new RulesMessage.TextPiece(1, version, 0, 1, text));
        }

        void run(int turns) {
            for (int i = 0; i < turns; i++) {
                proposer.tick(nowUs += 50_000);
            }
        }

        @Override
        public void send(String voter, RulesMessage talk) {
            if (talk instanceof RulesMessage.LeaseRequest renew) {
                nonce = renew.nonce();
            } else if (talk instanceof RulesMessage.ProposalPiece offer) {
                offers.add(offer);
            }
        }

        @Override
        public void effectiveRulesChanged(long at, LeaseHolder.EffectiveRules acting, String why) {}

        @Override
        public void storeVersion(long version, String text) {}

        @Override
        public void count(String what) {}

        @Override
        public void log(String line) {
            lines.add(line);
        }
    }

    private static final String NEW = "[limit basic]\nunits = 7\n";

    @Test
    void aChangedFileIsProposedAgainUntilAnswered() {
        FromFile one = new FromFile();
        one.agreed(3, "[limit basic]\nunits = 5\n");
        one.proposer.fileChanged(one.nowUs, NEW, 9);
        one.run(60);
        assertTrue(one.offers.size() > 3
                && one.offers.stream().allMatch(o -> o.base() == 3 && o.text().equals(NEW)));
        one.proposer.receive(
                one.nowUs, new RulesMessage.RequestAnswer(one.offers.get(0).id(), -1, 4, ""));
        assertEquals(List.of("the file's rules were proposed and are version 4"), one.lines);
        assertFalse(one.proposer.hasPendingProposal());
    }

    @Test
    void theSameFileOfAnotherGatewayIsOneVersionAndAnotherTextIsNotOverwritten() {
        FromFile same = new FromFile();
        same.agreed(3, "[limit basic]\nunits = 5\n");
        same.proposer.fileChanged(same.nowUs, NEW, 9);
        same.agreed(4, NEW);
        same.run(30);
        assertEquals(List.of("the file's rules are version 4"), same.lines);
        FromFile other = new FromFile();
        other.agreed(3, "[limit basic]\nunits = 5\n");
        other.proposer.fileChanged(other.nowUs, NEW, 9);
        other.agreed(4, "[limit basic]\nunits = 6\n");
        other.run(30);
        assertTrue(
                other.lines.get(0).startsWith("the file was changed on version 3, and the newest is 4"),
                "" + other.lines);
        FromFile alone = new FromFile();
        alone.proposer.fileChanged(0, NEW, 9);
        alone.run(700);
        assertTrue(alone.lines.get(0).startsWith("nobody who leads took the file's rules in 30 s"), "" + alone.lines);
    }

    @Test
    void aFloodOfAskersAndOfVersionsLeavesEveryTableBounded() {
        LeaseGrantor grantor = new LeaseGrantor(LeaseTiming.DEFAULT, new RuleRegistry(), new LeaseGrantor.Actions() {
            @Override
            public void send(String name, RulesMessage talk) {}

            @Override
            public void commit(RegistryCommand command) {}

            @Override
            public void confirmLeadership(long round) {}

            @Override
            public void log(String line) {}
        });
        grantor.isLeader(1, 1);
        FromFile one = new FromFile();
        for (int i = 0; i < 3_000; i++) {
            grantor.renew(2, "n" + i, new RulesMessage.LeaseRequest(i, i, 0, 0, ""));
            one.holder.receive(one.nowUs, "v", new RulesMessage.VersionsChanged(i, 0));
        }
        assertTrue(
                grantor.tableSizes().stream().allMatch(n -> n <= 2 * LeaseGrantor.MAX_GATEWAYS),
                "" + grantor.tableSizes());
        assertEquals(LeaseGrantor.MAX_GATEWAYS, grantor.tableSizes().get(0));
        assertTrue(one.holder.kept().get(0) <= LeaseHolder.MAX_OPEN_REQUESTS
                && one.holder.kept().get(1) <= LeaseHolder.MAX_TEXTS);
    }

    // ---- The book and the rules ----

    private static RuleRegistry.Result propose(RuleRegistry book, long id, long base, long units, long floor) {
        book.apply(new RegistryCommand.AddPiece(id, 0, 1, "text " + id));
        return book.apply(new RegistryCommand.Propose(
                id, base, "who", "why", id, 1, List.of(new RegistryCommand.PlanLimit("basic", units, floor))));
    }

    @Test
    void anOldBaseAWaitingVersionAHalfTextAndALimitBelowTheFloorsAreRefused() {
        RuleRegistry book = new RuleRegistry();
        assertEquals(1, propose(book, 1, 0, 100, 40).version());
        assertEquals(
                "version 1 is still on its way; wait, or withdraw it",
                propose(book, 2, 1, 90, 0).error());
        assertEquals(1, propose(book, 1, 0, 100, 40).version(), "asked again, answered alike");
        book.apply(new RegistryCommand.RegisterGateway("a"));
        book.apply(new RegistryCommand.RegisterGateway("b"));
        assertEquals("", book.apply(new RegistryCommand.Activate(1, 0)).error());
        assertEquals(
                "it is based on version 0, and the newest is 1",
                propose(book, 3, 0, 90, 0).error());
        assertTrue(propose(book, 4, 1, 30, 0).error().startsWith("limit basic: units 30 is below 40, the floor"));
        assertEquals(2, propose(book, 5, 1, 60, 10).version());
        book.apply(new RegistryCommand.Activate(2, 0));
        assertEquals(40, book.reservedFloors().get("basic"), "who is cut off may still act on the old floor");
        assertEquals(3, propose(book, 6, 2, 60, 10).version());
        book.apply(new RegistryCommand.Activate(3, book.gatewayNamesHash()));
        assertEquals(10, book.reservedFloors().get("basic"));
        assertTrue(book.apply(new RegistryCommand.Propose(9, 3, "w", "w", 1, 2, List.of()))
                .error()
                .contains("did not come whole"));
        assertEquals(4, propose(book, 10, 3, 60, 10).version());
        assertEquals(
                "", book.apply(new RegistryCommand.Withdraw(4, "who", "a slip")).error());
        assertEquals(RuleRegistry.State.WITHDRAWN, book.versions().get(4L).state());
        assertEquals(5, propose(book, 11, 4, 60, 10).version());
    }

    @Test
    void theBookIsBoundedAndItsWholeIsItself() {
        RuleRegistry book = new RuleRegistry();
        for (int i = 1; i <= 100; i++) {
            propose(book, i, i - 1, 10, 0);
            book.apply(new RegistryCommand.Activate(i, 0));
            book.apply(new RegistryCommand.AddPiece(1000 + i, 0, 3, "left"));
            book.apply(new RegistryCommand.RegisterGateway("n" + i));
        }
        assertEquals(RuleRegistry.MAX_VERSIONS, book.versions().size());
        assertTrue(book.snapshot().proposals().size() <= RuleRegistry.MAX_PROPOSALS);
        RuleRegistry other = new RuleRegistry();
        other.restore(book.snapshot());
        assertEquals(book.snapshot(), other.snapshot());
    }

    @Test
    void theFallbackIsTheStricterAndContradictsOnlyWhatItMay() {
        Rules one =
                RulesSim.load("[fleet]\ngateways = 4\n[limit basic]\nunits = 100\nfloor = 20\n[module a]\nopen = yes\n"
                        + "[module b]\nopen = yes\n[node n]\naddress = 127.0.0.1:1\n[switch s]\nset = on\n");
        Rules two =
                RulesSim.load("[fleet]\ngateways = 4\n[limit basic]\nunits = 50\nfloor = 30\n[module a]\nopen = no\n"
                        + "[module b]\nopen = yes\n[switch s]\nset = on\n");
        assertEquals(List.of("limit basic", "module a", "node n"), one.conflictsWith(two));
        Rules both = one.restrictedBy(two).toFallback();
        assertEquals(new Rules.Limit(20, 20), both.limits().get("basic"));
        assertFalse(both.modules().get("a").open());
        assertTrue(both.modules().get("b").open()
                && both.nodes().get("n").removed()
                && both.switches().get("s"));
    }

    @Test
    void aRuleTextIsRefusedWithItsLineAndKey() {
        for (String[] wrong : new String[][] {
            {"[limit basic]\nunits = 5\nfloor = 9\n", "rules:3: [limit basic] floor is above"},
            {"[limit basic]\nfloor = 9\n", "[limit basic] units is missing"},
            {"[limit gold]\nunits = 1\n", "rules:1: [limit gold] is a limit of no plan"},
            {"[quota a]\nx = 1\n", "rules:1: [quota a] is no section"}
        }) {
            String told = assertThrows(
                            IllegalArgumentException.class,
                            () -> petrelstand.config.RulesText.load("rules", wrong[0], List.of("basic")))
                    .getMessage();
            assertTrue(told.contains(wrong[1]), told);
        }
    }
}
