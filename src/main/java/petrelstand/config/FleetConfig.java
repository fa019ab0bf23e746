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
 * Section {@code [fleet]} of the operator's file: this gateway's membership in a fleet of gateways.
 *
 * @param fleetName messages of fleets with another name are rejected
 * @param memberName this gateway's name in the fleet, or null to use the name from the platform
 * @param listenAddress the UDP address to listen on
 * @param advertisedAddress the address at which other members reach this gateway
 * @param seedAddresses addresses of members through which it joins
 * @param expectedSize the agreed number of members, or 0 to use the number of members seen
 * @param keys secret keys; the first one seals outgoing messages, each one opens incoming ones
 * @param timing intervals and timeouts of failure detection
 * @param incarnationFolder where the incarnation number is stored, or null
 * @param historyFile a file that gets a JSON line for each change of a member, or null
 * @param servesPage whether {@code GET /members} is answered
 * @param servesMetrics whether {@code GET /metrics} includes the fleet's metrics
 * @param abilities words that tell other members what this gateway supports
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
    private static final int MIN_KEY_BYTES = 16;
    private static final int MAX_KEY_BYTES = 64;
    private static final int MAX_KEYS = 2;
    private static final int MAX_SEEDS = 64;

    /** Reads the section; null if the file has none. Adds the key file to {@code files}. */
    public static FleetConfig of(IniFile ini, List<Path> files, OperatorConfig.TextReader reader) {
        IniFile.Section section = ini.section("fleet");
        if (section == null) {
            return null;
        }
        String listenAddress = section.address("listen");
        List<String> seedAddresses = words(section, "seeds");
        for (String seed : seedAddresses) {
            try {
                GatewayConfig.requireAddress("seeds", seed);
            } catch (IllegalArgumentException e) {
                throw section.error("seeds", "has what is not an address with a port: '" + seed + "'");
            }
        }
        if (seedAddresses.size() > MAX_SEEDS) {
            throw section.error("seeds", "has more than " + MAX_SEEDS + " addresses");
        }
        List<String> abilities = words(section, "can");
        if (abilities.size() > Member.MAX_ABILITIES
                || abilities.stream().anyMatch(ability -> ability.length() > Member.MAX_NAME_LENGTH)) {
            throw section.error(
                    "can",
                    "has more than " + Member.MAX_ABILITIES + " words, or one longer than " + Member.MAX_NAME_LENGTH);
        }
        Path keyFile = ini.resolveSibling(section.text("key"));
        files.add(keyFile);
        return new FleetConfig(
                validName(section, "name"),
                section.has("member") ? validName(section, "member") : null,
                listenAddress,
                section.has("advertise") ? section.address("advertise") : listenAddress,
                seedAddresses,
                section.integer("size", 0, 0, 1000),
                readKeys(section, keyFile, reader),
                readTiming(section),
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

    private static String validName(IniFile.Section section, String key) {
        String name = section.text(key);
        if (!name.matches("[A-Za-z0-9._-]{1," + Member.MAX_NAME_LENGTH + "}")) {
            throw section.error(
                    key,
                    "is not a name of 1 to " + Member.MAX_NAME_LENGTH + " letters, digits, '.', '_' or '-': '" + name
                            + "'");
        }
        return name;
    }

    private static MembershipTiming readTiming(IniFile.Section section) {
        MembershipTiming defaults = MembershipTiming.DEFAULT;
        try {
            return new MembershipTiming(
                    section.durationUs(
                            "ping", defaults.pingIntervalUs(), MembershipTiming.TICK_INTERVAL_US, 60_000_000),
                    section.durationUs("suspect_after", defaults.suspectAfterUs(), 200_000, 600_000_000),
                    section.durationUs("fail_after", defaults.failAfterUs(), 200_000, 600_000_000),
                    section.durationUs("retry", defaults.retryIntervalUs(), 100_000, 600_000_000));
        } catch (IllegalArgumentException e) {
            if (String.valueOf(e.getMessage()).contains("[fleet]")) {
                throw e;
            }
            throw section.error(
                    "suspect_after", "must be three times ping or more, fail_after twice, and retry no less");
        }
    }

    /** Reads one hex key per line from a file that others may not read or write and its group may not write. */
    private static List<byte[]> readKeys(IniFile.Section section, Path file, OperatorConfig.TextReader reader) {
        List<byte[]> keys = new ArrayList<>();
        try {
            if (Files.exists(file) && Files.getFileStore(file).supportsFileAttributeView("posix")) {
                Set<PosixFilePermission> permissions = Files.getPosixFilePermissions(file);
                if (permissions.contains(PosixFilePermission.OTHERS_READ)
                        || permissions.contains(PosixFilePermission.GROUP_WRITE)
                        || permissions.contains(PosixFilePermission.OTHERS_WRITE)) {
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
                || keys.size() > MAX_KEYS
                || keys.stream().anyMatch(secret -> secret.length < MIN_KEY_BYTES || secret.length > MAX_KEY_BYTES)) {
            throw section.error(
                    "key",
                    "names " + file + ", which must hold one or two keys of " + 2 * MIN_KEY_BYTES + " to "
                            + 2 * MAX_KEY_BYTES + " hex digits, one a line");
        }
        return List.copyOf(keys);
    }
}
