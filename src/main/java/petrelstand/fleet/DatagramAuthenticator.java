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
 * Marks messages as the fleet's, and finds those that are not: a head of 8 bytes (the form, and which key), 16 bytes of
 * an HMAC-SHA-256 (RFC 2104) by the JDK over head and content, and the content. Only content whose mark is right is
 * ever decoded. Not for several threads at a time: the two that send and receive have one each.
 */
final class DatagramAuthenticator {
    /** The longest datagram that is sent or taken. */
    static final int MAX_DATAGRAM_BYTES = 1400;

    static final int HEADER_BYTES = 8;
    static final int TAG_BYTES = 16;
    /** What a datagram holds, as its first four bytes say: a member's message, or a parcel about rules. */
    static final int MEMBERSHIP_MAGIC = 0x50534631; // "PSF1"

    static final int RULES_MAGIC = 0x50535231; // "PSR1"
    private static final String MAC_ALGORITHM = "HmacSHA256";

    private record Key(int id, Mac mac) {}

    private final List<Key> keys = new ArrayList<>();

    /** The first key is for what is sent; all are for what comes. */
    DatagramAuthenticator(List<byte[]> keys) {
        try {
            for (byte[] key : keys) {
                Mac mac = Mac.getInstance(MAC_ALGORITHM);
                mac.init(new SecretKeySpec(key, MAC_ALGORITHM));
                byte[] fingerprint = MessageDigest.getInstance("SHA-256").digest(key);
                this.keys.add(new Key(ByteBuffer.wrap(fingerprint).getInt(), mac));
            }
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java has HMAC-SHA-256", e);
        }
    }

    /** The datagram of a member's message. */
    byte[] sign(byte[] content) {
        return sign(MEMBERSHIP_MAGIC, content);
    }

    /** The datagram of a content. */
    byte[] sign(int magic, byte[] content) {
        ByteBuffer datagram = ByteBuffer.allocate(HEADER_BYTES + TAG_BYTES + content.length);
        Key key = keys.get(0);
        datagram.putInt(magic).putInt(key.id());
        key.mac().update(datagram.array(), 0, HEADER_BYTES);
        datagram.put(key.mac().doFinal(content), 0, TAG_BYTES).put(content);
        return datagram.array();
    }

    /** What a datagram says that it holds; it must have a whole head. */
    static int magic(ByteBuffer datagram) {
        return datagram.getInt(datagram.position());
    }

    /** Why a datagram is not taken: the name of its counter. */
    static final class RefusedDatagramException extends Exception {
        private static final long serialVersionUID = 1;

        RefusedDatagramException(String reason) {
            super(reason, null, false, false);
        }
    }

    /** The content of a datagram; what is no fleet's, or another key's, costs a look at its head. */
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
