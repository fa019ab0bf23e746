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
import petrelstand.decision.Scheduling.HostActions;
import petrelstand.decision.Scheduling.HostEvents;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.Settings;
import petrelstand.testing.BrokerFixture;

/** Tests the broker with the real decision module and a node transport that the test controls. */
class BrokerTest {
    private final BrokerFixture harness = new BrokerFixture();
    private final List<Attempt> started = new ArrayList<>();
    private final List<Attempt> abandoned = new ArrayList<>();
    private final NodeTransport transport = new NodeTransport() {
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
    private final Broker broker = harness.broker(transport);

    private static final class Client implements ClientHandler {
        private final List<String> answers = new ArrayList<>();
        private final List<Long> retryAfterUs = new ArrayList<>();
        private Exchange exchange;
        private ClientPresence.State presence = ClientPresence.State.PRESENT;

        @Override
        public ClientPresence.State presence() {
            return presence;
        }

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

    private Client submit(int classIndex, int shard, long timeLeftUs) {
        Client client = new Client();
        broker.submit(
                new Demand(classIndex, 0, 5, 9, 2, shard, 1, false, classIndex == 1, timeLeftUs),
                "ask",
                client,
                exchange -> client.exchange = exchange);
        return client;
    }

    private void listNode() {
        harness.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.READY, 0));
    }

    /** Guards against an open request whose class, dropped since, has a longer deadline than the process has left. */
    @Test
    void openRequestsFailAtTheAnswerDeadline() {
        listNode();
        Client longer = submit(2, 3, 4_000_000);
        Client shorter = submit(0, 3, 1_000_000);
        broker.setAnswerDeadline(harness.nowUs + 2_000_000);
        harness.advance(1_100_000);
        assertEquals(1, shorter.answers.size());
        harness.advance(800_000);
        assertEquals(List.of(), longer.answers);
        harness.advance(100_000);
        assertEquals(List.of("failed"), longer.answers);
        assertEquals(0, broker.openRequests());
    }

    /** Guards against a refusal, which promises that nothing ran, where an earlier attempt may have run. */
    @Test
    void unseenClientIsToldThatItsRequestFailedIfAnEarlierAttemptMayHaveRun() {
        listNode();
        Client client = submit(1, 3, 1_000_000);
        assertTrue(started.get(0).beginWrite());
        started.get(0).requestWritten();
        started.get(0).end(Outcome.RESET, null, null);
        harness.advance(100_000);
        assertEquals(2, started.size(), "attempts");
        client.presence = ClientPresence.State.UNKNOWN;
        assertTrue(!started.get(1).beginWrite());
        assertEquals(List.of("failed"), client.answers);
        assertEquals(Outcome.NOT_SENT, started.get(1).outcome());
        assertForgotten();
    }

    /** Guards against a request that is left without its answer, or in the module, where its client is not seen. */
    @Test
    void unseenClientIsRefusedAndForgotten() {
        listNode();
        Client client = submit(1, 3, 1_000_000);
        client.presence = ClientPresence.State.SETTLING;
        assertTrue(started.get(0).isClientSettling());
        client.presence = ClientPresence.State.UNKNOWN;
        assertTrue(!started.get(0).isClientSettling());
        assertTrue(!started.get(0).beginWrite());
        assertEquals(List.of("refused"), client.answers);
        assertEquals(1, started.size(), "attempts");
        assertForgotten();
    }

    private void assertForgotten() {
        assertEquals(0, broker.openRequests());
        assertTrue(broker.statusLines().contains("module.requests 0\n"), broker.statusLines());
        assertTrue(broker.statusLines().contains("module.held_units 0\n"), broker.statusLines());
        assertEquals(0, harness.counters.get("module_unbalanced"));
    }

    /** Guards against an answer after the end of the process to a request whose body was complete after SIGTERM. */
    @Test
    void streamedRequestFailsAtTheAnswerDeadlineToo() {
        listNode();
        Client streamed = submit(1, 3, 2_000_000);
        started.get(0).beginBodyStream();
        broker.setAnswerDeadline(harness.nowUs + 3_000_000);
        harness.advance(2_500_000);
        broker.requestBodyComplete(streamed.exchange, harness.nowUs);
        harness.advance(499_999);
        assertEquals(List.of(), streamed.answers);
        harness.advance(1);
        assertEquals(List.of("failed"), streamed.answers);
        assertEquals(0, broker.openRequests());
    }

    /** Guards against a body in pieces that the module takes for a started answer, and so for no load of the node. */
    @Test
    void attemptStaysInFlightWhileItsBodyIsStreamed() {
        listNode();
        Client streamed = submit(1, 3, 2_000_000);
        started.get(0).beginBodyStream();
        assertTrue(broker.statusLines().contains("module.in_flight 1\n"), broker.statusLines());
        harness.advance(3_000_000);
        broker.requestBodyComplete(streamed.exchange, harness.nowUs);
        started.get(0).requestWritten();
        assertTrue(broker.statusLines().contains("module.in_flight 1\n"), broker.statusLines());
        started.get(0).end(Outcome.SERVED, "body", null);
        assertEquals(List.of("served"), streamed.answers);
        assertModuleHoldsNothing();
    }

    @Test
    void servedAttemptIsTheOnlyAnswer() {
        listNode();
        Client client = submit(0, 3, 1_500_000);
        assertEquals(1, started.size());
        assertEquals(client.exchange.deadlineUs(), started.get(0).timeoutAtUs());
        started.get(0).end(Outcome.SERVED, "body", null);
        started.get(0).end(Outcome.RESET, null, null);
        harness.advance(5_000_000);
        assertEquals(List.of("served"), client.answers);
        assertEquals(0, broker.openRequests());
    }

    @Test
    void requestWithoutANodeIsRefusedAtOnceWithRetryAfter() {
        Client client = submit(0, 3, 1_500_000);
        assertEquals(List.of("refused"), client.answers);
        assertTrue(client.retryAfterUs.get(0) > 0);
    }

    @Test
    void silentNodeGivesOneAnswerByTheDeadlineAndIsAbandoned() {
        listNode();
        Client client = submit(0, 3, 1_500_000);
        harness.advance(1_499_999);
        assertEquals(1, client.answers.size());
        harness.advance(1);
        assertEquals(started, abandoned);
        assertEquals(Outcome.TIMED_OUT, started.get(0).outcome());
        assertEquals(1, client.answers.size());
    }

    @Test
    void loopTurnAfterTheDeadlineAnswersOnce() {
        listNode();
        Client client = submit(1, 3, 400_000);
        harness.jumpAndRunDue(3_000_000);
        harness.advance(100_000);
        assertEquals(1, client.answers.size());
        assertEquals(Outcome.TIMED_OUT, started.get(0).outcome());
    }

    @Test
    void clientThatLeavesCancelsItsAttemptAndGetsNoAnswer() {
        listNode();
        Client client = submit(0, 3, 1_500_000);
        broker.clientGone(client.exchange);
        assertEquals(started, abandoned);
        harness.advance(5_000_000);
        assertEquals(List.of(), client.answers);
    }

    @Test
    void resetAfterCommitFailsWithoutRetry() {
        listNode();
        Client client = submit(0, 3, 1_500_000);
        started.get(0).commit();
        started.get(0).end(Outcome.RESET, null, null);
        harness.advance(2_000_000);
        assertEquals(1, started.size());
        assertEquals(List.of("failed"), client.answers);
    }

    @Test
    void committedTransferFailsAtItsDeadline() {
        listNode();
        Client client = submit(2, 3, 5_000_000);
        started.get(0).commit();
        harness.advance(4_999_999);
        assertEquals(List.of(), client.answers);
        harness.advance(1);
        assertEquals(List.of("failed"), client.answers);
        assertEquals(started, abandoned);
        assertEquals(1, harness.counters.get("answered.cut"));
        assertEquals(0, harness.counters.get("answered.overdue"));
    }

    @Test
    void failedConnectionIsRetried() {
        listNode();
        submit(1, 3, 2_500_000);
        started.get(0).end(Outcome.NOT_CONNECTED, null, null);
        harness.advance(1_000_000);
        assertTrue(started.size() > 1);
        assertEquals(1, started.get(1).number());
    }

    @Test
    void newObjectIsNotSentToAPrivateNode() {
        harness.setNodes(BrokerFixture.node("charts/127.0.0.1:1", NodeEntry.FIRST_PRIVATE_SHARD, NodeState.READY, 0));
        Client client = submit(1, -1, 2_500_000);
        assertEquals(List.of(), started);
        assertEquals(List.of("refused"), client.answers);
    }

    /** Guards against an overdue timer that is later than the settings' grace for an answer. */
    @Test
    void requestUnansweredByTheModuleFailsWithinTheGrace() {
        for (double graceMs : new double[] {1, 8, 500}) {
            Settings settings = SettingsReader.parse(
                    BrokerFixture.SETTINGS.replace("grace_to_answer_ms=8.0", "grace_to_answer_ms=" + graceMs));
            Broker unanswering = new Broker(
                    settings,
                    (now, ignoredSettings, actions) -> (HostEvents) java.lang.reflect.Proxy.newProxyInstance(
                            getClass().getClassLoader(),
                            new Class<?>[] {HostEvents.class},
                            (proxy, method, args) -> null),
                    () -> harness.nowUs,
                    harness.timers,
                    transport,
                    harness.counters,
                    harness.log::add);
            Client client = new Client();
            unanswering.submit(new Demand(0, 0, 5, 9, 2, 3, 1, false, false, 1_000_000), "ask", client, exchange -> {});
            harness.advance(1_000_000 + Math.min(2_000, (long) (250 * graceMs)) - 1);
            assertEquals(List.of(), client.answers);
            harness.advance(1);
            assertEquals(List.of("failed"), client.answers);
        }
    }

    @Test
    void exceptionInTheModuleFailsItsRequest() {
        Client client = new Client();
        Broker faulty = new Broker(
                harness.settings,
                (now, settings, actions) -> {
                    actions.setTimer(now, 1);
                    return (HostEvents) java.lang.reflect.Proxy.newProxyInstance(
                            getClass().getClassLoader(), new Class<?>[] {HostEvents.class}, (proxy, method, args) -> {
                                throw new IllegalStateException("broken");
                            });
                },
                () -> harness.nowUs,
                harness.timers,
                transport,
                harness.counters,
                harness.log::add);
        faulty.submit(new Demand(0, 0, 5, 9, 2, 3, 1, false, false, 1000), "ask", client, exchange -> {});
        harness.advance(10_000);
        assertEquals(List.of("failed"), client.answers);
    }

    @Test
    void moduleTimesAreRoundedUp() {
        assertEquals(1001, Broker.toUs(1.0000001));
        assertEquals(1.5, Broker.toMs(1500));
    }

    @Test
    void nodeNumberDependsOnItsNameOnly() {
        assertEquals(0x5be2a07cL, Node.numberOf("s-5be2a07c"));
        assertEquals(Node.numberOf("rack/7"), Node.numberOf("rack/7"));
        assertTrue(Node.numberOf("rack/7") != Node.numberOf("rack/8"));
    }

    /** Guards against a leak per replaced node or cancelled timer. */
    @Test
    void replacedNodesAndCancelledTimersAreNotKept() {
        for (int i = 0; i < 5_000; i++) {
            Node node = BrokerFixture.node(String.format("s-%08x", i), 3, NodeState.READY, 0);
            if (i % 2 == 0) {
                harness.setNodes(node);
            } else {
                broker.updateNodes(
                        NodeListKind.CHANGES,
                        List.of(node, BrokerFixture.node(String.format("s-%08x", i - 1), 3, NodeState.GONE, 0)));
            }
            Client client = submit(0, 3, 1_500_000);
            started.get(started.size() - 1).end(Outcome.SERVED, "body", null);
            assertEquals(List.of("served"), client.answers);
            harness.advance(1_000);
        }
        assertEquals(1, broker.knownNodeCount());
        assertTrue(harness.timers.size() < 3_000, "timers in the queue: " + harness.timers.size());
    }

    /** Each request gets one answer in time and has at most one active attempt, in any sequence of events. */
    @Property(tries = 300, seed = "20261201")
    void randomEventsGiveEachRequestOneAnswerInTime(@ForAll @Size(max = 40) List<@IntRange(max = 11) Integer> steps) {
        BrokerTest test = new BrokerTest();
        test.listNode();
        List<Client> clients = new ArrayList<>();
        List<Client> departed = new ArrayList<>();
        for (int step : steps) {
            Attempt active =
                    test.started.stream().filter(a -> !a.isEnded()).findFirst().orElse(null);
            switch (step) {
                case 0, 1, 2 -> clients.add(test.submit(step, 3, 100_000 * (step + 1)));
                case 3 -> test.harness.advance(30_000);
                case 4 -> test.harness.jumpAndRunDue(170_000);
                case 5 -> test.harness.setNodes(BrokerFixture.node("s-00000001", 3, NodeState.DRAINING, 0));
                case 6 -> test.listNode();
                case 7 ->
                    clients.stream()
                            .filter(c -> c.answers.isEmpty())
                            .findFirst()
                            .ifPresent(c -> {
                                test.broker.clientGone(c.exchange);
                                departed.add(c);
                            });
                default -> {
                    if (active != null) {
                        active.end(
                                List.of(Outcome.SERVED, Outcome.ERROR, Outcome.NOT_CONNECTED, Outcome.RESET)
                                        .get(step - 8),
                                null,
                                null);
                    }
                }
            }
            for (Client client : clients) {
                long activeAttempts = test.started.stream()
                        .filter(a -> a.exchange() == client.exchange && !a.isEnded())
                        .count();
                assertTrue(activeAttempts <= 1);
                boolean overdue = test.harness.nowUs >= client.exchange.deadlineUs() + 2_000;
                int expected = departed.contains(client) ? 0 : 1;
                assertTrue(client.answers.size() <= expected);
                assertTrue(!overdue || client.answers.size() == expected);
            }
        }
        test.harness.advance(6_000_000);
        assertEquals(0, test.broker.openRequests());
        assertTrue(test.started.stream().allMatch(Attempt::isEnded));
        test.assertModuleHoldsNothing();
    }

    private void assertModuleHoldsNothing() {
        String status = broker.statusLines();
        assertTrue(status.contains("module.requests 0\nmodule.in_flight 0\nmodule.held_units 0\n"), status);
        assertEquals(0, harness.counters.get("module_unbalanced"));
        assertEquals(0, harness.counters.get("module_faults"));
    }

    /**
     * Guards against a request that stays in the module for good because its client left before the module heard of it.
     */
    @Test
    void requestThatEndsBeforeTheModuleHearsOfItIsNotTold() {
        listNode();
        for (int i = 0; i < 100; i++) {
            broker.runSimultaneously(() -> broker.clientGone(submit(0, 3, 1_000_000).exchange));
        }
        assertEquals(List.of(), started);
        assertEquals(0, broker.openRequests());
        assertModuleHoldsNothing();
        submit(0, 3, 1_000_000);
        assertEquals(1, started.size(), "the window is free");
    }

    /** A module that throws on some of its events and records all of them. */
    private static HostEvents throwingModule(List<String> told, String throwsOn) {
        return (HostEvents) java.lang.reflect.Proxy.newProxyInstance(
                BrokerTest.class.getClassLoader(), new Class<?>[] {HostEvents.class}, (proxy, method, args) -> {
                    told.add(method.getName());
                    if (method.getName().equals(throwsOn)) {
                        throw new IllegalStateException("broken");
                    }
                    return null;
                });
    }

    /** Guards against a request that the module keeps for good after an exception of its own failed it. */
    @Test
    void moduleIsToldOfTheEndOfARequestThatItsExceptionFailed() {
        List<String> told = new ArrayList<>();
        Broker faulty = new Broker(
                harness.settings,
                (now, settings, actions) -> throwingModule(told, "requestReceived"),
                () -> harness.nowUs,
                harness.timers,
                transport,
                harness.counters,
                harness.log::add);
        Client client = new Client();
        faulty.submit(new Demand(0, 0, 5, 9, 2, 3, 1, false, false, 1_000_000), "ask", client, exchange -> {});
        assertEquals(List.of("failed"), client.answers);
        assertEquals(List.of("requestReceived", "clientGone"), told);
        assertEquals(0, faulty.openRequests());
        assertEquals(0, harness.counters.get("module_unbalanced"));
    }

    /**
     * The check of beginnings and ends finds an attempt for a request that is not open, and logs the first one only.
     */
    @Test
    void attemptForARequestThatIsNotOpenIsCountedAndLoggedOnce() {
        List<HostActions> actionsOfModule = new ArrayList<>();
        new Broker(
                harness.settings,
                (now, settings, actions) -> {
                    actionsOfModule.add(actions);
                    return throwingModule(new ArrayList<>(), "");
                },
                () -> harness.nowUs,
                harness.timers,
                transport,
                harness.counters,
                harness.log::add);
        actionsOfModule.get(0).send(77, 1, 0);
        actionsOfModule.get(0).send(78, 1, 0);
        assertEquals(2, harness.counters.get("module_unbalanced"));
        assertEquals(
                1,
                harness.log.stream()
                        .filter(line -> line.contains("module_unbalanced"))
                        .count(),
                harness.log.toString());
    }

    // ---- Events in the same turn of the loop ----

    /** All permutations of the numbers from 0 to {@code count} - 1. */
    private static List<List<Integer>> permutations(int count) {
        if (count == 0) {
            return List.of(List.of());
        }
        List<List<Integer>> all = new ArrayList<>();
        for (List<Integer> shorter : permutations(count - 1)) {
            for (int at = 0; at <= shorter.size(); at++) {
                List<Integer> longer = new ArrayList<>(shorter);
                longer.add(at, count - 1);
                all.add(longer);
            }
        }
        return all;
    }

    /**
     * An attempt's end, the due timers, the client's departure, the node's drain, its removal and the answer deadline,
     * in one turn and in every order: one final answer, one outcome per attempt, at most one active attempt.
     */
    @Test
    void simultaneousEventsInAnyOrderGiveOneAnswer() {
        for (List<Integer> order : permutations(6)) {
            for (Outcome outcome : List.of(Outcome.SERVED, Outcome.RESET, Outcome.REJECTED, Outcome.NOT_CONNECTED)) {
                for (int classIndex = 0; classIndex < 3; classIndex++) {
                    new BrokerTest().playInOneTurn(order, outcome, classIndex);
                }
            }
        }
    }

    private void playInOneTurn(List<Integer> order, Outcome outcome, int classIndex) {
        harness.setNodes(
                BrokerFixture.node("s-00000001", 3, NodeState.READY, 0),
                BrokerFixture.node("s-00000002", 3, NodeState.READY, 0));
        Client client = submit(classIndex, 3, 1_500_000);
        Attempt first = started.get(0);
        Node node = first.node();
        harness.nowUs += order.get(0) % 2 == 0 ? 1_500_000 : 10_000;
        boolean clientLeft = false;
        for (int event : order) {
            switch (event) {
                case 0 -> first.end(outcome, "body", null);
                case 1 -> harness.timers.runDue(harness.nowUs);
                case 2 -> {
                    clientLeft |= client.answers.isEmpty();
                    broker.clientGone(client.exchange);
                }
                case 3 -> broker.updateNodes(NodeListKind.CHANGES, List.of(node.withState(NodeState.DRAINING)));
                case 4 -> broker.updateNodes(NodeListKind.CHANGES, List.of(node.asGone()));
                default -> broker.setAnswerDeadline(harness.nowUs);
            }
            assertTrue(
                    started.stream().filter(attempt -> !attempt.isEnded()).count() <= 1,
                    "two active attempts: " + order);
        }
        harness.advance(10_000_000);
        String message = order + " " + outcome + " class " + classIndex + ": " + client.answers;
        assertEquals(clientLeft ? 0 : 1, client.answers.size(), message);
        assertEquals(0, broker.openRequests(), message);
        assertModuleHoldsNothing();
        long outcomes = java.util.stream.Stream.of(Outcome.values())
                .mapToLong(
                        value -> harness.counters.get("outcome." + value.name().toLowerCase(java.util.Locale.ROOT)))
                .sum();
        assertEquals(started.size(), outcomes, message);
        assertEquals(abandoned.stream().distinct().count(), abandoned.size(), message);
        assertTrue(started.stream().allMatch(Attempt::isEnded), message);
    }
}
