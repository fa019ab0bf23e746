package petrelstand.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.config.NodeList;
import petrelstand.net.MemoryEndPoint;
import petrelstand.testing.Harness;
import petrelstand.testing.HeldEnd;

/** The watch loop, against an agent that the test plays. */
class NodeListWatcherTest {
    private final Harness world = new Harness();
    private final List<NodeList> heard = new ArrayList<>();

    private NodeListWatcher watch(long version) {
        NodeListWatcher watch = new NodeListWatcher(
                world::dial,
                () -> world.nowUs,
                world.timers,
                Harness.ADDRESS,
                "agent",
                List.of("a"),
                version,
                heard::add,
                world.counters,
                world.log::add);
        watch.start();
        return watch;
    }

    private static String list(long version, boolean full) {
        String body = "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[]}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Guards against taking version 0 for no list: that asked for the whole list again and again, without rest. */
    @Test
    void aVersionOfZeroIsWatchedFrom() {
        watch(0);
        assertTrue(world.up().takeReceived().startsWith("GET /v1/endpoints?index=0&wait=1 HTTP/1.1"));
    }

    @Test
    void withoutAListTheWholeIsAskedFor() {
        watch(-1);
        assertTrue(world.up().takeReceived().startsWith("GET /v1/endpoints HTTP/1.1"));
    }

    @Test
    void theNextCallFollowsAnAnswerAtOnce() {
        watch(41);
        MemoryEndPoint agent = world.up();
        agent.takeReceived();
        agent.send(list(43, false));
        assertTrue(agent.takeReceived().startsWith("GET /v1/endpoints?index=43&wait=200"));
        assertEquals(1, heard.size());
    }

    /** Answers, without news, the calls that wait shortly; the agent's end, with a call of the usual wait out. */
    private HeldEnd settled() {
        HeldEnd agent = world.up();
        for (int i = 0; i < NodeListWatcher.SOON_CALLS; i++) {
            assertTrue(agent.takeReceived().contains(i == 0 ? "&wait=1 " : "&wait=200 "));
            agent.send(list(41, false));
        }
        assertTrue(agent.takeReceived().startsWith("GET /v1/endpoints?index=41&wait=2000 "));
        return agent;
    }

    @Test
    void aSilentAgentGetsANewCallOnANewConnectionWithin200Ms() {
        watch(41);
        MemoryEndPoint silent = settled();
        world.run(2_599_999);
        assertTrue(silent.isOpen());
        world.run(200_000);
        assertFalse(silent.isOpen());
        assertTrue(
                world.up().takeReceived().startsWith("GET /v1/endpoints?index=41&wait=1"), "99 of its 200 ms are over");
    }

    /** Ways in which a call comes to nothing; the connection of the one before is there or not. */
    private enum Fault {
        REFUSED,
        NEVER_UP,
        UP_LATE_AND_SILENT,
        SILENT,
        RESET,
        ANSWER_503,
        UNREADABLE,
        CUT_AND_SILENT,
        DRIBBLES;

        /**
         * Fails a call on a kept connection or, without one, on that being dialed; the connection, where it lives on.
         */
        MemoryEndPoint on(NodeListWatcherTest test, MemoryEndPoint kept) {
            Harness world = test.world;
            if (kept == null && this == REFUSED) {
                world.dialed.remove(0).connector().connectFailed(new java.io.IOException("refused"));
                return null;
            }
            if (kept == null && this == NEVER_UP) {
                world.dialed.remove(0);
                return null;
            }
            if (kept == null && this == UP_LATE_AND_SILENT) {
                world.run(NodeListWatcher.SLACK_US - 20_000);
                world.up();
                return null;
            }
            MemoryEndPoint end = kept == null ? world.up() : kept;
            switch (this) {
                case RESET -> end.sendEof();
                case ANSWER_503 -> end.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
                case UNREADABLE -> end.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]");
                case CUT_AND_SILENT -> end.send("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"version\":42,");
                case DRIBBLES -> {
                    end.send("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n");
                    for (int i = 0; i < 260 && end.isOpen(); i++) {
                        end.send(" ");
                        world.run(10_000);
                    }
                }
                default -> {}
            }
            return this == ANSWER_503 || this == UNREADABLE ? end : null;
        }
    }

    /**
     * The longest that a list known to discovery can be unheard here where two calls in a row fail and the third does
     * not.
     */
    @Test
    void whateverTwoCallsInARowFailOfTheThirdIsInTimeForTheSixSeconds() {
        long worstUs = 0;
        for (int failedBefore = 0; failedBefore < 6; failedBefore++) {
            for (Fault first : Fault.values()) {
                for (Fault second : Fault.values()) {
                    long us = new NodeListWatcherTest().unheardUs(failedBefore, first, second);
                    assertTrue(us <= 5_500_000, failedBefore + " " + first + " " + second + " " + us);
                    worstUs = Math.max(worstUs, us);
                }
            }
        }
        assertTrue(worstUs <= 5_500_000, "worst order: " + worstUs);
        assertTrue(worstUs >= 5_000_000, "the worst order is played: " + worstUs);
    }

    /** From the first call's going out, when the news was there, until the news was heard. */
    private long unheardUs(int failedBefore, Fault first, Fault second) {
        watch(41);
        MemoryEndPoint kept = settled();
        for (int i = 0; i < failedBefore; i++) {
            kept = Fault.RESET.on(this, kept);
            world.run(NodeListWatcher.REST_US);
        }
        long from = world.nowUs;
        for (Fault fault : List.of(first, second)) {
            kept = fault.on(this, kept);
            if (kept != null) {
                kept.takeReceived();
            }
            for (int i = 0; i < 400 && !isCalledAgain(kept); i++) {
                world.run(10_000);
            }
        }
        MemoryEndPoint agent = kept == null ? world.up() : kept;
        assertTrue(heard.stream().allMatch(list -> list.version() == 41));
        agent.send(list(42, false));
        assertEquals(42, heard.get(heard.size() - 1).version());
        return world.nowUs - from;
    }

    private boolean isCalledAgain(MemoryEndPoint kept) {
        return kept == null ? !world.dialed.isEmpty() : kept.takeReceived().contains("GET ");
    }

    /**
     * A watch that has gone on for 13 s falls silent at each moment of a wait, and the next call fails in each way:
     * what it misses is heard well within 6 s of the silence, and of 2 s after the wait.
     */
    @Test
    void aSilenceThatComesLateAtAnyMomentOfAWaitIsOverInTime() {
        long worstUs = 0;
        for (long atUs = 13_000_000; atUs <= 13_000_000 + 2 * 1000 * NodeListWatcher.WAIT_MS; atUs += 250_000) {
            for (Fault second : Fault.values()) {
                worstUs = Math.max(worstUs, new NodeListWatcherTest().unheardAfterSilenceUs(atUs, second));
            }
        }
        assertTrue(worstUs <= 3_700_000, "worst: " + worstUs);
        assertTrue(worstUs >= 3_500_000, "the worst moment is played: " + worstUs);
    }

    /** From the silence of a watch whose calls were answered, each after its wait, up to then. */
    private long unheardAfterSilenceUs(long atUs, Fault second) {
        long begunUs = world.nowUs;
        watch(41);
        MemoryEndPoint agent = settled();
        while (world.nowUs + 1000 * NodeListWatcher.WAIT_MS <= begunUs + atUs) {
            world.run(1000 * NodeListWatcher.WAIT_MS);
            agent.send(list(41, false));
            assertTrue(agent.takeReceived().contains("&wait=2000 "));
        }
        world.run(begunUs + atUs - world.nowUs);
        long silentUs = world.nowUs;
        for (int i = 0; i < 400 && world.dialed.isEmpty(); i++) {
            world.run(10_000);
        }
        MemoryEndPoint kept = second.on(this, null);
        if (kept != null) {
            kept.takeReceived();
        }
        for (int i = 0; i < 400 && !isCalledAgain(kept); i++) {
            world.run(10_000);
        }
        MemoryEndPoint next = kept == null ? world.up() : kept;
        next.send(list(42, false));
        assertEquals(42, heard.get(heard.size() - 1).version());
        return world.nowUs - silentUs;
    }

    /**
     * Lists come indented, in lines of either kind and in pieces cut anywhere; a whole one may come in place of
     * changes.
     */
    @Test
    void anIndentedListInPiecesIsTheSameList() {
        String plain =
                "{\"version\":42,\"full\":true,\"servers\":[{\"id\":\"s-00000001\",\"addr\":\"127.0.0.1:9001\",\"zone\":\"a\","
                        + "\"cell\":3,\"state\":\"draining\",\"weight\":1.0,\"started_ms\":7}]}";
        NodeList same = NodeList.parse(plain, List.of("a"));
        for (String space : List.of("\n  ", "\r\n\t", " ")) {
            String body = space
                    + plain.replaceAll("([\\[{,:])", "$1" + space)
                            .replaceAll("([\\]}])", space + "$1")
                            .replace("127.0.0.1:" + space, "127.0.0.1:")
                    + "\n";
            NodeListWatcherTest test = new NodeListWatcherTest();
            test.watch(41);
            HeldEnd agent = test.settled();
            String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            for (char c : answer.toCharArray()) {
                agent.send(String.valueOf(c));
            }
            assertEquals(same, test.heard.get(test.heard.size() - 1), body);
        }
    }

    /** Guards against taking a stalled loop for a silent agent: what has come by the time-out is read first. */
    @Test
    void anAnswerThatCameWhileTheLoopStoodStillIsHeard() {
        watch(41);
        HeldEnd agent = settled();
        world.nowUs += 5_000_000;
        agent.putUnread(list(42, false));
        world.timers.runDue(world.nowUs);
        assertEquals(42, heard.get(heard.size() - 1).version());
        assertTrue(agent.isOpen());
    }

    /** Guards against descriptors held by connections that nobody waits for any more. */
    @Test
    void whatIsGivenUpWhileItComesUpIsClosed() throws java.io.IOException {
        List<java.nio.channels.SocketChannel> channels = new ArrayList<>();
        NodeListWatcher watch = new NodeListWatcher(
                (address, connector) -> {
                    channels.add(java.nio.channels.SocketChannel.open());
                    return channels.get(channels.size() - 1);
                },
                () -> world.nowUs,
                world.timers,
                Harness.ADDRESS,
                "agent",
                List.of("a"),
                41,
                heard::add,
                world.counters,
                world.log::add);
        watch.start();
        world.run(2_000_000);
        watch.changeAddress(NEW);
        assertEquals(4, channels.size());
        assertEquals(
                1,
                channels.stream()
                        .filter(java.nio.channels.SocketChannel::isOpen)
                        .count());
        channels.get(3).close();
    }

    @Test
    void anAgentThatRefusesIsAskedAgainWithin200Ms() {
        watch(41);
        world.dialed.remove(0).connector().connectFailed(new java.io.IOException("refused"));
        world.run(199_999);
        assertEquals(1, world.dialed.size());
    }

    @Test
    void aMalformedListIsNotTakenAndAskedForAgain() {
        watch(41);
        MemoryEndPoint agent = world.up();
        agent.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]");
        agent.takeReceived();
        world.run(150_000);
        assertTrue(agent.takeReceived().startsWith("GET /v1/endpoints?index=41"));
        assertEquals(List.of(), heard);
        agent.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
        world.run(150_000);
        assertTrue(agent.takeReceived().startsWith("GET /v1/endpoints?index=41"));
    }

    private static final String NEW = "127.0.0.3:8600";

    private void atNewAddress() {
        assertEquals(
                "/" + NEW, world.dialed.get(world.dialed.size() - 1).address().toString());
        assertTrue(world.up().takeReceived().startsWith("GET /v1/endpoints?index=41&wait=200"));
        world.run(700_000);
        assertEquals(0, world.dialed.size(), "one call at a time");
    }

    @Test
    void aMoveClosesTheOldCallAndGoesOnFromTheSameVersionAtOnce() {
        NodeListWatcher watch = watch(41);
        MemoryEndPoint old = world.up();
        watch.changeAddress(NEW);
        assertFalse(old.isOpen());
        atNewAddress();
    }

    @Test
    void aMoveWhileAFailedCallRestsLeavesOneLoop() {
        NodeListWatcher watch = watch(41);
        world.dialed.remove(0).connector().connectFailed(new java.io.IOException("refused"));
        watch.changeAddress(NEW);
        atNewAddress();
    }

    @Test
    void aMoveWhileTheOldConnectionComesUpLeavesIt() {
        NodeListWatcher watch = watch(41);
        Harness.Dialed old = world.dialed.remove(0);
        watch.changeAddress(NEW);
        assertFalse(MemoryEndPoint.open(old.connector()::connected).isOpen());
        atNewAddress();
    }

    /**
     * What the old agent has written is told, whether or not it was read: it is heard before the move, whatever becomes
     * of the new agent. Nothing more is asked of the old one.
     */
    @Test
    void aMoveThatCrossesAnAnswerOfTheOldAgentHearsItFirst() {
        NodeListWatcher watch = watch(41);
        HeldEnd old = settled();
        heard.clear();
        old.putUnread(list(42, false));
        watch.changeAddress(NEW);
        assertEquals(List.of(42L), heard.stream().map(NodeList::version).toList());
        assertFalse(old.isOpen());
        assertEquals("", old.takeReceived());
        assertEquals(1, world.dialed.size());
        world.run(50_000);
        MemoryEndPoint agent = world.up();
        assertTrue(agent.takeReceived().startsWith("GET /v1/endpoints?index=42&wait=150 "));
        agent.send(list(43, false));
        assertEquals(List.of(42L, 43L), heard.stream().map(NodeList::version).toList());
        assertTrue(agent.takeReceived().startsWith("GET /v1/endpoints?index=43&"));
    }

    @Test
    void aMoveThatCrossesASpoiltAnswerOrAResetLeavesOneLoop() {
        for (String last : List.of(
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
                "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{")) {
            NodeListWatcherTest test = new NodeListWatcherTest();
            NodeListWatcher watch = test.watch(41);
            HeldEnd old = test.settled();
            old.putUnread(last);
            watch.changeAddress(NEW);
            assertFalse(old.isOpen());
            test.atNewAddress();
        }
    }

    /**
     * SIGHUP while discovery is down: the rest after a failed call, or a call that is given up, belongs to the old
     * address.
     */
    @Test
    void aMoveInAnOutageAsksTheNewAgentShortlyWhateverFailedBefore() {
        NodeListWatcher watch = watch(41);
        HeldEnd kept = settled();
        for (int i = 0; i < 5; i++) {
            Fault.RESET.on(this, i == 0 ? kept : null);
            world.run(NodeListWatcher.REST_US);
        }
        world.dialed.clear();
        watch.changeAddress(NEW);
        assertTrue(world.up().takeReceived().contains("&wait=200 "));
    }

    @Test
    void aMoveToTheSameAddressKeepsTheCall() {
        NodeListWatcher watch = watch(41);
        MemoryEndPoint agent = world.up();
        watch.changeAddress(Harness.ADDRESS);
        assertTrue(agent.isOpen());
        assertEquals(0, world.dialed.size());
    }

    @Test
    void severalMovesBeforeAnyConnectionComesUpEndAtTheLast() {
        NodeListWatcher watch = watch(41);
        watch.changeAddress("127.0.0.4:8600");
        watch.changeAddress(NEW);
        assertEquals(3, world.dialed.size());
        MemoryEndPoint.open(world.dialed.remove(0).connector()::connected);
        MemoryEndPoint.open(world.dialed.remove(0).connector()::connected);
        atNewAddress();
    }
}
