package petrelstand.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.decision.Scheduling.AttemptEnd;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.Request;
import petrelstand.testing.StoredFiles;

/**
 * Guards against events of the simulator whose fields are taken for others, and against actions that it can't read. The
 * batch of events was laid out by hand, since the gateway only reads them: its head, then one line a record. The frame
 * of actions holds what {@link SimulatorCodec} wrote for {@link #actions()}. {@link SimulatorWireTest} has the other
 * actions.
 */
class SimulatorWireCompatibilityTest {
    private static final String EVENTS_FILE = "wire/simulator-events.hex";
    private static final String ACTIONS_FILE = "wire/simulator-actions.hex";
    private static final long INSTANCE = 11;
    private static final long REQUEST = 0x1234;
    private static final long NODE = 0xabcd;

    /** Keeps each event as its code on the wire and its fields. */
    private static final class RecordedEvents implements SimulatorCodec.EventHandler {
        private final List<List<Object>> events = new ArrayList<>();

        @Override
        public void clientGone(long instance, long request) {
            events.add(List.of(16, instance, request));
        }

        @Override
        public void probeEnded(long instance, long node, double elapsedMs, Outcome outcome, List<Double> load) {
            events.add(List.of(17, instance, node, elapsedMs, outcome, load));
        }

        @Override
        public void streamStarted(long instance, long request, int attempt) {
            events.add(List.of(18, instance, request, attempt));
        }

        @Override
        public void timerFired(long instance, long token) {
            events.add(List.of(19, instance, token));
        }

        @Override
        public void instanceStarted(long instance, long seed, String settings) {
            events.add(List.of(20, instance, seed, settings));
        }

        @Override
        public void requestReceived(long instance, Request request) {
            events.add(List.of(21, instance, request));
        }

        @Override
        public void attemptEnded(long instance, AttemptEnd end) {
            events.add(List.of(22, instance, end));
        }

        @Override
        public void peerMessageReceived(long instance, int sender, byte[] message) {
            events.add(List.of(23, instance, sender, HexFormat.of().formatHex(message)));
        }

        @Override
        public void instanceStopped(long instance) {
            events.add(List.of(24, instance));
        }

        @Override
        public void nodesListed(long instance, NodeListKind kind, List<NodeEntry> entries) {
            events.add(List.of(25, instance, kind, entries));
        }
    }

    private static List<Object> probe(double elapsedMs, Outcome outcome, Double... load) {
        return List.of(17, INSTANCE, NODE, elapsedMs, outcome, List.of(load));
    }

    private static List<List<Object>> expectedEvents() {
        return List.of(
                List.of(16, INSTANCE, REQUEST),
                probe(12.5, Outcome.SERVED, 0.5, 2.5),
                probe(12.5, Outcome.ERROR),
                probe(12.5, Outcome.REJECTED),
                probe(12.5, Outcome.TIMED_OUT),
                probe(12.5, Outcome.NOT_CONNECTED),
                probe(12.5, Outcome.RESET),
                probe(12.5, Outcome.CANCELLED),
                probe(12.5, Outcome.NOT_SENT),
                List.of(18, INSTANCE, REQUEST, 2),
                List.of(19, INSTANCE, 0x0102030405060708L),
                List.of(20, INSTANCE, 0x1112131415161718L, "k=é\n"),
                List.of(
                        21,
                        INSTANCE,
                        new Request(
                                REQUEST,
                                2,
                                3,
                                0x2122232425262728L,
                                900.0,
                                0x3132333435363738L,
                                2.5,
                                7,
                                3,
                                true,
                                false)),
                List.of(21, INSTANCE, new Request(0x1235, 4, 5, -6, 40.25, -7, 0.5, -1, 9, false, true)),
                List.of(
                        22,
                        INSTANCE,
                        new AttemptEnd(REQUEST, 2, Outcome.RESET, 40.25, NODE, 51, 17, true, List.of(0.75))),
                List.of(23, INSTANCE, 3, "deadbeef"),
                List.of(24, INSTANCE),
                List.of(
                        25,
                        INSTANCE,
                        NodeListKind.CHANGES,
                        List.of(
                                new NodeEntry(NODE, 5, 7, NodeState.GONE, 1.5, 100_000),
                                new NodeEntry(0xabceL, 6, 8, NodeState.READY, 2.5, 900),
                                new NodeEntry(0xffff_fffeL, 65_535, 65_534, NodeState.DRAINING, 0.5, 12.5))),
                List.of(25, INSTANCE, NodeListKind.FULL, List.of()),
                List.of(25, INSTANCE, NodeListKind.CACHED, List.of()),
                List.of(25, INSTANCE, NodeListKind.FAILED, List.of()));
    }

    static byte[] actions() throws IOException {
        SimulatorCodec codec = new SimulatorCodec();
        codec.send(INSTANCE, REQUEST, NODE, 12.5);
        codec.setTimer(INSTANCE, 40.25, 0x0102030405060708L);
        codec.sendPeerMessage(INSTANCE, 3, new byte[] {1, -2});
        codec.sendPeerMessage(INSTANCE, -1, new byte[] {3});
        ByteArrayOutputStream frame = new ByteArrayOutputStream();
        codec.flush(frame);
        return frame.toByteArray();
    }

    @Test
    void everyFieldOfEachEventIsRead() throws Exception {
        ByteArrayOutputStream frame = new ByteArrayOutputStream();
        for (byte[] part : StoredFiles.messages(EVENTS_FILE)) {
            frame.write(part);
        }
        ByteArrayInputStream input = new ByteArrayInputStream(frame.toByteArray());
        SimulatorCodec codec = new SimulatorCodec();
        SimulatorCodec.Batch batch = codec.read(input);
        assertEquals(1234.5, batch.clockMs());
        assertEquals(21, batch.records());
        RecordedEvents recorded = new RecordedEvents();
        codec.decode(batch, recorded);
        assertEquals(expectedEvents(), recorded.events);
        assertNull(codec.read(input));
    }

    @Test
    void actionsAreWrittenAsBefore() throws Exception {
        assertArrayEquals(StoredFiles.messages(ACTIONS_FILE).get(0), actions());
    }
}
