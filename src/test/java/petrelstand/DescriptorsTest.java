package petrelstand;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import petrelstand.http.HttpFront;

class DescriptorsTest {
    @Test
    void allPartsFitTheConfiguredFigureAndClientsHaveAThird() {
        for (int sockets = 256; sockets <= 1024; sockets++) {
            Descriptors parts = Descriptors.of(sockets, 0);
            int told = HttpFront.MAX_CONNECTIONS_OVER_LIMIT;
            assertTrue(parts.clients() + told + parts.nodes() + 64 <= sockets, "over " + sockets);
            assertTrue(parts.clients() >= sockets / 3, "clients have " + parts.clients() + " of " + sockets);
            assertTrue(parts.nodes() >= sockets / 4, "nodes have " + parts.nodes() + " of " + sockets);
            Descriptors half = Descriptors.half(sockets, 0);
            assertTrue(2 * (half.clients() + told + half.nodes() + 25) <= sockets, "two halves are over " + sockets);
            assertTrue(half.clients() > 0 && half.nodes() > 0);
        }
    }
}
