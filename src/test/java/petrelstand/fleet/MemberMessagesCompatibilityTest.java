package petrelstand.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import petrelstand.agreement.RulesMessage;
import petrelstand.consensus.WireCodec;
import petrelstand.members.Member;
import petrelstand.members.MemberState;
import petrelstand.members.Message;
import petrelstand.members.Message.Envelope;
import petrelstand.testing.StoredFiles;

/**
 * Guards against datagrams that gateways of an earlier version can't read, or that this one can't read from them. The
 * messages are {@link #ENVELOPES} in order, each encoded by {@link MessageCodec} and signed by
 * {@link DatagramAuthenticator} with {@link #KEY}; the datagram about rules is {@link #RULES_ENVELOPE}, encoded by
 * {@link WireCodec} and sealed with the same key.
 */
class MemberMessagesCompatibilityTest {
    private static final String MEMBERS_FILE = "wire/member-messages.hex";
    private static final String RULES_FILE = "wire/rules-datagram.hex";
    private static final byte[] KEY = HexFormat.of().parseHex("00112233445566778899aabbccddeeff");

    private static final Member JOINING = new Member(
            "gateway-a",
            -7_000_000_001L,
            1_796_000_000_000_011L,
            "192.0.2.1:7001",
            MemberState.JOINING,
            "",
            1_796_000_000_021L,
            "0.1.0",
            List.of("rules"));
    private static final Member ALIVE = new Member(
            "gateway-b", 7_000_000_002L, 12, "192.0.2.2:7002", MemberState.ALIVE, "", 22, "0.2.0", List.of());
    private static final Member SUSPECT = new Member(
            "gateway-c",
            3,
            13,
            "[2001:db8::3]:7003",
            MemberState.SUSPECT,
            "gateway-b",
            23,
            "0.3.0",
            List.of("rules", "duties"));
    private static final Member LEAVING =
            new Member("gateway-d", 4, 14, "192.0.2.4:7004", MemberState.LEAVING, "", 24, "0.4.0", List.of("duties"));
    private static final Member FAILED =
            new Member("gateway-e", 5, 15, "192.0.2.5:7005", MemberState.FAILED, "gateway-c", 25, "0.5.0", List.of());
    private static final Member LEFT =
            new Member("gateway-f", 6, 16, "192.0.2.6:7006", MemberState.LEFT, "", 26, "0.6.0", List.of("x"));

    private static final List<Long> BUCKETS = List.of(
            Long.MIN_VALUE, -2L, 3L, 4L, 5L, 6L, 7L, 8L, 9L, 10L, 11L, 12L, 13L, 14L, 15_000_000_000L, Long.MAX_VALUE);

    private static Envelope envelope(long sequence, Message message) {
        return new Envelope(
                "coast", "gateway-a", -7_000_000_001L, 1_796_000_000_000_011L, "192.0.2.1:7001", sequence, message);
    }

    static final List<Envelope> ENVELOPES = List.of(
            envelope(31, new Message.Ping(41, -51, List.of(ALIVE, SUSPECT))),
            envelope(32, new Message.Ack(42, 52, "gateway-b", 62, List.of(LEAVING, FAILED, LEFT))),
            envelope(33, new Message.PingRequest(43, "gateway-c", "192.0.2.3:7003")),
            envelope(34, new Message.JoinRequest(44, JOINING)),
            envelope(35, new Message.JoinResponse(45, true, ALIVE, List.of(SUSPECT))),
            envelope(36, new Message.JoinResponse(46, false, null, List.of())),
            envelope(37, new Message.DigestBuckets(BUCKETS, true)),
            envelope(38, new Message.Gossip(List.of(FAILED, JOINING))));

    static final petrelstand.consensus.Envelope RULES_ENVELOPE = new petrelstand.consensus.Envelope(
            "coast", "gateway-a", "192.0.2.1:7001", 71, 72, null, new RulesMessage.GenerationAnswer(73, 74));

    static byte[] datagram(Envelope envelope) {
        return new DatagramAuthenticator(List.of(KEY)).sign(MessageCodec.encode(envelope));
    }

    static byte[] datagram(petrelstand.consensus.Envelope envelope) {
        return new DatagramAuthenticator(List.of(KEY))
                .sign(DatagramAuthenticator.RULES_MAGIC, WireCodec.encode(envelope));
    }

    @Test
    void memberMessagesAreReadAndWrittenAsBefore() throws Exception {
        List<byte[]> datagrams = StoredFiles.messages(MEMBERS_FILE);
        assertEquals(ENVELOPES.size(), datagrams.size());
        for (int i = 0; i < ENVELOPES.size(); i++) {
            byte[] datagram = datagrams.get(i);
            assertEquals(
                    DatagramAuthenticator.MEMBERSHIP_MAGIC, DatagramAuthenticator.magic(ByteBuffer.wrap(datagram)));
            Envelope read =
                    MessageCodec.decode(new DatagramAuthenticator(List.of(KEY)).verify(ByteBuffer.wrap(datagram)));
            assertEquals(ENVELOPES.get(i), read);
            assertArrayEquals(datagram, datagram(read));
        }
    }

    @Test
    void rulesDatagramIsReadAndWrittenAsBefore() throws Exception {
        byte[] datagram = StoredFiles.messages(RULES_FILE).get(0);
        assertEquals(DatagramAuthenticator.RULES_MAGIC, DatagramAuthenticator.magic(ByteBuffer.wrap(datagram)));
        petrelstand.consensus.Envelope read =
                WireCodec.decode(new DatagramAuthenticator(List.of(KEY)).verify(ByteBuffer.wrap(datagram)));
        assertEquals(RULES_ENVELOPE, read);
        assertArrayEquals(datagram, datagram(read));
    }
}
