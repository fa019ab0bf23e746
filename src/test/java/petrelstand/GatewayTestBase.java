package petrelstand;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;

/**
 * Base of tests with a whole gateway on loopback: closes it and all resources after each test, and reads its counters.
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

    /** Reads a counter of the gateway on its loop. */
    long counter(String name) throws Exception {
        CompletableFuture<Long> read = new CompletableFuture<>();
        gateway.execute(() -> read.complete(gateway.broker().counters().get(name)));
        return read.get(20, TimeUnit.SECONDS);
    }

    /** Waits for a counter's value, since the loop may count after the client has its answer. */
    void awaitCounter(String name, long wanted) throws Exception {
        awaitTrue(() -> counter(name) == wanted);
        assertEquals(wanted, counter(name), name);
    }

    /** Waits until a condition is true, or 10 s. */
    void awaitTrue(Callable<Boolean> condition) throws Exception {
        for (int i = 0; i < 2000 && !condition.call(); i++) {
            Thread.sleep(5);
        }
    }
}
