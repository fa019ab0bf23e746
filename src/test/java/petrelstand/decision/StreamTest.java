package petrelstand.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static petrelstand.decision.FakeHost.node;

import org.junit.jupiter.api.Test;
import petrelstand.config.SettingsReader;
import petrelstand.decision.FakeHost.TestRequest;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.testing.BrokerFixture;

/** Request body that its client streams to a node for seconds. */
class StreamTest {
    @Test
    void slowBodyNeitherSilencesItsNodeNorFillsItsWindow() {
        FakeHost host = new FakeHost(10_000, SettingsReader.parse(BrokerFixture.SETTINGS));
        host.listNodes(node(1, 0));
        long slow = host.request(new TestRequest());
        FakeHost.Sent body = host.lastSent();
        host.policy.streamStarted(host.nowMs, slow, 0);
        for (int i = 0; i < 20; i++) {
            host.runTo(host.nowMs + 200);
            long read = host.request(new TestRequest());
            assertEquals(1, host.sentCount(read), "at " + host.nowMs);
            host.nowMs += 20;
            host.endAttempt(host.lastSent(), Outcome.SERVED);
        }
        // Its deadline has passed, but a started stream is neither ended nor retried.
        assertEquals(null, host.finalAnswer(slow));
        host.endAttempt(body, Outcome.RESET, true);
        assertEquals(1, host.sentCount(slow));
    }
}
