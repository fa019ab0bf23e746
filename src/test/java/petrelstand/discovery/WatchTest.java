package petrelstand.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.config.NodeList;
import petrelstand.net.MemoryEnd;
import petrelstand.testing.Harness;

/** The watch loop, against an agent that the test plays. */
class WatchTest {
    private final Harness world = new Harness();
    private final List<NodeList> heard = new ArrayList<>();

    private Watch watch(long version) {
        Watch watch = new Watch(world::dial, () -> world.nowUs, world.timers, Harness.ADDRESS, "agent", List.of("a"),
                version, heard::add, world.counters, world.log::add);
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
        assertTrue(world.up().taken().startsWith("GET /v1/endpoints?index=0&wait=2000 HTTP/1.1"));
    }

    @Test
    void withoutAListTheWholeIsAskedFor() {
        watch(-1);
        assertTrue(world.up().taken().startsWith("GET /v1/endpoints HTTP/1.1"));
    }

    @Test
    void theNextCallFollowsAnAnswerAtOnce() {
        watch(41);
        MemoryEnd agent = world.up();
        agent.taken();
        agent.put(list(43, false));
        assertTrue(agent.taken().startsWith("GET /v1/endpoints?index=43&wait=2000"));
        assertEquals(1, heard.size());
    }

    @Test
    void aSilentAgentGetsANewCallOnANewConnectionWithin200Ms() {
        watch(41);
        MemoryEnd silent = world.up();
        world.run(2_999_999);
        assertTrue(silent.isOpen());
        world.run(200_000);
        assertFalse(silent.isOpen());
        assertTrue(world.up().taken().startsWith("GET /v1/endpoints?index=41"));
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
        MemoryEnd agent = world.up();
        agent.put("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]");
        agent.taken();
        world.run(150_000);
        assertTrue(agent.taken().startsWith("GET /v1/endpoints?index=41"));
        assertEquals(List.of(), heard);
        agent.put("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
        world.run(150_000);
        assertTrue(agent.taken().startsWith("GET /v1/endpoints?index=41"));
    }

    private static final String NEW = "127.0.0.3:8600";

    private void atNewAddress() {
        assertEquals("/" + NEW, world.dialed.get(world.dialed.size() - 1).address().toString());
        assertTrue(world.up().taken().startsWith("GET /v1/endpoints?index=41&wait=2000"));
        world.run(2_500_000);
        assertEquals(0, world.dialed.size(), "one call at a time");
    }

    @Test
    void aMoveClosesTheOldCallAndGoesOnFromTheSameVersionAtOnce() {
        Watch watch = watch(41);
        MemoryEnd old = world.up();
        watch.move(NEW);
        assertFalse(old.isOpen());
        atNewAddress();
    }

    @Test
    void aMoveWhileAFailedCallRestsLeavesOneLoop() {
        Watch watch = watch(41);
        world.dialed.remove(0).connector().connectFailed(new java.io.IOException("refused"));
        watch.move(NEW);
        atNewAddress();
    }

    @Test
    void aMoveWhileTheOldConnectionComesUpLeavesIt() {
        Watch watch = watch(41);
        Harness.Dialed old = world.dialed.remove(0);
        watch.move(NEW);
        assertFalse(MemoryEnd.open(old.connector()::connected).isOpen());
        atNewAddress();
    }

    @Test
    void aMoveToTheSameAddressKeepsTheCall() {
        Watch watch = watch(41);
        MemoryEnd agent = world.up();
        watch.move(Harness.ADDRESS);
        assertTrue(agent.isOpen());
        assertEquals(0, world.dialed.size());
    }

    @Test
    void severalMovesBeforeAnyConnectionComesUpEndAtTheLast() {
        Watch watch = watch(41);
        watch.move("127.0.0.4:8600");
        watch.move(NEW);
        assertEquals(3, world.dialed.size());
        MemoryEnd.open(world.dialed.remove(0).connector()::connected);
        MemoryEnd.open(world.dialed.remove(0).connector()::connected);
        atNewAddress();
    }
}
