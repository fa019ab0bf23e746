package petrelstand;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import petrelstand.http.HttpFront;

class DescriptorsTest {
    @Test
    void limitsFitDescriptorsAndClientsHaveThird() {
        for (int sockets = 256; sockets <= 1024; sockets++) {
            Descriptors descriptors = Descriptors.of(sockets, 0);
            int overLimit = HttpFront.MAX_CONNECTIONS_OVER_LIMIT;
            assertTrue(descriptors.clients() + overLimit + descriptors.nodes() + 64 <= sockets, "over " + sockets);
            assertTrue(descriptors.clients() >= sockets / 3, "clients have " + descriptors.clients() + " of " + sockets);
            assertTrue(descriptors.nodes() >= sockets / 4, "nodes have " + descriptors.nodes() + " of " + sockets);
            Descriptors half = Descriptors.half(sockets, 0);
            assertTrue(2 * (half.clients() + overLimit + half.nodes() + 25) <= sockets, "two halves are over " + sockets);
            assertTrue(half.clients() > 0 && half.nodes() > 0);
        }
    }
}
