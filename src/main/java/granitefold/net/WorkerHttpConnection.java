package granitefold.net;

import granitefold.core.Event;
import granitefold.core.Payload;
import granitefold.core.AttemptUpdate;
import granitefold.wire.Address;
import granitefold.wire.ClientRequest;
import granitefold.wire.HttpMessages;
import granitefold.wire.InvalidInputException;
import granitefold.wire.WorkerLine;

/** A connection to a worker. */
final class WorkerHttpConnection extends OutboundHttpConnection {
    /** A result is about as long as a body may be; JSON may write it several times as long. */
    private static final int LINE_MOST = 512 * 1024;

    private final EventLoop loop;
    private final OutboundConnections links;
    private final long id;
    private final String address;
    private String txn;

    WorkerHttpConnection(EventLoop loop, OutboundConnections links, long id, String address) {
        super(Address.of(address), LINE_MOST);
        this.loop = loop;
        this.links = links;
        this.id = id;
        this.address = address;
    }

    long id() {
        return id;
    }

    void send(Payload payload, long expiresAt) {
        if (!quiet()) {
            end("ended or spoke between two requests");
            return;
        }
        ClientRequest request = (ClientRequest) payload;
        txn = request.txn();
        // a loop that is short of processor time comes to write long after it has decided
        long waitUs = Math.max(0, expiresAt - loop.now());
        write(HttpMessages.workerRequest(request, address, waitUs), () -> loop.post(new Event.RequestWritten(id)));
    }

    @Override
    void connected() {
        loop.post(new Event.WorkerConnected(id));
    }

    @Override
    void status(int status, String turnedAway) {
        if (status != 200) {
            loop.post(new Event.AttemptUpdated(id, WorkerLine.fromStatus(status, turnedAway)));
        }
    }

    @Override
    void line(byte[] buf, int from, int length) {
        if (length == 0) {
            return;
        }
        try {
            AttemptUpdate news = WorkerLine.decode(buf, from, length, txn);
            if (news != null) {
                loop.post(new Event.AttemptUpdated(id, news));
            }
        } catch (InvalidInputException e) {
            end(e.getMessage());
        }
    }

    @Override
    void answered(boolean reusable) {
        loop.post(new Event.WorkerAnswerEnded(id, reusable));
    }

    @Override
    void ended(String why) {
        links.closed(this, why);
    }
}
