package petrelstand.http;

import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import petrelstand.core.Broker;
import petrelstand.core.Counters;
import petrelstand.core.Node;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.Effect;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.lifecycle.Lifecycle;
import petrelstand.net.EventLoop;
import petrelstand.net.MemoryEnd;

/**
 * Plays requests through parts of their own, in memory, before the gateway says that it is ready: a virtual machine
 * that has not yet run this code takes ten times as long for the first requests.
 */
public final class Rehearsal {
    private static final int NODES = 4;
    private static final int CLIENTS = 4;
    private static final long STEP_US = 7_000;

    private final Timers timers = new Timers();
    private final Settings settings;
    private final List<EventLoop.Connector> dialed = new ArrayList<>();
    private final List<MemoryEnd> nodeEnds = new ArrayList<>();
    private final Counters counters = new Counters();
    private final Broker broker;
    private final Front front;
    private long nowUs = 1_000_000_000L;

    private Rehearsal(Settings settings) {
        this.settings = settings;
        NodePool pool = new NodePool(this::dial, () -> nowUs, timers, counters, settings, "backend.local", 64);
        this.broker = new Broker(settings, 1, () -> nowUs, timers, pool, counters, line -> {});
        Lifecycle life = new Lifecycle(Lifecycle.Times.of(0));
        life.serving(nowUs);
        this.front = new Front(broker, timers, 64, life);
    }

    /** Plays so many requests and returns how many of them were served. */
    public static long play(Settings settings, int requests) {
        Rehearsal rehearsal = new Rehearsal(settings);
        rehearsal.play(requests);
        return rehearsal.counters.get("answered.served");
    }

    private SocketChannel dial(InetSocketAddress address, EventLoop.Connector connector) {
        dialed.add(connector);
        return null;
    }

    private void play(int requests) {
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(
                    "s-0000000" + i, "127.0.0.1:" + (9000 + i), new NodeEntry(i, 0, i, NodeState.READY, 1, 0)));
        }
        broker.nodes(NodeListKind.FULL, nodes);
        List<MemoryEnd> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(MemoryEnd.open(front::accept));
        }
        for (int i = 0; i < requests; i++) {
            MemoryEnd client = clients.get(i % CLIENTS);
            client.put(request(i));
            if (i % CLIENTS == CLIENTS - 1) {
                answer();
                clients.forEach(MemoryEnd::taken);
            }
            nowUs += STEP_US;
            timers.run(nowUs);
        }
    }

    /** Every node answers what it was sent. */
    private void answer() {
        List<EventLoop.Connector> coming = List.copyOf(dialed);
        dialed.clear();
        coming.forEach(connector -> nodeEnds.add(MemoryEnd.open(connector::connected)));
        for (MemoryEnd node : List.copyOf(nodeEnds)) {
            if (!node.isOpen()) {
                nodeEnds.remove(node);
            } else if (!node.taken().isEmpty()) {
                node.put("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Type: text/plain\r\n\r\ndone");
            }
        }
    }

    private String request(int number) {
        RequestClass kind = settings.classes().get(number % settings.classes().size());
        String body = kind.writes() ? "rehearsal" : "";
        return (kind.writes() ? "PUT" : "GET")
                + String.format(
                        " /%s/%016x/%016x HTTP/1.1\r\nHost: b\r\nX-Txn: %x\r\n",
                        kind.name(), number % 9, number, number)
                + Wire.PLAN + ": "
                + settings.plans().get(number % settings.plans().size()).name() + "\r\n"
                + (kind.effect() == Effect.KEYED ? Wire.EFFECT_KEY + ": k" + number + "\r\n" : "")
                + "X-Remaining-Ms: 400\r\nX-Placement: units=1,shard=" + number % NODES + ",hosts=1\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
