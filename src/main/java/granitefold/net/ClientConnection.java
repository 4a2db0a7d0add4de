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
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import org.eclipse.jetty.io.EndPoint;

/** A connection from a client: reads one request at a time, and detects a disconnect while the request is in progress. */
final class ClientConnection extends NonBlockingConnection {
    /** The limit of input discarded after the last response: closing over unread input would reset the connection and lose the response. */
    private static final int MAX_DISCARDED_BYTES = 4 * ClientRequest.MAX_BODY_BYTES;
    /** The bytes that are parsed before the time of the turn is looked at. */
    private static final int MAX_PARSED_BYTES = 1024;
    /** Enough for the longest request. */
    private static final int MAX_TURNS_AT_TIMEOUT = 1 + 2 * ClientRequest.MAX_BODY_BYTES / ReadTurn.MAX_BYTES;

    private enum State {
        READING,
        /** The reducer is processing a request. */
        PROCESSING,
        WRITING,
        /** The last response is written and the output shut down: further input is discarded. */
        LINGERING
    }

    private final EventLoop loop;
    private final long id;
    private final RequestReader reader;
    private final ResponseWriter responses;
    private final ReadAheadBuffer input;
    private final SelectorThread selectorThread;
    private final ReadTurn turn;
    private final PartialRequestReporter partialRequests;
    private State state = State.READING;
    private boolean readingInput;
    /** The number of selects when the connection began to wait for input. */
    private long awaitingSince;
    /** Whether a request was received: an idle connection without one is not half-closed, since its client is about to send its first. */
    private boolean hasReceivedRequest;
    /** The number of bytes discarded after the last response. */
    private int discardedBytes;
    private final ProxyHandshake proxyHandshake;
    /** Whether the response must carry load metrics. */
    private boolean wantsMetrics;

    /** @param waitingSinceNs the earliest time ({@link System#nanoTime}) at which the connection may have arrived */
    ClientConnection(EndPoint endPoint, EventLoop loop, SelectorThread selectorThread, long id, long waitingSinceNs) {
        super(endPoint);
        this.loop = loop;
        this.selectorThread = selectorThread;
        this.id = id;
        responses = new ResponseWriter(endPoint, loop.heldMemory(), () -> closeConnection(CloseReason.BROKEN));
        IntPredicate reserveBytes = bytes -> loop.inbound().reserve(bytes);
        input = new ReadAheadBuffer(reserveBytes, waitingSinceNs);
        turn = new ReadTurn(selectorThread.turns(), TurnScheduler.Priority.CLIENTS, ReadTurn.MAX_BYTES, this::readInput);
        reader = new RequestReader(reserveBytes, responses::writeContinue);
        partialRequests = new PartialRequestReporter(loop::post, id);
        proxyHandshake = new ProxyHandshake(loop.clientSettings(), endPoint.getRemoteSocketAddress());
    }

    boolean wantsMetrics() {
        return wantsMetrics;
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

    /** Returns whether part of a request, but not its end, has been parsed. */
    boolean hasPartialRequest() {
        return state == State.READING && !reader.isAtStart();
    }

    /** Returns whether input was read that is not parsed yet. */
    boolean hasUnparsedInput() {
        return input.hasRemaining();
    }

    /** Input may have arrived with the connection. */
    @Override
    public void onOpen() {
        awaitingSince = selectorThread.selectCount();
        super.onOpen();
        turn.request();
    }

    @Override
    public void onFillable() {
        noteArrival();
        turn.request();
    }

    /** Notes since when input may have been waiting at the earliest: the selects before had not reported it. */
    private void noteArrival() {
        input.unreadSince(selectorThread.earliestArrivalNs(awaitingSince));
    }

    @Override
    public void onFillInterestedFailed(Throwable cause) {
        closeConnection(CloseReason.BROKEN);
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        closeConnection(CloseReason.CLIENT);
    }

    /** Reads and parses input within the turn. An immediate response leads here again, which has no effect while it is running. */
    private void readInput() {
        if (readingInput) {
            return;
        }
        readingInput = true;
        try {
            while (getEndPoint().isOpen() && readOnce()) { }
        } catch (IOException e) {
            closeConnection(CloseReason.BROKEN);
        } catch (RuntimeException e) {
            if (state == State.READING) {
                // nothing would read on, and an idle connection has no time limit
                closeConnection(CloseReason.BROKEN);
            }
            throw e;
        } finally {
            readingInput = false;
        }
    }

    /** Parses buffered input or reads more; returns whether to continue. */
    private boolean readOnce() throws IOException {
        if (proxyHandshake.pending() && input.hasRemaining() && !readProxyHeader()) {
            return false;
        }
        if (state == State.READING && turn.isOver()) {
            // other connections and the timers run before the input that is left
            turn.endUnfinished();
            reportPartialRequest();
            return false;
        }
        if (state == State.READING && input.hasRemaining()) {
            if (parseWithinTurn() && state == State.READING) {
                turn.addMessage();
                handleRequest();
            }
            return true;
        }
        if (state == State.LINGERING) {
            discardedBytes += input.input().remaining();
            input.clear();
            input.shrink();
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                closeConnection(CloseReason.FLOOD);
                return false;
            }
        } else if (!input.ensureRoom()) {
            // without reading on, a disconnect would go unnoticed; no regular client pipelines this much
            closeConnection(CloseReason.FLOOD);
            return false;
        }
        int count = input.fillFrom(getEndPoint());
        if (count < 0) {
            closeConnection(CloseReason.CLIENT);
        } else if (count == 0) {
            if (state == State.READING) {
                // only what is read ahead of an answer needs a larger buffer
                input.shrink();
            }
            reportPartialRequest();
            awaitInput();
        }
        return count > 0;
    }

    /**
     * Parses no more than is left of the turn, and returns whether the request has ended. Input may have been read ahead in an
     * earlier turn: what counts is what is parsed.
     */
    private boolean parseWithinTurn() {
        ByteBuffer unparsed = input.input();
        int begin = unparsed.position();
        int end = unparsed.limit();
        unparsed.limit(Math.min(end, begin + Math.min(MAX_PARSED_BYTES, turn.remainingBytes())));
        boolean ended = reader.read(unparsed);
        unparsed.limit(end);
        int parsedBytes = unparsed.position() - begin;
        partialRequests.parsed(parsedBytes);
        turn.addBytes(parsedBytes);
        return ended;
    }

    private void awaitInput() {
        if (!isFillInterested()) {
            awaitingSince = selectorThread.selectCount();
            awaitReadable();
        }
    }

    private void reportPartialRequest() {
        if (hasPartialRequest()) {
            partialRequests.report(reader.reservedBytes(), maxRequestAgeUs());
        }
    }

    /** Reads the PROXY header; returns false if its input is not available yet, or if the connection was closed for lack of a valid one. */
    private boolean readProxyHeader() throws IOException {
        try {
            ProxyHandshake.Progress progress = proxyHandshake.read(input, getEndPoint());
            if (progress == ProxyHandshake.Progress.NO_INPUT) {
                awaitInput();
            }
            return progress != ProxyHandshake.Progress.NO_INPUT;
        } catch (BadRequestException e) {
            // section 2 of the protocol: the receiver drops the connection, without a response to an unknown sender
            EventLog.log(LogEvent.CLIENT_REFUSED, proxyHandshake.sourceAddress(), e.getMessage());
            closeConnection(CloseReason.NO_PROXY_HEADER);
            return false;
        }
    }

    /** Closes the connection, whichever side ended it. */
    private void closeConnection(CloseReason reason) {
        reader.release();
        responses.release();
        input.clear();
        input.shrink();
        turn.cancel();
        state = State.LINGERING;
        loop.inbound().closed(this, reason);
        close();
        loop.stopIfAllWritten();
    }

    /** Handles a request that is complete, or known to be invalid. */
    private void handleRequest() {
        state = State.PROCESSING;
        hasReceivedRequest = true;
        if (reader.isTarget("/healthz")) {
            boolean ready = loop.phase() == Phase.SERVING;
            boolean close = reader.wantsClose();
            loop.post(new Event.AnsweredLocally(id));
            answer(HttpMessages.plainText(ready ? 200 : 503, loop.phase().name(), close), close);
            return;
        }
        try {
            submit();
        } catch (BadRequestException e) {
            if (loop.clientSettings().proxyHeaderRequired()) {
                EventLog.log(LogEvent.CLIENT_REFUSED, proxyHandshake.sourceAddress(), e.getMessage());
            }
            refuse(e.status(), e.status() == 503 ? HttpMessages.answer(FinalAnswer.Rejected.withDefaultRetry(Refusal.LIMIT), true)
                    : HttpMessages.plainText(e.status(), e.getMessage(), true));
        } catch (RuntimeException e) {
            EventLog.error(LogEvent.INTERNAL_ERROR, e, "request");
            refuse(500, HttpMessages.plainText(500, "internal error", true));
        }
    }

    /** Passes a request on to the reducer, unless it is invalid or its client has gone. */
    private void submit() throws BadRequestException {
        wantsMetrics = loop.clientSettings().loadMetrics() && reader.hasHeader(StatusReporter.METRICS_REQUEST_HEADER, "text");
        Submission submission = reader.decode(loop.vocabulary());
        // a loop that reads the request late must not start an attempt for a client that left long ago
        switch (input.readToEnd(getEndPoint())) {
            case CLOSED -> closeConnection(CloseReason.CLIENT);
            case FULL -> throw new BadRequestException(503, "more input ahead of an answer than is read");
            case OPEN -> loop.post(new Event.RequestArrived(id, submission, maxRequestAgeUs()));
        }
    }

    /** Answers a request that does not reach the reducer. The input that follows cannot be trusted to be a request: the connection is closed. */
    private void refuse(int status, ByteBuffer[] message) {
        loop.post(new Event.AnsweredLocally(id, status));
        answer(message, true);
    }

    /** Returns the longest time that the byte which was parsed last may have been waiting. */
    private long maxRequestAgeUs() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - input.consumedSinceNs());
    }

    /** Reads the input that has arrived by now without waiting for a turn, which shows whether the client has disconnected. */
    void readNow() {
        if (!readingInput) {
            if (isFillInterested()) {
                noteArrival();
            }
            turn.runNow();
        }
    }

    /** Writes a response; after that the connection reads the next request, or is closed if {@code last}. */
    void answer(ByteBuffer[] message, boolean last) {
        boolean close = last || reader.wantsClose();
        state = State.WRITING;
        responses.write(message, () -> written(close));
    }

    private void written(boolean close) {
        reader.release();
        if (close) {
            state = State.LINGERING;
            getEndPoint().shutdownOutput();
        } else {
            state = State.READING;
            partialRequests.startNext();
            reader.startNext();
            input.shrink();
        }
        loop.post(new Event.AnswerWritten(id, close));
        loop.stopIfAllWritten();
        if (!readingInput) {
            turn.request();
        }
    }

    /** Called when the time to receive a request is up: one that has arrived by now is read, although a busy loop may have left it unread. */
    void timeOut() {
        readNow();
        for (int turns = 1; turns < MAX_TURNS_AT_TIMEOUT && state == State.READING && turn.isUnfinished(); turns++) {
            readNow();
        }
        if (hasPartialRequest()) {
            reader.fail(new BadRequestException(408, "the request did not come to its end"));
            handleRequest();
        } else if (state == State.READING && !turn.isUnfinished()) {
            closeConnection(CloseReason.TIMED_OUT);
        }
    }

    /**
     * Closes the connection to make room, unless a request turns out to have arrived completely, which is then processed. A partly
     * received request, or one that is still to be read, is answered with a rejection: if the close crossed its last bytes, the client
     * would get no answer.
     */
    void closeUnlessBusy(CloseReason reason) {
        readNow();
        if (state == State.READING && !isIdle()) {
            reject();
        } else if (state != State.PROCESSING) {
            closeConnection(reason);
        }
    }

    /**
     * Shuts down the output of an idle connection, then discards input until the client closes: closing over unread input would
     * reset the connection and lose the last response. A partly received request may still be completed, or is rejected
     * if {@code rejectPartial}. A connection without any request so far stays open: unlike after a response, the client
     * would not retry its first request.
     */
    void halfCloseUnlessBusy(boolean rejectPartial) {
        readNow();
        if (state == State.READING && isIdle()) {
            if (!hasReceivedRequest) {
                return;
            }
            state = State.LINGERING;
            getEndPoint().shutdownOutput();
            loop.post(new Event.ClientHalfClosed(id));
            readNow();
        } else if (state == State.READING && rejectPartial) {
            reject();
        }
    }

    /** Returns whether no part of a request has arrived. */
    private boolean isIdle() {
        return reader.isAtStart() && !turn.isUnfinished();
    }

    private void reject() {
        reader.fail(new BadRequestException(503, "no room"));
        handleRequest();
    }
}
