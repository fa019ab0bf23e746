package petrelstand.cli;

import com.google.gson.GsonBuilder;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import petrelstand.config.IniFile;
import petrelstand.config.OperatorConfig;
import petrelstand.lab.AccountsCost;
import petrelstand.lab.CaptureCost;
import petrelstand.lab.Experiment;
import petrelstand.lab.FleetTrial;
import petrelstand.lab.KillWrites;
import petrelstand.lab.Scenario;
import petrelstand.lab.StandInPlatform;
import petrelstand.lab.TryOut;
import petrelstand.lab.WaitTrial;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code petrelstand lab}: the laboratory. */
@Command(
        name = "lab",
        description = "The laboratory: days in virtual time, killed writers.",
        subcommands = {
            LabCommand.Run.class,
            LabCommand.Kill.class,
            LabCommand.Serve.class,
            LabCommand.Capture.class,
            LabCommand.Waits.class,
            LabCommand.Cost.class,
            LabFaults.class,
            LabCapacity.class
        },
        mixinStandardHelpOptions = true)
final class LabCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Missing required subcommand");
    }

    /** Plays a scenario. */
    @Command(
            name = "run",
            description = "Plays a scenario over seeds, with state kept, with nothing kept, and without"
                    + " a restart, and prints a table.",
            mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "SCENARIO.ini", description = "the world, its troubles and the restart; see lab/")
        private Path file;

        @Option(names = "--seeds", paramLabel = "A-B", defaultValue = "1-20", description = "both counted in; 1-20")
        private String seeds;

        @Option(names = "--json", paramLabel = "FILE", description = "writes the figures there as well")
        private Path json;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            if (!seeds.matches("[0-9]{1,9}-[0-9]{1,9}")) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--seeds must be A-B, not '" + seeds + "'");
            }
            String[] ends = seeds.split("-");
            PrintWriter out = spec.commandLine().getOut();
            Experiment played;
            long began = System.nanoTime();
            try {
                Scenario scenario = Scenario.read(file);
                if (scenario.restart() == null) {
                    out.print(new FleetTrial(scenario, Long.parseLong(ends[0]), Long.parseLong(ends[1])).table());
                    out.flush();
                    return 0;
                }
                played = new Experiment(scenario, Long.parseLong(ends[0]), Long.parseLong(ends[1])).play();
            } catch (IllegalArgumentException e) {
                spec.commandLine().getErr().println(e.getMessage());
                return 1;
            }
            out.print(played.table());
            out.println(String.format(Locale.ROOT, "played in %.1f s", (System.nanoTime() - began) / 1e9));
            out.flush();
            if (json != null) {
                Files.writeString(
                        json, new GsonBuilder().setPrettyPrinting().create().toJson(played.json()) + "\n");
            }
            return 0;
        }
    }

    /** Kills writers. */
    @Command(
            name = "kill-writes",
            description = "Kills a process that writes snapshots, again and again, and looks at"
                    + " what it leaves. Ends with 1 where any of it is corrupt or trusted too much.",
            mixinStandardHelpOptions = true)
    static final class Kill implements Callable<Integer> {
        @Option(names = "--times", defaultValue = "100", description = "how many; 100")
        private int times;

        @Option(names = "--seed", defaultValue = "1", description = "draws the moments of the kills; 1")
        private long seed;

        @Option(names = "--folder", paramLabel = "DIR", description = "where; a temporary folder where left out")
        private Path folder;

        @Option(names = "--side-by-side", defaultValue = "4", description = "writers at a time; 4")
        private int sideBySide;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            Path below = folder == null ? Files.createTempDirectory("kill-writes") : folder;
            KillWrites.Result result = KillWrites.run(below, times, seed, sideBySide);
            PrintWriter out = spec.commandLine().getOut();
            result.faults().forEach(out::println);
            out.println(result.times() + " writers killed in " + below + ", " + result.written()
                    + " snapshots acknowledged, " + result.interrupted() + " kills inside a write; corrupt: "
                    + result.corrupt() + ", over-trusted: " + result.overTrusted());
            out.flush();
            return result.corrupt() == 0 && result.overTrusted() == 0 ? 0 : 1;
        }
    }

    /** A gateway to try by hand. */
    @Command(
            name = "serve",
            description = "A gateway on 127.0.0.1:9000 before stand-in nodes and discovery on loopback,"
                    + " with its learned state in a folder; SIGTERM or Ctrl-C ends it.",
            mixinStandardHelpOptions = true)
    static final class Serve implements Callable<Integer> {
        @Option(names = "--listen", defaultValue = "127.0.0.1:9000", description = "address and port; 127.0.0.1:9000")
        private String listen;

        @Option(names = "--nodes", defaultValue = "4", description = "stand-in storage nodes; 4")
        private int nodes;

        @Option(
                names = "--state",
                paramLabel = "DIR",
                defaultValue = "target/state",
                description = "the folder of learned state; target/state")
        private Path state;

        @Option(
                names = "--operator",
                paramLabel = "FILE.ini",
                description = "an operator's file, in the place of the one that keeps learned state")
        private Path operator;

        private final Cli.Gateways gateways;

        Serve(Cli.Gateways gateways) {
            this.gateways = gateways;
        }

        @Override
        public Integer call() throws Exception {
            try (StandInPlatform platform = new StandInPlatform(nodes)) {
                IniFile ini = operator != null
                        ? IniFile.read(operator)
                        : new IniFile(Path.of("tryout.ini"), "[state]\nfolder = " + state.toAbsolutePath());
                var config = TryOut.config(platform, listen);
                gateways.serve(config, OperatorConfig.load(ini, config.settings(), Files::readString));
            }
            return 0;
        }
    }

    /** What a snapshot costs. */
    @Command(
            name = "capture",
            description = "Measures what a snapshot costs the loop and the keeper's thread.",
            mixinStandardHelpOptions = true)
    static final class Capture implements Callable<Integer> {
        @Option(names = "--nodes", defaultValue = "1000", description = "1000")
        private int nodes;

        @Option(names = "--volumes", defaultValue = "4096", description = "4096")
        private int volumes;

        @Option(names = "--times", defaultValue = "200", description = "200")
        private int times;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            spec.commandLine().getOut().println(CaptureCost.measure(nodes, volumes, times));
            spec.commandLine().getOut().flush();
            return 0;
        }
    }

    /** Whether the accounts blame the right one. */
    @Command(
            name = "waits",
            description = "Plays known troubles and prints on whom the accounts lay the waits that they" + " added.",
            mixinStandardHelpOptions = true)
    static final class Waits implements Callable<Integer> {
        @Option(names = "--seeds", paramLabel = "N", defaultValue = "20", description = "from 1 to this; 20")
        private int seeds;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            spec.commandLine().getOut().print(WaitTrial.table(1, seeds));
            spec.commandLine().getOut().flush();
            return 0;
        }
    }

    /** What accounts cost. */
    @Command(
            name = "accounts-cost",
            description = "Measures the CPU and the memory that accounts take, alone.",
            mixinStandardHelpOptions = true)
    static final class Cost implements Callable<Integer> {
        @Option(names = "--nodes", defaultValue = "200", description = "200")
        private int nodes;

        @Option(names = "--volumes", defaultValue = "5000", description = "5000")
        private int volumes;

        @Option(
                names = "--per-second",
                defaultValue = "50000",
                description = "requests a second of virtual time; 50000")
        private int perSecond;

        @Option(names = "--seconds", defaultValue = "120", description = "of virtual time; 120")
        private int seconds;

        @Option(names = "--record", paramLabel = "DIR", description = "records them there, for a report")
        private Path record;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws InterruptedException {
            spec.commandLine().getOut().println(AccountsCost.measure(nodes, volumes, perSecond, seconds, record));
            spec.commandLine().getOut().flush();
            return 0;
        }
    }
}
