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
 * Writes one message in pieces, by Jetty's generator: the head with the first, then each as it is given, framed as the
 * head says. A piece's bytes are the giver's again once it was told so; nothing is copied and nothing kept.
 */
final class PieceWriter {
    private static final int HEAD = HttpProtocol.MAX_HEAD_BYTES + 1024;
    private static final int TRAILER = 64;

    private final EndPoint to;
    private final HttpGenerator generator = new HttpGenerator();
    private final MetaData.Request request;
    private final MetaData.Response response;
    private ByteBuffer head;
    private ByteBuffer chunk;

    private PieceWriter(EndPoint to, MetaData.Request request, MetaData.Response response) {
        this.to = to;
        this.request = request;
        this.response = response;
    }

    static PieceWriter of(EndPoint to, MetaData.Request request) {
        return new PieceWriter(to, request, null);
    }

    static PieceWriter of(EndPoint to, MetaData.Response response) {
        return new PieceWriter(to, null, response);
    }

    /** Writes a piece, which may be empty; one of the two is told, possibly before this returns. */
    void write(ByteBuffer piece, boolean last, Runnable written, Consumer<Throwable> failed) {
        try {
            while (true) {
                HttpGenerator.Result next = request != null
                        ? generator.generateRequest(request, head, chunk, piece, last)
                        : generator.generateResponse(response, false, head, chunk, piece, last);
                switch (next) {
                    case NEED_HEADER -> head = BufferUtil.allocate(HEAD);
                    case NEED_CHUNK -> chunk = BufferUtil.allocate(HttpGenerator.CHUNK_SIZE);
                    case NEED_CHUNK_TRAILER -> chunk = BufferUtil.allocate(TRAILER);
                    case FLUSH -> {
                        flush(piece, last, written, failed);
                        return;
                    }
                    case DONE, SHUTDOWN_OUT -> {
                        written.run();
                        return;
                    }
                    case CONTINUE -> {}
                    default -> throw new IOException("the message can't be written: " + next);
                }
            }
        } catch (IOException e) {
            failed.accept(e);
        }
    }

    private void flush(ByteBuffer piece, boolean last, Runnable written, Consumer<Throwable> failed) {
        List<ByteBuffer> due = new ArrayList<>(3);
        for (ByteBuffer buffer : new ByteBuffer[] {head, chunk, piece}) {
            if (BufferUtil.hasContent(buffer)) {
                due.add(buffer);
            }
        }
        to.write(
                LoopConnection.nonBlockingCallback(
                        () -> {
                            // The head's room is not needed again; what follows may be more of this piece's frame.
                            head = generator.isCommitted() ? BufferUtil.EMPTY_BUFFER : head;
                            write(piece, last, written, failed);
                        },
                        failed),
                due.toArray(new ByteBuffer[0]));
    }
}
