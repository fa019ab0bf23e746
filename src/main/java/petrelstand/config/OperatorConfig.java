package petrelstand.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import petrelstand.decision.Scheduling.Settings;

/**
 * The operator's own file: what is switched on beyond the platform's protocol. Each part is null where its section is
 * missing, and then costs nothing.
 *
 * @param state where learned state is kept
 * @param rsync the rsync front
 * @param accounts latency accounts
 * @param fleet how this gateway and others know each other
 * @param rules rules on which the fleet's gateways agree
 * @param jsonLog true where log lines are JSON
 * @param files this file and those it names: a change of any is a change of the whole
 */
public record OperatorConfig(
        StateConfig state,
        RsyncConfig rsync,
        AccountsConfig accounts,
        FleetConfig fleet,
        RulesConfig rules,
        boolean jsonLog,
        List<Path> files) {
    /** Where the file lies if PETRELSTAND_INI does not say; without it nothing is switched on. */
    public static final Path DEFAULT_PATH = Path.of("deploy/petrelstand.ini");

    private static final long FOLLOW_MS = 1000;

    /** The folder that learned state is kept in, and how often a snapshot is written. */
    public record StateConfig(Path folder, long snapshotIntervalUs) {
        static final long EVERY_US = 2_000_000;

        static StateConfig of(IniFile.Section section, IniFile ini) {
            return section == null
                    ? null
                    : new StateConfig(
                            ini.resolveSibling(section.text("folder")),
                            section.durationUs("every", EVERY_US, 100_000, 600_000_000));
        }
    }

    /**
     * Latency accounts: the cores that a storage node serves with, whether {@code GET /accounts} and {@code GET
     * /metrics} are answered, and the folder that they are recorded in (null: none).
     */
    public record AccountsConfig(int nodeCores, boolean servesPage, boolean servesMetrics, Path folder) {
        static AccountsConfig of(IniFile.Section section, IniFile ini) {
            return section == null
                    ? null
                    : new AccountsConfig(
                            section.integer("node_cores", 2, 1, 256),
                            !section.has("page") || section.choiceIndex("page", List.of("off", "on")) == 1,
                            section.has("metrics") && section.choiceIndex("metrics", List.of("off", "on")) == 1,
                            section.has("folder") ? ini.resolveSibling(section.text("folder")) : null);
        }
    }

    /** The file that the environment names, or the usual one; null where neither is there. */
    public static Path locate(Map<String, String> env) {
        if (env.get("PETRELSTAND_RSYNC") != null) {
            throw new IllegalArgumentException("PETRELSTAND_RSYNC is no longer read: the rsync front is set up in the"
                    + " operator's INI file, which PETRELSTAND_INI names (docs/RSYNC.md)");
        }
        String named = env.get("PETRELSTAND_INI");
        return named != null ? Path.of(named) : Files.exists(DEFAULT_PATH) ? DEFAULT_PATH : null;
    }

    /** Gives the text of a file. */
    public interface TextReader {
        String read(Path file) throws IOException;
    }

    /** Reads the file and what it names, whole; what is wrong is one line that names file, line and key. */
    public static OperatorConfig load(Path file, Settings settings) {
        return load(IniFile.read(file), settings, Files::readString);
    }

    /** Takes a file that was read, and reads those that it names. */
    public static OperatorConfig load(IniFile ini, Settings settings, TextReader reader) {
        List<Path> files = new ArrayList<>(List.of(ini.file()));
        RsyncConfig rsync = RsyncConfig.of(ini, settings, files, reader);
        IniFile.Section log = ini.section("log");
        boolean json = log != null && log.choiceIndex("form", List.of("text", "json")) == 1;
        FleetConfig fleet = FleetConfig.of(ini, files, reader);
        OperatorConfig config = new OperatorConfig(
                StateConfig.of(ini.section("state"), ini),
                rsync,
                AccountsConfig.of(ini.section("accounts"), ini),
                fleet,
                RulesConfig.of(ini, fleet, settings, files, reader),
                json,
                List.copyOf(files));
        ini.rejectUnread();
        return config;
    }

    /**
     * Watches the files on a thread of its own, since reading them may block, and hands on what they say when one
     * changes, or the one line that is wrong with them.
     */
    public Thread startWatching(Settings settings, Consumer<OperatorConfig> changed, Consumer<String> wrong) {
        List<FileTime> first = modified(files);
        Thread thread = new Thread(
                () -> {
                    List<Path> watched = files;
                    List<FileTime> seen = first;
                    while (!Thread.currentThread().isInterrupted()) {
                        try {
                            Thread.sleep(FOLLOW_MS);
                        } catch (InterruptedException e) {
                            return;
                        }
                        List<FileTime> now = modified(watched);
                        if (!now.equals(seen)) {
                            seen = now;
                            try {
                                OperatorConfig read = load(files.get(0), settings);
                                watched = read.files();
                                seen = modified(watched);
                                changed.accept(read);
                            } catch (IllegalArgumentException e) {
                                wrong.accept(e.getMessage());
                            }
                        }
                    }
                },
                "operator-file");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static List<FileTime> modified(List<Path> files) {
        List<FileTime> times = new ArrayList<>();
        for (Path file : files) {
            try {
                times.add(Files.getLastModifiedTime(file));
            } catch (IOException e) {
                times.add(FileTime.fromMillis(0));
            }
        }
        return times;
    }
}
