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
import petrelstand.core.ClientPresence;
import petrelstand.core.Demand;
import petrelstand.core.Exchange;
import petrelstand.core.RequestCounts.RequestResult;
import petrelstand.core.Timers;
import petrelstand.decision.Scheduling.Outcome;
import petrelstand.decision.Scheduling.RequestClass;
import petrelstand.net.HttpMessageParser;
import petrelstand.net.LoopConnection;

/**
 * A connection from a client. Requests are processed one at a time: bytes of later requests wait in the input buffer
 * until the current answer is written. The connection keeps reading meanwhile, so that a client's disconnect is noticed
 * at once, up to {@link #MAX_READ_AHEAD_BYTES}; beyond, it reads on as there is room. Large bodies and large answers
 * are streamed, one piece at a time.
 */
final class ClientConnection extends LoopConnection
        implements HttpParser.RequestHandler, ClientHandler, AnswerStream.Receiver, RequestBodyStream.Source {
    enum State {
        /** Between requests, or reading one that has not been submitted. */
        READING,
        /** The request is with the broker. */
        IN_PROGRESS,
        /** An answer is being written. */
        ANSWERING,
        /** Output is shut down, and further input is discarded. */
        LINGERING,
        CLOSED
    }

    /** Number of ranks that {@link #evictionRank} distinguishes. */
    static final int EVICTION_RANKS = 4;

    private final HttpFront front;
    private final boolean overLimit;
    private final boolean closeOnOpen;
    private final long openedUs;
    /** Read size for heads; an idle or silent connection may hold no more. */
    private static final int HEAD_INPUT_BYTES = 2048;
    /** Read size for a body that is buffered. */
    private static final int BODY_INPUT_BYTES = 16 * 1024;
    /** Read size for a body that is streamed. */
    private static final int LARGE_INPUT_BYTES = 32 * 1024;
    /** Limit of the input buffer, for pipelined requests and for a body that no node has been chosen for yet. */
    static final int MAX_READ_AHEAD_BYTES = 256 * 1024;
    /** Limit of the input buffer for the last look at a client whose request is about to be sent. */
    static final int MAX_LAST_READ_AHEAD_BYTES = 2 * MAX_READ_AHEAD_BYTES;
    /** Bytes of a large body that are buffered before its request is submitted, so that another node can be tried. */
    private static final int BODY_PREFIX_BYTES = 16 * 1024;

    /** Parser of the current request; null between requests, to release its memory. */
    private HttpParser parser;
    /** Empty between requests and while input is only discarded, to release its memory. */
    private final InputBuffer input;

    private final ArrivalTimes arrivalTimes = new ArrivalTimes();
    private final ClientPresence presence;
    private final TurnAllowance turnAllowance = new TurnAllowance();
    /** Goes on with buffered requests in the next turn; null if none wait for it. */
    private Timers.Timer nextTurn;

    private int maxReadAheadBytes = MAX_READ_AHEAD_BYTES;
    private State state = State.READING;
    private boolean parsing;
    /** Reading is paused, because the input buffer is full or holds a piece of the body that the node has to take. */
    private boolean readPaused;

    private boolean sawEof;
    private boolean parserResetDue;
    /** The first byte of the current request has been received. */
    private boolean requestStarted;

    private long requestStartedUs;
    /** At least one complete request has been received on this connection. */
    private boolean receivedRequest;

    private boolean lingerReceivedData;
    /** The connection was closed between requests, so the process exit need not wait for it. */
    private boolean closedIdle;

    private long lingerDeadlineUs;
    private Timers.Timer timeout;
    private Exchange exchange;

    private String method;
    private String target;
    private HttpVersion version;
    /** The header fields of the current request that are used; see {@link HeadFields}. */
    private HttpFields.Mutable fields;

    private final LongHeadReservation longHead;
    /** The name of a field whose value is too long; null if there is none. */
    private String oversizedField;

    private final BodyBuffer body;
    /** The streamed body of the request in progress; null if the body is buffered, and once it is complete. */
    private RequestBodyStream bodyStream;
    /** The request was answered before the last byte of its body. */
    private boolean answeredBeforeBodyEnd;
    /** The node connection has not asked for the next piece of the body. */
    private boolean bodyHeld;

    /** The head of the current request is complete, and its body is being received. */
    private boolean receivingBody;

    private long bodyStartedUs;
    private long bodyBytes;
    /** The answer that is being streamed; null if the answer is buffered. */
    private AnswerStream answerStream;

    /** The exchange of the streamed answer, until its end is reported to the broker. */
    private Exchange streamedExchange;

    private StreamedMessageWriter writer;
    private boolean closeAfterStream;
    /** Bytes of the answer being written that are reserved from the budget of outgoing answers. */
    private int reservedAnswerBytes;

    private boolean keepAlive;

    /**
     * Creates a connection.
     *
     * @param overLimit whether its request is refused, because the connection limit is reached
     * @param closeOnOpen whether it closes as soon as it opens, to save descriptors
     */
    ClientConnection(EndPoint endPoint, HttpFront front, boolean overLimit, boolean closeOnOpen) {
        super(endPoint);
        this.front = front;
        this.body =
                new BodyBuffer(HttpProtocol.MAX_BUFFERED_BODY_BYTES + LARGE_INPUT_BYTES, front.incomingRequestBudget());
        this.input = new InputBuffer(HEAD_INPUT_BYTES, front.incomingRequestBudget());
        this.longHead = new LongHeadReservation(front.longHeadBudget());
        this.overLimit = overLimit;
        this.closeOnOpen = closeOnOpen;
        this.openedUs = front.broker().nowUs();
        this.presence = new ClientPresence(quietUs(openedUs));
    }

    State state() {
        return state;
    }

    /** Whether the process exit waits for this connection, because exiting could cut off an answer. */
    boolean delaysExit() {
        return !closedIdle;
    }

    /** Whether the connection is between requests, with no byte of the next one received. */
    boolean isIdle() {
        return state == State.READING && !requestStarted && input.isEmpty();
    }

    /**
     * Order in which connections are evicted: 0 for new connections that stay silent, 1 for idle connections that have
     * been used, 2 for requests that arrive too slowly, 3 for connections that were opened just now; -1 if the
     * connection must stay.
     */
    int evictionRank(long nowUs) {
        if (isIdle()) {
            return receivedRequest ? 1 : nowUs >= openedUs + HttpFront.SILENT_AFTER_US ? 0 : 3;
        }
        return state == State.READING
                        && requestStarted
                        && nowUs >= requestStartedUs + HttpFront.PARTIAL_REQUEST_GRACE_US
                ? 2
                : -1;
    }

    /**
     * Closes the connection to make room, unless a complete request turns out to have arrived. A client with a partial
     * request gets a 408 first.
     *
     * @return whether the connection is closed
     */
    boolean evict() {
        if (isIdle()) {
            closeIfIdle(Long.MAX_VALUE, true);
        } else {
            rejectMalformed(408, "the request did not come whole while there was room");
            close();
        }
        return state == State.CLOSED;
    }

    /**
     * Closes the connection if it is between requests, unless it was opened after a given time and has not been used.
     * Input that has already arrived is read first, and a request in it is still served. Later input is read and
     * discarded for a while, because closing with unread input would reset the connection and could cut off the last
     * answer.
     *
     * @param openedUntilUs unused connections that were opened later stay open
     * @param withoutLinger closes after a single read, because the descriptor is needed
     * @return whether the connection is closed or lingering
     */
    boolean closeIfIdle(long openedUntilUs, boolean withoutLinger) {
        if (!isIdle() || !receivedRequest && openedUs > openedUntilUs) {
            return false;
        }
        try {
            int readBytes = fill(input.allocated());
            if (readBytes > 0) {
                arrivalTimes.recordRead(readBytes, front.broker().nowUs());
                parse();
            } else if (readBytes < 0) {
                close();
            }
            if (isIdle()) {
                cancelTimeout();
                closedIdle = true;
                startLinger();
                if (withoutLinger) {
                    discardInput();
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
        if (closeOnOpen) {
            front.broker().counters().increment("connections.closed_at_once");
            close();
            return;
        }
        timeout = front.timers()
                .schedule(
                        openedUs + (overLimit ? HttpFront.RETRY_AFTER_US : HttpFront.REQUEST_TIMEOUT_US),
                        this::onTimeout);
        fillInterested();
    }

    /** Handles the request timeout: an idle connection is closed, and a client with a partial request gets a 408. */
    private void onTimeout() {
        timeout = null;
        front.broker().counters().increment("connections.late");
        if (isIdle()) {
            closeIfIdle(Long.MAX_VALUE, false);
            return;
        }
        // Read what arrived while the event loop was blocked.
        State stateBefore = state;
        long bodyBytesBefore = bodyBytes;
        onFillable();
        if (state != stateBefore || bodyBytes != bodyBytesBefore || isIdle()) {
            return;
        }
        cancelTimeout();
        if (state == State.IN_PROGRESS) {
            front.broker().clientGone(exchange);
            sendAnswer(408, "text/plain", 0, BufferUtil.toBuffer("the body did not go on\n"), true);
        } else {
            rejectMalformed(408, "the request did not come whole in time");
        }
    }

    /**
     * Reads what has arrived. What it tells the broker is simultaneous, so that a request is not sent if its client's
     * end was read behind it.
     */
    @Override
    public void onFillable() {
        front.broker().runSimultaneously(this::readInput);
    }

    private void readInput() {
        try {
            while (state != State.CLOSED) {
                if (state == State.LINGERING) {
                    if (discardInput() <= 0) {
                        return;
                    }
                    continue;
                }
                if (nextTurn != null) {
                    pauseReading();
                    return;
                }
                if (bodyStream != null && bodyHeld && bodyStream.isStarted() && state == State.IN_PROGRESS) {
                    // The input buffer holds an unwritten piece of the body; reading would overwrite it.
                    pauseReading();
                    return;
                }
                enlargeInputForBody();
                if (!input.ensureSpace(maxReadAheadBytes)) {
                    pauseReading();
                    return;
                }
                int readBytes = fill(input.bytes());
                if (readBytes < 0) {
                    onInputEnd();
                    return;
                }
                if (readBytes == 0) {
                    awaitInput();
                    return;
                }
                arrivalTimes.recordRead(readBytes, front.broker().nowUs());
                parse();
            }
        } catch (IOException e) {
            onInputEnd();
        }
    }

    /** Reads input as {@link EndPoint#fill} does, and records whether some may be left. */
    private int fill(ByteBuffer buffer) throws IOException {
        int readBytes = getEndPoint().fill(buffer);
        long nowUs = front.broker().nowUs();
        if (readBytes == 0 && isReadLimited()) {
            presence.inputRemains(quietUs(nowUs));
        } else if (readBytes == 0) {
            presence.inputDrained(nowUs);
        }
        return readBytes;
    }

    private void pauseReading() {
        readPaused = true;
        presence.inputRemains(quietUs(front.broker().nowUs()));
    }

    /**
     * Whether the client is known to be there. Where its end may lie behind unread input, reads on to a larger limit
     * first, whatever the turn of the loop allows.
     */
    @Override
    public ClientPresence.State presence() {
        if (state == State.IN_PROGRESS
                && (readPaused || presence.at(front.broker().nowUs()) == ClientPresence.State.UNKNOWN)) {
            lookForInputEnd();
        }
        return presence.at(front.broker().nowUs());
    }

    private void lookForInputEnd() {
        maxReadAheadBytes = MAX_LAST_READ_AHEAD_BYTES;
        int bufferedBefore;
        do {
            bufferedBefore = input.remaining();
            extendTurn();
            readPaused = false;
            onFillable();
        } while (state == State.IN_PROGRESS && isReadLimited() && input.remaining() > bufferedBefore);
        maxReadAheadBytes = MAX_READ_AHEAD_BYTES;
    }

    /** Reads what has arrived, if a request is in progress, to learn whether the client has left. */
    void readIfInProgress() {
        if (state == State.IN_PROGRESS) {
            onFillable();
        }
    }

    private void awaitInput() {
        readPaused = false;
        if (isIdle()) {
            releaseInput();
        }
        if (!isFillInterested()) {
            fillInterested();
        }
    }

    /** Enlarges an empty input buffer while a body is being received, if the shared budget allows it. */
    private void enlargeInputForBody() {
        if (bodyStream != null) {
            input.enlargeIfEmpty(LARGE_INPUT_BYTES);
        } else if (receivingBody) {
            input.enlargeIfEmpty(BODY_INPUT_BYTES);
        }
    }

    /** Releases the parser and the input buffer. */
    private void releaseInput() {
        parser = null;
        input.release();
    }

    private HttpParser parser() {
        if (parser == null) {
            parser = new HttpMessageParser(this, HttpProtocol.MAX_HEAD_BYTES);
            parser.setHeaderCacheSize(HttpProtocol.HEADER_CACHE_BYTES);
        }
        return parser;
    }

    /** Reads input and discards it; returns the number of bytes, 0 if none is available, or -1 at the end of input. */
    private int discardInput() throws IOException {
        releaseInput();
        BufferUtil.clear(front.discardBuffer());
        int readBytes = fill(front.discardBuffer());
        if (readBytes < 0) {
            onInputEnd();
        } else if (readBytes == 0) {
            awaitInput();
        }
        lingerReceivedData |= readBytes > 0;
        return readBytes;
    }

    @Override
    protected void onFillInterestedFailed(Throwable cause) {
        onInputEnd();
    }

    /**
     * Handles the end of the client's input. A client that only shut down its output may still read, so a request in
     * progress is answered with 500 before the connection closes.
     */
    private void onInputEnd() {
        if (state == State.IN_PROGRESS) {
            sawEof = true;
            front.broker().clientGone(exchange);
            sendAnswer(500, null, 0, BufferUtil.toBuffer("the client closed its side"), true);
        } else if (state == State.ANSWERING) {
            sawEof = true;
        } else {
            close();
        }
    }

    /**
     * Parses buffered requests while none is in progress, and the rest of a streamed body while its node asks for it.
     * The broker acts on a request after the parser has returned, since it may have the client's input read on.
     */
    private void parse() {
        if (!parsing) {
            front.broker().runSimultaneously(this::parseInput);
        }
    }

    private void parseInput() {
        parsing = true;
        try {
            // The parser reports the end of a body only on a further call, even without remaining input.
            boolean parseAgain = isBodyStreaming();
            while (state == State.READING && input.hasContent()
                    || isBodyStreaming() && (parseAgain || input.hasContent())) {
                if (!isBodyStreaming() && waitForNextTurn()) {
                    break;
                }
                parseAgain = false;
                if (!requestStarted) {
                    requestStarted = true;
                    requestStartedUs = front.broker().nowUs();
                    cancelTimeout();
                }
                if (timeout == null && !isBodyStreaming()) {
                    restartRequestTimeout();
                }
                longHead.startAt(input.bytes().position());
                boolean parserPaused = parser().parseNext(input.bytes());
                if (isWithinHead() && !reserveHead()) {
                    break;
                }
                if (parserResetDue || isRequestComplete()) {
                    parserResetDue = false;
                    parser = null;
                } else if (!parserPaused) {
                    break;
                }
            }
        } finally {
            parsing = false;
        }
        if (isIdle()) {
            releaseInput();
        }
    }

    /** Whether further requests wait for the next turn, because this connection has used up its part of this one. */
    private boolean waitForNextTurn() {
        long nowUs = front.broker().nowUs();
        if (nextTurn == null && turnAllowance.isUsedUp(nowUs)) {
            nextTurn = front.timers().schedule(nowUs + 1, this::goOnInNextTurn);
        }
        return nextTurn != null;
    }

    private void goOnInNextTurn() {
        nextTurn = null;
        parse();
        resumeReading();
    }

    /** Whether the parser is within a head, or within the trailers behind a body. */
    private boolean isWithinHead() {
        boolean receiving = state == State.READING || state == State.IN_PROGRESS;
        return receiving && parser != null && LongHeadReservation.isWithinHead(parser);
    }

    /**
     * Counts the parsed bytes of a head against the memory for heads; if there is no room the request is refused, and
     * false returned.
     */
    private boolean reserveHead() {
        if (longHead.countTo(input.bytes().position())) {
            return true;
        }
        if (state == State.IN_PROGRESS) {
            front.broker().clientGone(exchange);
        }
        refuseForMemory();
        return false;
    }

    // ---- Parser callbacks ----

    @Override
    public void startRequest(String newMethod, String uri, HttpVersion newVersion) {
        version = newVersion;
        method = newMethod;
        target = HttpProtocol.pathAndQuery(uri);
        bodyBytes = 0;
        fields = HttpFields.build();
        oversizedField = null;
        body.takeContent();
        keepAlive = version == HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
        if (!HeadFields.REQUEST.addIfUsed(fields, field)) {
            oversizedField = field.getName();
        }
        if (field.getHeader() == HttpHeader.CONNECTION) {
            keepAlive = field.contains("close") ? false : keepAlive || field.contains("keep-alive");
        }
    }

    @Override
    public boolean headerComplete() {
        if (!reserveHead()) {
            return true;
        }
        if (!HttpProtocol.supportsVersion(version)) {
            rejectMalformed(505, "the version is neither 1.0 nor 1.1");
            return true;
        }
        if (oversizedField != null) {
            rejectMalformed(400, oversizedField + " is longer than " + HeadFields.MAX_VALUE_LENGTH + " characters");
            return true;
        }
        String framingError = HttpProtocol.framingError(fields);
        if (framingError != null) {
            rejectMalformed(400, framingError);
            return true;
        }
        if (fields.getLongField(HttpHeader.CONTENT_LENGTH) > HttpProtocol.MAX_STREAMED_BODY_BYTES) {
            rejectMalformed(413, "the body is over " + HttpProtocol.MAX_STREAMED_BODY_BYTES + " bytes");
            return true;
        }
        if (fields.contains(HttpHeader.EXPECT, "100-continue")) {
            getEndPoint()
                    .write(
                            nonBlockingCallback(() -> {}, cause -> close()),
                            BufferUtil.toBuffer("HTTP/1.1 100 Continue\r\n\r\n"));
        }
        receivingBody =
                fields.getLongField(HttpHeader.CONTENT_LENGTH) > 0 || fields.contains(HttpHeader.TRANSFER_ENCODING);
        if (receivingBody) {
            restartRequestTimeout();
        }
        return false;
    }

    /** Restarts the timeout for the next part of the request. */
    private void restartRequestTimeout() {
        cancelTimeout();
        timeout = front.timers().schedule(front.broker().nowUs() + HttpFront.REQUEST_TIMEOUT_US, this::onTimeout);
    }

    @Override
    public boolean content(ByteBuffer data) {
        if (!checkBodyRate(data.remaining())) {
            return true;
        }
        if (bodyStream != null) {
            cancelTimeout();
            bodyHeld = true;
            bodyStream.deliver(data);
            if (bodyHeld && state == State.IN_PROGRESS) {
                front.broker().bodyAwaitsNode(exchange);
            }
            return bodyHeld;
        }
        if (!body.append(data)) {
            refuseForMemory();
            return true;
        }
        long length = fields.getLongField(HttpHeader.CONTENT_LENGTH);
        boolean large = length > HttpProtocol.MAX_BUFFERED_BODY_BYTES && body.size() >= BODY_PREFIX_BYTES
                || body.size() > HttpProtocol.MAX_BUFFERED_BODY_BYTES;
        return large && startBodyStream(length);
    }

    /**
     * Counts received bytes of a body. Each part of the body has its own timeout, and the body as a whole has a minimum
     * rate, so that a client can't hold a connection by sending a byte now and then.
     *
     * @return false if the body arrives too slowly; the request has then been handled as timed out
     */
    private boolean checkBodyRate(int dataBytes) {
        long nowUs = front.broker().nowUs();
        bodyStartedUs = bodyBytes == 0 ? nowUs : bodyStartedUs;
        bodyBytes += dataBytes;
        if (bodyBytes
                < (nowUs - bodyStartedUs - HttpFront.REQUEST_TIMEOUT_US)
                        / 1_000_000.0
                        * HttpFront.MIN_BODY_BYTES_PER_SECOND) {
            cancelTimeout();
            onTimeout();
            return false;
        }
        restartRequestTimeout();
        return true;
    }

    /** Submits the request of a large body after its first bytes; returns true if parsing must pause. */
    private boolean startBodyStream(long length) {
        cancelTimeout();
        bodyStream = new RequestBodyStream(length, this);
        bodyHeld = true;
        if (overLimit) {
            refuseOverLimit();
            return true;
        }
        try {
            submit(BufferUtil.toArray(body.takeContent()));
        } catch (DemandParser.MalformedRequestException e) {
            rejectMalformed(e);
        }
        return bodyHeld;
    }

    /** Whether the request in progress has been received completely, so that its parser's buffers can go. */
    private boolean isRequestComplete() {
        return state == State.IN_PROGRESS && bodyStream == null;
    }

    private boolean isBodyStreaming() {
        return bodyStream != null && !bodyHeld && state == State.IN_PROGRESS;
    }

    @Override
    public void requestMore() {
        if (state != State.IN_PROGRESS || bodyStream == null) {
            return;
        }
        bodyHeld = false;
        front.broker().bodyAwaitsClient(exchange);
        // Restart the rate measurement: the client could not send while the body was held.
        bodyBytes = 0;
        restartRequestTimeout();
        if (!parsing) {
            parse();
            resumeReading();
        }
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        receivingBody = false;
        if (bodyStream != null && state == State.IN_PROGRESS) {
            cancelTimeout();
            RequestBodyStream completed = bodyStream;
            long receivedUs = Math.min(lastArrivalUs(), arrivalTimes.lastConsumedByteUs(input.remaining()));
            bodyStream = null;
            front.broker().requestBodyComplete(exchange, receivedUs);
            completed.complete();
            return true;
        }
        if (state != State.READING) {
            return true;
        }
        cancelTimeout();
        receivedRequest = true;
        byte[] bufferedBody = BufferUtil.toArray(body.takeContent());
        try {
            if (overLimit) {
                refuseOverLimit();
            } else if (target.equals("/ready")) {
                answerLocally(
                        front.lifecycle().isReady() ? 200 : 503,
                        front.lifecycle().isReady() ? "ready\n" : "not ready\n");
            } else if (target.equals("/counters")) {
                answerLocally(200, front.broker().statusLines());
            } else if (front.page(target) != null) {
                answerLocally(200, front.page(target).get());
            } else {
                submit(bufferedBody);
            }
        } catch (DemandParser.MalformedRequestException e) {
            rejectMalformed(e);
        }
        return true;
    }

    /** Refuses the request because the connection limit is reached. */
    private void refuseOverLimit() {
        front.broker().counters().increment("connections.full");
        front.countRejected(target);
        sendAnswer(503, null, HttpFront.RETRY_AFTER_US, BufferUtil.EMPTY_BUFFER, true);
    }

    /** Refuses the request because the memory for bodies or for long heads is exhausted. */
    private void refuseForMemory() {
        front.broker().counters().increment("requests_no_room");
        if (target != null) {
            front.countRejected(target);
        }
        sendAnswer(503, null, HttpFront.RETRY_AFTER_US, BufferUtil.EMPTY_BUFFER, true);
    }

    private void rejectMalformed(DemandParser.MalformedRequestException e) {
        front.broker().counters().increment("malformed." + e.status());
        sendAnswer(e.status(), "text/plain", 0, BufferUtil.toBuffer(e.getMessage() + "\n"), true);
    }

    /** Validates the request and hands it to the broker, or refuses it if its time is up or the process is stopping. */
    private void submit(byte[] bufferedBody) throws DemandParser.MalformedRequestException {
        Demand demand = front.demandParser().parse(method, target, fields, bufferedBody.length);
        long nowUs = front.broker().nowUs();
        long waitedUs = bodyStream != null ? 0 : nowUs - arrivalTimes.lastConsumedByteUs(input.remaining());
        if (waitedUs > 0 && waitedUs >= demand.timeLeftUs()) {
            front.broker().counters().increment("refused.waited");
            front.countRejected(target);
            refused(0);
            return;
        }
        long requestedUs = demand.timeLeftUs() - waitedUs;
        long grantedUs = front.lifecycle().allowedTimeUs(nowUs, requestedUs);
        if (grantedUs < requestedUs && grantedUs == 0) {
            front.broker().counters().increment("refused.ending");
            front.countRejected(target);
            refused(front.lifecycle().retryAfterUs(nowUs));
            return;
        }
        String txnId = fields.get(HttpProtocol.TXN_HEADER);
        // Nodes count attempts by this id, so two open requests must not share it, nor a write run again under it.
        RequestClass requestClass = front.broker().settings().classes().get(demand.classIndex());
        if (!front.txnIds().claim(txnId, requestClass, grantedUs, nowUs)) {
            throw new DemandParser.MalformedRequestException(
                    409, HttpProtocol.TXN_HEADER + " is that of an open request, or of one that may have run");
        }
        if (!front.activeRequestBudget().tryReserve(bufferedBody.length)) {
            front.txnIds().release(txnId, requestClass, 0, nowUs);
            refuseForMemory();
            return;
        }
        state = State.IN_PROGRESS;
        front.broker()
                .submit(
                        demand.withTimeLeft(grantedUs),
                        new ForwardedMessage.Request(
                                method,
                                target,
                                txnId,
                                fields.get(HttpProtocol.IDEMPOTENCY_KEY_HEADER),
                                fields.get(HttpHeader.CONTENT_TYPE),
                                bufferedBody,
                                bodyStream),
                        bodyStream == null,
                        this,
                        newExchange -> exchange = newExchange);
    }

    @Override
    public long lastArrivalUs() {
        long missingBytes = bodyStream != null && bodyStream.length() >= 0 && parser != null
                ? bodyStream.length() - parser.getContentRead() - input.remaining()
                : Long.MAX_VALUE;
        return arrivalTimes.lastArrivalUs(
                unreadBytes(), missingBytes, front.broker().nowUs());
    }

    @Override
    public void exchangeClosed(Exchange finishedExchange) {
        ForwardedMessage.Request request = (ForwardedMessage.Request) finishedExchange.message();
        long nowUs = front.broker().nowUs();
        front.txnIds()
                .release(
                        request.txnId(),
                        finishedExchange.requestClass(),
                        finishedExchange.repeatableAfterUs(nowUs),
                        nowUs);
        front.activeRequestBudget().release(request.body().length);
    }

    private void answerLocally(int status, String text) {
        turnAllowance.countAnswer(front.broker().nowUs());
        sendAnswer(status, "text/plain", 0, BufferUtil.toBuffer(text, StandardCharsets.UTF_8), false);
    }

    @Override
    public void badMessage(HttpException failure) {
        int code = failure.getCode();
        rejectMalformed(
                code == 431 || code == 414 ? 431 : code == 413 ? 413 : 400, String.valueOf(failure.getReason()));
    }

    /** Answers a request that can't be parsed, is incomplete or exceeds a limit. */
    private void rejectMalformed(int status, String message) {
        if (state == State.READING) {
            front.broker().counters().increment("malformed." + status);
            sendAnswer(status, "text/plain", 0, BufferUtil.toBuffer(message + "\n", StandardCharsets.UTF_8), true);
        }
    }

    @Override
    public void earlyEOF() {
        // The parser never sees the end of input here, so it reports malformed chunks.
        rejectMalformed(400, "the body's chunks can't be read");
    }

    // ---- Answers ----

    @Override
    public boolean served(Object answer) {
        if (answer instanceof AnswerStream stream) {
            streamAnswer(stream);
            return false;
        }
        ForwardedMessage.Answer bufferedAnswer = (ForwardedMessage.Answer) answer;
        if (front.outgoingAnswerBudget().tryReserve(bufferedAnswer.body().remaining())) {
            reservedAnswerBytes = bufferedAnswer.body().remaining();
            sendAnswer(200, bufferedAnswer.contentType(), 0, bufferedAnswer.body(), false);
            return true;
        }
        // Limits the memory held by clients that don't read their answers.
        front.broker().counters().increment("answers_no_room");
        front.broker().streamedAnswerEnded(exchange, RequestResult.FAILED);
        sendAnswer(502, null, 0, BufferUtil.EMPTY_BUFFER, false);
        return false;
    }

    /** Starts to stream an answer to the client. */
    private void streamAnswer(AnswerStream stream) {
        cancelTimeout();
        state = State.ANSWERING;
        streamedExchange = exchange;
        exchange = null;
        answerStream = stream;
        // Without a length, an HTTP/1.0 client recognizes the end of the answer only by the end of the connection.
        closeAfterStream = shouldCloseAfterAnswer() || version == HttpVersion.HTTP_1_0 && stream.length() < 0;
        writer = StreamedMessageWriter.of(
                getEndPoint(),
                HttpProtocol.responseMetaData(
                        200, version, stream.fields().get(HttpHeader.CONTENT_TYPE), closeAfterStream, stream.length()));
        stream.subscribe(this);
    }

    @Override
    public void onData(ByteBuffer data) {
        cancelTimeout();
        timeout = front.timers().schedule(front.broker().nowUs() + HttpFront.STREAM_WRITE_TIMEOUT_US, this::close);
        writer.write(
                data,
                false,
                () -> {
                    if (answerStream != null) {
                        answerStream.requestMore();
                    }
                },
                this::onAnswerWriteFailed);
    }

    @Override
    public void onComplete() {
        answerStream = null;
        writer.write(
                BufferUtil.EMPTY_BUFFER,
                true,
                () -> {
                    reportStreamEnd(RequestResult.SERVED);
                    onAnswerWritten(closeAfterStream);
                },
                this::onAnswerWriteFailed);
    }

    @Override
    public void onAborted() {
        answerStream = null;
        reportStreamEnd(RequestResult.FAILED);
        close();
    }

    private void reportStreamEnd(RequestResult end) {
        if (streamedExchange != null) {
            front.broker().streamedAnswerEnded(streamedExchange, end);
            streamedExchange = null;
        }
    }

    /**
     * Whether the connection closes after the current answer, as it must if part of the request is still to come. A
     * process that is ending first answers what has been read of further requests.
     */
    private boolean shouldCloseAfterAnswer() {
        return !keepAlive
                || answeredBeforeBodyEnd
                || input.isEmpty()
                        && front.lifecycle().closesAfterAnswer(front.broker().nowUs());
    }

    @Override
    public void refused(long retryAfterUs) {
        turnAllowance.countAnswer(front.broker().nowUs());
        sendAnswer(503, null, retryAfterUs, BufferUtil.EMPTY_BUFFER, false);
    }

    @Override
    public void failed(Attempt lastAttempt) {
        turnAllowance.countAnswer(front.broker().nowUs());
        boolean timedOut = lastAttempt == null || !lastAttempt.isEnded() || lastAttempt.outcome() == Outcome.TIMED_OUT;
        sendAnswer(timedOut ? 504 : 502, null, 0, BufferUtil.EMPTY_BUFFER, false);
    }

    private void sendAnswer(int status, String type, long retryAfterUs, ByteBuffer content, boolean close) {
        if (state != State.READING && state != State.IN_PROGRESS) {
            releaseAnswerBudget();
            return;
        }
        cancelTimeout();
        state = State.ANSWERING;
        exchange = null;
        dropBodyStream();
        boolean closeAfter = close || shouldCloseAfterAnswer();
        timeout = front.timers().schedule(front.broker().nowUs() + HttpFront.ANSWER_WRITE_TIMEOUT_US, this::close);
        ByteBuffer head = HttpProtocol.answerHead(status, type, retryAfterUs, closeAfter, content.remaining());
        getEndPoint()
                .write(
                        nonBlockingCallback(() -> onAnswerWritten(closeAfter), this::onAnswerWriteFailed),
                        head,
                        content);
    }

    /** Releases a body that is answered before its end; its stream refers to the attempt and so to the request. */
    private void dropBodyStream() {
        answeredBeforeBodyEnd = bodyStream != null;
        bodyStream = null;
    }

    private void releaseAnswerBudget() {
        front.outgoingAnswerBudget().release(reservedAnswerBytes);
        reservedAnswerBytes = 0;
    }

    private void readNextRequest() {
        state = State.READING;
        requestStarted = false;
        writer = null;
        releaseHead();
        body.takeContent();
        front.markUsed(this);
        if (parsing) {
            parserResetDue = true;
        } else {
            parser = null;
            parse();
        }
    }

    /** Releases what is kept of the request's head. */
    private void releaseHead() {
        method = null;
        target = null;
        fields = null;
        longHead.release();
    }

    /**
     * Shuts down output and discards further input for a while. Closing with unread input would reset the connection,
     * and the client could lose the answer.
     */
    private void startLinger() {
        state = State.LINGERING;
        releaseInput();
        releaseHead();
        getEndPoint().shutdownOutput();
        lingerReceivedData = false;
        lingerDeadlineUs = front.broker().nowUs()
                + (answeredBeforeBodyEnd ? HttpFront.MAX_BODY_LINGER_US : HttpFront.MAX_LINGER_US);
        timeout = front.timers().schedule(front.broker().nowUs() + HttpFront.LINGER_SILENCE_US, this::onLingerTimeout);
    }

    private void onLingerTimeout() {
        long nowUs = front.broker().nowUs();
        if (!lingerReceivedData || nowUs >= lingerDeadlineUs) {
            close();
        } else {
            lingerReceivedData = false;
            timeout = front.timers()
                    .schedule(Math.min(nowUs + HttpFront.LINGER_SILENCE_US, lingerDeadlineUs), this::onLingerTimeout);
        }
    }

    /** Whether the process is ending and this connection has a request to answer, so that no further one is read. */
    private boolean isEndingWithRequestsRead() {
        return state == State.IN_PROGRESS
                && bodyStream == null
                && front.lifecycle().closesAfterAnswer(front.broker().nowUs());
    }

    private void resumeReading() {
        // While the parser runs it uses the input buffer; whoever called it reads on afterwards.
        if (readPaused && !parsing && state != State.CLOSED && !isEndingWithRequestsRead()) {
            readPaused = false;
            onFillable();
        }
    }

    private void onAnswerWritten(boolean closeAfter) {
        cancelTimeout();
        releaseAnswerBudget();
        if (state != State.ANSWERING) {
            return;
        }
        if (sawEof) {
            close();
        } else if (closeAfter
                || input.isEmpty()
                        && front.lifecycle()
                                .closesIdleConnections(front.broker().nowUs())) {
            startLinger();
        } else {
            readNextRequest();
        }
        resumeReading();
    }

    private void onAnswerWriteFailed(Throwable cause) {
        front.broker().counters().increment("answers_not_written");
        close();
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel();
            timeout = null;
        }
    }

    @Override
    public void close() {
        if (state != State.CLOSED) {
            State stateBefore = state;
            state = State.CLOSED;
            cancelTimeout();
            if (nextTurn != null) {
                nextTurn.cancel();
            }
            releaseAnswerBudget();
            body.takeContent();
            releaseInput();
            releaseHead();
            front.onConnectionClosed(this);
            getEndPoint().close();
            if (answerStream != null) {
                AnswerStream cancelledStream = answerStream;
                answerStream = null;
                cancelledStream.cancel();
            }
            reportStreamEnd(RequestResult.GONE);
            if (stateBefore == State.IN_PROGRESS && exchange != null) {
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
