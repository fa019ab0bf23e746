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
import petrelstand.net.LoopConnection;

/** An HTTP/1.1 connection to a node or to discovery, one call at a time. */
public class UpstreamConnection extends LoopConnection implements HttpParser.ResponseHandler {
    enum State { IDLE, SENDING, WAITING, CLOSED }

    /** Told when the connection is free again (true) or closed (false). */
    private final BiConsumer<UpstreamConnection, Boolean> owner;
    private final HttpParser parser = new HttpParser(this, Wire.MOST_HEADER);
    private final ByteBuffer input = BufferUtil.allocate(4096);
    private State state = State.IDLE;
    private Call call;
    private int status;
    private HttpFields.Mutable fields;
    private final Body body;
    private boolean persistent;
    private boolean whole;
    private long idleSinceUs;

    public UpstreamConnection(EndPoint endPoint, int mostBody, BiConsumer<UpstreamConnection, Boolean> owner) {
        super(endPoint);
        this.body = new Body(mostBody);
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
    public void send(Call next) {
        if (state != State.IDLE) {
            throw new IllegalStateException("call on a connection that is " + state);
        }
        state = State.SENDING;
        call = next;
        getEndPoint().write(nonBlocking(this::sent, cause -> end()), next.bytes());
    }

    private void sent() {
        if (state == State.SENDING) {
            state = State.WAITING;
        }
    }

    @Override
    public void onFillable() {
        try {
            while (state != State.CLOSED) {
                BufferUtil.compact(input);
                int filled = getEndPoint().fill(input);
                if (filled < 0) {
                    parser.atEOF();
                    parser.parseNext(BufferUtil.EMPTY_BUFFER);
                    end();
                    return;
                }
                if (filled == 0) {
                    fillInterested();
                    return;
                }
                read();
            }
        } catch (IOException e) {
            end();
        }
    }

    private void read() {
        while (state != State.CLOSED && BufferUtil.hasContent(input)) {
            if (call == null) {
                // Bytes that no call asked for: the connection can't be trusted with another.
                end();
                return;
            }
            if (!parser.parseNext(input) && !whole) {
                return;
            }
            finish();
        }
    }

    private void finish() {
        if (!whole || call == null) {
            return;
        }
        whole = false;
        boolean reusable = persistent && state == State.WAITING && !BufferUtil.hasContent(input);
        Call done = call;
        call = null;
        ByteBuffer content = ByteBuffer.wrap(body.take());
        HttpFields headers = fields;
        if (reusable) {
            state = State.IDLE;
            parser.reset();
            owner.accept(this, true);
        } else {
            end();
        }
        done.answered(status, headers, content);
    }

    @Override
    public void startResponse(HttpVersion version, int newStatus, String reason) {
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

    @Override
    public boolean headerComplete() {
        return false;
    }

    @Override
    public boolean content(ByteBuffer item) {
        boolean fits = body.add(item);
        if (!fits) {
            end();
        }
        return !fits;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        if (status < 200) {
            // An interim answer: the real one follows.
            parser.reset();
            return false;
        }
        if (state != State.CLOSED) {
            whole = true;
            if (parser.isAtEOF()) {
                persistent = false;
                finish();
            }
        }
        return true;
    }

    @Override
    public void earlyEOF() {
        end();
    }

    @Override
    public void badMessage(HttpException failure) {
        end();
    }

    @Override
    protected void onFillInterestedFailed(Throwable cause) {
        end();
    }

    /** Closes; a call that is out hears that the connection broke. */
    private void end() {
        if (state != State.CLOSED) {
            boolean written = state == State.WAITING;
            Call broken = call;
            drop();
            if (broken != null) {
                broken.broke(written);
            }
        }
    }

    /** Closes without a word to the call that is out. */
    public void drop() {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            call = null;
            getEndPoint().close();
            owner.accept(this, false);
        }
    }

    @Override
    public void close() {
        end();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        end();
    }
}
