package petrelstand.store;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import petrelstand.accounts.LatencyHistory;
import petrelstand.accounts.Cause;
import petrelstand.accounts.TopWaits;

/**
 * The bytes of an accounts record, as docs/ACCOUNTS.md lays them out: a head of 12 bytes, then frames, each a length, a
 * CBOR array (RFC 8949) and a CRC-32C over both. A frame that is not whole ends the file: what stands before it counts.
 */
public final class AccountsRecord {
    static final int VERSION = 1;
    static final int HEADER_BYTES = 12;
    /** A frame is no longer than this. */
    static final int MAX_FRAME_BYTES = 1 << 18;

    private static final byte[] MAGIC = "PETRACCT".getBytes(StandardCharsets.US_ASCII);
    private static final CBORFactory CBOR = new CBORFactory();

    /** Whose record it is, and the names of its classes and plans by place. */
    public record NameTable(String gateway, List<String> classes, List<String> plans) {}

    /** Percentiles of a group in a minute, by phase in the order of {@link LatencyHistory.Phase}. */
    public record GroupPhases(LatencyHistory.RequestGroup group, List<LatencyHistory.Percentiles> phases) {}

    /** A minute, from a second on. */
    public record MinuteRecord(long fromSecond, long requests, long served, List<GroupPhases> groups) {}

    /** What a file holds, and why it ended early (null: it did not). */
    public record Content(NameTable names, List<LatencyHistory.SecondStats> seconds, List<MinuteRecord> minutes, String fault) {}

    private AccountsRecord() {}

    private interface FrameWriter {
        void write(CBORGenerator to) throws IOException;
    }

    static byte[] header() {
        return ByteBuffer.allocate(HEADER_BYTES)
                .put(MAGIC)
                .putShort((short) VERSION)
                .putShort((short) 0)
                .array();
    }

    private static byte[] encodeFrame(FrameWriter body) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream(512);
        try (CBORGenerator to = CBOR.createGenerator(payload)) {
            to.writeStartArray();
            body.write(to);
            to.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException("an array in memory takes all that is written to it", e);
        }
        ByteBuffer frame = ByteBuffer.allocate(Integer.BYTES + payload.size() + Integer.BYTES);
        frame.putInt(payload.size()).put(payload.toByteArray());
        frame.putInt(SnapshotFormat.checksum(frame.array(), 0, frame.position()));
        return frame.array();
    }

    static byte[] encodeFrame(NameTable names) {
        return encodeFrame(to -> {
            to.writeString("names");
            to.writeString(names.gateway());
            for (List<String> list : List.of(names.classes(), names.plans())) {
                to.writeStartArray();
                for (String name : list) {
                    to.writeString(name);
                }
                to.writeEndArray();
            }
        });
    }

    static byte[] encodeFrame(LatencyHistory.SecondStats second) {
        return encodeFrame(to -> {
            to.writeString("second");
            to.writeNumber(second.second());
            to.writeNumber(second.requests());
            to.writeNumber(second.waitUs());
            to.writeStartArray();
            for (TopWaits.Entry entry : second.topWaits()) {
                TopWaits.WaitKey cell = entry.key();
                to.writeNumber(cell.node());
                to.writeNumber(cell.volume());
                to.writeNumber(cell.requestClass());
                to.writeNumber(cell.cause().kind().ordinal());
                to.writeNumber(cell.cause().volume());
                to.writeNumber(cell.cause().requestClass());
                to.writeNumber(entry.waitUs());
                to.writeNumber(entry.maxErrorUs());
            }
            to.writeEndArray();
        });
    }

    static byte[] encodeFrame(MinuteRecord minute) {
        return encodeFrame(to -> {
            to.writeString("minute");
            to.writeNumber(minute.fromSecond());
            to.writeNumber(minute.requests());
            to.writeNumber(minute.served());
            to.writeStartArray();
            for (GroupPhases group : minute.groups()) {
                to.writeNumber(group.group().requestClass());
                to.writeNumber(group.group().plan());
                to.writeNumber(group.group().node());
                for (LatencyHistory.Percentiles p : group.phases()) {
                    for (long value : new long[] {p.count(), p.p50Us(), p.p90Us(), p.p99Us(), p.maxUs()}) {
                        to.writeNumber(value);
                    }
                }
            }
            to.writeEndArray();
        });
    }

    /** A minute's figures, taken on the loop: its histograms go on with the book. */
    static MinuteRecord toRecord(LatencyHistory.MinuteStats minute) {
        List<GroupPhases> groups = new ArrayList<>();
        for (LatencyHistory.RequestGroup group : minute.groups()) {
            groups.add(new GroupPhases(
                    group,
                    Arrays.stream(LatencyHistory.Phase.values())
                            .map(phase -> minute.percentiles(group, phase))
                            .toList()));
        }
        return new MinuteRecord(minute.fromUs() / 1_000_000, minute.requests(), minute.served(), groups);
    }

    /** Reads a file; a head that is not one of ours is a fault, and so is a version that is not known. */
    public static Content read(byte[] file) throws FileFormatException {
        if (file.length < HEADER_BYTES || !Arrays.equals(file, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new FileFormatException(0, "this is not an accounts record of petrelstand");
        }
        int version = ByteBuffer.wrap(file).getShort(MAGIC.length) & 0xffff;
        if (version != VERSION) {
            throw new FileFormatException(MAGIC.length, "version " + version + " is not " + VERSION + ", the one that is read");
        }
        NameTable names = new NameTable("", List.of(), List.of());
        List<LatencyHistory.SecondStats> seconds = new ArrayList<>();
        List<MinuteRecord> minutes = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(file);
        int at = HEADER_BYTES;
        String fault = null;
        while (at < file.length && fault == null) {
            int left = file.length - at - 2 * Integer.BYTES;
            int length = left < 0 ? -1 : in.getInt(at);
            if (length < 1 || length > left || length > MAX_FRAME_BYTES) {
                fault = "offset " + at + ": the record ends inside a frame";
            } else if (in.getInt(at + Integer.BYTES + length)
                    != SnapshotFormat.checksum(file, at, Integer.BYTES + length)) {
                fault = "offset " + at + ": the frame's checksum does not fit";
            } else {
                try (CBORParser from = CBOR.createParser(file, at + Integer.BYTES, length)) {
                    from.nextToken();
                    switch (readText(from)) {
                        case "names" -> names = new NameTable(readText(from), readTexts(from), readTexts(from));
                        case "second" -> seconds.add(readSecond(from));
                        case "minute" -> minutes.add(readMinute(from));
                        default -> {}
                    }
                } catch (IOException | IllegalArgumentException e) {
                    fault = "offset " + at + ": the frame makes no sense: " + e.getMessage();
                }
                at += length + 2 * Integer.BYTES;
            }
        }
        return new Content(names, seconds, minutes, fault);
    }

    private static String readText(CBORParser from) throws IOException {
        if (from.nextToken() != JsonToken.VALUE_STRING) {
            throw new IllegalArgumentException("a text is wanted");
        }
        return from.getText();
    }

    private static List<String> readTexts(CBORParser from) throws IOException {
        List<String> all = new ArrayList<>();
        for (JsonToken token = beginArray(from); token == JsonToken.VALUE_STRING; token = from.nextToken()) {
            all.add(from.getText());
        }
        return all;
    }

    private static JsonToken beginArray(CBORParser from) throws IOException {
        if (from.nextToken() != JsonToken.START_ARRAY) {
            throw new IllegalArgumentException("a list is wanted");
        }
        return from.nextToken();
    }

    private static long readLong(CBORParser from) throws IOException {
        from.nextToken();
        return currentLong(from);
    }

    private static long currentLong(CBORParser from) throws IOException {
        if (from.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IllegalArgumentException("a whole number is wanted");
        }
        return from.getLongValue();
    }

    private static LatencyHistory.SecondStats readSecond(CBORParser from) throws IOException {
        long second = readLong(from);
        long requests = readLong(from);
        long waitUs = readLong(from);
        List<TopWaits.Entry> causes = new ArrayList<>();
        for (JsonToken token = beginArray(from); token != JsonToken.END_ARRAY; token = from.nextToken()) {
            long node = currentLong(from);
            long volume = readLong(from);
            int kind = (int) readLong(from);
            int causeKind = (int) readLong(from);
            Cause cause = new Cause(
                    Cause.Kind.values()[Math.floorMod(causeKind, Cause.Kind.values().length)], readLong(from), (int)
                            readLong(from));
            causes.add(new TopWaits.Entry(new TopWaits.WaitKey(node, volume, kind, cause), readLong(from), readLong(from)));
        }
        return new LatencyHistory.SecondStats(second, requests, waitUs, causes);
    }

    private static MinuteRecord readMinute(CBORParser from) throws IOException {
        long second = readLong(from);
        long requests = readLong(from);
        long served = readLong(from);
        List<GroupPhases> groups = new ArrayList<>();
        for (JsonToken token = beginArray(from); token != JsonToken.END_ARRAY; token = from.nextToken()) {
            LatencyHistory.RequestGroup group = new LatencyHistory.RequestGroup((int) currentLong(from), (int) readLong(from), readLong(from));
            List<LatencyHistory.Percentiles> phases = new ArrayList<>();
            for (int i = 0; i < LatencyHistory.Phase.values().length; i++) {
                phases.add(new LatencyHistory.Percentiles(readLong(from), readLong(from), readLong(from), readLong(from), readLong(from)));
            }
            groups.add(new GroupPhases(group, phases));
        }
        return new MinuteRecord(second, requests, served, groups);
    }
}
