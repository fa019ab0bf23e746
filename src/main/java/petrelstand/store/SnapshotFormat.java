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
    public static final int MOST_BYTES = 2 << 20;

    static final int HEAD = 16;
    static final int TAIL = 4;
    private static final byte[] MAGIC = "PETRLSTD".getBytes(StandardCharsets.US_ASCII);
    private static final int MOST_NAME = 255;
    private static final CBORFactory CBOR = new CBORFactory();

    private SnapshotFormat() {}

    /** The whole file of a snapshot. */
    public static byte[] encode(Snapshot snapshot) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream(4096);
        try (CBORGenerator to = CBOR.createGenerator(payload)) {
            write(to, snapshot);
        } catch (IOException e) {
            throw new UncheckedIOException("an array in memory takes all that is written to it", e);
        }
        return frame(VERSION, payload.toByteArray());
    }

    /** Head, payload and checksum of a version. */
    static byte[] frame(int version, byte[] payload) {
        ByteBuffer file = ByteBuffer.allocate(HEAD + payload.length + TAIL);
        file.put(MAGIC)
                .putShort((short) version)
                .putShort((short) 0)
                .putInt(payload.length)
                .put(payload);
        file.putInt(checksum(file.array(), 0, HEAD + payload.length));
        return file.array();
    }

    /** The CRC-32C of a stretch of bytes, for every file of this package. */
    public static int checksum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    private static void write(CBORGenerator to, Snapshot snapshot) throws IOException {
        LearnedState learned = snapshot.learned();
        to.writeStartArray(null, 9);
        to.writeString(snapshot.gateway());
        to.writeNumber(snapshot.settingsPrint());
        to.writeNumber(snapshot.generation());
        to.writeNumber(snapshot.wallMs());
        to.writeBoolean(snapshot.clean());
        to.writeNumber(learned.measuredSlots());
        to.writeNumber(learned.servedUnits());
        List<LearnedNode> nodes =
                learned.nodes().subList(0, Math.min(learned.nodes().size(), Snapshot.MOST_NODES));
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
    public static Snapshot decode(byte[] file) throws StateFault {
        if (file.length > MOST_BYTES) {
            throw new StateFault(MOST_BYTES, "the file is longer than " + MOST_BYTES + " bytes");
        }
        if (file.length < HEAD + TAIL) {
            throw new StateFault(file.length, "the file ends early: it has no whole head and checksum");
        }
        if (!Arrays.equals(file, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new StateFault(0, "this is not a state file of petrelstand");
        }
        ByteBuffer bytes = ByteBuffer.wrap(file);
        // A version that is not known may lay out all the rest in another way, so it is told first.
        int version = bytes.getShort(MAGIC.length) & 0xffff;
        if (version > VERSION) {
            throw new StateFault(
                    MAGIC.length, "version " + version + " is newer than " + VERSION + ", the newest that is read");
        }
        if (version < VERSION) {
            throw new StateFault(
                    MAGIC.length, "version " + version + " is older than " + VERSION + ", the oldest that is read");
        }
        int length = bytes.getInt(HEAD - Integer.BYTES);
        if (length != file.length - HEAD - TAIL) {
            throw new StateFault(
                    HEAD - Integer.BYTES,
                    "the head says " + length + " bytes of content, the file has " + (file.length - HEAD - TAIL));
        }
        int checksum = checksum(file, 0, HEAD + length);
        if (bytes.getInt(HEAD + length) != checksum) {
            throw new StateFault(
                    HEAD + length,
                    String.format(
                            "the checksum is %08x, the content's is %08x", bytes.getInt(HEAD + length), checksum));
        }
        if (bytes.getShort(MAGIC.length + Short.BYTES) != 0) {
            throw new StateFault(MAGIC.length + Short.BYTES, "the reserved bytes are not 0");
        }
        try (CBORParser from = CBOR.createParser(file, HEAD, length)) {
            Reader reader = new Reader(from);
            Snapshot snapshot = reader.snapshot();
            if (from.nextToken() != null) {
                throw reader.fault("something follows the snapshot");
            }
            return snapshot;
        } catch (IOException e) {
            throw new StateFault(
                    HEAD,
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

        StateFault fault(String what) {
            return new StateFault(Math.max(HEAD, from.currentTokenLocation().getByteOffset()), what);
        }

        Snapshot snapshot() throws IOException, StateFault {
            begin("the snapshot");
            String gateway = text("the gateway's name");
            long print = whole("the settings' print");
            long generation = whole("the generation");
            long wallMs = whole("the time");
            boolean clean = flag("the clean end");
            double slots = number("the slots of all nodes");
            double served = number("the units of all nodes");
            List<LearnedNode> nodes = new ArrayList<>();
            begin("the nodes");
            while (more("node", nodes.size(), Snapshot.MOST_NODES)) {
                nodes.add(new LearnedNode(
                        whole("a node's number"),
                        number("a node's start"),
                        number("a node's slots"),
                        number("a node's units"),
                        number("a node's window"),
                        number("a node's latency"),
                        number("a node's cold units"),
                        number("a node's silence")));
                end("a node");
            }
            List<LearnedVolume> volumes = new ArrayList<>();
            begin("the volumes");
            while (more("volume", volumes.size(), Policy.MAX_VOLUMES)) {
                volumes.add(new LearnedVolume(
                        whole("a volume's number"),
                        small("a volume's plan"),
                        small("a volume's set"),
                        number("a volume's part"),
                        number("a volume's limit"),
                        number("a volume's reserve"),
                        number("a volume's share")));
                end("a volume");
            }
            end("the snapshot");
            return new Snapshot(
                    gateway, print, generation, wallMs, clean, new LearnedState(wallMs, slots, served, nodes, volumes));
        }

        private void begin(String what) throws IOException, StateFault {
            if (from.nextToken() != JsonToken.START_ARRAY) {
                throw fault(what + ": a list is wanted here");
            }
        }

        private void end(String what) throws IOException, StateFault {
            if (from.nextToken() != JsonToken.END_ARRAY) {
                throw fault(what + " has more fields than it should");
            }
        }

        private boolean more(String what, int read, int most) throws IOException, StateFault {
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

        private String text(String what) throws IOException, StateFault {
            if (from.nextToken() != JsonToken.VALUE_STRING || from.getTextLength() > MOST_NAME) {
                throw fault(what + ": a text of at most " + MOST_NAME + " characters is wanted here");
            }
            return from.getText();
        }

        private long whole(String what) throws IOException, StateFault {
            if (from.nextToken() != JsonToken.VALUE_NUMBER_INT
                    || from.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
                throw fault(what + ": a whole number of 64 bits is wanted here");
            }
            return from.getLongValue();
        }

        private int small(String what) throws IOException, StateFault {
            long value = whole(what);
            if (value != (int) value) {
                throw fault(what + ": " + value + " is out of range");
            }
            return (int) value;
        }

        private double number(String what) throws IOException, StateFault {
            if (from.nextToken() != JsonToken.VALUE_NUMBER_FLOAT || !Double.isFinite(from.getDoubleValue())) {
                throw fault(what + ": a finite floating-point number is wanted here");
            }
            return from.getDoubleValue();
        }

        private boolean flag(String what) throws IOException, StateFault {
            JsonToken token = from.nextToken();
            if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
                throw fault(what + ": true or false is wanted here");
            }
            return token == JsonToken.VALUE_TRUE;
        }
    }
}
