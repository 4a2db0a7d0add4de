package granitefold.net;

import granitefold.core.Event;
import granitefold.core.Payload;
import granitefold.core.AttemptUpdate;
import granitefold.logging.EventLog;
import granitefold.logging.LogEvent;
import granitefold.wire.Address;
import granitefold.wire.ClientRequest;
import granitefold.wire.HttpMessages;
import granitefold.wire.InvalidInputException;
import granitefold.wire.WorkerLine;

/** A connection to a worker, which carries one request at a time. */
final class WorkerHttpConnection extends OutboundHttpConnection {
    /** A result is about as long as a request body may be; JSON escapes may make it several times as long. */
    private static final int MAX_LINE_BYTES = 512 * 1024;
    /** Leaves room for progress beside the result. */
    private static final long MAX_BODY_BYTES = 2 * MAX_LINE_BYTES;
    private static final ResponseLimits LIMITS = new ResponseLimits(MAX_LINE_BYTES, ReadTurn.MAX_BYTES, MAX_BODY_BYTES);

    private final EventLoop loop;
    private final OutboundConnections connections;
    private final long id;
    private final String address;
    private String txn;

    WorkerHttpConnection(EventLoop loop, OutboundConnections connections, long id, String address) {
        super(Address.of(address), LIMITS, TurnScheduler.Priority.WORKERS);
        this.loop = loop;
        this.connections = connections;
        this.id = id;
        this.address = address;
    }

    long id() {
        return id;
    }

    void send(Payload payload, long expiresAtUs) {
        if (!hasNothingToRead()) {
            fail("closed or sent data between two requests");
            return;
        }
        ClientRequest request = (ClientRequest) payload;
        txn = request.txn();
        // recomputed here: a loop that lacks CPU time may write long after the decision
        long waitUs = Math.max(0, expiresAtUs - loop.nowUs());
        write(HttpMessages.workerRequest(request, address, waitUs), () -> loop.post(new Event.RequestWritten(id)));
    }

    @Override
    void onConnected() {
        loop.post(new Event.WorkerConnected(id));
    }

    @Override
    void onStatus(int status, String turnedAway) {
        if (status != 200) {
            loop.post(new Event.AttemptUpdated(id, WorkerLine.fromStatus(status, turnedAway)));
        }
    }

    @Override
    void onLine(byte[] buffer, int from, int length) {
        if (length == 0) {
            return;
        }
        try {
            AttemptUpdate update = WorkerLine.decode(buffer, from, length, txn);
            if (update != null) {
                loop.post(new Event.AttemptUpdated(id, update));
            }
        } catch (InvalidInputException e) {
            fail(e.getMessage());
        }
    }

    @Override
    void onResponseEnd(boolean reusable) {
        loop.post(new Event.WorkerAnswerEnded(id, reusable));
    }

    @Override
    boolean reserveForLine(int bytes) {
        return loop.heldMemory().reserve(HeldMemory.Use.RESPONSE_LINE, bytes);
    }

    @Override
    void onLimitExceeded(String reason) {
        EventLog.log(LogEvent.WORKER_RESPONSE_REFUSED, address, reason);
    }

    @Override
    void onClosed(String reason) {
        connections.closed(this, reason);
    }
}
