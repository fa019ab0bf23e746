package petrelstand.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.http.MetaData;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import petrelstand.net.LoopConnection;

/**
 * Writes one streamed message with Jetty's generator: the head with the first piece, then each piece as it is given,
 * framed as the head says. Pieces are neither copied nor kept.
 */
final class StreamedMessageWriter {
    private static final int TRAILER_BUFFER_BYTES = 64;

    private final EndPoint endPoint;
    private final HttpGenerator generator = new HttpGenerator();
    private final MetaData.Request request;
    private final MetaData.Response response;
    private final int maxHeadBytes;
    private ByteBuffer head;
    private ByteBuffer chunk;

    private StreamedMessageWriter(
            EndPoint endPoint, MetaData.Request request, MetaData.Response response, int maxHeadBytes) {
        this.endPoint = endPoint;
        this.maxHeadBytes = maxHeadBytes;
        this.request = request;
        this.response = response;
    }

    static StreamedMessageWriter of(EndPoint endPoint, MetaData.Request request) {
        return new StreamedMessageWriter(endPoint, request, null, HttpProtocol.maxRequestHeadBytes(request));
    }

    static StreamedMessageWriter of(EndPoint endPoint, MetaData.Response response) {
        return new StreamedMessageWriter(endPoint, null, response, HttpProtocol.MAX_ANSWER_HEAD_BYTES);
    }

    /**
     * Writes a piece, which may be empty. One of the callbacks runs, possibly before this returns; until then the
     * caller must not change the piece.
     */
    void write(ByteBuffer data, boolean last, Runnable onWritten, Consumer<Throwable> onFailed) {
        try {
            while (true) {
                HttpGenerator.Result result = request != null
                        ? generator.generateRequest(request, head, chunk, data, last)
                        : generator.generateResponse(response, false, head, chunk, data, last);
                switch (result) {
                    case NEED_HEADER -> head = BufferUtil.allocate(maxHeadBytes);
                    case NEED_CHUNK -> chunk = BufferUtil.allocate(HttpGenerator.CHUNK_SIZE);
                    case NEED_CHUNK_TRAILER -> chunk = BufferUtil.allocate(TRAILER_BUFFER_BYTES);
                    case FLUSH -> {
                        flush(data, last, onWritten, onFailed);
                        return;
                    }
                    case DONE, SHUTDOWN_OUT -> {
                        onWritten.run();
                        return;
                    }
                    case CONTINUE -> {}
                    default ->
                        throw new IOException("cannot write the HTTP message: unexpected generator result " + result);
                }
            }
        } catch (IOException e) {
            onFailed.accept(e);
        }
    }

    private void flush(ByteBuffer data, boolean last, Runnable onWritten, Consumer<Throwable> onFailed) {
        List<ByteBuffer> buffers = new ArrayList<>(3);
        for (ByteBuffer buffer : new ByteBuffer[] {head, chunk, data}) {
            if (BufferUtil.hasContent(buffer)) {
                buffers.add(buffer);
            }
        }
        endPoint.write(
                LoopConnection.nonBlockingCallback(
                        () -> {
                            // The head has been written; further calls write the rest of this piece's framing.
                            head = generator.isCommitted() ? BufferUtil.EMPTY_BUFFER : head;
                            write(data, last, onWritten, onFailed);
                        },
                        onFailed),
                buffers.toArray(new ByteBuffer[0]));
    }
}
