package petrelstand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.testing.GatewayProcesses;
import petrelstand.testing.GatewayProcesses.GatewayProcess;
import petrelstand.testing.LoopbackPeers.Client;

/**
 * Guards against a write that runs twice because its id comes again at the other process of a gateway that is being
 * replaced, while it is open there or after its client has left.
 */
@Timeout(120)
class RepeatedTxnIdProcessTest {
    private static final int SERVICE_MS = 100;
    /** A new connection comes to either process; among so many each direction occurs. */
    private static final int WRITES = 24;

    private static final long RETURNS_AFTER_MS = 50;

    @TempDir
    Path folder;

    private GatewayProcesses gateway;

    @BeforeEach
    void open() throws IOException {
        gateway = new GatewayProcesses(folder, SERVICE_MS);
    }

    @AfterEach
    void close() throws IOException {
        gateway.close();
    }

    private static String write(String txn) {
        return GatewayProcesses.request("PUT", "survey-write", "", txn) + "Content-Length: 4\r\n\r\nsalt";
    }

    /** Sends a write on a new connection, leaves after a while, and sends it again on another. */
    private String leaveAndReturn(String txn) throws Exception {
        try (Client leaving = new Client(gateway.port())) {
            leaving.send(write(txn));
            Thread.sleep(RETURNS_AFTER_MS);
        }
        Thread.sleep(RETURNS_AFTER_MS);
        try (Client returning = new Client(gateway.port())) {
            returning.send(write(txn));
            return returning.readAnswer().substring(0, 3);
        }
    }

    @Test
    void idOfDepartedClientRunsOnceAcrossBothProcesses() throws Exception {
        GatewayProcess first = gateway.start();
        first.await("ready: ");
        GatewayProcess second = gateway.start();
        second.await("ready: ");
        first.await("another process of this gateway listens too");
        List<String> answers = new ArrayList<>();
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < WRITES; i++) {
            answers.add(leaveAndReturn("w" + i));
            expected.add("w" + i);
        }
        assertEquals(expected, receivedWrites());
        assertTrue(answers.stream().allMatch("409"::equals), answers.toString());
    }

    /** The replaced process may end, or be killed, while its last writes are still remembered. */
    @Test
    void idTakenByTheReplacedProcessRunsOnceAfterItsEnd() throws Exception {
        GatewayProcess first = gateway.start();
        first.await("ready: ");
        List<Client> leaving = new ArrayList<>();
        for (int i = 0; i < WRITES; i++) {
            leaving.add(new Client(gateway.port()));
            // A connection that has been used stays open at rest.
            assertTrue(
                    GatewayProcesses.read(leaving.get(i), "tile-read", "r" + i).startsWith("200"));
        }
        GatewayProcess second = gateway.start();
        second.await("ready: ");
        first.await("another process of this gateway listens too");
        for (int i = 0; i < WRITES; i++) {
            leaving.get(i).send(write("w" + i));
        }
        Thread.sleep(SERVICE_MS / 2);
        first.process().destroyForcibly().waitFor();
        List<String> ran = receivedWrites();
        assertTrue(!ran.isEmpty(), "no write has reached the node");
        for (String txn : ran) {
            try (Client returning = new Client(gateway.port())) {
                returning.send(write(txn));
                assertEquals("409", returning.readAnswer().substring(0, 3));
            }
        }
        assertEquals(ran, receivedWrites());
        for (Client client : leaving) {
            client.close();
        }
    }

    private List<String> receivedWrites() {
        return gateway.receivedTxnIds().stream()
                .filter(txn -> txn.startsWith("w"))
                .toList();
    }
}
