package petrelstand.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static petrelstand.decision.FakeHost.node;

import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.config.SettingsReader;
import petrelstand.decision.FakeHost.TestRequest;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.testing.BrokerFixture;

/** Change of the settings while requests are open. */
class SettingsChangeTest {
    private static final Settings SETTINGS = SettingsReader.parse(BrokerFixture.SETTINGS);

    private static Settings with(String before, String after) {
        return SettingsReader.parse(BrokerFixture.SETTINGS.replace(before, after));
    }

    private static long open(FakeHost host) {
        host.listNodes(node(1, 0));
        return host.request(new TestRequest());
    }

    @Test
    void openRequestGetsNoMoreAttemptsThanAtItsArrival() {
        FakeHost host = new FakeHost(10_000, with("most_tries=3", "most_tries=1"));
        long old = open(host);
        host.policy.applySettings(host.nowMs, SETTINGS);
        host.endAttempt(host.lastSent(), Outcome.REJECTED);
        host.runTo(host.nowMs + 200);
        assertEquals(1, host.sentCount(old));
        assertEquals("refuse", host.finalAnswer(old));
    }

    @Test
    void fewerAttemptsHoldForOpenRequestsToo() {
        FakeHost host = new FakeHost(10_000, SETTINGS);
        long old = open(host);
        host.policy.applySettings(host.nowMs, with("most_tries=3", "most_tries=1"));
        host.endAttempt(host.lastSent(), Outcome.REJECTED);
        host.runTo(host.nowMs + 200);
        assertEquals(1, host.sentCount(old));
    }

    @Test
    void openRequestStaysRepeatableWhenItsClassBecomesUnsafe() {
        FakeHost host = new FakeHost(10_000, SETTINGS);
        long old = open(host);
        host.policy.applySettings(host.nowMs, with("classes.0.semantics=repeatable", "classes.0.semantics=once"));
        host.endAttempt(host.lastSent(), Outcome.ERROR);
        host.runTo(host.nowMs + 100);
        assertEquals(2, host.sentCount(old));
        host.endAttempt(host.lastSent(), Outcome.SERVED);
        long fresh = host.request(new TestRequest());
        host.endAttempt(host.lastSent(), Outcome.ERROR);
        host.runTo(host.nowMs + 100);
        assertEquals(1, host.sentCount(fresh));
        assertEquals("fail", host.finalAnswer(fresh));
    }

    @Test
    void learnedStateStays() {
        FakeHost host = new FakeHost(10_000, SETTINGS);
        open(host);
        host.nowMs += 30;
        host.endAttempt(host.lastSent(), Outcome.SERVED);
        List<?> before = List.of(
                host.policy.learnedState(host.nowMs).nodes(),
                host.policy.learnedState(host.nowMs).volumes());
        host.policy.applySettings(host.nowMs, with("classes.2.aim_ms=1500.0", "classes.2.aim_ms=1200.0"));
        assertEquals(
                before,
                List.of(
                        host.policy.learnedState(host.nowMs).nodes(),
                        host.policy.learnedState(host.nowMs).volumes()));
    }

    /** Guards against two processes of one host that each spend the whole budget of a cold node. */
    @Test
    void halfTheBudgetShareSendsLessToAColdNode() {
        int whole = sentToColdNode(1);
        int half = sentToColdNode(0.5);
        assertTrue(half < whole, whole + " and " + half);
    }

    private static int sentToColdNode(double part) {
        String cold = BrokerFixture.SETTINGS + "extra.cold_bears=12\nrules.cold_from=0.3\nrules.warm_up_ms=15000\n"
                + "rules.fall_ms=1500\nrules.overload_factor=2\n";
        FakeHost host = new FakeHost(10_000, SettingsReader.parse(cold));
        host.policy.setBudgetShare(host.nowMs, part);
        host.runTo(host.nowMs + 2_000);
        host.listNodes(node(1, 0, Scheduling.NodeState.READY, host.nowMs));
        for (int i = 0; i < 30; i++) {
            host.request(new TestRequest());
        }
        return host.sent.size();
    }
}
