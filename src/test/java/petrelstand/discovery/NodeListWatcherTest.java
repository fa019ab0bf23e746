package petrelstand.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.config.NodeList;
import petrelstand.net.MemoryEndPoint;
import petrelstand.testing.BrokerFixture;
import petrelstand.testing.HeldInputEndPoint;

/** Tests the watcher against a simulated discovery agent and a simulated clock. */
class NodeListWatcherTest {
    private static final String NEW_ADDRESS = "127.0.0.3:8600";

    private final BrokerFixture harness = new BrokerFixture();
    private final List<NodeList> received = new ArrayList<>();
    /** Thrown by the listener at the next list; null for none. */
    private RuntimeException failOnce;

    private NodeListWatcher startWatcher(long version) {
        NodeListWatcher watcher = new NodeListWatcher(
                harness::dial,
                () -> harness.nowUs,
                harness.timers,
                BrokerFixture.ADDRESS,
                "agent",
                List.of("a"),
                version,
                this::receive,
                harness.counters,
                harness.log::add);
        watcher.start();
        return watcher;
    }

    private void receive(NodeList list) {
        RuntimeException failure = failOnce;
        failOnce = null;
        if (failure != null) {
            throw failure;
        }
        received.add(list);
    }

    private static String listAnswer(long version, boolean full) {
        String body = "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[]}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Guards against treating version 0 as no list, which requests the whole list in a loop without delay. */
    @Test
    void versionZeroIsSentAsTheIndex() {
        startWatcher(0);
        assertTrue(harness.connectLast().takeReceived().startsWith("GET /v1/endpoints?index=0&wait=1 HTTP/1.1"));
    }

    @Test
    void unknownVersionRequestsTheWholeList() {
        startWatcher(-1);
        assertTrue(harness.connectLast().takeReceived().startsWith("GET /v1/endpoints HTTP/1.1"));
    }

    @Test
    void nextCallIsSentRightAfterAnAnswer() {
        startWatcher(41);
        MemoryEndPoint agent = harness.connectLast();
        agent.takeReceived();
        agent.send(listAnswer(43, false));
        assertTrue(agent.takeReceived().startsWith("GET /v1/endpoints?index=43&wait=200"));
        assertEquals(1, received.size());
    }

    /** Guards against a change that is lost or late after a second copy was taken for the next call's answer. */
    @Test
    void secondCopyOfAnAnswerDelaysNoChange() {
        startWatcher(41);
        MemoryEndPoint agent = harness.connectLast();
        agent.takeReceived();
        agent.send(listAnswer(43, true));
        harness.advance(1_000);
        agent.send(listAnswer(43, true));
        harness.advance(1_000);
        // The call after the first answer is still to be answered, and is when the list changes.
        agent.send(listAnswer(44, false));
        assertEquals(
                List.of(43L, 43L, 44L), received.stream().map(NodeList::version).toList());
        agent.send(listAnswer(44, false));
        String calls = agent.takeReceived();
        assertTrue(calls.substring(calls.lastIndexOf("GET ")).startsWith("GET /v1/endpoints?index=44&wait="), calls);
        assertEquals(0, harness.counters.get("discovery.failures"));
    }

    /** Answers the calls with a short wait without changes; returns the agent with a call of the long wait pending. */
    private HeldInputEndPoint answerShortWaitCalls() {
        HeldInputEndPoint agent = harness.connectLast();
        for (int i = 0; i < NodeListWatcher.SHORT_WAIT_CALLS; i++) {
            assertTrue(agent.takeReceived().contains(i == 0 ? "&wait=1 " : "&wait=200 "));
            agent.send(listAnswer(41, false));
        }
        assertTrue(agent.takeReceived().startsWith("GET /v1/endpoints?index=41&wait=2000 "));
        return agent;
    }

    /** Guards against a change that is never told because the listener failed on it once. */
    @Test
    void listThatTheListenerFailsOnIsAskedForAgain() {
        for (RuntimeException thrown : List.of(new IllegalArgumentException("bad"), new IllegalStateException("bad"))) {
            received.clear();
            failOnce = thrown;
            startWatcher(41);
            MemoryEndPoint agent = harness.connectLast();
            agent.takeReceived();
            agent.send(listAnswer(43, false));
            assertEquals(List.of(), received);
            harness.advance(NodeListWatcher.RETRY_DELAY_US);
            assertTrue(agent.takeReceived().startsWith("GET /v1/endpoints?index=41&wait=200"), "asked for again");
            agent.send(listAnswer(43, false));
            assertEquals(1, received.size());
            assertTrue(agent.takeReceived().startsWith("GET /v1/endpoints?index=43&wait="));
        }
        assertEquals(2, harness.counters.get("discovery.failures"));
    }

    @Test
    void silentAgentIsCalledOnNewConnectionWithin200Ms() {
        startWatcher(41);
        MemoryEndPoint silent = answerShortWaitCalls();
        harness.advance(2_599_999);
        assertTrue(silent.isOpen());
        harness.advance(200_000);
        assertFalse(silent.isOpen());
        assertTrue(
                harness.connectLast().takeReceived().startsWith("GET /v1/endpoints?index=41&wait=1"),
                "the 200 ms wait is reduced by the time to connect");
    }

    /** Ways in which a call fails, on a new connection or on one kept from the call before. */
    private enum CallFailure {
        CONNECTION_REFUSED,
        CONNECT_HANGS,
        CONNECTED_LATE_WITHOUT_ANSWER,
        NO_ANSWER,
        RESET,
        STATUS_503,
        MALFORMED_LIST,
        ANSWER_STALLS,
        ANSWER_TRICKLES;

        /**
         * Makes the pending call fail, on the kept connection or, if that is null, on the one being established.
         * Returns the connection if it stays usable, otherwise null.
         */
        MemoryEndPoint failCall(NodeListWatcherTest test, MemoryEndPoint kept) {
            BrokerFixture harness = test.harness;
            if (kept == null && this == CONNECTION_REFUSED) {
                harness.dials.remove(0).connector().connectFailed(new IOException("refused"));
                return null;
            }
            if (kept == null && this == CONNECT_HANGS) {
                harness.dials.remove(0);
                return null;
            }
            if (kept == null && this == CONNECTED_LATE_WITHOUT_ANSWER) {
                harness.advance(NodeListWatcher.TIMEOUT_SLACK_US - 20_000);
                harness.connectLast();
                return null;
            }
            MemoryEndPoint end = kept == null ? harness.connectLast() : kept;
            switch (this) {
                case RESET -> end.sendEof();
                case STATUS_503 -> end.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
                case MALFORMED_LIST -> end.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]");
                case ANSWER_STALLS -> end.send("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"version\":42,");
                case ANSWER_TRICKLES -> {
                    end.send("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n");
                    for (int i = 0; i < 260 && end.isOpen(); i++) {
                        end.send(" ");
                        harness.advance(10_000);
                    }
                }
                default -> {}
            }
            return this == STATUS_503 || this == MALFORMED_LIST ? end : null;
        }
    }

    /** Bounds the delay of a new list when two calls in a row fail and the third succeeds. */
    @Test
    void newListArrivesInTimeAfterAnyTwoFailedCalls() {
        long worstUs = 0;
        for (int failedBefore = 0; failedBefore < 6; failedBefore++) {
            for (CallFailure first : CallFailure.values()) {
                for (CallFailure second : CallFailure.values()) {
                    long delayUs = new NodeListWatcherTest().delayAfterTwoFailuresUs(failedBefore, first, second);
                    assertTrue(delayUs <= 5_500_000, failedBefore + " " + first + " " + second + " " + delayUs);
                    worstUs = Math.max(worstUs, delayUs);
                }
            }
        }
        assertTrue(worstUs <= 5_500_000, "longest delay: " + worstUs);
        assertTrue(worstUs >= 5_000_000, "the longest delay is covered: " + worstUs);
    }

    /**
     * Returns the time from sending the first failing call, when the new list already exists, to receiving the list.
     */
    private long delayAfterTwoFailuresUs(int failedBefore, CallFailure first, CallFailure second) {
        startWatcher(41);
        MemoryEndPoint kept = answerShortWaitCalls();
        for (int i = 0; i < failedBefore; i++) {
            kept = CallFailure.RESET.failCall(this, kept);
            harness.advance(NodeListWatcher.RETRY_DELAY_US);
        }
        long startedUs = harness.nowUs;
        for (CallFailure failure : List.of(first, second)) {
            kept = failure.failCall(this, kept);
            if (kept != null) {
                kept.takeReceived();
            }
            for (int i = 0; i < 400 && !hasNextCall(kept); i++) {
                harness.advance(10_000);
            }
        }
        MemoryEndPoint agent = kept == null ? harness.connectLast() : kept;
        assertTrue(received.stream().allMatch(list -> list.version() == 41));
        agent.send(listAnswer(42, false));
        assertEquals(42, received.get(received.size() - 1).version());
        return harness.nowUs - startedUs;
    }

    private boolean hasNextCall(MemoryEndPoint kept) {
        return kept == null ? !harness.dials.isEmpty() : kept.takeReceived().contains("GET ");
    }

    /**
     * The agent falls silent at some moment of a long wait after 13 s of normal operation, and the next call fails too.
     */
    @Test
    void newListArrivesInTimeAfterLateSilenceAndAFailedCall() {
        long worstUs = 0;
        for (long atUs = 13_000_000; atUs <= 13_000_000 + 2 * 1000 * NodeListWatcher.LONG_WAIT_MS; atUs += 250_000) {
            for (CallFailure second : CallFailure.values()) {
                worstUs = Math.max(worstUs, new NodeListWatcherTest().delayAfterSilenceUs(atUs, second));
            }
        }
        assertTrue(worstUs <= 3_700_000, "longest delay: " + worstUs);
        assertTrue(worstUs >= 3_500_000, "the longest delay is covered: " + worstUs);
    }

    /** Returns the time from the agent's silence, {@code atUs} after the start, to receiving the new list. */
    private long delayAfterSilenceUs(long atUs, CallFailure second) {
        long startedUs = harness.nowUs;
        startWatcher(41);
        MemoryEndPoint agent = answerShortWaitCalls();
        while (harness.nowUs + 1000 * NodeListWatcher.LONG_WAIT_MS <= startedUs + atUs) {
            harness.advance(1000 * NodeListWatcher.LONG_WAIT_MS);
            agent.send(listAnswer(41, false));
            assertTrue(agent.takeReceived().contains("&wait=2000 "));
        }
        harness.advance(startedUs + atUs - harness.nowUs);
        long silentFromUs = harness.nowUs;
        for (int i = 0; i < 400 && harness.dials.isEmpty(); i++) {
            harness.advance(10_000);
        }
        MemoryEndPoint kept = second.failCall(this, null);
        if (kept != null) {
            kept.takeReceived();
        }
        for (int i = 0; i < 400 && !hasNextCall(kept); i++) {
            harness.advance(10_000);
        }
        MemoryEndPoint next = kept == null ? harness.connectLast() : kept;
        next.send(listAnswer(42, false));
        assertEquals(42, received.get(received.size() - 1).version());
        return harness.nowUs - silentFromUs;
    }

    /** Lists may be indented, with LF or CRLF line ends, and may arrive byte by byte. */
    @Test
    void indentedListInSingleBytesIsParsedLikeAPlainOne() {
        String plain =
                "{\"version\":42,\"full\":true,\"servers\":[{\"id\":\"s-00000001\",\"addr\":\"127.0.0.1:9001\",\"zone\":\"a\","
                        + "\"cell\":3,\"state\":\"draining\",\"weight\":1.0,\"started_ms\":7}]}";
        NodeList expected = NodeList.parse(plain, List.of("a"));
        for (String whitespace : List.of("\n  ", "\r\n\t", " ")) {
            String body = whitespace
                    + plain.replaceAll("([\\[{,:])", "$1" + whitespace)
                            .replaceAll("([\\]}])", whitespace + "$1")
                            .replace("127.0.0.1:" + whitespace, "127.0.0.1:")
                    + "\n";
            NodeListWatcherTest test = new NodeListWatcherTest();
            test.startWatcher(41);
            HeldInputEndPoint agent = test.answerShortWaitCalls();
            String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            for (char c : answer.toCharArray()) {
                agent.send(String.valueOf(c));
            }
            assertEquals(expected, test.received.get(test.received.size() - 1), body);
        }
    }

    /** Guards against timing out a call after a stall of the loop although the answer has already arrived. */
    @Test
    void answerThatArrivedDuringALoopStallIsDelivered() {
        startWatcher(41);
        HeldInputEndPoint agent = answerShortWaitCalls();
        harness.nowUs += 5_000_000;
        agent.addInputSilently(listAnswer(42, false));
        harness.timers.runDue(harness.nowUs);
        assertEquals(42, received.get(received.size() - 1).version());
        assertTrue(agent.isOpen());
    }

    /** Guards against leaking file descriptors of abandoned connection attempts. */
    @Test
    void abandonedConnectionAttemptsAreClosed() throws IOException {
        List<SocketChannel> channels = new ArrayList<>();
        NodeListWatcher watcher = new NodeListWatcher(
                (address, connector) -> {
                    channels.add(SocketChannel.open());
                    return channels.get(channels.size() - 1);
                },
                () -> harness.nowUs,
                harness.timers,
                BrokerFixture.ADDRESS,
                "agent",
                List.of("a"),
                41,
                received::add,
                harness.counters,
                harness.log::add);
        watcher.start();
        harness.advance(2_000_000);
        watcher.changeAddress(NEW_ADDRESS);
        assertEquals(4, channels.size());
        assertEquals(1, channels.stream().filter(SocketChannel::isOpen).count());
        channels.get(3).close();
    }

    @Test
    void refusedConnectionIsRetriedWithin200Ms() {
        startWatcher(41);
        harness.dials.remove(0).connector().connectFailed(new IOException("refused"));
        harness.advance(199_999);
        assertEquals(1, harness.dials.size());
    }

    @Test
    void malformedListIsIgnoredAndRequestedAgain() {
        startWatcher(41);
        MemoryEndPoint agent = harness.connectLast();
        agent.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]");
        agent.takeReceived();
        harness.advance(150_000);
        assertTrue(agent.takeReceived().startsWith("GET /v1/endpoints?index=41"));
        assertEquals(List.of(), received);
        agent.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
        harness.advance(150_000);
        assertTrue(agent.takeReceived().startsWith("GET /v1/endpoints?index=41"));
    }

    private void assertOneCallAtNewAddress() {
        assertEquals(
                "/" + NEW_ADDRESS,
                harness.dials.get(harness.dials.size() - 1).address().toString());
        assertTrue(harness.connectLast().takeReceived().startsWith("GET /v1/endpoints?index=41&wait=200"));
        harness.advance(700_000);
        assertEquals(0, harness.dials.size(), "one call at a time");
    }

    @Test
    void changedAddressIsCalledAtOnceFromTheSameVersion() {
        NodeListWatcher watcher = startWatcher(41);
        MemoryEndPoint old = harness.connectLast();
        watcher.changeAddress(NEW_ADDRESS);
        assertFalse(old.isOpen());
        assertOneCallAtNewAddress();
    }

    @Test
    void addressChangeCancelsAPendingRetry() {
        NodeListWatcher watcher = startWatcher(41);
        harness.dials.remove(0).connector().connectFailed(new IOException("refused"));
        watcher.changeAddress(NEW_ADDRESS);
        assertOneCallAtNewAddress();
    }

    @Test
    void addressChangeAbandonsAConnectionAttempt() {
        NodeListWatcher watcher = startWatcher(41);
        BrokerFixture.PendingConnection old = harness.dials.remove(0);
        watcher.changeAddress(NEW_ADDRESS);
        assertFalse(MemoryEndPoint.open(old.connector()::connected).isOpen());
        assertOneCallAtNewAddress();
    }

    /** Guards against losing an answer that has arrived but has not been read when the address changes. */
    @Test
    void unreadAnswerIsDeliveredBeforeAddressChange() {
        NodeListWatcher watcher = startWatcher(41);
        HeldInputEndPoint old = answerShortWaitCalls();
        received.clear();
        old.addInputSilently(listAnswer(42, false));
        watcher.changeAddress(NEW_ADDRESS);
        assertEquals(List.of(42L), received.stream().map(NodeList::version).toList());
        assertFalse(old.isOpen());
        assertEquals("", old.takeReceived());
        assertEquals(1, harness.dials.size());
        harness.advance(50_000);
        MemoryEndPoint agent = harness.connectLast();
        assertTrue(agent.takeReceived().startsWith("GET /v1/endpoints?index=42&wait=150 "));
        agent.send(listAnswer(43, false));
        assertEquals(List.of(42L, 43L), received.stream().map(NodeList::version).toList());
        assertTrue(agent.takeReceived().startsWith("GET /v1/endpoints?index=43&"));
    }

    @Test
    void unreadBadAnswerAtAddressChangeStartsNoSecondCall() {
        for (String badAnswer : List.of(
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
                "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{")) {
            NodeListWatcherTest test = new NodeListWatcherTest();
            NodeListWatcher watcher = test.startWatcher(41);
            HeldInputEndPoint old = test.answerShortWaitCalls();
            old.addInputSilently(badAnswer);
            watcher.changeAddress(NEW_ADDRESS);
            assertFalse(old.isOpen());
            test.assertOneCallAtNewAddress();
        }
    }

    /** Guards against carrying failures of the old agent over to the new one, as on SIGHUP while discovery is down. */
    @Test
    void addressChangeInAnOutageStartsWithAShortWait() {
        NodeListWatcher watcher = startWatcher(41);
        HeldInputEndPoint kept = answerShortWaitCalls();
        for (int i = 0; i < 5; i++) {
            CallFailure.RESET.failCall(this, i == 0 ? kept : null);
            harness.advance(NodeListWatcher.RETRY_DELAY_US);
        }
        harness.dials.clear();
        watcher.changeAddress(NEW_ADDRESS);
        assertTrue(harness.connectLast().takeReceived().contains("&wait=200 "));
    }

    @Test
    void changeToTheSameAddressKeepsTheCall() {
        NodeListWatcher watcher = startWatcher(41);
        MemoryEndPoint agent = harness.connectLast();
        watcher.changeAddress(BrokerFixture.ADDRESS);
        assertTrue(agent.isOpen());
        assertEquals(0, harness.dials.size());
    }

    @Test
    void severalAddressChangesBeforeConnectingUseTheLast() {
        NodeListWatcher watcher = startWatcher(41);
        watcher.changeAddress("127.0.0.4:8600");
        watcher.changeAddress(NEW_ADDRESS);
        assertEquals(3, harness.dials.size());
        MemoryEndPoint.open(harness.dials.remove(0).connector()::connected);
        MemoryEndPoint.open(harness.dials.remove(0).connector()::connected);
        assertOneCallAtNewAddress();
    }
}
