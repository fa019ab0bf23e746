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
import petrelstand.net.MemoryEndPoint;

/**
 * Warms up the JVM before the gateway reports that it is ready, by running requests through separate instances of its
 * parts in memory. Without it the first requests are much slower.
 */
public final class JvmWarmUp {
    private static final int NODE_COUNT = 4;
    private static final int CLIENT_COUNT = 4;
    private static final long REQUEST_INTERVAL_US = 7_000;

    private final Timers timers = new Timers();
    private final Settings settings;
    private final List<EventLoop.Connector> pendingConnects = new ArrayList<>();
    private final List<MemoryEndPoint> nodeEnds = new ArrayList<>();
    private final Counters counters = new Counters();
    private final Broker broker;
    private final HttpFront front;
    private long nowUs = 1_000_000_000L;

    private JvmWarmUp(Settings settings) {
        this.settings = settings;
        NodeConnectionPool pool =
                new NodeConnectionPool(this::dial, () -> nowUs, timers, counters, settings, "backend.local", 64);
        this.broker = new Broker(settings, 1, () -> nowUs, timers, pool, counters, line -> {});
        Lifecycle lifecycle = new Lifecycle(Lifecycle.Delays.of(0));
        lifecycle.startServing(nowUs);
        this.front = new HttpFront(broker, timers, 64, lifecycle);
    }

    /** Runs requests and returns how many of them were served. */
    public static long run(Settings settings, int requests) {
        JvmWarmUp warmUp = new JvmWarmUp(settings);
        warmUp.run(requests);
        return warmUp.counters.get("answered.served");
    }

    private SocketChannel dial(InetSocketAddress address, EventLoop.Connector connector) {
        pendingConnects.add(connector);
        return null;
    }

    private void run(int requests) {
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < NODE_COUNT; i++) {
            nodes.add(new Node(
                    "s-0000000" + i, "127.0.0.1:" + (9000 + i), new NodeEntry(i, 0, i, NodeState.READY, 1, 0)));
        }
        broker.updateNodes(NodeListKind.FULL, nodes);
        List<MemoryEndPoint> clients = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            clients.add(MemoryEndPoint.open(front::accept));
        }
        for (int i = 0; i < requests; i++) {
            MemoryEndPoint client = clients.get(i % CLIENT_COUNT);
            client.send(request(i));
            if (i % CLIENT_COUNT == CLIENT_COUNT - 1) {
                answerNodeRequests();
                clients.forEach(MemoryEndPoint::takeReceived);
            }
            nowUs += REQUEST_INTERVAL_US;
            timers.runDue(nowUs);
        }
    }

    /** Opens pending node connections and answers the request on each one. */
    private void answerNodeRequests() {
        List<EventLoop.Connector> connectors = List.copyOf(pendingConnects);
        pendingConnects.clear();
        connectors.forEach(connector -> nodeEnds.add(MemoryEndPoint.open(connector::connected)));
        for (MemoryEndPoint node : List.copyOf(nodeEnds)) {
            if (!node.isOpen()) {
                nodeEnds.remove(node);
            } else if (!node.takeReceived().isEmpty()) {
                node.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Type: text/plain\r\n\r\ndone");
            }
        }
    }

    private String request(int number) {
        RequestClass requestClass =
                settings.classes().get(number % settings.classes().size());
        String body = requestClass.writes() ? "rehearsal" : "";
        return (requestClass.writes() ? "PUT" : "GET")
                + String.format(
                        " /%s/%016x/%016x HTTP/1.1\r\nHost: b\r\nX-Txn: %x\r\n",
                        requestClass.name(), number % 9, number, number)
                + HttpProtocol.PLAN_HEADER + ": "
                + settings.plans().get(number % settings.plans().size()).name() + "\r\n"
                + (requestClass.effect() == Effect.KEYED
                        ? HttpProtocol.IDEMPOTENCY_KEY_HEADER + ": k" + number + "\r\n"
                        : "")
                + "X-Remaining-Ms: 400\r\nX-Placement: units=1,shard=" + number % NODE_COUNT + ",hosts=1\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
