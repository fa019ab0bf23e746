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
import petrelstand.net.SocketAddresses;

/**
 * Sends and receives the fleet's UDP datagrams. A thread of its own receives, authenticates and decodes them and queues
 * the messages for the event loop. Sending happens on the event loop and never blocks; what the socket does not take is
 * lost.
 */
final class DatagramTransport implements Closeable {
    /** Maximum number of messages queued for the event loop; further ones are dropped and counted. */
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
    /** Handles rules messages on the receiving thread; if null, they are refused. */
    private volatile Consumer<byte[]> rulesHandler;

    private volatile DatagramAuthenticator incomingAuthenticator;
    private DatagramAuthenticator outgoingAuthenticator;

    /**
     * Binds the address.
     *
     * @param listen the UDP address, ip:port
     * @param loop executes tasks on the event loop
     * @param messageHandler handles membership messages on the event loop
     * @param incrementCounter adds 1 to the counter of a name, on the event loop
     */
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
            channel.bind(SocketAddresses.parse(listen));
            channel.configureBlocking(false);
            selector = Selector.open();
            channel.register(selector, SelectionKey.OP_READ);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e instanceof IOException fault ? fault : new IOException(e.getMessage(), e);
        }
    }

    /** Starts the receiving thread. */
    void start() {
        Thread thread = new Thread(this::receiveLoop, "fleet");
        thread.setDaemon(true);
        thread.start();
    }

    /** Replaces the keys from the next message on; called on the event loop. */
    void setKeys(List<byte[]> keys) {
        incomingAuthenticator = new DatagramAuthenticator(keys);
        outgoingAuthenticator = new DatagramAuthenticator(keys);
    }

    /** Sends a membership message; returns the datagram's size in bytes, or 0 if it could not be sent. */
    int send(String address, Envelope envelope) {
        return send(address, DatagramAuthenticator.MEMBERSHIP_MAGIC, MessageCodec.encode(envelope));
    }

    /** Sets the handler of rules messages; it is called on the receiving thread and must not block. */
    void setRulesHandler(Consumer<byte[]> handler) {
        rulesHandler = handler;
    }

    /** Sends a payload; returns the datagram's size in bytes, or 0 if it could not be sent. */
    int send(String address, int magic, byte[] content) {
        try {
            byte[] datagram = outgoingAuthenticator.sign(magic, content);
            if (datagram.length > DatagramAuthenticator.MAX_DATAGRAM_BYTES) {
                incrementCounter.accept("fleet.too_long");
                return 0;
            }
            InetSocketAddress target = addresses.get(address);
            if (target == null) {
                target = SocketAddresses.parse(address);
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
                // An ICMP error caused by a peer shows up here; a closed channel ends the loop.
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

    /** Refusals whose counting is queued on the event loop; bounded, so that a flood does not fill its queue. */
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

    /** The bound UDP port. */
    int port() throws IOException {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    @Override
    public void close() throws IOException {
        channel.close();
        selector.close();
    }
}
