package petrelstand.http;

import java.nio.ByteBuffer;

/**
 * A client's body that passes in pieces behind its first ones: the node's side asks for one when it has written the
 * last, and the client's connection reads no more until then.
 */
final class Upload {
    /** The client's connection. */
    interface Source {
        /** Reads on: a piece or the end is given, possibly before this returns. */
        void more();
    }

    /** The node's side. */
    interface Sink {
        /** A piece, which stays whole until the next one is asked for. */
        void piece(ByteBuffer piece);

        /** The body is whole. */
        void whole();
    }

    private final long length;
    private final Source source;
    private Sink sink;
    private boolean awaited;

    /** A body of a length; -1: not known beforehand. */
    Upload(long length, Source source) {
        this.length = length;
        this.source = source;
    }

    long length() {
        return length;
    }

    /** Asks for what comes next; from the first time on no other attempt can have the body. */
    void next(Sink to) {
        sink = to;
        awaited = true;
        source.more();
    }

    /** True once the node's side has asked for a piece. */
    boolean isBegun() {
        return sink != null;
    }

    /** True while it is the client that is waited for. */
    boolean isAwaited() {
        return awaited;
    }

    void piece(ByteBuffer piece) {
        awaited = false;
        sink.piece(piece);
    }

    void whole() {
        awaited = false;
        sink.whole();
    }
}
