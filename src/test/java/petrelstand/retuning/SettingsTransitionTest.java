package petrelstand.retuning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import petrelstand.config.SettingsReader;
import petrelstand.decision.Scheduling.Effect;
import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.retuning.SettingsTransition.Step;
import petrelstand.testing.BrokerFixture;

/** Tests which settings hold in each step after a reload. */
class SettingsTransitionTest {
    private static final Settings PREVIOUS = SettingsReader.parse(BrokerFixture.SETTINGS);

    private static Settings read(String... changes) {
        String text = BrokerFixture.SETTINGS;
        for (int i = 0; i < changes.length; i += 2) {
            assertTrue(text.contains(changes[i]), changes[i]);
            text = text.replace(changes[i], changes[i + 1]);
        }
        return SettingsReader.parse(text);
    }

    private static RequestClass classNamed(Settings settings, String name) {
        return settings.classes().stream()
                .filter(kind -> kind.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    @Test
    void stricterSettingsHoldUntilClientsKnowTheNewFile() {
        Settings changed = read(
                "classes.0.semantics=repeatable",
                "classes.0.semantics=once",
                "classes.1.semantics=by_key",
                "classes.1.semantics=repeatable",
                "classes.2.hard_limit_ms=5000.0",
                "classes.2.hard_limit_ms=4000.0",
                "most_tries=3",
                "most_tries=4");
        List<Step> steps = SettingsTransition.steps(PREVIOUS, changed, Set.of(), 7_000_000);
        Settings interim = steps.get(0).settings();
        assertEquals(Effect.UNSAFE, classNamed(interim, "tile-read").effect());
        assertEquals(Effect.KEYED, classNamed(interim, "survey-write").effect());
        assertEquals(2500, classNamed(interim, "survey-write").repeatWindowMs());
        assertEquals(4000, classNamed(interim, "bulk-export").deadlineMs());
        assertEquals(3, interim.may().maxAttempts());
        assertEquals(8_200_000, steps.get(1).atUs());
        assertEquals(changed, steps.get(1).settings());
        assertEquals(2, steps.size());
    }

    @Test
    void droppedClassKeepsItsIndexAndIsClosedAfterItsRepeats() {
        Settings changed = read("classes.0.name=tile-read", "classes.0.name=sounding-read");
        List<Step> steps = SettingsTransition.steps(PREVIOUS, changed, Set.of(), 0);
        for (Step step : steps) {
            assertEquals(
                    List.of("tile-read", "survey-write", "bulk-export", "sounding-read"),
                    step.settings().classes().stream().map(RequestClass::name).toList());
        }
        assertEquals(Set.of(), steps.get(1).closedClasses());
        assertEquals(Set.of("tile-read"), steps.get(2).closedClasses());
        assertEquals(1_200_000 + 5_000_000, steps.get(2).atUs());
        // The aim of a dropped class must not determine the slot of the deadline emulation.
        assertEquals(1500, classNamed(steps.get(2).settings(), "tile-read").aimMs());
        List<Step> reverted = SettingsTransition.steps(
                steps.get(2).settings(), PREVIOUS, steps.get(2).closedClasses(), 9);
        assertEquals(Set.of(), reverted.get(0).closedClasses());
        assertEquals(250, classNamed(reverted.get(1).settings(), "tile-read").aimMs());
    }

    @Test
    void restartOnlyChangesAreNamedAndNotApplied() {
        Settings changed = read(
                "plans.0.rate=40",
                "plans.0.rate=50",
                "drain_grace_ms=500.0",
                "drain_grace_ms=400.0",
                "balancers=1",
                "balancers=2",
                "most_tries=3",
                "most_tries=2");
        assertEquals(3, SettingsTransition.restartOnlyChanges(PREVIOUS, changed).size());
        assertEquals(List.of(), SettingsTransition.restartOnlyChanges(PREVIOUS, read("most_tries=3", "most_tries=2")));
        Settings last =
                SettingsTransition.steps(PREVIOUS, changed, Set.of(), 0).get(1).settings();
        assertEquals(PREVIOUS.plans(), last.plans());
        assertEquals(PREVIOUS.rules(), last.rules());
        assertEquals(1, last.hosts());
        assertEquals(2, last.may().maxAttempts());
    }

    @Test
    void numberOfClassesIsBounded() {
        Settings inUse = PREVIOUS;
        for (int i = 0; i < SettingsTransition.MAX_CLASSES - 3; i++) {
            inUse = SettingsTransition.steps(
                            inUse, read("classes.0.name=tile-read", "classes.0.name=c" + i), Set.of(), 0)
                    .get(1)
                    .settings();
        }
        Settings full = inUse;
        Settings withOneMore = read("classes.0.name=tile-read", "classes.0.name=more");
        assertThrows(IllegalArgumentException.class, () -> SettingsTransition.steps(full, withOneMore, Set.of(), 0));
    }

    /** After any sequence of reloads a class keeps its index, and what either file forbids is not allowed. */
    @Property(tries = 300)
    void randomReloadsKeepIndexesAndApplyTheStricterSettings(@ForAll long seed) {
        Random random = new Random(seed);
        Settings inUse = PREVIOUS;
        Set<String> closed = Set.of();
        for (int i = 0; i < 8; i++) {
            Settings changed = read(
                    "classes.0.name=tile-read",
                    "classes.0.name=c" + random.nextInt(4),
                    "classes.1.semantics=by_key",
                    "classes.1.semantics="
                            + List.of("by_key", "once", "repeatable").get(random.nextInt(3)),
                    "most_tries=3",
                    "most_tries=" + (1 + random.nextInt(4)));
            List<Step> steps = SettingsTransition.steps(inUse, changed, closed, i);
            for (Step step : steps) {
                for (int index = 0; index < inUse.classes().size(); index++) {
                    assertEquals(
                            inUse.classes().get(index).name(),
                            step.settings().classes().get(index).name());
                }
            }
            Settings interim = steps.get(0).settings();
            assertEquals(
                    Math.min(inUse.may().maxAttempts(), changed.may().maxAttempts()),
                    interim.may().maxAttempts());
            for (RequestClass changedClass : changed.classes()) {
                RequestClass interimClass = classNamed(interim, changedClass.name());
                RequestClass previousClass = classNamed(inUse, changedClass.name());
                assertTrue(interimClass.effect().compareTo(changedClass.effect()) >= 0);
                assertTrue(previousClass == null || interimClass.effect().compareTo(previousClass.effect()) >= 0);
                assertTrue(steps.stream().noneMatch(step -> step.closedClasses().contains(changedClass.name())));
            }
            Step current = steps.get(random.nextInt(steps.size()));
            inUse = current.settings();
            closed = new HashSet<>(current.closedClasses());
        }
    }
}
