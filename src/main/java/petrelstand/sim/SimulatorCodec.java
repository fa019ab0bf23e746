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

/** Frames and records of the simulator's wire: bytes in, events out; actions in, bytes out. */
final class SimulatorCodec {
    /** Receives the events of a batch in order. */
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

    /** A batch as read: its clock and its undecoded records. */
    record Batch(double clockMs, int records, ByteBuffer body) {}

    private static final int BATCH_HEADER = 16;
    private static final int REPLY_HEADER = 4;
    private static final int MAX_FRAME = 256 << 20;
    private static final int MAX_TEXT = 0xffff;
    private static final int ALL_PEERS = 0xffff;

    private final ByteArrayOutputStream replyBytes = new ByteArrayOutputStream();
    private final DataOutputStream reply = new DataOutputStream(replyBytes);

    /** The next batch, or null where the input ends between frames. */
    Batch read(InputStream input) throws IOException {
        DataInputStream data = new DataInputStream(input);
        int first = input.read();
        if (first < 0) {
            return null;
        }
        try {
            long records = ((long) first << 24) | (data.readUnsignedByte() << 16) | data.readUnsignedShort();
            long length = data.readInt() & 0xffffffffL;
            double clock = data.readDouble();
            if (length < BATCH_HEADER || length > MAX_FRAME) {
                throw new SimulatorProtocolException(
                        "batch header: frame length " + length + " is outside " + BATCH_HEADER + " to " + MAX_FRAME);
            }
            if (records > length) {
                throw new SimulatorProtocolException("batch header: " + records + " records in " + length + " bytes");
            }
            if (!Double.isFinite(clock)) {
                throw new SimulatorProtocolException("batch header: clock " + clock + " is no time");
            }
            byte[] body = new byte[(int) length - BATCH_HEADER];
            data.readFully(body);
            return new Batch(clock, (int) records, ByteBuffer.wrap(body));
        } catch (EOFException e) {
            throw new SimulatorProtocolException("input ends inside a frame");
        }
    }

    /** Decodes all records of a batch into the sink. */
    void decode(Batch batch, EventHandler sink) {
        ByteBuffer in = batch.body();
        for (int i = 0; i < batch.records(); i++) {
            int at = in.position() + BATCH_HEADER;
            try {
                decodeRecord(in, sink);
            } catch (BufferUnderflowException e) {
                throw new SimulatorProtocolException("record " + i + " at byte " + at + ": the frame ends inside it");
            } catch (SimulatorProtocolException e) {
                throw new SimulatorProtocolException("record " + i + " at byte " + at + ": " + e.getMessage());
            }
        }
        if (in.hasRemaining()) {
            throw new SimulatorProtocolException("frame: " + in.remaining() + " bytes left after its last record");
        }
    }

    private static void decodeRecord(ByteBuffer in, EventHandler sink) {
        int code = u8(in);
        switch (code) {
            case 16 -> sink.clientGone(u32(in), u32(in));
            case 17 -> sink.probeEnded(u32(in), u32(in), in.getDouble(), outcome(u16(in)), load(in));
            case 18 -> {
                long instance = u32(in);
                long request = u32(in);
                int attempt = u16(in);
                u32(in);
                in.getDouble();
                sink.streamStarted(instance, request, attempt);
            }
            case 19 -> sink.timerFired(u32(in), in.getLong());
            case 20 -> sink.instanceStarted(u32(in), in.getLong(), text(in));
            case 21 -> decodeRequest(in, sink);
            case 22 -> decodeAttemptEnd(in, sink);
            case 23 -> sink.peerMessageReceived(u32(in), u16(in), bytes(in, u16(in)));
            case 24 -> sink.instanceStopped(u32(in));
            case 25 -> decodeNodes(in, sink);
            default -> throw new SimulatorProtocolException("unknown code " + code);
        }
    }

    private static void decodeRequest(ByteBuffer in, EventHandler sink) {
        long instance = u32(in);
        long id = u32(in);
        int requestClass = u16(in);
        int plan = (int) u32(in);
        long key = in.getLong();
        double timeLeft = in.getDouble();
        long volume = in.getLong();
        double units = in.getFloat();
        int shard = (int) in.getFloat();
        int setSize = (int) in.getFloat();
        int bits = u16(in);
        sink.requestReceived(
                instance,
                new Request(
                        id,
                        requestClass,
                        plan,
                        key,
                        timeLeft,
                        volume,
                        units,
                        shard,
                        setSize,
                        (bits & 2) != 0,
                        (bits & 4) != 0));
    }

    private static void decodeAttemptEnd(ByteBuffer in, EventHandler sink) {
        long instance = u32(in);
        long request = u32(in);
        int attempt = u16(in);
        Outcome outcome = outcome(u16(in));
        double elapsed = in.getDouble();
        int seenUse = u16(in);
        long node = u32(in);
        int fromOthers = u16(in);
        boolean over = u8(in) != 0;
        sink.attemptEnded(
                instance,
                new AttemptEnd(request, attempt, outcome, elapsed, node, seenUse, fromOthers, over, load(in)));
    }

    private static void decodeNodes(ByteBuffer in, EventHandler sink) {
        long instance = u32(in);
        u32(in);
        int kind = u8(in);
        long count = u32(in);
        List<NodeEntry> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            entries.add(nodeEntry(in));
        }
        sink.nodesListed(
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
        long node = u32(in);
        int zone = u16(in);
        u8(in);
        int shard = u16(in);
        int state = u8(in);
        float rating = in.getFloat();
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
                rating,
                upSince);
    }

    private static Outcome outcome(int code) {
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

    private static List<Double> load(ByteBuffer in) {
        int count = u8(in);
        List<Double> values = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            values.add((double) in.getFloat());
        }
        return values;
    }

    private static int u8(ByteBuffer in) {
        return in.get() & 0xff;
    }

    private static int u16(ByteBuffer in) {
        return in.getShort() & 0xffff;
    }

    private static long u32(ByteBuffer in) {
        return in.getInt() & 0xffffffffL;
    }

    private static String text(ByteBuffer in) {
        return new String(bytes(in, u32(in)), StandardCharsets.UTF_8);
    }

    private static byte[] bytes(ByteBuffer in, long count) {
        if (count > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[(int) count];
        in.get(bytes);
        return bytes;
    }

    void send(long instance, long request, long node, double timeoutMs) throws IOException {
        record(16, instance);
        u32(request);
        reply.writeDouble(timeoutMs);
        u32(node);
    }

    void refuse(long instance, long request, double retryAfterMs) throws IOException {
        record(17, instance);
        u32(request);
        reply.writeDouble(retryAfterMs);
    }

    void fail(long instance, long request) throws IOException {
        record(18, instance);
        u32(request);
    }

    void cancel(long instance, long request, int attempt) throws IOException {
        record(19, instance);
        u32(request);
        reply.writeShort(attempt);
    }

    void setTimer(long instance, double atMs, long token) throws IOException {
        record(20, instance);
        reply.writeDouble(atMs);
        reply.writeLong(token);
    }

    void probe(long instance, long node) throws IOException {
        record(21, instance);
        u32(node);
    }

    void sendPeerMessage(long instance, int recipient, byte[] message) throws IOException {
        record(23, instance);
        reply.writeShort(recipient < 0 ? ALL_PEERS : recipient);
        reply.writeShort(message.length);
        reply.write(message);
    }

    void reportFault(long instance, String message) throws IOException {
        record(25, instance);
        byte[] text = message.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(text.length, MAX_TEXT);
        reply.writeShort(length);
        reply.write(text, 0, length);
    }

    void subscribeToNodes(long instance) throws IOException {
        record(26, instance);
        reply.writeByte(1);
    }

    /** Writes the actions gathered since the last reply as one frame. */
    void flush(OutputStream output) throws IOException {
        output.write(ByteBuffer.allocate(REPLY_HEADER)
                .putInt(REPLY_HEADER + replyBytes.size())
                .array());
        replyBytes.writeTo(output);
        output.flush();
        replyBytes.reset();
    }

    private void record(int code, long instance) throws IOException {
        reply.writeByte(code);
        u32(instance);
    }

    private void u32(long value) throws IOException {
        reply.writeInt((int) value);
    }
}
