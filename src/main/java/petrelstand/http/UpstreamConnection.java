package petrelstand.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import petrelstand.net.HttpMessageParser;
import petrelstand.net.LoopConnection;

/**
 * An HTTP/1.1 connection to a storage node or to discovery, with one call at a time. Only complete, well-formed answers
 * are passed to the call, except for large ones that the call accepts as a stream. Anything else closes the connection
 * at once.
 */
public class UpstreamConnection extends LoopConnection implements HttpParser.ResponseHandler {
    enum State {
        IDLE,
        /** The request is being written. */
        SENDING,
        /** The request is written; its answer is not complete. */
        WAITING,
        CLOSED
    }

    private static final int READ_BYTES = 4096;
    /**
     * An answer with a larger body is streamed if its call accepts that; its latency then counts to the first bytes.
     */
    static final int STREAM_FROM_BYTES = HttpProtocol.MAX_BUFFERED_BODY_BYTES;
    /** Read size for larger bodies. */
    private static final int LARGE_READ_BYTES = 32 * 1024;
    /**
     * Time for which a connection must be silent after an answer before it may carry another request. A node may send a
     * second copy of its answer some milliseconds late; on a connection in use it would be taken for the next answer,
     * since answers don't name their request.
     */
    static final long SETTLE_US = 10_000;
    /** Limit of interim answers (1xx) before the final one. */
    private static final int MAX_INTERIM_ANSWERS = 16;

    /** Notified when the connection becomes idle (true) or is closed (false). */
    private final BiConsumer<UpstreamConnection, Boolean> owner;
    /** Parser of the current answer; null while the connection is idle, to release its memory. */
    private HttpParser parser;
    /** Empty while the connection is idle, to release its memory. */
    private final InputBuffer input;

    private State state = State.IDLE;
    private UpstreamCall call;
    private int status;
    private int interimAnswers;
    /** The header fields of the current answer that are used; see {@link HeadFields}. */
    private HttpFields.Mutable fields;
    /** The value of such a field is too long. */
    private boolean oversizedField;

    private final int maxBodyBytes;
    private final BodyBuffer body;
    private final LongHeadReservation longHead;

    private HttpVersion version;
    private boolean sawEof;
    private boolean keepAlive;
    private boolean answerComplete;
    private boolean partialReported;
    /** The head of a 200 answer announces a body over {@link #STREAM_FROM_BYTES}, or doesn't rule it out. */
    private boolean largeAnswer;
    /** A large answer is streamed from its next bytes on. */
    private boolean streamDue;

    private long receivedBytes;
    private long idleSinceUs;
    /** At least one answer has been received on this connection. */
    private boolean receivedAnswer;
    /** Bytes have been received that belong to no request, such as a second copy of an answer. */
    private boolean receivedExtraBytes;
    /** The answer that is being streamed; null if the answer is buffered. */
    private AnswerStream answerStream;
    /** The receiver is processing a piece of the answer; nothing is read until it asks for more. */
    private boolean readPaused;

    private boolean delivering;
    /** Bytes of the current streamed request body that have been passed on. */
    private long streamedBodyBytes;

    /**
     * Creates a connection.
     *
     * @param maxBodyBytes limit of a buffered answer body; a larger one closes the connection
     * @param budget shared budget for buffers; a body that exceeds it closes the connection
     * @param owner notified when the connection becomes idle (true) or is closed (false)
     */
    public UpstreamConnection(
            EndPoint endPoint, int maxBodyBytes, ByteBudget budget, BiConsumer<UpstreamConnection, Boolean> owner) {
        super(endPoint);
        this.maxBodyBytes = maxBodyBytes;
        this.body = new BodyBuffer(maxBodyBytes, budget);
        this.input = new InputBuffer(READ_BYTES, budget);
        this.longHead = new LongHeadReservation(budget);
        this.owner = owner;
    }

    State state() {
        return state;
    }

    long idleSinceUs() {
        return idleSinceUs;
    }

    /** Whether bytes that belong to an earlier answer would have arrived by now, so that the next answer is its own. */
    boolean isSettled(long nowUs) {
        return !receivedAnswer || nowUs - idleSinceUs >= SETTLE_US;
    }

    /** Whether the connection was closed because of bytes that belong to no request. */
    boolean receivedExtraBytes() {
        return receivedExtraBytes;
    }

    /** Sets the time since which the connection has been idle. */
    void markIdle(long nowUs) {
        idleSinceUs = nowUs;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        fillInterested();
    }

    /**
     * Sends a call.
     *
     * @throws IllegalStateException if the connection is not idle
     */
    public void send(UpstreamCall newCall) {
        if (state != State.IDLE) {
            throw new IllegalStateException("cannot send a call on a connection in state " + state);
        }
        state = State.SENDING;
        call = newCall;
        partialReported = false;
        streamDue = false;
        interimAnswers = 0;
        UpstreamCall.StreamedBody streamedBody = newCall.streamedBody();
        if (streamedBody != null) {
            new RequestBodyWriter(streamedBody).start();
        } else {
            getEndPoint().write(nonBlockingCallback(this::onRequestSent, cause -> fail(false)), newCall.requestBytes());
        }
    }

    /**
     * Writes a streamed request body: each piece from the client connection is written before the next is requested.
     */
    private final class RequestBodyWriter implements RequestBodyStream.Sink {
        private final UpstreamCall ownCall = call;
        private final UpstreamCall.StreamedBody streamedBody;
        private final StreamedMessageWriter writer;
        private boolean requesting;
        private boolean requestAgain;

        RequestBodyWriter(UpstreamCall.StreamedBody streamedBody) {
            this.streamedBody = streamedBody;
            this.writer = StreamedMessageWriter.of(getEndPoint(), streamedBody.head());
        }

        void start() {
            streamedBodyBytes = 0;
            writer.write(streamedBody.prefix(), false, this::requestNext, cause -> fail(false));
        }

        /** Requests one piece after another in a loop, to avoid recursion when a piece is written at once. */
        private void requestNext() {
            requestAgain = true;
            if (requesting) {
                return;
            }
            requesting = true;
            try {
                while (requestAgain && call == ownCall && state == State.SENDING) {
                    requestAgain = false;
                    ownCall.onBodyStreaming();
                    if (call == ownCall) {
                        streamedBody.bodyStream().requestNext(this);
                    }
                }
            } finally {
                requesting = false;
            }
        }

        @Override
        public void onData(ByteBuffer data) {
            streamedBodyBytes += data.remaining();
            writer.write(data, false, this::requestNext, cause -> fail(false));
        }

        @Override
        public void onComplete() {
            writer.write(BufferUtil.EMPTY_BUFFER, true, UpstreamConnection.this::onRequestSent, cause -> fail(false));
        }
    }

    private void onRequestSent() {
        if (state == State.SENDING) {
            state = State.WAITING;
            call.onRequestWritten();
        }
    }

    /**
     * Returns true if the connection is idle and has received nothing since its last answer; otherwise closes it.
     * Unexpected bytes would be taken for the answer to the next request.
     */
    boolean closeUnlessQuiet() {
        try {
            if (state == State.IDLE) {
                int readBytes = getEndPoint().fill(input.allocated());
                if (readBytes == 0) {
                    return true;
                }
                receivedExtraBytes = readBytes > 0;
            }
        } catch (IOException e) {
            // Closed below.
        }
        closeSilently();
        return false;
    }

    /** Bytes received so far. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Bytes of the current streamed request body that have been passed on. */
    long streamedBodyBytes() {
        return streamedBodyBytes;
    }

    /** Whether reading waits for the receiver of a streamed answer, and not for the node. */
    boolean isReadPaused() {
        return readPaused;
    }

    /** Resumes reading after the receiver has processed a piece. */
    void resumeReading() {
        readPaused = false;
        if (!delivering && state != State.CLOSED) {
            // The parser reports the end of a body only on a further call, even without remaining input.
            if (!answerComplete) {
                parseNext();
            }
            parseInput();
            if (!readPaused && state != State.CLOSED) {
                onFillable();
            }
        }
    }

    /**
     * Reads available input and closes the connection if the call's answer has made no progress.
     *
     * @param receivedBefore {@link #receivedBytes} at the previous check
     * @return whether the call is still in progress
     */
    boolean closeIfStalled(UpstreamCall expectedCall, long receivedBefore) {
        if (call == expectedCall && readAvailable() && call == expectedCall && receivedBytes == receivedBefore) {
            fail(true);
        }
        return call == expectedCall;
    }

    /**
     * Reads what has arrived, also beyond what one turn of the event loop allows.
     *
     * @param maxBytes limit of the bytes read; up to one turn's allowance more may be read
     */
    public void readArrived(long maxBytes) {
        long limit = receivedBytes + maxBytes;
        long receivedBefore;
        do {
            receivedBefore = receivedBytes;
            extendTurn();
            onFillable();
        } while (state != State.CLOSED && receivedBytes > receivedBefore && receivedBytes < limit);
    }

    @Override
    public void onFillable() {
        // A read outside of a read event may have paused at a piece while read interest is still registered.
        if (!readPaused && readAvailable() && !readPaused && !isFillInterested()) {
            fillInterested();
        }
    }

    /**
     * Reads the input that is available in this turn; returns false if the connection is closed. A complete answer is
     * delivered only when no more input is available.
     */
    private boolean readAvailable() {
        try {
            while (state != State.CLOSED && !readPaused) {
                BufferUtil.compact(input.allocated());
                int readBytes = getEndPoint().fill(input.bytes());
                if (readBytes < 0) {
                    sawEof = true;
                    if (!answerComplete) {
                        parser().atEOF();
                        parser().parseNext(BufferUtil.EMPTY_BUFFER);
                    }
                    keepAlive = false;
                    finishAnswer();
                    fail(false);
                } else if (readBytes == 0) {
                    if (call != null && !answerComplete && !partialReported && !parser().isStart()) {
                        partialReported = true;
                        call.onPartialAnswer();
                    }
                    finishAnswer();
                    if (state == State.IDLE) {
                        releaseInput();
                    }
                    return state != State.CLOSED;
                } else {
                    receivedBytes += readBytes;
                    parseInput();
                }
            }
        } catch (IOException e) {
            // Connection reset: an answer that was complete before is still valid.
            keepAlive = false;
            finishAnswer();
            fail(false);
        }
        return readPaused && state != State.CLOSED;
    }

    private void parseInput() {
        while (state != State.CLOSED && input.hasContent()) {
            if (answerComplete) {
                // Bytes after a complete answer: the answer is valid, but the connection can't be reused.
                receivedExtraBytes = true;
                keepAlive = false;
                finishAnswer();
                return;
            }
            if (call == null) {
                receivedExtraBytes = true;
                fail(true);
                return;
            }
            int remainingBefore = input.remaining();
            parseNext();
            if (readPaused || !answerComplete && input.remaining() == remainingBefore) {
                return;
            }
        }
        if (state != State.CLOSED
                && !answerComplete
                && (answerStream != null
                        || fields != null && fields.getLongField(HttpHeader.CONTENT_LENGTH) > LARGE_READ_BYTES)) {
            input.enlargeIfEmpty(LARGE_READ_BYTES);
        }
    }

    private void parseNext() {
        longHead.startAt(input.bytes().position());
        parser().parseNext(input.bytes());
        if (isWithinHead()) {
            reserveHead();
        }
    }

    /** Whether the parser is within a head, or within the trailers behind a body. */
    private boolean isWithinHead() {
        return state != State.CLOSED && parser != null && LongHeadReservation.isWithinHead(parser);
    }

    /** Counts the parsed bytes of a head against the budget; fails the call and returns false if there is no room. */
    private boolean reserveHead() {
        if (longHead.countTo(input.bytes().position())) {
            return true;
        }
        fail(true);
        return false;
    }

    /** Releases the parser and the input buffer. */
    private void releaseInput() {
        parser = null;
        longHead.release();
        input.release();
    }

    private HttpParser parser() {
        if (parser == null) {
            parser = new HttpMessageParser(this, HttpProtocol.MAX_HEAD_BYTES);
            parser.setHeaderCacheSize(HttpProtocol.HEADER_CACHE_BYTES);
        }
        return parser;
    }

    /** Delivers a complete answer to its call, and marks the connection idle or closes it. */
    private void finishAnswer() {
        if (!answerComplete || call == null) {
            return;
        }
        answerComplete = false;
        receivedAnswer = true;
        if (state == State.SENDING && status == 200) {
            // Nodes start a request after its last byte, so this can't be its answer.
            fail(true);
            return;
        }
        UpstreamCall finishedCall = call;
        releaseCall();
        AnswerStream finishedStream = answerStream;
        answerStream = null;
        ByteBuffer answerBody = body.takeContent();
        HttpFields answerFields = fields;
        fields = null;
        largeAnswer = false;
        if (keepAlive && state == State.WAITING) {
            state = State.IDLE;
            releaseInput();
            owner.accept(this, true);
        } else {
            closeSilently();
        }
        if (finishedStream != null) {
            finishedStream.complete();
        } else {
            finishedCall.onAnswer(status, answerFields, answerBody);
        }
    }

    @Override
    public void startResponse(HttpVersion newVersion, int newStatus, String reason) {
        version = newVersion;
        status = newStatus;
        largeAnswer = false;
        fields = HttpFields.build();
        oversizedField = false;
        body.takeContent();
        keepAlive = version == HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
        oversizedField |= !HeadFields.ANSWER.addIfUsed(fields, field);
        if (field.getHeader() == HttpHeader.CONNECTION && field.contains("close")) {
            keepAlive = false;
        }
    }

    /**
     * Rejects answers whose end is ambiguous: two lengths, no length on a persistent connection, a field that is too
     * long to be kept, or a body over the limit. With {@code Connection: close}, the end of the connection ends the
     * answer. Interim answers have no body and no length, and a protocol switch was never requested.
     */
    @Override
    public boolean headerComplete() {
        if (!reserveHead()) {
            return true;
        }
        boolean framed = fields.contains(HttpHeader.CONTENT_LENGTH) || fields.contains(HttpHeader.TRANSFER_ENCODING);
        if (!HttpProtocol.supportsVersion(version)
                || oversizedField
                || status == 101
                || status < 200 && (framed || ++interimAnswers > MAX_INTERIM_ANSWERS)
                || status == 200 && !framed && !fields.contains(HttpHeader.CONNECTION, "close")
                || HttpProtocol.framingError(fields) != null
                || fields.getLongField(HttpHeader.CONTENT_LENGTH) > HttpProtocol.MAX_STREAMED_BODY_BYTES) {
            fail(true);
            return true;
        }
        long length = fields.getLongField(HttpHeader.CONTENT_LENGTH);
        largeAnswer = status == 200 && (length > STREAM_FROM_BYTES || length < 0);
        body.announcedLength(Math.min(maxBodyBytes, length));
        return false;
    }

    @Override
    public boolean content(ByteBuffer data) {
        if (answerStream != null) {
            return deliver(data);
        }
        if (!body.append(data)) {
            fail(true);
            return true;
        }
        long length = fields.getLongField(HttpHeader.CONTENT_LENGTH);
        boolean large = status == 200 && body.size() > STREAM_FROM_BYTES || largeAnswer && streamDue;
        return large && startAnswerStream(length);
    }

    /** Whether an answer that is or may become large is being received for the given call. */
    boolean isReceivingLargeAnswer(UpstreamCall expectedCall) {
        return call == expectedCall && state == State.WAITING && largeAnswer && !answerComplete;
    }

    /**
     * Starts to stream a large answer, unless that has already started: with what is buffered, or else as soon as the
     * first bytes of its body arrive.
     */
    void streamPartialAnswer(UpstreamCall expectedCall) {
        streamDue |= call == expectedCall && state == State.WAITING;
        if (isReceivingLargeAnswer(expectedCall)
                && answerStream == null
                && body.size() > 0
                && !startAnswerStream(fields.getLongField(HttpHeader.CONTENT_LENGTH))
                && !isFillInterested()) {
            fillInterested();
        }
    }

    /** Offers the answer to its call as a stream; returns true if parsing must pause. */
    private boolean startAnswerStream(long length) {
        if (state != State.WAITING) {
            fail(true);
            return true;
        }
        AnswerStream newStream = new AnswerStream(fields, length, this);
        if (!call.acceptAnswerStream(newStream)) {
            return false;
        }
        if (!newStream.isSubscribed()) {
            closeSilently();
            return true;
        }
        answerStream = newStream;
        return deliver(body.takeContent());
    }

    private boolean deliver(ByteBuffer data) {
        readPaused = true;
        delivering = true;
        answerStream.deliver(data);
        delivering = false;
        return readPaused || state == State.CLOSED;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        if (status < 200) {
            // An interim answer; the final one follows.
            parser().reset();
            return false;
        }
        answerComplete = state != State.CLOSED;
        return true;
    }

    @Override
    public void earlyEOF() {
        // The parser also reports malformed chunks here.
        fail(!sawEof);
    }

    @Override
    public void badMessage(HttpException failure) {
        fail(true);
    }

    @Override
    protected void onFillInterestedFailed(Throwable cause) {
        fail(false);
    }

    /**
     * Closes the connection and reports the failure to the call in progress, or aborts its answer stream.
     *
     * @param malformed whether the received bytes are not a valid answer
     */
    private void fail(boolean malformed) {
        if (state != State.CLOSED) {
            UpstreamCall.Failure failure = state != State.WAITING
                    ? UpstreamCall.Failure.UNWRITTEN
                    : malformed ? UpstreamCall.Failure.SPOILT : UpstreamCall.Failure.ENDED;
            UpstreamCall failedCall = call;
            AnswerStream abortedStream = answerStream;
            closeSilently();
            if (abortedStream != null) {
                abortedStream.abort();
            } else if (failedCall != null) {
                failedCall.onFailure(failure);
            }
        }
    }

    /** Drops the call, so that nothing on this connection keeps its request. */
    private void releaseCall() {
        UpstreamCall released = call;
        call = null;
        if (released != null) {
            released.onReleased();
        }
    }

    /** Closes the connection without notifying the call in progress of an outcome. */
    public void closeSilently() {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            releaseCall();
            answerStream = null;
            body.takeContent();
            releaseInput();
            getEndPoint().close();
            owner.accept(this, false);
        }
    }

    @Override
    public void close() {
        fail(false);
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        fail(false);
    }
}
