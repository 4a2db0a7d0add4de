package granitefold.net.checks;

import granitefold.net.NonBlockingConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/** A connection to one of the check fronts: it is bounded in time by its front and in bytes here. */
abstract class CheckConnection extends NonBlockingConnection {
    private static final int BUFFER = 1024;
    /** What a connection may send in all before it is closed, answers or not. */
    private static final int SENT_MOST = 64 * 1024;

    protected final Front front;
    protected final ByteBuffer in = BufferUtil.allocate(BUFFER);
    private int sent;
    private boolean told;

    CheckConnection(EndPoint endPoint, Front front) {
        super(endPoint);
        this.front = front;
    }

    /** Looks at what is in the buffer; false: wait for more. */
    protected abstract boolean step();

    /** The last answer is out: what still comes is thrown away until the other side closes. */
    protected final boolean discard() {
        boolean some = in.hasRemaining();
        BufferUtil.clear(in);
        return some;
    }

    @Override
    public void onFillable() {
        try {
            while (getEndPoint().isOpen()) {
                if (step()) {
                    continue;
                }
                if (BufferUtil.isFull(in)) {
                    // an answer is being written; reading goes on after it
                    return;
                }
                int n = getEndPoint().fill(in);
                sent += Math.max(0, n);
                if (n < 0 || sent > SENT_MOST) {
                    close();
                } else if (n == 0) {
                    awaitReadable();
                    return;
                }
            }
        } catch (IOException e) {
            close();
        }
    }

    @Override
    public void onFillInterestedFailed(Throwable cause) {
        close();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        if (!told) {
            told = true;
            front.closed(this);
        }
    }

    /** Writes, then goes on reading; after the {@code last} answer only to throw away, so that it is not lost in a reset. */
    protected final void write(boolean last, Runnable then, ByteBuffer... message) {
        getEndPoint().write(whenWritten(() -> {
            if (last) {
                getEndPoint().shutdownOutput();
            }
            then.run();
            if (getEndPoint().isOpen()) {
                onFillable();
            }
        }, this::close), message);
    }
}
