package petrelstand.config;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import petrelstand.agreement.LeaseTiming;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.members.Member;

/**
 * Section {@code [rules]} of the operator's file: the rules on which the fleet's gateways agree.
 *
 * @param voters names of the gateways that vote, the same on every gateway; the others only follow the agreed rules
 * @param mayVote whether this gateway, if it is not in {@code voters}, may be added as a voter by command
 * @param leaseTiming bounds the time for which two gateways may act on contradicting rules
 * @param stateFolder where a voter stores its votes and any gateway its last version of the rules; null if not stored
 * @param servesPage whether {@code GET /rules} is answered
 * @param rulesFileName name of a file whose rules are proposed whenever it changes, or null
 * @param rulesText the text of that file, or null
 */
public record RulesConfig(
        List<String> voters,
        boolean mayVote,
        LeaseTiming leaseTiming,
        Path stateFolder,
        boolean servesPage,
        String rulesFileName,
        String rulesText) {
    private static final int MAX_VOTERS = 9;

    /** Reads the section; null if the file has none. Adds the rules file to {@code files}. */
    static RulesConfig of(
            IniFile ini, FleetConfig fleet, Settings settings, List<Path> files, OperatorConfig.TextReader reader) {
        IniFile.Section section = ini.section("rules");
        if (section == null) {
            return null;
        }
        if (fleet == null) {
            throw section.error(null, "requires a section [fleet]");
        }
        List<String> voters = List.of(section.text("voters").strip().split("[\\s,]+"));
        if (voters.size() > MAX_VOTERS
                || voters.stream().distinct().count() != voters.size()
                || voters.stream()
                        .anyMatch(name -> !name.matches("[A-Za-z0-9._-]{1," + Member.MAX_NAME_LENGTH + "}"))) {
            throw section.error("voters", "must be 1 to " + MAX_VOTERS + " different names of the fleet's gateways");
        }
        long maxConflictUs = section.durationUs("promise", LeaseTiming.DEFAULT.maxConflictUs(), 500_000, 600_000_000);
        double drift = section.number("drift", LeaseTiming.DEFAULT.drift() * 100, 0, 10) / 100;
        String rulesFileName = null;
        String rulesText = null;
        if (section.has("file")) {
            Path rulesFile = ini.resolveSibling(section.text("file"));
            files.add(rulesFile);
            rulesFileName = rulesFile.getFileName().toString();
            try {
                rulesText = reader.read(rulesFile);
            } catch (IOException e) {
                throw section.error(
                        "file",
                        "names " + rulesFile + ", which cannot be read: "
                                + e.getClass().getSimpleName());
            }
            RulesText.parse(
                    rulesFile.toString(),
                    rulesText,
                    settings.plans().stream().map(plan -> plan.name()).toList());
        }
        return new RulesConfig(
                voters,
                section.has("may_vote") && section.choiceIndex("may_vote", List.of("no", "yes")) == 1,
                new LeaseTiming(maxConflictUs, drift),
                section.has("folder") ? ini.resolveSibling(section.text("folder")) : null,
                !section.has("page") || section.choiceIndex("page", List.of("off", "on")) == 1,
                rulesFileName,
                rulesText);
    }
}
