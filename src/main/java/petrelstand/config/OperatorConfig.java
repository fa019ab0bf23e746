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
 * The operator's INI file: the optional features beyond the platform's protocol. A feature is null, and off, if its
 * section is missing.
 *
 * @param state the storage of learned state
 * @param rsync the rsync front
 * @param accounts latency accounts
 * @param fleet membership of the fleet of gateways
 * @param rules the rules on which the fleet's gateways agree
 * @param jsonLog true if log lines are written as JSON
 * @param files this file and those that it names; a change of any of them reloads all
 */
public record OperatorConfig(
        StateConfig state,
        RsyncConfig rsync,
        AccountsConfig accounts,
        FleetConfig fleet,
        RulesConfig rules,
        boolean jsonLog,
        List<Path> files) {
    /** Read if PETRELSTAND_INI is not set; if this file does not exist either, all features are off. */
    public static final Path DEFAULT_PATH = Path.of("deploy/petrelstand.ini");

    private static final long POLL_INTERVAL_MS = 1000;

    /**
     * Section {@code [state]}.
     *
     * @param folder where learned state is stored
     * @param snapshotIntervalUs between two snapshots
     */
    public record StateConfig(Path folder, long snapshotIntervalUs) {
        static final long DEFAULT_SNAPSHOT_INTERVAL_US = 2_000_000;

        static StateConfig of(IniFile.Section section, IniFile ini) {
            return section == null
                    ? null
                    : new StateConfig(
                            ini.resolveSibling(section.text("folder")),
                            section.durationUs("every", DEFAULT_SNAPSHOT_INTERVAL_US, 100_000, 600_000_000));
        }
    }

    /**
     * Section {@code [accounts]}: latency accounts.
     *
     * @param nodeCores the number of cores of a storage node
     * @param servesPage whether {@code GET /accounts} is answered
     * @param servesMetrics whether {@code GET /metrics} includes them
     * @param folder where they are recorded, or null
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

    /** Returns the file that PETRELSTAND_INI names, else the default path if it exists, else null. */
    public static Path locate(Map<String, String> env) {
        if (env.get("PETRELSTAND_RSYNC") != null) {
            throw new IllegalArgumentException("PETRELSTAND_RSYNC is no longer read: the rsync front is set up in the"
                    + " operator's INI file, which PETRELSTAND_INI names (docs/RSYNC.md)");
        }
        String configured = env.get("PETRELSTAND_INI");
        return configured != null ? Path.of(configured) : Files.exists(DEFAULT_PATH) ? DEFAULT_PATH : null;
    }

    /** Reads the text of a file. */
    public interface TextReader {
        String read(Path file) throws IOException;
    }

    /**
     * Reads the file and the files that it names.
     *
     * @throws IllegalArgumentException with one line that names file, line and key
     */
    public static OperatorConfig load(Path file, Settings settings) {
        return load(IniFile.read(file), settings, Files::readString);
    }

    /** Reads the configuration from a parsed file, and the files that it names through the reader. */
    public static OperatorConfig load(IniFile ini, Settings settings, TextReader reader) {
        List<Path> files = new ArrayList<>(List.of(ini.file()));
        RsyncConfig rsync = RsyncConfig.of(ini, settings, files, reader);
        IniFile.Section log = ini.section("log");
        boolean jsonLog = log != null && log.choiceIndex("form", List.of("text", "json")) == 1;
        FleetConfig fleet = FleetConfig.of(ini, files, reader);
        OperatorConfig config = new OperatorConfig(
                StateConfig.of(ini.section("state"), ini),
                rsync,
                AccountsConfig.of(ini.section("accounts"), ini),
                fleet,
                RulesConfig.of(ini, fleet, settings, files, reader),
                jsonLog,
                List.copyOf(files));
        ini.rejectUnread();
        return config;
    }

    /**
     * Polls the files for changes on a daemon thread, since reading them may block. Both callbacks run on that thread.
     *
     * @param changed receives the new configuration
     * @param failed receives a line that says why the changed files were rejected
     */
    public Thread startWatching(Settings settings, Consumer<OperatorConfig> changed, Consumer<String> failed) {
        List<FileTime> initialTimes = modificationTimes(files);
        Thread thread = new Thread(
                () -> {
                    List<Path> watched = files;
                    List<FileTime> lastTimes = initialTimes;
                    while (!Thread.currentThread().isInterrupted()) {
                        try {
                            Thread.sleep(POLL_INTERVAL_MS);
                        } catch (InterruptedException e) {
                            return;
                        }
                        List<FileTime> currentTimes = modificationTimes(watched);
                        if (!currentTimes.equals(lastTimes)) {
                            lastTimes = currentTimes;
                            try {
                                OperatorConfig reloaded = load(files.get(0), settings);
                                watched = reloaded.files();
                                lastTimes = modificationTimes(watched);
                                changed.accept(reloaded);
                            } catch (IllegalArgumentException e) {
                                failed.accept(e.getMessage());
                            }
                        }
                    }
                },
                "operator-file");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Returns the modification time of each file; the epoch for a file that cannot be read. */
    private static List<FileTime> modificationTimes(List<Path> files) {
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
