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
import petrelstand.accounts.Cause;
import petrelstand.accounts.LatencyHistory;
import petrelstand.accounts.TopWaits;

/**
 * The format of accounts records, specified in docs/ACCOUNTS.md: a header of 12 bytes, then frames, each a length, a
 * CBOR array (RFC 8949) and a CRC-32C over both. Reading stops at the first damaged frame and keeps those before it.
 */
public final class AccountsRecord {
    static final int VERSION = 1;
    static final int HEADER_BYTES = 12;
    /** Maximum length of the CBOR array in a frame. */
    static final int MAX_FRAME_BYTES = 1 << 18;

    private static final byte[] MAGIC = "PETRACCT".getBytes(StandardCharsets.US_ASCII);
    private static final CBORFactory CBOR = new CBORFactory();

    /** The name of the gateway, and the names of its classes and plans by index. */
    public record NameTable(String gateway, List<String> classes, List<String> plans) {}

    /** The percentiles of a group in one minute, in the order of {@link LatencyHistory.Phase}. */
    public record GroupPhases(LatencyHistory.RequestGroup group, List<LatencyHistory.Percentiles> phases) {}

    /** The figures of the minute that begins at {@code fromSecond}. */
    public record MinuteRecord(long fromSecond, long requests, long served, List<GroupPhases> groups) {}

    /** The content of a file; {@code fault} says why reading stopped early, null if it did not. */
    public record Content(
            NameTable names, List<LatencyHistory.SecondStats> seconds, List<MinuteRecord> minutes, String fault) {}

    private AccountsRecord() {}

    private interface FrameWriter {
        void write(CBORGenerator out) throws IOException;
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
        try (CBORGenerator out = CBOR.createGenerator(payload)) {
            out.writeStartArray();
            body.write(out);
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to an array in memory failed", e);
        }
        ByteBuffer frame = ByteBuffer.allocate(Integer.BYTES + payload.size() + Integer.BYTES);
        frame.putInt(payload.size()).put(payload.toByteArray());
        frame.putInt(SnapshotFormat.checksum(frame.array(), 0, frame.position()));
        return frame.array();
    }

    static byte[] encodeFrame(NameTable names) {
        return encodeFrame(out -> {
            out.writeString("names");
            out.writeString(names.gateway());
            for (List<String> list : List.of(names.classes(), names.plans())) {
                out.writeStartArray();
                for (String name : list) {
                    out.writeString(name);
                }
                out.writeEndArray();
            }
        });
    }

    static byte[] encodeFrame(LatencyHistory.SecondStats second) {
        return encodeFrame(out -> {
            out.writeString("second");
            out.writeNumber(second.second());
            out.writeNumber(second.requests());
            out.writeNumber(second.waitUs());
            out.writeStartArray();
            for (TopWaits.Entry entry : second.topWaits()) {
                TopWaits.WaitKey cell = entry.key();
                out.writeNumber(cell.node());
                out.writeNumber(cell.volume());
                out.writeNumber(cell.requestClass());
                out.writeNumber(cell.cause().kind().ordinal());
                out.writeNumber(cell.cause().volume());
                out.writeNumber(cell.cause().requestClass());
                out.writeNumber(entry.waitUs());
                out.writeNumber(entry.maxErrorUs());
            }
            out.writeEndArray();
        });
    }

    static byte[] encodeFrame(MinuteRecord minute) {
        return encodeFrame(out -> {
            out.writeString("minute");
            out.writeNumber(minute.fromSecond());
            out.writeNumber(minute.requests());
            out.writeNumber(minute.served());
            out.writeStartArray();
            for (GroupPhases group : minute.groups()) {
                out.writeNumber(group.group().requestClass());
                out.writeNumber(group.group().plan());
                out.writeNumber(group.group().node());
                for (LatencyHistory.Percentiles percentiles : group.phases()) {
                    for (long value : new long[] {
                        percentiles.count(),
                        percentiles.p50Us(),
                        percentiles.p90Us(),
                        percentiles.p99Us(),
                        percentiles.maxUs()
                    }) {
                        out.writeNumber(value);
                    }
                }
            }
            out.writeEndArray();
        });
    }

    /** Copies the figures of a minute; must run on the event loop, since the book reuses its histograms. */
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

    /**
     * Reads a file. Damage after the header is reported in {@link Content#fault}.
     *
     * @throws FileFormatException if the header is not that of an accounts record or its version is unsupported
     */
    public static Content read(byte[] file) throws FileFormatException {
        if (file.length < HEADER_BYTES || !Arrays.equals(file, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new FileFormatException(0, "not an accounts record of petrelstand: the magic bytes do not match");
        }
        int version = ByteBuffer.wrap(file).getShort(MAGIC.length) & 0xffff;
        if (version != VERSION) {
            throw new FileFormatException(
                    MAGIC.length, "unsupported version " + version + ", only " + VERSION + " can be read");
        }
        NameTable names = new NameTable("", List.of(), List.of());
        List<LatencyHistory.SecondStats> seconds = new ArrayList<>();
        List<MinuteRecord> minutes = new ArrayList<>();
        ByteBuffer bytes = ByteBuffer.wrap(file);
        int offset = HEADER_BYTES;
        String fault = null;
        while (offset < file.length && fault == null) {
            int available = file.length - offset - 2 * Integer.BYTES;
            int length = available < 0 ? -1 : bytes.getInt(offset);
            if (length < 1 || length > available || length > MAX_FRAME_BYTES) {
                fault = "offset " + offset + ": the file ends inside a frame or the frame's length is invalid";
            } else if (bytes.getInt(offset + Integer.BYTES + length)
                    != SnapshotFormat.checksum(file, offset, Integer.BYTES + length)) {
                fault = "offset " + offset + ": the frame's checksum does not match";
            } else {
                try (CBORParser in = CBOR.createParser(file, offset + Integer.BYTES, length)) {
                    in.nextToken();
                    switch (readText(in)) {
                        case "names" -> names = new NameTable(readText(in), readTexts(in), readTexts(in));
                        case "second" -> seconds.add(readSecond(in));
                        case "minute" -> minutes.add(readMinute(in));
                        default -> {}
                    }
                } catch (IOException | IllegalArgumentException e) {
                    fault = "offset " + offset + ": invalid frame: " + e.getMessage();
                }
                offset += length + 2 * Integer.BYTES;
            }
        }
        return new Content(names, seconds, minutes, fault);
    }

    private static String readText(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.VALUE_STRING) {
            throw new IllegalArgumentException("expected a text");
        }
        return in.getText();
    }

    private static List<String> readTexts(CBORParser in) throws IOException {
        List<String> values = new ArrayList<>();
        for (JsonToken token = beginArray(in); token == JsonToken.VALUE_STRING; token = in.nextToken()) {
            values.add(in.getText());
        }
        return values;
    }

    private static JsonToken beginArray(CBORParser in) throws IOException {
        if (in.nextToken() != JsonToken.START_ARRAY) {
            throw new IllegalArgumentException("expected an array");
        }
        return in.nextToken();
    }

    private static long readLong(CBORParser in) throws IOException {
        in.nextToken();
        return currentLong(in);
    }

    private static long currentLong(CBORParser in) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IllegalArgumentException("expected an integer");
        }
        return in.getLongValue();
    }

    private static LatencyHistory.SecondStats readSecond(CBORParser in) throws IOException {
        long second = readLong(in);
        long requests = readLong(in);
        long waitUs = readLong(in);
        List<TopWaits.Entry> causes = new ArrayList<>();
        for (JsonToken token = beginArray(in); token != JsonToken.END_ARRAY; token = in.nextToken()) {
            long node = currentLong(in);
            long volume = readLong(in);
            int requestClass = (int) readLong(in);
            int causeKind = (int) readLong(in);
            Cause cause = new Cause(
                    Cause.Kind.values()[Math.floorMod(causeKind, Cause.Kind.values().length)], readLong(in), (int)
                            readLong(in));
            causes.add(new TopWaits.Entry(
                    new TopWaits.WaitKey(node, volume, requestClass, cause), readLong(in), readLong(in)));
        }
        return new LatencyHistory.SecondStats(second, requests, waitUs, causes);
    }

    private static MinuteRecord readMinute(CBORParser in) throws IOException {
        long second = readLong(in);
        long requests = readLong(in);
        long served = readLong(in);
        List<GroupPhases> groups = new ArrayList<>();
        for (JsonToken token = beginArray(in); token != JsonToken.END_ARRAY; token = in.nextToken()) {
            LatencyHistory.RequestGroup group =
                    new LatencyHistory.RequestGroup((int) currentLong(in), (int) readLong(in), readLong(in));
            List<LatencyHistory.Percentiles> phases = new ArrayList<>();
            for (int i = 0; i < LatencyHistory.Phase.values().length; i++) {
                phases.add(new LatencyHistory.Percentiles(
                        readLong(in), readLong(in), readLong(in), readLong(in), readLong(in)));
            }
            groups.add(new GroupPhases(group, phases));
        }
        return new MinuteRecord(second, requests, served, groups);
    }
}
