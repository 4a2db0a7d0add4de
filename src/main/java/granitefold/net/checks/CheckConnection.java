package granitefold.net.checks;

import granitefold.net.NonBlockingConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/** A connection to a check listener. The listener bounds its lifetime, this class the bytes that it may send. */
abstract class CheckConnection extends NonBlockingConnection {
    private static final int BUFFER_BYTES = 1024;
    /** Total number of bytes that a client may send before the connection is closed. */
    private static final int MAX_RECEIVED_BYTES = 64 * 1024;

    protected final CheckListener checkListener;
    protected final ByteBuffer in = BufferUtil.allocate(BUFFER_BYTES);
    private int receivedBytes;
    private boolean closeReported;

    CheckConnection(EndPoint endPoint, CheckListener checkListener) {
        super(endPoint);
        this.checkListener = checkListener;
    }

    /** Processes the content of the buffer; returns false if more input is needed. */
    protected abstract boolean processInput();

    /** Discards the input that still arrives after the last answer; returns whether there was any. */
    protected final boolean discard() {
        boolean discarded = in.hasRemaining();
        BufferUtil.clear(in);
        return discarded;
    }

    @Override
    public void onFillable() {
        try {
            while (getEndPoint().isOpen()) {
                if (processInput()) {
                    continue;
                }
                if (BufferUtil.isFull(in)) {
                    // An answer is being written; reading continues afterwards.
                    return;
                }
                int n = getEndPoint().fill(in);
                receivedBytes += Math.max(0, n);
                if (n < 0 || receivedBytes > MAX_RECEIVED_BYTES) {
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
        if (!closeReported) {
            closeReported = true;
            checkListener.closed(this);
        }
    }

    /** Writes, then continues reading. After the {@code last} answer input is only discarded, so that no reset drops the answer. */
    protected final void write(boolean last, Runnable whenDone, ByteBuffer... message) {
        getEndPoint().write(whenWritten(() -> {
            if (last) {
                getEndPoint().shutdownOutput();
            }
            whenDone.run();
            if (getEndPoint().isOpen()) {
                onFillable();
            }
        }, this::close), message);
    }
}
