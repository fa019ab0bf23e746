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

/** Guards against stream parsing that calls a transfer complete too early or too late, or accepts invalid input. */
class TransferReadersTest {
    private static final TransferOptions PULL =
            TransferOptions.parse(List.of("--server", "--sender", "-logDtpr", ".", "charts/a"), "charts");
    private static final TransferOptions PUSH =
            TransferOptions.parse(List.of("--server", "-logDtpr", ".", "charts/a"), "charts");

    private static Transfer startedTransfer(TransferOptions options) {
        Transfer transfer = new Transfer("charts", new Transfer.ClientEnd() {
            @Override
            public void onModuleOpened() {}

            @Override
            public void relay(ByteBuffer bytes, Runnable onWritten) {}

            @Override
            public boolean isWriting() {
                return true;
            }
        });
        transfer.nodeOpened(new Transfer.NodeEnd() {
            @Override
            public void onTransferComplete() {}

            @Override
            public void startReading() {}

            @Override
            public void relay(ByteBuffer bytes, Runnable onWritten) {}

            @Override
            public boolean isWriting() {
                return true;
            }
        });
        transfer.start(options);
        return transfer;
    }

    private static void feedFromClient(Transfer transfer, byte[] bytes, int from, int to) {
        transfer.relayFromClient(ByteBuffer.wrap(bytes, from, to - from), () -> {});
    }

    private static void feedFromNode(Transfer transfer, byte[] bytes, int from, int to) {
        transfer.relayFromNode(ByteBuffer.wrap(bytes, from, to - from), () -> {});
    }

    @Test
    void isCompleteAfterBothGoldenStreams() {
        Transfer pull = startedTransfer(PULL);
        feedFromNode(pull, GoldenTransfers.pullFromNode(), 0, GoldenTransfers.pullFromNode().length);
        assertFalse(pull.isComplete());
        feedFromClient(pull, GoldenTransfers.pullFromClient(), 0, GoldenTransfers.pullFromClient().length);
        assertTrue(pull.isComplete());
        Transfer push = startedTransfer(PUSH);
        feedFromClient(push, GoldenTransfers.pushFromClient(), 0, GoldenTransfers.pushFromClient().length);
        assertFalse(push.isComplete());
        feedFromNode(push, GoldenTransfers.pushFromNode(), 0, GoldenTransfers.pushFromNode().length);
        assertTrue(push.isComplete());
    }

    /** However the streams are split into chunks, the transfer is complete after the last byte and not before. */
    @Property(tries = 400, seed = "20261203")
    void isCompleteOnlyAfterLastByteForAnyChunking(
            @ForAll boolean isPull,
            @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 90) Integer> chunkSizes) {
        Transfer transfer = startedTransfer(isPull ? PULL : PUSH);
        byte[] down = isPull ? GoldenTransfers.pullFromNode() : GoldenTransfers.pushFromNode();
        byte[] up = isPull ? GoldenTransfers.pullFromClient() : GoldenTransfers.pushFromClient();
        int downAt = 0;
        int upAt = 0;
        for (int i = 0; downAt < down.length || upAt < up.length; i++) {
            assertFalse(transfer.isComplete());
            int size = chunkSizes.get(i % chunkSizes.size());
            if (upAt < up.length && (i % 2 == 0 || downAt == down.length)) {
                feedFromClient(transfer, up, upAt, Math.min(up.length, upAt + size));
                upAt = Math.min(up.length, upAt + size);
            } else {
                feedFromNode(transfer, down, downAt, Math.min(down.length, downAt + size));
                downAt = Math.min(down.length, downAt + size);
            }
        }
        assertTrue(transfer.isComplete());
    }

    /** Random bytes cause no exception other than a protocol error with a message. */
    @Property(tries = 500, seed = "20261204")
    void randomBytesAreReadOrRejectedAsProtocolError(@ForAll boolean isPull, @ForAll @Size(max = 400) byte[] bytes) {
        Transfer transfer = startedTransfer(isPull ? PULL : PUSH);
        try {
            feedFromClient(transfer, bytes, 0, bytes.length);
            feedFromNode(transfer, bytes, 0, bytes.length);
        } catch (RecordReader.ProtocolException e) {
            assertTrue(e.getMessage().length() > 3);
        }
    }

    @Test
    void rejectsBytesAfterEndOfTransfer() {
        Transfer push = startedTransfer(PUSH);
        byte[] more = GoldenTransfers.join(GoldenTransfers.pushFromClient(), GoldenTransfers.hex("00"));
        assertThrows(RecordReader.ProtocolException.class, () -> feedFromClient(push, more, 0, more.length));
    }

    @Test
    void rejectsRecordAboveSizeLimit() {
        Transfer push = startedTransfer(PUSH);
        byte[] name = GoldenTransfers.join(GoldenTransfers.hex("40" + "00000001"), new byte[20_000]);
        assertThrows(RecordReader.ProtocolException.class, () -> feedFromClient(push, name, 0, name.length));
    }

    @Test
    void reportsFrameBoundaryOnlyBetweenFrames() {
        Transfer pull = startedTransfer(PULL);
        byte[] down = GoldenTransfers.pullFromNode();
        assertTrue(pull.isNodeStreamAtStart());
        feedFromNode(pull, down, 0, 4);
        assertTrue(pull.isAtFrameBoundary());
        feedFromNode(pull, down, 4, 30);
        assertFalse(pull.isAtFrameBoundary() || pull.isNodeStreamAtStart());
    }

    @Test
    void encodesErrorFrameAsDaemonDoes() {
        byte[] expected = GoldenTransfers.join(
                GoldenTransfers.hex("00000000"),
                GoldenTransfers.frame(3, "@ERROR: no\n".getBytes(StandardCharsets.UTF_8)));
        byte[] frame = new byte[expected.length];
        DaemonLines.errorFrame("no", true).get(frame);
        org.junit.jupiter.api.Assertions.assertArrayEquals(expected, frame);
    }

    @Test
    void rejectsUnsupportedOptionsAndPathsOutsideModule() {
        assertTrue(PULL.pull()
                && PULL.preserveUsers()
                && PULL.preserveGroups()
                && PULL.preserveDevices()
                && PULL.preserveLinks());
        assertFalse(PUSH.pull());
        String[][] cases = {
            {"-z", "option -z is not carried here"},
            {"--delete", "option --delete is not carried here"},
            {"--compress-choice=zstd", "option --compress-choice=zstd is not carried here"},
        };
        for (String[] testCase : cases) {
            String message = assertThrows(
                            RecordReader.ProtocolException.class,
                            () -> TransferOptions.parse(List.of("--server", testCase[0], ".", "charts/a"), "charts"))
                    .getMessage();
            assertEquals(testCase[1], message);
        }
        for (String path : List.of("other/a", "chartsx", "charts/../other", "/charts")) {
            assertThrows(
                    RecordReader.ProtocolException.class,
                    () -> TransferOptions.parse(List.of("--server", "-r", ".", path), "charts"),
                    path);
        }
        assertThrows(
                RecordReader.ProtocolException.class, () -> TransferOptions.parse(List.of("--server", "-r"), "charts"));
        assertTrue(
                TransferOptions.parse(List.of("--server", "--sender", "-vlogDtpre.iLsfxCIvu", ".", "charts/"), "charts")
                        .preserveLinks());
    }

    @Test
    void parsesVersionFromGreeting() {
        assertEquals(31, DaemonLines.parseVersion("@RSYNCD: 31.0 sha512 sha256 md5 md4"));
        assertEquals(28, DaemonLines.parseVersion("@RSYNCD: 28"));
        assertEquals(0, DaemonLines.parseVersion("SSH-2.0-x"));
        assertEquals(0, DaemonLines.parseVersion("@RSYNCD: x"));
    }
}
