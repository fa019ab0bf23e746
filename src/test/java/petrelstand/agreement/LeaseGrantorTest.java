package petrelstand.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.agreement.RulesMessage.LeaseRequest;

/** Guards against an operator who is told of another gateway than the one that blocks a version. */
class LeaseGrantorTest {
    private static final long VERSION = 1;

    private final List<String> lines = new ArrayList<>();
    private final RuleRegistry registry = new RuleRegistry();
    private final LeaseGrantor grantor = new LeaseGrantor(LeaseTiming.DEFAULT, registry, new LeaseGrantor.Actions() {
        @Override
        public void send(String name, RulesMessage message) {}

        @Override
        public void commit(RegistryCommand command) {}

        @Override
        public void confirmLeadership(long round) {}

        @Override
        public void log(String line) {
            lines.add(line);
        }
    });

    LeaseGrantorTest() {
        registry.apply(new RegistryCommand.AddPiece(7, 0, 1, "text"));
        registry.apply(new RegistryCommand.Propose(7, 0, "operator", "reason", 1, 1, List.of()));
        assertEquals(VERSION, registry.pending());
        grantor.becomeLeader(0, 1);
    }

    private void renew(long nowUs, String name, long preparedVersion, String loadError) {
        grantor.renew(nowUs, name, new LeaseRequest(nowUs + 1, name.hashCode(), 0, preparedVersion, loadError));
    }

    @Test
    void namesTheGatewayThatHasNotLoadedTheVersion() {
        renew(1, "a", VERSION, "line 9: a fault of a former version");
        renew(2, "b", 0, "line 3: unknown key");
        assertEquals(List.of("version 1 stays pending: gateway b can't load it: line 3: unknown key"), lines);
    }

    @Test
    void namesTheGatewayThatIsStillHeard() {
        renew(1, "a", 0, "line 1: it is gone since");
        lines.clear();
        renew(2 + LeaseTiming.DEFAULT.expiredAfterUs(), "b", 0, "line 3: unknown key");
        assertEquals(List.of("version 1 stays pending: gateway b can't load it: line 3: unknown key"), lines);
    }
}
