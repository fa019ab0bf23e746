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
abstract class GatewayTests {
    private final List<AutoCloseable> opened = new ArrayList<>();
    Gateway gateway;

    <T extends AutoCloseable> T opened(T one) {
        opened.add(one);
        return one;
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable one : opened) {
            one.close();
        }
        if (gateway != null) {
            gateway.stop();
        }
    }

    /** A count of the gateway's, read on its loop. */
    long count(String name) throws Exception {
        CompletableFuture<Long> read = new CompletableFuture<>();
        gateway.execute(() -> read.complete(gateway.broker().counters().get(name)));
        return read.get(20, TimeUnit.SECONDS);
    }

    /** A count, once it has come to be: what the loop counts may follow what a client sees. */
    void awaitCount(String name, long wanted) throws Exception {
        for (int i = 0; i < 2000 && count(name) != wanted; i++) {
            Thread.sleep(5);
        }
        assertEquals(wanted, count(name), name);
    }
}
