package petrelstand.rsync;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * Bytes of transfers in protocol 29, laid out by hand from the published protocol: a directory and a file of ten bytes
 * sent whole, with the options "-logDtpr".
 */
public final class GoldenTransfers {
    private GoldenTransfers() {}

    public static final String PULL_ARGUMENTS = "--server\n--sender\n-logDtpr\n.\ncharts/nord\n\n";
    public static final String PUSH_ARGUMENTS = "--server\n-logDtpr\n.\ncharts/nord\n\n";
    public static final byte[] CHECKSUM_SEED = hex("5a17c0de");

    /** The file list: ".", then "s.txt" with the same owner and time; names of user 1000 and group 100; no errors. */
    private static final byte[] FILES =
            hex("01" + "01" + "2e" + "00100000" + "80d45e65" + "ed410000" + "e8030000" + "64000000"
                    + "98" + "05" + "732e747874" + "0a000000" + "a4810000"
                    + "00"
                    + "e8030000" + "05" + "6b61726961" + "00000000"
                    + "64000000" + "05" + "7573657273" + "00000000"
                    + "00000000");
    /** File 1 with ITEM_TRANSFER, sums of nothing, one token of ten bytes, the end, and a digest. */
    private static final byte[] DATA = hex("01000000" + "0080" + "00000000" + "00000000" + "00000000" + "00000000"
            + "0a000000" + "64657074683d31372e0a" + "00000000" + "000102030405060708090a0b0c0d0e0f");

    private static final byte[] DONE = hex("ffffffff");
    private static final byte[] FIGURES =
            hex("60000000" + "b4000000" + "0a000000" + "01000000" + "ffffffff" + "0000000001000000");

    /** The receiver's request for file 1, sums of nothing. */
    private static final byte[] REQUEST = hex("01000000" + "0080" + "00000000" + "00000000" + "00000000" + "00000000");

    /** What a daemon sends on a pull after the arguments: seed, then frames; with a message frame in between. */
    public static byte[] pullFromNode() {
        return join(
                CHECKSUM_SEED,
                frame(0, FILES),
                frame(2, "motd\n".getBytes(StandardCharsets.UTF_8)),
                frame(0, DATA),
                frame(0, join(DONE, DONE, DONE, FIGURES)));
    }

    /** What a client sends on a pull after the arguments: no filters, the request, three phases, the goodbye. */
    public static byte[] pullFromClient() {
        return join(hex("00000000"), REQUEST, DONE, DONE, DONE, DONE);
    }

    /** What a client sends on a push after the arguments. */
    public static byte[] pushFromClient() {
        return join(FILES, DATA, DONE, DONE, DONE);
    }

    /** What a daemon sends on a push. */
    public static byte[] pushFromNode() {
        return join(CHECKSUM_SEED, frame(0, join(REQUEST, DONE, DONE, DONE)), frame(0, DONE));
    }

    static byte[] frame(int code, byte[] bytes) {
        return ByteBuffer.allocate(4 + bytes.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(7 + code << 24 | bytes.length)
                .put(bytes)
                .array();
    }

    public static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    public static byte[] hex(String text) {
        return HexFormat.of().parseHex(text);
    }
}
