package granitefold.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.IO;

/** An HTTP connection that the dispatcher opens, whose response bodies consist of lines. */
abstract class OutboundHttpConnection implements SelectorThread.ConnectionHandler, HttpParser.ResponseHandler {
    private static final int BUFFER_BYTES = 4096, MAX_HEAD_BYTES = 8192, MIN_LINE_BYTES = 256, MAX_RETAINED_LINE_BYTES = 8192,
            MAX_RETAINED_HEAD_BYTES = 1024;
    private static final byte[] EMPTY = {};

    private final InetSocketAddress address;
    private final ResponseLimits limits;
    private final TurnScheduler.Priority priority;
    private HttpParser parser = newParser();
    private SelectorThread selectorThread;
    private SocketChannel channel;
    private ReadingConnection connection;
    private byte[] lineBuffer = EMPTY;
    private int lineLength;
    /** The bytes of the body received so far. */
    private long bodyBytes;
    private boolean persistent;
    private boolean closed;
    private boolean writing;

    OutboundHttpConnection(InetSocketAddress address, ResponseLimits limits, TurnScheduler.Priority priority) {
        this.address = address;
        this.limits = limits;
        this.priority = priority;
    }

    private HttpParser newParser() {
        HttpParser created = new HttpParser(this, MAX_HEAD_BYTES);
        // it would take 100 KB of each connection
        created.setHeaderCacheSize(0);
        return created;
    }

    /** Called when the connection is established. */
    abstract void onConnected();

    /** Called with the status of each response, 200 or any other; {@code turnedAway} is the value of X-Turned-Away, or null. */
    abstract void onStatus(int status, String turnedAway);

    /** Called for each complete line of a body of status 200; it may be empty. */
    abstract void onLine(byte[] buffer, int from, int length);

    /** Called at the end of a response; {@code reusable}: the connection may carry another request. */
    abstract void onResponseEnd(boolean reusable);

    /** Reserves memory for a long line, or releases it if {@code bytes} is negative; returns false if the limit is reached. */
    boolean reserveForLine(int bytes) {
        return true;
    }

    /** Called before the connection closes, to release what is held for it; may be called again. */
    void onClosing() { }

    /** Called when the remote end has sent more than the limits permit, before {@link #onClosed}. */
    void onLimitExceeded(String reason) { }

    /** Called when the connection failed, or the remote end closed it. */
    abstract void onClosed(String reason);

    final void connect(SelectorThread selector) {
        selectorThread = selector;
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (channel.connect(address)) {
                selectorThread.accept(channel, this);
            } else {
                selectorThread.connect(channel, this);
            }
        } catch (IOException e) {
            failed(e);
        }
    }

    @Override
    public final Connection opened(EndPoint endPoint) {
        connection = new ReadingConnection(endPoint);
        return connection;
    }

    @Override
    public final void failed(Throwable cause) {
        fail(cause.toString());
    }

    final void write(ByteBuffer[] message, Runnable written) {
        if (parser.getHeaderLength() > MAX_RETAINED_HEAD_BYTES) {
            // a parser keeps its buffers
            parser = newParser();
        } else {
            parser.reset();
        }
        lineLength = 0;
        bodyBytes = 0;
        writing = true;
        connection.getEndPoint().write(NonBlockingConnection.whenWritten(() -> {
            writing = false;
            written.run();
        }, () -> fail("write failed")), message);
    }

    /**
     * Returns whether there is nothing to read: neither a close by the remote end nor unsolicited data, which would be taken for
     * the response to the next request.
     */
    final boolean hasNothingToRead() {
        try {
            return connection.getEndPoint().fill(connection.input) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    final void close() {
        closed = true;
        resizeLine(0);
        onClosing();
        if (connection != null) {
            connection.turn.cancel();
            connection.close();
        } else if (channel != null) {
            IO.close(channel);
        }
    }

    final void fail(String reason) {
        if (!closed) {
            close();
            onClosed(reason);
        }
    }

    private void exceeded(String reason) {
        onLimitExceeded(reason);
        fail(reason);
    }

    /** Reads and parses responses; requests are written to its end point directly. */
    private final class ReadingConnection extends NonBlockingConnection {
        private final ByteBuffer input = BufferUtil.allocate(BUFFER_BYTES);
        private final ReadTurn turn = new ReadTurn(selectorThread.turns(), priority, limits.turnBytes(), this::readTurn);

        ReadingConnection(EndPoint endPoint) {
            super(endPoint);
        }

        @Override
        public void onOpen() {
            if (closed) {
                close();
            } else {
                super.onOpen();
                onConnected();
            }
        }

        @Override
        public void onFillInterestedFailed(Throwable cause) {
            fail("read failed");
        }

        @Override
        public void onClose(Throwable cause) {
            super.onClose(cause);
            fail("closed");
        }

        @Override
        public void onFillable() {
            turn.request();
        }

        private void readTurn() {
            try {
                boolean mayHaveMore = true;
                while (mayHaveMore && !closed && !turn.isOver()) {
                    mayHaveMore = readOnce();
                }
                if (!closed && mayHaveMore) {
                    turn.endUnfinished();
                } else if (!closed) {
                    awaitReadable();
                }
            } catch (IOException e) {
                fail("read failed");
            }
        }

        /** Reads and parses what fits into the buffer; returns whether there may be more. */
        private boolean readOnce() throws IOException {
            int count = getEndPoint().fill(input);
            if (count < 0) {
                // a truncated response is never taken as complete
                fail("closed by the remote end");
            }
            turn.addBytes(count);
            while (!closed && input.hasRemaining()) {
                if (parser.isComplete() || parser.isClosed()) {
                    fail("unsolicited data");
                } else {
                    parser.parseNext(input);
                }
            }
            return count > 0;
        }
    }

    // ---------------------------------------------------------------- parser callbacks
    private int status;
    private String turnedAway;

    @Override
    public final void startResponse(HttpVersion version, int code, String reason) {
        status = code;
        turnedAway = null;
        persistent = version == HttpVersion.HTTP_1_1;
    }

    @Override
    public final void parsedHeader(HttpField field) {
        if (field.getHeader() == HttpHeader.CONNECTION && field.contains(HttpHeaderValue.CLOSE.asString())) {
            persistent = false;
        } else if (field.is("X-Turned-Away")) {
            turnedAway = field.getValue();
        }
    }

    @Override
    public final boolean headerComplete() {
        onStatus(status, turnedAway);
        return closed;
    }

    @Override
    public final boolean content(ByteBuffer content) {
        bodyBytes += content.remaining();
        if (bodyBytes > limits.bodyBytes()) {
            exceeded("response too long");
        }
        while (!closed && status == 200 && content.hasRemaining()) {
            byte b = content.get();
            if (b == '\n') {
                int length = lineLength;
                lineLength = 0;
                connection.turn.addMessage();
                onLine(lineBuffer, 0, length);
                shrinkLine();
            } else if (lineLength == limits.lineBytes()) {
                exceeded("response line too long");
            } else {
                addToLine(b);
            }
        }
        content.position(content.limit());
        return closed;
    }

    private void addToLine(byte b) {
        if (lineLength == lineBuffer.length && !resizeLine(Math.min(limits.lineBytes(), Math.max(MIN_LINE_BYTES, lineLength * 2)))) {
            exceeded("no memory for a longer response line");
            return;
        }
        lineBuffer[lineLength++] = b;
    }

    /** Resizes the buffer for a line; what exceeds the size that an idle connection retains is counted. Returns false if a limit is reached. */
    private boolean resizeLine(int size) {
        if (!reserveForLine(Math.max(size, MAX_RETAINED_LINE_BYTES) - Math.max(lineBuffer.length, MAX_RETAINED_LINE_BYTES))) {
            return false;
        }
        lineBuffer = Arrays.copyOf(lineBuffer, size);
        return true;
    }

    /** Releases the buffer of a long line: a single one must not hold its memory for the lifetime of the connection. */
    private void shrinkLine() {
        if (lineBuffer.length > MAX_RETAINED_LINE_BYTES) {
            resizeLine(0);
        }
    }

    @Override
    public final boolean contentComplete() {
        return false;
    }

    @Override
    public final boolean messageComplete() {
        lineLength = 0;
        shrinkLine();
        if (!closed) {
            // a response may end before its request is fully written: a second request would then start a concurrent write
            onResponseEnd(persistent && !writing);
        }
        return true;
    }

    @Override
    public final void badMessage(HttpException failure) {
        fail("malformed response");
    }

    @Override
    public final void earlyEOF() {
        fail("closed by the remote end");
    }
}
