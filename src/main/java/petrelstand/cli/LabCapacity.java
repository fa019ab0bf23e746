package petrelstand.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import petrelstand.lab.capacity.CapacityPage;
import petrelstand.lab.capacity.CapacityPlan;
import petrelstand.lab.capacity.CapacityReport;
import petrelstand.lab.capacity.Experiment;
import petrelstand.lab.capacity.Sample;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What fleets of several sizes cost a member, and how that grows. */
@Command(
        name = "capacity",
        description = "Plays the real modules in virtual time at several sizes, and fits what they"
                + " cost a member against the size. Ends with 2 where an argument is wrong.",
        mixinStandardHelpOptions = true)
final class LabCapacity implements Callable<Integer> {
    private static final int WRONG_ARGUMENT = 2;

    @Parameters(
            paramLabel = "ROLE",
            description = "members: gateways that know each other; rules: gateways that act on"
                    + " agreed rules, and five voters")
    private String role;

    @Option(
            names = "--sizes",
            paramLabel = "A,B,...",
            defaultValue = "50,100,200,400,670,1000",
            description = "gateways, 10 to 1024; 50,100,200,400,670,1000")
    private String sizes;

    @Option(
            names = "--events",
            paramLabel = "A,B,...",
            defaultValue = "all",
            description = "start, rest, restarts, changes (rules), loss, zone, cut (members); all")
    private String events;

    @Option(names = "--seed", defaultValue = "1", description = "one seed gives one course; 1")
    private long seed;

    @Option(names = "--sweeps", description = "varies restarts, changes and loss as well, at the smallest size")
    private boolean sweeps;

    @Option(names = "--json", paramLabel = "FILE", description = "writes all points and curves there")
    private Path json;

    @Option(names = "--html", paramLabel = "FILE", description = "writes one page with plots there")
    private Path html;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        CapacityPlan plan;
        try {
            plan = CapacityPlan.of(role, sizes, events, seed, sweeps);
        } catch (IllegalArgumentException e) {
            PrintWriter err = spec.commandLine().getErr();
            err.println(e.getMessage());
            err.flush();
            return WRONG_ARGUMENT;
        }
        long began = System.nanoTime();
        List<Sample> samples = new Experiment(plan).play();
        CapacityReport report = new CapacityReport(plan, samples, (System.nanoTime() - began) / 1e9);
        PrintWriter out = spec.commandLine().getOut();
        out.print(report.table());
        out.flush();
        if (json != null) {
            Files.writeString(json, report.json());
        }
        if (html != null) {
            Files.writeString(html, new CapacityPage(report).html());
        }
        return CommandLine.ExitCode.OK;
    }
}
