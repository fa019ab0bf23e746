package petrelstand.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.lifecycle.Lifecycle.Delays;

/**
 * Every order of five of twelve things that happen to a process, replayed against a small gateway that does with its
 * connections what the life says, at steps of 50 ms. What has to hold is told in the platform's terms and by figures of
 * its own, not by the life's.
 */
class LifecycleTest {
    private enum Act {
        EVACUATE,
        REJOIN,
        TERMINATE,
        HANG_UP,
        HOT_RESTART,
        OPEN,
        BEGIN,
        ASK_LONG,
        ASK_SHORT,
        ANSWER,
        WAIT_SOME,
        WAIT_LONG
    }

    private static final long STEP_US = 50_000;
    private static final long LONGEST_US = 5_000_000;
    private static final int DEPTH = 5;

    private static final class Connection {
        /** Part of a request has come. */
        private boolean begun;

        private boolean asked;
        private long askedUs;
        private long untilUs;
    }

    /** A gateway with its connections; a broken promise is told as a word. */
    private static final class Play {
        private final Lifecycle life;
        private final List<Connection> open = new ArrayList<>();
        private long nowUs = 1_000_000;
        private long drainedUs = -1;
        private long endedUs = -1;
        private long longestUs = LONGEST_US;
        private long killedUs = -1;
        private String broken;

        Play(Delays times) {
            life = new Lifecycle(times);
            life.startServing(nowUs);
        }

        private void breaks(String what) {
            broken = broken == null ? what : broken;
        }

        void act(Act act) {
            switch (act) {
                case EVACUATE -> {
                    assertTrue(life.evacuate(nowUs));
                    drainedUs = drainedUs < 0 ? nowUs : drainedUs;
                }
                case REJOIN -> {
                    assertEquals(endedUs < 0, life.rejoin(nowUs));
                    drainedUs = -1;
                }
                case TERMINATE -> {
                    assertEquals(endedUs < 0, life.terminate(nowUs));
                    // The settings at SIGTERM say when the kill may come; later ones don't move it.
                    killedUs = endedUs < 0 ? nowUs + longestUs + 700_000 : killedUs;
                    endedUs = endedUs < 0 ? nowUs : endedUs;
                    open.forEach(c -> c.untilUs = Math.min(c.untilUs, life.lastAnswerUs()));
                }
                case HANG_UP -> {
                    longestUs = longestUs == LONGEST_US ? LONGEST_US - 1_500_000 : LONGEST_US;
                    life.setDelays(Delays.of(longestUs));
                }
                case HOT_RESTART -> life.setSuccessorListening(true);
                case OPEN -> {
                    // The front opens none where it was told no, or where the process is about to end.
                    if (open.size() < 2
                            && life.acceptsConnections(nowUs)
                            && (drainedUs < 0 || nowUs < drainedUs + 300_000)) {
                        open.add(new Connection());
                    }
                }
                case BEGIN -> open.stream().filter(c -> !c.asked).findFirst().ifPresent(c -> c.begun = true);
                case ASK_LONG -> ask(LONGEST_US);
                case ASK_SHORT -> ask(1_500_000);
                case ANSWER -> open.stream().filter(c -> c.asked).findFirst().ifPresent(this::answer);
                case WAIT_SOME -> pass(250_000);
                case WAIT_LONG -> pass(2_000_000);
            }
            live();
        }

        private void ask(long leftUs) {
            for (Connection connection : open) {
                if (!connection.asked) {
                    long granted = life.allowedTimeUs(nowUs, leftUs);
                    if (granted > leftUs) {
                        breaks("a client is waited for longer than it waits");
                    }
                    if (drainedUs < 0 && endedUs < 0 && granted != leftUs) {
                        breaks("a request is turned away in service");
                    }
                    connection.begun = false;
                    connection.asked = true;
                    connection.askedUs = nowUs;
                    connection.untilUs = nowUs + granted;
                    if (granted == 0) {
                        answer(connection);
                    }
                    return;
                }
            }
        }

        private void answer(Connection connection) {
            connection.asked = false;
            if (life.closesAfterAnswer(nowUs)) {
                open.remove(connection);
            }
        }

        private void pass(long us) {
            for (long until = nowUs + us; nowUs < until; ) {
                nowUs += STEP_US;
                live();
            }
        }

        private void live() {
            List.copyOf(open).stream()
                    .filter(c -> c.asked && nowUs >= c.untilUs)
                    .forEach(this::answer);
            if (life.closesIdleConnections(nowUs)) {
                open.removeIf(c -> !c.asked && !c.begun);
            }
            if (life.isReady() != (drainedUs < 0 && endedUs < 0)) {
                breaks("/ready is wrong");
            }
            if (drainedUs >= 0 && endedUs < 0 && nowUs >= drainedUs + 4_000_000) {
                if (open.stream().anyMatch(c -> !c.asked && !c.begun || c.asked && c.askedUs >= nowUs - 2_000_000)) {
                    breaks("drained, and a connection is idle or asked of late");
                }
            }
            if (endedUs >= 0 && nowUs >= killedUs && open.stream().anyMatch(c -> c.asked)) {
                breaks("killed with a request unanswered");
            }
            if (endedUs >= 0 && nowUs >= killedUs && life.acceptsConnections(nowUs)) {
                breaks("listens to the kill");
            }
        }
    }

    /** The first order that breaks something, and what; null where none does. */
    private static String search(Delays times) {
        Act[] acts = Act.values();
        long courses = 1;
        for (int i = 0; i < DEPTH; i++) {
            courses *= acts.length;
        }
        for (long course = 0; course < courses; course++) {
            Play play = new Play(times);
            play.act(Act.OPEN);
            List<Act> done = new ArrayList<>();
            long rest = course;
            for (int i = 0; i < DEPTH && play.broken == null; i++) {
                done.add(acts[(int) (rest % acts.length)]);
                play.act(done.get(i));
                rest /= acts.length;
            }
            // To the end of what was begun: a drain's four seconds, or the kill.
            play.pass(6_000_000);
            if (play.broken != null) {
                return play.broken + " after " + done;
            }
        }
        return null;
    }

    @Test
    void noOrderOfWhatHappensBreaksAPromise() {
        assertEquals(null, search(Delays.of(LONGEST_US)));
    }

    @Test
    void plantedMistakesAreFound() {
        Delays right = Delays.of(LONGEST_US);
        Delays[] wrong = {
            new Delays(4_100_000, 4_200_000, right.shutdownAcceptUs(), right.killUs()),
            new Delays(
                    right.readinessLagUs(),
                    right.drainAcceptUs(),
                    right.shutdownAcceptUs(),
                    right.killUs() + 1_000_000),
            new Delays(right.readinessLagUs(), right.drainAcceptUs(), 7_000_000, 7_000_000),
        };
        for (Delays times : wrong) {
            assertNotEquals(null, search(times), times.toString());
        }
    }

    @Test
    void aHotRestartTakesTheConnectionsAtOnceAfterSigterm() {
        Lifecycle life = new Lifecycle(Delays.of(LONGEST_US));
        assertFalse(life.evacuate(1));
        assertFalse(life.rejoin(1));
        life.startServing(1);
        life.setSuccessorListening(true);
        assertTrue(life.acceptsConnections(2));
        life.terminate(2);
        assertFalse(life.acceptsConnections(2));
        assertTrue(life.closesIdleConnections(2));
    }

    /** Where nothing changes by time alone, nobody has to look again; else the next look is at the change. */
    @Test
    void theNextLookIsAtTheNextChange() {
        Lifecycle life = new Lifecycle(Delays.of(LONGEST_US));
        life.startServing(0);
        assertEquals(Long.MAX_VALUE, life.nextChangeUs(0));
        life.evacuate(0);
        long noted = life.nextChangeUs(0);
        assertFalse(life.closesIdleConnections(noted - 1));
        assertTrue(life.closesIdleConnections(noted));
        assertEquals(1, life.allowedTimeUs(life.nextChangeUs(noted) - 1, 1));
        assertEquals(0, life.allowedTimeUs(life.nextChangeUs(noted), 1));
        assertEquals(Long.MAX_VALUE, life.nextChangeUs(life.nextChangeUs(noted)));
    }
}
