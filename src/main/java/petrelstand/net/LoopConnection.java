package petrelstand.net;

import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;

/** A connection whose callbacks all run on the loop's thread: Jetty takes them to be non-blocking. */
public abstract class LoopConnection extends AbstractConnection {
    private final Callback fillable = nonBlockingCallback(this::guardedFillable, this::onFillInterestedFailed);

    protected LoopConnection(EndPoint endPoint) {
        super(endPoint, Runnable::run);
    }

    /** A fault on one connection closes it, so that its client hears of the end and nothing waits for it. */
    private void guardedFillable() {
        try {
            onFillable();
        } catch (RuntimeException e) {
            EventLoop.fault(e);
            close();
        } catch (Error e) {
            FatalErrors.report(e);
            throw e;
        }
    }

    @Override
    public void fillInterested() {
        getEndPoint().fillInterested(fillable);
    }

    /** A callback that the loop runs itself. */
    public static Callback nonBlockingCallback(Runnable succeeded, java.util.function.Consumer<Throwable> failed) {
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
