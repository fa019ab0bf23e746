package petrelstand.http;

import java.nio.ByteBuffer;

/** The parts of a client's request and of a node's answer that are forwarded. */
final class ForwardedMessage {
    private ForwardedMessage() {}

    /**
     * A request, with method, target, body and ids unchanged. For a streamed body, {@code body} holds its first bytes
     * and {@code bodyStream} delivers the rest; otherwise {@code bodyStream} is null.
     */
    record Request(
            String method,
            String target,
            String txnId,
            String idempotencyKey,
            String contentType,
            byte[] body,
            RequestBodyStream bodyStream) {}

    /** The body of a node's 200 answer, and its content type or null. */
    record Answer(String contentType, ByteBuffer body) {}
}
