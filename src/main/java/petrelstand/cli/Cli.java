package petrelstand.cli;

import petrelstand.config.GatewayConfig;
import petrelstand.config.OperatorConfig;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IFactory;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The command line, on picocli. What the platform starts ({@code serve}, {@code wirehost}) goes past it, since a start
 * has no time for it; here they are only listed, and started where they come with options.
 */
@Command(
        name = "petrelstand",
        description = "The gateway before chart storage, and its tools.",
        subcommands = {
            StateCommand.class,
            AccountsCommand.class,
            FleetCommand.class,
            RulesCommand.class,
            LabCommand.class
        },
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class)
public final class Cli implements Runnable {
    @Spec
    private CommandSpec spec;

    private Cli() {}

    /** Serves as a gateway to the end, as the two files say; the second may be null. */
    public interface Gateways {
        void serve(GatewayConfig config, OperatorConfig operator) throws Exception;
    }

    /** The line of commands, ready to run; the plain commands are run as they are given. */
    public static CommandLine line(Runnable serve, Runnable wirehost, Runnable rehearse, Gateways gateways) {
        IFactory usual = CommandLine.defaultFactory();
        return new CommandLine(new Cli(), new IFactory() {
                    @Override
                    public <K> K create(Class<K> kind) throws Exception {
                        return kind == LabCommand.Serve.class
                                ? kind.cast(new LabCommand.Serve(gateways))
                                : usual.create(kind);
                    }
                })
                .addSubcommand("serve", new Plain(serve, "One gateway, as RELAY_CONFIG says; nothing else is asked."))
                .addSubcommand("wirehost", new Plain(wirehost, "The decisions on the simulator's wire."))
                .addSubcommand("rehearse", new Plain(rehearse, "A start and an end, for the build."));
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "Missing required subcommand");
    }

    /** A command without options of its own. */
    @Command(mixinStandardHelpOptions = true)
    private static final class Plain implements Runnable {
        private final Runnable action;
        private final String what;

        Plain(Runnable action, String what) {
            this.action = action;
            this.what = what;
        }

        @Spec
        void describe(CommandSpec of) {
            of.usageMessage().description(what);
        }

        @Override
        public void run() {
            action.run();
        }
    }

    /** The version in the jar's manifest. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Cli.class.getPackage().getImplementationVersion();
            return new String[] {"petrelstand " + (version == null ? "(not from a jar)" : version)};
        }
    }
}
