package petrelstand.http;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * A node's answer that passes in pieces: the node's connection gives one, and reads on once it was taken. Both sides
 * hold it, and each ends the other through it; what ends first, ends it.
 */
final class Flow {
    /** The client's side. */
    interface Taker {
        /** A piece, which stays whole until {@link Flow#next}. */
        void piece(ByteBuffer piece);

        /** The answer is whole. */
        void whole();

        /** The node's side broke: the client must be able to tell that its answer is not whole. */
        void cut();
    }

    private final HttpFields fields;
    private final long length;
    private final UpstreamConnection from;
    private Taker taker;

    /** An answer on a connection; a length of -1 is not known beforehand. */
    Flow(HttpFields fields, long length, UpstreamConnection from) {
        this.fields = fields;
        this.length = length;
        this.from = from;
    }

    HttpFields fields() {
        return fields;
    }

    long length() {
        return length;
    }

    /** Takes the answer; pieces come from now on. */
    void take(Taker by) {
        taker = by;
    }

    boolean isTaken() {
        return taker != null;
    }

    /** The client's side has taken the piece. */
    void next() {
        from.resume();
    }

    /** The client's side is gone. */
    void stop() {
        taker = null;
        from.closeSilently();
    }

    void piece(ByteBuffer piece) {
        taker.piece(piece);
    }

    void whole() {
        Taker to = taker;
        taker = null;
        if (to != null) {
            to.whole();
        }
    }

    void cut() {
        Taker to = taker;
        taker = null;
        if (to != null) {
            to.cut();
        }
    }
}
