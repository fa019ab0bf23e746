package petrelstand.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.BufferUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import petrelstand.core.LoopMonitor;
import petrelstand.core.Timers;

/** Runs the event loop on loopback sockets. */
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

    private static class IgnoringConnection extends LoopConnection {
        IgnoringConnection(EndPoint endPoint) {
            super(endPoint);
        }

        @Override
        public void onFillable() {}
    }

    /** Guards against a connect timeout of 0, with which Jetty fails every established connection. */
    @Test
    void connectionsAreCreatedOnTheLoopThread() throws Exception {
        CompletableFuture<String> accepted = new CompletableFuture<>();
        CompletableFuture<String> connected = new CompletableFuture<>();
        ServerSocketChannel server = loop.listen(new InetSocketAddress("127.0.0.1", 0), endPoint -> {
            accepted.complete(Thread.currentThread().getName());
            return new IgnoringConnection(endPoint);
        });
        loop.execute(() -> {
            try {
                loop.connect((InetSocketAddress) server.getLocalAddress(), new EventLoop.Connector() {
                    @Override
                    public Connection connected(EndPoint endPoint) {
                        connected.complete(Thread.currentThread().getName());
                        return new IgnoringConnection(endPoint);
                    }

                    @Override
                    public void connectFailed(Throwable cause) {
                        connected.completeExceptionally(cause);
                    }
                });
            } catch (IOException e) {
                connected.completeExceptionally(e);
            }
        });
        assertEquals("loop", connected.get(20, TimeUnit.SECONDS));
        assertEquals("loop", accepted.get(20, TimeUnit.SECONDS));
    }

    /** Guards against exceptions that make Jetty close the selector and every connection. */
    @Test
    void loopContinuesAfterExceptionInTaskOrTimer() throws Exception {
        CompletableFuture<Void> laterTimer = new CompletableFuture<>();
        loop.execute(() -> {
            throw new IllegalStateException("thrown by the test");
        });
        loop.execute(() -> {
            timers.schedule(clock.nowUs(), () -> {
                throw new IllegalStateException("thrown by the test");
            });
            timers.schedule(clock.nowUs() + 1000, () -> laterTimer.complete(null));
        });
        laterTimer.get(20, TimeUnit.SECONDS);
    }

    /** Code of the gateway that Jetty calls, catching what it throws. */
    private enum ThrowingCode {
        TASK,
        TIMER,
        NEW_CONNECTION,
        ON_OPEN,
        ON_FILLABLE
    }

    /** The handler of this test doesn't end the process, so Jetty continues after the error. */
    @ParameterizedTest
    @EnumSource(ThrowingCode.class)
    void errorCaughtByJettyReachesTheHandler(ThrowingCode throwingCode) throws Exception {
        Error error = new LinkageError("thrown by the test");
        CompletableFuture<Throwable> reported = new CompletableFuture<>();
        EventLoop loopWithHandler = new EventLoop(clock, new Timers());
        loopWithHandler.setFatalErrorHandler((thread, thrown) -> reported.complete(thrown));
        loopWithHandler.start();
        ServerSocketChannel server = loopWithHandler.listen(new InetSocketAddress("127.0.0.1", 0), endPoint -> {
            throwIf(throwingCode == ThrowingCode.NEW_CONNECTION, error);
            return new IgnoringConnection(endPoint) {
                @Override
                public void onOpen() {
                    super.onOpen();
                    throwIf(throwingCode == ThrowingCode.ON_OPEN, error);
                    fillInterested();
                }

                @Override
                public void onFillable() {
                    throwIf(throwingCode == ThrowingCode.ON_FILLABLE, error);
                }
            };
        });
        if (throwingCode == ThrowingCode.TASK) {
            loopWithHandler.execute(() -> throwIf(true, error));
        } else if (throwingCode == ThrowingCode.TIMER) {
            loopWithHandler.execute(() ->
                    loopWithHandler.getScheduler().schedule(() -> throwIf(true, error), 1, TimeUnit.MILLISECONDS));
        }
        try (Socket client = new Socket("127.0.0.1", ((InetSocketAddress) server.getLocalAddress()).getPort())) {
            client.getOutputStream().write('x');
            assertSame(error, reported.get(20, TimeUnit.SECONDS));
        } finally {
            loopWithHandler.stop();
        }
    }

    private static void throwIf(boolean condition, Error error) {
        if (condition) {
            throw error;
        }
    }

    /** Guards against an Error that Jetty catches and passes to a callback as an ordinary failure. */
    @Test
    void callbackRethrowsFailureCausedByError() {
        Error error = new LinkageError("thrown by the test");
        List<Throwable> failed = new ArrayList<>();
        var callback = LoopConnection.nonBlockingCallback(() -> {}, failed::add);
        assertSame(error, assertThrows(LinkageError.class, () -> callback.failed(new RuntimeException(error))));
        assertEquals(List.of(), failed);
        IOException reset = new IOException("reset");
        callback.failed(reset);
        assertEquals(List.of(reset), failed);
    }

    /** Guards against a silent end of the loop's thread after Jetty has abandoned the selector. */
    @Test
    void unexpectedEndOfTheThreadReachesTheHandler() throws Exception {
        CompletableFuture<Throwable> reported = new CompletableFuture<>();
        EventLoop loopWithHandler = new EventLoop(clock, new Timers());
        loopWithHandler.setFatalErrorHandler((thread, thrown) -> reported.complete(thrown));
        loopWithHandler.start();
        loopWithHandler.execute(() -> {
            try {
                loopWithHandler.getBean(ManagedSelector.class).getSelector().close();
            } catch (IOException e) {
                reported.completeExceptionally(e);
            }
        });
        assertEquals(
                "the event loop's selector ended without a call to stop()",
                reported.get(20, TimeUnit.SECONDS).getMessage());
    }

    /** Guards against timeouts that expire after a stall although the answers have already arrived. */
    @Test
    void inputThatArrivedDuringAStallIsReadBeforeDueTimers() throws Exception {
        List<String> order = new CopyOnWriteArrayList<>();
        CountDownLatch opened = new CountDownLatch(20);
        CountDownLatch allEvents = new CountDownLatch(21);
        ServerSocketChannel server =
                loop.listen(new InetSocketAddress("127.0.0.1", 0), endPoint -> new IgnoringConnection(endPoint) {
                    @Override
                    public void onOpen() {
                        super.onOpen();
                        fillInterested();
                        opened.countDown();
                    }

                    @Override
                    public void onFillable() {
                        order.add("read");
                        allEvents.countDown();
                    }
                });
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            clients.add(new Socket("127.0.0.1", ((InetSocketAddress) server.getLocalAddress()).getPort()));
        }
        assertTrue(opened.await(20, TimeUnit.SECONDS));
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        loop.execute(() -> {
            timers.schedule(clock.nowUs() + 20_000, () -> {
                order.add("timer");
                allEvents.countDown();
            });
            stalled.countDown();
            try {
                resume.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertTrue(stalled.await(20, TimeUnit.SECONDS));
        for (Socket client : clients) {
            client.getOutputStream().write('x');
        }
        // The timer has to be due when the loop resumes.
        TimeUnit.MILLISECONDS.sleep(60);
        resume.countDown();
        assertTrue(allEvents.await(20, TimeUnit.SECONDS));
        assertEquals(20, order.indexOf("timer"), order.toString());
        for (Socket client : clients) {
            client.close();
        }
    }

    /** Guards against a peer that sends without pause and so keeps the loop from its other connections and timers. */
    @Test
    void inputOfOneConnectionIsReadOverSeveralTurns() throws Exception {
        int sentBytes = 2 * ReadLimiter.MAX_BYTES_PER_TURN + 1;
        List<Integer> reads = new CopyOnWriteArrayList<>();
        CountDownLatch opened = new CountDownLatch(2);
        CountDownLatch allRead = new CountDownLatch(sentBytes + 1);
        ServerSocketChannel server =
                loop.listen(new InetSocketAddress("127.0.0.1", 0), endPoint -> new IgnoringConnection(endPoint) {
                    @Override
                    public void onOpen() {
                        super.onOpen();
                        fillInterested();
                        opened.countDown();
                    }

                    @Override
                    public void onFillable() {
                        int turnBytes = 0;
                        ByteBuffer input = BufferUtil.allocate(4096);
                        try {
                            for (int filled = 1; filled > 0; turnBytes += Math.max(0, filled)) {
                                BufferUtil.clear(input);
                                filled = getEndPoint().fill(input);
                            }
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                        reads.add(turnBytes);
                        fillInterested();
                        for (int i = 0; i < turnBytes; i++) {
                            allRead.countDown();
                        }
                    }
                });
        int port = ((InetSocketAddress) server.getLocalAddress()).getPort();
        try (Socket fast = new Socket("127.0.0.1", port);
                Socket other = new Socket("127.0.0.1", port)) {
            assertTrue(opened.await(20, TimeUnit.SECONDS));
            CountDownLatch stalled = new CountDownLatch(1);
            CountDownLatch resume = new CountDownLatch(1);
            loop.execute(() -> {
                stalled.countDown();
                try {
                    resume.await(20, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            assertTrue(stalled.await(20, TimeUnit.SECONDS));
            fast.getOutputStream().write(new byte[sentBytes]);
            other.getOutputStream().write('x');
            resume.countDown();
            assertTrue(allRead.await(20, TimeUnit.SECONDS), reads.toString());
        }
        assertTrue(reads.stream().allMatch(bytes -> bytes <= ReadLimiter.MAX_BYTES_PER_TURN), reads.toString());
        int otherRead = reads.indexOf(1);
        assertTrue(otherRead == 0 || otherRead == 1, reads.toString());
    }

    /** Guards against input that is handled as if no time had passed since the stall began. */
    @Test
    void stallIsReportedBeforeInputTasksAndTimers() throws Exception {
        List<String> order = new CopyOnWriteArrayList<>();
        CountDownLatch opened = new CountDownLatch(1);
        CountDownLatch allEvents = new CountDownLatch(4);
        Consumer<String> record = event -> {
            order.add(event);
            allEvents.countDown();
        };
        ServerSocketChannel server =
                loop.listen(new InetSocketAddress("127.0.0.1", 0), endPoint -> new IgnoringConnection(endPoint) {
                    @Override
                    public void onOpen() {
                        super.onOpen();
                        fillInterested();
                        opened.countDown();
                    }

                    @Override
                    public void onFillable() {
                        record.accept("input");
                    }
                });
        try (Socket client = new Socket("127.0.0.1", ((InetSocketAddress) server.getLocalAddress()).getPort())) {
            assertTrue(opened.await(20, TimeUnit.SECONDS));
            CountDownLatch stalled = new CountDownLatch(1);
            CountDownLatch resume = new CountDownLatch(1);
            loop.execute(() -> {
                loop.monitor().addStallListener((nowUs, durationUs) -> record.accept("stall"));
                timers.schedule(clock.nowUs() + 1_000, () -> record.accept("timer"));
                stalled.countDown();
                try {
                    resume.await(20, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            assertTrue(stalled.await(20, TimeUnit.SECONDS));
            client.getOutputStream().write('x');
            loop.execute(() -> record.accept("task"));
            TimeUnit.MICROSECONDS.sleep(2 * LoopMonitor.STALL_THRESHOLD_US);
            resume.countDown();
            assertTrue(allEvents.await(20, TimeUnit.SECONDS));
        }
        assertEquals(List.of("stall", "task", "input", "timer"), order);
    }

    /** Guards against an exit that waits for a listener whose closing failed. */
    @Test
    void listenerWhoseClosingFailsIsNotPending() throws Exception {
        ServerSocketChannel unbound = ServerSocketChannel.open();
        unbound.configureBlocking(false);
        CompletableFuture<Boolean> pending = new CompletableFuture<>();
        loop.execute(() -> {
            loop.stopListening(unbound);
            timers.schedule(clock.nowUs() + 200_000, () -> pending.complete(loop.hasPendingAccepts()));
        });
        assertEquals(false, pending.get(20, TimeUnit.SECONDS));
        assertEquals(false, unbound.isOpen());
    }

    /** Start times of nodes from discovery are Unix times and are compared with the loop's clock. */
    @Test
    void clockShowsUnixTimeAndNeverGoesBack() {
        long before = clock.nowUs();
        assertTrue(Math.abs(before / 1000 - System.currentTimeMillis()) < 60_000);
        clock.update();
        assertTrue(clock.nowUs() >= before);
    }

    @Test
    void addressParserRefusesHostNamesAndBadPorts() {
        assertEquals(9000, SocketAddresses.parse("10.0.0.4:9000").getPort());
        for (String text : new String[] {"host:1", "10.0.0.4", "10.0.0.4:x", ":1", "10.0.0.4:99999"}) {
            assertThrows(IllegalArgumentException.class, () -> SocketAddresses.parse(text), text);
        }
    }
}
