package petrelstand.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import petrelstand.testing.BrokerFixture;

class JvmWarmUpTest {
    @Test
    void allWarmUpRequestsAreServed() {
        assertEquals(60, JvmWarmUp.run(new BrokerFixture().settings, 60));
    }
}
