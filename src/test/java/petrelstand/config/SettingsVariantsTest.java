package petrelstand.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import petrelstand.decision.Scheduling.DedupGroup;
import petrelstand.decision.Scheduling.DiscoveryMode;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.testing.BrokerFixture;

/** Tests optional, unknown and malformed settings: deployments differ in which ones they state. */
class SettingsVariantsTest {
    private static Settings parseWith(String lines) {
        return SettingsReader.parse(BrokerFixture.SETTINGS + lines);
    }

    private static Settings parseWithout(String line) {
        assertTrue(BrokerFixture.SETTINGS.contains(line + "\n"), line);
        return SettingsReader.parse(BrokerFixture.SETTINGS.replace(line + "\n", ""));
    }

    @Test
    void furtherAttemptsAreUnlimitedWithoutABudget() {
        Settings settings = parseWith("");
        assertTrue(settings.rules().freeFurther() < 0 && settings.rules().furtherShare() < 0);
        assertEquals(4, parseWith("rules.free_resends=4\n").rules().freeFurther());
    }

    @Test
    void keyedClassWithoutGroupGetsTheShardGroup() {
        assertEquals(
                DedupGroup.SHARD,
                parseWithout("classes.1.group=cell").classes().get(1).group());
    }

    @Test
    void repeatWindowMayBeShorterThanTheDeadline() {
        Settings settings = parseWith("classes.1.repeat_window_ms=300.0\n");
        assertTrue(settings.classes().get(1).repeatWindowMs()
                < settings.classes().get(1).deadlineMs());
    }

    @Test
    void planLimitIsOptional() {
        assertEquals(0, parseWith("").plans().get(0).limit());
        assertEquals(
                74,
                parseWith("plans.0.limit=74.0\nplans.0.burst=120.0\n")
                        .plans()
                        .get(0)
                        .limit());
    }

    @Test
    void discoveryMayBePolledAndRetryAfterMayBeMissing() {
        assertEquals(DiscoveryMode.ASKED, parseWith("discovery=ask\n").discovery());
        assertFalse(parseWithout("caps.retry_after=true").may().retryAfter());
    }

    @ParameterizedTest
    @CsvSource({"weights=none", "weights=rough", "tier=0", "a.field.of.tomorrow=7"})
    void unknownSettingIsIgnored(String line) {
        assertEquals(parseWith(""), parseWith(line + "\n"));
    }

    @ParameterizedTest
    @CsvSource({
        "plans.0.limit=-1, basic: limit must be at least 0",
        "plans.0.limit=much, plans.0.limit is not a number",
        "plans.0.limit=NaN, basic: limit must be at least 0",
        "classes.1.group=rack, classes.1.group has an unknown value",
        "classes.1.semantics=keyed, classes.1.semantics has an unknown value",
        "discovery=gossip, discovery has an unknown value",
        "caps.most_tries=0, caps.most_tries is no number above 0",
        "classes.0.aim_ms=0, classes.0.aim_ms is no number above 0"
    })
    void malformedValueIsRejectedWithItsPath(String line, String expectedStart) {
        IllegalArgumentException error = assertThrows(IllegalArgumentException.class, () -> parseWith(line + "\n"));
        assertTrue(error.getMessage().startsWith(expectedStart), error.getMessage());
        assertEquals(1, error.getMessage().lines().count());
    }
}
