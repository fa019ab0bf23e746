package petrelstand.http;

import java.nio.ByteBuffer;

/**
 * A request body that is streamed to the node after its first bytes: the node connection asks for a piece when it has
 * written the last one, and the client connection reads no more until then.
 */
final class RequestBodyStream {
    /** The client connection. */
    interface Source {
        /** Reads on: a piece or the end is delivered, possibly before this returns. */
        void requestMore();
    }

    /** The node connection. */
    interface Sink {
        /** Delivers a piece, whose bytes stay valid until the next one is requested. */
        void onData(ByteBuffer data);

        /** The body is complete. */
        void onComplete();
    }

    private final long length;
    private final Source source;
    private Sink sink;
    private boolean awaitingClient;

    /**
     * Creates a stream.
     *
     * @param length length of the body, or -1 if unknown
     */
    RequestBodyStream(long length, Source source) {
        this.length = length;
        this.source = source;
    }

    long length() {
        return length;
    }

    /** Requests the next piece; after the first request no other attempt can send the body. */
    void requestNext(Sink newSink) {
        sink = newSink;
        awaitingClient = true;
        source.requestMore();
    }

    /** Whether the node connection has requested a piece. */
    boolean isStarted() {
        return sink != null;
    }

    /** Whether the next piece is due from the client. */
    boolean isAwaitingClient() {
        return awaitingClient;
    }

    void deliver(ByteBuffer data) {
        awaitingClient = false;
        sink.onData(data);
    }

    void complete() {
        awaitingClient = false;
        sink.onComplete();
    }
}
