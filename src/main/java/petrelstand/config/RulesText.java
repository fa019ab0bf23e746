package petrelstand.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import petrelstand.agreement.RegistryCommand;
import petrelstand.agreement.Rules;

/**
 * Parser of the fleet's rules, an INI text. Unknown kinds of sections are rejected, so that the fleet acts on no rules
 * that one of its gateways does not understand.
 */
public final class RulesText {
    private static final long MAX_UNITS = 1_000_000_000L;
    private static final int MAX_GATEWAYS = 1000;

    private RulesText() {}

    /**
     * Parses rules.
     *
     * @param name names the text in error messages
     * @param plans the plans that may have a limit; null to allow any
     * @throws IllegalArgumentException with one line that names the text, and where there is one the line and key
     */
    public static Rules parse(String name, String text, Collection<String> plans) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < ' ' && c != '\n' && c != '\r' && c != '\t') {
                throw new IllegalArgumentException(name + ": character " + i + " is a control character");
            }
        }
        if (text.length() > RegistryCommand.MAX_TEXT_CHARS) {
            throw new IllegalArgumentException(
                    name + " is longer than " + RegistryCommand.MAX_TEXT_CHARS + " characters");
        }
        IniFile ini = new IniFile(Path.of(name), text);
        IniFile.Section fleet = ini.section("fleet");
        int gateways = fleet == null ? 1 : fleet.integer("gateways", 1, 1, MAX_GATEWAYS);
        Map<String, Rules.Limit> limits = new TreeMap<>();
        for (IniFile.Section section : ini.sectionsOfKind("limit")) {
            String plan = nameAfter(section, "limit");
            if (plans != null && !plans.contains(plan)) {
                throw section.error(null, "is a limit of no plan: there are " + List.copyOf(plans));
            }
            long units = (long) section.number("units", -1, 0, MAX_UNITS);
            if (units < 0) {
                throw section.error("units", "is missing");
            }
            long floor = (long) section.number("floor", 0, 0, MAX_UNITS);
            if (floor > units) {
                throw section.error("floor", "is above units: " + floor + " over " + units);
            }
            limits.put(plan, new Rules.Limit(units, floor));
        }
        if (limits.size() > RegistryCommand.MAX_LIMITS) {
            throw new IllegalArgumentException(name + " has more than " + RegistryCommand.MAX_LIMITS + " limits");
        }
        Map<String, Rules.Module> modules = new TreeMap<>();
        for (IniFile.Section section : ini.sectionsOfKind("module")) {
            modules.put(
                    nameAfter(section, "module"),
                    new Rules.Module(
                            section.choiceIndex("open", List.of("no", "yes")) == 1, words(section, "credentials")));
        }
        Map<String, Rules.Node> nodes = new TreeMap<>();
        for (IniFile.Section section : ini.sectionsOfKind("node")) {
            nodes.put(
                    nameAfter(section, "node"),
                    new Rules.Node(
                            section.address("address"),
                            section.has("state") && section.choiceIndex("state", List.of("up", "removed")) == 1));
        }
        Map<String, Boolean> switches = new TreeMap<>();
        for (IniFile.Section section : ini.sectionsOfKind("switch")) {
            switches.put(nameAfter(section, "switch"), section.choiceIndex("set", List.of("off", "on")) == 1);
        }
        ini.rejectUnread();
        return new Rules(gateways, limits, modules, nodes, switches);
    }

    private static String nameAfter(IniFile.Section section, String kind) {
        String name = section.name().substring(kind.length() + 1).strip();
        if (name.isEmpty() || name.length() > RegistryCommand.MAX_NAME_CHARS) {
            throw section.error(null, "has no name, or one longer than " + RegistryCommand.MAX_NAME_CHARS);
        }
        return name;
    }

    private static List<String> words(IniFile.Section section, String key) {
        String text = section.textOrDefault(key, "");
        return text.isBlank() ? List.of() : new ArrayList<>(List.of(text.strip().split("[\\s,]+")));
    }
}
