package petrelstand.sim;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import petrelstand.decision.Scheduling.AttemptEnd;
import petrelstand.decision.Scheduling.NodeEntry;
import petrelstand.decision.Scheduling.NodeListKind;
import petrelstand.decision.Scheduling.NodeState;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.Request;

/**
 * The simulator's binary protocol, big-endian. Each input frame is a batch of events at one time; each batch is
 * answered by one frame with the actions that the events caused.
 */
final class SimulatorCodec {
    /** Receives the decoded events of a batch, in order. {@code instance} is the number of a simulated gateway. */
    interface EventHandler {
        void instanceStarted(long instance, long seed, String settings);

        void instanceStopped(long instance);

        void nodesListed(long instance, NodeListKind kind, List<NodeEntry> entries);

        void requestReceived(long instance, Request request);

        void streamStarted(long instance, long request, int attempt);

        void attemptEnded(long instance, AttemptEnd end);

        void clientGone(long instance, long request);

        void probeEnded(long instance, long node, double elapsedMs, Outcome outcome, List<Double> load);

        void timerFired(long instance, long token);

        void peerMessageReceived(long instance, int sender, byte[] message);
    }

    /**
     * A frame of events.
     *
     * @param clockMs time of the events
     * @param records number of events
     * @param body the events, not decoded yet
     */
    record Batch(double clockMs, int records, ByteBuffer body) {}

    private static final int EVENT_CLIENT_GONE = 16;
    private static final int EVENT_PROBE_ENDED = 17;
    private static final int EVENT_STREAM_STARTED = 18;
    private static final int EVENT_TIMER_FIRED = 19;
    private static final int EVENT_INSTANCE_STARTED = 20;
    private static final int EVENT_REQUEST_RECEIVED = 21;
    private static final int EVENT_ATTEMPT_ENDED = 22;
    private static final int EVENT_PEER_MESSAGE = 23;
    private static final int EVENT_INSTANCE_STOPPED = 24;
    private static final int EVENT_NODES_LISTED = 25;

    private static final int ACTION_SEND = 16;
    private static final int ACTION_REFUSE = 17;
    private static final int ACTION_FAIL = 18;
    private static final int ACTION_CANCEL = 19;
    private static final int ACTION_SET_TIMER = 20;
    private static final int ACTION_PROBE = 21;
    private static final int ACTION_PEER_MESSAGE = 23;
    private static final int ACTION_REPORT_FAULT = 25;
    private static final int ACTION_SUBSCRIBE_TO_NODES = 26;

    private static final int CLIENT_RETRY_FLAG = 2;
    private static final int WRITE_FLAG = 4;

    private static final int BATCH_HEADER_BYTES = 16;
    private static final int REPLY_HEADER_BYTES = 4;
    private static final int MAX_FRAME_BYTES = 256 << 20;
    private static final int MAX_TEXT_BYTES = 0xffff;
    private static final int ALL_PEERS = 0xffff;

    private final ByteArrayOutputStream replyBytes = new ByteArrayOutputStream();
    private final DataOutputStream reply = new DataOutputStream(replyBytes);

    /** Reads the next batch; null if the input ends between two frames. */
    Batch read(InputStream input) throws IOException {
        DataInputStream data = new DataInputStream(input);
        int firstByte = input.read();
        if (firstByte < 0) {
            return null;
        }
        try {
            long records = ((long) firstByte << 24) | (data.readUnsignedByte() << 16) | data.readUnsignedShort();
            long length = data.readInt() & 0xffffffffL;
            double clockMs = data.readDouble();
            if (length < BATCH_HEADER_BYTES || length > MAX_FRAME_BYTES) {
                throw new SimulatorProtocolException("batch header: frame length " + length + " is outside "
                        + BATCH_HEADER_BYTES + " to " + MAX_FRAME_BYTES);
            }
            if (records > length) {
                throw new SimulatorProtocolException("batch header: " + records + " records in " + length + " bytes");
            }
            if (!Double.isFinite(clockMs)) {
                throw new SimulatorProtocolException("batch header: clock " + clockMs + " is not a finite number");
            }
            byte[] body = new byte[(int) length - BATCH_HEADER_BYTES];
            data.readFully(body);
            return new Batch(clockMs, (int) records, ByteBuffer.wrap(body));
        } catch (EOFException e) {
            throw new SimulatorProtocolException("input ends inside a frame");
        }
    }

    /** Decodes all events of a batch and passes them to the handler. */
    void decode(Batch batch, EventHandler handler) {
        ByteBuffer in = batch.body();
        for (int i = 0; i < batch.records(); i++) {
            int offset = in.position() + BATCH_HEADER_BYTES;
            try {
                decodeRecord(in, handler);
            } catch (BufferUnderflowException e) {
                throw new SimulatorProtocolException(
                        "record " + i + " at byte " + offset + ": the frame ends inside it");
            } catch (SimulatorProtocolException e) {
                throw new SimulatorProtocolException("record " + i + " at byte " + offset + ": " + e.getMessage());
            }
        }
        if (in.hasRemaining()) {
            throw new SimulatorProtocolException("frame: " + in.remaining() + " bytes left after its last record");
        }
    }

    private static void decodeRecord(ByteBuffer in, EventHandler handler) {
        int code = readUint8(in);
        switch (code) {
            case EVENT_CLIENT_GONE -> handler.clientGone(readUint32(in), readUint32(in));
            case EVENT_PROBE_ENDED ->
                handler.probeEnded(
                        readUint32(in), readUint32(in), in.getDouble(), decodeOutcome(readUint16(in)), readLoad(in));
            case EVENT_STREAM_STARTED -> {
                long instance = readUint32(in);
                long request = readUint32(in);
                int attempt = readUint16(in);
                // Two fields that the gateway does not use.
                readUint32(in);
                in.getDouble();
                handler.streamStarted(instance, request, attempt);
            }
            case EVENT_TIMER_FIRED -> handler.timerFired(readUint32(in), in.getLong());
            case EVENT_INSTANCE_STARTED -> handler.instanceStarted(readUint32(in), in.getLong(), readText(in));
            case EVENT_REQUEST_RECEIVED -> decodeRequest(in, handler);
            case EVENT_ATTEMPT_ENDED -> decodeAttemptEnd(in, handler);
            case EVENT_PEER_MESSAGE ->
                handler.peerMessageReceived(readUint32(in), readUint16(in), readBytes(in, readUint16(in)));
            case EVENT_INSTANCE_STOPPED -> handler.instanceStopped(readUint32(in));
            case EVENT_NODES_LISTED -> decodeNodes(in, handler);
            default -> throw new SimulatorProtocolException("unknown code " + code);
        }
    }

    private static void decodeRequest(ByteBuffer in, EventHandler handler) {
        long instance = readUint32(in);
        long id = readUint32(in);
        int requestClass = readUint16(in);
        int plan = (int) readUint32(in);
        long key = in.getLong();
        double timeLeftMs = in.getDouble();
        long volume = in.getLong();
        double units = in.getFloat();
        int shard = (int) in.getFloat();
        int volumeHostCount = (int) in.getFloat();
        int flags = readUint16(in);
        handler.requestReceived(
                instance,
                new Request(
                        id,
                        requestClass,
                        plan,
                        key,
                        timeLeftMs,
                        volume,
                        units,
                        shard,
                        volumeHostCount,
                        (flags & CLIENT_RETRY_FLAG) != 0,
                        (flags & WRITE_FLAG) != 0));
    }

    private static void decodeAttemptEnd(ByteBuffer in, EventHandler handler) {
        long instance = readUint32(in);
        long request = readUint32(in);
        int attempt = readUint16(in);
        Outcome outcome = decodeOutcome(readUint16(in));
        double elapsedMs = in.getDouble();
        int reportedUse = readUint16(in);
        long node = readUint32(in);
        int unitsViaOtherHosts = readUint16(in);
        boolean requestClosed = readUint8(in) != 0;
        handler.attemptEnded(
                instance,
                new AttemptEnd(
                        request,
                        attempt,
                        outcome,
                        elapsedMs,
                        node,
                        reportedUse,
                        unitsViaOtherHosts,
                        requestClosed,
                        readLoad(in)));
    }

    private static void decodeNodes(ByteBuffer in, EventHandler handler) {
        long instance = readUint32(in);
        readUint32(in); // not used
        int kind = readUint8(in);
        long count = readUint32(in);
        List<NodeEntry> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            entries.add(nodeEntry(in));
        }
        handler.nodesListed(
                instance,
                switch (kind) {
                    case 0 -> NodeListKind.CHANGES;
                    case 1 -> NodeListKind.FULL;
                    case 2 -> NodeListKind.CACHED;
                    case 3 -> NodeListKind.FAILED;
                    default -> throw new SimulatorProtocolException("unknown list kind " + kind);
                },
                entries);
    }

    private static NodeEntry nodeEntry(ByteBuffer in) {
        long node = readUint32(in);
        int zone = readUint16(in);
        readUint8(in); // not used
        int shard = readUint16(in);
        int state = readUint8(in);
        float weight = in.getFloat();
        double upSince = in.getDouble();
        return new NodeEntry(
                node,
                zone,
                shard,
                switch (state) {
                    case 0 -> NodeState.GONE;
                    case 1 -> NodeState.READY;
                    case 2 -> NodeState.DRAINING;
                    default -> throw new SimulatorProtocolException("unknown node state " + state);
                },
                weight,
                upSince);
    }

    private static Outcome decodeOutcome(int code) {
        return switch (code) {
            case 100 -> Outcome.SERVED;
            case 301 -> Outcome.ERROR;
            case 302 -> Outcome.REJECTED;
            case 303 -> Outcome.TIMED_OUT;
            case 304 -> Outcome.NOT_CONNECTED;
            case 305 -> Outcome.RESET;
            case 306 -> Outcome.CANCELLED;
            case 307 -> Outcome.NOT_SENT;
            default -> throw new SimulatorProtocolException("unknown outcome " + code);
        };
    }

    private static List<Double> readLoad(ByteBuffer in) {
        int count = readUint8(in);
        List<Double> values = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            values.add((double) in.getFloat());
        }
        return values;
    }

    private static int readUint8(ByteBuffer in) {
        return in.get() & 0xff;
    }

    private static int readUint16(ByteBuffer in) {
        return in.getShort() & 0xffff;
    }

    private static long readUint32(ByteBuffer in) {
        return in.getInt() & 0xffffffffL;
    }

    private static String readText(ByteBuffer in) {
        return new String(readBytes(in, readUint32(in)), StandardCharsets.UTF_8);
    }

    private static byte[] readBytes(ByteBuffer in, long count) {
        if (count > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[(int) count];
        in.get(bytes);
        return bytes;
    }

    void send(long instance, long request, long node, double timeoutMs) throws IOException {
        beginAction(ACTION_SEND, instance);
        writeUint32(request);
        reply.writeDouble(timeoutMs);
        writeUint32(node);
    }

    void refuse(long instance, long request, double retryAfterMs) throws IOException {
        beginAction(ACTION_REFUSE, instance);
        writeUint32(request);
        reply.writeDouble(retryAfterMs);
    }

    void fail(long instance, long request) throws IOException {
        beginAction(ACTION_FAIL, instance);
        writeUint32(request);
    }

    void cancel(long instance, long request, int attempt) throws IOException {
        beginAction(ACTION_CANCEL, instance);
        writeUint32(request);
        reply.writeShort(attempt);
    }

    void setTimer(long instance, double atMs, long token) throws IOException {
        beginAction(ACTION_SET_TIMER, instance);
        reply.writeDouble(atMs);
        reply.writeLong(token);
    }

    void probe(long instance, long node) throws IOException {
        beginAction(ACTION_PROBE, instance);
        writeUint32(node);
    }

    void sendPeerMessage(long instance, int recipient, byte[] message) throws IOException {
        beginAction(ACTION_PEER_MESSAGE, instance);
        reply.writeShort(recipient < 0 ? ALL_PEERS : recipient);
        reply.writeShort(message.length);
        reply.write(message);
    }

    void reportFault(long instance, String message) throws IOException {
        beginAction(ACTION_REPORT_FAULT, instance);
        byte[] text = message.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(text.length, MAX_TEXT_BYTES);
        reply.writeShort(length);
        reply.write(text, 0, length);
    }

    void subscribeToNodes(long instance) throws IOException {
        beginAction(ACTION_SUBSCRIBE_TO_NODES, instance);
        reply.writeByte(1);
    }

    /** Writes the actions added since the last call as one frame. */
    void flush(OutputStream output) throws IOException {
        output.write(ByteBuffer.allocate(REPLY_HEADER_BYTES)
                .putInt(REPLY_HEADER_BYTES + replyBytes.size())
                .array());
        replyBytes.writeTo(output);
        output.flush();
        replyBytes.reset();
    }

    private void beginAction(int code, long instance) throws IOException {
        reply.writeByte(code);
        writeUint32(instance);
    }

    private void writeUint32(long value) throws IOException {
        reply.writeInt((int) value);
    }
}
