package petrelstand.http;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.MetaData;

/** One request on an upstream connection, and who hears of its answer. */
public interface UpstreamCall {
    /** How a connection ended before a whole answer came. */
    enum Failure {
        /** Before the request's last byte had left: it never ran. */
        UNWRITTEN,
        /** After that, by a close or a reset. */
        ENDED,
        /** By this side, after bytes that are no answer to trust. */
        SPOILT
    }

    /** The request's bytes: head and body, or its beginning where it passes in pieces. */
    ByteBuffer[] requestBytes();

    /** The rest of a body that passes in pieces, with the head that goes before it; null where the bytes are all. */
    default StreamedBody streamedBody() {
        return null;
    }

    /** A body in pieces: its head, its beginning and where the rest comes from. */
    record StreamedBody(MetaData.Request head, ByteBuffer beginning, Upload upload) {}

    /** A large answer begins; true where it is taken in pieces, and then nothing else is told of it here. */
    default boolean acceptAnswerStream(Flow flow) {
        return false;
    }

    /** The client's body is being written to the node from here on, and cannot be had again. */
    default void onBodyStreaming() {}

    /** A whole answer came. */
    void onAnswer(int status, HttpFields fields, ByteBuffer body);

    /** Part of an answer came; told once a call at most. */
    default void onPartialAnswer() {}

    /** The connection ended first. */
    void onFailure(Failure how);

    /** The last byte of the request was written. */
    default void onRequestWritten() {}
}
