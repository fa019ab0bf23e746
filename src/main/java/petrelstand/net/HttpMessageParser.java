package petrelstand.net;

import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpParser;

/** Jetty's HTTP parser, except that an {@link Error} thrown while parsing isn't reported as a malformed message. */
public final class HttpMessageParser extends HttpParser {
    /** Creates a parser of requests with at most {@code maxHeadBytes} of request line and headers. */
    public HttpMessageParser(RequestHandler handler, int maxHeadBytes) {
        super(handler, maxHeadBytes);
    }

    /** Creates a parser of responses with at most {@code maxHeadBytes} of status line and headers. */
    public HttpMessageParser(ResponseHandler handler, int maxHeadBytes) {
        super(handler, maxHeadBytes);
    }

    @Override
    protected void badMessage(HttpException failure) {
        FatalErrors.rethrowIfError((Throwable) failure);
        super.badMessage(failure);
    }
}
