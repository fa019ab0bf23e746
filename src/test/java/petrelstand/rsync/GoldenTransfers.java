package petrelstand.rsync;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/**
 * Reference bytes of transfers in protocol 29, written by hand from the published protocol: a directory and a file of
 * ten bytes sent without a basis file, with the options "-logDtpr".
 */
public final class GoldenTransfers {
    private GoldenTransfers() {}

    public static final String PULL_ARGUMENTS = "--server\n--sender\n-logDtpr\n.\ncharts/nord\n\n";
    public static final String PUSH_ARGUMENTS = "--server\n-logDtpr\n.\ncharts/nord\n\n";
    public static final byte[] CHECKSUM_SEED = hex("5a17c0de");

    /**
     * The file list: ".", then "s.txt" with the same owner and time; names of user 1000 and group 100; no I/O errors.
     */
    private static final byte[] FILE_LIST =
            hex("01" + "01" + "2e" + "00100000" + "80d45e65" + "ed410000" + "e8030000" + "64000000"
                    + "98" + "05" + "732e747874" + "0a000000" + "a4810000"
                    + "00"
                    + "e8030000" + "05" + "6b61726961" + "00000000"
                    + "64000000" + "05" + "7573657273" + "00000000"
                    + "00000000");
    /** File 1 with ITEM_TRANSFER, an empty checksum header, a token of ten bytes, the end of the file, a digest. */
    private static final byte[] FILE_DATA = hex("01000000" + "0080" + "00000000" + "00000000" + "00000000" + "00000000"
            + "0a000000" + "64657074683d31372e0a" + "00000000" + "000102030405060708090a0b0c0d0e0f");

    private static final byte[] NDX_DONE = hex("ffffffff");
    private static final byte[] STATISTICS =
            hex("60000000" + "b4000000" + "0a000000" + "01000000" + "ffffffff" + "0000000001000000");

    /** The receiver's request for file 1 with an empty checksum header. */
    private static final byte[] FILE_REQUEST =
            hex("01000000" + "0080" + "00000000" + "00000000" + "00000000" + "00000000");

    /** Bytes of the daemon after the arguments of a pull: the seed, then frames, one of them a message. */
    public static byte[] pullFromNode() {
        return join(
                CHECKSUM_SEED,
                frame(0, FILE_LIST),
                frame(2, "motd\n".getBytes(StandardCharsets.UTF_8)),
                frame(0, FILE_DATA),
                frame(0, join(NDX_DONE, NDX_DONE, NDX_DONE, STATISTICS)));
    }

    /** Bytes of the daemon for a pull up to its data, then the start of one token of a gigabyte. */
    public static byte[] pullWithEndlessFile() {
        byte[] endlessToken = hex("01000000" + "0080" + "00000000" + "00000000" + "00000000" + "00000000" + "00000040");
        return join(CHECKSUM_SEED, frame(0, FILE_LIST), hex("1a000007"), endlessToken);
    }

    /** Bytes of the client after the arguments of a pull: no filters, a file request, three phases, the goodbye. */
    public static byte[] pullFromClient() {
        return join(hex("00000000"), FILE_REQUEST, NDX_DONE, NDX_DONE, NDX_DONE, NDX_DONE);
    }

    /** Bytes of the client after the arguments of a push. */
    public static byte[] pushFromClient() {
        return join(FILE_LIST, FILE_DATA, NDX_DONE, NDX_DONE, NDX_DONE);
    }

    /** Bytes of the daemon after the arguments of a push. */
    public static byte[] pushFromNode() {
        return join(CHECKSUM_SEED, frame(0, join(FILE_REQUEST, NDX_DONE, NDX_DONE, NDX_DONE)), frame(0, NDX_DONE));
    }

    static byte[] frame(int code, byte[] bytes) {
        return ByteBuffer.allocate(4 + bytes.length)
                .order(ByteOrder.LITTLE_ENDIAN)
                .putInt(7 + code << 24 | bytes.length)
                .put(bytes)
                .array();
    }

    public static byte[] join(byte[]... parts) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            joined.writeBytes(part);
        }
        return joined.toByteArray();
    }

    public static byte[] hex(String text) {
        return HexFormat.of().parseHex(text);
    }
}
