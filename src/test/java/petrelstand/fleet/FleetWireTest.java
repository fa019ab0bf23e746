package petrelstand.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import petrelstand.config.IniFile;
import petrelstand.config.OperatorConfig;
import petrelstand.members.Member;
import petrelstand.members.MemberState;
import petrelstand.members.Message;
import petrelstand.members.Message.Envelope;
import petrelstand.testing.BrokerFixture;

/** Tests that only complete messages signed with the fleet's key are accepted, and errors of the [fleet] section. */
class FleetWireTest {
    private static final byte[] OLD_KEY = HexFormat.of().parseHex("00112233445566778899aabbccddeeff");
    private static final byte[] NEW_KEY = HexFormat.of().parseHex("ffeeddccbbaa99887766554433221100");

    private static Member member(int i) {
        return new Member(
                "gateway-" + i,
                -7L * i,
                1L << 50,
                "127.0.0.1:" + (7000 + i),
                MemberState.SUSPECT,
                "by" + i,
                1_796_000_000_000L,
                "0.1.0",
                List.of("rules", "duties"));
    }

    private static List<Envelope> sampleEnvelopes() {
        List<Member> updates = new ArrayList<>();
        for (int i = 0; i < Message.MAX_UPDATES; i++) {
            updates.add(member(i));
        }
        updates = updates.subList(0, Message.countFitting(updates, 0));
        List<Long> buckets = Collections.nCopies(Message.DIGEST_BUCKET_COUNT, Long.MIN_VALUE);
        return java.util.stream.Stream.of(
                        new Message.Ping(1, 2, updates),
                        new Message.Ack(1, -2, "x", 9, updates),
                        new Message.PingRequest(5, "x", "127.0.0.1:1"),
                        new Message.JoinRequest(6, member(1)),
                        new Message.JoinResponse(7, false, member(2), updates),
                        new Message.JoinResponse(8, true, null, List.of()),
                        new Message.DigestBuckets(buckets, true),
                        new Message.Gossip(updates))
                .map(m -> new Envelope("fleet", "a", 3, 4, "127.0.0.1:9", 5, m))
                .toList();
    }

    @Test
    void messagesRoundTripWithinOneDatagram() throws Exception {
        DatagramAuthenticator authenticator = new DatagramAuthenticator(List.of(OLD_KEY));
        for (Envelope envelope : sampleEnvelopes()) {
            byte[] datagram = authenticator.sign(MessageCodec.encode(envelope));
            assertTrue(
                    datagram.length <= DatagramAuthenticator.MAX_DATAGRAM_BYTES, datagram.length + " of " + envelope);
            assertEquals(
                    envelope,
                    MessageCodec.decode(new DatagramAuthenticator(List.of(OLD_KEY)).verify(ByteBuffer.wrap(datagram))));
        }
    }

    @Test
    void refusesChangedTruncatedAndForeignDatagrams() {
        DatagramAuthenticator authenticator = new DatagramAuthenticator(List.of(OLD_KEY));
        byte[] good = authenticator.sign(MessageCodec.encode(sampleEnvelopes().get(0)));
        for (int bit = 0; bit < good.length * 8; bit++) {
            byte[] bad = good.clone();
            bad[bit / 8] ^= (byte) (1 << bit % 8);
            assertThrows(
                    DatagramAuthenticator.RefusedDatagramException.class,
                    () -> authenticator.verify(ByteBuffer.wrap(bad)));
        }
        for (int length = 0; length < good.length; length++) {
            ByteBuffer cut = ByteBuffer.wrap(good, 0, length);
            assertThrows(DatagramAuthenticator.RefusedDatagramException.class, () -> authenticator.verify(cut));
        }
        assertEquals(
                "key",
                assertThrows(
                                DatagramAuthenticator.RefusedDatagramException.class,
                                () -> new DatagramAuthenticator(List.of(NEW_KEY)).verify(ByteBuffer.wrap(good)))
                        .getMessage());
        assertEquals(
                "long",
                assertThrows(
                                DatagramAuthenticator.RefusedDatagramException.class,
                                () -> authenticator.verify(
                                        ByteBuffer.wrap(new byte[DatagramAuthenticator.MAX_DATAGRAM_BYTES + 1])))
                        .getMessage());
        // During a key rotation both keys are accepted.
        assertArrayEquals(
                MessageCodec.encode(sampleEnvelopes().get(0)),
                open(new DatagramAuthenticator(List.of(NEW_KEY, OLD_KEY)), good));
    }

    private static byte[] open(DatagramAuthenticator authenticator, byte[] datagram) {
        try {
            return authenticator.verify(ByteBuffer.wrap(datagram));
        } catch (DatagramAuthenticator.RefusedDatagramException e) {
            throw new AssertionError(e.getMessage());
        }
    }

    /** Guards against damaged content of an authenticated member that causes anything but an IOException. */
    @Test
    void truncatedOrDamagedContentThrowsOnlyIoException() {
        for (Envelope envelope : sampleEnvelopes()) {
            byte[] good = MessageCodec.encode(envelope);
            for (int length = 0; length < good.length; length++) {
                byte[] cut = java.util.Arrays.copyOf(good, length);
                assertThrows(IOException.class, () -> MessageCodec.decode(cut));
            }
            java.util.SplittableRandom random = new java.util.SplittableRandom(1);
            for (int i = 0; i < 2_000; i++) {
                byte[] bad = good.clone();
                bad[random.nextInt(bad.length)] = (byte) random.nextInt(256);
                try {
                    Envelope read = MessageCodec.decode(bad);
                    assertTrue(read.senderName().length() <= Member.MAX_NAME_LENGTH);
                } catch (IOException e) {
                    // Allowed; any other exception fails the test.
                }
            }
        }
    }

    @Test
    void forgedDatagramsAreCountedAndGenuineOnesDelivered() throws Exception {
        ExecutorService loop = Executors.newSingleThreadExecutor();
        Map<String, Integer> counts = new TreeMap<>();
        List<Envelope> received = Collections.synchronizedList(new ArrayList<>());
        try (DatagramTransport transport = new DatagramTransport(
                        "127.0.0.1:0",
                        List.of(OLD_KEY),
                        loop,
                        received::add,
                        counter -> counts.merge(counter, 1, Integer::sum));
                DatagramSocket socket = new DatagramSocket()) {
            transport.start();
            byte[] good = new DatagramAuthenticator(List.of(OLD_KEY))
                    .sign(MessageCodec.encode(sampleEnvelopes().get(0)));
            byte[] forged = good.clone();
            forged[good.length - 1] ^= 1;
            byte[] foreign = new DatagramAuthenticator(List.of(NEW_KEY))
                    .sign(MessageCodec.encode(sampleEnvelopes().get(0)));
            for (int i = 1; i <= 300; i++) {
                for (byte[] datagram : List.of(forged, foreign, new byte[3], good)) {
                    socket.send(new DatagramPacket(
                            datagram, datagram.length, InetAddress.getByName("127.0.0.1"), transport.port()));
                }
                // Waits for each message, so that no datagram is lost in a socket buffer.
                for (int wait = 0; wait < 5_000 && received.size() < i; wait++) {
                    Thread.sleep(1);
                }
            }
            assertEquals(300, received.size());
        } finally {
            loop.shutdown();
            loop.awaitTermination(5, java.util.concurrent.TimeUnit.SECONDS);
        }
        assertEquals("{fleet.refused.forged=300, fleet.refused.form=300, fleet.refused.key=300}", counts.toString());
    }

    // ---- The [fleet] section of the operator's file ----

    @TempDir
    Path folder;

    private String configError(String section, String key, String permissions) throws IOException {
        Path file = Files.writeString(folder.resolve("fleet.key"), key);
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString(permissions));
        try {
            OperatorConfig.load(
                    new IniFile(folder.resolve("p.ini"), "[fleet]\n" + section),
                    new BrokerFixture().settings,
                    Files::readString);
            return "";
        } catch (IllegalArgumentException e) {
            return e.getMessage().replace(folder.toString() + "/", "");
        }
    }

    @Test
    void fleetSectionErrorsNameFileLineAndKey() throws IOException {
        String good =
                "name = charts\nlisten = 127.0.0.1:7900\nkey = fleet.key\nseeds = 127.0.0.1:7901 127.0.0.1:7902\n";
        String key = "00112233445566778899aabbccddeeff\n";
        assertEquals("", configError(good, key, "rw-------"));
        assertEquals("", configError(good, "# old and new\n" + key + key, "rw-------"));
        assertEquals(
                "p.ini:2: [fleet] name is not a name of 1 to 64 letters, digits, '.', '_' or '-': 'a b'",
                configError("name = a b\nlisten = 127.0.0.1:1\nkey = fleet.key\n", key, "rw-------"));
        assertEquals(
                "p.ini:5: [fleet] seeds has what is not an address with a port: 'there'",
                configError(good.replace("127.0.0.1:7902", "there"), key, "rw-------"));
        assertEquals(
                "p.ini:4: [fleet] key names fleet.key, which others than its owner may read or write",
                configError(good, key, "rw-r--r--"));
        assertEquals(
                "p.ini:4: [fleet] key names fleet.key, line 1 of which is not in hex",
                configError(good, "secret\n", "rw-------"));
        assertEquals(
                "p.ini:4: [fleet] key names fleet.key, which must hold one or two keys of 32 to 128 hex digits,"
                        + " one a line",
                configError(good, "0011\n", "rw-------"));
        assertEquals(
                "p.ini:6: [fleet] suspect_after must be three times ping or more, fail_after twice, and retry no less",
                configError(good + "suspect_after = 300 ms\n", key, "rw-------"));
        assertEquals(
                "p.ini:6: [fleet] szie is no key of this section", configError(good + "szie = 3\n", key, "rw-------"));
    }
}
