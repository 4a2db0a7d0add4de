package granitefold.net;

import granitefold.Dispatcher.Refusal;
import granitefold.core.CloseReason;
import granitefold.core.Event;
import granitefold.core.FinalAnswer;
import granitefold.core.Phase;
import granitefold.core.Submission;
import granitefold.wire.BadRequestException;
import granitefold.wire.ClientRequest;
import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.wire.HttpMessages;
import granitefold.wire.ProxyHeader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/** A client's side: reads one request at a time, and while that is unanswered watches for the client to leave. */
final class ClientConnection extends NonBlockingConnection {
    private static final int BUFFER = 4096;
    /** So much is read after the last answer: without it a polite client's answer would be lost in the reset. */
    private static final int LINGER_MOST = 4 * ClientRequest.MAX_BODY_BYTES;
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

    private final EventLoop loop;
    private final long id;
    private final RequestReader reader;
    /** The connection came then, at the earliest, and its first request with it. */
    private final long waitsSinceNs;
    /** What it brought with it is being read. */
    private boolean opening;
    private ByteBuffer in = BufferUtil.allocate(BUFFER);
    private State state = State.READING;
    private boolean advancing;
    /** A next request on this connection has begun to come, and the reducer knows. */
    private boolean begun = true;
    /** It has brought a request: it may be shut between two of them. Who has just connected is about to bring one. */
    private boolean used;
    /** Something has come since the last time that there was nothing more to read. */
    private boolean heard;
    /** A 100 is being written; an answer waits for that. */
    private boolean continuing;
    private Runnable behindContinue;
    /** Bytes thrown away after the last answer. */
    private int discarded;
    /** A PROXY header must come first, and has not yet. */
    private boolean headed;
    /** Who has really connected, where a proxy told. */
    private SocketAddress source;
    /** The answer is to carry load metrics. */
    private boolean metrics;

    /** {@code waitsSinceNs}: when it came, at the earliest; of {@link System#nanoTime}. */
    ClientConnection(EndPoint endPoint, EventLoop loop, long id, long waitsSinceNs) {
        super(endPoint);
        this.loop = loop;
        this.id = id;
        this.waitsSinceNs = waitsSinceNs;
        reader = new RequestReader(loop::hold, this::goOn);
        headed = loop.clientRules().proxyHeaderRequired();
        source = endPoint.getRemoteSocketAddress();
    }

    boolean wantsMetrics() {
        return metrics;
    }

    long id() {
        return id;
    }

    boolean wantsClose() {
        return reader.wantsClose();
    }

    boolean writing() {
        return state == State.WRITING;
    }

    /** Reads what came with the connection; what it finds later has come after that. */
    @Override
    public void onOpen() {
        super.onOpen();
        opening = true;
        advance();
        opening = false;
    }

    @Override
    public void onFillable() {
        advance();
    }

    @Override
    public void onFillInterestedFailed(Throwable cause) {
        gone(CloseReason.BROKEN);
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        gone(CloseReason.CLIENT);
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
            gone(CloseReason.BROKEN);
        } finally {
            advancing = false;
        }
    }

    private boolean step() throws IOException {
        if (headed && in.hasRemaining() && !header()) {
            return false;
        }
        if (state == State.READING && in.hasRemaining()) {
            if (reader.read(in) && state == State.READING) {
                received();
            }
            return true;
        }
        if (state == State.LINGERING) {
            discarded += in.remaining();
            BufferUtil.clear(in);
            if (discarded > LINGER_MOST) {
                gone(CloseReason.FLOOD);
                return false;
            }
        } else if (BufferUtil.isFull(in) && !widen()) {
            // were we to stop reading, its leaving would go unseen; who sends so much ahead of an answer is no usual client
            gone(CloseReason.FLOOD);
            return false;
        }
        int n = getEndPoint().fill(in);
        heard |= n > 0;
        if (n < 0) {
            gone(CloseReason.CLIENT);
        } else if (n == 0) {
            if (state == State.READING && heard && !reader.isStart()) {
                loop.post(begun ? new Event.RequestContinued(id) : new Event.RequestStarted(id));
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
            if (!loop.clientRules().proxySources().isEmpty() && !loop.clientRules().proxySources().contains(proxy.getAddress())) {
                throw new BadRequestException(400, "not one of clients.proxy-from");
            }
            ProxyHeader header = ProxyHeader.decode(in);
            if (header != null) {
                headed = false;
                source = header.source() == null ? source : header.source();
                return true;
            }
            int n = BufferUtil.isFull(in) ? -1 : getEndPoint().fill(in);
            if (n < 0) {
                throw new BadRequestException(400, "closed within its PROXY header");
            }
            if (n == 0) {
                awaitReadable();
            }
            // what came is looked at in the next step
            return n > 0;
        } catch (BadRequestException e) {
            // section 2 of the protocol: the receiver drops the connection, and says nothing to who may be anybody
            EventLog.log(LogEvent.CLIENT_REFUSED, source, e.getMessage());
            gone(CloseReason.NO_PROXY_HEADER);
            return false;
        }
    }

    /** Makes room to read on while a request is unanswered: only by reading is a client's leaving seen. */
    private boolean widen() {
        int more = in.capacity();
        if (more > ClientRequest.MAX_BODY_BYTES || !loop.hold(more)) {
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
    private void gone(CloseReason reason) {
        reader.release();
        BufferUtil.clear(in);
        narrow();
        state = State.LINGERING;
        loop.closed(this, reason);
        close();
        loop.answered();
    }

    /** A request is whole, or as much of it as shows that it is bad. */
    private void received() {
        state = State.OWED;
        used = true;
        if (reader.isFor("/healthz")) {
            boolean ready = loop.phase() == Phase.SERVING;
            boolean close = reader.wantsClose();
            answerHere(HttpMessages.plainText(ready ? 200 : 503, loop.phase().name(), close), close);
            return;
        }
        try {
            Submission s = reader.decode(loop.words());
            metrics = loop.clientRules().loadMetrics() && reader.asks(StatusReporter.METRICS_WANTED, "text");
            if (left()) {
                gone(CloseReason.CLIENT);
            } else {
                loop.post(new Event.RequestArrived(id, s, unseenUs()));
            }
        } catch (BadRequestException e) {
            if (loop.clientRules().proxyHeaderRequired()) {
                EventLog.log(LogEvent.CLIENT_REFUSED, source, e.getMessage());
            }
            // what follows may not be what it looks like either: the connection ends
            answerHere(e.status() == 503 ? HttpMessages.answer(FinalAnswer.Rejected.withDefaultRetry(Refusal.LIMIT), true)
                    : HttpMessages.plainText(e.status(), e.getMessage(), true), true);
        }
    }

    /** What is read now may have waited unread for so long. */
    private long unseenUs() {
        return opening ? TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - waitsSinceNs) : loop.unseenUs();
    }

    /**
     * Whether the client has gone by now, its end being behind its request: a loop that comes late to a request must not begin an
     * attempt for somebody who has long left.
     */
    private boolean left() {
        try {
            for (int n = 1; n > 0 && (!BufferUtil.isFull(in) || widen()); ) {
                n = getEndPoint().fill(in);
                if (n < 0) {
                    return true;
                }
            }
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Takes in what has come by now; after that the loop knows whether the client has gone. */
    void look() {
        advance();
    }

    /** The client waits for a word before it sends its body. */
    private void goOn() {
        continuing = true;
        getEndPoint().write(whenWritten(this::continued, () -> gone(CloseReason.BROKEN)), CONTINUE.duplicate());
    }

    private void continued() {
        continuing = false;
        Runnable next = behindContinue;
        behindContinue = null;
        if (next != null) {
            next.run();
        }
    }

    private void answerHere(ByteBuffer[] message, boolean last) {
        loop.post(new Event.AnsweredLocally(id));
        answer(message, last);
    }

    /** Writes an answer; after it the connection reads on or ends. */
    void answer(ByteBuffer[] message, boolean last) {
        boolean end = last || reader.wantsClose();
        state = State.WRITING;
        if (continuing) {
            behindContinue = () -> write(message, end);
        } else {
            write(message, end);
        }
    }

    private void write(ByteBuffer[] message, boolean end) {
        getEndPoint().write(whenWritten(() -> written(end), () -> gone(CloseReason.BROKEN)), message);
    }

    private void written(boolean end) {
        reader.release();
        if (end) {
            state = State.LINGERING;
            getEndPoint().shutdownOutput();
        } else {
            state = State.READING;
            begun = false;
            reader.next();
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
            if (reader.isStart()) {
                gone(CloseReason.TIMED_OUT);
            } else {
                reader.giveUp(new BadRequestException(408, "the request did not come to its end"));
                received();
            }
        }
    }

    /**
     * Makes room: closes, but for a request that turns out to have come whole, which is read first. One that has begun to come is
     * told that it is rejected: a close that crosses its end would lose it.
     */
    void closeUnlessOwed(CloseReason reason) {
        advance();
        if (state == State.READING && !reader.isStart()) {
            reject();
        } else if (state != State.OWED) {
            gone(reason);
        }
    }

    /**
     * Tells a client that no more is read, where nothing is owed to it, then reads on without heed until it closes: a close over
     * unread bytes would reset the connection, and the last answer with it. A request that has begun to come may come to its end,
     * or is rejected where {@code begun} ones are ended too. A connection that has brought no request yet stays open: unlike
     * between two requests, its client would not send that one again.
     */
    void shutUnlessOwed(boolean begun) {
        advance();
        if (state == State.READING && reader.isStart()) {
            if (!used) {
                return;
            }
            state = State.LINGERING;
            getEndPoint().shutdownOutput();
            loop.post(new Event.ClientHalfClosed(id));
            advance();
        } else if (state == State.READING && begun) {
            reject();
        }
    }

    private void reject() {
        reader.giveUp(new BadRequestException(503, "no room"));
        received();
    }
}
