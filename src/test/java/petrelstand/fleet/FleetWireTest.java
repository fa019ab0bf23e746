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
import petrelstand.testing.Harness;

/** What comes by the fleet's datagrams: only whole messages with the fleet's mark are taken, the rest is counted. */
class FleetWireTest {
    private static final byte[] OLD = HexFormat.of().parseHex("00112233445566778899aabbccddeeff");
    private static final byte[] NEW = HexFormat.of().parseHex("ffeeddccbbaa99887766554433221100");

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

    private static List<Envelope> all() {
        List<Member> news = new ArrayList<>();
        for (int i = 0; i < Message.MOST_NEWS; i++) {
            news.add(member(i));
        }
        news = news.subList(0, Message.fits(news, 0));
        List<Long> buckets = Collections.nCopies(Message.BUCKETS, Long.MIN_VALUE);
        return java.util.stream.Stream.of(
                        new Message.Ping(1, 2, news),
                        new Message.Ack(1, -2, "x", 9, news),
                        new Message.PingRequest(5, "x", "127.0.0.1:1"),
                        new Message.JoinRequest(6, member(1)),
                        new Message.JoinResponse(7, false, member(2), news),
                        new Message.JoinResponse(8, true, null, List.of()),
                        new Message.DigestBuckets(buckets, true),
                        new Message.Gossip(news))
                .map(m -> new Envelope("fleet", "a", 3, 4, "127.0.0.1:9", 5, m))
                .toList();
    }

    @Test
    void everyMessageComesBackAsItWasAndFitsOneDatagram() throws Exception {
        Seal seal = new Seal(List.of(OLD));
        for (Envelope one : all()) {
            byte[] datagram = seal.close(Codec.encode(one));
            assertTrue(datagram.length <= Seal.MOST, datagram.length + " of " + one);
            assertEquals(one, Codec.decode(new Seal(List.of(OLD)).open(ByteBuffer.wrap(datagram))));
        }
    }

    @Test
    void everyBitFlippedEveryLengthCutAndEveryOtherKeyIsRefused() {
        Seal seal = new Seal(List.of(OLD));
        byte[] good = seal.close(Codec.encode(all().get(0)));
        for (int bit = 0; bit < good.length * 8; bit++) {
            byte[] bad = good.clone();
            bad[bit / 8] ^= (byte) (1 << bit % 8);
            assertThrows(Seal.Refused.class, () -> seal.open(ByteBuffer.wrap(bad)));
        }
        for (int length = 0; length < good.length; length++) {
            ByteBuffer cut = ByteBuffer.wrap(good, 0, length);
            assertThrows(Seal.Refused.class, () -> seal.open(cut));
        }
        assertEquals(
                "key",
                assertThrows(Seal.Refused.class, () -> new Seal(List.of(NEW)).open(ByteBuffer.wrap(good)))
                        .getMessage());
        assertEquals(
                "long",
                assertThrows(Seal.Refused.class, () -> seal.open(ByteBuffer.wrap(new byte[Seal.MOST + 1])))
                        .getMessage());
        // While a key changes both are good; what is sent has the first.
        assertArrayEquals(Codec.encode(all().get(0)), open(new Seal(List.of(NEW, OLD)), good));
    }

    private static byte[] open(Seal seal, byte[] datagram) {
        try {
            return seal.open(ByteBuffer.wrap(datagram));
        } catch (Seal.Refused e) {
            throw new AssertionError(e.getMessage());
        }
    }

    /** Content that is marked as the fleet's, by a member that is broken: still never more than a refusal. */
    @Test
    void contentThatIsCutOrDamagedIsOneFault() {
        for (Envelope one : all()) {
            byte[] good = Codec.encode(one);
            for (int length = 0; length < good.length; length++) {
                byte[] cut = java.util.Arrays.copyOf(good, length);
                assertThrows(IOException.class, () -> Codec.decode(cut));
            }
            java.util.SplittableRandom random = new java.util.SplittableRandom(1);
            for (int i = 0; i < 2_000; i++) {
                byte[] bad = good.clone();
                bad[random.nextInt(bad.length)] = (byte) random.nextInt(256);
                try {
                    Envelope read = Codec.decode(bad);
                    assertTrue(read.senderName().length() <= Member.MAX_NAME_LENGTH);
                } catch (IOException e) {
                    // The other outcome; any other exception fails the test.
                }
            }
        }
    }

    @Test
    void aFloodOfForgedDatagramsIsCountedWithinBoundsAndHarmsNobody() throws Exception {
        ExecutorService loop = Executors.newSingleThreadExecutor();
        Map<String, Integer> counts = new TreeMap<>();
        List<Envelope> taken = Collections.synchronizedList(new ArrayList<>());
        try (Link link = new Link(
                        "127.0.0.1:0", List.of(OLD), loop, taken::add, what -> counts.merge(what, 1, Integer::sum));
                DatagramSocket socket = new DatagramSocket()) {
            link.start();
            byte[] good = new Seal(List.of(OLD)).close(Codec.encode(all().get(0)));
            byte[] forged = good.clone();
            forged[good.length - 1] ^= 1;
            byte[] foreign = new Seal(List.of(NEW)).close(Codec.encode(all().get(0)));
            for (int i = 1; i <= 300; i++) {
                for (byte[] datagram : List.of(forged, foreign, new byte[3], good)) {
                    socket.send(new DatagramPacket(
                            datagram, datagram.length, InetAddress.getByName("127.0.0.1"), link.port()));
                }
                // In step, so that no socket's buffer decides what is counted.
                for (int wait = 0; wait < 5_000 && taken.size() < i; wait++) {
                    Thread.sleep(1);
                }
            }
            assertEquals(300, taken.size());
        } finally {
            loop.shutdown();
            loop.awaitTermination(5, java.util.concurrent.TimeUnit.SECONDS);
        }
        assertEquals("{fleet.refused.forged=300, fleet.refused.form=300, fleet.refused.key=300}", counts.toString());
    }

    // ---- The operator's section ----

    @TempDir
    Path folder;

    private String fault(String section, String key, String permissions) throws IOException {
        Path file = Files.writeString(folder.resolve("fleet.key"), key);
        Files.setPosixFilePermissions(file, PosixFilePermissions.fromString(permissions));
        try {
            OperatorConfig.load(
                    new IniFile(folder.resolve("p.ini"), "[fleet]\n" + section),
                    new Harness().settings,
                    Files::readString);
            return "";
        } catch (IllegalArgumentException e) {
            return e.getMessage().replace(folder.toString() + "/", "");
        }
    }

    @Test
    void eachFaultOfTheSectionIsOneLineWithItsPlace() throws IOException {
        String good =
                "name = charts\nlisten = 127.0.0.1:7900\nkey = fleet.key\nseeds = 127.0.0.1:7901 127.0.0.1:7902\n";
        String key = "00112233445566778899aabbccddeeff\n";
        assertEquals("", fault(good, key, "rw-------"));
        assertEquals("", fault(good, "# old and new\n" + key + key, "rw-------"));
        assertEquals(
                "p.ini:2: [fleet] name is not a name of 1 to 64 letters, digits, '.', '_' or '-': 'a b'",
                fault("name = a b\nlisten = 127.0.0.1:1\nkey = fleet.key\n", key, "rw-------"));
        assertEquals(
                "p.ini:5: [fleet] seeds has what is not an address with a port: 'there'",
                fault(good.replace("127.0.0.1:7902", "there"), key, "rw-------"));
        assertEquals(
                "p.ini:4: [fleet] key names fleet.key, which others than its owner may read or write",
                fault(good, key, "rw-r--r--"));
        assertEquals(
                "p.ini:4: [fleet] key names fleet.key, line 1 of which is not in hex",
                fault(good, "secret\n", "rw-------"));
        assertEquals(
                "p.ini:4: [fleet] key names fleet.key, which must hold one or two keys of 32 to 128 hex digits,"
                        + " one a line",
                fault(good, "0011\n", "rw-------"));
        assertEquals(
                "p.ini:6: [fleet] suspect_after must be three times ping or more, fail_after twice, and retry no less",
                fault(good + "suspect_after = 300 ms\n", key, "rw-------"));
        assertEquals("p.ini:6: [fleet] szie is no key of this section", fault(good + "szie = 3\n", key, "rw-------"));
    }
}
