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
import petrelstand.core.ClientHandler;
import petrelstand.core.Demand;
import petrelstand.core.Exchange;
import petrelstand.core.RequestCounts.RequestResult;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.net.HttpMessageParser;
import petrelstand.net.LoopConnection;

/**
 * A client's connection. It reads one request at a time; bytes of the next wait in the buffer until the answer is
 * written. It reads on meanwhile, to see at once that its client has gone: what a client sends beyond
 * {@link #MOST_AHEAD} is dropped, and the connection ends with the answer that is due. A large body passes on in pieces
 * as it comes, and a large answer too: of each, one piece is here at a time.
 */
final class ClientConnection extends LoopConnection
        implements HttpParser.RequestHandler, ClientHandler, Flow.Taker, Upload.Source {
    enum State {
        READING,
        TAKEN,
        ANSWERING,
        LINGERING,
        CLOSED
    }

    /** Ranks of those that may make room, the first to go first. */
    static final int RANKS = 4;

    private final HttpFront front;
    private final boolean full;
    private final boolean unwanted;
    private final long openedUs;
    private static final int INPUT = 4096;
    private static final int INPUT_LARGE = 32 * 1024;
    /**
     * What may wait here before it can be used: requests behind the one in work, a body that no node is chosen for yet.
     */
    static final int MOST_AHEAD = 256 * 1024;
    /** What is kept of a large body before its request is taken: enough to choose a node and to try it again. */
    private static final int BEGINNING = 16 * 1024;

    /** Reads the request at hand; null while the connection rests, so that what it has grown to is not kept. */
    private HttpParser parser;
    /** Without room while the connection rests or only drops what comes. */
    private ByteBuffer input = BufferUtil.EMPTY_BUFFER;

    private final Arrivals arrivals = new Arrivals();
    private State state = State.READING;
    private boolean parsing;
    /** Bytes of the input's room that count against the budget of requests being read. */
    private int ahead;
    /** Reading rests: the piece of a body that is with the node's side lies in the input. */
    private boolean paused;
    /** More came than may wait here: the connection ends with the answer that is due. */
    private boolean overrun;

    private boolean sawEnd;
    private boolean resetDue;
    /** A byte of the request being read has come. */
    private boolean begun;

    private long begunUs;
    /** A request has come whole on this connection. */
    private boolean used;

    private boolean lingerHeard;
    /** It ended between requests: it owes nothing, and nobody waits for its last bytes. */
    private boolean endedIdle;

    private long lingerUntilUs;
    private Timers.Timer limit;
    private Exchange exchange;

    private String method;
    private String target;
    private HttpVersion version;
    private HttpFields.Mutable fields;
    private final Body body;
    /** The body that passes on in pieces; null where it is kept until it is whole. */
    private Upload upload;
    /** The node's side has not asked for the next piece of the body. */
    private boolean held;

    private long bodyUs;
    private long bodyBytes;
    /** The answer that passes in pieces, the exchange that it belongs to, and what writes it. */
    private Flow flow;

    private Exchange flowing;
    private PieceWriter writer;
    private boolean lastAnswer;
    /** Bytes of an answer that are not wholly written. */
    private int writing;

    private boolean persistent;

    /** One that is unwanted closes as it opens. */
    ClientConnection(EndPoint endPoint, HttpFront front, boolean full, boolean unwanted) {
        super(endPoint);
        this.front = front;
        this.body = new Body(HttpProtocol.MAX_BUFFERED_BODY_BYTES + INPUT_LARGE, front.requests());
        this.full = full;
        this.unwanted = unwanted;
        this.openedUs = front.broker().nowUs();
    }

    State state() {
        return state;
    }

    /** Whether the end of the process would cut what it owes, or the last that it wrote. */
    boolean isOwing() {
        return !endedIdle;
    }

    /** Between requests, with nothing read of the next. */
    boolean idle() {
        return state == State.READING && !begun && BufferUtil.isEmpty(input);
    }

    /** Place among those that may make room: silent newcomers, kept ones, half requests, new ones; -1: none. */
    int rank(long nowUs) {
        if (idle()) {
            return used ? 1 : nowUs >= openedUs + HttpFront.SILENT_US ? 0 : 3;
        }
        return state == State.READING && begun && nowUs >= begunUs + HttpFront.HALF_US ? 2 : -1;
    }

    /** Closes to make room, but for what has just sent a whole request; half of one is told so first. */
    boolean giveWay() {
        if (idle()) {
            endIfIdle(Long.MAX_VALUE, true);
        } else {
            malformed(408, "the request did not come whole while there was room");
            close();
        }
        return state == State.CLOSED;
    }

    /**
     * Ends the connection between requests, unless it opened after a time and has not been used; a request that has
     * arrived by now is still taken. What arrives later is read and dropped, so that no reset cuts what was written:
     * for a while, or where its descriptor is needed only once. True where the connection has ended, or is ending.
     */
    boolean endIfIdle(long openedByUs, boolean atOnce) {
        if (!idle() || !used && openedUs > openedByUs) {
            return false;
        }
        try {
            int filled = getEndPoint().fill(room());
            if (filled > 0) {
                arrivals.came(filled, front.broker().nowUs());
                parse();
            } else if (filled < 0) {
                close();
            }
            if (idle()) {
                stopLimit();
                endedIdle = true;
                linger();
                if (atOnce) {
                    drop();
                    close();
                }
            }
        } catch (IOException e) {
            close();
        }
        return state == State.CLOSED || state == State.LINGERING;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        if (unwanted) {
            front.broker().counters().increment("connections.closed_at_once");
            close();
            return;
        }
        limit = front.timers().schedule(openedUs + (full ? HttpFront.FULL_US : HttpFront.REQUEST_US), this::late);
        fillInterested();
    }

    /** Guards against clients that say nothing, or half a request: the one is closed, the other told. */
    private void late() {
        limit = null;
        front.broker().counters().increment("connections.late");
        if (idle()) {
            endIfIdle(Long.MAX_VALUE, false);
            return;
        }
        // What came while the loop stood still is read first.
        State before = state;
        long bytes = bodyBytes;
        onFillable();
        if (state != before || bodyBytes != bytes || idle()) {
            return;
        }
        stopLimit();
        if (state == State.TAKEN) {
            front.broker().clientGone(exchange);
            answer(408, "text/plain", 0, BufferUtil.toBuffer("the body did not go on\n"), true);
        } else {
            malformed(408, "the request did not come whole in time");
        }
    }

    @Override
    public void onFillable() {
        try {
            for (int read = 0; state != State.CLOSED; ) {
                if (read >= HttpFront.MOST_READ) {
                    readOn();
                    return;
                }
                if (state == State.LINGERING || overrun) {
                    int filled = drop();
                    if (filled <= 0) {
                        return;
                    }
                    read += filled;
                    continue;
                }
                if (upload != null && held && upload.isBegun() && state == State.TAKEN) {
                    // The piece that is held lies in the buffer, and reading would write over it.
                    paused = true;
                    return;
                }
                if (upload != null && input.capacity() < INPUT_LARGE && BufferUtil.isEmpty(input)) {
                    enlarge();
                }
                if (BufferUtil.space(room()) == 0) {
                    BufferUtil.compact(input);
                }
                if (BufferUtil.space(input) == 0 && !growAhead()) {
                    if (upload != null && state == State.TAKEN) {
                        paused = true;
                        return;
                    }
                    overrun = true;
                    continue;
                }
                int filled = getEndPoint().fill(input);
                if (filled < 0) {
                    ended();
                    return;
                }
                if (filled == 0) {
                    readOn();
                    return;
                }
                read += filled;
                arrivals.came(filled, front.broker().nowUs());
                parse();
            }
        } catch (IOException e) {
            ended();
        }
    }

    private void readOn() {
        if (idle()) {
            giveBack();
        }
        if (!isFillInterested()) {
            fillInterested();
        }
    }

    /** More room for what can't be used yet; false at the bound, or where all connections together have too much. */
    private boolean growAhead() {
        int more = Math.min(2 * input.capacity(), MOST_AHEAD) - input.capacity();
        if (more <= 0 || !front.requests().take(more)) {
            return false;
        }
        ByteBuffer larger = BufferUtil.allocate(input.capacity() + more);
        BufferUtil.append(larger, input);
        input = larger;
        ahead += more;
        return true;
    }

    /** The room for what comes next, made where there is none. */
    private ByteBuffer room() {
        if (input.capacity() == 0) {
            input = BufferUtil.allocate(INPUT);
        }
        return input;
    }

    /** Larger room for a large body's pieces, while there is nothing in it and where the budget has it. */
    private void enlarge() {
        int more = INPUT_LARGE - input.capacity();
        if (front.requests().take(more)) {
            input = BufferUtil.allocate(INPUT_LARGE);
            ahead += more;
        }
    }

    /** Gives back what only a request that is being read needs. */
    private void giveBack() {
        parser = null;
        input = BufferUtil.EMPTY_BUFFER;
        front.requests().give(ahead);
        ahead = 0;
    }

    private HttpParser parser() {
        if (parser == null) {
            parser = new HttpMessageParser(this, HttpProtocol.MAX_HEAD_BYTES);
            parser.setHeaderCacheSize(HttpProtocol.HEADER_CACHE_BYTES);
        }
        return parser;
    }

    /** Reads what is not to be used, and drops it: what follows the last answer, and what came beyond the bound. */
    private int drop() throws IOException {
        giveBack();
        BufferUtil.clear(front.dropped());
        int filled = getEndPoint().fill(front.dropped());
        if (filled < 0) {
            ended();
        } else if (filled == 0) {
            readOn();
        }
        lingerHeard |= filled > 0;
        return filled;
    }

    @Override
    protected void onFillInterestedFailed(Throwable cause) {
        ended();
    }

    /**
     * The client closed or broke the connection. A client that only ended its sending may still read, so what it is
     * owed is answered as failed before the connection closes.
     */
    private void ended() {
        if (state == State.TAKEN) {
            sawEnd = true;
            front.broker().clientGone(exchange);
            answer(500, null, 0, BufferUtil.toBuffer("the client closed its side"), true);
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
            // The parser tells of a body's end only when it is asked again, even where nothing is left to read.
            boolean again = streams();
            while (state == State.READING && BufferUtil.hasContent(input)
                    || streams() && (again || BufferUtil.hasContent(input))) {
                again = false;
                if (!begun) {
                    begun = true;
                    begunUs = front.broker().nowUs();
                    stopLimit();
                }
                if (limit == null && !streams()) {
                    allowMore();
                }
                boolean paused = parser().parseNext(input);
                if (resetDue) {
                    resetDue = false;
                    parser = null;
                } else if (!paused) {
                    break;
                }
            }
        } finally {
            parsing = false;
        }
        if (idle()) {
            giveBack();
        }
    }

    // ---- What the parser tells ----

    @Override
    public void startRequest(String newMethod, String uri, HttpVersion newVersion) {
        version = newVersion;
        method = newMethod;
        target = HttpProtocol.pathAndQuery(uri);
        bodyBytes = 0;
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
        if (!HttpProtocol.supportsVersion(version)) {
            malformed(505, "the version is neither 1.0 nor 1.1");
            return true;
        }
        String wrong = HttpProtocol.framingError(fields);
        if (wrong != null) {
            malformed(400, wrong);
            return true;
        }
        if (fields.getLongField(HttpHeader.CONTENT_LENGTH) > HttpProtocol.MAX_STREAMED_BODY_BYTES) {
            malformed(413, "the body is over " + HttpProtocol.MAX_STREAMED_BODY_BYTES + " bytes");
            return true;
        }
        if (fields.contains(HttpHeader.EXPECT, "100-continue")) {
            getEndPoint()
                    .write(
                            nonBlockingCallback(() -> {}, cause -> close()),
                            BufferUtil.toBuffer("HTTP/1.1 100 Continue\r\n\r\n"));
        }
        if (fields.getLongField(HttpHeader.CONTENT_LENGTH) > 0 || fields.contains(HttpHeader.TRANSFER_ENCODING)) {
            allowMore();
        }
        return false;
    }

    /** What is to come next has its time from now on. */
    private void allowMore() {
        stopLimit();
        limit = front.timers().schedule(front.broker().nowUs() + HttpFront.REQUEST_US, this::late);
    }

    @Override
    public boolean content(ByteBuffer item) {
        if (!goesOn(item.remaining())) {
            return true;
        }
        if (upload != null) {
            stopLimit();
            held = true;
            upload.piece(item);
            return held;
        }
        if (!body.add(item)) {
            refuseNoRoom();
            return true;
        }
        long length = fields.getLongField(HttpHeader.CONTENT_LENGTH);
        boolean large = length > HttpProtocol.MAX_BUFFERED_BODY_BYTES && body.size() >= BEGINNING
                || body.size() > HttpProtocol.MAX_BUFFERED_BODY_BYTES;
        return large && stream(length);
    }

    /**
     * Counts what came of a body; false where it comes too slowly. Each part of it has its own time, and all of them a
     * least rate: guards against a client that holds a connection by a byte now and then.
     */
    private boolean goesOn(int bytes) {
        long now = front.broker().nowUs();
        bodyUs = bodyBytes == 0 ? now : bodyUs;
        bodyBytes += bytes;
        if (bodyBytes < (now - bodyUs - HttpFront.REQUEST_US) / 1_000_000.0 * HttpFront.LEAST_RATE) {
            stopLimit();
            late();
            return false;
        }
        allowMore();
        return true;
    }

    /** Takes the request of a body of which only the beginning has come; true where the rest has to wait. */
    private boolean stream(long length) {
        stopLimit();
        upload = new Upload(length, this);
        held = true;
        if (full) {
            refuseFull();
            return true;
        }
        try {
            take(BufferUtil.toArray(body.take()));
        } catch (DemandReader.Malformed e) {
            malformed(e);
        }
        return held;
    }

    private boolean streams() {
        return upload != null && !held && state == State.TAKEN;
    }

    @Override
    public void more() {
        if (state != State.TAKEN || upload == null) {
            return;
        }
        held = false;
        // Its rate is counted anew: while it was held it could not come.
        bodyBytes = 0;
        allowMore();
        if (!parsing) {
            parse();
            resume();
        }
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        if (upload != null && state == State.TAKEN) {
            stopLimit();
            Upload whole = upload;
            upload = null;
            front.broker().requestBodyComplete(exchange, arrivals.lastUsed(input.remaining()));
            whole.whole();
            return true;
        }
        if (state != State.READING) {
            return true;
        }
        stopLimit();
        used = true;
        byte[] bytes = BufferUtil.toArray(body.take());
        try {
            if (full) {
                refuseFull();
            } else if (target.equals("/ready")) {
                local(front.life().isReady() ? 200 : 503, front.life().isReady() ? "ready\n" : "not ready\n");
            } else if (target.equals("/counters")) {
                local(200, front.broker().counters().toLines());
            } else if (front.page(target) != null) {
                local(200, front.page(target).get());
            } else {
                take(bytes);
            }
        } catch (DemandReader.Malformed e) {
            malformed(e);
        }
        return true;
    }

    private void refuseFull() {
        front.broker().counters().increment("connections.full");
        front.rejected(target);
        answer(503, null, HttpFront.FULL_US, BufferUtil.EMPTY_BUFFER, true);
    }

    /** All connections together keep as much of bodies as they may. */
    private void refuseNoRoom() {
        front.broker().counters().increment("requests_no_room");
        front.rejected(target);
        answer(503, null, HttpFront.FULL_US, BufferUtil.EMPTY_BUFFER, true);
    }

    private void malformed(DemandReader.Malformed e) {
        front.broker().counters().increment("malformed." + e.status());
        answer(e.status(), "text/plain", 0, BufferUtil.toBuffer(e.getMessage() + "\n"), true);
    }

    private void take(byte[] bytes) throws DemandReader.Malformed {
        Demand demand = front.reader().read(method, target, fields, bytes.length);
        long now = front.broker().nowUs();
        long waitedUs = upload != null ? 0 : now - arrivals.lastUsed(input.remaining());
        if (waitedUs > 0 && waitedUs >= demand.timeLeftUs()) {
            front.broker().counters().increment("refused.waited");
            front.rejected(target);
            refused(0);
            return;
        }
        long wantedUs = demand.timeLeftUs() - waitedUs;
        long leftUs = front.life().allowedTimeUs(now, wantedUs);
        if (leftUs < wantedUs && leftUs == 0) {
            front.broker().counters().increment("refused.ending");
            front.rejected(target);
            refused(front.life().retryAfterUs(now));
            return;
        }
        String txn = fields.get(HttpProtocol.TXN_HEADER);
        // Guards against a second copy of another client's request: nodes count attempts by this id.
        if (!front.claim(txn)) {
            throw new DemandReader.Malformed(409, HttpProtocol.TXN_HEADER + " is that of an open request");
        }
        if (!front.inWork().take(bytes.length)) {
            front.release(txn);
            refuseNoRoom();
            return;
        }
        state = State.TAKEN;
        front.broker()
                .submit(
                        demand.withTimeLeft(leftUs),
                        new Message.Ask(
                                method,
                                target,
                                txn,
                                fields.get(HttpProtocol.IDEMPOTENCY_KEY_HEADER),
                                fields.get(HttpHeader.CONTENT_TYPE),
                                bytes,
                                upload),
                        this,
                        taken -> exchange = taken);
    }

    @Override
    public boolean isReceiving() {
        return upload != null;
    }

    @Override
    public void exchangeClosed(Exchange done) {
        Message.Ask ask = (Message.Ask) done.message();
        front.release(ask.txn());
        front.inWork().give(ask.body().length);
    }

    private void local(int status, String text) {
        answer(status, "text/plain", 0, BufferUtil.toBuffer(text, StandardCharsets.UTF_8), false);
    }

    @Override
    public void badMessage(HttpException failure) {
        int code = failure.getCode();
        malformed(code == 431 || code == 414 ? 431 : code == 413 ? 413 : 400, String.valueOf(failure.getReason()));
    }

    private void malformed(int status, String why) {
        if (state == State.READING) {
            front.broker().counters().increment("malformed." + status);
            answer(status, "text/plain", 0, BufferUtil.toBuffer(why + "\n", StandardCharsets.UTF_8), true);
        }
    }

    @Override
    public void earlyEOF() {
        // The parser, which is never told of the real end, says so of chunks that can't be read.
        malformed(400, "the body's chunks can't be read");
    }

    // ---- The final answer ----

    @Override
    public boolean served(Object answer) {
        if (answer instanceof Flow pieces) {
            flow(pieces);
            return false;
        }
        Message.Answer whole = (Message.Answer) answer;
        if (front.answers().take(whole.body().remaining())) {
            writing = whole.body().remaining();
            answer(200, whole.type(), 0, whole.body(), false);
            return true;
        }
        // Guards the memory against clients that do not take their answers.
        front.broker().counters().increment("answers_no_room");
        front.broker().streamedAnswerEnded(exchange, RequestResult.FAILED);
        answer(502, null, 0, BufferUtil.EMPTY_BUFFER, false);
        return false;
    }

    /** Passes an answer on as it comes. */
    private void flow(Flow pieces) {
        stopLimit();
        state = State.ANSWERING;
        flowing = exchange;
        exchange = null;
        flow = pieces;
        // Without a length, a client of HTTP/1.0 knows the end by the connection's.
        lastAnswer = endsHere() || version == HttpVersion.HTTP_1_0 && pieces.length() < 0;
        writer = PieceWriter.of(
                getEndPoint(),
                HttpProtocol.responseMetaData(
                        200, version, pieces.fields().get(HttpHeader.CONTENT_TYPE), lastAnswer, pieces.length()));
        pieces.take(this);
    }

    @Override
    public void piece(ByteBuffer piece) {
        stopLimit();
        limit = front.timers().schedule(front.broker().nowUs() + HttpFront.PIECE_US, this::close);
        writer.write(
                piece,
                false,
                () -> {
                    if (flow != null) {
                        flow.next();
                    }
                },
                this::notWritten);
    }

    @Override
    public void whole() {
        flow = null;
        writer.write(
                BufferUtil.EMPTY_BUFFER,
                true,
                () -> {
                    passed(RequestResult.SERVED);
                    written(lastAnswer);
                },
                this::notWritten);
    }

    @Override
    public void cut() {
        flow = null;
        passed(RequestResult.FAILED);
        close();
    }

    private void passed(RequestResult how) {
        if (flowing != null) {
            front.broker().streamedAnswerEnded(flowing, how);
            flowing = null;
        }
    }

    /** Whether the connection ends with the answer that is due: also where the request's rest is still to come. */
    private boolean endsHere() {
        return !persistent
                || overrun
                || upload != null
                || front.life().closesAfterAnswer(front.broker().nowUs());
    }

    @Override
    public void refused(long retryAfterUs) {
        answer(503, null, retryAfterUs, BufferUtil.EMPTY_BUFFER, false);
    }

    @Override
    public void failed(Attempt last) {
        boolean late = last == null || !last.isEnded() || last.outcome() == Outcome.TIMED_OUT;
        answer(late ? 504 : 502, null, 0, BufferUtil.EMPTY_BUFFER, false);
    }

    private void answer(int status, String type, long retryAfterUs, ByteBuffer content, boolean close) {
        if (state != State.READING && state != State.TAKEN) {
            releaseAnswer();
            return;
        }
        stopLimit();
        state = State.ANSWERING;
        exchange = null;
        boolean last = close || endsHere();
        limit = front.timers().schedule(front.broker().nowUs() + HttpFront.ANSWER_US, this::close);
        ByteBuffer head = HttpProtocol.answerHead(status, type, retryAfterUs, last, content.remaining());
        getEndPoint().write(nonBlockingCallback(() -> written(last), this::notWritten), head, content);
    }

    private void releaseAnswer() {
        front.answers().give(writing);
        writing = 0;
    }

    private void next() {
        state = State.READING;
        begun = false;
        writer = null;
        method = null;
        target = null;
        fields = null;
        body.take();
        front.used(this);
        if (parsing) {
            resetDue = true;
        } else {
            parser = null;
            parse();
        }
    }

    /**
     * Ends its sending and drops what still comes, for a while. Closing at once with bytes unread would reset the
     * connection, and the client could lose the answer.
     */
    private void linger() {
        state = State.LINGERING;
        giveBack();
        getEndPoint().shutdownOutput();
        lingerHeard = false;
        lingerUntilUs = front.broker().nowUs() + (upload != null ? HttpFront.LINGER_BODY_US : HttpFront.LINGER_MOST_US);
        limit = front.timers().schedule(front.broker().nowUs() + HttpFront.LINGER_US, this::lingered);
    }

    private void lingered() {
        long now = front.broker().nowUs();
        if (!lingerHeard || now >= lingerUntilUs) {
            close();
        } else {
            lingerHeard = false;
            limit = front.timers().schedule(Math.min(now + HttpFront.LINGER_US, lingerUntilUs), this::lingered);
        }
    }

    private void resume() {
        if (paused && state != State.CLOSED) {
            paused = false;
            onFillable();
        }
    }

    private void written(boolean last) {
        stopLimit();
        releaseAnswer();
        if (state != State.ANSWERING) {
            return;
        }
        if (sawEnd) {
            close();
        } else if (last
                || overrun
                || front.life().closesIdleConnections(front.broker().nowUs())) {
            linger();
        } else {
            next();
        }
        resume();
    }

    private void notWritten(Throwable cause) {
        front.broker().counters().increment("answers_not_written");
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
            releaseAnswer();
            body.take();
            giveBack();
            front.closed(this);
            getEndPoint().close();
            if (flow != null) {
                Flow left = flow;
                flow = null;
                left.stop();
            }
            passed(RequestResult.GONE);
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
