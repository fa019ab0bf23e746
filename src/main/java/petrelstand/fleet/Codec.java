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
import petrelstand.members.Message.Answer;
import petrelstand.members.Message.Ask;
import petrelstand.members.Message.Digests;
import petrelstand.members.Message.Envelope;
import petrelstand.members.Message.Join;
import petrelstand.members.Message.News;
import petrelstand.members.Message.Ping;

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
            to.writeString(envelope.name());
            to.writeNumber(envelope.boot());
            to.writeNumber(envelope.incarnation());
            to.writeString(envelope.address());
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
        } else if (message instanceof Ask ask) {
            to.writeNumber(ASK);
            to.writeNumber(ask.nonce());
            to.writeString(ask.name());
            to.writeString(ask.address());
        } else if (message instanceof Join join) {
            to.writeNumber(JOIN);
            to.writeNumber(join.nonce());
            write(to, List.of(join.self()));
        } else if (message instanceof Answer answer) {
            to.writeNumber(ANSWER);
            to.writeNumber(answer.nonce());
            to.writeBoolean(answer.welcome());
            write(to, answer.holder() == null ? List.of() : List.of(answer.holder()));
            write(to, answer.some());
        } else if (message instanceof Digests digests) {
            to.writeNumber(DIGESTS);
            to.writeBoolean(digests.answer());
            to.writeStartArray();
            for (long bucket : digests.buckets()) {
                to.writeNumber(bucket);
            }
            to.writeEndArray();
        } else if (message instanceof News news) {
            to.writeNumber(NEWS);
            write(to, news.news());
        }
    }

    private static void write(CBORGenerator to, List<Member> members) throws IOException {
        to.writeStartArray();
        for (Member member : members) {
            to.writeStartArray();
            to.writeString(member.name());
            to.writeNumber(member.boot());
            to.writeNumber(member.incarnation());
            to.writeString(member.address());
            to.writeNumber(member.state().ordinal());
            to.writeString(member.by());
            to.writeNumber(member.startMs());
            to.writeString(member.version());
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
            long version = from.whole();
            if (version != VERSION) {
                throw new IOException("form " + version + " is not " + VERSION);
            }
            String fleet = from.text(Member.MOST_NAME);
            String name = from.text(Member.MOST_NAME);
            long boot = from.whole();
            long incarnation = from.whole();
            String address = from.text(Member.MOST_ADDRESS);
            long sequence = from.whole();
            Message message = message(from, (int) from.whole());
            from.expect(JsonToken.END_ARRAY);
            from.end();
            if (name.isEmpty() || incarnation < 0) {
                throw new IOException("a message of no sender");
            }
            return new Envelope(fleet, name, boot, incarnation, address, sequence, message);
        }
    }

    private static Message message(CborReader from, int kind) throws IOException {
        return switch (kind) {
            case PING -> new Ping(from.whole(), from.whole(), members(from, Message.MOST_NEWS));
            case ACK ->
                new Ack(
                        from.whole(),
                        from.whole(),
                        from.text(Member.MOST_NAME),
                        from.whole(),
                        members(from, Message.MOST_NEWS));
            case ASK -> new Ask(from.whole(), from.text(Member.MOST_NAME), from.text(Member.MOST_ADDRESS));
            case JOIN -> {
                long nonce = from.whole();
                List<Member> self = members(from, 1);
                if (self.isEmpty()) {
                    throw new IOException("a joiner that does not say who it is");
                }
                yield new Join(nonce, self.get(0));
            }
            case ANSWER -> {
                long nonce = from.whole();
                boolean welcome = from.flag();
                List<Member> holder = members(from, 1);
                yield new Answer(
                        nonce, welcome, holder.isEmpty() ? null : holder.get(0), members(from, Message.MOST_NEWS));
            }
            case DIGESTS -> {
                boolean answer = from.flag();
                List<Long> buckets = new ArrayList<>();
                from.expect(JsonToken.START_ARRAY);
                for (int i = 0; i < Message.BUCKETS; i++) {
                    buckets.add(from.whole());
                }
                from.expect(JsonToken.END_ARRAY);
                yield new Digests(buckets, answer);
            }
            case NEWS -> new News(members(from, Message.MOST_NEWS));
            default -> throw new IOException("no message has the kind " + kind);
        };
    }

    private static List<Member> members(CborReader from, int most) throws IOException {
        return from.list(most, () -> {
            String name = from.text(Member.MOST_NAME);
            long boot = from.whole();
            long incarnation = from.whole();
            String address = from.text(Member.MOST_ADDRESS);
            long state = from.whole();
            if (name.isEmpty() || incarnation < 0 || state < 0 || state >= STATES.length) {
                throw new IOException("a claim without a name, or in no state");
            }
            return new Member(
                    name,
                    boot,
                    incarnation,
                    address,
                    STATES[(int) state],
                    from.text(Member.MOST_NAME),
                    from.whole(),
                    from.text(Member.MOST_VERSION),
                    from.texts(Member.MOST_ABILITIES, Member.MOST_NAME));
        });
    }
}
