package petrelstand.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import petrelstand.config.SettingsReader;
import petrelstand.decision.Scheduling.Effect;
import petrelstand.decision.Scheduling.Settings;

/** Tests well-formed and malformed frames and settings of the simulator's protocol. */
class SimulatorWireTest {
    private static final String SETTINGS = """
            balancers=2
            index=0
            period_ms=2.0
            discovery=push
            caps.most_tries=3
            caps.retry_after=true
            caps.max_retry_after_ms=900.0
            classes.count=1
            classes.0.name=fetch
            classes.0.aim_ms=300.0
            classes.0.hard_limit_ms=900.0
            classes.0.semantics=once
            plans.count=1
            plans.0.rate=3.5
            plans.0.reservation=1.5
            extra.unit_mean=2.0
            extra.units_top=8
            rules.grace_to_answer_ms=8.0
            new.key.of.later=yes
            """;

    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
    }

    private static byte[] batch(double clockMs, int records, byte[]... parts) {
        int length = 16;
        for (byte[] part : parts) {
            length += part.length;
        }
        ByteBuffer frame =
                ByteBuffer.allocate(length).putInt(records).putInt(length).putDouble(clockMs);
        for (byte[] part : parts) {
            frame.put(part);
        }
        return frame.array();
    }

    private static byte[] instanceStarted(String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(17 + text.length)
                .put((byte) 20)
                .putInt(4)
                .putLong(99)
                .putInt(text.length)
                .put(text)
                .array();
    }

    private static byte[] runHost(byte[]... frames) throws IOException {
        ByteArrayOutputStream input = new ByteArrayOutputStream();
        for (byte[] frame : frames) {
            input.write(frame);
        }
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        new SimulatorHost().run(new ByteArrayInputStream(input.toByteArray()), output);
        return output.toByteArray();
    }

    private static String errorMessage(byte[]... frames) {
        return assertThrows(SimulatorProtocolException.class, () -> runHost(frames))
                .getMessage();
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws IOException {
        assertArrayEquals(hex("00000004"), runHost(batch(500, 0)));
    }

    @Test
    void requestIsSentToANodeOfItsShard() throws IOException {
        byte[] nodes = hex("19 00000004 00000001 02 00000001" + "0000abcd 0000 00 0003 01 3f800000 0000000000000000");
        byte[] request = hex("15 00000004 00000007 0000 00000000 0000000000000001 408c200000000000"
                + "0000000000000009 40000000 40400000 3f800000 0000");
        byte[] output = runHost(batch(1000, 2, instanceStarted(SETTINGS), nodes), batch(1002, 1, request));
        ByteBuffer replies = ByteBuffer.wrap(output);
        byte[] first = new byte[replies.getInt(0)];
        replies.get(first);
        assertArrayEquals(hex("00000004"), first);
        byte[] second = new byte[replies.getInt(replies.position())];
        replies.get(second);
        assertTrue(
                HexFormat.of().formatHex(second).endsWith("1000000004" + "00000007" + "0000000000000000" + "0000abcd"));
        assertEquals(0, replies.remaining());
    }

    @Test
    void equalBatchesGiveEqualReplies() throws IOException {
        byte[] start = batch(1000, 1, instanceStarted(SETTINGS));
        byte[] timerFired = batch(1050, 1, hex("13 00000004 ffffffffffffffff"));
        assertArrayEquals(runHost(start, timerFired), runHost(start, timerFired));
    }

    @Test
    void settingsAreParsedAndUnknownKeysIgnored() {
        Settings settings = SettingsReader.parse(SETTINGS);
        assertEquals(2, settings.hosts());
        assertEquals(Effect.UNSAFE, settings.classes().get(0).effect());
        assertEquals(300, settings.classes().get(0).aimMs());
        assertEquals(1.5, settings.plans().get(0).reserve());
        assertEquals(-1, settings.rules().freeFurther());
    }

    @Test
    void missingOrMalformedSettingIsNamed() {
        assertTrue(errorMessage(batch(0, 1, instanceStarted(SETTINGS.replace("balancers=2\n", ""))))
                .contains("balancers is missing"));
        assertTrue(errorMessage(batch(0, 1, instanceStarted(SETTINGS.replace("aim_ms=300.0", "aim_ms=soon"))))
                .contains("classes.0.aim_ms is not a number"));
        assertTrue(errorMessage(batch(0, 1, instanceStarted(SETTINGS.replace("=once", "=twice"))))
                .contains("classes.0.semantics"));
        assertTrue(errorMessage(batch(0, 1, instanceStarted(SETTINGS.replace("balancers=2", "balancers=0"))))
                .contains("hosts"));
    }

    @Test
    void malformedFrameIsRejectedWithItsPosition() {
        assertTrue(errorMessage(hex("000000")).contains("ends inside a frame"));
        assertTrue(errorMessage(hex("00000000 00000004 0000000000000000")).contains("frame length 4"));
        assertTrue(errorMessage(hex("00000000 7fffffff 0000000000000000")).contains("frame length 2147483647"));
        assertTrue(errorMessage(batch(0, 1, hex("63 00000004"))).contains("unknown code 99"));
        assertTrue(errorMessage(batch(0, 1, hex("13 00000004"))).contains("ends inside it"));
        assertTrue(errorMessage(batch(0, 0, hex("13"))).contains("1 bytes left"));
        assertTrue(errorMessage(batch(0, 1, hex("14 00000004 0000000000000001 7fffffff")))
                .contains("ends inside it"));
    }

    @Test
    void wirehostExitsWithOneErrorLineOnMalformedInput() throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        Path.of("target", "classes").toString(),
                        "petrelstand.Main",
                        "wirehost")
                .start();
        process.getOutputStream().write(batch(0, 0));
        process.getOutputStream().write(batch(0, 1, hex("63 00000004")));
        process.getOutputStream().close();
        byte[] output = process.getInputStream().readAllBytes();
        String error = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(1, process.waitFor());
        assertArrayEquals(hex("00000004"), output);
        assertEquals("petrelstand: record 0 at byte 16: unknown code 99", error.strip());
    }

    @Test
    void actionsAreEncodedInTheirWireFormat() throws IOException {
        SimulatorCodec codec = new SimulatorCodec();
        codec.refuse(3, 0x5d3a91c4L, 80);
        codec.fail(3, 7);
        codec.cancel(3, 7, 1);
        codec.probe(3, 9);
        codec.sendPeerMessage(3, -1, new byte[] {1, 2});
        codec.subscribeToNodes(3);
        codec.reportFault(3, "no");
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        codec.flush(output);
        assertArrayEquals(
                hex("0000004c"
                        + "11 00000003 5d3a91c4 4054000000000000"
                        + "12 00000003 00000007"
                        + "13 00000003 00000007 0001"
                        + "15 00000003 00000009"
                        + "17 00000003 ffff 0002 0102"
                        + "1a 00000003 01"
                        + "19 00000003 0002 6e6f"),
                output.toByteArray());
    }
}
