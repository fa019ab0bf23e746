package petrelstand.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import petrelstand.core.Timers;

/**
 * The one event loop: Jetty's selector, with the timers run between its selects and every task that Jetty would hand to
 * a pool run on the same thread. The clock is read once a turn, right after the select, and the timers run when all
 * that was selected has been read: what had come by a timer's time goes before it, however long the loop stood still.
 */
public final class EventLoop extends SelectorManager {
    /** Someone who wants a connection out, and hears if it does not come up. */
    public interface Connector {
        Connection connected(EndPoint endPoint);

        void connectFailed(Throwable cause);
    }

    /**
     * Jetty's own bound on a connection that does not come up; callers with a shorter one close the channel. Not 0:
     * Jetty then fails every connection that does come up, on the timer that it did not set.
     */
    private static final long CONNECT_MS = 3_000;
    /** Connections that the system holds for a listener. */
    private static final int BACKLOG = 1024;
    /** Those of them that a listener which ends takes in a turn. */
    private static final int LAST_IN_A_TURN = 16;

    private final LoopClock clock;
    private final Timers timers;
    private final LoopExecutor executor;
    private final Map<SocketAddress, Function<EndPoint, Connection>> fronts = new HashMap<>();
    /** Channels that are there, and whose connections are not made yet. */
    private final Set<SelectableChannel> accepting = ConcurrentHashMap.newKeySet();
    /** Listeners that are being closed. */
    private int unlistening;
    /** Written by the loop's thread alone. */
    private volatile long iterations;

    public EventLoop(LoopClock clock, Timers timers) {
        this(clock, timers, new LoopExecutor());
    }

    private EventLoop(LoopClock clock, Timers timers, LoopExecutor executor) {
        super(executor, new LoopScheduler(clock, timers), 1);
        this.clock = clock;
        this.timers = timers;
        this.executor = executor;
        setConnectTimeout(CONNECT_MS);
    }

    /** Runs a task on the loop's thread, from any thread. */
    public void execute(Runnable task) {
        executor.execute(task);
        executor.wake();
    }

    /**
     * Who hears of an exception or error that has ended the loop's thread, of errors that Jetty would swallow, and of
     * an end of the thread that nobody asked for. Before the start.
     */
    public void setFatalErrorHandler(Thread.UncaughtExceptionHandler handler) {
        executor.whenBroken = handler;
    }

    /** How often the loop has turned; from any thread. */
    public long iterations() {
        return iterations;
    }

    /** Makes a loop that waits turn; from any thread. */
    public void wake() {
        executor.wake();
    }

    /** The place in the code where the loop's thread is, for people; from any thread. */
    public String currentStackFrame() {
        Thread thread = executor.thread;
        StackTraceElement[] trace = thread == null ? new StackTraceElement[0] : thread.getStackTrace();
        return trace.length == 0 ? "no place" : trace[0].toString();
    }

    @Override
    protected void doStop() throws Exception {
        executor.stopping = true;
        super.doStop();
    }

    /** Waits until the loop has ended. */
    public void join() throws InterruptedException {
        executor.thread.join();
    }

    /** Listens; each accepted connection is made by the front. A port of 0 takes a free one. */
    public ServerSocketChannel listen(InetSocketAddress address, Function<EndPoint, Connection> front)
            throws IOException {
        return listen(address, false, front);
    }

    /** Listens, where shared beside other processes that do so too: the system gives each its part of connections. */
    public ServerSocketChannel listen(InetSocketAddress address, boolean shared, Function<EndPoint, Connection> front)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.configureBlocking(false);
        try {
            if (shared) {
                server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            server.bind(address, BACKLOG);
        } catch (IOException e) {
            server.close();
            throw e;
        }
        fronts.put(server.getLocalAddress(), front);
        acceptor(server);
        return server;
    }

    /**
     * Ends listening, in later turns: what the system holds for the listener is taken first, a few in each turn, so
     * that what there is no room for is closed before the next come. A listener that closes while it is registered
     * stays open to the system until the next select, and what comes up meanwhile would be reset.
     */
    public void stopListening(ServerSocketChannel server) {
        unlistening++;
        executor.execute(() -> {
            try {
                SelectionKey key = server.keyFor(executor.selector);
                if (key != null) {
                    key.cancel();
                    executor.selector.selectNow();
                }
            } catch (IOException e) {
                notClosed(e);
            }
            takeLast(server, BACKLOG);
        });
    }

    /** Whether connections that the system has accepted have yet to become some here. */
    public boolean hasPendingAccepts() {
        return unlistening > 0 || !accepting.isEmpty();
    }

    @Override
    protected void onAccepting(SelectableChannel channel) {
        accepting.add(channel);
    }

    @Override
    protected void onAccepted(SelectableChannel channel) {
        accepting.remove(channel);
    }

    @Override
    protected void onAcceptFailed(SelectableChannel channel, Throwable cause) {
        FatalErrors.rethrowIfError(cause);
        accepting.remove(channel);
    }

    /** Takes what is left in a listener's backlog, at most so many, and closes it. */
    private void takeLast(ServerSocketChannel server, int most) {
        try {
            for (int taken = 0; taken < most; taken++) {
                if (taken == LAST_IN_A_TURN) {
                    executor.execute(() -> takeLast(server, most - LAST_IN_A_TURN));
                    return;
                }
                SocketChannel last = server.accept();
                if (last == null) {
                    break;
                }
                accepted(last);
            }
        } catch (IOException e) {
            notClosed(e);
        }
        try {
            server.close();
        } catch (IOException e) {
            notClosed(e);
        }
        unlistening--;
    }

    private static void notClosed(IOException e) {
        System.err.println("petrelstand: loop: a listener would not close: " + e);
    }

    /** Starts a connection out; the connector hears of it in a later turn. */
    public SocketChannel connect(InetSocketAddress address, Connector connector) throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.socket().setTcpNoDelay(true);
            if (channel.connect(address)) {
                accept(channel, connector);
            } else {
                connect(channel, connector);
            }
            return channel;
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * Runs what must not end the loop: Jetty would take an exception here for a broken selector and close it, and with
     * it every connection. An error is another matter, see {@link FatalErrors}.
     */
    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            fault(e);
        } catch (Error e) {
            FatalErrors.report(e);
            throw e;
        }
    }

    static void fault(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        System.err.println("petrelstand: loop: fault in a task: " + e + (trace.length == 0 ? "" : " at " + trace[0]));
    }

    @Override
    protected SelectableChannel doAccept(SelectableChannel server) throws IOException {
        try {
            return super.doAccept(server);
        } catch (Error e) {
            FatalErrors.report(e);
            throw e;
        }
    }

    @Override
    protected void accepted(SelectableChannel channel) throws IOException {
        try {
            take(channel);
        } catch (Error e) {
            FatalErrors.report(e);
            throw e;
        }
    }

    private void take(SelectableChannel channel) throws IOException {
        SocketChannel socket = (SocketChannel) channel;
        InetSocketAddress at = (InetSocketAddress) socket.getLocalAddress();
        Function<EndPoint, Connection> front = fronts.get(at);
        if (front == null) {
            // One that listens on all of the machine's addresses is known by none of them.
            front = fronts.entrySet().stream()
                    .filter(one -> ((InetSocketAddress) one.getKey()).getPort() == at.getPort())
                    .findFirst()
                    .orElseThrow(() -> new IOException("nobody listens at " + at))
                    .getValue();
        }
        socket.configureBlocking(false);
        socket.socket().setTcpNoDelay(true);
        accept(socket, front);
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new ResetTellingEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    /**
     * Tells a reset as an exception, each time it is asked. Jetty's own makes an end of it, and an answer that has no
     * length and is cut by a reset would pass for whole.
     */
    private static final class ResetTellingEndPoint extends SocketChannelEndPoint {
        private IOException reset;

        ResetTellingEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
            super(channel, selector, key, scheduler);
        }

        @Override
        public Runnable onSelected() {
            try {
                return super.onSelected();
            } catch (Error e) {
                FatalErrors.report(e);
                throw e;
            }
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            if (reset != null) {
                throw reset;
            }
            if (isInputShutdown()) {
                return -1;
            }
            int position = BufferUtil.flipToFill(buffer);
            try {
                int filled = getChannel().read(buffer);
                if (filled < 0) {
                    shutdownInput();
                }
                return filled;
            } catch (IOException e) {
                reset = e;
                shutdownInput();
                throw e;
            } finally {
                BufferUtil.flipToFlush(buffer, position);
            }
        }
    }

    @Override
    public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
        if (attachment instanceof Connector connector) {
            return connector.connected(endPoint);
        }
        @SuppressWarnings("unchecked")
        Function<EndPoint, Connection> front = (Function<EndPoint, Connection>) attachment;
        return front.apply(endPoint);
    }

    @Override
    public void connectionOpened(Connection connection, Object context) {
        guarded(connection::onOpen);
    }

    @Override
    public void connectionClosed(Connection connection, Throwable cause) {
        guarded(() -> connection.onClose(cause));
    }

    @Override
    protected void connectionFailed(SelectableChannel channel, Throwable cause, Object attachment) {
        FatalErrors.rethrowIfError(cause);
        if (attachment instanceof Connector connector) {
            connector.connectFailed(cause);
        }
    }

    @Override
    protected ManagedSelector newSelector(int id) {
        return new Turns(id);
    }

    private final class Turns extends ManagedSelector {
        Turns(int id) {
            super(EventLoop.this, id);
        }

        @Override
        protected int nioSelect(Selector selector, boolean now) throws IOException {
            if (now) {
                return selector.selectNow();
            }
            try {
                return turn(selector);
            } catch (Error e) {
                FatalErrors.report(e);
                throw e;
            }
        }

        private int turn(Selector selector) throws IOException {
            iterations++;
            executor.selector = selector;
            guarded(() -> timers.runDue(clock.nowUs()));
            executor.runAll();
            long waitUs = timers.nextDueUs() - clock.readUs();
            int selected = waitUs <= 0 || !executor.isEmpty()
                    ? selector.selectNow()
                    : selector.select(waitUs > 60_000_000 ? 60_000 : (waitUs + 999) / 1000);
            clock.turn();
            executor.runAll();
            return selected;
        }

        @Override
        protected void onSelectFailed(Throwable cause) {
            FatalErrors.rethrowIfError(cause);
        }
    }

    /** The first task is the selector's own and gets the thread; what comes later waits for a turn on it. */
    private static final class LoopExecutor implements Executor {
        private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
        private volatile Thread thread;
        private volatile Selector selector;
        private volatile Thread.UncaughtExceptionHandler whenBroken;
        private volatile boolean stopping;

        @Override
        public void execute(Runnable task) {
            if (thread == null) {
                thread = new Thread(() -> select(task), "loop");
                if (whenBroken != null) {
                    thread.setUncaughtExceptionHandler(whenBroken);
                }
                thread.start();
            } else {
                tasks.add(task);
                wake();
            }
        }

        private void select(Runnable selecting) {
            selecting.run();
            if (!stopping) {
                throw new IllegalStateException("the selector was given up");
            }
        }

        void wake() {
            Selector open = selector;
            if (open != null && Thread.currentThread() != thread) {
                open.wakeup();
            }
        }

        boolean isEmpty() {
            return tasks.isEmpty();
        }

        void runAll() {
            ArrayDeque<Runnable> due = new ArrayDeque<>();
            for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                due.add(task);
            }
            due.forEach(EventLoop::guarded);
        }
    }

    /** Jetty's own timeouts, on the loop's timers. */
    private static final class LoopScheduler extends AbstractLifeCycle implements Scheduler {
        private final LoopClock clock;
        private final Timers timers;

        LoopScheduler(LoopClock clock, Timers timers) {
            this.clock = clock;
            this.timers = timers;
        }

        @Override
        public Task schedule(Runnable task, long delay, TimeUnit units) {
            return timers.schedule(clock.nowUs() + units.toMicros(delay), task)::cancel;
        }
    }
}
