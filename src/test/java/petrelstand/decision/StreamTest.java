package petrelstand.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static petrelstand.decision.Host.node;

import org.junit.jupiter.api.Test;
import petrelstand.config.SettingsReader;
import petrelstand.decision.Host.Ask;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.testing.Harness;

/** A body on its way to a node for seconds, as its client sends it. */
class StreamTest {
    @Test
    void aSlowBodyNeitherMakesItsNodeSilentNorFillsItsWindow() {
        Host host = new Host(10_000, SettingsReader.parse(Harness.SETTINGS));
        host.list(node(1, 0));
        long slow = host.request(new Ask());
        Host.Sent body = host.last();
        host.policy.streamStarted(host.now, slow, 0);
        for (int i = 0; i < 20; i++) {
            host.runTo(host.now + 200);
            long read = host.request(new Ask());
            assertEquals(1, host.sentFor(read), "at " + host.now);
            host.now += 20;
            host.end(host.last(), Outcome.SERVED);
        }
        // Its own time is over long ago, and it is neither given up nor sent again.
        assertEquals(null, host.answer(slow));
        host.end(body, Outcome.RESET, true);
        assertEquals(1, host.sentFor(slow));
    }
}
