package petrelstand.lab.faults;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Stands in the middle of every link between real processes: each is known to the others by an address of this point,
 * which passes on what comes as {@link Links} says. One thread; what waits is bounded, the rest is lost.
 */
final class FaultPoint implements Closeable {
    private static final int MOST_WAITING = 20_000;
    private static final int MOST_BYTES = 2048;

    private record Late(long atUs, long order, int to, ByteBuffer datagram) {}

    private final List<DatagramChannel> fronts = new ArrayList<>();
    private final List<InetSocketAddress> real;
    private final Map<InetSocketAddress, Integer> from = new HashMap<>();
    private final Selector selector = Selector.open();
    private final Links links;
    private final PriorityQueue<Late> waiting =
            new PriorityQueue<>(java.util.Comparator.comparingLong(Late::atUs).thenComparingLong(Late::order));
    private long order;
    private long passed;
    private long bytes;

    /** For processes that send from and listen on the real addresses, fronts on free ports of an address. */
    FaultPoint(List<InetSocketAddress> real, String host, long seed) throws IOException {
        this.real = real;
        this.links = new Links(real.size(), seed);
        for (int i = 0; i < real.size(); i++) {
            from.put(real.get(i), i);
            DatagramChannel front = DatagramChannel.open();
            front.bind(new InetSocketAddress(host, 0));
            front.configureBlocking(false);
            front.register(selector, SelectionKey.OP_READ, i);
            fronts.add(front);
        }
        Thread thread = new Thread(this::run, "fault-point");
        thread.setDaemon(true);
        thread.start();
    }

    /** Where the others reach a process. */
    String front(int process) throws IOException {
        InetSocketAddress address = (InetSocketAddress) fronts.get(process).getLocalAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    static long nowUs() {
        return System.nanoTime() / 1000;
    }

    /** A fault of links is on from now. */
    synchronized void begin(FleetPlan.Fault fault) {
        links.begin(fault, nowUs() + fault.lengthUs());
    }

    /** Messages and bytes passed on so far. */
    synchronized long[] passed() {
        return new long[] {passed, bytes};
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(MOST_BYTES);
        while (selector.isOpen()) {
            try {
                long wait = 100;
                synchronized (this) {
                    if (!waiting.isEmpty()) {
                        wait = Math.max(1, Math.min(wait, (waiting.peek().atUs - nowUs()) / 1000));
                    }
                }
                selector.select(wait);
                for (SelectionKey key : selector.selectedKeys()) {
                    take((DatagramChannel) key.channel(), (int) key.attachment(), buffer);
                }
                selector.selectedKeys().clear();
                letGo();
            } catch (IOException | ClosedSelectorException e) {
                // A process that is down refuses; the closed point ends the thread.
            }
        }
    }

    private void take(DatagramChannel front, int to, ByteBuffer buffer) throws IOException {
        while (true) {
            buffer.clear();
            InetSocketAddress sender = (InetSocketAddress) front.receive(buffer);
            if (sender == null) {
                return;
            }
            buffer.flip();
            Integer number = from.get(sender);
            if (number == null) {
                continue;
            }
            synchronized (this) {
                long now = nowUs();
                for (long delay : links.delays(number, to, now)) {
                    if (delay <= 0) {
                        pass(to, buffer.duplicate());
                    } else if (waiting.size() < MOST_WAITING) {
                        byte[] copy = new byte[buffer.remaining()];
                        buffer.duplicate().get(copy);
                        waiting.add(new Late(now + delay, order++, to, ByteBuffer.wrap(copy)));
                    }
                }
            }
        }
    }

    private void pass(int to, ByteBuffer datagram) throws IOException {
        passed++;
        bytes += datagram.remaining();
        fronts.get(to).send(datagram, real.get(to));
    }

    private synchronized void letGo() throws IOException {
        long now = nowUs();
        while (!waiting.isEmpty() && waiting.peek().atUs <= now) {
            Late late = waiting.poll();
            pass(late.to, late.datagram);
        }
    }

    @Override
    public void close() throws IOException {
        selector.close();
        for (DatagramChannel front : fronts) {
            front.close();
        }
    }
}
