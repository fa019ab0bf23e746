package petrelstand.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import petrelstand.core.Timers;

/** The loop on real sockets of its own. */
@Timeout(60)
class EventLoopTest {
    private final LoopClock clock = new LoopClock();
    private final Timers timers = new Timers();
    private final EventLoop loop = new EventLoop(clock, timers);

    @BeforeEach
    void start() throws Exception {
        loop.start();
    }

    @AfterEach
    void stop() throws Exception {
        loop.stop();
    }

    private static class Quiet extends LoopConnection {
        Quiet(EndPoint endPoint) {
            super(endPoint);
        }

        @Override
        public void onFillable() {}
    }

    /** Guards against a connect timeout of 0, with which Jetty failed each connection that came up. */
    @Test
    void connectionsComeUpAndAllRunsOnOneThread() throws Exception {
        CompletableFuture<String> accepted = new CompletableFuture<>();
        CompletableFuture<String> connected = new CompletableFuture<>();
        ServerSocketChannel server = loop.listen(new InetSocketAddress("127.0.0.1", 0), endPoint -> {
            accepted.complete(Thread.currentThread().getName());
            return new Quiet(endPoint);
        });
        loop.execute(() -> {
            try {
                loop.connect((InetSocketAddress) server.getLocalAddress(), new EventLoop.Connector() {
                    @Override
                    public Connection connected(EndPoint endPoint) {
                        connected.complete(Thread.currentThread().getName());
                        return new Quiet(endPoint);
                    }

                    @Override
                    public void connectFailed(Throwable cause) {
                        connected.completeExceptionally(cause);
                    }
                });
            } catch (java.io.IOException e) {
                connected.completeExceptionally(e);
            }
        });
        assertEquals("loop", connected.get(20, TimeUnit.SECONDS));
        assertEquals("loop", accepted.get(20, TimeUnit.SECONDS));
    }

    /** Guards against an exception that Jetty would take for a broken selector, closing every connection. */
    @Test
    void aFaultInATaskOrTimerLeavesTheLoopRunning() throws Exception {
        CompletableFuture<Void> after = new CompletableFuture<>();
        loop.execute(() -> {
            throw new IllegalStateException("meant by the test");
        });
        loop.execute(() -> {
            timers.schedule(clock.nowUs(), () -> {
                throw new IllegalStateException("meant by the test");
            });
            timers.schedule(clock.nowUs() + 1000, () -> after.complete(null));
        });
        after.get(20, TimeUnit.SECONDS);
    }

    /** A place where Jetty calls this program's code, and catches what comes out of it. */
    private enum Place {
        TASK,
        TIMER,
        NEW_CONNECTION,
        OPEN,
        FILLABLE
    }

    /** Jetty's own handling goes on in this test, where the handler does not end the process. */
    @ParameterizedTest
    @EnumSource(Place.class)
    void anErrorThatJettyWouldSwallowIsTold(Place place) throws Exception {
        Error meant = new LinkageError("meant by the test");
        CompletableFuture<Throwable> told = new CompletableFuture<>();
        EventLoop watched = new EventLoop(clock, new Timers());
        watched.setFatalErrorHandler((thread, thrown) -> told.complete(thrown));
        watched.start();
        ServerSocketChannel server = watched.listen(new InetSocketAddress("127.0.0.1", 0), endPoint -> {
            throwAt(place == Place.NEW_CONNECTION, meant);
            return new Quiet(endPoint) {
                @Override
                public void onOpen() {
                    super.onOpen();
                    throwAt(place == Place.OPEN, meant);
                    fillInterested();
                }

                @Override
                public void onFillable() {
                    throwAt(place == Place.FILLABLE, meant);
                }
            };
        });
        if (place == Place.TASK) {
            watched.execute(() -> throwAt(true, meant));
        } else if (place == Place.TIMER) {
            watched.execute(
                    () -> watched.getScheduler().schedule(() -> throwAt(true, meant), 1, TimeUnit.MILLISECONDS));
        }
        try (Socket client = new Socket("127.0.0.1", ((InetSocketAddress) server.getLocalAddress()).getPort())) {
            client.getOutputStream().write('x');
            assertSame(meant, told.get(20, TimeUnit.SECONDS));
        } finally {
            watched.stop();
        }
    }

    private static void throwAt(boolean here, Error meant) {
        if (here) {
            throw meant;
        }
    }

    /** What Jetty catches and hands on as a failure is an error all the same; other failures are not. */
    @Test
    void anErrorThatIsHandedOnAsAFailureIsThrown() {
        Error meant = new LinkageError("meant by the test");
        List<Throwable> failed = new ArrayList<>();
        var callback = LoopConnection.nonBlockingCallback(() -> {}, failed::add);
        assertSame(meant, assertThrows(LinkageError.class, () -> callback.failed(new RuntimeException(meant))));
        assertEquals(List.of(), failed);
        java.io.IOException reset = new java.io.IOException("reset");
        callback.failed(reset);
        assertEquals(List.of(reset), failed);
    }

    /** Guards against a selector that Jetty has given up: its thread ends as if all were well. */
    @Test
    void anEndOfTheThreadThatNobodyAskedForIsTold() throws Exception {
        CompletableFuture<Throwable> told = new CompletableFuture<>();
        EventLoop watched = new EventLoop(clock, new Timers());
        watched.setFatalErrorHandler((thread, thrown) -> told.complete(thrown));
        watched.start();
        watched.execute(() -> {
            try {
                watched.getBean(org.eclipse.jetty.io.ManagedSelector.class)
                        .getSelector()
                        .close();
            } catch (java.io.IOException e) {
                told.completeExceptionally(e);
            }
        });
        assertEquals("the selector was given up", told.get(20, TimeUnit.SECONDS).getMessage());
    }

    /** Guards against a loop that stood still and takes its own stillness for others' silence. */
    @Test
    void whatCameWhileTheLoopStoodStillIsReadBeforeTheTimersThatAreDue() throws Exception {
        List<String> order = new CopyOnWriteArrayList<>();
        CountDownLatch open = new CountDownLatch(20);
        CountDownLatch all = new CountDownLatch(21);
        ServerSocketChannel server =
                loop.listen(new InetSocketAddress("127.0.0.1", 0), endPoint -> new Quiet(endPoint) {
                    @Override
                    public void onOpen() {
                        super.onOpen();
                        fillInterested();
                        open.countDown();
                    }

                    @Override
                    public void onFillable() {
                        order.add("read");
                        all.countDown();
                    }
                });
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(new Socket("127.0.0.1", ((InetSocketAddress) server.getLocalAddress()).getPort()));
        }
        assertTrue(open.await(20, TimeUnit.SECONDS));
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch goesOn = new CountDownLatch(1);
        loop.execute(() -> {
            timers.schedule(clock.nowUs() + 20_000, () -> {
                order.add("timer");
                all.countDown();
            });
            stands.countDown();
            try {
                goesOn.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertTrue(stands.await(20, TimeUnit.SECONDS));
        for (Socket client : clients) {
            client.getOutputStream().write('x');
        }
        // The timer's time is to be over when the loop goes on.
        TimeUnit.MILLISECONDS.sleep(60);
        goesOn.countDown();
        assertTrue(all.await(20, TimeUnit.SECONDS));
        assertEquals(20, order.indexOf("timer"), order.toString());
        for (Socket client : clients) {
            client.close();
        }
    }

    /** Discovery tells starts in Unix time; on the loop's clock the same number is the same moment. */
    @Test
    void theClockStandsAtUnixTimeAndDoesNotGoBack() {
        long before = clock.nowUs();
        assertTrue(Math.abs(before / 1000 - System.currentTimeMillis()) < 60_000);
        clock.turn();
        assertTrue(clock.nowUs() >= before);
    }

    @Test
    void addressesAreNumbersOnly() {
        assertEquals(9000, SocketAddresses.parse("10.0.0.4:9000").getPort());
        for (String text : new String[] {"host:1", "10.0.0.4", "10.0.0.4:x", ":1", "10.0.0.4:99999"}) {
            assertThrows(IllegalArgumentException.class, () -> SocketAddresses.parse(text), text);
        }
    }
}
