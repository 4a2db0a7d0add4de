package granitefold.net;

import granitefold.core.Event;
import granitefold.wire.Address;
import granitefold.wire.BadWire;
import granitefold.wire.Frames;
import granitefold.wire.HttpMessages;
import granitefold.wire.Listing;
import java.net.InetSocketAddress;

/** The watch on discovery. */
final class WatchHttpConnection extends OutboundHttpConnection {
    private static final int LINE_MOST = 4 * 1024 * 1024;

    private final EventLoop loop;
    private final OutboundConnections links;
    private final InetSocketAddress discovery;
    private final long version;
    private final Frames frames = new Frames(LINE_MOST);

    WatchHttpConnection(EventLoop loop, OutboundConnections links, InetSocketAddress discovery, long version) {
        super(discovery, LINE_MOST);
        this.loop = loop;
        this.links = links;
        this.discovery = discovery;
        this.version = version;
    }

    @Override
    void connected() {
        write(HttpMessages.watch(Address.text(discovery), version), () -> { });
    }

    @Override
    void status(int status, String turnedAway) {
        if (status != 200) {
            end("status " + status);
        }
    }

    @Override
    void line(byte[] buf, int from, int length) {
        if (!links.current(this)) {
            return;
        }
        try {
            Frames.Found found = frames.add(buf, from, length);
            if (found != Frames.Found.PART) {
                loop.post(new Event.WatchUpdated(found == Frames.Found.BLANK ? null
                        : Listing.decode(frames.buffer(), frames.offset(), frames.length(), loop.words())));
            }
        } catch (BadWire e) {
            end(e.getMessage());
        }
    }

    @Override
    void answered(boolean reusable) {
        end("answer ended");
    }

    @Override
    void ended(String why) {
        links.closed(this, why);
    }
}
