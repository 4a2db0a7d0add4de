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

/** A connection that the dispatcher opens, and whose answers come as lines. */
abstract class OutboundHttpConnection implements SelectorThread.ConnectionHandler, HttpParser.ResponseHandler {
    private static final int BUFFER = 4096, HEAD_MOST = 8192, LINE_KEPT = 8192;
    private static final byte[] NOTHING = {};

    private final InetSocketAddress address;
    private final int lineMost;
    private final HttpParser parser = new HttpParser(this, HEAD_MOST);
    private SocketChannel channel;
    private Reader reader;
    private byte[] line = NOTHING;
    private int lineLength;
    private boolean persistent;
    private boolean closed;
    private boolean writing;

    OutboundHttpConnection(InetSocketAddress address, int lineMost) {
        this.address = address;
        this.lineMost = lineMost;
    }

    /** The connection is up. */
    abstract void connected();

    /** A status other than 200 has come, or 200. */
    abstract void status(int status, String turnedAway);

    /** A line has come whole; it may be empty. */
    abstract void line(byte[] buf, int from, int length);

    /** The answer has come to its end; {@code reusable}: the connection may carry another request. */
    abstract void answered(boolean reusable);

    /** The connection has ended without our doing. */
    abstract void ended(String why);

    final void connect(SelectorThread sockets) {
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (channel.connect(address)) {
                sockets.accept(channel, this);
            } else {
                sockets.connect(channel, this);
            }
        } catch (IOException e) {
            failed(e);
        }
    }

    @Override
    public final Connection opened(EndPoint endPoint) {
        reader = new Reader(endPoint);
        return reader;
    }

    @Override
    public final void failed(Throwable why) {
        end(why.toString());
    }

    final void write(ByteBuffer[] message, Runnable written) {
        parser.reset();
        lineLength = 0;
        writing = true;
        reader.getEndPoint().write(NonBlockingConnection.whenWritten(() -> {
            writing = false;
            written.run();
        }, () -> end("write failed")), message);
    }

    /**
     * Whether nothing waits to be read: neither the other side's end nor words out of turn, which would pass for the answer to
     * what is to be written.
     */
    final boolean quiet() {
        try {
            return reader.getEndPoint().fill(reader.in) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    final void close() {
        closed = true;
        if (reader != null) {
            reader.close();
        } else if (channel != null) {
            IO.close(channel);
        }
    }

    final void end(String why) {
        if (!closed) {
            close();
            ended(why);
        }
    }

    /** The end point's connection: it only reads. */
    private final class Reader extends NonBlockingConnection {
        private final ByteBuffer in = BufferUtil.allocate(BUFFER);

        Reader(EndPoint endPoint) {
            super(endPoint);
        }

        @Override
        public void onOpen() {
            if (closed) {
                close();
            } else {
                super.onOpen();
                connected();
            }
        }

        @Override
        public void onFillInterestedFailed(Throwable cause) {
            end("read failed");
        }

        @Override
        public void onClose(Throwable cause) {
            super.onClose(cause);
            end("closed");
        }

        @Override
        public void onFillable() {
            try {
                while (!closed) {
                    int n = getEndPoint().fill(in);
                    if (n == 0) {
                        awaitReadable();
                        return;
                    }
                    if (n < 0) {
                        // what was cut off never counts as an answer
                        end("closed by the other side");
                        return;
                    }
                    while (!closed && in.hasRemaining()) {
                        if (parser.isComplete() || parser.isClosed()) {
                            end("words out of turn");
                            return;
                        }
                        parser.parseNext(in);
                    }
                }
            } catch (IOException e) {
                end("read failed");
            }
        }
    }

    // ---------------------------------------------------------------- what the parser finds
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
        status(status, turnedAway);
        return closed;
    }

    @Override
    public final boolean content(ByteBuffer content) {
        while (!closed && status == 200 && content.hasRemaining()) {
            byte b = content.get();
            if (b == '\n') {
                int length = lineLength;
                lineLength = 0;
                line(line, 0, length);
            } else if (lineLength == lineMost) {
                end("a line is too long");
            } else {
                if (lineLength == line.length) {
                    line = Arrays.copyOf(line, Math.min(lineMost, Math.max(256, lineLength * 2)));
                }
                line[lineLength++] = b;
            }
        }
        content.position(content.limit());
        return closed;
    }

    @Override
    public final boolean contentComplete() {
        return false;
    }

    @Override
    public final boolean messageComplete() {
        if (line.length > LINE_KEPT) {
            // one long answer must not hold its memory for as long as the connection is kept
            line = NOTHING;
        }
        if (!closed) {
            // an answer may overtake the end of its request: two writes at once would break the connection
            answered(persistent && !writing);
        }
        return true;
    }

    @Override
    public final void badMessage(HttpException failure) {
        end("malformed answer");
    }

    @Override
    public final void earlyEOF() {
        end("closed by the other side");
    }
}
