package petrelstand.cli;

import com.google.gson.GsonBuilder;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import petrelstand.accounts.LatencyHistory;
import petrelstand.report.HtmlReport;
import petrelstand.report.TextReport;
import petrelstand.report.WaitReport;
import petrelstand.store.AccountsRecord;
import petrelstand.store.FileFormatException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code petrelstand accounts}: reads what a gateway has recorded of who waited for whom. Takes no lock. */
@Command(
        name = "accounts",
        description = "Reads recorded latency accounts.",
        subcommands = AccountsCommand.ReportCommand.class,
        mixinStandardHelpOptions = true)
final class AccountsCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "Missing required subcommand");
    }

    /** The report. */
    @Command(
            name = "report",
            description = "Who waited for whom, the worst seconds with their causes, and percentiles by" + " phase.",
            mixinStandardHelpOptions = true)
    static final class ReportCommand implements Callable<Integer> {
        private static final long MOST_FILE = 64L << 20;

        @Parameters(paramLabel = "FILE|DIR", arity = "1..*", description = "record files, or folders of them")
        private List<Path> where;

        @Option(
                names = "--from",
                paramLabel = "TIME",
                description = "first second, as 2026-12-01T12:00:00Z or Unix time")
        private String from;

        @Option(names = "--to", paramLabel = "TIME", description = "last second, counted in")
        private String to;

        @Option(names = "--node", description = "a node's number in hex, with or without s-")
        private String node;

        @Option(names = "--volume", description = "a waiting volume, 16 hex digits")
        private String volume;

        @Option(names = "--class", description = "a waiting class")
        private String requestClass;

        @Option(names = "--json", description = "as JSON on standard output")
        private boolean json;

        @Option(names = "--html", paramLabel = "OUT", description = "writes a page there")
        private Path html;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            AccountsRecord.NameTable names = null;
            List<LatencyHistory.SecondStats> seconds = new ArrayList<>();
            List<AccountsRecord.MinuteRecord> minutes = new ArrayList<>();
            List<Path> files = files();
            for (Path file : files) {
                try {
                    if (Files.size(file) > MOST_FILE) {
                        throw new IOException("it is longer than " + MOST_FILE + " bytes");
                    }
                    AccountsRecord.Content content = AccountsRecord.read(Files.readAllBytes(file));
                    names = content.names();
                    seconds.addAll(content.seconds());
                    minutes.addAll(content.minutes());
                    if (content.fault() != null) {
                        err.println(file + ": " + content.fault() + "; what stands before it counts");
                    }
                } catch (IOException | FileFormatException e) {
                    err.println(file + ": " + e.getMessage());
                }
            }
            err.flush();
            if (files.isEmpty()) {
                err.println("there is no record to report on");
            }
            if (names == null) {
                return 1;
            }
            int place = requestClass == null ? -1 : names.classes().indexOf(requestClass);
            if (requestClass != null && place < 0) {
                throw new ParameterException(
                        spec.commandLine(), "--class is none of " + names.classes() + ": '" + requestClass + "'");
            }
            long first = second("--from", from, 0);
            long last = second("--to", to, Long.MAX_VALUE);
            WaitReport report = WaitReport.summarize(
                    seconds,
                    new WaitReport.Query(
                            first,
                            last,
                            hex("--node", node == null ? null : node.replaceFirst("^s-", "")),
                            hex("--volume", volume),
                            place));
            List<AccountsRecord.MinuteRecord> within = minutes.stream()
                    .filter(minute -> minute.fromSecond() + 59 >= first && minute.fromSecond() <= last)
                    .toList();
            if (html != null) {
                Files.writeString(html, HtmlReport.render(report, names, within));
            }
            if (json) {
                out.println(
                        new GsonBuilder().setPrettyPrinting().create().toJson(TextReport.json(report, names, within)));
            } else if (html == null) {
                out.print(TextReport.text(report, names, within));
            }
            out.flush();
            return 0;
        }

        /** The files, in the order of their numbers. */
        private List<Path> files() throws IOException {
            List<Path> all = new ArrayList<>();
            for (Path one : where) {
                if (Files.isDirectory(one)) {
                    try (Stream<Path> files = Files.list(one)) {
                        files.filter(file -> file.getFileName().toString().matches("accounts-[0-9]{1,15}\\.log"))
                                .sorted(Comparator.comparingLong(file -> Long.parseLong(
                                        file.getFileName().toString().replaceAll("[^0-9]", ""))))
                                .forEach(all::add);
                    }
                } else {
                    all.add(one);
                }
            }
            return all;
        }

        private long second(String option, String text, long otherwise) {
            try {
                return text == null
                        ? otherwise
                        : text.matches("[0-9]{1,12}")
                                ? Long.parseLong(text)
                                : Instant.parse(text).getEpochSecond();
            } catch (DateTimeParseException e) {
                throw new ParameterException(
                        spec.commandLine(), option + " is no time such as 2026-12-01T12:00:00Z: '" + text + "'");
            }
        }

        private Long hex(String option, String text) {
            try {
                return text == null ? null : Long.valueOf(Long.parseUnsignedLong(text, 16));
            } catch (NumberFormatException e) {
                throw new ParameterException(spec.commandLine(), option + " is no number in hex: '" + text + "'");
            }
        }
    }
}
