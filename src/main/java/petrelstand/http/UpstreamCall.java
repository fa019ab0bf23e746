package petrelstand.http;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.MetaData;

/** A request on an {@link UpstreamConnection}, and the receiver of its answer. */
public interface UpstreamCall {
    /** How a connection failed before a complete answer. */
    enum Failure {
        /** Before the request's last byte was written: the request was not executed. */
        UNWRITTEN,
        /** Afterwards, by a close or a reset. */
        ENDED,
        /** Closed by the gateway after a malformed answer. */
        SPOILT
    }

    /** The request's head and body; not used if {@link #streamedBody} is not null. */
    ByteBuffer[] requestBytes();

    /** The streamed body of the request with its head, or null if {@link #requestBytes} is the whole request. */
    default StreamedBody streamedBody() {
        return null;
    }

    /** A streamed request: its head, the first bytes of its body, and the source of the rest. */
    record StreamedBody(MetaData.Request head, ByteBuffer prefix, RequestBodyStream bodyStream) {}

    /** A large answer has begun. Returns true to receive it as a stream; the call then gets no other notification. */
    default boolean acceptAnswerStream(AnswerStream stream) {
        return false;
    }

    /** The client's body is now streamed to the node and can't be sent again. */
    default void onBodyStreaming() {}

    /** A complete answer has been received. */
    void onAnswer(int status, HttpFields fields, ByteBuffer body);

    /** Part of an answer has been received; reported at most once per call. */
    default void onPartialAnswer() {}

    /** The connection failed before a complete answer. */
    void onFailure(Failure failure);

    /**
     * The connection no longer refers to the call, whatever its end. Called once for each call that was sent, before
     * {@link #onAnswer} or {@link #onFailure}.
     */
    default void onReleased() {}

    /** The last byte of the request has been written. */
    default void onRequestWritten() {}
}
