package petrelstand;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;

/**
 * What tests of a whole gateway on loopback share: it and all that they opened end with the test, and its counts are
 * read.
 */
abstract class GatewayTestBase {
    private final List<AutoCloseable> closeAfterTest = new ArrayList<>();
    Gateway gateway;

    <T extends AutoCloseable> T closeAfterTest(T resource) {
        closeAfterTest.add(resource);
        return resource;
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : closeAfterTest) {
            resource.close();
        }
        if (gateway != null) {
            gateway.stop();
        }
    }

    /** A count of the gateway's, read on its loop. */
    long counter(String name) throws Exception {
        CompletableFuture<Long> read = new CompletableFuture<>();
        gateway.execute(() -> read.complete(gateway.broker().counters().get(name)));
        return read.get(20, TimeUnit.SECONDS);
    }

    /** A count, once it has come to be: what the loop counts may follow what a client sees. */
    void awaitCounter(String name, long wanted) throws Exception {
        for (int i = 0; i < 2000 && counter(name) != wanted; i++) {
            Thread.sleep(5);
        }
        assertEquals(wanted, counter(name), name);
    }
}
