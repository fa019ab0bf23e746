package petrelstand.fleet;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import petrelstand.cbor.CborReader;
import petrelstand.members.Member;
import petrelstand.members.MemberState;
import petrelstand.members.Message;
import petrelstand.members.Message.Ack;
import petrelstand.members.Message.DigestBuckets;
import petrelstand.members.Message.Envelope;
import petrelstand.members.Message.Gossip;
import petrelstand.members.Message.JoinRequest;
import petrelstand.members.Message.JoinResponse;
import petrelstand.members.Message.Ping;
import petrelstand.members.Message.PingRequest;

/**
 * Messages as CBOR (RFC 8949) by Jackson: one array each, its layout in docs/design/members.md. Read token by token, so
 * that nothing is built that the form does not have; texts and lists beyond their bounds are malformed.
 */
final class Codec {
    /** A change of the layout gets another number, and members of both refuse each other in one line. */
    static final int VERSION = 2;

    private static final CBORFactory CBOR = new CBORFactory();
    private static final int PING = 1, ACK = 2, ASK = 3, JOIN = 4, ANSWER = 5, DIGESTS = 6, NEWS = 7;
    private static final MemberState[] STATES = MemberState.values();

    private Codec() {}

    static byte[] encode(Envelope envelope) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (CBORGenerator to = CBOR.createGenerator(bytes)) {
            to.writeStartArray();
            to.writeNumber(VERSION);
            to.writeString(envelope.fleet());
            to.writeString(envelope.senderName());
            to.writeNumber(envelope.senderBootId());
            to.writeNumber(envelope.senderIncarnation());
            to.writeString(envelope.senderAddress());
            to.writeNumber(envelope.sequence());
            write(to, envelope.message());
            to.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException("an array in memory takes all that is written to it", e);
        }
        return bytes.toByteArray();
    }

    private static void write(CBORGenerator to, Message message) throws IOException {
        if (message instanceof Ping ping) {
            to.writeNumber(PING);
            to.writeNumber(ping.nonce());
            to.writeNumber(ping.digest());
            write(to, ping.news());
        } else if (message instanceof Ack ack) {
            to.writeNumber(ACK);
            to.writeNumber(ack.nonce());
            to.writeNumber(ack.digest());
            to.writeString(ack.of());
            to.writeNumber(ack.ofBoot());
            write(to, ack.news());
        } else if (message instanceof PingRequest ask) {
            to.writeNumber(ASK);
            to.writeNumber(ask.nonce());
            to.writeString(ask.name());
            to.writeString(ask.address());
        } else if (message instanceof JoinRequest join) {
            to.writeNumber(JOIN);
            to.writeNumber(join.nonce());
            write(to, List.of(join.self()));
        } else if (message instanceof JoinResponse answer) {
            to.writeNumber(ANSWER);
            to.writeNumber(answer.nonce());
            to.writeBoolean(answer.welcome());
            write(to, answer.holder() == null ? List.of() : List.of(answer.holder()));
            write(to, answer.some());
        } else if (message instanceof DigestBuckets digests) {
            to.writeNumber(DIGESTS);
            to.writeBoolean(digests.answer());
            to.writeStartArray();
            for (long bucket : digests.buckets()) {
                to.writeNumber(bucket);
            }
            to.writeEndArray();
        } else if (message instanceof Gossip news) {
            to.writeNumber(NEWS);
            write(to, news.news());
        }
    }

    private static void write(CBORGenerator to, List<Member> members) throws IOException {
        to.writeStartArray();
        for (Member member : members) {
            to.writeStartArray();
            to.writeString(member.name());
            to.writeNumber(member.bootId());
            to.writeNumber(member.incarnation());
            to.writeString(member.address());
            to.writeNumber(member.state().ordinal());
            to.writeString(member.accuser());
            to.writeNumber(member.startMs());
            to.writeString(member.programVersion());
            to.writeStartArray();
            for (String ability : member.abilities()) {
                to.writeString(ability);
            }
            to.writeEndArray();
            to.writeEndArray();
        }
        to.writeEndArray();
    }

    /** Reads a content whole; an IOException says that it is malformed, and where. */
    static Envelope decode(byte[] content) throws IOException {
        try (CborReader from = new CborReader(content)) {
            from.expect(JsonToken.START_ARRAY);
            long version = from.readLong();
            if (version != VERSION) {
                throw new IOException("form " + version + " is not " + VERSION);
            }
            String fleet = from.readText(Member.MAX_NAME_LENGTH);
            String name = from.readText(Member.MAX_NAME_LENGTH);
            long boot = from.readLong();
            long incarnation = from.readLong();
            String address = from.readText(Member.MAX_ADDRESS_LENGTH);
            long sequence = from.readLong();
            Message message = message(from, (int) from.readLong());
            from.expect(JsonToken.END_ARRAY);
            from.expectEnd();
            if (name.isEmpty() || incarnation < 0) {
                throw new IOException("a message of no sender");
            }
            return new Envelope(fleet, name, boot, incarnation, address, sequence, message);
        }
    }

    private static Message message(CborReader from, int kind) throws IOException {
        return switch (kind) {
            case PING -> new Ping(from.readLong(), from.readLong(), members(from, Message.MOST_NEWS));
            case ACK ->
                new Ack(
                        from.readLong(),
                        from.readLong(),
                        from.readText(Member.MAX_NAME_LENGTH),
                        from.readLong(),
                        members(from, Message.MOST_NEWS));
            case ASK ->
                new PingRequest(
                        from.readLong(),
                        from.readText(Member.MAX_NAME_LENGTH),
                        from.readText(Member.MAX_ADDRESS_LENGTH));
            case JOIN -> {
                long nonce = from.readLong();
                List<Member> self = members(from, 1);
                if (self.isEmpty()) {
                    throw new IOException("a joiner that does not say who it is");
                }
                yield new JoinRequest(nonce, self.get(0));
            }
            case ANSWER -> {
                long nonce = from.readLong();
                boolean welcome = from.readBoolean();
                List<Member> holder = members(from, 1);
                yield new JoinResponse(
                        nonce, welcome, holder.isEmpty() ? null : holder.get(0), members(from, Message.MOST_NEWS));
            }
            case DIGESTS -> {
                boolean answer = from.readBoolean();
                List<Long> buckets = new ArrayList<>();
                from.expect(JsonToken.START_ARRAY);
                for (int i = 0; i < Message.BUCKETS; i++) {
                    buckets.add(from.readLong());
                }
                from.expect(JsonToken.END_ARRAY);
                yield new DigestBuckets(buckets, answer);
            }
            case NEWS -> new Gossip(members(from, Message.MOST_NEWS));
            default -> throw new IOException("no message has the kind " + kind);
        };
    }

    private static List<Member> members(CborReader from, int most) throws IOException {
        return from.readList(most, () -> {
            String name = from.readText(Member.MAX_NAME_LENGTH);
            long boot = from.readLong();
            long incarnation = from.readLong();
            String address = from.readText(Member.MAX_ADDRESS_LENGTH);
            long state = from.readLong();
            if (name.isEmpty() || incarnation < 0 || state < 0 || state >= STATES.length) {
                throw new IOException("a claim without a name, or in no state");
            }
            return new Member(
                    name,
                    boot,
                    incarnation,
                    address,
                    STATES[(int) state],
                    from.readText(Member.MAX_NAME_LENGTH),
                    from.readLong(),
                    from.readText(Member.MAX_VERSION_LENGTH),
                    from.readTexts(Member.MAX_ABILITIES, Member.MAX_NAME_LENGTH));
        });
    }
}
