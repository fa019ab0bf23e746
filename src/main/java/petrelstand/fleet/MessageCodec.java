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
 * Encodes and decodes membership messages as CBOR (RFC 8949), one array each. The layout is described in
 * docs/design/members.md. Decoding rejects texts and lists that exceed their bounds.
 */
final class MessageCodec {
    /** Version of the layout, the first field of each message. Messages of other versions are rejected. */
    static final int FORMAT_VERSION = 2;

    private static final CBORFactory FACTORY = new CBORFactory();
    private static final int PING = 1,
            ACK = 2,
            PING_REQUEST = 3,
            JOIN_REQUEST = 4,
            JOIN_RESPONSE = 5,
            DIGEST_BUCKETS = 6,
            GOSSIP = 7;
    private static final MemberState[] STATES = MemberState.values();

    private MessageCodec() {}

    static byte[] encode(Envelope envelope) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (CBORGenerator generator = FACTORY.createGenerator(bytes)) {
            generator.writeStartArray();
            generator.writeNumber(FORMAT_VERSION);
            generator.writeString(envelope.fleet());
            generator.writeString(envelope.senderName());
            generator.writeNumber(envelope.senderBootId());
            generator.writeNumber(envelope.senderIncarnation());
            generator.writeString(envelope.senderAddress());
            generator.writeNumber(envelope.sequence());
            writeMessage(generator, envelope.message());
            generator.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException("encoding a membership message into memory failed", e);
        }
        return bytes.toByteArray();
    }

    private static void writeMessage(CBORGenerator generator, Message message) throws IOException {
        if (message instanceof Ping ping) {
            generator.writeNumber(PING);
            generator.writeNumber(ping.nonce());
            generator.writeNumber(ping.digest());
            writeMembers(generator, ping.updates());
        } else if (message instanceof Ack ack) {
            generator.writeNumber(ACK);
            generator.writeNumber(ack.nonce());
            generator.writeNumber(ack.digest());
            generator.writeString(ack.subjectName());
            generator.writeNumber(ack.subjectBootId());
            writeMembers(generator, ack.updates());
        } else if (message instanceof PingRequest request) {
            generator.writeNumber(PING_REQUEST);
            generator.writeNumber(request.nonce());
            generator.writeString(request.targetName());
            generator.writeString(request.targetAddress());
        } else if (message instanceof JoinRequest request) {
            generator.writeNumber(JOIN_REQUEST);
            generator.writeNumber(request.nonce());
            writeMembers(generator, List.of(request.joiner()));
        } else if (message instanceof JoinResponse response) {
            generator.writeNumber(JOIN_RESPONSE);
            generator.writeNumber(response.nonce());
            generator.writeBoolean(response.accepted());
            writeMembers(generator, response.nameHolder() == null ? List.of() : List.of(response.nameHolder()));
            writeMembers(generator, response.sampleMembers());
        } else if (message instanceof DigestBuckets digestBuckets) {
            generator.writeNumber(DIGEST_BUCKETS);
            generator.writeBoolean(digestBuckets.replyRequested());
            generator.writeStartArray();
            for (long bucket : digestBuckets.buckets()) {
                generator.writeNumber(bucket);
            }
            generator.writeEndArray();
        } else if (message instanceof Gossip gossip) {
            generator.writeNumber(GOSSIP);
            writeMembers(generator, gossip.updates());
        }
    }

    private static void writeMembers(CBORGenerator generator, List<Member> members) throws IOException {
        generator.writeStartArray();
        for (Member member : members) {
            generator.writeStartArray();
            generator.writeString(member.name());
            generator.writeNumber(member.bootId());
            generator.writeNumber(member.incarnation());
            generator.writeString(member.address());
            generator.writeNumber(member.state().ordinal());
            generator.writeString(member.accuser());
            generator.writeNumber(member.startMs());
            generator.writeString(member.programVersion());
            generator.writeStartArray();
            for (String ability : member.abilities()) {
                generator.writeString(ability);
            }
            generator.writeEndArray();
            generator.writeEndArray();
        }
        generator.writeEndArray();
    }

    /**
     * Decodes a message.
     *
     * @throws IOException if the content is malformed or of another format version
     */
    static Envelope decode(byte[] content) throws IOException {
        try (CborReader reader = new CborReader(content)) {
            reader.expect(JsonToken.START_ARRAY);
            long version = reader.readLong();
            if (version != FORMAT_VERSION) {
                throw new IOException(
                        "message format version " + version + " is not supported; expected " + FORMAT_VERSION);
            }
            String fleet = reader.readText(Member.MAX_NAME_LENGTH);
            String name = reader.readText(Member.MAX_NAME_LENGTH);
            long bootId = reader.readLong();
            long incarnation = reader.readLong();
            String address = reader.readText(Member.MAX_ADDRESS_LENGTH);
            long sequence = reader.readLong();
            Message message = readMessage(reader, (int) reader.readLong());
            reader.expect(JsonToken.END_ARRAY);
            reader.expectEnd();
            if (name.isEmpty() || incarnation < 0) {
                throw new IOException("sender name is empty or sender incarnation is negative");
            }
            return new Envelope(fleet, name, bootId, incarnation, address, sequence, message);
        }
    }

    private static Message readMessage(CborReader reader, int kind) throws IOException {
        return switch (kind) {
            case PING -> new Ping(reader.readLong(), reader.readLong(), readMembers(reader, Message.MAX_UPDATES));
            case ACK ->
                new Ack(
                        reader.readLong(),
                        reader.readLong(),
                        reader.readText(Member.MAX_NAME_LENGTH),
                        reader.readLong(),
                        readMembers(reader, Message.MAX_UPDATES));
            case PING_REQUEST ->
                new PingRequest(
                        reader.readLong(),
                        reader.readText(Member.MAX_NAME_LENGTH),
                        reader.readText(Member.MAX_ADDRESS_LENGTH));
            case JOIN_REQUEST -> {
                long nonce = reader.readLong();
                List<Member> joiner = readMembers(reader, 1);
                if (joiner.isEmpty()) {
                    throw new IOException("join request does not contain the joining member");
                }
                yield new JoinRequest(nonce, joiner.get(0));
            }
            case JOIN_RESPONSE -> {
                long nonce = reader.readLong();
                boolean accepted = reader.readBoolean();
                List<Member> holder = readMembers(reader, 1);
                yield new JoinResponse(
                        nonce,
                        accepted,
                        holder.isEmpty() ? null : holder.get(0),
                        readMembers(reader, Message.MAX_UPDATES));
            }
            case DIGEST_BUCKETS -> {
                boolean replyRequested = reader.readBoolean();
                List<Long> buckets = new ArrayList<>();
                reader.expect(JsonToken.START_ARRAY);
                for (int i = 0; i < Message.DIGEST_BUCKET_COUNT; i++) {
                    buckets.add(reader.readLong());
                }
                reader.expect(JsonToken.END_ARRAY);
                yield new DigestBuckets(buckets, replyRequested);
            }
            case GOSSIP -> new Gossip(readMembers(reader, Message.MAX_UPDATES));
            default -> throw new IOException("unknown message kind " + kind);
        };
    }

    private static List<Member> readMembers(CborReader reader, int maxMembers) throws IOException {
        return reader.readList(maxMembers, () -> {
            String name = reader.readText(Member.MAX_NAME_LENGTH);
            long bootId = reader.readLong();
            long incarnation = reader.readLong();
            String address = reader.readText(Member.MAX_ADDRESS_LENGTH);
            long state = reader.readLong();
            if (name.isEmpty() || incarnation < 0 || state < 0 || state >= STATES.length) {
                throw new IOException("member entry has an empty name, a negative incarnation or an unknown state");
            }
            return new Member(
                    name,
                    bootId,
                    incarnation,
                    address,
                    STATES[(int) state],
                    reader.readText(Member.MAX_NAME_LENGTH),
                    reader.readLong(),
                    reader.readText(Member.MAX_VERSION_LENGTH),
                    reader.readTexts(Member.MAX_ABILITIES, Member.MAX_NAME_LENGTH));
        });
    }
}
