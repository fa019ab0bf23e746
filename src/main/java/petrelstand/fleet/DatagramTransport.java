package petrelstand.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import petrelstand.members.Message.Envelope;
import petrelstand.net.Addresses;

/**
 * The fleet's datagrams. A thread of its own waits for them, checks their marks and decodes them; whole messages wait
 * for the loop in a bounded queue. Sending is done on the loop and never waits: what does not fit is lost, as datagrams
 * are.
 */
final class DatagramTransport implements Closeable {
    /** Messages that wait for a loop that stands still; more are dropped and counted. */
    static final int MAX_QUEUED_MESSAGES = 512;

    private static final int MAX_CACHED_ADDRESSES = 2048;

    private final DatagramChannel channel;
    private final Selector selector;
    private final ArrayBlockingQueue<Envelope> received = new ArrayBlockingQueue<>(MAX_QUEUED_MESSAGES);
    private final AtomicBoolean deliveryScheduled = new AtomicBoolean();
    private final Executor loop;
    private final Consumer<Envelope> messageHandler;
    private final Consumer<String> incrementCounter;
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, InetSocketAddress> eldest) {
            return size() > MAX_CACHED_ADDRESSES;
        }
    };
    /** Takes contents about rules, on this link's thread, or null: then they are no fleet's. */
    private volatile Consumer<byte[]> rulesHandler;

    private volatile DatagramAuthenticator incomingAuthenticator;
    private DatagramAuthenticator outgoingAuthenticator;

    /** Binds; messages and the names of counters are handed over on the loop. */
    DatagramTransport(
            String listen,
            List<byte[]> keys,
            Executor loop,
            Consumer<Envelope> messageHandler,
            Consumer<String> incrementCounter)
            throws IOException {
        this.loop = loop;
        this.messageHandler = messageHandler;
        this.incrementCounter = incrementCounter;
        setKeys(keys);
        channel = DatagramChannel.open();
        try {
            channel.bind(Addresses.parse(listen));
            channel.configureBlocking(false);
            selector = Selector.open();
            channel.register(selector, SelectionKey.OP_READ);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e instanceof IOException fault ? fault : new IOException(e.getMessage(), e);
        }
    }

    /** Begins to take what comes. */
    void start() {
        Thread thread = new Thread(this::receiveLoop, "fleet");
        thread.setDaemon(true);
        thread.start();
    }

    /** Takes other keys, from the next message on. On the loop. */
    void setKeys(List<byte[]> keys) {
        incomingAuthenticator = new DatagramAuthenticator(keys);
        outgoingAuthenticator = new DatagramAuthenticator(keys);
    }

    /** Sends, on the loop; returns the datagram's bytes, or 0 where it was lost here. */
    int send(String address, Envelope envelope) {
        return send(address, DatagramAuthenticator.MEMBERSHIP_MAGIC, MessageCodec.encode(envelope));
    }

    /** Takes contents about rules from now on, on a thread of its own: to be handed on at once. */
    void setRulesHandler(Consumer<byte[]> handler) {
        rulesHandler = handler;
    }

    /** Sends a content, on the loop; returns the datagram's bytes, or 0 where it was lost here. */
    int send(String address, int magic, byte[] content) {
        try {
            byte[] datagram = outgoingAuthenticator.sign(magic, content);
            if (datagram.length > DatagramAuthenticator.MAX_DATAGRAM_BYTES) {
                incrementCounter.accept("fleet.too_long");
                return 0;
            }
            InetSocketAddress target = addresses.get(address);
            if (target == null) {
                target = Addresses.parse(address);
                addresses.put(address, target);
            }
            return channel.send(ByteBuffer.wrap(datagram), target);
        } catch (IOException | IllegalArgumentException e) {
            incrementCounter.accept("fleet.not_sent");
            return 0;
        }
    }

    private void receiveLoop() {
        ByteBuffer buffer = ByteBuffer.allocateDirect(DatagramAuthenticator.MAX_DATAGRAM_BYTES + 1);
        while (channel.isOpen()) {
            try {
                selector.select();
                selector.selectedKeys().clear();
                while (channel.isOpen()) {
                    buffer.clear();
                    if (channel.receive(buffer) == null) {
                        break;
                    }
                    buffer.flip();
                    handleDatagram(buffer);
                }
            } catch (IOException | java.nio.channels.ClosedSelectorException e) {
                // A peer's refusal shows as a fault of the next receive; the closed channel ends the thread.
            }
        }
    }

    private void handleDatagram(ByteBuffer datagram) {
        String counterName;
        try {
            int magic = datagram.remaining() < Integer.BYTES ? 0 : DatagramAuthenticator.magic(datagram);
            byte[] content = incomingAuthenticator.verify(datagram);
            Consumer<byte[]> handler = rulesHandler;
            if (magic == DatagramAuthenticator.RULES_MAGIC) {
                if (handler == null) {
                    throw new DatagramAuthenticator.RefusedDatagramException("rules");
                }
                handler.accept(content);
                return;
            }
            Envelope envelope = MessageCodec.decode(content);
            if (received.offer(envelope)) {
                if (deliveryScheduled.compareAndSet(false, true)) {
                    loop.execute(this::deliverReceived);
                }
                return;
            }
            counterName = "fleet.refused.full";
        } catch (DatagramAuthenticator.RefusedDatagramException e) {
            counterName = "fleet.refused." + e.getMessage();
        } catch (IOException | RuntimeException e) {
            counterName = "fleet.refused.malformed";
        }
        String refusalCounter = counterName;
        if (pendingRefusalCounts.incrementAndGet() <= MAX_QUEUED_MESSAGES) {
            loop.execute(() -> {
                pendingRefusalCounts.decrementAndGet();
                incrementCounter.accept(refusalCounter);
            });
        } else {
            pendingRefusalCounts.decrementAndGet();
        }
    }

    /** Refusals on their way to be counted: a flood of them must not fill the loop's queue. */
    private final java.util.concurrent.atomic.AtomicInteger pendingRefusalCounts =
            new java.util.concurrent.atomic.AtomicInteger();

    private void deliverReceived() {
        deliveryScheduled.set(false);
        for (int i = 0; i < MAX_QUEUED_MESSAGES; i++) {
            Envelope envelope = received.poll();
            if (envelope == null) {
                return;
            }
            messageHandler.accept(envelope);
        }
    }

    /** The port that it listens on. */
    int port() throws IOException {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    @Override
    public void close() throws IOException {
        channel.close();
        selector.close();
    }
}
