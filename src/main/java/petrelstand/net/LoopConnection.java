package petrelstand.net;

import java.util.function.Consumer;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;

/**
 * Base class of connections whose callbacks run on the event loop's thread. The callbacks are declared non-blocking, so
 * that Jetty calls them directly.
 */
public abstract class LoopConnection extends AbstractConnection {
    private final Callback fillableCallback = nonBlockingCallback(this::handleFillable, this::onFillInterestedFailed);

    protected LoopConnection(EndPoint endPoint) {
        super(endPoint, Runnable::run);
    }

    /** Closes the connection on an unexpected exception, so that neither peer nor gateway keeps waiting on it. */
    private void handleFillable() {
        try {
            onFillable();
        } catch (RuntimeException e) {
            EventLoop.logUncaught(e);
            close();
        } catch (Error e) {
            FatalErrors.report(e);
            throw e;
        }
    }

    @Override
    public void fillInterested() {
        getEndPoint().fillInterested(fillableCallback);
    }

    /**
     * Lets this connection read up to the turn's limit once more in the current turn. Only for input of bounded size
     * that has to be read before anything else.
     */
    protected final void extendTurn() {
        if (getEndPoint() instanceof LoopEndPoint endPoint) {
            endPoint.extendTurn();
        }
    }

    /** Bytes that have arrived and are not read; 0 where the end point can't tell. */
    protected final int unreadBytes() {
        return getEndPoint() instanceof UnreadInput endPoint ? endPoint.unreadBytes() : 0;
    }

    /** Whether a read that returned 0 bytes may have left some, because the turn's limit was used up. */
    protected final boolean isReadLimited() {
        return getEndPoint() instanceof UnreadInput endPoint && endPoint.isReadLimited();
    }

    /**
     * A time at which no input had arrived that this connection has not been told of, and not after a given one; see
     * {@link UnreadInput#quietUs}.
     */
    protected final long quietUs(long nowUs) {
        return getEndPoint() instanceof UnreadInput endPoint ? Math.min(nowUs, endPoint.quietUs()) : nowUs;
    }

    /** Creates a callback that Jetty runs directly on the loop's thread; neither function may block. */
    public static Callback nonBlockingCallback(Runnable succeeded, Consumer<Throwable> failed) {
        return new Callback() {
            @Override
            public void succeeded() {
                try {
                    succeeded.run();
                } catch (Error e) {
                    FatalErrors.report(e);
                    throw e;
                }
            }

            @Override
            public void failed(Throwable cause) {
                FatalErrors.rethrowIfError(cause);
                failed.accept(cause);
            }

            @Override
            public InvocationType getInvocationType() {
                return InvocationType.NON_BLOCKING;
            }
        };
    }
}
