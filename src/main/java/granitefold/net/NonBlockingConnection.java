package granitefold.net;

import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable.InvocationType;

/** A connection whose callbacks say that they never block, so that Jetty runs them right where it selects. */
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

    /** Waits for more to read, if it does not wait already. */
    protected final void awaitReadable() {
        if (!isFillInterested()) {
            fillInterested(readable);
        }
    }

    protected static Callback whenWritten(Runnable written, Runnable failed) {
        return Callback.from(InvocationType.NON_BLOCKING, written, why -> failed.run());
    }
}
