package petrelstand.http;

import java.nio.ByteBuffer;

/** What passes on of a client's request, and of a node's answer. */
final class Message {
    private Message() {}

    /**
     * A request as it passes on: method, target, body and the ids unchanged. Where the body passes in pieces, what is
     * here is its beginning, and the rest comes by the upload; else that is null.
     */
    record Ask(String method, String target, String txn, String effectKey, String type, byte[] body, Upload upload) {}

    /** The body of a node's 200, and its type where it told one. */
    record Answer(String type, ByteBuffer body) {}
}
