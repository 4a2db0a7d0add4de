package granitefold.net;

import granitefold.core.Event;
import granitefold.core.Payload;
import granitefold.core.TryNews;
import granitefold.wire.Address;
import granitefold.wire.BadWire;
import granitefold.wire.ClientRequest;
import granitefold.wire.HttpMessages;
import granitefold.wire.PeerLine;

/** A connection to a peer. */
final class PeerLink extends Link {
    /** A result is about as long as a body may be; JSON may write it several times as long. */
    private static final int LINE_MOST = 512 * 1024;

    private final Loop loop;
    private final Links links;
    private final long id;
    private final String address;
    private String txn;

    PeerLink(Loop loop, Links links, long id, String address) {
        super(Address.of(address), LINE_MOST);
        this.loop = loop;
        this.links = links;
        this.id = id;
        this.address = address;
    }

    long id() {
        return id;
    }

    void send(Payload payload, long waitUs) {
        ClientRequest request = (ClientRequest) payload;
        txn = request.txn();
        write(HttpMessages.toPeer(request, address, waitUs), () -> loop.post(new Event.RequestWritten(id)));
    }

    @Override
    void connected() {
        loop.post(new Event.PeerConnected(id));
    }

    @Override
    void status(int status, String turnedAway) {
        if (status != 200) {
            loop.post(new Event.PeerSaid(id, PeerLine.refusal(status, turnedAway)));
        }
    }

    @Override
    void line(byte[] buf, int from, int length) {
        if (length == 0) {
            return;
        }
        try {
            TryNews news = PeerLine.decode(buf, from, length, txn);
            if (news != null) {
                loop.post(new Event.PeerSaid(id, news));
            }
        } catch (BadWire e) {
            end(e.getMessage());
        }
    }

    @Override
    void answered(boolean reusable) {
        loop.post(new Event.AnswerEnded(id, reusable));
    }

    @Override
    void ended(String why) {
        links.closed(this);
    }
}
