package granitefold.net;

import granitefold.core.Event;
import granitefold.wire.Address;
import granitefold.wire.BadWire;
import granitefold.wire.Frames;
import granitefold.wire.HttpMessages;
import granitefold.wire.Listing;
import java.net.InetSocketAddress;

/** The watch on discovery: one long response that carries the updates of the worker list. */
final class WatchHttpConnection extends OutboundHttpConnection {
    private static final int MAX_LINE_BYTES = 4 * 1024 * 1024;

    private final EventLoop loop;
    private final OutboundConnections connections;
    private final InetSocketAddress discovery;
    private final long version;
    private final Frames frames = new Frames(MAX_LINE_BYTES);

    WatchHttpConnection(EventLoop loop, OutboundConnections connections, InetSocketAddress discovery, long version) {
        super(discovery, MAX_LINE_BYTES);
        this.loop = loop;
        this.connections = connections;
        this.discovery = discovery;
        this.version = version;
    }

    @Override
    void onConnected() {
        write(HttpMessages.watch(Address.text(discovery), version), () -> { });
    }

    @Override
    void onStatus(int status, String turnedAway) {
        if (status != 200) {
            fail("status " + status);
        }
    }

    @Override
    void onLine(byte[] buffer, int from, int length) {
        if (!connections.isCurrent(this)) {
            return;
        }
        try {
            Frames.Found result = frames.add(buffer, from, length);
            if (result != Frames.Found.PART) {
                loop.post(new Event.WatchNews(result == Frames.Found.BLANK ? null
                        : Listing.decode(frames.buffer(), frames.offset(), frames.length(), loop.vocabulary())));
            }
        } catch (BadWire e) {
            fail(e.getMessage());
        }
    }

    @Override
    void onResponseEnd(boolean reusable) {
        fail("response ended");
    }

    @Override
    void onClosed(String reason) {
        connections.closed(this, reason);
    }
}
