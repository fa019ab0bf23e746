package petrelstand.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import petrelstand.lifecycle.Lifecycle.Delays;

/**
 * Simulates a gateway that handles its connections as {@link Lifecycle} says, for every sequence of five of twelve
 * events, in steps of 50 ms. The checks use the platform's figures, not those of the class under test.
 */
class LifecycleTest {
    private enum Event {
        EVACUATE,
        REJOIN,
        TERMINATE,
        RELOAD,
        HOT_RESTART,
        OPEN,
        BEGIN_REQUEST,
        REQUEST_LONG,
        REQUEST_SHORT,
        ANSWER,
        WAIT_SHORT,
        WAIT_LONG
    }

    private static final long STEP_US = 50_000;
    private static final long LONGEST_DEADLINE_US = 5_000_000;
    private static final int EVENTS = 5;

    private static final class Connection {
        private boolean partlyReceived;
        private boolean requested;
        private long requestedUs;
        private long answerByUs;
    }

    /** A gateway with its connections; keeps the first violation of the platform's requirements. */
    private static final class Simulation {
        private final Lifecycle lifecycle;
        private final List<Connection> open = new ArrayList<>();
        private long nowUs = 1_000_000;
        private long drainStartUs = -1;
        private long terminatedUs = -1;
        private final long firstLongestDeadlineUs;
        private long longestDeadlineUs;
        private long killUs = -1;
        private String violation;

        Simulation(Delays delays, long longestDeadlineUs) {
            this.firstLongestDeadlineUs = longestDeadlineUs;
            this.longestDeadlineUs = longestDeadlineUs;
            lifecycle = new Lifecycle(delays);
            lifecycle.startServing(nowUs);
        }

        private void violate(String requirement) {
            violation = violation == null ? requirement : violation;
        }

        void play(Event event) {
            switch (event) {
                case EVACUATE -> {
                    assertTrue(lifecycle.evacuate(nowUs));
                    drainStartUs = drainStartUs < 0 ? nowUs : drainStartUs;
                }
                case REJOIN -> {
                    assertEquals(terminatedUs < 0, lifecycle.rejoin(nowUs));
                    drainStartUs = -1;
                }
                case TERMINATE -> {
                    assertEquals(terminatedUs < 0, lifecycle.terminate(nowUs));
                    // The settings at SIGTERM determine the time of the kill; a later reload does not change it.
                    killUs = terminatedUs < 0 ? nowUs + earliestKillUs(longestDeadlineUs) : killUs;
                    terminatedUs = terminatedUs < 0 ? nowUs : terminatedUs;
                    open.forEach(c -> c.answerByUs = Math.min(c.answerByUs, lifecycle.lastAnswerUs()));
                }
                case RELOAD -> {
                    longestDeadlineUs = longestDeadlineUs == firstLongestDeadlineUs
                            ? firstLongestDeadlineUs * 7 / 10
                            : firstLongestDeadlineUs;
                    lifecycle.setDelays(Delays.of(longestDeadlineUs));
                }
                case HOT_RESTART -> lifecycle.setSuccessorListening(true);
                case OPEN -> {
                    // Clients open no connection once they were told "not ready", or while none is accepted.
                    if (open.size() < 2
                            && lifecycle.acceptsConnections(nowUs)
                            && (drainStartUs < 0 || nowUs < drainStartUs + 300_000)) {
                        open.add(new Connection());
                    }
                }
                case BEGIN_REQUEST ->
                    open.stream().filter(c -> !c.requested).findFirst().ifPresent(c -> c.partlyReceived = true);
                case REQUEST_LONG -> request(firstLongestDeadlineUs);
                case REQUEST_SHORT -> request(Math.min(firstLongestDeadlineUs, 1_500_000));
                case ANSWER ->
                    open.stream().filter(c -> c.requested).findFirst().ifPresent(this::answer);
                case WAIT_SHORT -> advance(250_000);
                case WAIT_LONG -> advance(2_000_000);
            }
            applyLifecycle();
        }

        private void request(long timeLeftUs) {
            for (Connection connection : open) {
                if (!connection.requested) {
                    long allowedUs = lifecycle.allowedTimeUs(nowUs, timeLeftUs);
                    if (allowedUs > timeLeftUs) {
                        violate("a request is given more time than its client waits");
                    }
                    if (drainStartUs < 0 && terminatedUs < 0 && allowedUs != timeLeftUs) {
                        violate("a request is refused or shortened while serving");
                    }
                    connection.partlyReceived = false;
                    connection.requested = true;
                    connection.requestedUs = nowUs;
                    connection.answerByUs = nowUs + allowedUs;
                    if (allowedUs == 0) {
                        answer(connection);
                    }
                    return;
                }
            }
        }

        private void answer(Connection connection) {
            connection.requested = false;
            if (lifecycle.closesAfterAnswer(nowUs)) {
                open.remove(connection);
            }
        }

        private void advance(long us) {
            for (long untilUs = nowUs + us; nowUs < untilUs; ) {
                nowUs += STEP_US;
                applyLifecycle();
            }
        }

        private void applyLifecycle() {
            List.copyOf(open).stream()
                    .filter(c -> c.requested && nowUs >= c.answerByUs)
                    .forEach(this::answer);
            if (lifecycle.closesIdleConnections(nowUs)) {
                open.removeIf(c -> !c.requested && !c.partlyReceived);
            }
            if (lifecycle.isReady() != (drainStartUs < 0 && terminatedUs < 0)) {
                violate("/ready reports the wrong state");
            }
            if (drainStartUs >= 0 && terminatedUs < 0 && nowUs >= drainStartUs + 4_000_000) {
                if (open.stream()
                        .anyMatch(c -> !c.requested && !c.partlyReceived
                                || c.requested && c.requestedUs >= nowUs - 2_000_000)) {
                    violate("a connection is idle or has a recent request 4 s after the drain began");
                }
            }
            if (terminatedUs >= 0 && nowUs >= killUs && open.stream().anyMatch(c -> c.requested)) {
                violate("a request is unanswered at the kill");
            }
            if (terminatedUs >= 0 && nowUs >= killUs && lifecycle.acceptsConnections(nowUs)) {
                violate("connections are accepted at the kill");
            }
        }
    }

    /**
     * The protocol page: "SIGKILL comes after SIGTERM no sooner than the longest deadline (taken as 3 s where it is
     * longer) plus 0.7 s".
     */
    private static long earliestKillUs(long longestDeadlineUs) {
        return (longestDeadlineUs > 3_000_000 ? 3_000_000 : longestDeadlineUs) + 700_000;
    }

    /** Plays all sequences; returns the first violation with its events, or null. */
    private static String findViolation(Delays delays, long longestDeadlineUs) {
        Event[] events = Event.values();
        long sequences = 1;
        for (int i = 0; i < EVENTS; i++) {
            sequences *= events.length;
        }
        for (long sequence = 0; sequence < sequences; sequence++) {
            Simulation simulation = new Simulation(delays, longestDeadlineUs);
            simulation.play(Event.OPEN);
            List<Event> played = new ArrayList<>();
            long remaining = sequence;
            for (int i = 0; i < EVENTS && simulation.violation == null; i++) {
                played.add(events[(int) (remaining % events.length)]);
                simulation.play(played.get(i));
                remaining /= events.length;
            }
            // Long enough for a drain to finish or the kill to come.
            simulation.advance(6_000_000);
            if (simulation.violation != null) {
                return simulation.violation + " after " + played;
            }
        }
        return null;
    }

    @ParameterizedTest
    @ValueSource(
            longs = {100_000, 400_000, 1_000_000, 2_900_000, 3_000_000, 3_100_000, LONGEST_DEADLINE_US, 60_000_000})
    void noSequenceOfEventsViolatesTheRequirements(long longestDeadlineUs) {
        assertEquals(null, findViolation(Delays.of(longestDeadlineUs), longestDeadlineUs));
    }

    @Test
    void wrongDelaysAreDetected() {
        Delays correct = Delays.of(LONGEST_DEADLINE_US);
        Delays[] wrong = {
            new Delays(4_100_000, 4_200_000, correct.shutdownAcceptUs(), correct.killUs()),
            new Delays(
                    correct.readinessLagUs(),
                    correct.drainAcceptUs(),
                    correct.shutdownAcceptUs(),
                    correct.killUs() + 1_000_000),
            new Delays(correct.readinessLagUs(), correct.drainAcceptUs(), 7_000_000, 7_000_000),
        };
        for (Delays delays : wrong) {
            assertNotEquals(null, findViolation(delays, LONGEST_DEADLINE_US), delays.toString());
        }
    }

    @Test
    void noConnectionIsAcceptedAfterSigtermWithASuccessor() {
        Lifecycle lifecycle = new Lifecycle(Delays.of(LONGEST_DEADLINE_US));
        assertFalse(lifecycle.evacuate(1));
        assertFalse(lifecycle.rejoin(1));
        lifecycle.startServing(1);
        lifecycle.setSuccessorListening(true);
        assertTrue(lifecycle.acceptsConnections(2));
        lifecycle.terminate(2);
        assertFalse(lifecycle.acceptsConnections(2));
        assertTrue(lifecycle.closesIdleConnections(2));
    }

    /** Guards against a missed change: the caller asks again only at the next change. */
    @Test
    void nextChangeIsWhenAnAnswerChanges() {
        Lifecycle lifecycle = new Lifecycle(Delays.of(LONGEST_DEADLINE_US));
        lifecycle.startServing(0);
        assertEquals(Long.MAX_VALUE, lifecycle.nextChangeUs(0));
        lifecycle.evacuate(0);
        long readinessLagUs = lifecycle.nextChangeUs(0);
        assertFalse(lifecycle.closesIdleConnections(readinessLagUs - 1));
        assertTrue(lifecycle.closesIdleConnections(readinessLagUs));
        assertEquals(1, lifecycle.allowedTimeUs(lifecycle.nextChangeUs(readinessLagUs) - 1, 1));
        assertEquals(0, lifecycle.allowedTimeUs(lifecycle.nextChangeUs(readinessLagUs), 1));
        assertEquals(Long.MAX_VALUE, lifecycle.nextChangeUs(lifecycle.nextChangeUs(readinessLagUs)));
    }
}
