package granitefold.net;

import granitefold.core.Event;
import granitefold.wire.Address;
import granitefold.wire.HttpMessages;
import granitefold.wire.InvalidInputException;
import granitefold.wire.JsonObjectFramer;
import granitefold.wire.WorkerListJson;
import java.net.InetSocketAddress;

/** The watch on discovery. */
final class WatchHttpConnection extends OutboundHttpConnection {
    private static final int LINE_MOST = 4 * 1024 * 1024;

    private final EventLoop loop;
    private final OutboundConnections links;
    private final InetSocketAddress discovery;
    private final long version;
    private final JsonObjectFramer frames = new JsonObjectFramer(LINE_MOST);

    WatchHttpConnection(EventLoop loop, OutboundConnections links, InetSocketAddress discovery, long version) {
        super(discovery, LINE_MOST);
        this.loop = loop;
        this.links = links;
        this.discovery = discovery;
        this.version = version;
    }

    @Override
    void connected() {
        write(HttpMessages.discoveryWatch(Address.text(discovery), version), () -> { });
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
            JsonObjectFramer.Result found = frames.add(buf, from, length);
            if (found != JsonObjectFramer.Result.INCOMPLETE) {
                loop.post(new Event.WatchUpdated(found == JsonObjectFramer.Result.BLANK ? null
                        : WorkerListJson.decode(frames.buffer(), frames.offset(), frames.length(), loop.words())));
            }
        } catch (InvalidInputException e) {
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
