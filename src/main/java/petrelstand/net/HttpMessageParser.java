package petrelstand.net;

import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpParser;

/** Jetty's parser, but for errors: Jetty takes one that comes up while it parses for a message that can't be read. */
public final class HttpMessageParser extends HttpParser {
    /** A parser of requests whose heads have so many bytes at most. */
    public HttpMessageParser(RequestHandler handler, int mostHead) {
        super(handler, mostHead);
    }

    /** A parser of responses whose heads have so many bytes at most. */
    public HttpMessageParser(ResponseHandler handler, int mostHead) {
        super(handler, mostHead);
    }

    @Override
    protected void badMessage(HttpException failure) {
        FatalErrors.rethrowIfError((Throwable) failure);
        super.badMessage(failure);
    }
}
