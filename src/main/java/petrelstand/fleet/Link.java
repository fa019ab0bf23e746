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
 * The fleet's datagrams. A thread of its own waits for them, checks their marks and decodes them; whole messages wait
 * for the loop in a bounded queue. Sending is done on the loop and never waits: what does not fit is lost, as datagrams
 * are.
 */
final class Link implements Closeable {
    /** Messages that wait for a loop that stands still; more are dropped and counted. */
    static final int MOST_WAITING = 512;

    private static final int MOST_ADDRESSES = 2048;

    private final DatagramChannel channel;
    private final Selector selector;
    private final ArrayBlockingQueue<Envelope> waiting = new ArrayBlockingQueue<>(MOST_WAITING);
    private final AtomicBoolean told = new AtomicBoolean();
    private final Executor loop;
    private final Consumer<Envelope> to;
    private final Consumer<String> count;
    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, InetSocketAddress> eldest) {
            return size() > MOST_ADDRESSES;
        }
    };
    /** Takes contents about rules, on this link's thread, or null: then they are no fleet's. */
    private volatile Consumer<byte[]> rules;

    private volatile Seal incoming;
    private Seal outgoing;

    /** Binds; messages and the names of counters are handed over on the loop. */
    Link(String listen, List<byte[]> keys, Executor loop, Consumer<Envelope> to, Consumer<String> count)
            throws IOException {
        this.loop = loop;
        this.to = to;
        this.count = count;
        keys(keys);
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

    /** Begins to take what comes. */
    void start() {
        Thread thread = new Thread(this::take, "fleet");
        thread.setDaemon(true);
        thread.start();
    }

    /** Takes other keys, from the next message on. On the loop. */
    void keys(List<byte[]> keys) {
        incoming = new Seal(keys);
        outgoing = new Seal(keys);
    }

    /** Sends, on the loop; returns the datagram's bytes, or 0 where it was lost here. */
    int send(String address, Envelope envelope) {
        return send(address, Seal.MEMBERS, Codec.encode(envelope));
    }

    /** Takes contents about rules from now on, on a thread of its own: to be handed on at once. */
    void rules(Consumer<byte[]> to) {
        rules = to;
    }

    /** Sends a content, on the loop; returns the datagram's bytes, or 0 where it was lost here. */
    int send(String address, int form, byte[] content) {
        try {
            byte[] datagram = outgoing.close(form, content);
            if (datagram.length > Seal.MOST) {
                count.accept("fleet.too_long");
                return 0;
            }
            InetSocketAddress target = addresses.get(address);
            if (target == null) {
                target = SocketAddresses.parse(address);
                addresses.put(address, target);
            }
            return channel.send(ByteBuffer.wrap(datagram), target);
        } catch (IOException | IllegalArgumentException e) {
            count.accept("fleet.not_sent");
            return 0;
        }
    }

    private void take() {
        ByteBuffer buffer = ByteBuffer.allocateDirect(Seal.MOST + 1);
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
                    taken(buffer);
                }
            } catch (IOException | java.nio.channels.ClosedSelectorException e) {
                // A peer's refusal shows as a fault of the next receive; the closed channel ends the thread.
            }
        }
    }

    private void taken(ByteBuffer datagram) {
        String refused;
        try {
            int form = datagram.remaining() < Integer.BYTES ? 0 : Seal.form(datagram);
            byte[] content = incoming.open(datagram);
            Consumer<byte[]> ruled = rules;
            if (form == Seal.RULES) {
                if (ruled == null) {
                    throw new Seal.Refused("rules");
                }
                ruled.accept(content);
                return;
            }
            Envelope envelope = Codec.decode(content);
            if (waiting.offer(envelope)) {
                if (told.compareAndSet(false, true)) {
                    loop.execute(this::hand);
                }
                return;
            }
            refused = "fleet.refused.full";
        } catch (Seal.Refused e) {
            refused = "fleet.refused." + e.getMessage();
        } catch (IOException | RuntimeException e) {
            refused = "fleet.refused.malformed";
        }
        String name = refused;
        if (drops.incrementAndGet() <= MOST_WAITING) {
            loop.execute(() -> {
                drops.decrementAndGet();
                count.accept(name);
            });
        } else {
            drops.decrementAndGet();
        }
    }

    /** Refusals on their way to be counted: a flood of them must not fill the loop's queue. */
    private final java.util.concurrent.atomic.AtomicInteger drops = new java.util.concurrent.atomic.AtomicInteger();

    private void hand() {
        told.set(false);
        for (int i = 0; i < MOST_WAITING; i++) {
            Envelope envelope = waiting.poll();
            if (envelope == null) {
                return;
            }
            to.accept(envelope);
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
