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

/** Settings that one deployment states in another way than the next: followed, or refused by the field's name. */
class SettingsVariantsTest {
    private static Settings with(String more) {
        return SettingsReader.parse(BrokerFixture.SETTINGS + more);
    }

    private static Settings without(String line) {
        assertTrue(BrokerFixture.SETTINGS.contains(line + "\n"), line);
        return SettingsReader.parse(BrokerFixture.SETTINGS.replace(line + "\n", ""));
    }

    @Test
    void noBudgetOfFurtherAttemptsLeavesThemFree() {
        Settings settings = with("");
        assertTrue(settings.rules().freeFurther() < 0 && settings.rules().furtherShare() < 0);
        assertEquals(4, with("rules.free_resends=4\n").rules().freeFurther());
    }

    @Test
    void aKeyedClassWithoutAGroupHasTheNarrowestOne() {
        assertEquals(
                DedupGroup.SHARD,
                without("classes.1.group=cell").classes().get(1).group());
    }

    @Test
    void aWindowForRepeatsMayBeShorterThanTheDeadline() {
        Settings settings = with("classes.1.repeat_window_ms=300.0\n");
        assertTrue(settings.classes().get(1).repeatWindowMs()
                < settings.classes().get(1).deadlineMs());
    }

    @Test
    void aPlanWithoutALimitHasNone() {
        assertEquals(0, with("").plans().get(0).limit());
        assertEquals(
                74,
                with("plans.0.limit=74.0\nplans.0.burst=120.0\n").plans().get(0).limit());
    }

    @Test
    void discoveryMayBeAskedAndRefusalsMayCarryNoWait() {
        assertEquals(DiscoveryMode.ASKED, with("discovery=ask\n").discovery());
        assertFalse(without("caps.retry_after=true").may().retryAfter());
    }

    @ParameterizedTest
    @CsvSource({"weights=none", "weights=rough", "tier=0", "a.field.of.tomorrow=7"})
    void aFieldThatDecidesNothingHereIsPassedOver(String line) {
        assertEquals(with(""), with(line + "\n"));
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
    void aValueThatCannotBeFollowedIsRefusedByItsName(String line, String why) {
        IllegalArgumentException refused = assertThrows(IllegalArgumentException.class, () -> with(line + "\n"));
        assertTrue(refused.getMessage().startsWith(why), refused.getMessage());
        assertEquals(1, refused.getMessage().lines().count());
    }
}
