package petrelstand.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelstand.decision.Host.node;

import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.config.SettingsReader;
import petrelstand.decision.Host.Ask;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.testing.Harness;

/** Other settings while the module has requests open. */
class RetuneTest {
    private static final Settings FORMER = SettingsReader.ofText(Harness.SETTINGS);

    private static Settings with(String before, String after) {
        return SettingsReader.ofText(Harness.SETTINGS.replace(before, after));
    }

    private static long open(Host host) {
        host.list(node(1, 0));
        return host.request(new Ask());
    }

    @Test
    void anOpenRequestKeepsItsClassAndGetsNoMoreAttemptsThanItCameWith() {
        Host host = new Host(10_000, with("most_tries=3", "most_tries=1"));
        long old = open(host);
        host.policy.applySettings(host.now, FORMER);
        host.end(host.last(), Outcome.REJECTED);
        host.runTo(host.now + 200);
        assertEquals(1, host.sentFor(old));
        assertEquals("refuse", host.answer(old));
    }

    @Test
    void whatFewerAttemptsAllowHoldsForOpenRequestsToo() {
        Host host = new Host(10_000, FORMER);
        long old = open(host);
        host.policy.applySettings(host.now, with("most_tries=3", "most_tries=1"));
        host.end(host.last(), Outcome.REJECTED);
        host.runTo(host.now + 200);
        assertEquals(1, host.sentFor(old));
    }

    @Test
    void aClassThatMayNoLongerBeRepeatedIsNotAndAnOpenRequestOfItStillIs() {
        Host host = new Host(10_000, FORMER);
        long old = open(host);
        host.policy.applySettings(host.now, with("classes.0.semantics=repeatable", "classes.0.semantics=once"));
        host.end(host.last(), Outcome.ERROR);
        host.runTo(host.now + 100);
        assertEquals(2, host.sentFor(old));
        host.end(host.last(), Outcome.SERVED);
        long fresh = host.request(new Ask());
        host.end(host.last(), Outcome.ERROR);
        host.runTo(host.now + 100);
        assertEquals(1, host.sentFor(fresh));
        assertEquals("fail", host.answer(fresh));
    }

    @Test
    void whatWasLearnedStays() {
        Host host = new Host(10_000, FORMER);
        open(host);
        host.now += 30;
        host.end(host.last(), Outcome.SERVED);
        List<?> before = List.of(
                host.policy.learnedState(host.now).nodes(),
                host.policy.learnedState(host.now).volumes());
        host.policy.applySettings(host.now, with("classes.2.aim_ms=1500.0", "classes.2.aim_ms=1200.0"));
        assertEquals(
                before,
                List.of(
                        host.policy.learnedState(host.now).nodes(),
                        host.policy.learnedState(host.now).volumes()));
    }

    /** Two processes that spend one gateway's part at a cold node send it no more than one would. */
    @Test
    void aSharedPartIsHalfAtAColdNode() {
        int whole = sentToCold(1);
        int half = sentToCold(0.5);
        assertTrue(half < whole, whole + " and " + half);
    }

    private static int sentToCold(double part) {
        String cold = Harness.SETTINGS + "extra.cold_bears=12\nrules.cold_from=0.3\nrules.warm_up_ms=15000\n"
                + "rules.fall_ms=1500\nrules.overload_factor=2\n";
        Host host = new Host(10_000, SettingsReader.ofText(cold));
        host.policy.setBudgetShare(host.now, part);
        host.runTo(host.now + 2_000);
        host.list(node(1, 0, Scheduling.NodeState.READY, host.now));
        for (int i = 0; i < 30; i++) {
            host.request(new Ask());
        }
        return host.sent.size();
    }
}
