package petrelstand.config;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import petrelstand.agreement.LeaseTiming;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.members.Member;

/**
 * Section {@code [rules]} of the operator's file: rules on which the fleet's gateways agree.
 *
 * @param voters names of the gateways that vote, the same in every file; the others only act on what is agreed
 * @param mayVote whether this gateway is ready to vote though it is none of them: it is added by an order
 * @param promise for how long two gateways may contradict each other
 * @param folder where a voter keeps its votes and any gateway the last version that it had; null for one that is no
 *     voter
 * @param file that an operator writes rules into, to be proposed when it changes, or null
 * @param text of that file
 * @param page whether {@code GET /rules} is answered
 */
public record RulesConfig(
        List<String> voters,
        boolean mayVote,
        LeaseTiming leaseTiming,
        Path stateFolder,
        boolean servesPage,
        String rulesFileName,
        String rulesText) {
    private static final int MOST_VOTERS = 9;

    static RulesConfig of(
            IniFile ini, FleetConfig fleet, Settings settings, List<Path> files, OperatorConfig.TextReader reader) {
        IniFile.Section section = ini.section("rules");
        if (section == null) {
            return null;
        }
        if (fleet == null) {
            throw section.error(null, "needs the section [fleet]: gateways that know each other");
        }
        List<String> voters = List.of(section.text("voters").strip().split("[\\s,]+"));
        if (voters.size() > MOST_VOTERS
                || voters.stream().distinct().count() != voters.size()
                || voters.stream()
                        .anyMatch(name -> !name.matches("[A-Za-z0-9._-]{1," + Member.MAX_NAME_LENGTH + "}"))) {
            throw section.error("voters", "must be 1 to " + MOST_VOTERS + " different names of the fleet's gateways");
        }
        long within = section.durationUs("promise", LeaseTiming.DEFAULT.maxConflictUs(), 500_000, 600_000_000);
        double drift = section.number("drift", LeaseTiming.DEFAULT.drift() * 100, 0, 10) / 100;
        String file = null;
        String text = null;
        if (section.has("file")) {
            Path rules = ini.resolveSibling(section.text("file"));
            files.add(rules);
            file = rules.getFileName().toString();
            try {
                text = reader.read(rules);
            } catch (IOException e) {
                throw section.error(
                        "file",
                        "names " + rules + ", which cannot be read: "
                                + e.getClass().getSimpleName());
            }
            RulesText.parse(
                    rules.toString(),
                    text,
                    settings.plans().stream().map(plan -> plan.name()).toList());
        }
        return new RulesConfig(
                voters,
                section.has("may_vote") && section.choiceIndex("may_vote", List.of("no", "yes")) == 1,
                new LeaseTiming(within, drift),
                section.has("folder") ? ini.resolveSibling(section.text("folder")) : null,
                !section.has("page") || section.choiceIndex("page", List.of("off", "on")) == 1,
                file,
                text);
    }
}
