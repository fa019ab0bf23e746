package petrelstand.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import petrelstand.core.Timers;

/** Guards against calls of accept that fail and cost other connections, or keep the loop busy. */
@Timeout(60)
class FailingAcceptTest {
    private static final int CLIENTS = 300;
    private static final long OUTAGE_MS = 1_000;

    private final Random random = new Random(62);
    private final AtomicInteger failures = new AtomicInteger();
    private volatile double failingFraction;
    private final EventLoop loop = new EventLoop(new LoopClock(), new Timers(), this::acceptOrFail);

    /** Fails before the call, as the system does when it has no descriptor left; the connection stays queued. */
    private SocketChannel acceptOrFail(ServerSocketChannel server) throws IOException {
        if (random.nextDouble() < failingFraction) {
            throw new IOException("Too many open files in system");
        }
        return server.accept();
    }

    /** Sends back what it reads. */
    private static final class EchoConnection extends LoopConnection {
        private final ByteBuffer buffer = BufferUtil.allocate(64);

        EchoConnection(EndPoint endPoint) {
            super(endPoint);
        }

        @Override
        public void onOpen() {
            super.onOpen();
            fillInterested();
        }

        @Override
        public void onFillable() {
            try {
                if (getEndPoint().fill(buffer) > 0) {
                    getEndPoint().write(nonBlockingCallback(() -> {}, cause -> close()), buffer);
                }
                fillInterested();
            } catch (IOException e) {
                close();
            }
        }
    }

    private InetSocketAddress listen() throws Exception {
        loop.setAcceptFailureCounter(failures::incrementAndGet);
        loop.start();
        return (InetSocketAddress)
                loop.listen(new InetSocketAddress("127.0.0.1", 0), this::echo).getLocalAddress();
    }

    private Connection echo(EndPoint endPoint) {
        return new EchoConnection(endPoint);
    }

    @AfterEach
    void stop() throws Exception {
        loop.stop();
    }

    @Test
    void failingAcceptCostsNoOtherConnection() throws Exception {
        InetSocketAddress address = listen();
        failingFraction = 1 / 3.0;
        List<Socket> clients = new ArrayList<>();
        int answered = 0;
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = new Socket(address.getAddress(), address.getPort());
            client.setSoTimeout(5_000);
            client.getOutputStream().write(i);
            clients.add(client);
        }
        for (int i = 0; i < CLIENTS; i++) {
            answered += clients.get(i).getInputStream().read() == (i & 0xff) ? 1 : 0;
            clients.get(i).close();
        }
        assertEquals(CLIENTS, answered);
        assertTrue(failures.get() > 0, "no call failed");
    }

    @Test
    void loopRestsWhileEachAcceptFailsAndServesOpenConnections() throws Exception {
        InetSocketAddress address = listen();
        try (Socket open = new Socket(address.getAddress(), address.getPort())) {
            open.getOutputStream().write(1);
            assertEquals(1, open.getInputStream().read());
            failingFraction = 1;
            try (Socket waiting = new Socket(address.getAddress(), address.getPort())) {
                waiting.getOutputStream().write(2);
                long iterationsBefore = loop.monitor().iterations();
                CountDownLatch outage = new CountDownLatch(1);
                assertTrue(!outage.await(OUTAGE_MS, TimeUnit.MILLISECONDS));
                long pauses = OUTAGE_MS * 1_000 / EventLoop.ACCEPT_PAUSE_US;
                long iterations = loop.monitor().iterations() - iterationsBefore;
                assertTrue(iterations <= 4 * pauses, iterations + " iterations in " + pauses + " pauses");
                assertTrue(
                        failures.get() <= AcceptRetry.MAX_FAILURES_IN_A_ROW * (pauses + 1),
                        failures + " failed calls in " + pauses + " pauses");
                open.getOutputStream().write(3);
                assertEquals(3, open.getInputStream().read());
                failingFraction = 0;
                waiting.setSoTimeout(5_000);
                assertEquals(2, waiting.getInputStream().read());
            }
        }
    }
}
