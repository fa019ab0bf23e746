package petrelstand.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import petrelstand.core.RequestCounts.RequestResult;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.testing.Harness;

/** The figures against a count by the clients and nodes themselves, over random histories. */
class RequestCountsTest {
    /** Clients and nodes that count what they see. */
    private static final class World implements NodeTransport {
        private final Harness harness = new Harness();
        private final Random random;
        private final List<Attempt> out = new ArrayList<>();
        private final List<Exchange> waiting = new ArrayList<>();
        private final List<Map<RequestResult, Integer>> seen = new ArrayList<>();
        private int written;

        World(long seed) {
            random = new Random(seed);
            for (int i = 0; i < 3; i++) {
                seen.add(new EnumMap<>(RequestResult.class));
            }
            harness.broker(this);
            harness.list(
                    Harness.node("s-00000001", 0, NodeState.READY, 0),
                    Harness.node("s-00000002", 1, NodeState.READY, 0));
        }

        private void note(int kind, RequestResult end) {
            seen.get(kind).merge(end, 1, Integer::sum);
        }

        private final class Client implements ClientHandler {
            private final int kind;
            private Exchange exchange;

            Client(int kind) {
                this.kind = kind;
            }

            private void heard(RequestResult end) {
                waiting.remove(exchange);
                note(kind, end);
            }

            @Override
            public boolean served(Object answer) {
                heard(RequestResult.SERVED);
                return true;
            }

            @Override
            public void refused(long retryAfterUs) {
                heard(RequestResult.REFUSED);
            }

            @Override
            public void failed(Attempt last) {
                heard(RequestResult.FAILED);
            }
        }

        @Override
        public void start(Attempt attempt) {
            out.add(attempt);
        }

        @Override
        public void abandon(Attempt attempt) {
            out.remove(attempt);
        }

        @Override
        public void probe(Node node, long timeoutUs, ProbeCallback result) {}

        @Override
        public void discardConnections(Node node) {}

        void step() {
            int kind = random.nextInt(3);
            switch (random.nextInt(6)) {
                case 0, 1 -> {
                    Client client = new Client(kind);
                    Demand demand = new Demand(
                            kind,
                            0,
                            random.nextInt(9),
                            random.nextInt(5),
                            1 + random.nextInt(4),
                            random.nextInt(3),
                            1,
                            random.nextInt(5) == 0,
                            kind == 1,
                            50_000 + random.nextInt(1_000_000));
                    harness.broker.submit(demand, "ask", client, exchange -> {
                        client.exchange = exchange;
                        waiting.add(exchange);
                    });
                }
                case 2 -> {
                    if (!waiting.isEmpty()) {
                        Exchange left = waiting.remove(random.nextInt(waiting.size()));
                        note(left.demand().classIndex(), RequestResult.GONE);
                        harness.broker.clientGone(left);
                    }
                }
                case 3, 4 -> {
                    if (!out.isEmpty()) {
                        Attempt attempt = out.remove(random.nextInt(out.size()));
                        Outcome[] ends = {
                            Outcome.SERVED,
                            Outcome.ERROR,
                            Outcome.REJECTED,
                            Outcome.RESET,
                            Outcome.NOT_CONNECTED,
                            Outcome.SERVED
                        };
                        Outcome end = ends[random.nextInt(ends.length)];
                        if (end != Outcome.NOT_CONNECTED) {
                            attempt.requestWritten();
                            written++;
                        }
                        attempt.end(end, "answer", Map.of());
                    }
                }
                default -> harness.run(random.nextInt(300_000));
            }
        }
    }

    @Test
    void whatIsAvoidedIsWhatDrainsAndWhatTheModuleHasForSilent() {
        World world = new World(1);
        Broker broker = world.harness.broker;
        assertEquals(2, broker.listedNodeCount());
        assertEquals(0, broker.avoidedNodeCount());
        World.Client client = world.new Client(0);
        broker.submit(
                new Demand(0, 0, 1, 1, 1, 0, 1, false, false, 1_400_000), "ask", client, e -> client.exchange = e);
        world.harness.run(1_000_000);
        assertEquals(1, broker.avoidedNodeCount());
        world.harness.list(
                Harness.node("s-00000001", 0, NodeState.READY, 0),
                Harness.node("s-00000002", 1, NodeState.DRAINING, 0));
        assertEquals(2, broker.avoidedNodeCount());
        world.out.get(0).end(Outcome.SERVED, "answer", Map.of());
        assertEquals(1, broker.avoidedNodeCount());
        assertEquals(2, broker.listedNodeCount());
    }

    @Property(tries = 200)
    void figuresAreWhatClientsAndNodesSaw(@ForAll long seed) {
        World world = new World(seed);
        for (int i = 0; i < 300; i++) {
            world.step();
            assertEquals(world.waiting.size(), world.harness.broker.openRequests());
        }
        world.harness.run(10_000_000);
        RequestCounts figures = world.harness.broker.requestCounts();
        for (int kind = 0; kind < 3; kind++) {
            String name = world.harness.settings.classes().get(kind).name();
            for (RequestResult end : RequestResult.values()) {
                assertEquals(
                        world.seen.get(kind).getOrDefault(end, 0).longValue(), figures.count(name, end), name + end);
            }
        }
        assertEquals(world.written, figures.attempts());
    }
}
