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
    private boolean readingInput;

    CheckConnection(EndPoint endPoint, CheckListener checkListener) {
        super(endPoint);
        this.checkListener = checkListener;
    }

    /** Processes the content of the buffer; returns false if more input, or the end of a write, is awaited. */
    protected abstract boolean processInput();

    /** Discards the input that still arrives after the last answer; returns whether there was any. */
    protected final boolean discard() {
        boolean discarded = in.hasRemaining();
        BufferUtil.clear(in);
        return discarded;
    }

    /** Reads and processes all available input. An immediate answer calls this again, which has no effect while it is running. */
    @Override
    public void onFillable() {
        if (readingInput) {
            return;
        }
        readingInput = true;
        try {
            while (getEndPoint().isOpen() && (processInput() || readOnce())) { }
        } catch (IOException e) {
            close();
        } finally {
            readingInput = false;
        }
    }

    /** Reads what fits into the buffer; returns whether there is more to process. */
    private boolean readOnce() throws IOException {
        if (in.remaining() == in.capacity()) {
            // an answer is being written; reading continues afterwards
            return false;
        }
        int count = getEndPoint().fill(in);
        receivedBytes += Math.max(0, count);
        if (count < 0 || receivedBytes > MAX_RECEIVED_BYTES) {
            close();
        } else if (count == 0) {
            awaitReadable();
        }
        return count > 0;
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
