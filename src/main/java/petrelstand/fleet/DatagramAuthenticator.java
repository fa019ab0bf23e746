package petrelstand.fleet;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Signs and verifies datagrams with the fleet's keys. A datagram consists of a header of 8 bytes (magic number and key
 * ID), a tag of 16 bytes (truncated HMAC-SHA-256, RFC 2104, over header and payload) and the payload. Not thread-safe.
 */
final class DatagramAuthenticator {
    /** Maximum size of a datagram. */
    static final int MAX_DATAGRAM_BYTES = 1400;

    static final int HEADER_BYTES = 8;
    static final int TAG_BYTES = 16;
    /** First four bytes of a datagram with a membership message. */
    static final int MEMBERSHIP_MAGIC = 0x50534631; // "PSF1"

    /** First four bytes of a datagram with a rules message. */
    static final int RULES_MAGIC = 0x50535231; // "PSR1"

    private static final String MAC_ALGORITHM = "HmacSHA256";

    private record Key(int id, Mac mac) {}

    private final List<Key> keys = new ArrayList<>();

    /**
     * Creates an authenticator.
     *
     * @param keys the first one signs; all are accepted when verifying
     */
    DatagramAuthenticator(List<byte[]> keys) {
        try {
            for (byte[] key : keys) {
                Mac mac = Mac.getInstance(MAC_ALGORITHM);
                mac.init(new SecretKeySpec(key, MAC_ALGORITHM));
                byte[] fingerprint = MessageDigest.getInstance("SHA-256").digest(key);
                this.keys.add(new Key(ByteBuffer.wrap(fingerprint).getInt(), mac));
            }
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java runtime lacks HMAC-SHA-256 or SHA-256", e);
        }
    }

    /** Returns the signed datagram of an encoded membership message. */
    byte[] sign(byte[] content) {
        return sign(MEMBERSHIP_MAGIC, content);
    }

    /** Returns the signed datagram of a payload with the given magic number. */
    byte[] sign(int magic, byte[] content) {
        ByteBuffer datagram = ByteBuffer.allocate(HEADER_BYTES + TAG_BYTES + content.length);
        Key key = keys.get(0);
        datagram.putInt(magic).putInt(key.id());
        key.mac().update(datagram.array(), 0, HEADER_BYTES);
        datagram.put(key.mac().doFinal(content), 0, TAG_BYTES).put(content);
        return datagram.array();
    }

    /** The magic number of a datagram of at least four bytes. */
    static int magic(ByteBuffer datagram) {
        return datagram.getInt(datagram.position());
    }

    /** A datagram was refused; the message is the last part of its counter's name. */
    static final class RefusedDatagramException extends Exception {
        private static final long serialVersionUID = 1;

        RefusedDatagramException(String reason) {
            super(reason, null, false, false);
        }
    }

    /**
     * Returns the payload of a datagram.
     *
     * @throws RefusedDatagramException if it is too long, has no known magic number or key ID, or its tag is wrong
     */
    byte[] verify(ByteBuffer datagram) throws RefusedDatagramException {
        if (datagram.remaining() > MAX_DATAGRAM_BYTES) {
            throw new RefusedDatagramException("long");
        }
        if (datagram.remaining() < HEADER_BYTES + TAG_BYTES
                || magic(datagram) != MEMBERSHIP_MAGIC && magic(datagram) != RULES_MAGIC) {
            throw new RefusedDatagramException("form");
        }
        int keyId = datagram.getInt(datagram.position() + Integer.BYTES);
        for (Key key : keys) {
            if (key.id() == keyId) {
                byte[] bytes = new byte[datagram.remaining()];
                datagram.get(bytes);
                key.mac().update(bytes, 0, HEADER_BYTES);
                key.mac().update(bytes, HEADER_BYTES + TAG_BYTES, bytes.length - HEADER_BYTES - TAG_BYTES);
                byte[] expectedTag = Arrays.copyOf(key.mac().doFinal(), TAG_BYTES);
                if (!MessageDigest.isEqual(
                        expectedTag, Arrays.copyOfRange(bytes, HEADER_BYTES, HEADER_BYTES + TAG_BYTES))) {
                    throw new RefusedDatagramException("forged");
                }
                return Arrays.copyOfRange(bytes, HEADER_BYTES + TAG_BYTES, bytes.length);
            }
        }
        throw new RefusedDatagramException("key");
    }
}
