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
 * An HTTP/1.1 connection to a node or to discovery, one call at a time. Only a whole, well-formed answer that ends
 * where it says is given to the call; anything else ends the connection at once, so that neither its bytes nor its
 * memory stay.
 */
public class UpstreamConnection extends LoopConnection implements HttpParser.ResponseHandler {
    enum State {
        IDLE,
        SENDING,
        WAITING,
        CLOSED
    }

    private static final int READ = 4096;
    /** An answer with a body over this passes in pieces, where its call takes them: it is timed by its first bytes. */
    static final int PIECES_FROM = HttpProtocol.MAX_BUFFERED_BODY_BYTES;
    /** A body over this is read in larger pieces. */
    private static final int READ_LARGE = 32 * 1024;
    /** Interim answers (1xx) that may come ahead of the real one. */
    private static final int MOST_INTERIM = 16;

    /** Told when the connection is free again (true) or closed (false). */
    private final BiConsumer<UpstreamConnection, Boolean> owner;
    /** Reads the answer at hand; null while the connection rests, so that what it has grown to is not kept. */
    private HttpParser parser;
    /** Without room while the connection rests. */
    private ByteBuffer input = BufferUtil.EMPTY_BUFFER;
    /** Bytes of the input's room that count against the budget of answers being read. */
    private int enlarged;

    private State state = State.IDLE;
    private UpstreamCall call;
    private int status;
    private int interim;
    private HttpFields.Mutable fields;
    private final int mostBody;
    private final Body body;
    private final ByteBudget budget;
    private HttpVersion version;
    private boolean sawEnd;
    private boolean persistent;
    private boolean whole;
    private boolean toldPartial;
    private long received;
    private long idleSinceUs;
    /** The answer that passes in pieces; null where it is kept until it is whole. */
    private Flow flow;
    /** A piece is with its taker: nothing is read until it has been taken. */
    private boolean held;

    private boolean giving;
    /** Bytes of a body in pieces that the node has taken. */
    private long streamed;

    /** A body over the bound, or for which the budget has no room, ends the connection. */
    public UpstreamConnection(
            EndPoint endPoint, int mostBody, ByteBudget budget, BiConsumer<UpstreamConnection, Boolean> owner) {
        super(endPoint);
        this.mostBody = mostBody;
        this.body = new Body(mostBody, budget);
        this.budget = budget;
        this.owner = owner;
    }

    State state() {
        return state;
    }

    long idleSinceUs() {
        return idleSinceUs;
    }

    void idleSince(long us) {
        idleSinceUs = us;
    }

    @Override
    public void onOpen() {
        super.onOpen();
        fillInterested();
    }

    /** Sends a call; the connection must be idle. */
    public void send(UpstreamCall next) {
        if (state != State.IDLE) {
            throw new IllegalStateException("call on a connection that is " + state);
        }
        state = State.SENDING;
        call = next;
        toldPartial = false;
        interim = 0;
        UpstreamCall.StreamedBody rest = next.streamedBody();
        if (rest != null) {
            new Streaming(rest).begin();
        } else {
            getEndPoint().write(nonBlockingCallback(this::sent, cause -> end(false)), next.requestBytes());
        }
    }

    /** A request whose body passes in pieces: what the client's side gives is written, and then more is asked for. */
    private final class Streaming implements Upload.Sink {
        private final UpstreamCall of = call;
        private final UpstreamCall.StreamedBody rest;
        private final PieceWriter writer;
        private boolean asking;
        private boolean askAgain;

        Streaming(UpstreamCall.StreamedBody rest) {
            this.rest = rest;
            this.writer = PieceWriter.of(getEndPoint(), rest.head());
        }

        void begin() {
            streamed = 0;
            writer.write(rest.beginning(), false, this::ask, cause -> end(false));
        }

        /** One piece after another, without one call inside another where each is written at once. */
        private void ask() {
            askAgain = true;
            if (asking) {
                return;
            }
            asking = true;
            try {
                while (askAgain && call == of && state == State.SENDING) {
                    askAgain = false;
                    of.onBodyStreaming();
                    if (call == of) {
                        rest.upload().next(this);
                    }
                }
            } finally {
                asking = false;
            }
        }

        @Override
        public void piece(ByteBuffer piece) {
            streamed += piece.remaining();
            writer.write(piece, false, this::ask, cause -> end(false));
        }

        @Override
        public void whole() {
            writer.write(BufferUtil.EMPTY_BUFFER, true, UpstreamConnection.this::sent, cause -> end(false));
        }
    }

    private void sent() {
        if (state == State.SENDING) {
            state = State.WAITING;
            call.onRequestWritten();
        }
    }

    /**
     * True where nothing has come since the last answer, not even an end; else it closes. Guards against a second copy
     * or noise right behind an answer, which would be read as the answer to the next request.
     */
    boolean quiet() {
        try {
            if (state == State.IDLE && getEndPoint().fill(room()) == 0) {
                return true;
            }
        } catch (IOException e) {
            // It is closed below.
        }
        closeSilently();
        return false;
    }

    /** Bytes read so far. */
    long received() {
        return received;
    }

    /** Bytes of the body in pieces that have been given to the node. */
    long streamed() {
        return streamed;
    }

    boolean has(UpstreamCall which) {
        return call == which && state != State.CLOSED;
    }

    /** True while a piece of the answer waits for its taker, and not for the node. */
    boolean isHeld() {
        return held;
    }

    /** The piece was taken: reads on. */
    void resume() {
        held = false;
        if (!giving && state != State.CLOSED) {
            // The parser tells of a body's end only when it is asked again, even where nothing is left to read.
            if (!whole) {
                parser().parseNext(input);
            }
            read();
            if (!held && state != State.CLOSED) {
                onFillable();
            }
        }
    }

    /** Ends a call whose answer has stopped since so many bytes; false once it ended. What has come is read first. */
    boolean goesOn(UpstreamCall of, long since) {
        if (call == of && readAll() && call == of && received == since) {
            end(true);
        }
        return call == of;
    }

    @Override
    public void onFillable() {
        // A look between events may have read up to a piece, and the interest before it still stands.
        if (!held && readAll() && !held && !isFillInterested()) {
            fillInterested();
        }
    }

    /** Reads all that has come; false once closed. An answer is given only when nothing more of it waits. */
    private boolean readAll() {
        try {
            while (state != State.CLOSED && !held) {
                BufferUtil.compact(room());
                int filled = getEndPoint().fill(input);
                if (filled < 0) {
                    sawEnd = true;
                    if (!whole) {
                        parser().atEOF();
                        parser().parseNext(BufferUtil.EMPTY_BUFFER);
                    }
                    persistent = false;
                    finish();
                    end(false);
                } else if (filled == 0) {
                    if (call != null && !whole && !toldPartial && !parser().isStart()) {
                        toldPartial = true;
                        call.onPartialAnswer();
                    }
                    finish();
                    if (state == State.IDLE) {
                        giveBack();
                    }
                    return state != State.CLOSED;
                } else {
                    received += filled;
                    read();
                }
            }
        } catch (IOException e) {
            // A reset: what ended where it said before it is whole all the same, and nothing else is.
            persistent = false;
            finish();
            end(false);
        }
        return held && state != State.CLOSED;
    }

    private void read() {
        while (state != State.CLOSED && BufferUtil.hasContent(input)) {
            if (whole) {
                // Bytes behind a whole answer: it was good, but the connection can't be trusted with another.
                persistent = false;
                finish();
                return;
            }
            if (call == null) {
                end(true);
                return;
            }
            int before = input.remaining();
            parser().parseNext(input);
            if (held || !whole && input.remaining() == before) {
                return;
            }
        }
        if (state != State.CLOSED
                && !whole
                && input.capacity() < READ_LARGE
                && (flow != null || fields != null && fields.getLongField(HttpHeader.CONTENT_LENGTH) > READ_LARGE)) {
            enlarge();
        }
    }

    /** The room for what comes next, made where there is none. */
    private ByteBuffer room() {
        if (input.capacity() == 0) {
            input = BufferUtil.allocate(READ);
        }
        return input;
    }

    /** Larger room for a large body's pieces, where the budget has it. */
    private void enlarge() {
        if (budget.take(READ_LARGE - READ)) {
            input = BufferUtil.allocate(READ_LARGE);
            enlarged = READ_LARGE - READ;
        }
    }

    /** Gives back what only an answer that is being read needs. */
    private void giveBack() {
        parser = null;
        input = BufferUtil.EMPTY_BUFFER;
        budget.give(enlarged);
        enlarged = 0;
    }

    private HttpParser parser() {
        if (parser == null) {
            parser = new HttpMessageParser(this, HttpProtocol.MAX_HEAD_BYTES);
            parser.setHeaderCacheSize(HttpProtocol.HEADER_CACHE_BYTES);
        }
        return parser;
    }

    /** Gives a whole answer to its call, and the connection back or up. */
    private void finish() {
        if (!whole || call == null) {
            return;
        }
        whole = false;
        if (state == State.SENDING && status == 200) {
            // Nodes begin once a request's last byte has come, so this answers something else.
            end(true);
            return;
        }
        UpstreamCall done = call;
        call = null;
        Flow flowed = flow;
        flow = null;
        ByteBuffer content = body.take();
        HttpFields headers = fields;
        fields = null;
        if (persistent && state == State.WAITING) {
            state = State.IDLE;
            giveBack();
            owner.accept(this, true);
        } else {
            closeSilently();
        }
        if (flowed != null) {
            flowed.whole();
        } else {
            done.onAnswer(status, headers, content);
        }
    }

    @Override
    public void startResponse(HttpVersion newVersion, int newStatus, String reason) {
        version = newVersion;
        status = newStatus;
        fields = HttpFields.build();
        body.take();
        persistent = version == HttpVersion.HTTP_1_1;
    }

    @Override
    public void parsedHeader(HttpField field) {
        fields.add(field);
        if (field.getHeader() == HttpHeader.CONNECTION && field.contains("close")) {
            persistent = false;
        }
    }

    /**
     * Guards against answers whose end can't be told: two lengths, none at all on a connection that stays, or more than
     * is passed on. Where the node says that it will close the connection, its end is the answer's. An interim answer
     * has no body and no length; a change of protocol was never asked for.
     */
    @Override
    public boolean headerComplete() {
        boolean framed = fields.contains(HttpHeader.CONTENT_LENGTH) || fields.contains(HttpHeader.TRANSFER_ENCODING);
        if (!HttpProtocol.supportsVersion(version)
                || status == 101
                || status < 200 && (framed || ++interim > MOST_INTERIM)
                || status == 200 && !framed && !fields.contains(HttpHeader.CONNECTION, "close")
                || HttpProtocol.framingError(fields) != null
                || fields.getLongField(HttpHeader.CONTENT_LENGTH) > HttpProtocol.MAX_STREAMED_BODY_BYTES) {
            end(true);
            return true;
        }
        body.announced(Math.min(mostBody, fields.getLongField(HttpHeader.CONTENT_LENGTH)));
        return false;
    }

    @Override
    public boolean content(ByteBuffer item) {
        if (flow != null) {
            return give(item);
        }
        if (!body.add(item)) {
            end(true);
            return true;
        }
        long length = fields.getLongField(HttpHeader.CONTENT_LENGTH);
        return status == 200 && body.size() > PIECES_FROM && begin(length);
    }

    /** Begins to pass on what is here of a large answer, if it has not begun by itself. */
    void beginPieces(UpstreamCall of) {
        long length = fields == null ? -1 : fields.getLongField(HttpHeader.CONTENT_LENGTH);
        boolean large = length > PIECES_FROM || fields != null && length < 0;
        if (call == of
                && state == State.WAITING
                && flow == null
                && !whole
                && status == 200
                && large
                && body.size() > 0
                && !begin(length)
                && !isFillInterested()) {
            fillInterested();
        }
    }

    /** From here on the answer passes in pieces, if its call takes them; true where reading has to wait. */
    private boolean begin(long length) {
        if (state != State.WAITING) {
            end(true);
            return true;
        }
        Flow begun = new Flow(fields, length, this);
        if (!call.acceptAnswerStream(begun)) {
            return false;
        }
        if (!begun.isTaken()) {
            closeSilently();
            return true;
        }
        flow = begun;
        return give(body.take());
    }

    private boolean give(ByteBuffer piece) {
        held = true;
        giving = true;
        flow.piece(piece);
        giving = false;
        return held || state == State.CLOSED;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        if (status < 200) {
            // An interim answer: the real one follows.
            parser().reset();
            return false;
        }
        whole = state != State.CLOSED;
        return true;
    }

    @Override
    public void earlyEOF() {
        // The parser says so of chunks that can't be read, too.
        end(!sawEnd);
    }

    @Override
    public void badMessage(HttpException failure) {
        end(true);
    }

    @Override
    protected void onFillInterestedFailed(Throwable cause) {
        end(false);
    }

    /** Closes; a call that is out hears how. */
    private void end(boolean spoilt) {
        if (state != State.CLOSED) {
            UpstreamCall.Failure how = state != State.WAITING
                    ? UpstreamCall.Failure.UNWRITTEN
                    : spoilt ? UpstreamCall.Failure.SPOILT : UpstreamCall.Failure.ENDED;
            UpstreamCall broken = call;
            Flow cut = flow;
            closeSilently();
            if (cut != null) {
                cut.cut();
            } else if (broken != null) {
                broken.onFailure(how);
            }
        }
    }

    /** Closes without a word to the call that is out. */
    public void closeSilently() {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            call = null;
            flow = null;
            body.take();
            giveBack();
            getEndPoint().close();
            owner.accept(this, false);
        }
    }

    @Override
    public void close() {
        end(false);
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        end(false);
    }
}
