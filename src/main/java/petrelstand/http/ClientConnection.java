package petrelstand.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import petrelstand.core.Attempt;
import petrelstand.core.ClientSide;
import petrelstand.core.Exchange;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.net.LoopConnection;

/**
 * A client's connection. It reads one request at a time; bytes of the next wait in the buffer, and past the buffer's
 * size in the socket, until the answer is written.
 */
final class ClientConnection extends LoopConnection implements HttpParser.RequestHandler, ClientSide {
    enum State { READING, TAKEN, ANSWERING, LINGERING, CLOSED }

    private final Front front;
    private final boolean full;
    private final HttpParser parser = new HttpParser(this, Wire.MOST_HEADER);
    private final ByteBuffer input = BufferUtil.allocate(4096);
    private State state = State.READING;
    private boolean parsing;
    private boolean inputFull;
    private boolean sawEnd;
    private boolean resetDue;
    private Timers.Timer limit;
    private Exchange exchange;

    private String method;
    private String target;
    private HttpFields.Mutable fields;
    private final Body body = new Body(Wire.MOST_BODY);
    private boolean persistent;

    ClientConnection(EndPoint endPoint, Front front, boolean full) {
        super(endPoint);
        this.front = front;
        this.full = full;
    }

    State state() {
        return state;
    }

    /** Between requests, with nothing read of the next. */
    boolean idle() {
        return state == State.READING && limit == null && BufferUtil.isEmpty(input);
    }

    /** Closes between requests; one that has arrived by now is still taken, and closes with its answer. */
    void closeIfIdle() {
        try {
            if (idle() && getEndPoint().fill(input) > 0) {
                parse();
            }
        } catch (IOException e) {
            close();
        }
        if (idle()) {
            close();
        }
    }

    @Override
    public void onOpen() {
        super.onOpen();
        if (full) {
            limit = front.timers().at(front.broker().nowUs() + Front.FULL_US, this::close);
        }
        fillInterested();
    }

    @Override
    public void onFillable() {
        try {
            while (state != State.CLOSED) {
                if (state == State.LINGERING) {
                    BufferUtil.clear(input);
                } else if (BufferUtil.space(input) == 0) {
                    BufferUtil.compact(input);
                }
                if (BufferUtil.space(input) == 0) {
                    inputFull = true;
                    return;
                }
                int filled = getEndPoint().fill(input);
                if (filled < 0) {
                    ended();
                    return;
                }
                if (filled == 0) {
                    fillInterested();
                    return;
                }
                parse();
            }
        } catch (IOException e) {
            ended();
        }
    }

    @Override
    protected void onFillInterestedFailed(Throwable cause) {
        ended();
    }

    /**
     * The client closed or broke the connection. A client that only ended its sending may still read, so what it
     * is owed is answered as failed before the connection closes.
     */
    private void ended() {
        if (state == State.TAKEN) {
            front.broker().clientGone(exchange);
            answer(500, null, 0, "the client closed its side".getBytes(StandardCharsets.UTF_8), true);
        } else if (state == State.ANSWERING) {
            sawEnd = true;
        } else {
            close();
        }
    }

    /** Takes requests from the buffer while there are any and none is being served. */
    private void parse() {
        if (parsing) {
            return;
        }
        parsing = true;
        try {
            while (state == State.READING && BufferUtil.hasContent(input)) {
                if (limit == null) {
                    limit = front.timers().at(front.broker().nowUs() + Front.REQUEST_US, this::close);
                }
                boolean paused = parser.parseNext(input);
                if (resetDue) {
                    resetDue = false;
                    parser.reset();
                } else if (!paused) {
                    break;
                }
            }
        } finally {
            parsing = false;
        }
    }

    // ---- What the parser tells ----

    @Override
    public void startRequest(String newMethod, String uri, HttpVersion version) {
        method = newMethod;
        target = uri;
        fields = HttpFields.build();
        body.take();
        persistent = version == HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
        fields.add(field);
        if (field.getHeader() == HttpHeader.CONNECTION) {
            persistent = field.contains("close") ? false : persistent || field.contains("keep-alive");
        }
    }

    @Override
    public boolean headerComplete() {
        long length = fields.getLongField(HttpHeader.CONTENT_LENGTH);
        if (length > Wire.MOST_BODY) {
            malformed(413, "the body is over " + Wire.MOST_BODY + " bytes");
            return true;
        }
        if (fields.contains(HttpHeader.EXPECT, "100-continue")) {
            getEndPoint().write(nonBlocking(() -> {}, cause -> close()), BufferUtil.toBuffer("HTTP/1.1 100 Continue\r\n\r\n"));
        }
        return false;
    }

    @Override
    public boolean content(ByteBuffer item) {
        boolean fits = body.add(item);
        if (!fits) {
            malformed(413, "the body is over " + Wire.MOST_BODY + " bytes");
        }
        return !fits;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        if (state != State.READING) {
            return true;
        }
        stopLimit();
        byte[] bytes = body.take();
        try {
            if (full) {
                front.broker().counters().add("connections.full");
                answer(503, null, Front.FULL_US, new byte[0], true);
            } else if (target.equals("/ready")) {
                local(front.isReady() ? 200 : 503, front.isReady() ? "ready\n" : "not ready\n");
            } else if (target.equals("/counters")) {
                local(200, front.broker().counters().text());
            } else {
                take(bytes);
            }
        } catch (DemandReader.Malformed e) {
            front.broker().counters().add("malformed." + e.status());
            local(e.status(), e.getMessage() + "\n");
        }
        return true;
    }

    private void take(byte[] bytes) throws DemandReader.Malformed {
        var demand = front.reader().read(method, target, fields);
        state = State.TAKEN;
        front.broker().take(demand, new Message.Ask(method, target, fields.get(Wire.TXN),
                fields.get(Wire.EFFECT_KEY), fields.get(HttpHeader.CONTENT_TYPE), bytes), this, taken -> exchange = taken);
    }

    private void local(int status, String text) {
        answer(status, "text/plain", 0, text.getBytes(StandardCharsets.UTF_8), false);
    }

    @Override
    public void badMessage(HttpException failure) {
        int code = failure.getCode();
        malformed(code == 431 || code == 414 ? 431 : code == 413 ? 413 : 400, String.valueOf(failure.getReason()));
    }

    private void malformed(int status, String why) {
        if (state == State.READING) {
            front.broker().counters().add("malformed." + status);
            answer(status, "text/plain", 0, (why + "\n").getBytes(StandardCharsets.UTF_8), true);
        }
    }

    @Override
    public void earlyEOF() {
        close();
    }

    // ---- The final answer ----

    @Override
    public void served(Object answer) {
        Message.Answer whole = (Message.Answer) answer;
        answer(200, whole.type(), 0, BufferUtil.toArray(whole.body()), false);
    }

    @Override
    public void refused(long retryAfterUs) {
        answer(503, null, retryAfterUs, new byte[0], false);
    }

    @Override
    public void failed(Attempt last) {
        boolean late = last == null || !last.isEnded() || last.outcome() == Outcome.TIMED_OUT;
        answer(late ? 504 : 502, null, 0, new byte[0], false);
    }

    private void answer(int status, String type, long retryAfterUs, byte[] bytes, boolean close) {
        if (state != State.READING && state != State.TAKEN) {
            return;
        }
        stopLimit();
        state = State.ANSWERING;
        exchange = null;
        boolean last = close || !persistent || front.closesAfterAnswer();
        limit = front.timers().at(front.broker().nowUs() + Front.ANSWER_US, this::close);
        ByteBuffer head = Wire.answer(status, type, retryAfterUs, last, bytes.length);
        getEndPoint().write(nonBlocking(() -> written(last), this::notWritten), head, ByteBuffer.wrap(bytes));
    }

    private void next() {
        state = State.READING;
        method = null;
        target = null;
        fields = null;
        body.take();
        front.used(this);
        if (parsing) {
            resetDue = true;
        } else {
            parser.reset();
            parse();
        }
    }

    /**
     * Ends its sending and drops what still comes, for a while. Closing at once with bytes unread would reset the
     * connection, and the client could lose the answer.
     */
    private void linger() {
        state = State.LINGERING;
        getEndPoint().shutdownOutput();
        limit = front.timers().at(front.broker().nowUs() + Front.LINGER_US, this::close);
    }

    private void resume() {
        if (inputFull && state != State.CLOSED) {
            inputFull = false;
            onFillable();
        }
    }

    private void written(boolean last) {
        stopLimit();
        if (state != State.ANSWERING) {
            return;
        }
        if (sawEnd) {
            close();
        } else if (last || front.isClosing()) {
            linger();
        } else {
            next();
        }
        resume();
    }

    private void notWritten(Throwable cause) {
        front.broker().counters().add("answers_not_written");
        close();
    }

    private void stopLimit() {
        if (limit != null) {
            limit.cancel();
            limit = null;
        }
    }

    @Override
    public void close() {
        if (state != State.CLOSED) {
            State before = state;
            state = State.CLOSED;
            stopLimit();
            front.closed(this);
            getEndPoint().close();
            if (before == State.TAKEN && exchange != null) {
                front.broker().clientGone(exchange);
            }
        }
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        close();
    }
}
