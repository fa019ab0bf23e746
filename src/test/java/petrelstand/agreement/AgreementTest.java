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

/** Simulates leases and versions of the rules under faults, and checks that injected defects are detected. */
class AgreementTest {
    static RulesSim simulate(int size, int voting, LeaseTiming timing, long seed, RulesSim.Maker maker) {
        RulesSim sim = new RulesSim(size, voting, timing, seed, maker);
        FleetPlan plan = FleetPlan.draw(size, seed);
        sim.arm(plan);
        sim.run(5_000_000);
        sim.proposeEvery(500_000);
        sim.run(plan.lengthUs() + 5_000_000);
        return sim;
    }

    @Test
    void randomFaultsNeverExceedTheConflictBound() {
        int changes = 0;
        for (int seed = 1; seed <= 60; seed++) {
            RulesSim sim = simulate(
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
    void changeIsFastAndASilentGatewayDelaysItByOneLeaseOnly() {
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
        assertTrue(silent.tookUs().stream().anyMatch(us -> us > 3_000_000), "no change waited for the silent gateway");
    }

    @Test
    void searchOfFaultsAroundAChangeFindsNoViolation() {
        RulesSearch.Result result = RulesSearch.run(1, 1, RulesSim.USUAL);
        assertEquals("", result.fault(), result.toString());
        assertTrue(result.played() > 200 && result.longestUs() > 0, result.toString());
    }

    /** The initial voters are replaced one by one while faults are injected. */
    @Test
    void allVotersAreReplacedDuringFaults() {
        int replaced = 0;
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
            replaced += sim.ordersDone() == 6 && sim.votersNow().equals(List.of("g003", "g004", "g005")) ? 1 : 0;
        }
        // A plan that kills a majority for good leaves requests unanswered.
        System.out.println("all voters replaced in " + replaced + " of 25 seeds");
        assertTrue(replaced >= 15, replaced + " of 25");
    }

    /** Two of three voters are killed for good; the third begins a new epoch, to which other voters are added. */
    @Test
    void operatorRecoversFromALostMajority() throws Exception {
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
        assertTrue(
                before > 5 && !sim.settled(),
                before + " changes; without a majority every gateway must be on its fallback");
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

    /** One gateway can't load version 3: it stays pending until withdrawn, and leases on version 2 continue. */
    @Test
    void unloadableVersionStaysPendingAndLeasesContinue() {
        int[] created = new int[1];
        RulesSim sim = new RulesSim(5, 3, LeaseTiming.DEFAULT, 1, new DefectiveMaker() {
            @Override
            public LeaseHolder holder(
                    long nowUs,
                    long life,
                    List<String> voters,
                    LeaseTiming timing,
                    long seed,
                    LeaseHolder.Actions actions) {
                boolean isOldRelease = created[0]++ == 2;
                return new LeaseHolder(
                        nowUs,
                        life,
                        voters,
                        timing,
                        seed,
                        text -> {
                            if (isOldRelease && text.contains("units = 3\n")) {
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
        assertEquals(5, sim.leasedOn(2), "every gateway keeps its lease");
        sim.orderAt(30_000_000, "withdraw", "");
        sim.proposeAt(33_000_000);
        sim.run(40_000_000);
        assertEquals(4, sim.newest());
        assertEquals(5, sim.leasedOn(4));
        assertEquals("", sim.fault());
    }

    /** After an orderly stop of the leader another voter leads within half a second, without an election timeout. */
    @Test
    void stoppingLeaderTransfersLeadership() {
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

    // ---- Injected defects ----

    /** Defect: the holder counts its lease from the answer, which may have been delayed for any time. */
    private static final RulesSim.Maker LEASE_FROM_ANSWER = new DefectiveMaker() {
        @Override
        public LeaseHolder holder(
                long nowUs,
                long life,
                List<String> voters,
                LeaseTiming timing,
                long seed,
                LeaseHolder.Actions actions) {
            return new LeaseHolder(nowUs, life, voters, timing, seed, RulesSim::load, actions) {
                @Override
                protected long leaseEndUs(long now, long askedUs) {
                    return now + timing.leaseUs();
                }
            };
        }
    };

    /** Defect: the leader takes a lease to be over by its own clock, without regard to clock drift. */
    private static final RulesSim.Maker IGNORED_DRIFT = new DefectiveMaker() {
        @Override
        public LeaseGrantor grantor(LeaseTiming timing, RuleRegistry registry, LeaseGrantor.Actions actions) {
            return new LeaseGrantor(timing, registry, actions) {
                @Override
                protected long leaseEndUs(long nowUs, long receivedUs) {
                    return receivedUs + timing.leaseUs();
                }
            };
        }
    };

    /** Defect: the leader activates a version after a majority of the gateways has confirmed it. */
    private static final RulesSim.Maker MAJORITY_ACTIVATES = new DefectiveMaker() {
        @Override
        public LeaseGrantor grantor(LeaseTiming timing, RuleRegistry registry, LeaseGrantor.Actions actions) {
            return new LeaseGrantor(timing, registry, actions) {
                @Override
                protected boolean mayActivate(long nowUs) {
                    long confirmed = gateways().stream()
                            .filter(gateway -> gateway.preparedVersion() >= registry.pending())
                            .count();
                    return 2 * confirmed > gateways().size();
                }
            };
        }
    };

    /** Defect: the holder does not check its lease at decisions, only at renewals. */
    private static final RulesSim.Maker UNCHECKED_LEASE = new DefectiveMaker() {
        @Override
        public LeaseHolder holder(
                long nowUs,
                long life,
                List<String> voters,
                LeaseTiming timing,
                long seed,
                LeaseHolder.Actions actions) {
            return new LeaseHolder(nowUs, life, voters, timing, seed, RulesSim::load, actions) {
                @Override
                protected boolean isLeaseValid(long now) {
                    return super.isLeaseValid(Long.MIN_VALUE / 4) || lastAnswerUs() > 0 && knownVersions()[0] > 0;
                }
            };
        }
    };

    private static class DefectiveMaker implements RulesSim.Maker {
        @Override
        public LeaseHolder holder(
                long nowUs,
                long life,
                List<String> voters,
                LeaseTiming timing,
                long seed,
                LeaseHolder.Actions actions) {
            return RulesSim.USUAL.holder(nowUs, life, voters, timing, seed, actions);
        }

        @Override
        public LeaseGrantor grantor(LeaseTiming timing, RuleRegistry registry, LeaseGrantor.Actions actions) {
            return RulesSim.USUAL.grantor(timing, registry, actions);
        }
    }

    @Test
    void simulationDetectsInjectedDefects() {
        List<RulesSim.Maker> defects = List.of(LEASE_FROM_ANSWER, IGNORED_DRIFT, MAJORITY_ACTIVATES, UNCHECKED_LEASE);
        List<Integer> foundSeeds = new ArrayList<>();
        for (int i = 0; i < defects.size(); i++) {
            // More drift reveals the second defect within fewer seeds.
            LeaseTiming timing = i == 1 ? new LeaseTiming(3_000_000, 0.1) : LeaseTiming.DEFAULT;
            for (int seed = 1; seed <= 400 && foundSeeds.size() == i; seed++) {
                if (!simulate(5, 3, timing, seed, defects.get(i)).fault().isEmpty()) {
                    foundSeeds.add(seed);
                }
            }
        }
        System.out.println("injected defects found at seeds " + foundSeeds);
        assertEquals(defects.size(), foundSeeds.size(), "found at seeds " + foundSeeds);
    }

    // ---- Rules from a file ----

    /** A proposer with its holder; records the log lines and the proposals sent. */
    private static final class ProposerFixture implements LeaseHolder.Actions, RulesFileProposer.Actions {
        final List<String> lines = new ArrayList<>();
        final List<RulesMessage.ProposalPiece> proposals = new ArrayList<>();
        final LeaseHolder holder = new LeaseHolder(0, 1, List.of("v"), LeaseTiming.DEFAULT, 1, RulesSim::load, this);
        final RulesFileProposer proposer = new RulesFileProposer("g", "the file", holder, 1, this);
        long nowUs;
        private long nonce;

        /** Receives an active version from the leader, with its text. */
        void activate(long version, String text) {
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
        public void send(String voter, RulesMessage message) {
            if (message instanceof RulesMessage.LeaseRequest request) {
                nonce = request.nonce();
            } else if (message instanceof RulesMessage.ProposalPiece piece) {
                proposals.add(piece);
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

    private static final String NEW_TEXT = "[limit basic]\nunits = 7\n";

    @Test
    void changedFileIsProposedUntilAnswered() {
        ProposerFixture fixture = new ProposerFixture();
        fixture.activate(3, "[limit basic]\nunits = 5\n");
        fixture.proposer.fileChanged(fixture.nowUs, NEW_TEXT, 9);
        fixture.run(60);
        assertTrue(fixture.proposals.size() > 3
                && fixture.proposals.stream()
                        .allMatch(o -> o.base() == 3 && o.text().equals(NEW_TEXT)));
        fixture.proposer.receive(
                fixture.nowUs,
                new RulesMessage.RequestAnswer(fixture.proposals.get(0).id(), -1, 4, ""));
        assertEquals(List.of("the file's rules were proposed and are version 4"), fixture.lines);
        assertFalse(fixture.proposer.hasPendingProposal());
    }

    @Test
    void sameFileIsOneVersionAndNeverReplacesAnotherText() {
        ProposerFixture same = new ProposerFixture();
        same.activate(3, "[limit basic]\nunits = 5\n");
        same.proposer.fileChanged(same.nowUs, NEW_TEXT, 9);
        same.activate(4, NEW_TEXT);
        same.run(30);
        assertEquals(List.of("the file's rules are version 4"), same.lines);
        ProposerFixture other = new ProposerFixture();
        other.activate(3, "[limit basic]\nunits = 5\n");
        other.proposer.fileChanged(other.nowUs, NEW_TEXT, 9);
        other.activate(4, "[limit basic]\nunits = 6\n");
        other.run(30);
        assertTrue(
                other.lines
                        .get(0)
                        .startsWith(
                                "the file's rules were not proposed: the file was changed on version 3, and the newest version 4"),
                "" + other.lines);
        ProposerFixture alone = new ProposerFixture();
        alone.proposer.fileChanged(0, NEW_TEXT, 9);
        alone.run(700);
        assertTrue(
                alone.lines.get(0).startsWith("the file's rules were not proposed: no leader answered in 30 s"),
                "" + alone.lines);
    }

    @Test
    void tablesStayBoundedUnderManyGatewaysAndVersions() {
        LeaseGrantor grantor = new LeaseGrantor(LeaseTiming.DEFAULT, new RuleRegistry(), new LeaseGrantor.Actions() {
            @Override
            public void send(String name, RulesMessage message) {}

            @Override
            public void commit(RegistryCommand command) {}

            @Override
            public void confirmLeadership(long round) {}

            @Override
            public void log(String line) {}
        });
        grantor.becomeLeader(1, 1);
        ProposerFixture fixture = new ProposerFixture();
        for (int i = 0; i < 3_000; i++) {
            grantor.renew(2, "n" + i, new RulesMessage.LeaseRequest(i, i, 0, 0, ""));
            fixture.holder.receive(fixture.nowUs, "v", new RulesMessage.VersionsChanged(i, 0));
        }
        assertTrue(
                grantor.tableSizes().stream().allMatch(n -> n <= 2 * LeaseGrantor.MAX_GATEWAYS),
                "" + grantor.tableSizes());
        assertEquals(LeaseGrantor.MAX_GATEWAYS, grantor.tableSizes().get(0));
        assertTrue(fixture.holder.tableSizes().get(0) <= LeaseHolder.MAX_OPEN_REQUESTS
                && fixture.holder.tableSizes().get(1) <= LeaseHolder.MAX_TEXTS);
    }

    // ---- Registry and rules ----

    private static RuleRegistry.Result propose(RuleRegistry registry, long id, long base, long units, long floor) {
        registry.apply(new RegistryCommand.AddPiece(id, 0, 1, "text " + id));
        return registry.apply(new RegistryCommand.Propose(
                id, base, "who", "why", id, 1, List.of(new RegistryCommand.PlanLimit("basic", units, floor))));
    }

    @Test
    void registryRefusesInvalidProposals() {
        RuleRegistry registry = new RuleRegistry();
        assertEquals(1, propose(registry, 1, 0, 100, 40).version());
        assertEquals(
                "version 1 is still on its way; wait until it is active, or withdraw it",
                propose(registry, 2, 1, 90, 0).error());
        assertEquals(1, propose(registry, 1, 0, 100, 40).version(), "a repeated proposal gets the same version");
        registry.apply(new RegistryCommand.RegisterGateway("a"));
        registry.apply(new RegistryCommand.RegisterGateway("b"));
        assertEquals("", registry.apply(new RegistryCommand.Activate(1, 0)).error());
        assertEquals(
                "it is based on version 0, and the newest version is 1",
                propose(registry, 3, 0, 90, 0).error());
        assertTrue(propose(registry, 4, 1, 30, 0).error().startsWith("limit basic: units 30 is below 40, the floor"));
        assertEquals(2, propose(registry, 5, 1, 60, 10).version());
        registry.apply(new RegistryCommand.Activate(2, 0));
        assertEquals(
                40, registry.reservedFloors().get("basic"), "a gateway without a lease may still apply the old floor");
        assertEquals(3, propose(registry, 6, 2, 60, 10).version());
        registry.apply(new RegistryCommand.Activate(3, registry.gatewayNamesHash()));
        assertEquals(10, registry.reservedFloors().get("basic"));
        assertTrue(registry.apply(new RegistryCommand.Propose(9, 3, "w", "w", 1, 2, List.of()))
                .error()
                .contains("pieces of the rules text are missing"));
        assertEquals(4, propose(registry, 10, 3, 60, 10).version());
        assertEquals(
                "",
                registry.apply(new RegistryCommand.Withdraw(4, "who", "a slip")).error());
        assertEquals(RuleRegistry.State.WITHDRAWN, registry.versions().get(4L).state());
        assertEquals(5, propose(registry, 11, 4, 60, 10).version());
    }

    @Test
    void registryIsBoundedAndItsSnapshotRestoresIt() {
        RuleRegistry registry = new RuleRegistry();
        for (int i = 1; i <= 100; i++) {
            propose(registry, i, i - 1, 10, 0);
            registry.apply(new RegistryCommand.Activate(i, 0));
            registry.apply(new RegistryCommand.AddPiece(1000 + i, 0, 3, "left"));
            registry.apply(new RegistryCommand.RegisterGateway("n" + i));
        }
        assertEquals(RuleRegistry.MAX_VERSIONS, registry.versions().size());
        assertTrue(registry.snapshot().proposals().size() <= RuleRegistry.MAX_PROPOSALS);
        RuleRegistry copy = new RuleRegistry();
        copy.restore(registry.snapshot());
        assertEquals(registry.snapshot(), copy.snapshot());
    }

    @Test
    void restrictedRulesAndFallbackAreTheStrictest() {
        Rules first =
                RulesSim.load("[fleet]\ngateways = 4\n[limit basic]\nunits = 100\nfloor = 20\n[module a]\nopen = yes\n"
                        + "[module b]\nopen = yes\n[node n]\naddress = 127.0.0.1:1\n[switch s]\nset = on\n");
        Rules second =
                RulesSim.load("[fleet]\ngateways = 4\n[limit basic]\nunits = 50\nfloor = 30\n[module a]\nopen = no\n"
                        + "[module b]\nopen = yes\n[switch s]\nset = on\n");
        assertEquals(List.of("limit basic", "module a", "node n"), first.conflictsWith(second));
        Rules restricted = first.restrictedBy(second).toFallback();
        assertEquals(new Rules.Limit(20, 20), restricted.limits().get("basic"));
        assertFalse(restricted.modules().get("a").open());
        assertTrue(restricted.modules().get("b").open()
                && restricted.nodes().get("n").removed()
                && restricted.switches().get("s"));
    }

    @Test
    void invalidRulesTextIsRefusedWithLineAndKey() {
        for (String[] invalid : new String[][] {
            {"[limit basic]\nunits = 5\nfloor = 9\n", "rules:3: [limit basic] floor is above"},
            {"[limit basic]\nfloor = 9\n", "[limit basic] units is missing"},
            {"[limit gold]\nunits = 1\n", "rules:1: [limit gold] is a limit of no plan"},
            {"[quota a]\nx = 1\n", "rules:1: [quota a] is no section"}
        }) {
            String message = assertThrows(
                            IllegalArgumentException.class,
                            () -> petrelstand.config.RulesText.parse("rules", invalid[0], List.of("basic")))
                    .getMessage();
            assertTrue(message.contains(invalid[1]), message);
        }
    }
}
