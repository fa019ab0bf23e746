package petrelstand.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import petrelstand.core.LoopMonitor;
import petrelstand.core.Timers;

/**
 * The gateway's event loop: Jetty's selector with a single thread, which also runs the timers and the tasks that Jetty
 * would otherwise give to a thread pool.
 *
 * <p>Each iteration selects, reads the clock, handles the selected channels and then runs the timers that are due.
 * Input that arrived before a timer was due is therefore handled before the timer, even after a stall of the loop. The
 * stall itself is reported before that input, by the {@link LoopMonitor}.
 *
 * <p>An iteration has two turns: the timers and tasks before the select, and the input after it. In a turn a connection
 * reads no more than the {@link ReadLimiter} allows; a read beyond that returns 0 bytes, as if no more had arrived, and
 * the connection is selected again in the next iteration.
 */
public final class EventLoop extends SelectorManager {
    /** Receives the result of {@link #connect}, on the loop's thread. */
    public interface Connector {
        /** Creates the connection for a channel that has connected; the loop then opens it. */
        Connection connected(EndPoint endPoint);

        /** Called if the channel can't be connected, or not in time. */
        void connectFailed(Throwable cause);
    }

    /**
     * Connect timeout; callers with a shorter one close the channel. Must not be 0: Jetty then sets no timer, and fails
     * every established connection when it cancels the timer.
     */
    private static final long CONNECT_TIMEOUT_MS = 3_000;
    /** Connections that the operating system queues for a listener. */
    private static final int LISTEN_BACKLOG = 1024;
    /** How long a listener rests after calls of accept that failed. */
    static final long ACCEPT_PAUSE_US = 20_000;
    /** How long a listener that is being closed is tried again while its calls of accept fail. */
    private static final int MAX_DRAIN_PAUSES = 50;
    /** Queued connections accepted per iteration from a listener that is being closed. */
    private static final int DRAINED_PER_ITERATION = 16;
    /** Upper bound on the time between two iterations, so that a stall during a select can be told from a wait. */
    private static final long MAX_ITERATION_INTERVAL_US = 50_000;

    private final LoopClock clock;
    private final Timers timers;
    private final LoopMonitor monitor = new LoopMonitor();
    private final LoopExecutor executor;
    private final Map<SocketAddress, Function<EndPoint, Connection>> connectionFactories = new HashMap<>();
    /** Accepted channels whose connections have not been created yet. */
    private final Set<SelectableChannel> pendingAccepts = ConcurrentHashMap.newKeySet();

    /** The listeners whose queued connections were not all accepted, with a time at which these had not come up. */
    private final Map<SelectableChannel, Long> listenersBehindSinceUs = new HashMap<>();

    /** A time at which the connection being accepted had not come up. */
    private long acceptNotConnectedUs;
    /** The time up to which all events had been handled when the current iteration began. */
    private long polledUs;

    private final Map<SelectableChannel, AcceptRetry> acceptRetries = new HashMap<>();
    private final AcceptRetry.AcceptCall acceptCall;
    private Runnable acceptFailureCounter = () -> {};

    private int closingListeners;
    /** Number of the current turn; a turn limits what a connection may read. */
    private long turn;

    /** Creates a loop that updates the clock and runs the timers; {@code start()} starts its thread. */
    public EventLoop(LoopClock clock, Timers timers) {
        this(clock, timers, ServerSocketChannel::accept);
    }

    EventLoop(LoopClock clock, Timers timers, AcceptRetry.AcceptCall acceptCall) {
        this(clock, timers, acceptCall, new LoopExecutor());
    }

    private EventLoop(LoopClock clock, Timers timers, AcceptRetry.AcceptCall acceptCall, LoopExecutor executor) {
        super(executor, new LoopScheduler(clock, timers), 1);
        this.acceptCall = acceptCall;
        this.clock = clock;
        this.timers = timers;
        this.executor = executor;
        setConnectTimeout(CONNECT_TIMEOUT_MS);
    }

    /** Queues a task for the loop's thread; may be called from any thread. */
    public void execute(Runnable task) {
        executor.execute(task);
        executor.wake();
    }

    /**
     * Sets the handler of exceptions that end the loop's thread, of each {@link Error} that Jetty would catch, and of
     * an end of the thread without a call to {@code stop()}. Must be called before the start.
     */
    public void setFatalErrorHandler(Thread.UncaughtExceptionHandler handler) {
        executor.setFatalErrorHandler(handler);
    }

    /**
     * Sets what is called, on the loop's thread, for each call of accept that fails. Must be called before the start.
     */
    public void setAcceptFailureCounter(Runnable counter) {
        acceptFailureCounter = counter;
    }

    /** Returns what counts this loop's iterations and reports its stalls. */
    public LoopMonitor monitor() {
        return monitor;
    }

    /** Ends a select that is waiting, so that the loop starts another iteration; may be called from any thread. */
    public void wake() {
        executor.wake();
    }

    /** Returns the stack frame that the loop's thread executes, for diagnostics; may be called from any thread. */
    public String currentStackFrame() {
        Thread thread = executor.thread();
        StackTraceElement[] trace = thread == null ? new StackTraceElement[0] : thread.getStackTrace();
        return trace.length == 0 ? "an unknown location" : trace[0].toString();
    }

    @Override
    protected void doStop() throws Exception {
        executor.expectEnd();
        super.doStop();
    }

    /** Waits until the loop's thread has ended. */
    public void join() throws InterruptedException {
        executor.thread().join();
    }

    /** Listens on an address without sharing it with other processes; port 0 picks a free port. */
    public ServerSocketChannel listen(InetSocketAddress address, Function<EndPoint, Connection> connectionFactory)
            throws IOException {
        return listen(address, false, connectionFactory);
    }

    /**
     * Listens on an address.
     *
     * @param address the address; port 0 picks a free port
     * @param shared whether other processes may listen on the same address (SO_REUSEPORT); the operating system then
     *     distributes the connections among them
     * @param connectionFactory creates the connection for each accepted channel
     * @throws IOException if the address can't be bound
     */
    public ServerSocketChannel listen(
            InetSocketAddress address, boolean shared, Function<EndPoint, Connection> connectionFactory)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.configureBlocking(false);
        try {
            if (shared) {
                server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            server.bind(address, LISTEN_BACKLOG);
        } catch (IOException e) {
            server.close();
            throw e;
        }
        connectionFactories.put(server.getLocalAddress(), connectionFactory);
        acceptor(server);
        return server;
    }

    /**
     * Closes a listener in later iterations, after accepting the connections that the operating system has queued for
     * it. They are accepted a few per iteration, so that connections over the limit are closed before the next ones
     * arrive.
     *
     * <p>The listener's key is cancelled first: a registered channel stays open until the next select, and connections
     * arriving until then would be reset.
     */
    public void stopListening(ServerSocketChannel server) {
        closingListeners++;
        executor.execute(() -> {
            try {
                SelectionKey key = server.keyFor(executor.selector());
                if (key != null) {
                    key.cancel();
                    executor.selector().selectNow();
                }
            } catch (IOException | RuntimeException e) {
                logListenerError(e);
            }
            drainBacklog(server, LISTEN_BACKLOG, polledUs, 0);
        });
    }

    /** Returns whether a listener is still being closed or an accepted channel has no connection yet. */
    public boolean hasPendingAccepts() {
        return closingListeners > 0 || !pendingAccepts.isEmpty();
    }

    @Override
    protected void onAccepting(SelectableChannel channel) {
        pendingAccepts.add(channel);
    }

    @Override
    protected void onAccepted(SelectableChannel channel) {
        pendingAccepts.remove(channel);
    }

    @Override
    protected void onAcceptFailed(SelectableChannel channel, Throwable cause) {
        FatalErrors.rethrowIfError(cause);
        pendingAccepts.remove(channel);
    }

    /**
     * Accepts at most {@code limit} queued connections over as many iterations as needed, then closes the listener,
     * also after an exception. Where the calls fail, tries again for a while.
     */
    private void drainBacklog(ServerSocketChannel server, int limit, long notConnectedUs, int pauses) {
        try {
            for (int count = 0; count < limit; count++) {
                if (count == DRAINED_PER_ITERATION) {
                    executor.execute(() -> drainBacklog(server, limit - DRAINED_PER_ITERATION, notConnectedUs, pauses));
                    return;
                }
                AcceptRetry retry = acceptRetry(server);
                SocketChannel channel = retry.accept(server);
                if (channel == null && retry.isFailing() && pauses < MAX_DRAIN_PAUSES) {
                    timers.schedule(
                            clock.nowUs() + ACCEPT_PAUSE_US,
                            () -> drainBacklog(server, limit, notConnectedUs, pauses + 1));
                    return;
                }
                if (channel == null) {
                    break;
                }
                acceptNotConnectedUs = notConnectedUs;
                accepted(channel);
            }
        } catch (IOException | RuntimeException e) {
            logListenerError(e);
        }
        listenersBehindSinceUs.remove(server);
        acceptRetries.remove(server);
        try {
            server.close();
        } catch (IOException e) {
            logListenerError(e);
        }
        closingListeners--;
    }

    private static void logListenerError(Exception e) {
        System.err.println("petrelstand: loop: error while closing a listener: " + e);
    }

    /**
     * Starts to connect to an address; the connector is called in a later iteration. Closing the returned channel gives
     * up the attempt.
     */
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
     * Runs a task and logs an exception that it throws. Jetty would treat the exception as a broken selector and close
     * it with all connections. For an {@link Error} see {@link FatalErrors}.
     */
    static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            logUncaught(e);
        } catch (Error e) {
            FatalErrors.report(e);
            throw e;
        }
    }

    static void logUncaught(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        System.err.println("petrelstand: loop: continuing after an uncaught exception: " + e
                + (trace.length == 0 ? "" : " at " + trace[0]));
    }

    private AcceptRetry acceptRetry(SelectableChannel server) {
        return acceptRetries.computeIfAbsent(
                server,
                listener -> new AcceptRetry(
                        acceptCall, acceptFailureCounter, line -> System.err.println("petrelstand: loop: " + line)));
    }

    /** Accepts a connection; never throws, because Jetty would close the connection that was accepted before. */
    @Override
    protected SelectableChannel doAccept(SelectableChannel server) {
        try {
            long notConnectedUs = listenersBehindSinceUs.computeIfAbsent(server, key -> polledUs);
            AcceptRetry retry = acceptRetry(server);
            SelectableChannel channel = retry.accept((ServerSocketChannel) server);
            if (channel == null && retry.isFailing()) {
                pauseListener(server);
            } else if (channel == null) {
                listenersBehindSinceUs.remove(server);
            }
            acceptNotConnectedUs = notConnectedUs;
            return channel;
        } catch (Error e) {
            FatalErrors.report(e);
            throw e;
        }
    }

    /** Lets a listener rest, so that the loop does not turn without end while its connections can't be accepted. */
    private void pauseListener(SelectableChannel server) {
        SelectionKey key = server.keyFor(executor.selector());
        if (key != null && key.isValid()) {
            key.interestOps(0);
            timers.schedule(clock.nowUs() + ACCEPT_PAUSE_US, () -> {
                if (key.isValid()) {
                    key.interestOps(SelectionKey.OP_ACCEPT);
                }
            });
        }
    }

    @Override
    protected void accepted(SelectableChannel channel) throws IOException {
        try {
            acceptChannel(channel);
        } catch (Error e) {
            FatalErrors.report(e);
            throw e;
        }
    }

    private void acceptChannel(SelectableChannel channel) throws IOException {
        SocketChannel socket = (SocketChannel) channel;
        InetSocketAddress localAddress = (InetSocketAddress) socket.getLocalAddress();
        Function<EndPoint, Connection> connectionFactory = connectionFactories.get(localAddress);
        if (connectionFactory == null) {
            // A listener on the wildcard address is not registered under the channel's own address.
            connectionFactory = connectionFactories.entrySet().stream()
                    .filter(entry -> ((InetSocketAddress) entry.getKey()).getPort() == localAddress.getPort())
                    .findFirst()
                    .orElseThrow(() -> new IOException("no listener is registered for " + localAddress))
                    .getValue();
        }
        socket.configureBlocking(false);
        socket.socket().setTcpNoDelay(true);
        accept(socket, new AcceptedChannel(connectionFactory, acceptNotConnectedUs));
    }

    /**
     * What is known of a channel that was accepted.
     *
     * @param connectionFactory creates its connection
     * @param notConnectedUs a time at which it had not come up
     */
    private record AcceptedChannel(Function<EndPoint, Connection> connectionFactory, long notConnectedUs) {}

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        long notConnectedUs =
                key.attachment() instanceof AcceptedChannel accepted ? accepted.notConnectedUs() : polledUs;
        return new LoopEndPoint(
                (SocketChannel) channel,
                selector,
                key,
                getScheduler(),
                new ReadLimiter(() -> turn),
                () -> polledUs,
                notConnectedUs);
    }

    @Override
    public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
        if (attachment instanceof Connector connector) {
            return connector.connected(endPoint);
        }
        return ((AcceptedChannel) attachment).connectionFactory().apply(endPoint);
    }

    @Override
    public void connectionOpened(Connection connection, Object context) {
        runGuarded(connection::onOpen);
    }

    @Override
    public void connectionClosed(Connection connection, Throwable cause) {
        runGuarded(() -> connection.onClose(cause));
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
        return new LoopSelector(id);
    }

    /** Runs the tasks and timers between selects. */
    private final class LoopSelector extends ManagedSelector {
        /** When the previous iteration was due at the latest; a stall may have delayed it. */
        private long previousDueUs = Long.MAX_VALUE;

        LoopSelector(int id) {
            super(EventLoop.this, id);
        }

        @Override
        protected int nioSelect(Selector selector, boolean now) throws IOException {
            if (now) {
                return selector.selectNow();
            }
            try {
                return runIteration(selector);
            } catch (Error e) {
                FatalErrors.report(e);
                throw e;
            }
        }

        private int runIteration(Selector selector) throws IOException {
            executor.setSelector(selector);
            turn++;
            runGuarded(() -> timers.runDue(clock.nowUs()));
            executor.runOwnTasks();
            long dueUs = nextIterationUs();
            polledUs = Math.min(clock.nowUs(), previousDueUs);
            previousDueUs = dueUs;
            long waitUs = dueUs - clock.readUs();
            int selected = waitUs <= 0 ? selector.selectNow() : selector.select((waitUs + 999) / 1000);
            clock.update();
            turn++;
            runGuarded(() -> monitor.beginIteration(clock.nowUs(), dueUs));
            executor.runOthersTasks();
            executor.runOwnTasks();
            return selected;
        }

        /** Returns when the next iteration must begin at the latest; not before the current one. */
        private long nextIterationUs() {
            if (!executor.isEmpty()) {
                return clock.nowUs();
            }
            long latestUs = clock.nowUs() + MAX_ITERATION_INTERVAL_US;
            return Math.max(clock.nowUs(), Math.min(timers.nextDueUs(), latestUs));
        }

        @Override
        protected void onSelectFailed(Throwable cause) {
            FatalErrors.rethrowIfError(cause);
        }
    }
}
