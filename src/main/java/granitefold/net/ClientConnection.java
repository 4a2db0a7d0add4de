package granitefold.net;

import granitefold.core.Event;
import granitefold.core.FinalAnswer;
import granitefold.core.Phase;
import granitefold.core.Submission;
import granitefold.wire.BadRequest;
import granitefold.wire.ClientRequest;
import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.wire.HttpMessages;
import granitefold.wire.ProxyHeader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/** A client's side: reads one request at a time, and while that is unanswered watches for the client to leave. */
final class ClientConnection extends LoopConnection implements HttpParser.RequestHandler {
    private static final int BUFFER = 4096, HEAD_MOST = 8192;
    /** So much is read after the last answer: without it a polite client's answer would be lost in the reset. */
    private static final int LINGER_MOST = 4 * ClientRequest.BODY_MOST;
    private static final ByteBuffer CONTINUE =
            ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII)).asReadOnlyBuffer();

    private enum State {
        READING,
        /** A request is with the reducer. */
        OWED,
        WRITING,
        /** The answer is out and the client was told to close: what it still sends is thrown away. */
        LINGERING
    }

    private final Loop loop;
    private final long id;
    private final HttpParser parser = new HttpParser(this, HEAD_MOST, HttpCompliance.STRICT);
    private ByteBuffer in = BufferUtil.allocate(BUFFER);
    private State state = State.READING;
    private boolean advancing;
    private boolean complete;
    private boolean close;
    /** A next request on this connection has begun to come, and the reducer knows. */
    private boolean begun = true;
    /** Something has come since the last time that there was nothing more to read. */
    private boolean heard;
    private String method;
    private String target;
    private HttpFields.Mutable head;
    private ByteArrayOutputStream body;
    private BadRequest bad;
    /** Bytes of body that count as held for this request; a widened buffer counts beside. */
    private int held;
    /** Bytes thrown away after the last answer. */
    private int discarded;
    /** A PROXY header must come first, and has not yet. */
    private boolean headed;
    /** Who has really connected, where a proxy told. */
    private SocketAddress source;
    /** The answer is to carry load metrics. */
    private boolean metrics;

    ClientConnection(EndPoint endPoint, Loop loop, long id) {
        super(endPoint);
        this.loop = loop;
        this.id = id;
        headed = loop.clientRules().proxy();
        source = endPoint.getRemoteSocketAddress();
    }

    boolean wantsMetrics() {
        return metrics;
    }

    long id() {
        return id;
    }

    boolean wantsClose() {
        return close;
    }

    boolean writing() {
        return state == State.WRITING;
    }

    @Override
    public void onFillable() {
        advance();
    }

    @Override
    public void onFillInterestedFailed(Throwable cause) {
        gone();
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        gone();
    }

    /** Reads and parses as far as it goes. What ends in an answer at once comes back here, but not deeper. */
    private void advance() {
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            while (getEndPoint().isOpen() && step()) { }
        } catch (IOException e) {
            gone();
        } finally {
            advancing = false;
        }
    }

    private boolean step() throws IOException {
        if (headed && in.hasRemaining() && !header()) {
            return false;
        }
        if (state == State.READING && in.hasRemaining()) {
            parser.parseNext(in);
            if (complete || bad != null) {
                received();
            }
            return true;
        }
        if (state == State.LINGERING) {
            discarded += in.remaining();
            BufferUtil.clear(in);
            if (discarded > LINGER_MOST) {
                close();
                return false;
            }
        } else if (BufferUtil.isFull(in) && !widen()) {
            // so much of next requests that we stop reading until this one is answered
            return false;
        }
        int n = getEndPoint().fill(in);
        heard |= n > 0;
        if (n < 0) {
            gone();
        } else if (n == 0) {
            if (state == State.READING && heard && !parser.isStart()) {
                loop.post(begun ? new Event.RequestGoesOn(id) : new Event.RequestBegun(id));
                begun = true;
            }
            heard = false;
            awaitReadable();
        }
        return n > 0;
    }

    /** Takes the PROXY header off the start; false where the connection ends for want of one. */
    private boolean header() throws IOException {
        try {
            InetSocketAddress proxy = (InetSocketAddress) source;
            if (!loop.clientRules().from().isEmpty() && !loop.clientRules().from().contains(proxy.getAddress())) {
                throw new BadRequest(400, "not one of clients.proxy-from");
            }
            ProxyHeader header = ProxyHeader.decode(in);
            if (header != null) {
                headed = false;
                source = header.source() == null ? source : header.source();
                return true;
            }
            int n = BufferUtil.isFull(in) ? -1 : getEndPoint().fill(in);
            if (n < 0) {
                throw new BadRequest(400, "closed within its PROXY header");
            }
            if (n == 0) {
                awaitReadable();
            }
            // what came is looked at in the next step
            return n > 0;
        } catch (BadRequest e) {
            // section 2 of the protocol: the receiver drops the connection, and says nothing to who may be anybody
            EventLog.log(LogEvent.CLIENT_REFUSED, source, e.getMessage());
            gone();
            return false;
        }
    }

    /** Makes room to read on while a request is unanswered: only by reading is a client's leaving seen. */
    private boolean widen() {
        int more = in.capacity();
        if (more > ClientRequest.BODY_MOST || !loop.hold(more)) {
            return false;
        }
        resize(2 * more);
        return true;
    }

    private void narrow() {
        if (in.capacity() > BUFFER && in.remaining() <= BUFFER) {
            loop.hold(BUFFER - in.capacity());
            resize(BUFFER);
        }
    }

    private void resize(int capacity) {
        ByteBuffer other = BufferUtil.allocate(capacity);
        BufferUtil.append(other, in);
        in = other;
    }

    /** The client has closed, or its connection broke, or we close it. */
    private void gone() {
        release();
        BufferUtil.clear(in);
        narrow();
        state = State.LINGERING;
        loop.closed(this);
        close();
        loop.answered();
    }

    private void release() {
        loop.hold(-held);
        held = 0;
    }

    /** A request is whole, or as much of it as shows that it is bad. */
    private void received() {
        state = State.OWED;
        complete = false;
        if (bad == null && target.equals("/healthz")) {
            boolean ready = loop.phase() == Phase.SERVING;
            answerHere(HttpMessages.plain(ready ? 200 : 503, loop.phase().name(), close), close);
            return;
        }
        try {
            if (bad != null) {
                throw bad;
            }
            Submission s = ClientRequest.decode(method, target, head, body.toByteArray(), loop.words());
            body = null;
            metrics = loop.clientRules().orca() && "text".equalsIgnoreCase(head.get(Insight.METRICS_WANTED));
            loop.post(new Event.RequestArrived(id, s));
        } catch (BadRequest e) {
            if (loop.clientRules().proxy()) {
                EventLog.log(LogEvent.CLIENT_REFUSED, source, e.getMessage());
            }
            // what follows may not be what it looks like either: the connection ends
            answerHere(e.status() == 503 ? HttpMessages.answer(FinalAnswer.Rejected.BY_LIMIT, true)
                    : HttpMessages.plain(e.status(), e.getMessage(), true), true);
        }
    }

    private void answerHere(ByteBuffer[] message, boolean last) {
        loop.post(new Event.AnsweredHere(id));
        answer(message, last);
    }

    /** Writes an answer; after it the connection reads on or ends. */
    void answer(ByteBuffer[] message, boolean last) {
        boolean end = last || close;
        state = State.WRITING;
        getEndPoint().write(whenWritten(() -> written(end), this::gone), message);
    }

    private void written(boolean end) {
        release();
        if (end) {
            state = State.LINGERING;
            getEndPoint().shutdownOutput();
        } else {
            state = State.READING;
            begun = false;
            parser.reset();
            narrow();
        }
        loop.post(new Event.AnswerWritten(id, end));
        loop.answered();
        advance();
    }

    /** The time for a request is over. */
    void timeOut() {
        advance();
        if (state == State.READING) {
            if (parser.isStart()) {
                close();
            } else {
                bad = new BadRequest(408, "the request did not come to its end");
                received();
            }
        }
    }

    /** Closes, but for a request that turns out to have come whole: that is read first. */
    void closeUnlessOwed() {
        advance();
        if (state != State.OWED) {
            close();
        }
    }

    /** Closes where nothing is owed and no request has begun to come. */
    void closeIfIdle() {
        advance();
        if (state == State.READING && parser.isStart()) {
            close();
        }
    }

    // ---------------------------------------------------------------- what the parser finds
    @Override
    public void startRequest(String method, String uri, HttpVersion version) {
        this.method = method;
        target = uri;
        head = HttpFields.build();
        body = new ByteArrayOutputStream();
        close = version.compareTo(HttpVersion.HTTP_1_1) < 0;
    }

    @Override
    public void parsedHeader(HttpField field) {
        head.add(field);
    }

    @Override
    public boolean headerComplete() {
        if (head.contains(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString())) {
            close = true;
        }
        if (parser.getContentLength() > ClientRequest.BODY_MOST) {
            bad = new BadRequest(413, "body too long");
            return true;
        }
        if (head.contains(HttpHeader.EXPECT, HttpHeaderValue.CONTINUE.asString())) {
            try {
                getEndPoint().flush(CONTINUE.duplicate());
            } catch (IOException e) {
                // the next read finds it closed
            }
        }
        return false;
    }

    @Override
    public boolean content(ByteBuffer content) {
        if (body.size() + content.remaining() > ClientRequest.BODY_MOST) {
            bad = new BadRequest(413, "body too long");
            return true;
        }
        if (!loop.hold(content.remaining())) {
            bad = new BadRequest(503, "too much in hand");
            return true;
        }
        held += content.remaining();
        byte[] part = BufferUtil.toArray(content);
        content.position(content.limit());
        body.write(part, 0, part.length);
        return false;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        complete = true;
        return true;
    }

    @Override
    public void badMessage(HttpException failure) {
        int status = failure.getCode();
        bad = new BadRequest(status >= 400 && status < 500 ? status : 400, "malformed request");
    }

    @Override
    public void earlyEOF() {
        // so the parser calls what is malformed behind the head
        bad = new BadRequest(400, "malformed body");
    }
}
