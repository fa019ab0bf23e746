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
import petrelstand.testing.Harness;

/** Which settings hold while one file gives way to another. */
class SettingsTransitionTest {
    private static final Settings FORMER = SettingsReader.ofText(Harness.SETTINGS);

    private static Settings read(String... changes) {
        String text = Harness.SETTINGS;
        for (int i = 0; i < changes.length; i += 2) {
            assertTrue(text.contains(changes[i]), changes[i]);
            text = text.replace(changes[i], changes[i + 1]);
        }
        return SettingsReader.ofText(text);
    }

    private static RequestClass named(Settings settings, String name) {
        return settings.classes().stream()
                .filter(kind -> kind.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    @Test
    void untilClientsGoByTheNewFileTheStricterHolds() {
        Settings changed = read(
                "classes.0.semantics=repeatable",
                "classes.0.semantics=once",
                "classes.1.semantics=by_key",
                "classes.1.semantics=repeatable",
                "classes.2.hard_limit_ms=5000.0",
                "classes.2.hard_limit_ms=4000.0",
                "most_tries=3",
                "most_tries=4");
        List<Step> steps = SettingsTransition.steps(FORMER, changed, Set.of(), 7_000_000);
        Settings between = steps.get(0).settings();
        assertEquals(Effect.UNSAFE, named(between, "tile-read").effect());
        assertEquals(Effect.KEYED, named(between, "survey-write").effect());
        assertEquals(2500, named(between, "survey-write").repeatWindowMs());
        assertEquals(4000, named(between, "bulk-export").deadlineMs());
        assertEquals(3, between.may().maxAttempts());
        assertEquals(8_200_000, steps.get(1).atUs());
        assertEquals(changed, steps.get(1).settings());
        assertEquals(2, steps.size());
    }

    @Test
    void aDroppedClassIsTakenForItsRepeatsAndThenClosedInItsPlace() {
        Settings changed = read("classes.0.name=tile-read", "classes.0.name=sounding-read");
        List<Step> steps = SettingsTransition.steps(FORMER, changed, Set.of(), 0);
        for (Step step : steps) {
            assertEquals(
                    List.of("tile-read", "survey-write", "bulk-export", "sounding-read"),
                    step.settings().classes().stream().map(RequestClass::name).toList());
        }
        assertEquals(Set.of(), steps.get(1).closedClasses());
        assertEquals(Set.of("tile-read"), steps.get(2).closedClasses());
        assertEquals(1_200_000 + 5_000_000, steps.get(2).atUs());
        // Its aim no longer makes the slot of the emulation.
        assertEquals(1500, named(steps.get(2).settings(), "tile-read").aimMs());
        List<Step> back = SettingsTransition.steps(
                steps.get(2).settings(), FORMER, steps.get(2).closedClasses(), 9);
        assertEquals(Set.of(), back.get(0).closedClasses());
        assertEquals(250, named(back.get(1).settings(), "tile-read").aimMs());
    }

    @Test
    void whatOnlyARestartTakesIsNamedAndStays() {
        Settings changed = read(
                "plans.0.rate=40",
                "plans.0.rate=50",
                "drain_grace_ms=500.0",
                "drain_grace_ms=400.0",
                "balancers=1",
                "balancers=2",
                "most_tries=3",
                "most_tries=2");
        assertEquals(3, SettingsTransition.restartOnlyChanges(FORMER, changed).size());
        assertEquals(List.of(), SettingsTransition.restartOnlyChanges(FORMER, read("most_tries=3", "most_tries=2")));
        Settings after =
                SettingsTransition.steps(FORMER, changed, Set.of(), 0).get(1).settings();
        assertEquals(FORMER.plans(), after.plans());
        assertEquals(FORMER.rules(), after.rules());
        assertEquals(1, after.hosts());
        assertEquals(2, after.may().maxAttempts());
    }

    @Test
    void placesAreBounded() {
        Settings inUse = FORMER;
        for (int i = 0; i < SettingsTransition.MAX_CLASSES - 3; i++) {
            inUse = SettingsTransition.steps(
                            inUse, read("classes.0.name=tile-read", "classes.0.name=c" + i), Set.of(), 0)
                    .get(1)
                    .settings();
        }
        Settings full = inUse;
        Settings more = read("classes.0.name=tile-read", "classes.0.name=more");
        assertThrows(IllegalArgumentException.class, () -> SettingsTransition.steps(full, more, Set.of(), 0));
    }

    /** Whatever comes after what: a place is one class for good, and what both files forbid is never allowed. */
    @Property(tries = 300)
    void reloadsInAnyOrderKeepPlacesAndForbidWhatEitherForbids(@ForAll long seed) {
        Random random = new Random(seed);
        Settings inUse = FORMER;
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
                for (int place = 0; place < inUse.classes().size(); place++) {
                    assertEquals(
                            inUse.classes().get(place).name(),
                            step.settings().classes().get(place).name());
                }
            }
            Settings between = steps.get(0).settings();
            assertEquals(
                    Math.min(inUse.may().maxAttempts(), changed.may().maxAttempts()),
                    between.may().maxAttempts());
            for (RequestClass kind : changed.classes()) {
                RequestClass held = named(between, kind.name());
                RequestClass before = named(inUse, kind.name());
                assertTrue(held.effect().compareTo(kind.effect()) >= 0);
                assertTrue(before == null || held.effect().compareTo(before.effect()) >= 0);
                assertTrue(steps.stream().noneMatch(step -> step.closedClasses().contains(kind.name())));
            }
            Step last = steps.get(random.nextInt(steps.size()));
            inUse = last.settings();
            closed = new HashSet<>(last.closedClasses());
        }
    }
}
