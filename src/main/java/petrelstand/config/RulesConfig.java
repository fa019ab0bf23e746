package petrelstand.config;

import java.nio.file.Path;
import java.util.List;
import petrelstand.agreement.Promise;
import petrelstand.members.Member;

/**
 * Section {@code [rules]} of the operator's file: rules on which the fleet's gateways agree.
 *
 * @param voters names of the gateways that vote, the same in every file; the others only act on what is agreed
 * @param promise for how long two gateways may contradict each other
 * @param folder where a voter keeps its votes and any gateway the last version that it had; null for one that is no voter
 * @param page whether {@code GET /rules} is answered
 */
public record RulesConfig(List<String> voters, Promise promise, Path folder, boolean page) {
    private static final int MOST_VOTERS = 9;

    static RulesConfig of(IniFile ini, FleetConfig fleet) {
        IniFile.Section section = ini.section("rules");
        if (section == null) {
            return null;
        }
        if (fleet == null) {
            throw section.wrong(null, "needs the section [fleet]: gateways that know each other");
        }
        List<String> voters = List.of(section.text("voters").strip().split("[\\s,]+"));
        if (voters.size() > MOST_VOTERS || voters.stream().distinct().count() != voters.size() || voters.stream().anyMatch(
                name -> !name.matches("[A-Za-z0-9._-]{1," + Member.MOST_NAME + "}"))) {
            throw section.wrong("voters", "must be 1 to " + MOST_VOTERS + " different names of the fleet's gateways");
        }
        long within = section.durationUs("promise", Promise.USUAL.withinUs(), 500_000, 600_000_000);
        double drift = section.number("drift", Promise.USUAL.drift() * 100, 0, 10) / 100;
        return new RulesConfig(voters, new Promise(within, drift),
                section.has("folder") ? ini.beside(section.text("folder")) : null,
                !section.has("page") || section.place("page", List.of("off", "on")) == 1);
    }
}
