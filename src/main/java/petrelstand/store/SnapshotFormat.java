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
 * The bytes of a snapshot, as docs/STATE.md lays them out: a head of 16 bytes, one CBOR array (RFC 8949), and a CRC-32C
 * over both. Numbers in head and tail are big-endian.
 */
public final class SnapshotFormat {
    /** The version that is written, and the oldest that is read. */
    public static final int VERSION = 1;
    /** A file is no longer than this; 4,096 nodes and 4,096 volumes take some 0.6 MB. */
    public static final int MAX_FILE_BYTES = 2 << 20;

    static final int HEADER_BYTES = 16;
    static final int TRAILER_BYTES = 4;
    private static final byte[] MAGIC = "PETRLSTD".getBytes(StandardCharsets.US_ASCII);
    private static final int MAX_NAME_LENGTH = 255;
    private static final CBORFactory CBOR = new CBORFactory();

    private SnapshotFormat() {}

    /** The whole file of a snapshot. */
    public static byte[] encode(Snapshot snapshot) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream(4096);
        try (CBORGenerator to = CBOR.createGenerator(payload)) {
            writeSnapshot(to, snapshot);
        } catch (IOException e) {
            throw new UncheckedIOException("an array in memory takes all that is written to it", e);
        }
        return encodeFile(VERSION, payload.toByteArray());
    }

    /** Head, payload and checksum of a version. */
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

    /** The CRC-32C of a stretch of bytes, for every file of this package. */
    public static int checksum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    private static void writeSnapshot(CBORGenerator to, Snapshot snapshot) throws IOException {
        LearnedState learned = snapshot.learned();
        to.writeStartArray(null, 9);
        to.writeString(snapshot.gateway());
        to.writeNumber(snapshot.settingsFingerprint());
        to.writeNumber(snapshot.generation());
        to.writeNumber(snapshot.wallMs());
        to.writeBoolean(snapshot.cleanShutdown());
        to.writeNumber(learned.measuredSlots());
        to.writeNumber(learned.servedUnits());
        List<LearnedNode> nodes =
                learned.nodes().subList(0, Math.min(learned.nodes().size(), Snapshot.MAX_NODES));
        to.writeStartArray(null, nodes.size());
        for (LearnedNode node : nodes) {
            to.writeStartArray(null, 8);
            to.writeNumber(node.node());
            to.writeNumber(node.upSinceMs());
            to.writeNumber(node.measuredSlots());
            to.writeNumber(node.servedUnits());
            to.writeNumber(node.window());
            to.writeNumber(node.latencyMs());
            to.writeNumber(node.coldSentUnits());
            to.writeNumber(node.silentMs());
            to.writeEndArray();
        }
        to.writeEndArray();
        to.writeStartArray(null, learned.volumes().size());
        for (LearnedVolume volume : learned.volumes()) {
            to.writeStartArray(null, 7);
            to.writeNumber(volume.volume());
            to.writeNumber(volume.plan());
            to.writeNumber(volume.hostCount());
            to.writeNumber(volume.localFraction());
            to.writeNumber(volume.limitLevel());
            to.writeNumber(volume.reserveLevel());
            to.writeNumber(volume.shareLevel());
            to.writeEndArray();
        }
        to.writeEndArray();
        to.writeEndArray();
    }

    /** Reads a whole file; whatever is wrong is one fault that says where. */
    public static Snapshot decode(byte[] file) throws FileFormatException {
        if (file.length > MAX_FILE_BYTES) {
            throw new FileFormatException(MAX_FILE_BYTES, "the file is longer than " + MAX_FILE_BYTES + " bytes");
        }
        if (file.length < HEADER_BYTES + TRAILER_BYTES) {
            throw new FileFormatException(file.length, "the file ends early: it has no whole head and checksum");
        }
        if (!Arrays.equals(file, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new FileFormatException(0, "this is not a state file of petrelstand");
        }
        ByteBuffer bytes = ByteBuffer.wrap(file);
        // A version that is not known may lay out all the rest in another way, so it is told first.
        int version = bytes.getShort(MAGIC.length) & 0xffff;
        if (version > VERSION) {
            throw new FileFormatException(
                    MAGIC.length, "version " + version + " is newer than " + VERSION + ", the newest that is read");
        }
        if (version < VERSION) {
            throw new FileFormatException(
                    MAGIC.length, "version " + version + " is older than " + VERSION + ", the oldest that is read");
        }
        int length = bytes.getInt(HEADER_BYTES - Integer.BYTES);
        if (length != file.length - HEADER_BYTES - TRAILER_BYTES) {
            throw new FileFormatException(
                    HEADER_BYTES - Integer.BYTES,
                    "the head says " + length + " bytes of content, the file has " + (file.length - HEADER_BYTES - TRAILER_BYTES));
        }
        int checksum = checksum(file, 0, HEADER_BYTES + length);
        if (bytes.getInt(HEADER_BYTES + length) != checksum) {
            throw new FileFormatException(
                    HEADER_BYTES + length,
                    String.format(
                            "the checksum is %08x, the content's is %08x", bytes.getInt(HEADER_BYTES + length), checksum));
        }
        if (bytes.getShort(MAGIC.length + Short.BYTES) != 0) {
            throw new FileFormatException(MAGIC.length + Short.BYTES, "the reserved bytes are not 0");
        }
        try (CBORParser from = CBOR.createParser(file, HEADER_BYTES, length)) {
            Reader reader = new Reader(from);
            Snapshot snapshot = reader.readSnapshot();
            if (from.nextToken() != null) {
                throw reader.fault("something follows the snapshot");
            }
            return snapshot;
        } catch (IOException e) {
            throw new FileFormatException(
                    HEADER_BYTES,
                    "the content is not CBOR: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    /** Reads the one array token by token: nothing is built that the format does not have. */
    private static final class Reader {
        private final CBORParser from;

        Reader(CBORParser from) {
            this.from = from;
        }

        FileFormatException fault(String what) {
            return new FileFormatException(Math.max(HEADER_BYTES, from.currentTokenLocation().getByteOffset()), what);
        }

        Snapshot readSnapshot() throws IOException, FileFormatException {
            beginArray("the snapshot");
            String gateway = readText("the gateway's name");
            long print = readLong("the settings' print");
            long generation = readLong("the generation");
            long wallMs = readLong("the time");
            boolean clean = readBoolean("the clean end");
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
                        readInt("a volume's set"),
                        readDouble("a volume's part"),
                        readDouble("a volume's limit"),
                        readDouble("a volume's reserve"),
                        readDouble("a volume's share")));
                endArray("a volume");
            }
            endArray("the snapshot");
            return new Snapshot(
                    gateway, print, generation, wallMs, clean, new LearnedState(wallMs, slots, served, nodes, volumes));
        }

        private void beginArray(String what) throws IOException, FileFormatException {
            if (from.nextToken() != JsonToken.START_ARRAY) {
                throw fault(what + ": a list is wanted here");
            }
        }

        private void endArray(String what) throws IOException, FileFormatException {
            if (from.nextToken() != JsonToken.END_ARRAY) {
                throw fault(what + " has more fields than it should");
            }
        }

        private boolean beginNextEntry(String what, int read, int most) throws IOException, FileFormatException {
            JsonToken token = from.nextToken();
            if (token == JsonToken.END_ARRAY) {
                return false;
            }
            if (token != JsonToken.START_ARRAY) {
                throw fault("a " + what + ": a list is wanted here");
            }
            if (read >= most) {
                throw fault("there are more than " + most + " " + what + "s");
            }
            return true;
        }

        private String readText(String what) throws IOException, FileFormatException {
            if (from.nextToken() != JsonToken.VALUE_STRING || from.getTextLength() > MAX_NAME_LENGTH) {
                throw fault(what + ": a text of at most " + MAX_NAME_LENGTH + " characters is wanted here");
            }
            return from.getText();
        }

        private long readLong(String what) throws IOException, FileFormatException {
            if (from.nextToken() != JsonToken.VALUE_NUMBER_INT
                    || from.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
                throw fault(what + ": a whole number of 64 bits is wanted here");
            }
            return from.getLongValue();
        }

        private int readInt(String what) throws IOException, FileFormatException {
            long value = readLong(what);
            if (value != (int) value) {
                throw fault(what + ": " + value + " is out of range");
            }
            return (int) value;
        }

        private double readDouble(String what) throws IOException, FileFormatException {
            if (from.nextToken() != JsonToken.VALUE_NUMBER_FLOAT || !Double.isFinite(from.getDoubleValue())) {
                throw fault(what + ": a finite floating-point number is wanted here");
            }
            return from.getDoubleValue();
        }

        private boolean readBoolean(String what) throws IOException, FileFormatException {
            JsonToken token = from.nextToken();
            if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
                throw fault(what + ": true or false is wanted here");
            }
            return token == JsonToken.VALUE_TRUE;
        }
    }
}
