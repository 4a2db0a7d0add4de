package granitefold.net;

import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable.InvocationType;

/** A connection whose callbacks are declared non-blocking, so that Jetty runs them on the selector thread. */
public abstract class NonBlockingConnection extends AbstractConnection {
    private final Callback readable =
            Callback.from(InvocationType.NON_BLOCKING, this::onFillable, this::onFillInterestedFailed);

    protected NonBlockingConnection(EndPoint endPoint) {
        super(endPoint, Runnable::run);
    }

    @Override
    public void onOpen() {
        super.onOpen();
        awaitReadable();
    }

    /** Registers interest in reading, unless it is registered already. */
    protected final void awaitReadable() {
        if (!isFillInterested()) {
            fillInterested(readable);
        }
    }

    /** Returns a non-blocking callback for the end of a write. */
    protected static Callback whenWritten(Runnable written, Runnable failed) {
        return Callback.from(InvocationType.NON_BLOCKING, written, cause -> failed.run());
    }
}
