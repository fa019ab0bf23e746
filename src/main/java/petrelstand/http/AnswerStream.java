package petrelstand.http;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * A node's answer that is streamed to the client: the node connection delivers a piece, and reads on when the receiver
 * asks for more. Either side ends the other through it.
 */
final class AnswerStream {
    /** The client connection. */
    interface Receiver {
        /** Delivers a piece, whose bytes stay valid until {@link AnswerStream#requestMore}. */
        void onData(ByteBuffer data);

        /** The answer is complete. */
        void onComplete();

        /** The node connection failed: the client must be able to detect that its answer is truncated. */
        void onAborted();
    }

    private final HttpFields fields;
    private final long length;
    private final UpstreamConnection source;
    private Receiver receiver;

    /**
     * Creates a stream.
     *
     * @param length length of the body, or -1 if unknown
     */
    AnswerStream(HttpFields fields, long length, UpstreamConnection source) {
        this.fields = fields;
        this.length = length;
        this.source = source;
    }

    HttpFields fields() {
        return fields;
    }

    long length() {
        return length;
    }

    /** Sets the receiver; pieces are delivered from now on. */
    void subscribe(Receiver newReceiver) {
        receiver = newReceiver;
    }

    boolean isSubscribed() {
        return receiver != null;
    }

    /** The receiver has processed the piece. */
    void requestMore() {
        source.resumeReading();
    }

    /** The client has disconnected: closes the node connection. */
    void cancel() {
        receiver = null;
        source.closeSilently();
    }

    void deliver(ByteBuffer data) {
        receiver.onData(data);
    }

    void complete() {
        Receiver current = receiver;
        receiver = null;
        if (current != null) {
            current.onComplete();
        }
    }

    void abort() {
        Receiver current = receiver;
        receiver = null;
        if (current != null) {
            current.onAborted();
        }
    }
}
