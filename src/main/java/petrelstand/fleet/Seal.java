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
final class Seal {
    /** The longest datagram that is sent or taken. */
    static final int MOST = 1400;

    static final int HEAD = 8;
    static final int MARK = 16;
    /** What a datagram holds, as its first four bytes say: a member's message, or a parcel about rules. */
    static final int MEMBERS = 0x50534631; // "PSF1"

    static final int RULES = 0x50535231; // "PSR1"
    private static final String MAC = "HmacSHA256";

    private record Key(int id, Mac mac) {}

    private final List<Key> keys = new ArrayList<>();

    /** The first key is for what is sent; all are for what comes. */
    Seal(List<byte[]> keys) {
        try {
            for (byte[] key : keys) {
                Mac mac = Mac.getInstance(MAC);
                mac.init(new SecretKeySpec(key, MAC));
                byte[] print = MessageDigest.getInstance("SHA-256").digest(key);
                this.keys.add(new Key(ByteBuffer.wrap(print).getInt(), mac));
            }
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java has HMAC-SHA-256", e);
        }
    }

    /** The datagram of a member's message. */
    byte[] close(byte[] content) {
        return close(MEMBERS, content);
    }

    /** The datagram of a content. */
    byte[] close(int form, byte[] content) {
        ByteBuffer all = ByteBuffer.allocate(HEAD + MARK + content.length);
        Key key = keys.get(0);
        all.putInt(form).putInt(key.id());
        key.mac().update(all.array(), 0, HEAD);
        all.put(key.mac().doFinal(content), 0, MARK).put(content);
        return all.array();
    }

    /** What a datagram says that it holds; it must have a whole head. */
    static int form(ByteBuffer datagram) {
        return datagram.getInt(datagram.position());
    }

    /** Why a datagram is not taken: the name of its counter. */
    static final class Refused extends Exception {
        private static final long serialVersionUID = 1;

        Refused(String why) {
            super(why, null, false, false);
        }
    }

    /** The content of a datagram; what is no fleet's, or another key's, costs a look at its head. */
    byte[] open(ByteBuffer datagram) throws Refused {
        if (datagram.remaining() > MOST) {
            throw new Refused("long");
        }
        if (datagram.remaining() < HEAD + MARK || form(datagram) != MEMBERS && form(datagram) != RULES) {
            throw new Refused("form");
        }
        int id = datagram.getInt(datagram.position() + Integer.BYTES);
        for (Key key : keys) {
            if (key.id() == id) {
                byte[] all = new byte[datagram.remaining()];
                datagram.get(all);
                key.mac().update(all, 0, HEAD);
                key.mac().update(all, HEAD + MARK, all.length - HEAD - MARK);
                byte[] mark = Arrays.copyOf(key.mac().doFinal(), MARK);
                if (!MessageDigest.isEqual(mark, Arrays.copyOfRange(all, HEAD, HEAD + MARK))) {
                    throw new Refused("forged");
                }
                return Arrays.copyOfRange(all, HEAD + MARK, all.length);
            }
        }
        throw new Refused("key");
    }
}
