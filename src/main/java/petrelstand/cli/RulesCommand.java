package petrelstand.cli;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonSyntaxException;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import petrelstand.agreement.RegistryCommand;
import petrelstand.agreement.RulesMessage;
import petrelstand.config.FleetConfig;
import petrelstand.config.IniFile;
import petrelstand.config.RulesText;
import petrelstand.consensus.QuorumRecovery;
import petrelstand.consensus.RaftFiles;
import petrelstand.fleet.RulesClient;
import petrelstand.store.DiskFolder;
import petrelstand.store.FileFormatException;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code petrelstand rules}: what gateways agree on, looked at and changed. */
@CommandLine.Command(
        name = "rules",
        description = "Rules on which a fleet's gateways agree (docs/RULES.md).",
        subcommands = {
            RulesCommand.Check.class,
            RulesCommand.Show.class,
            RulesCommand.Diff.class,
            RulesCommand.History.class,
            RulesCommand.Who.class,
            RulesCommand.Propose.class,
            RulesCommand.Rollback.class,
            RulesCommand.Withdraw.class,
            RulesCommand.Forget.class,
            RulesCommand.AddVoter.class,
            RulesCommand.RemoveVoter.class,
            RulesCommand.Recover.class
        },
        mixinStandardHelpOptions = true)
final class RulesCommand implements Runnable {
    private static final Duration PATIENCE = Duration.ofSeconds(3);
    private static final int REFUSED = 1;
    private static final int NO_ANSWER = 2;
    private static final int NOT_ALL = 3;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Missing required subcommand");
    }

    /** What cannot be done, in one line, with the exit code. */
    private static final class Fault extends Exception {
        private static final long serialVersionUID = 1;
        final int code;

        Fault(int code, String line) {
            super(line);
            this.code = code;
        }
    }

    /** What all that ask a running gateway share. */
    private abstract static class Asking implements Callable<Integer> {
        @Option(
                names = "--at",
                paramLabel = "ADDRESS",
                defaultValue = "127.0.0.1:9000",
                description = "where a gateway listens for clients; one that votes knows versions; 127.0.0.1:9000")
        String at;

        @Option(names = "--json", description = "as JSON")
        boolean json;

        @Spec
        CommandSpec spec;

        PrintWriter out() {
            return spec.commandLine().getOut();
        }

        @Override
        public Integer call() throws IOException, InterruptedException {
            try {
                int code = act();
                out().flush();
                return code;
            } catch (Fault e) {
                out().flush();
                spec.commandLine().getErr().println(e.getMessage());
                return e.code;
            }
        }

        abstract int act() throws Fault, IOException, InterruptedException;

        JsonObject page(String address) throws Fault, InterruptedException {
            try {
                HttpResponse<String> answer = HttpClient.newBuilder()
                        .connectTimeout(PATIENCE)
                        .build()
                        .send(
                                HttpRequest.newBuilder(URI.create("http://" + address + "/rules"))
                                        .timeout(PATIENCE)
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
                if (answer.statusCode() != 200) {
                    throw new Fault(
                            NO_ANSWER,
                            address + ": it answers " + answer.statusCode()
                                    + " (is [rules] in its operator's file, with page = on?)");
                }
                return JsonParser.parseString(answer.body()).getAsJsonObject();
            } catch (IOException | IllegalArgumentException | JsonSyntaxException e) {
                throw new Fault(
                        NO_ANSWER,
                        address + ": no rules: "
                                + (e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage()));
            }
        }

        JsonObject version(JsonObject page, long number) throws Fault {
            if (!page.has("versions")) {
                throw new Fault(REFUSED, at + " does not vote and keeps no versions; ask one of the voters");
            }
            for (JsonElement one : page.getAsJsonArray("versions")) {
                if (one.getAsJsonObject().get("version").getAsLong() == number) {
                    return one.getAsJsonObject();
                }
            }
            throw new Fault(REFUSED, "version " + number + " is not kept at " + at);
        }

        void pretty(JsonElement element) {
            out().println(new GsonBuilder().setPrettyPrinting().create().toJson(element));
        }
    }

    private static String text(JsonObject from, String key) {
        return from.get(key).getAsString();
    }

    private static String readText(Path file) throws Fault {
        try {
            String text = Files.readString(file, StandardCharsets.UTF_8);
            RulesText.parse(file.toString(), text, null);
            return text;
        } catch (IOException e) {
            throw new Fault(REFUSED, file + " cannot be read: " + e.getClass().getSimpleName());
        } catch (IllegalArgumentException e) {
            throw new Fault(REFUSED, e.getMessage());
        }
    }

    /** Checks a file without a gateway. */
    @CommandLine.Command(
            name = "check",
            description = "Checks a file of rules: ends with 0, or 1 and one line that names" + " file, line and key.",
            mixinStandardHelpOptions = true)
    static final class Check extends Asking {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        int act() throws Fault {
            readText(file);
            out().println(file + ": sound");
            return 0;
        }
    }

    /** Shows what a gateway acts on. */
    @CommandLine.Command(
            name = "show",
            description = "What a gateway acts on, or the text of a version.",
            mixinStandardHelpOptions = true)
    static final class Show extends Asking {
        @Parameters(paramLabel = "VERSION", arity = "0..1")
        private Long version;

        @Override
        int act() throws Fault, InterruptedException {
            JsonObject page = page(at);
            if (version != null) {
                out().print(text(version(page, version), "text"));
            } else if (json) {
                pretty(page);
            } else {
                out().println(text(page, "name") + " acts on version " + text(page, "acts_on") + " ("
                        + text(page, "mode")
                        + ") for " + page.get("for_ms").getAsLong() / 1000 + " s; active " + text(page, "active")
                        + (page.get("waiting").getAsLong() > 0 ? ", " + text(page, "waiting") + " waits" : "")
                        + "; leader "
                        + (text(page, "leader").isEmpty() ? "not known" : text(page, "leader")));
                page.getAsJsonObject("rules")
                        .entrySet()
                        .forEach(rule -> out().println("  " + rule.getKey() + " = "
                                + rule.getValue().getAsString()));
            }
            return 0;
        }
    }

    /** Says where two versions differ. */
    @CommandLine.Command(
            name = "diff",
            description = "Lines that are in one version and not in another.",
            mixinStandardHelpOptions = true)
    static final class Diff extends Asking {
        @Parameters(paramLabel = "A", index = "0")
        private long one;

        @Parameters(paramLabel = "B", index = "1")
        private long two;

        @Override
        int act() throws Fault, InterruptedException {
            JsonObject page = page(at);
            String[] a = text(version(page, one), "text").split("\n");
            String[] b = text(version(page, two), "text").split("\n");
            differences(a, b).forEach(out()::println);
            return 0;
        }

        /** The lines of both in order, by the longest common run of lines; those in common are left out. */
        static List<String> differences(String[] a, String[] b) {
            int[][] common = new int[a.length + 1][b.length + 1];
            for (int i = a.length - 1; i >= 0; i--) {
                for (int j = b.length - 1; j >= 0; j--) {
                    common[i][j] =
                            a[i].equals(b[j]) ? common[i + 1][j + 1] + 1 : Math.max(common[i + 1][j], common[i][j + 1]);
                }
            }
            List<String> lines = new ArrayList<>();
            int i = 0;
            int j = 0;
            while (i < a.length || j < b.length) {
                if (i < a.length && j < b.length && a[i].equals(b[j])) {
                    i++;
                    j++;
                } else if (j == b.length || i < a.length && common[i + 1][j] >= common[i][j + 1]) {
                    lines.add("-" + (i + 1) + " " + a[i++]);
                } else {
                    lines.add("+" + (j + 1) + " " + b[j++]);
                }
            }
            return lines;
        }
    }

    /** Lists versions. */
    @CommandLine.Command(
            name = "history",
            description = "The versions that are kept: who, when, why.",
            mixinStandardHelpOptions = true)
    static final class History extends Asking {
        @Override
        int act() throws Fault, InterruptedException {
            JsonObject page = page(at);
            version(page, page.get("newest").getAsLong());
            if (json) {
                pretty(page.get("versions"));
                return 0;
            }
            for (JsonElement element : page.getAsJsonArray("versions")) {
                JsonObject one = element.getAsJsonObject();
                out().printf(
                                "%5d on %5d  %-9s  %s  %s: %s%n",
                                one.get("version").getAsLong(),
                                one.get("base").getAsLong(),
                                text(one, "state"),
                                Instant.ofEpochMilli(one.get("wall_ms").getAsLong()),
                                text(one, "who"),
                                text(one, "why"));
            }
            return 0;
        }
    }

    /** Says which gateway acts on what. */
    @CommandLine.Command(
            name = "who",
            description = "Which gateway acts on which version, since when, as the leader knows"
                    + " it; asked of any voter's address, with commas. Ends with 3 where not all act on the newest.",
            mixinStandardHelpOptions = true)
    static final class Who extends Asking {
        @Override
        int act() throws Fault, InterruptedException {
            Fault last = null;
            for (String address : at.split(",")) {
                try {
                    JsonObject page = page(address);
                    if (page.has("who")) {
                        return print(page);
                    }
                    last = new Fault(
                            NO_ANSWER,
                            address + " does not lead; the leader is "
                                    + (text(page, "leader").isEmpty() ? "not known" : text(page, "leader"))
                                    + ": ask there");
                } catch (Fault e) {
                    last = e;
                }
            }
            throw last;
        }

        private int print(JsonObject page) {
            if (json) {
                pretty(page.get("who"));
            }
            boolean all = true;
            long newest =
                    Math.max(page.get("active").getAsLong(), page.get("waiting").getAsLong());
            List<String> heard = new ArrayList<>();
            for (JsonElement element : page.getAsJsonArray("who")) {
                JsonObject one = element.getAsJsonObject();
                heard.add(text(one, "name"));
                all &= one.get("acts_on").getAsLong() == newest;
                if (!json) {
                    out().printf(
                                    "%-16s acts on %d for %d s, has %d, lease %d ms, heard %d ms ago%s%n",
                                    text(one, "name"),
                                    one.get("acts_on").getAsLong(),
                                    one.get("for_ms").getAsLong() / 1000,
                                    one.get("has").getAsLong(),
                                    one.get("lease_ms").getAsLong(),
                                    one.get("heard_ms").getAsLong(),
                                    text(one, "refuses").isEmpty() ? "" : ", can't load it: " + text(one, "refuses"));
                }
            }
            for (JsonElement name : page.getAsJsonArray("gateways")) {
                if (!heard.contains(name.getAsString())) {
                    all = false;
                    if (!json) {
                        out().printf("%-16s is not heard: it acts on floors, or on nothing%n", name.getAsString());
                    }
                }
            }
            return all ? 0 : NOT_ALL;
        }
    }

    /** What all that change something share. */
    private abstract static class Changing extends Asking {
        @Option(
                names = "--operator",
                paramLabel = "FILE",
                defaultValue = "deploy/petrelstand.ini",
                description = "a gateway's INI file: its [fleet] gives name, key and seeds; deploy/petrelstand.ini")
        private Path operator;

        @Option(names = "--who", paramLabel = "NAME", description = "who changes it; the user's name")
        private String who;

        @Option(names = "--why", paramLabel = "TEXT", required = true, description = "why, kept with the version")
        String why;

        @Option(
                names = "--from",
                paramLabel = "IP",
                defaultValue = "127.0.0.1",
                description = "an address of this machine that the gateways reach; 127.0.0.1")
        private String from;

        @Option(
                names = "--patience",
                paramLabel = "S",
                defaultValue = "10",
                description = "seconds to go on asking; 10")
        long patienceS;

        String who() {
            String name = who == null ? System.getProperty("user.name", "operator") : who;
            return name.substring(0, Math.min(name.length(), RegistryCommand.MAX_AUTHOR_CHARS));
        }

        String why() {
            return why.substring(0, Math.min(why.length(), RegistryCommand.MAX_REASON_CHARS));
        }

        RulesClient client() throws Fault {
            try {
                IniFile ini = IniFile.read(operator);
                FleetConfig fleet = FleetConfig.of(ini, new ArrayList<>(), Files::readString);
                if (fleet == null) {
                    throw new Fault(REFUSED, operator + " has no section [fleet]");
                }
                List<String> gateways = new ArrayList<>(fleet.seedAddresses());
                if (!gateways.contains(fleet.advertisedAddress())) {
                    gateways.add(fleet.advertisedAddress());
                }
                return new RulesClient(fleet.fleetName(), fleet.keys(), gateways, from);
            } catch (IOException | IllegalArgumentException e) {
                throw new Fault(REFUSED, e.getMessage());
            }
        }

        int told(RulesMessage.RequestAnswer taken, String done) throws Fault {
            if (taken == null) {
                throw new Fault(
                        NO_ANSWER,
                        "nobody who leads answered in " + patienceS
                                + " s; it may have been taken: look with 'rules history' before you ask again");
            }
            if (!taken.error().isEmpty()) {
                throw new Fault(REFUSED, "refused: " + taken.error());
            }
            out().println(done.replace("%", Long.toString(taken.version())));
            return 0;
        }

        int propose(long base, String text, boolean await) throws Fault, IOException, InterruptedException {
            RulesMessage.RequestAnswer taken;
            try (RulesClient client = client()) {
                taken = client.propose(base, who(), why(), text, patienceS * 1000);
            }
            told(taken, "version % is agreed on and waits until all have it");
            return await ? await(taken.version()) : 0;
        }

        /** Ends when all act on it, or tells who does not. */
        private int await(long version) throws Fault, InterruptedException {
            long untilNs = System.nanoTime() + patienceS * 1_000_000_000L;
            List<String> missing = List.of("the leader's page is not at " + at);
            while (System.nanoTime() < untilNs) {
                for (String address : at.split(",")) {
                    JsonObject page = page(address);
                    if (page.has("who")) {
                        missing = missing(page, version);
                    }
                }
                if (missing.isEmpty()) {
                    out().println("version " + version + " is acted on by all");
                    return 0;
                }
                Thread.sleep(100);
            }
            missing.forEach(out()::println);
            return NOT_ALL;
        }

        private static List<String> missing(JsonObject page, long version) {
            List<String> missing = new ArrayList<>();
            List<String> heard = new ArrayList<>();
            for (JsonElement element : page.getAsJsonArray("who")) {
                JsonObject one = element.getAsJsonObject();
                heard.add(text(one, "name"));
                if (one.get("acts_on").getAsLong() < version) {
                    missing.add(text(one, "name") + " acts on version " + text(one, "acts_on") + ", has "
                            + text(one, "has")
                            + (text(one, "refuses").isEmpty() ? "" : ", can't load it: " + text(one, "refuses")));
                }
            }
            for (JsonElement name : page.getAsJsonArray("gateways")) {
                if (!heard.contains(name.getAsString())) {
                    missing.add(name.getAsString() + " is not heard: it acts on floors, or on nothing");
                }
            }
            return missing;
        }
    }

    /** Proposes a file as the next version. */
    @CommandLine.Command(
            name = "propose",
            description = "Proposes a file as the next version, on a named base.",
            mixinStandardHelpOptions = true)
    static final class Propose extends Changing {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Option(
                names = "--base",
                paramLabel = "VERSION",
                description = "the version that it changes; refused where another"
                        + " is the newest. Left out, the newest that the gateway at --at knows")
        private Long base;

        @Option(names = "--wait", description = "ends when all act on it, or tells who does not")
        private boolean await;

        @Override
        int act() throws Fault, IOException, InterruptedException {
            String text = readText(file);
            long on = base != null ? base : newest();
            return propose(on, text, await);
        }

        private long newest() throws Fault, InterruptedException {
            JsonObject page = page(at.split(",")[0]);
            if (!page.has("newest")) {
                throw new Fault(REFUSED, at + " does not vote; name the base with --base, or ask a voter");
            }
            return page.get("newest").getAsLong();
        }
    }

    /** Makes an old text the next version. */
    @CommandLine.Command(
            name = "rollback",
            description = "Proposes the text of an older version as the next one.",
            mixinStandardHelpOptions = true)
    static final class Rollback extends Changing {
        @Parameters(paramLabel = "VERSION")
        private long version;

        @Option(names = "--wait", description = "ends when all act on it, or tells who does not")
        private boolean await;

        @Override
        int act() throws Fault, IOException, InterruptedException {
            JsonObject page = page(at.split(",")[0]);
            return propose(page.get("newest").getAsLong(), text(version(page, version), "text"), await);
        }
    }

    /** What all orders share: one name or version, one answer. */
    private abstract static class Ordering extends Changing {
        int order(String verb, long version, String name, String done) throws Fault, IOException {
            try (RulesClient client = client()) {
                return told(client.order(verb, version, name, who(), why(), patienceS * 1000), done);
            }
        }
    }

    /** Gives up a version that waits. */
    @CommandLine.Command(
            name = "withdraw",
            description = "Gives up the version that waits.",
            mixinStandardHelpOptions = true)
    static final class Withdraw extends Ordering {
        @Parameters(paramLabel = "VERSION")
        private long version;

        @Override
        int act() throws Fault, IOException {
            return order("withdraw", version, "", "version " + version + " is withdrawn");
        }
    }

    /** Makes a gateway a voter. */
    @CommandLine.Command(
            name = "add-voter",
            description = "Makes a gateway a voter, whose file has may_vote = yes; it listens" + " for 2 s first.",
            mixinStandardHelpOptions = true)
    static final class AddVoter extends Ordering {
        @Parameters(paramLabel = "NAME")
        private String name;

        @Override
        int act() throws Fault, IOException {
            return order("add-voter", 0, name, name + " votes");
        }
    }

    /** Takes a voter's vote away. */
    @CommandLine.Command(
            name = "remove-voter",
            description =
                    "Takes a voter's vote away, also of one that is gone; it goes on" + " to act on what is agreed.",
            mixinStandardHelpOptions = true)
    static final class RemoveVoter extends Ordering {
        @Parameters(paramLabel = "NAME")
        private String name;

        @Override
        int act() throws Fault, IOException {
            return order("remove-voter", 0, name, name + " does not vote");
        }
    }

    /** Drops a gateway that is gone for good. */
    @CommandLine.Command(
            name = "forget",
            description = "Drops a gateway that is gone for good: its floors are no longer" + " kept free.",
            mixinStandardHelpOptions = true)
    static final class Forget extends Ordering {
        @Parameters(paramLabel = "NAME")
        private String name;

        @Override
        int act() throws Fault, IOException {
            return order("forget", 0, name, name + " is forgotten");
        }
    }

    /** Begins a new epoch from one voter's folder. */
    @CommandLine.Command(
            name = "recover",
            description = "After a majority of voters is lost for ever: makes one former voter's"
                    + " folder the beginning of a new epoch, with that voter alone. First shows what the folder holds and a word; with"
                    + " --confirm WORD and the names of all other voters in --give-up it writes. Its gateway, and all former voters, must"
                    + " be ended.",
            mixinStandardHelpOptions = true)
    static final class Recover implements Callable<Integer> {
        @Parameters(
                paramLabel = "FOLDER",
                description = "the [rules] folder of a former voter, the one with the highest version")
        private Path folder;

        @Option(
                names = "--give-up",
                paramLabel = "NAMES",
                split = ",",
                description = "all other voters of the folder's group")
        private List<String> givenUp = List.of();

        @Option(names = "--confirm", paramLabel = "WORD", description = "the word that the first call showed")
        private String word;

        @Option(names = "--who", paramLabel = "NAME", description = "who does it; the user's name")
        private String who;

        @Option(names = "--why", paramLabel = "TEXT", required = true, description = "why, kept with the version")
        private String why;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            if (!Files.isDirectory(folder)) {
                err.println(folder + " is not a folder");
                return REFUSED;
            }
            try (DiskFolder disk = new DiskFolder(folder)) {
                QuorumRecovery recovery = new QuorumRecovery(new RaftFiles(disk, out::println));
                List<String> others = new ArrayList<>(recovery.voters());
                others.remove(recovery.voterName());
                out.println(folder + " is " + recovery.voterName() + "'s: acted on is version "
                        + recovery.registry().active()
                        + ", the newest is " + recovery.registry().newest() + "; the other voters are "
                        + String.join(",", others)
                        + "; the word is " + recovery.fingerprint());
                if (word == null) {
                    out.println("nothing was written");
                    return NOT_ALL;
                }
                if (!word.equals(recovery.fingerprint()) || !new TreeSet<>(others).equals(new TreeSet<>(givenUp))) {
                    err.println(
                            "not written: --confirm must be the word, and --give-up name the other voters, all of them");
                    return REFUSED;
                }
                String name = who == null ? System.getProperty("user.name", "operator") : who;
                long version = recovery.write(
                        name.substring(0, Math.min(name.length(), RegistryCommand.MAX_AUTHOR_CHARS)),
                        why.substring(0, Math.min(why.length(), RegistryCommand.MAX_REASON_CHARS - 20)),
                        System.currentTimeMillis(),
                        new SecureRandom().nextInt());
                out.println("version " + version + " is the first of a new epoch; start " + recovery.voterName()
                        + ", then add the other voters with empty folders");
                return 0;
            } catch (IOException | FileFormatException e) {
                err.println(folder + ": " + e.getMessage());
                return REFUSED;
            } finally {
                out.flush();
            }
        }
    }
}
