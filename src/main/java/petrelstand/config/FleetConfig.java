package petrelstand.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import petrelstand.members.Member;
import petrelstand.members.MembershipTiming;

/**
 * Section {@code [fleet]} of the operator's file: how this gateway and others know each other.
 *
 * @param fleet the fleet's name; members of another are refused
 * @param name this gateway's in the fleet, or null: the one that the platform gave it
 * @param listen the UDP address that it listens on
 * @param advertise the address that others reach it by
 * @param seeds addresses to join by
 * @param size the agreed number of members, 0 where it is what was seen
 * @param keys the fleet's keys, the first for what is sent, all for what comes
 * @param timing how often members are pinged and how long a silence may be
 * @param folder where the incarnation is kept, or null
 * @param history a file that each change is written to as a JSON line, or null
 * @param page whether {@code GET /members} is answered
 * @param metrics whether {@code GET /metrics} has the fleet's figures
 * @param abilities what this gateway can do, for parts that ask
 */
public record FleetConfig(
        String fleetName,
        String memberName,
        String listenAddress,
        String advertisedAddress,
        List<String> seedAddresses,
        int expectedSize,
        List<byte[]> keys,
        MembershipTiming timing,
        Path incarnationFolder,
        Path historyFile,
        boolean servesPage,
        boolean servesMetrics,
        List<String> abilities) {
    private static final int LEAST_KEY = 16;
    private static final int MOST_KEY = 64;
    private static final int MOST_KEYS = 2;
    private static final int MOST_SEEDS = 64;

    public static FleetConfig of(IniFile ini, List<Path> files, OperatorConfig.TextReader reader) {
        IniFile.Section section = ini.section("fleet");
        if (section == null) {
            return null;
        }
        String listen = section.address("listen");
        List<String> seeds = words(section, "seeds");
        for (String seed : seeds) {
            try {
                GatewayConfig.requireAddress("seeds", seed);
            } catch (IllegalArgumentException e) {
                throw section.error("seeds", "has what is not an address with a port: '" + seed + "'");
            }
        }
        if (seeds.size() > MOST_SEEDS) {
            throw section.error("seeds", "has more than " + MOST_SEEDS + " addresses");
        }
        List<String> abilities = words(section, "can");
        if (abilities.size() > Member.MAX_ABILITIES
                || abilities.stream().anyMatch(a -> a.length() > Member.MAX_NAME_LENGTH)) {
            throw section.error(
                    "can",
                    "has more than " + Member.MAX_ABILITIES + " words, or one longer than " + Member.MAX_NAME_LENGTH);
        }
        Path key = ini.resolveSibling(section.text("key"));
        files.add(key);
        return new FleetConfig(
                memberName(section, "name"),
                section.has("member") ? memberName(section, "member") : null,
                listen,
                section.has("advertise") ? section.address("advertise") : listen,
                seeds,
                section.integer("size", 0, 0, 1000),
                keys(section, key, reader),
                timing(section),
                section.has("folder") ? ini.resolveSibling(section.text("folder")) : null,
                section.has("history") ? ini.resolveSibling(section.text("history")) : null,
                !section.has("page") || section.choiceIndex("page", List.of("off", "on")) == 1,
                section.has("metrics") && section.choiceIndex("metrics", List.of("off", "on")) == 1,
                abilities);
    }

    private static List<String> words(IniFile.Section section, String key) {
        String text = section.textOrDefault(key, "");
        return text.isBlank() ? List.of() : List.of(text.strip().split("[\\s,]+"));
    }

    private static String memberName(IniFile.Section section, String key) {
        String name = section.text(key);
        if (!name.matches("[A-Za-z0-9._-]{1," + Member.MAX_NAME_LENGTH + "}")) {
            throw section.error(
                    key,
                    "is not a name of 1 to " + Member.MAX_NAME_LENGTH + " letters, digits, '.', '_' or '-': '" + name
                            + "'");
        }
        return name;
    }

    private static MembershipTiming timing(IniFile.Section section) {
        MembershipTiming usual = MembershipTiming.DEFAULT;
        try {
            return new MembershipTiming(
                    section.durationUs("ping", usual.pingIntervalUs(), MembershipTiming.TICK_INTERVAL_US, 60_000_000),
                    section.durationUs("suspect_after", usual.suspectAfterUs(), 200_000, 600_000_000),
                    section.durationUs("fail_after", usual.failAfterUs(), 200_000, 600_000_000),
                    section.durationUs("retry", usual.retryIntervalUs(), 100_000, 600_000_000));
        } catch (IllegalArgumentException e) {
            if (String.valueOf(e.getMessage()).contains("[fleet]")) {
                throw e;
            }
            throw section.error(
                    "suspect_after", "must be three times ping or more, fail_after twice, and retry no less");
        }
    }

    /** One key a line, in hex; the file is its owner's alone. */
    private static List<byte[]> keys(IniFile.Section section, Path file, OperatorConfig.TextReader reader) {
        List<byte[]> keys = new ArrayList<>();
        try {
            if (Files.exists(file) && Files.getFileStore(file).supportsFileAttributeView("posix")) {
                Set<PosixFilePermission> open = Files.getPosixFilePermissions(file);
                if (open.contains(PosixFilePermission.OTHERS_READ)
                        || open.contains(PosixFilePermission.GROUP_WRITE)
                        || open.contains(PosixFilePermission.OTHERS_WRITE)) {
                    throw section.error("key", "names " + file + ", which others than its owner may read or write");
                }
            }
            for (String line : reader.read(file).split("\r?\n")) {
                if (!line.isBlank() && !line.startsWith("#")) {
                    keys.add(HexFormat.of().parseHex(line.strip()));
                }
            }
        } catch (IOException e) {
            throw section.error(
                    "key",
                    "names " + file + ", which cannot be read: " + e.getClass().getSimpleName());
        } catch (IllegalArgumentException e) {
            if (String.valueOf(e.getMessage()).contains("[fleet]")) {
                throw e;
            }
            throw section.error("key", "names " + file + ", line " + (keys.size() + 1) + " of which is not in hex");
        }
        if (keys.isEmpty()
                || keys.size() > MOST_KEYS
                || keys.stream().anyMatch(k -> k.length < LEAST_KEY || k.length > MOST_KEY)) {
            throw section.error(
                    "key",
                    "names " + file + ", which must hold one or two keys of " + 2 * LEAST_KEY + " to " + 2 * MOST_KEY
                            + " hex digits, one a line");
        }
        return List.copyOf(keys);
    }
}
