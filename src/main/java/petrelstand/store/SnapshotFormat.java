package petrelstand.store;

import com.fasterxml.jackson.core.JsonParser;
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
import java.util.zip.CRC32C;
import petrelstand.decision.Policy;
import petrelstand.decision.Scheduling.LearnedNode;
import petrelstand.decision.Scheduling.LearnedState;
import petrelstand.decision.Scheduling.LearnedVolume;
import petrelstand.state.Snapshot;

/**
 * The format of snapshot files, specified in docs/STATE.md: a header of 16 bytes, one CBOR array (RFC 8949), and a
 * CRC-32C over both. Numbers in header and trailer are big-endian.
 */
public final class SnapshotFormat {
    /** The only version that is written and read. */
    public static final int VERSION = 1;
    /** Maximum length of a file; 4,096 nodes and 4,096 volumes take some 0.6 MB. */
    public static final int MAX_FILE_BYTES = 2 << 20;

    static final int HEADER_BYTES = 16;
    static final int TRAILER_BYTES = 4;
    private static final byte[] MAGIC = "PETRLSTD".getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_NAME_LENGTH = 255;
    private static final CBORFactory CBOR = new CBORFactory();

    private SnapshotFormat() {}

    /** Encodes a snapshot as the content of its file. */
    public static byte[] encode(Snapshot snapshot) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream(4096);
        try (CBORGenerator out = CBOR.createGenerator(payload)) {
            writeSnapshot(out, snapshot);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to an array in memory failed", e);
        }
        return encodeFile(VERSION, payload.toByteArray());
    }

    /** Puts the header before and the checksum after a payload. */
    static byte[] encodeFile(int version, byte[] payload) {
        ByteBuffer file = ByteBuffer.allocate(HEADER_BYTES + payload.length + TRAILER_BYTES);
        file.put(MAGIC)
                .putShort((short) version)
                .putShort((short) 0)
                .putInt(payload.length)
                .put(payload);
        file.putInt(checksum(file.array(), 0, HEADER_BYTES + payload.length));
        return file.array();
    }

    /** Returns the CRC-32C of a range of bytes; used by every file format of this package. */
    public static int checksum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    private static void writeSnapshot(CBORGenerator out, Snapshot snapshot) throws IOException {
        LearnedState learned = snapshot.learned();
        out.writeStartArray(null, 9);
        out.writeString(snapshot.gateway());
        out.writeNumber(snapshot.settingsFingerprint());
        out.writeNumber(snapshot.generation());
        out.writeNumber(snapshot.wallMs());
        out.writeBoolean(snapshot.cleanShutdown());
        out.writeNumber(learned.measuredSlots());
        out.writeNumber(learned.servedUnits());
        List<LearnedNode> nodes =
                learned.nodes().subList(0, Math.min(learned.nodes().size(), Snapshot.MAX_NODES));
        out.writeStartArray(null, nodes.size());
        for (LearnedNode node : nodes) {
            out.writeStartArray(null, 8);
            out.writeNumber(node.node());
            out.writeNumber(node.upSinceMs());
            out.writeNumber(node.measuredSlots());
            out.writeNumber(node.servedUnits());
            out.writeNumber(node.window());
            out.writeNumber(node.latencyMs());
            out.writeNumber(node.coldSentUnits());
            out.writeNumber(node.silentMs());
            out.writeEndArray();
        }
        out.writeEndArray();
        out.writeStartArray(null, learned.volumes().size());
        for (LearnedVolume volume : learned.volumes()) {
            out.writeStartArray(null, 7);
            out.writeNumber(volume.volume());
            out.writeNumber(volume.plan());
            out.writeNumber(volume.hostCount());
            out.writeNumber(volume.localFraction());
            out.writeNumber(volume.limitLevel());
            out.writeNumber(volume.reserveLevel());
            out.writeNumber(volume.shareLevel());
            out.writeEndArray();
        }
        out.writeEndArray();
        out.writeEndArray();
    }

    /**
     * Decodes the content of a file.
     *
     * @throws FileFormatException if anything in it is invalid; names the offset
     */
    public static Snapshot decode(byte[] file) throws FileFormatException {
        if (file.length > MAX_FILE_BYTES) {
            throw new FileFormatException(MAX_FILE_BYTES, "the file is longer than " + MAX_FILE_BYTES + " bytes");
        }
        if (file.length < HEADER_BYTES + TRAILER_BYTES) {
            throw new FileFormatException(file.length, "the file is too short for header and checksum");
        }
        if (!Arrays.equals(file, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new FileFormatException(0, "this is not a state file of petrelstand: the magic bytes do not match");
        }
        ByteBuffer bytes = ByteBuffer.wrap(file);
        // Checked first, since another version may differ in everything that follows.
        int version = bytes.getShort(MAGIC.length) & 0xffff;
        if (version > VERSION) {
            throw new FileFormatException(
                    MAGIC.length, "version " + version + " is newer than " + VERSION + ", the newest that can be read");
        }
        if (version < VERSION) {
            throw new FileFormatException(
                    MAGIC.length, "version " + version + " is older than " + VERSION + ", the oldest that can be read");
        }
        int length = bytes.getInt(HEADER_BYTES - Integer.BYTES);
        if (length != file.length - HEADER_BYTES - TRAILER_BYTES) {
            throw new FileFormatException(
                    HEADER_BYTES - Integer.BYTES,
                    "the header announces " + length + " bytes of content, but the file has "
                            + (file.length - HEADER_BYTES - TRAILER_BYTES));
        }
        int checksum = checksum(file, 0, HEADER_BYTES + length);
        if (bytes.getInt(HEADER_BYTES + length) != checksum) {
            throw new FileFormatException(
                    HEADER_BYTES + length,
                    String.format(
                            "the checksum is %08x, but that of the content is %08x",
                            bytes.getInt(HEADER_BYTES + length), checksum));
        }
        if (bytes.getShort(MAGIC.length + Short.BYTES) != 0) {
            throw new FileFormatException(MAGIC.length + Short.BYTES, "the reserved bytes are not 0");
        }
        try (CBORParser in = CBOR.createParser(file, HEADER_BYTES, length)) {
            Reader reader = new Reader(in);
            Snapshot snapshot = reader.readSnapshot();
            if (in.nextToken() != null) {
                throw reader.invalid("unexpected data follows the snapshot");
            }
            return snapshot;
        } catch (IOException e) {
            throw new FileFormatException(
                    HEADER_BYTES,
                    "the content is not CBOR: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    /** Reads the array token by token, so that invalid content is rejected before it takes memory. */
    private static final class Reader {
        private final CBORParser in;

        Reader(CBORParser in) {
            this.in = in;
        }

        FileFormatException invalid(String problem) {
            return new FileFormatException(
                    Math.max(HEADER_BYTES, in.currentTokenLocation().getByteOffset()), problem);
        }

        Snapshot readSnapshot() throws IOException, FileFormatException {
            beginArray("the snapshot");
            String gateway = readText("the gateway's name");
            long fingerprint = readLong("the settings' fingerprint");
            long generation = readLong("the generation");
            long wallMs = readLong("the time");
            boolean cleanShutdown = readBoolean("the clean shutdown flag");
            double slots = readDouble("the slots of all nodes");
            double served = readDouble("the units of all nodes");
            List<LearnedNode> nodes = new ArrayList<>();
            beginArray("the nodes");
            while (beginNextEntry("node", nodes.size(), Snapshot.MAX_NODES)) {
                nodes.add(new LearnedNode(
                        readLong("a node's number"),
                        readDouble("a node's start"),
                        readDouble("a node's slots"),
                        readDouble("a node's units"),
                        readDouble("a node's window"),
                        readDouble("a node's latency"),
                        readDouble("a node's cold units"),
                        readDouble("a node's silence")));
                endArray("a node");
            }
            List<LearnedVolume> volumes = new ArrayList<>();
            beginArray("the volumes");
            while (beginNextEntry("volume", volumes.size(), Policy.MAX_VOLUMES)) {
                volumes.add(new LearnedVolume(
                        readLong("a volume's number"),
                        readInt("a volume's plan"),
                        readInt("a volume's host count"),
                        readDouble("a volume's local fraction"),
                        readDouble("a volume's limit"),
                        readDouble("a volume's reserve"),
                        readDouble("a volume's share")));
                endArray("a volume");
            }
            endArray("the snapshot");
            return new Snapshot(
                    gateway,
                    fingerprint,
                    generation,
                    wallMs,
                    cleanShutdown,
                    new LearnedState(wallMs, slots, served, nodes, volumes));
        }

        private void beginArray(String field) throws IOException, FileFormatException {
            if (in.nextToken() != JsonToken.START_ARRAY) {
                throw invalid(field + ": expected an array");
            }
        }

        private void endArray(String field) throws IOException, FileFormatException {
            if (in.nextToken() != JsonToken.END_ARRAY) {
                throw invalid(field + " has too many fields");
            }
        }

        private boolean beginNextEntry(String entry, int count, int max) throws IOException, FileFormatException {
            JsonToken token = in.nextToken();
            if (token == JsonToken.END_ARRAY) {
                return false;
            }
            if (token != JsonToken.START_ARRAY) {
                throw invalid("a " + entry + ": expected an array");
            }
            if (count >= max) {
                throw invalid("there are more than " + max + " " + entry + "s");
            }
            return true;
        }

        private String readText(String field) throws IOException, FileFormatException {
            if (in.nextToken() != JsonToken.VALUE_STRING || in.getTextLength() > MAX_NAME_LENGTH) {
                throw invalid(field + ": expected a text of at most " + MAX_NAME_LENGTH + " characters");
            }
            return in.getText();
        }

        private long readLong(String field) throws IOException, FileFormatException {
            if (in.nextToken() != JsonToken.VALUE_NUMBER_INT
                    || in.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
                throw invalid(field + ": expected a 64-bit integer");
            }
            return in.getLongValue();
        }

        private int readInt(String field) throws IOException, FileFormatException {
            long value = readLong(field);
            if (value != (int) value) {
                throw invalid(field + ": " + value + " does not fit into 32 bits");
            }
            return (int) value;
        }

        private double readDouble(String field) throws IOException, FileFormatException {
            if (in.nextToken() != JsonToken.VALUE_NUMBER_FLOAT || !Double.isFinite(in.getDoubleValue())) {
                throw invalid(field + ": expected a finite floating-point number");
            }
            return in.getDoubleValue();
        }

        private boolean readBoolean(String field) throws IOException, FileFormatException {
            JsonToken token = in.nextToken();
            if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
                throw invalid(field + ": expected true or false");
            }
            return token == JsonToken.VALUE_TRUE;
        }
    }
}
