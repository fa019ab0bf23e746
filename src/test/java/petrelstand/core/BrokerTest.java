package petrelstand.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import petrelstand.config.SettingsReader;
import petrelstand.decision.Scheduling.HostEvents;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.testing.Harness;

/** The core against the real decision module, with a server side that the test plays. */
class BrokerTest {
    private final Harness world = new Harness();
    private final List<Attempt> started = new ArrayList<>();
    private final List<Attempt> abandoned = new ArrayList<>();
    private final NodeTransport server = new NodeTransport() {
        @Override
        public void start(Attempt attempt) {
            started.add(attempt);
        }

        @Override
        public void abandon(Attempt attempt) {
            abandoned.add(attempt);
        }

        @Override
        public void probe(Node node, long timeoutUs, ProbeCallback result) {
            result.probeEnded(Outcome.SERVED, Map.of());
        }

        @Override
        public void discardConnections(Node node) {}
    };
    private final Broker broker = world.broker(server);

    private static final class Client implements ClientHandler {
        private final List<String> answers = new ArrayList<>();
        private final List<Long> retryAfterUs = new ArrayList<>();
        private Exchange exchange;

        @Override
        public boolean served(Object answer) {
            answers.add("served");
            return true;
        }

        @Override
        public void refused(long retryUs) {
            answers.add("refused");
            retryAfterUs.add(retryUs);
        }

        @Override
        public void failed(Attempt last) {
            answers.add("failed");
        }
    }

    private Client take(int requestClass, int shard, long leftUs) {
        Client client = new Client();
        broker.submit(
                new Demand(requestClass, 0, 5, 9, 2, shard, 1, false, requestClass == 1, leftUs),
                "ask",
                client,
                exchange -> client.exchange = exchange);
        return client;
    }

    private void listOne() {
        world.list(Harness.node("s-00000001", 3, NodeState.READY, 0));
    }

    /** A process is told to end sooner than an open request's class, since dropped, waits. */
    @Test
    void noAnswerIsGivenLaterThanTheLastMoment() {
        listOne();
        Client waits = take(2, 3, 4_000_000);
        Client shorter = take(0, 3, 1_000_000);
        broker.setAnswerDeadline(world.nowUs + 2_000_000);
        world.run(1_100_000);
        assertEquals(1, shorter.answers.size());
        world.run(800_000);
        assertEquals(List.of(), waits.answers);
        world.run(100_000);
        assertEquals(List.of("failed"), waits.answers);
        assertEquals(0, broker.openRequests());
    }

    /** Guards against a body whose last byte comes after SIGTERM: its time begins then, and ends with the process's. */
    @Test
    void aBodyThatIsWholeOnlyAfterTheEndWasToldIsAnsweredByTheLastMomentToo() {
        listOne();
        Client writes = take(1, 3, 2_000_000);
        started.get(0).beginBodyStream();
        broker.setAnswerDeadline(world.nowUs + 3_000_000);
        world.run(2_500_000);
        broker.requestBodyComplete(writes.exchange, world.nowUs);
        world.run(499_999);
        assertEquals(List.of(), writes.answers);
        world.run(1);
        assertEquals(List.of("failed"), writes.answers);
        assertEquals(0, broker.openRequests());
    }

    @Test
    void aServedAttemptIsTheAnswer() {
        listOne();
        Client client = take(0, 3, 1_500_000);
        assertEquals(1, started.size());
        assertEquals(client.exchange.deadlineUs(), started.get(0).timeoutAtUs());
        started.get(0).end(Outcome.SERVED, "body", null);
        started.get(0).end(Outcome.RESET, null, null);
        world.run(5_000_000);
        assertEquals(List.of("served"), client.answers);
        assertEquals(0, broker.openRequests());
    }

    @Test
    void withoutANodeTheRefusalComesAtOnceAndSaysWhenToComeBack() {
        Client client = take(0, 3, 1_500_000);
        assertEquals(List.of("refused"), client.answers);
        assertTrue(client.retryAfterUs.get(0) > 0);
    }

    @Test
    void aSilentNodeEndsInOneAnswerByTheDeadlineAndItsAttemptIsGivenUp() {
        listOne();
        Client client = take(0, 3, 1_500_000);
        world.run(1_499_999);
        assertEquals(1, client.answers.size());
        world.run(1);
        assertEquals(started, abandoned);
        assertEquals(Outcome.TIMED_OUT, started.get(0).outcome());
        assertEquals(1, client.answers.size());
    }

    @Test
    void aTurnOfTheLoopThatComesAfterTheDeadlineStillAnswersOnce() {
        listOne();
        Client client = take(1, 3, 400_000);
        world.late(3_000_000);
        world.run(100_000);
        assertEquals(1, client.answers.size());
        assertEquals(Outcome.TIMED_OUT, started.get(0).outcome());
    }

    @Test
    void aClientThatLeavesStopsItsAttemptAndIsOwedNothing() {
        listOne();
        Client client = take(0, 3, 1_500_000);
        broker.clientGone(client.exchange);
        assertEquals(started, abandoned);
        world.run(5_000_000);
        assertEquals(List.of(), client.answers);
    }

    @Test
    void onceBytesWereRelayedABreakIsTheEnd() {
        listOne();
        Client client = take(0, 3, 1_500_000);
        started.get(0).commit();
        started.get(0).end(Outcome.RESET, null, null);
        world.run(2_000_000);
        assertEquals(1, started.size());
        assertEquals(List.of("failed"), client.answers);
    }

    @Test
    void aTransferThatRunsPastItsDeadlineIsCut() {
        listOne();
        Client client = take(2, 3, 5_000_000);
        started.get(0).commit();
        world.run(4_999_999);
        assertEquals(List.of(), client.answers);
        world.run(1);
        assertEquals(List.of("failed"), client.answers);
        assertEquals(started, abandoned);
        assertEquals(1, world.counters.get("answered.cut"));
        assertEquals(0, world.counters.get("answered.overdue"));
    }

    @Test
    void aBreakBeforeTheNodeRanIsTriedAgain() {
        listOne();
        take(1, 3, 2_500_000);
        started.get(0).end(Outcome.NOT_CONNECTED, null, null);
        world.run(1_000_000);
        assertTrue(started.size() > 1);
        assertEquals(1, started.get(1).number());
    }

    @Test
    void aNewObjectNeverGoesToAPrivateShard() {
        world.list(Harness.node("charts/127.0.0.1:1", NodeEntry.FIRST_PRIVATE_SHARD, NodeState.READY, 0));
        Client client = take(1, -1, 2_500_000);
        assertEquals(List.of(), started);
        assertEquals(List.of("refused"), client.answers);
    }

    /** Guards against a guard that comes later than the settings leave for the answer. */
    @Test
    void aForgottenRequestIsFailedWithinTheGraceOfTheSettings() {
        for (double graceMs : new double[] {1, 8, 500}) {
            Settings settings = SettingsReader.ofText(
                    Harness.SETTINGS.replace("grace_to_answer_ms=8.0", "grace_to_answer_ms=" + graceMs));
            Broker forgets = new Broker(
                    settings,
                    (now, of, actions) -> (HostEvents) java.lang.reflect.Proxy.newProxyInstance(
                            getClass().getClassLoader(),
                            new Class<?>[] {HostEvents.class},
                            (proxy, method, args) -> null),
                    () -> world.nowUs,
                    world.timers,
                    server,
                    world.counters,
                    world.log::add);
            Client client = new Client();
            forgets.submit(new Demand(0, 0, 5, 9, 2, 3, 1, false, false, 1_000_000), "ask", client, exchange -> {});
            world.run(1_000_000 + Math.min(2_000, (long) (250 * graceMs)) - 1);
            assertEquals(List.of(), client.answers);
            world.run(1);
            assertEquals(List.of("failed"), client.answers);
        }
    }

    @Test
    void aFaultInTheModuleFailsItsRequestOnly() {
        Client client = new Client();
        Broker faulty = new Broker(
                world.settings,
                (now, settings, actions) -> {
                    actions.setTimer(now, 1);
                    return (HostEvents) java.lang.reflect.Proxy.newProxyInstance(
                            getClass().getClassLoader(), new Class<?>[] {HostEvents.class}, (proxy, method, args) -> {
                                throw new IllegalStateException("broken");
                            });
                },
                () -> world.nowUs,
                world.timers,
                server,
                world.counters,
                world.log::add);
        faulty.submit(new Demand(0, 0, 5, 9, 2, 3, 1, false, false, 1000), "ask", client, exchange -> {});
        world.run(10_000);
        assertEquals(List.of("failed"), client.answers);
    }

    @Test
    void theModulesTimesAreRoundedUpSoThatNoTimerIsEarly() {
        assertEquals(1001, Broker.toUs(1.0000001));
        assertEquals(1.5, Broker.toMs(1500));
    }

    @Test
    void aNodesNumberIsMadeOfItsNameAlone() {
        assertEquals(0x5be2a07cL, Node.numberOf("s-5be2a07c"));
        assertEquals(Node.numberOf("rack/7"), Node.numberOf("rack/7"));
        assertTrue(Node.numberOf("rack/7") != Node.numberOf("rack/8"));
    }

    /** New nodes with new ids replace the old ones all day; what is gone leaves nothing. */
    @Test
    void thousandsOfReplacedNodesAndCancelledTimersLeaveSizesFlat() {
        for (int i = 0; i < 5_000; i++) {
            Node now = Harness.node(String.format("s-%08x", i), 3, NodeState.READY, 0);
            if (i % 2 == 0) {
                world.list(now);
            } else {
                broker.updateNodes(
                        petrelstand.decision.Scheduling.NodeListKind.CHANGES,
                        List.of(now, Harness.node(String.format("s-%08x", i - 1), 3, NodeState.GONE, 0)));
            }
            Client client = take(0, 3, 1_500_000);
            started.get(started.size() - 1).end(Outcome.SERVED, "body", null);
            assertEquals(List.of("served"), client.answers);
            world.run(1_000);
        }
        assertEquals(1, broker.knownNodeCount());
        assertTrue(world.timers.size() < 3_000, "timers kept: " + world.timers.size());
    }

    /** Whatever happens to attempts and clients, each request ends once, in time, with one attempt out at most. */
    @Property(tries = 300, seed = "20261201")
    void eachRequestEndsOnceInTime(@ForAll @Size(max = 40) List<@IntRange(max = 11) Integer> steps) {
        BrokerTest test = new BrokerTest();
        test.listOne();
        List<Client> clients = new ArrayList<>();
        List<Client> left = new ArrayList<>();
        for (int step : steps) {
            Attempt out =
                    test.started.stream().filter(a -> !a.isEnded()).findFirst().orElse(null);
            switch (step) {
                case 0, 1, 2 -> clients.add(test.take(step, 3, 100_000 * (step + 1)));
                case 3 -> test.world.run(30_000);
                case 4 -> test.world.late(170_000);
                case 5 -> test.world.list(Harness.node("s-00000001", 3, NodeState.DRAINING, 0));
                case 6 -> test.listOne();
                case 7 ->
                    clients.stream()
                            .filter(c -> c.answers.isEmpty())
                            .findFirst()
                            .ifPresent(c -> {
                                test.broker.clientGone(c.exchange);
                                left.add(c);
                            });
                default -> {
                    if (out != null) {
                        out.end(
                                List.of(Outcome.SERVED, Outcome.ERROR, Outcome.NOT_CONNECTED, Outcome.RESET)
                                        .get(step - 8),
                                null,
                                null);
                    }
                }
            }
            for (Client client : clients) {
                long open = test.started.stream()
                        .filter(a -> a.exchange() == client.exchange && !a.isEnded())
                        .count();
                assertTrue(open <= 1);
                boolean late = test.world.nowUs >= client.exchange.deadlineUs() + 2_000;
                int owed = left.contains(client) ? 0 : 1;
                assertTrue(client.answers.size() <= owed);
                assertTrue(!late || client.answers.size() == owed);
            }
        }
        test.world.run(6_000_000);
        assertEquals(0, test.broker.openRequests());
        assertTrue(test.started.stream().allMatch(Attempt::isEnded));
    }

    // ---- What crosses in one turn ----

    /** All orders of so many things. */
    private static List<List<Integer>> orders(int count) {
        if (count == 0) {
            return List.of(List.of());
        }
        List<List<Integer>> all = new ArrayList<>();
        for (List<Integer> less : orders(count - 1)) {
            for (int at = 0; at <= less.size(); at++) {
                List<Integer> more = new ArrayList<>(less);
                more.add(at, count - 1);
                all.add(more);
            }
        }
        return all;
    }

    /**
     * An attempt's end, the time-outs, the client's leaving, the node's drain and its removal, and the process's last
     * moment, in one turn and in every order: one final answer, one outcome for each attempt, never two attempts out.
     */
    @Test
    void whateverCrossesInOneTurnThereIsOneAnswerAndOneOutcome() {
        for (List<Integer> order : orders(6)) {
            for (Outcome how : List.of(Outcome.SERVED, Outcome.RESET, Outcome.REJECTED, Outcome.NOT_CONNECTED)) {
                for (int requestClass = 0; requestClass < 3; requestClass++) {
                    new BrokerTest().cross(order, how, requestClass);
                }
            }
        }
    }

    private void cross(List<Integer> order, Outcome how, int requestClass) {
        world.list(
                Harness.node("s-00000001", 3, NodeState.READY, 0), Harness.node("s-00000002", 3, NodeState.READY, 0));
        Client client = take(requestClass, 3, 1_500_000);
        Attempt first = started.get(0);
        Node node = first.node();
        world.nowUs += order.get(0) % 2 == 0 ? 1_500_000 : 10_000;
        boolean gone = false;
        for (int what : order) {
            switch (what) {
                case 0 -> first.end(how, "body", null);
                case 1 -> world.timers.runDue(world.nowUs);
                case 2 -> {
                    gone |= client.answers.isEmpty();
                    broker.clientGone(client.exchange);
                }
                case 3 -> broker.updateNodes(NodeListKind.CHANGES, List.of(node.withState(NodeState.DRAINING)));
                case 4 -> broker.updateNodes(NodeListKind.CHANGES, List.of(node.asGone()));
                default -> broker.setAnswerDeadline(world.nowUs);
            }
            assertTrue(
                    started.stream().filter(attempt -> !attempt.isEnded()).count() <= 1, "two attempts out: " + order);
        }
        world.run(10_000_000);
        String told = order + " " + how + " class " + requestClass + ": " + client.answers;
        assertEquals(gone ? 0 : 1, client.answers.size(), told);
        assertEquals(0, broker.openRequests(), told);
        long outcomes = java.util.stream.Stream.of(Outcome.values())
                .mapToLong(each -> world.counters.get("outcome." + each.name().toLowerCase(java.util.Locale.ROOT)))
                .sum();
        assertEquals(started.size(), outcomes, told);
        assertEquals(abandoned.stream().distinct().count(), abandoned.size(), told);
        assertTrue(started.stream().allMatch(Attempt::isEnded), told);
    }
}
