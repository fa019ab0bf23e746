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
import petrelstand.testing.BrokerFixture;

/** Compares the broker's request counts with those that simulated clients and nodes make. */
class RequestCountsTest {
    /** Clients and nodes that count results and attempts. */
    private static final class CountingPeers implements NodeTransport {
        private final BrokerFixture harness = new BrokerFixture();
        private final Random random;
        private final List<Attempt> active = new ArrayList<>();
        private final List<Exchange> waiting = new ArrayList<>();
        private final List<Map<RequestResult, Integer>> results = new ArrayList<>();
        private int writtenAttempts;

        CountingPeers(long seed) {
            random = new Random(seed);
            for (int i = 0; i < 3; i++) {
                results.add(new EnumMap<>(RequestResult.class));
            }
            harness.broker(this);
            harness.setNodes(
                    BrokerFixture.node("s-00000001", 0, NodeState.READY, 0),
                    BrokerFixture.node("s-00000002", 1, NodeState.READY, 0));
        }

        private void countResult(int classIndex, RequestResult result) {
            results.get(classIndex).merge(result, 1, Integer::sum);
        }

        private final class Client implements ClientHandler {
            private final int classIndex;
            private Exchange exchange;

            Client(int classIndex) {
                this.classIndex = classIndex;
            }

            private void answered(RequestResult result) {
                waiting.remove(exchange);
                countResult(classIndex, result);
            }

            @Override
            public boolean served(Object answer) {
                answered(RequestResult.SERVED);
                return true;
            }

            @Override
            public void refused(long retryAfterUs) {
                answered(RequestResult.REFUSED);
            }

            @Override
            public void failed(Attempt last) {
                answered(RequestResult.FAILED);
            }
        }

        @Override
        public void start(Attempt attempt) {
            active.add(attempt);
        }

        @Override
        public void abandon(Attempt attempt) {
            active.remove(attempt);
        }

        @Override
        public void probe(Node node, long timeoutUs, ProbeCallback result) {}

        @Override
        public void discardConnections(Node node) {}

        void step() {
            int classIndex = random.nextInt(3);
            switch (random.nextInt(6)) {
                case 0, 1 -> {
                    Client client = new Client(classIndex);
                    Demand demand = new Demand(
                            classIndex,
                            0,
                            random.nextInt(9),
                            random.nextInt(5),
                            1 + random.nextInt(4),
                            random.nextInt(3),
                            1,
                            random.nextInt(5) == 0,
                            classIndex == 1,
                            50_000 + random.nextInt(1_000_000));
                    harness.broker.submit(demand, "ask", client, exchange -> {
                        client.exchange = exchange;
                        waiting.add(exchange);
                    });
                }
                case 2 -> {
                    if (!waiting.isEmpty()) {
                        Exchange left = waiting.remove(random.nextInt(waiting.size()));
                        countResult(left.demand().classIndex(), RequestResult.GONE);
                        harness.broker.clientGone(left);
                    }
                }
                case 3, 4 -> {
                    if (!active.isEmpty()) {
                        Attempt attempt = active.remove(random.nextInt(active.size()));
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
                            writtenAttempts++;
                        }
                        attempt.end(end, "answer", Map.of());
                    }
                }
                default -> harness.advance(random.nextInt(300_000));
            }
        }
    }

    @Test
    void avoidedNodesAreTheDrainingAndSilentOnes() {
        CountingPeers peers = new CountingPeers(1);
        Broker broker = peers.harness.broker;
        assertEquals(2, broker.listedNodeCount());
        assertEquals(0, broker.avoidedNodeCount());
        CountingPeers.Client client = peers.new Client(0);
        broker.submit(
                new Demand(0, 0, 1, 1, 1, 0, 1, false, false, 1_400_000), "ask", client, e -> client.exchange = e);
        peers.harness.advance(1_000_000);
        assertEquals(1, broker.avoidedNodeCount());
        peers.harness.setNodes(
                BrokerFixture.node("s-00000001", 0, NodeState.READY, 0),
                BrokerFixture.node("s-00000002", 1, NodeState.DRAINING, 0));
        assertEquals(2, broker.avoidedNodeCount());
        peers.active.get(0).end(Outcome.SERVED, "answer", Map.of());
        assertEquals(1, broker.avoidedNodeCount());
        assertEquals(2, broker.listedNodeCount());
    }

    @Property(tries = 200)
    void countsMatchClientsAndNodes(@ForAll long seed) {
        CountingPeers peers = new CountingPeers(seed);
        for (int i = 0; i < 300; i++) {
            peers.step();
            assertEquals(peers.waiting.size(), peers.harness.broker.openRequests());
        }
        peers.harness.advance(10_000_000);
        RequestCounts counts = peers.harness.broker.requestCounts();
        for (int classIndex = 0; classIndex < 3; classIndex++) {
            String name = peers.harness.settings.classes().get(classIndex).name();
            for (RequestResult result : RequestResult.values()) {
                assertEquals(
                        peers.results.get(classIndex).getOrDefault(result, 0).longValue(),
                        counts.count(name, result),
                        name + result);
            }
        }
        assertEquals(peers.writtenAttempts, counts.attempts());
    }
}
