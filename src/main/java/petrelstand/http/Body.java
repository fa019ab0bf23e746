package petrelstand.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A message's body as it comes, up to a bound and within a budget. Its room is made for what came: only after so much
 * of a body did come is its announced length believed, and then its room is made in one go.
 */
final class Body {
    private static final int FIRST = 1024;
    private static final int BELIEVED_FROM = 16 * 1024;
    private static final byte[] NONE = {};

    private final int most;
    private final ByteBudget budget;
    private byte[] bytes = NONE;
    private int size;
    private long announced;

    Body(int most, ByteBudget budget) {
        this.most = most;
        this.budget = budget;
    }

    /** The length that the message's head gives. */
    void announced(long length) {
        announced = length;
    }

    /** Takes all of the item; false where the body is over a bound, and the item is dropped. */
    boolean add(ByteBuffer item) {
        int more = item.remaining();
        if (more > most - size || !makeRoom(size + more)) {
            item.position(item.limit());
            return false;
        }
        item.get(bytes, size, more);
        size += more;
        return true;
    }

    private boolean makeRoom(int wanted) {
        if (wanted <= bytes.length) {
            return true;
        }
        long room = Math.max(wanted, Math.max(FIRST, 2L * bytes.length));
        room = Math.min(most, size >= BELIEVED_FROM ? Math.max(room, announced) : room);
        if (!budget.take(room - bytes.length)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, (int) room);
        return true;
    }

    int size() {
        return size;
    }

    /** What came since the last call; its room is the caller's from here on, and no more of this budget. */
    ByteBuffer take() {
        ByteBuffer all = ByteBuffer.wrap(bytes, 0, size);
        budget.give(bytes.length);
        bytes = NONE;
        size = 0;
        announced = 0;
        return all;
    }
}
