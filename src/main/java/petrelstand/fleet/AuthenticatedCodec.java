package petrelstand.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import petrelstand.members.Message.Envelope;

/**
 * Converts membership messages to signed datagrams and back as a gateway does, with a fixed key, for simulations and
 * measurements. Not thread-safe.
 */
public final class AuthenticatedCodec {
    private static final int KEY_BYTES = 32;

    private final DatagramAuthenticator authenticator = new DatagramAuthenticator(List.of(new byte[KEY_BYTES]));

    /** Returns the datagram of a message. */
    public byte[] encode(Envelope envelope) {
        return authenticator.sign(MessageCodec.encode(envelope));
    }

    /**
     * Returns the message of a datagram that {@link #encode} made.
     *
     * @throws IOException if the datagram is refused or malformed
     */
    public Envelope decode(byte[] datagram) throws IOException {
        try {
            return MessageCodec.decode(authenticator.verify(ByteBuffer.wrap(datagram)));
        } catch (DatagramAuthenticator.RefusedDatagramException e) {
            throw new IOException("datagram refused: " + e.getMessage(), e);
        }
    }
}
