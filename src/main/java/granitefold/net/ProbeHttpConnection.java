package granitefold.net;

import granitefold.wire.Address;
import granitefold.wire.HttpMessages;

/** One probe of a worker: a GET on a connection of its own, which must be answered by 200. */
final class ProbeHttpConnection extends OutboundHttpConnection {
    private static final int LINE_MOST = 4096;

    private final OutboundConnections links;
    private final long worker;
    private final String address;
    private final String path;

    ProbeHttpConnection(OutboundConnections links, long worker, String address, String path) {
        super(Address.of(address), LINE_MOST);
        this.links = links;
        this.worker = worker;
        this.address = address;
        this.path = path;
    }

    long worker() {
        return worker;
    }

    @Override
    void connected() {
        write(HttpMessages.probeRequest(path, address), () -> { });
    }

    @Override
    void status(int status, String turnedAway) {
        links.probed(this, status == 200, "its probe was answered by " + status);
    }

    @Override
    void line(byte[] buf, int from, int length) { }

    @Override
    void answered(boolean reusable) { }

    @Override
    void ended(String why) {
        links.probed(this, false, "its probe ended: " + why);
    }
}
