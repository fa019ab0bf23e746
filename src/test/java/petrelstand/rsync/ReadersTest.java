package petrelstand.rsync;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** The readers of a transfer's two directions, on bytes of the published protocol. */
class ReadersTest {
    private static final Options PULL =
            Options.parse(List.of("--server", "--sender", "-logDtpr", ".", "charts/a"), "charts");
    private static final Options PUSH = Options.parse(List.of("--server", "-logDtpr", ".", "charts/a"), "charts");

    private static Transfer transfer(Options options) {
        Transfer transfer = new Transfer("charts", new Transfer.ClientEnd() {
            @Override
            public void taken() {}

            @Override
            public void relay(ByteBuffer bytes, Runnable left) {}

            @Override
            public boolean isWriting() {
                return true;
            }
        });
        transfer.opened(new Transfer.NodeEnd() {
            @Override
            public void finished() {}

            @Override
            public void begin() {}

            @Override
            public void relay(ByteBuffer bytes, Runnable left) {}

            @Override
            public boolean isWriting() {
                return true;
            }
        });
        transfer.begin(options);
        return transfer;
    }

    private static void up(Transfer transfer, byte[] bytes, int from, int to) {
        transfer.up(ByteBuffer.wrap(bytes, from, to - from), () -> {});
    }

    private static void down(Transfer transfer, byte[] bytes, int from, int to) {
        transfer.down(ByteBuffer.wrap(bytes, from, to - from), () -> {});
    }

    @Test
    void goldenTransfersEndWhole() {
        Transfer pull = transfer(PULL);
        down(pull, GoldenTransfers.pullFromNode(), 0, GoldenTransfers.pullFromNode().length);
        assertFalse(pull.whole());
        up(pull, GoldenTransfers.pullFromClient(), 0, GoldenTransfers.pullFromClient().length);
        assertTrue(pull.whole());
        Transfer push = transfer(PUSH);
        up(push, GoldenTransfers.pushFromClient(), 0, GoldenTransfers.pushFromClient().length);
        assertFalse(push.whole());
        down(push, GoldenTransfers.pushFromNode(), 0, GoldenTransfers.pushFromNode().length);
        assertTrue(push.whole());
    }

    /** However the bytes are cut, a transfer is whole with the last byte and never before it. */
    @Property(tries = 400, seed = "20261203")
    void aTransferIsWholeWithItsLastByteOnly(
            @ForAll boolean pulls, @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 90) Integer> cuts) {
        Transfer transfer = transfer(pulls ? PULL : PUSH);
        byte[] down = pulls ? GoldenTransfers.pullFromNode() : GoldenTransfers.pushFromNode();
        byte[] up = pulls ? GoldenTransfers.pullFromClient() : GoldenTransfers.pushFromClient();
        int downAt = 0;
        int upAt = 0;
        for (int i = 0; downAt < down.length || upAt < up.length; i++) {
            assertFalse(transfer.whole());
            int size = cuts.get(i % cuts.size());
            if (upAt < up.length && (i % 2 == 0 || downAt == down.length)) {
                up(transfer, up, upAt, Math.min(up.length, upAt + size));
                upAt = Math.min(up.length, upAt + size);
            } else {
                down(transfer, down, downAt, Math.min(down.length, downAt + size));
                downAt = Math.min(down.length, downAt + size);
            }
        }
        assertTrue(transfer.whole());
    }

    /** Any bytes at all are read or called malformed; no other fault, and what is kept is bounded. */
    @Property(tries = 500, seed = "20261204")
    void anyBytesAreReadOrMalformed(@ForAll boolean pulls, @ForAll @Size(max = 400) byte[] bytes) {
        Transfer transfer = transfer(pulls ? PULL : PUSH);
        try {
            up(transfer, bytes, 0, bytes.length);
            down(transfer, bytes, 0, bytes.length);
        } catch (RecordReader.Malformed e) {
            assertTrue(e.getMessage().length() > 3);
        }
    }

    @Test
    void bytesAfterTheEndAreMalformed() {
        Transfer push = transfer(PUSH);
        byte[] more = GoldenTransfers.join(GoldenTransfers.pushFromClient(), GoldenTransfers.hex("00"));
        assertThrows(RecordReader.Malformed.class, () -> up(push, more, 0, more.length));
    }

    @Test
    void aRecordThatGrowsWithoutEndIsMalformed() {
        Transfer push = transfer(PUSH);
        byte[] name = GoldenTransfers.join(GoldenTransfers.hex("40" + "00000001"), new byte[20_000]);
        assertThrows(RecordReader.Malformed.class, () -> up(push, name, 0, name.length));
    }

    @Test
    void anErrorCanBePutInBetweenFramesOnly() {
        Transfer pull = transfer(PULL);
        byte[] down = GoldenTransfers.pullFromNode();
        assertTrue(pull.untouched());
        down(pull, down, 0, 4);
        assertTrue(pull.atFrame());
        down(pull, down, 4, 30);
        assertFalse(pull.atFrame() || pull.untouched());
    }

    @Test
    void anErrorFrameHasTheServersForm() {
        byte[] expected =
                GoldenTransfers.join(GoldenTransfers.hex("00000000"), GoldenTransfers.frame(3, "@ERROR: no\n".getBytes(StandardCharsets.UTF_8)));
        byte[] frame = new byte[expected.length];
        Lines.errorFrame("no", true).get(frame);
        org.junit.jupiter.api.Assertions.assertArrayEquals(expected, frame);
    }

    @Test
    void optionsOutsideTheSubsetAreNamed() {
        assertTrue(PULL.pull() && PULL.users() && PULL.groups() && PULL.devices() && PULL.links());
        assertFalse(PUSH.pull());
        String[][] cases = {
            {"-z", "option -z is not carried here"},
            {"--delete", "option --delete is not carried here"},
            {"--compress-choice=zstd", "option --compress-choice=zstd is not carried here"},
        };
        for (String[] one : cases) {
            String message = assertThrows(
                            RecordReader.Malformed.class,
                            () -> Options.parse(List.of("--server", one[0], ".", "charts/a"), "charts"))
                    .getMessage();
            assertEquals(one[1], message);
        }
        for (String path : List.of("other/a", "chartsx", "charts/../other", "/charts")) {
            assertThrows(
                    RecordReader.Malformed.class,
                    () -> Options.parse(List.of("--server", "-r", ".", path), "charts"),
                    path);
        }
        assertThrows(RecordReader.Malformed.class, () -> Options.parse(List.of("--server", "-r"), "charts"));
        assertTrue(Options.parse(List.of("--server", "--sender", "-vlogDtpre.iLsfxCIvu", ".", "charts/"), "charts")
                .links());
    }

    @Test
    void aGreetingTellsItsVersion() {
        assertEquals(31, Lines.version("@RSYNCD: 31.0 sha512 sha256 md5 md4"));
        assertEquals(28, Lines.version("@RSYNCD: 28"));
        assertEquals(0, Lines.version("SSH-2.0-x"));
        assertEquals(0, Lines.version("@RSYNCD: x"));
    }
}
