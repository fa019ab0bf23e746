package petrelstand.operation;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import petrelstand.core.Timers;
import petrelstand.http.HeadFields;
import petrelstand.http.HttpProtocol;
import petrelstand.net.HttpMessageParser;
import petrelstand.net.LoopConnection;

/** An operator's connection: it receives one request, answers it and closes. */
final class OperatorConnection extends LoopConnection implements HttpParser.RequestHandler {
    private enum State {
        READING,
        ANSWERING,
        LINGERING,
        CLOSED
    }

    private static final int MAX_HEAD_BYTES = 4096;
    private static final int MAX_BODY_BYTES = 4096;

    private final OperatorServer server;
    private final HttpParser parser = new HttpMessageParser(this, MAX_HEAD_BYTES);
    private final ByteBuffer input = BufferUtil.allocate(1024);
    private State state = State.READING;
    private Timers.Timer timeout;
    private HttpFields.Mutable fields;
    private boolean oversizedField;
    private String method;
    private String target;
    private HttpVersion version;
    private int bodyBytes;

    OperatorConnection(EndPoint endPoint, OperatorServer server) {
        super(endPoint);
        this.server = server;
        parser.setHeaderCacheSize(HttpProtocol.HEADER_CACHE_BYTES);
    }

    @Override
    public void onOpen() {
        super.onOpen();
        timeout = server.timers()
                .schedule(
                        server.nowUs() + OperatorServer.CALL_TIMEOUT_US,
                        () -> answer(408, "the call did not come whole"));
        fillInterested();
    }

    @Override
    public void onFillable() {
        try {
            while (state != State.CLOSED) {
                BufferUtil.clear(input);
                int filled = getEndPoint().fill(input);
                if (filled < 0) {
                    close();
                } else if (filled == 0) {
                    fillInterested();
                    return;
                } else {
                    while (state == State.READING && BufferUtil.hasContent(input) && !parser.parseNext(input)) {
                        // parseNext also returns before the input is used up, at the end of a line.
                    }
                }
            }
        } catch (IOException e) {
            close();
        }
    }

    @Override
    protected void onFillInterestedFailed(Throwable cause) {
        close();
    }

    @Override
    public void startRequest(String newMethod, String uri, HttpVersion newVersion) {
        method = newMethod;
        target = uri;
        version = newVersion;
        fields = HttpFields.build();
    }

    @Override
    public void parsedHeader(HttpField field) {
        oversizedField |= !HeadFields.REQUEST.addIfUsed(fields, field);
    }

    @Override
    public boolean headerComplete() {
        String framingError = HttpProtocol.framingError(fields);
        if (!HttpProtocol.supportsVersion(version)) {
            answer(505, "the version is neither 1.0 nor 1.1");
        } else if (oversizedField) {
            answer(400, "a header field is too long");
        } else if (framingError != null) {
            answer(400, framingError);
        } else if (fields.contains(HttpHeader.EXPECT, "100-continue")) {
            getEndPoint()
                    .write(
                            nonBlockingCallback(() -> {}, cause -> close()),
                            BufferUtil.toBuffer("HTTP/1.1 100 Continue\r\n\r\n"));
        }
        return state != State.READING;
    }

    /** Drops a small body, since no route uses one; a larger one is rejected. */
    @Override
    public boolean content(ByteBuffer part) {
        bodyBytes += part.remaining();
        part.position(part.limit());
        if (bodyBytes > MAX_BODY_BYTES) {
            answer(413, "no call has a body");
        }
        return state != State.READING;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        if (state == State.READING) {
            String path = HttpURI.from(target).getPath();
            OperatorServer.Answer answer = server.handle(method, path == null ? target : path);
            answer(answer.status(), answer.text());
        }
        return true;
    }

    @Override
    public void badMessage(HttpException failure) {
        answer(failure.getCode() == 431 || failure.getCode() == 414 ? 431 : 400, String.valueOf(failure.getReason()));
    }

    @Override
    public void earlyEOF() {
        answer(400, "the call's body can't be read");
    }

    private void answer(int status, String text) {
        if (state != State.READING) {
            return;
        }
        state = State.ANSWERING;
        ByteBuffer content = BufferUtil.toBuffer(text.endsWith("\n") ? text : text + "\n", StandardCharsets.UTF_8);
        timeout.cancel();
        timeout = server.timers().schedule(server.nowUs() + OperatorServer.CALL_TIMEOUT_US, this::close);
        getEndPoint()
                .write(
                        nonBlockingCallback(this::linger, cause -> close()),
                        HttpProtocol.answerHead(status, "text/plain", 0, true, content.remaining()),
                        content);
    }

    /** Keeps reading for a while: closing with unread input would reset the connection and could lose the answer. */
    private void linger() {
        if (state == State.ANSWERING) {
            state = State.LINGERING;
            getEndPoint().shutdownOutput();
            timeout.cancel();
            timeout = server.timers().schedule(server.nowUs() + OperatorServer.LINGER_TIMEOUT_US, this::close);
        }
    }

    @Override
    public void close() {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            if (timeout != null) {
                timeout.cancel();
            }
            server.connectionClosed(this);
            getEndPoint().close();
        }
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        close();
    }
}
