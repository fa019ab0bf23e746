package petrelstand.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import petrelstand.agreement.LeaseTiming;
import petrelstand.lab.check.HistoryCheck;
import petrelstand.lab.check.RulesCheck;
import petrelstand.lab.check.Verdict;
import petrelstand.lab.faults.FaultScenario;
import petrelstand.lab.faults.FaultTrial;
import petrelstand.lab.faults.FleetCost;
import petrelstand.lab.faults.FleetMeasure;
import petrelstand.lab.faults.FleetPlan;
import petrelstand.lab.faults.FleetSearch;
import petrelstand.lab.faults.FleetSim;
import petrelstand.lab.rules.RulesMeasure;
import petrelstand.lab.rules.RulesSearch;
import petrelstand.lab.rules.RulesSim;
import petrelstand.members.MembershipTiming;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code petrelstand lab faults}: a fleet under faults, as real processes, in virtual time, or searched. */
@Command(
        name = "faults",
        description = "Plays faults between gateways: real processes of a scenario, drawn faults in"
                + " virtual time, or a search of all within a bound. Ends with 1 where a promise was broken, 4 where the machine"
                + " was too slow to tell.",
        mixinStandardHelpOptions = true)
final class LabFaults implements Callable<Integer> {
    private static final int INCONCLUSIVE = 4;

    @Parameters(paramLabel = "SCENARIO.ini", arity = "0..1", description = "a trial of real processes; see lab/")
    private Path file;

    @Option(names = "--seeds", paramLabel = "A-B", defaultValue = "1-1", description = "both counted in; 1-1")
    private String seeds;

    @Option(names = "--folder", paramLabel = "DIR", description = "where histories go; a temporary one where left out")
    private Path folder;

    @Option(names = "--virtual", paramLabel = "N", description = "drawn faults among so many gateways in virtual time")
    private Integer virtual;

    @Option(
            names = "--measure",
            paramLabel = "N",
            description = "a table of times, alarms and messages among so many"
                    + " gateways in virtual time; --seeds 1-B says how many seeds")
    private Integer measure;

    @Option(
            names = "--search",
            paramLabel = "FAULTS",
            description = "all orders and faults, up to so many, among 3 in" + " virtual time")
    private Integer search;

    @Option(
            names = "--cost",
            paramLabel = "PAIRS",
            description = "CPU of three gateways of 200 requests a second each, alone,"
                    + " as a fleet, and as a fleet with rules")
    private Integer cost;

    @Option(
            names = "--rules",
            paramLabel = "N",
            description =
                    "drawn faults among so many gateways that agree on rules, in" + " virtual time; with --voters")
    private Integer rules;

    @Option(names = "--voters", paramLabel = "V", defaultValue = "5", description = "of those, how many vote; 5")
    private int voters;

    @Option(
            names = "--search-rules",
            paramLabel = "FAULTS",
            description =
                    "all faults round a change of rules, up to so many," + " among 3 in virtual time, over the seeds")
    private Integer searchRules;

    @Option(names = "--measure-rules", description = "times of agreed rules in virtual time, over --seeds 1-B")
    private boolean measureRules;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (!seeds.matches("[0-9]{1,9}-[0-9]{1,9}")) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--seeds must be A-B, not '" + seeds + "'");
        }
        long from = Long.parseLong(seeds.split("-")[0]);
        long until = Long.parseLong(seeds.split("-")[1]);
        if (search != null) {
            return search();
        }
        if (measure != null) {
            spec.commandLine().getOut().print(FleetMeasure.table(measure, (int) until, 30));
            spec.commandLine().getOut().flush();
            return 0;
        }
        if (cost != null) {
            spec.commandLine()
                    .getOut()
                    .print(FleetCost.table(cost, 200, folder == null ? Files.createTempDirectory("cost") : folder));
            spec.commandLine().getOut().flush();
            return 0;
        }
        if (measureRules) {
            spec.commandLine().getOut().print(RulesMeasure.table((int) until));
            spec.commandLine().getOut().flush();
            return 0;
        }
        if (rules != null) {
            return rules(from, until);
        }
        if (searchRules != null) {
            RulesSearch.Result result = RulesSearch.run(searchRules, (int) until, RulesSim.USUAL);
            spec.commandLine().getOut().println(result);
            spec.commandLine().getOut().flush();
            return result.fault().isEmpty() ? 0 : 1;
        }
        if (virtual != null) {
            return virtual(from, until);
        }
        if (file == null) {
            throw new CommandLine.ParameterException(spec.commandLine(), "a scenario, --virtual or --search is wanted");
        }
        PrintWriter out = spec.commandLine().getOut();
        FaultScenario scenario;
        try {
            scenario = FaultScenario.read(file);
        } catch (IllegalArgumentException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return 2;
        }
        Path below = folder == null ? Files.createTempDirectory("faults") : folder;
        int slow = 0;
        int failed = 0;
        List<Long> detected = new ArrayList<>();
        int agreed = 0;
        List<Long> took = new ArrayList<>();
        List<Long> contradicted = new ArrayList<>();
        for (long seed = from; seed <= until; seed++) {
            Path trial = below.resolve(scenario.name() + "-" + seed);
            try (FaultTrial played = new FaultTrial(trial, scenario, seed, "petrelstand.Main", List.of("serve"))) {
                played.play();
            }
            Verdict verdict = HistoryCheck.check(trial);
            if (scenario.voters() > 0) {
                RulesCheck.Found rules = RulesCheck.check(trial);
                verdict = verdict.outcome() == Verdict.Outcome.PASSED ? rules.verdict() : verdict;
                agreed += rules.agreed();
                took.addAll(rules.tookUs());
                contradicted.addAll(rules.contradictionsUs());
            }
            out.println(scenario.name() + " seed " + seed + ": " + verdict);
            out.flush();
            slow += verdict.outcome() == Verdict.Outcome.INCONCLUSIVE ? 1 : 0;
            failed += verdict.outcome() == Verdict.Outcome.FAILED ? 1 : 0;
            if (verdict.outcome() == Verdict.Outcome.FAILED) {
                out.println("  histories: " + trial + "; again: petrelstand lab faults " + file + " --seeds " + seed
                        + "-" + seed);
            }
            detected.addAll(verdict.detectUs());
        }
        spread(out, "ends known by others after", detected);
        if (agreed > 0) {
            out.println(agreed + " changes of rules agreed on");
        }
        spread(out, "changes acted on by all after", took);
        spread(out, "contradictions of two gateways lasted", contradicted);
        out.println(until - from + 1 + " played, " + failed + " failed, " + slow + " inconclusive");
        out.flush();
        return failed > 0 ? 1 : slow > 0 ? INCONCLUSIVE : 0;
    }

    private static void spread(PrintWriter out, String what, List<Long> us) {
        Collections.sort(us);
        if (!us.isEmpty()) {
            out.printf(
                    "%s: p50 %d ms, p99 %d ms, worst %d ms (%d)%n",
                    what,
                    us.get(us.size() / 2) / 1000,
                    us.get((us.size() - 1) * 99 / 100) / 1000,
                    us.get(us.size() - 1) / 1000,
                    us.size());
        }
    }

    private int virtual(long from, long until) {
        PrintWriter out = spec.commandLine().getOut();
        int failed = 0;
        long began = System.nanoTime();
        for (long seed = from; seed <= until; seed++) {
            FleetPlan plan = FleetPlan.draw(virtual, seed);
            String fault = FleetSim.play(plan, FleetSim.usual(MembershipTiming.DEFAULT));
            if (!fault.isEmpty()) {
                failed++;
                FleetPlan least = FleetSim.shrink(plan, FleetSim.usual(MembershipTiming.DEFAULT));
                out.println("seed " + seed + ": " + fault);
                least.faults().forEach(one -> out.println("  " + one));
                out.println("  again: petrelstand lab faults --virtual " + virtual + " --seeds " + seed + "-" + seed);
                out.flush();
            }
        }
        out.printf(
                "%d seeds of %d gateways, %d failed, %.1f s%n",
                until - from + 1, virtual, failed, (System.nanoTime() - began) / 1e9);
        out.flush();
        return failed > 0 ? 1 : 0;
    }

    private int rules(long from, long until) {
        PrintWriter out = spec.commandLine().getOut();
        int failed = 0;
        long agreed = 0;
        List<Long> took = new ArrayList<>();
        List<Long> contradicted = new ArrayList<>();
        long began = System.nanoTime();
        for (long seed = from; seed <= until; seed++) {
            RulesSim sim = new RulesSim(rules, Math.min(voters, rules), LeaseTiming.DEFAULT, seed, RulesSim.USUAL);
            FleetPlan plan = FleetPlan.draw(rules, seed);
            sim.arm(plan);
            sim.run(5_000_000);
            sim.proposeEvery(500_000);
            sim.run(plan.lengthUs() + 5_000_000);
            if (!sim.fault().isEmpty()) {
                failed++;
                out.println("seed " + seed + ": " + sim.fault() + " in " + plan.faults());
                out.println("  again: petrelstand lab faults --rules " + rules + " --voters " + voters + " --seeds "
                        + seed + "-" + seed);
                out.flush();
            }
            agreed += sim.acknowledged();
            took.addAll(sim.tookUs());
            contradicted.addAll(sim.contradictionsUs());
        }
        spread(out, "changes acted on by all after", took);
        spread(out, "contradictions of two gateways lasted", contradicted);
        out.printf(
                "%d seeds of %d gateways, %d vote, %d changes, %d failed, %.1f s%n",
                until - from + 1, rules, Math.min(voters, rules), agreed, failed, (System.nanoTime() - began) / 1e9);
        out.flush();
        return failed > 0 ? 1 : 0;
    }

    private int search() {
        FleetSearch.Result result = FleetSearch.run(search, FleetSim.usual(MembershipTiming.DEFAULT));
        spec.commandLine().getOut().println(result);
        spec.commandLine().getOut().flush();
        return result.fault().isEmpty() ? 0 : 1;
    }
}
