package petrelstand.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import petrelstand.members.Message.Envelope;

/**
 * Members' messages as the datagrams that a gateway sends: encoded and sealed. For measurements; one thread at a time.
 */
public final class AuthenticatedCodec {
    private static final int KEY_BYTES = 32;

    private final Seal seal = new Seal(List.of(new byte[KEY_BYTES]));

    /** The datagram of a message. */
    public byte[] encode(Envelope envelope) {
        return seal.close(Codec.encode(envelope));
    }

    /** The message of a datagram that {@link #encode} made; an IOException says what is wrong with another. */
    public Envelope decode(byte[] datagram) throws IOException {
        try {
            return Codec.decode(seal.open(ByteBuffer.wrap(datagram)));
        } catch (Seal.Refused e) {
            throw new IOException("refused: " + e.getMessage(), e);
        }
    }
}
